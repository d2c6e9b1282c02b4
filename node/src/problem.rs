//! Refusals and failures as problem details (RFC 9457).

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use dottereltally_lib::{
    id,
    refusal::{self, Run},
    request::NotRun,
};
use http::{
    HeaderValue, Response, StatusCode,
    header::{CONTENT_TYPE, RETRY_AFTER},
};
use serde::Serialize;

use crate::body::Body;

/// Media type of problem details.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// Why a request got no complete response from an endpoint.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// The decision core refused it.
    #[display("{_0}")]
    Core(refusal::Reason),
    /// The bearer key is missing or unknown.
    #[display("unauthenticated")]
    Unauthenticated,
    /// The request is malformed.
    #[display("malformed")]
    Malformed,
    /// The head or the body of the request is larger than its limit.
    #[display("too-large")]
    TooLarge,
    /// The body did not arrive in time.
    #[display("slow-sender")]
    SlowSender,
    /// The memory for the bodies of requests does not suffice.
    #[display("no-memory")]
    NoMemory,
    /// No configured call matches.
    #[display("no-call")]
    NoCall,
    /// A non-idempotent call was sent without an idempotency key.
    #[display("no-key")]
    NoKey,
    /// No configuration is in force yet.
    #[display("no-configuration")]
    NoConfiguration,
    /// Another attempt with the key is running, or its response is lost.
    #[display("claimed")]
    Claimed,
    /// The key was used for another request.
    #[display("key-mismatch")]
    KeyMismatch,
    /// The key-value service is unavailable.
    #[display("platform")]
    Platform,
    /// The software version that began the stream is not known.
    #[display("unknown-version")]
    UnknownVersion,
    /// The connection to the endpoint broke.
    #[display("broken")]
    Broken,
    /// The endpoint stopped responding.
    #[display("stalled")]
    Stalled,
    /// The endpoint sent the response to another request.
    #[display("crossed")]
    Crossed,
    /// The response is larger than its limit.
    #[display("answer-too-large")]
    AnswerTooLarge,
    /// The deadline passed after the request was dispatched.
    #[display("deadline-passed")]
    DeadlinePassed,
    /// This host failed after it had read the request.
    #[display("internal")]
    Internal,
}

impl Reason {
    /// Returns whether the reason arises only after the request was dispatched.
    #[must_use]
    pub const fn is_after_dispatch(self) -> bool {
        matches!(
            self,
            Self::Broken
                | Self::Stalled
                | Self::Crossed
                | Self::AnswerTooLarge
                | Self::DeadlinePassed
        )
    }
}

/// A refusal or failure to report to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    status: StatusCode,
    reason: Reason,
    run: Run,
    detail: String,
    retry_after: Option<Duration>,
}

/// JSON form of a problem.
#[derive(Serialize)]
struct WireProblem<'a> {
    r#type: &'a str,
    title: &'a str,
    status: u16,
    detail: &'a str,
    reason: String,
    run: String,
}

impl Problem {
    /// Builds the refusal of a request, given the proof that it was not
    /// dispatched.
    #[must_use]
    pub fn not_run(
        _proof: &NotRun,
        status: StatusCode,
        reason: Reason,
        detail: impl Into<String>,
    ) -> Self {
        Self::new(status, reason, Run::NotRun, detail)
    }

    /// Builds a refusal before a [`Request`](dottereltally_lib::request::Request)
    /// exists, so that no proof is needed.
    #[must_use]
    pub fn before_dispatch(status: StatusCode, reason: Reason, detail: impl Into<String>) -> Self {
        Self::new(status, reason, Run::NotRun, detail)
    }

    /// Builds the failure of a request that an endpoint may have run.
    #[must_use]
    pub fn may_have_run(status: StatusCode, reason: Reason, detail: impl Into<String>) -> Self {
        Self::new(status, reason, Run::MayHaveRun, detail)
    }

    /// Builds the problem for a refusal by the decision core.
    #[must_use]
    pub fn refused(proof: &NotRun, refusal: refusal::Refusal) -> Self {
        let (status, detail) = match refusal.reason {
            refusal::Reason::Overload => (
                StatusCode::SERVICE_UNAVAILABLE,
                "more urgent work fills the service; send the request again after the given time",
            ),
            refusal::Reason::Deadline => (
                StatusCode::SERVICE_UNAVAILABLE,
                "the request can't be answered before its deadline; send it again after the given time or allow more time",
            ),
            refusal::Reason::NoEndpoint => (
                StatusCode::SERVICE_UNAVAILABLE,
                "no endpoint of the service is usable; send the request again after the given time",
            ),
            refusal::Reason::Limit => (
                StatusCode::TOO_MANY_REQUESTS,
                "the workspace is over its limit; send the request again when others have ended",
            ),
            refusal::Reason::Quarantine => (
                StatusCode::UNPROCESSABLE_ENTITY,
                "endpoints died while they ran this request; do not send it again unchanged",
            ),
            refusal::Reason::Shutdown => (
                StatusCode::SERVICE_UNAVAILABLE,
                "this host is shutting down; send the request again",
            ),
        };
        let problem = Self::not_run(proof, status, Reason::Core(refusal.reason), detail);
        problem.retry_after(refusal.retry_after)
    }

    fn new(status: StatusCode, reason: Reason, run: Run, detail: impl Into<String>) -> Self {
        Self {
            status,
            reason,
            run,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Sets the delay after which the caller may send the request again.
    #[must_use]
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Changes the problem to say that the request may have run.
    #[must_use]
    pub fn run_unknown(mut self) -> Self {
        self.run = Run::MayHaveRun;
        self
    }

    /// Returns the HTTP status.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// Returns the reason.
    #[must_use]
    pub fn reason(&self) -> Reason {
        self.reason
    }

    /// Returns whether the request can have run.
    #[must_use]
    pub fn run(&self) -> Run {
        self.run
    }

    /// Returns the problem as JSON.
    ///
    /// # Panics
    ///
    /// Does not panic: strings and numbers always encode.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let wire = WireProblem {
            r#type: "about:blank",
            title: self.status.canonical_reason().unwrap_or("Error"),
            status: self.status.as_u16(),
            detail: &self.detail,
            reason: self.reason.to_string(),
            run: self.run.to_string(),
        };
        serde_json::to_vec(&wire).expect("strings and numbers always encode")
    }

    /// Builds the response; its request header is set if the request has an
    /// identifier.
    #[must_use]
    pub fn response(&self, request: Option<id::Request>) -> Response<Body> {
        let mut response = Response::new(Body::full(Bytes::from(self.encode())));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(MEDIA_TYPE));
        if let Some(delay) = self.retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(delay)));
        }
        if let Some(request) = request {
            headers.insert(crate::server::REQUEST_HEADER, HeaderValue::from(request.0));
        }
        response
    }
}

/// Returns the delay in whole seconds, rounded up, at least one.
fn whole_seconds(delay: Duration) -> u64 {
    let up = u64::from(delay.subsec_nanos() > 0);
    (delay.as_secs() + up).max(1)
}

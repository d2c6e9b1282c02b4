//! Refusals and failures: answers that the gateway gives instead of an endpoint.

use std::time::Duration;

use dottereltally::{
    body::Body,
    problem::{Problem, Reason},
};
use dottereltally_lib::refusal;
use http::{Response, StatusCode, header::RETRY_AFTER};

use crate::{chain::OTHER_NODE_RETRY_AFTER, dialect::Dialect};

/// A refusal of a request, or the failure of one that an endpoint may have run.
#[derive(Clone, Debug)]
pub struct Refused {
    /// The problem that is sent to the caller.
    pub problem: Problem,
    /// Delay after which the caller may try again, if the answer names one.
    pub retry_after: Option<Duration>,
    /// Whether the connection must be closed after the answer.
    pub close: bool,
}

impl Refused {
    /// Refuses a request that was sent to no endpoint.
    #[must_use]
    pub fn unsent(status: StatusCode, reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            problem: Problem::before_dispatch(status, reason, detail),
            retry_after: None,
            close: false,
        }
    }

    /// Fails a request that an endpoint may have run.
    #[must_use]
    pub fn may_have_run(status: StatusCode, reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            problem: Problem::may_have_run(status, reason, detail),
            retry_after: None,
            close: false,
        }
    }

    /// Refuses a request as the core library (`dottereltally_lib`) decided.
    #[must_use]
    pub fn from_core(refusal: refusal::Refusal) -> Self {
        let (status, detail) = match refusal.reason {
            refusal::Reason::Overload | refusal::Reason::Deadline => (
                StatusCode::SERVICE_UNAVAILABLE,
                "the request can't be served in its time; send it again after the given time",
            ),
            refusal::Reason::NoEndpoint => (
                StatusCode::SERVICE_UNAVAILABLE,
                "no endpoint that may serve the request is usable; send the request again after the given time",
            ),
            refusal::Reason::Limit => (
                StatusCode::TOO_MANY_REQUESTS,
                "the workspace is over its quota; send the request again after the given time",
            ),
            refusal::Reason::Quarantine => (
                StatusCode::SERVICE_UNAVAILABLE,
                "endpoints died while they ran this request; do not send it again unchanged",
            ),
            refusal::Reason::Shutdown => (
                StatusCode::SERVICE_UNAVAILABLE,
                "this host is shutting down; send the request again",
            ),
        };
        Self::unsent(status, Reason::Core(refusal.reason), detail)
            .with_retry_after(refusal.retry_after)
    }

    /// Refuses a request of a node that shuts down, so that its caller sends it to another
    /// one.
    #[must_use]
    pub fn shutting_down(retry_after: Duration) -> Self {
        let reason = refusal::Reason::Shutdown;
        Self::from_core(refusal::Refusal {
            reason,
            retry_after,
        })
        .closing()
    }

    /// Refuses to resume a stream at a node that does not know for certain which software
    /// version began it, or which endpoints run that one.
    #[must_use]
    pub fn unknown_version() -> Self {
        let refused = Self::unsent(
            StatusCode::SERVICE_UNAVAILABLE,
            Reason::UnknownVersion,
            "this node does not know the software version that began the stream; \
             send the request to another node",
        );
        refused.with_retry_after(OTHER_NODE_RETRY_AFTER)
    }

    /// Sets the delay after which the caller may try again.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Closes the connection after the answer.
    #[must_use]
    pub fn closing(mut self) -> Self {
        self.close = true;
        self
    }

    /// Returns the answer to the caller.
    pub fn response(&self, dialect: &impl Dialect, correlation_id: &str) -> Response<Body> {
        let mut response = self.problem.response(None);
        let headers = response.headers_mut();
        if let Some(delay) = self.retry_after {
            headers.insert(RETRY_AFTER, dialect.retry_after(delay));
        }
        dialect.mark_refusal(headers, correlation_id);
        response
    }
}

//! Answers of the gateway's own.

use std::time::Duration;

use dottereltally::{
    body::Body,
    problem::{Problem, Reason},
};
use dottereltally_lib::refusal;
use http::{Response, StatusCode, header::RETRY_AFTER};

use crate::dialect::Dialect;

/// An answer of the gateway's own, with what the log says of it.
#[derive(Clone, Debug)]
pub struct Refused {
    /// The answer.
    pub problem: Problem,
    /// When to come back, if that may help.
    pub retry_after: Option<Duration>,
    /// Whether the connection has to be closed after it.
    pub close: bool,
}

impl Refused {
    /// Refuses a request that was sent to no endpoint.
    #[must_use]
    pub fn unsent(status: StatusCode, reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            problem: Problem::unread(status, reason, detail),
            retry_after: None,
            close: false,
        }
    }

    /// Fails a request that an endpoint may have run.
    #[must_use]
    pub fn lost(status: StatusCode, reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            problem: Problem::may_have_run(status, reason, detail),
            retry_after: None,
            close: false,
        }
    }

    /// Refuses a request as the decision core says.
    #[must_use]
    pub fn core(refusal: refusal::Refusal) -> Self {
        let (status, detail) = match refusal.reason {
            refusal::Reason::Overload | refusal::Reason::Deadline => (
                StatusCode::SERVICE_UNAVAILABLE,
                "the request can't be served in its time; send it again after the given time",
            ),
            refusal::Reason::NoEndpoint => (
                StatusCode::SERVICE_UNAVAILABLE,
                "no endpoint of the service is usable; send the request again after the given time",
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
        Self::unsent(status, Reason::Core(refusal.reason), detail).after(refusal.retry_after)
    }

    /// Tells the caller when to come back.
    #[must_use]
    pub fn after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Closes the connection after the answer.
    #[must_use]
    pub fn closing(mut self) -> Self {
        self.close = true;
        self
    }

    /// Returns the answer as the caller gets it.
    pub fn response(&self, dialect: &impl Dialect, correlation: &str) -> Response<Body> {
        let mut response = self.problem.response(None);
        let headers = response.headers_mut();
        if let Some(delay) = self.retry_after {
            headers.insert(RETRY_AFTER, dialect.retry_after(delay));
        }
        dialect.refuse(headers, correlation);
        response
    }
}

//! What the gateway needs to know from the headers of callers and endpoints.
//!
//! The gateway decides on the types of this module; an implementation only
//! translates them from and to headers.

use std::time::Duration;

use dottereltally_lib::{
    dispatcher::speed::Statement,
    id,
    notice::{Notice, Unreadable},
    share::{NotARate, Rate},
};
use http::{HeaderMap, HeaderValue, StatusCode};

/// Why the headers of a request can't be understood; the text names the remedy
/// and is sent to the caller.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Malformed(pub String);

/// What the gateway reads from the headers of a request; a field is `None` if the
/// caller did not send it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// Identifies the caller's attempt; endpoints repeat it in their answers.
    pub correlation_id: String,
    /// Time that the caller will still wait.
    pub remaining: Option<Duration>,
    /// Tokens of the prompt, and the most that the answer may have.
    pub tokens: Option<(u64, u64)>,
    /// Tokens that the caller expects the answer to have.
    pub expected_output: Option<u64>,
    /// The caller's key.
    pub key: Option<String>,
    /// Id of the last event that the caller already has of a stream.
    pub last_event_id: Option<u64>,
    /// Id of the caller's attempt that brought the first event of the stream that
    /// it resumes.
    pub resumes: Option<String>,
    /// The parts of its prompt that other requests may share, in order.
    pub parts: Vec<id::Part>,
    /// Parts that could not be read, or are too many.
    pub unread_parts: usize,
}

/// What is sent to an endpoint in addition to the caller's own headers.
#[derive(Clone, Copy, Debug)]
pub struct Forward<'a> {
    /// Time that is left for the answer.
    pub remaining: Duration,
    /// The chosen endpoint; if another one has its address now, that one must not
    /// run the request.
    pub endpoint: &'a id::Endpoint,
    /// The caller's workspace.
    pub workspace: Option<&'a id::Workspace>,
    /// Whether callers need keys, which are then not forwarded.
    pub keys_required: bool,
    /// Id of the event after which the stream is resumed.
    pub last_event_id: Option<u64>,
}

/// What the gateway reads from the headers of an endpoint's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// Identifies the caller's attempt that it answers.
    pub correlation_id: Option<String>,
    /// Whether the endpoint marked it as its own, complete answer.
    pub sealed: bool,
    /// Whether the endpoint reports that it did not run the request.
    pub not_run: bool,
    /// The load that the endpoint reports; `None` if it reports none.
    pub load: Option<Result<Statement, Unreadable>>,
    /// Requests a second that the endpoint takes from all nodes together; `None` if it
    /// names no limit.
    pub limit: Option<Result<Rate, NotARate>>,
    /// What else the endpoint says about itself.
    pub notice: Notice,
    /// The endpoint that answers, if it names itself.
    pub endpoint: Option<id::Endpoint>,
}

/// Translates headers from and to the types of this module.
pub trait Dialect: Send + Sync + 'static {
    /// Reads the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails if a header that matters to the gateway is missing, repeated or
    /// unreadable.
    fn read_request(&self, headers: &HeaderMap) -> Result<Head, Malformed>;

    /// Returns the headers for an endpoint.
    fn forward(&self, headers: &HeaderMap, forward: &Forward<'_>) -> HeaderMap;

    /// Reads the status and headers of an endpoint's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> Answer;

    /// Reads from an engine's report when its process started, in milliseconds since the Unix
    /// epoch; `None` if it does not tell.
    fn read_start(&self, report: &[u8]) -> Option<u64>;

    /// Adds the id of the caller's attempt to the headers of a refusal.
    fn mark_refusal(&self, headers: &mut HeaderMap, correlation_id: &str);

    /// Returns the value of `Retry-After` in the format that callers expect.
    fn retry_after(&self, delay: Duration) -> HeaderValue;
}

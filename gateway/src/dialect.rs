//! How callers and endpoints write what the gateway needs to know.
//!
//! The gateway decides on the types of this module; an implementation
//! translates them from and to headers and decides nothing.

use std::time::Duration;

use dottereltally_lib::id;
use http::{HeaderMap, HeaderValue};

/// Why a head can't be understood; the text names the remedy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Malformed(pub String);

/// What a caller says about a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// Identifies the attempt; endpoints repeat it.
    pub correlation: String,
    /// Time that the caller goes on waiting.
    pub remaining: Option<Duration>,
    /// Tokens of the prompt and of the longest answer.
    pub tokens: Option<(u64, u64)>,
    /// Tokens that the caller expects of the answer.
    pub expected: Option<u64>,
    /// The caller's key.
    pub key: Option<String>,
    /// Last event of the stream that the caller has.
    pub after: Option<u64>,
}

/// What an endpoint is told beside the caller's own headers.
#[derive(Clone, Copy, Debug)]
pub struct Forward<'a> {
    /// Time that is left for the answer.
    pub remaining: Duration,
    /// The endpoint that is meant; another one at its address must not run it.
    pub endpoint: &'a id::Endpoint,
    /// The caller's workspace.
    pub workspace: Option<&'a id::Workspace>,
    /// Whether callers need keys, which are not passed on then.
    pub keyed: bool,
    /// Last event that the stream goes on after.
    pub after: Option<u64>,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// The attempt that it answers.
    pub correlation: Option<String>,
    /// Whether it is marked as the endpoint's own, whole answer.
    pub sealed: bool,
    /// Whether the endpoint says that it did not run the request.
    pub not_run: bool,
    /// Requests that the endpoint runs and keeps waiting.
    pub load: Option<(u32, u32)>,
}

/// Translates heads.
pub trait Dialect: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails if a header that decides about the request is missing, doubled or
    /// unreadable.
    fn read(&self, headers: &HeaderMap) -> Result<Head, Malformed>;

    /// Returns the headers for an endpoint.
    fn forward(&self, headers: &HeaderMap, forward: &Forward<'_>) -> HeaderMap;

    /// Reads the head of an endpoint's answer.
    fn answer(&self, headers: &HeaderMap) -> Answer;

    /// Marks a refusal with the attempt that it answers.
    fn refuse(&self, headers: &mut HeaderMap, correlation: &str);

    /// Returns the time to come back as callers read it.
    fn retry_after(&self, delay: Duration) -> HeaderValue;
}

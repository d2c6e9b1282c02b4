//! Reasons for which requests are refused, and what callers may conclude.

use std::time::Duration;

use derive_more::Display;

/// Whether the request may have run.
///
/// For a call with an idempotency key, this covers every attempt with that key,
/// not only the last one.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Run {
    /// The request was not sent to any endpoint.
    #[display("not-run")]
    NotRun,
    /// An endpoint may have run it.
    #[display("may-have-run")]
    MayHaveRun,
}

/// Reason for which the decision core refuses a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Reason {
    /// The queue of its tier is full, or it was evicted for a request of a
    /// higher tier.
    #[display("overload")]
    Overload,
    /// It can't be answered before its deadline.
    #[display("deadline")]
    Deadline,
    /// Its service has no usable endpoint, or none of the version that it needs.
    #[display("no-endpoint")]
    NoEndpoint,
    /// Its workspace has exceeded its limit.
    #[display("limit")]
    Limit,
    /// It was in flight when too many endpoints died.
    #[display("quarantine")]
    Quarantine,
    /// The node is shutting down.
    #[display("shutdown")]
    Shutdown,
}

/// A refusal by the decision core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// Time after which the caller should retry.
    pub retry_after: Duration,
}

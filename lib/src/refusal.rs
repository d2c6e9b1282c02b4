//! Why a request was refused, and what a caller may conclude from it.

use std::time::Duration;

use derive_more::Display;

/// Whether the request can have run.
///
/// For a call with an idempotency key this speaks of every attempt with that
/// key, not of the last attempt alone.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Run {
    /// Nothing was handed to an endpoint.
    #[display("not-run")]
    NotRun,
    /// An endpoint may have run it.
    #[display("may-have-run")]
    MayHaveRun,
}

/// Why the decision core refused a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Reason {
    /// The queue of its tier is full or it was evicted for a higher tier.
    #[display("overload")]
    Overload,
    /// It can't be answered before its deadline.
    #[display("deadline")]
    Deadline,
    /// Its service has no usable endpoint.
    #[display("no-endpoint")]
    NoEndpoint,
    /// Its workspace is over its limit.
    #[display("limit")]
    Limit,
    /// It was in flight at the death of too many endpoints.
    #[display("quarantine")]
    Quarantine,
    /// The node is shutting down.
    #[display("shutdown")]
    Shutdown,
}

/// A refusal by the decision core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When the caller should come back.
    pub retry_after: Duration,
}

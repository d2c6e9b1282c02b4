//! The right to run a non-idempotent call, held through the key-value service.
//!
//! An attempt claims its key by one transaction that writes the attempt's own
//! token if the key is absent and reads the key otherwise. Whoever reads its
//! own token holds the claim. The same transaction is repeated with the same
//! token until it is answered, so that a lost answer settles itself.
//!
//! A token is deleted or replaced only after its node has recorded, for good,
//! that the attempt was not dispatched. Hence the token of an attempt that was
//! dispatched stays in the key until its lease runs out, and every other
//! attempt reads it there. `docs/design/claims.md` gives the whole argument.

mod breaker;
mod counters;
mod held;
mod identity;
mod keeper;
mod lease;
mod sweeper;

use std::time::Duration;

use dottereltally_lib::id;
use dottereltally_store::kv;

use crate::peer::Response;

pub use counters::Counters;
pub use held::{Dispatched, Held};
pub use keeper::Keeper;

/// What a claim is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Scope {
    /// The caller's workspace.
    pub workspace: id::Workspace,
    /// The service that runs the call.
    pub service: id::Service,
    /// The caller's idempotency key.
    pub key: String,
}

/// Time limits of a keeper.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time to settle a claim whose answer was lost.
    pub settle: Duration,
    /// Time to wait for the answer of the attempt that holds the claim.
    pub wait: Duration,
    /// Time to give a claim back while the caller waits for its refusal.
    pub release: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            settle: Duration::from_secs(2),
            wait: Duration::from_secs(5),
            release: Duration::from_secs(2),
        }
    }
}

/// Why an attempt did not get its claim.
///
/// In no case may a caller conclude that the call did not run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Lost {
    /// The attempt that held the claim was answered; this is its answer.
    #[error("the call was answered before; use the answer that was kept")]
    Replay(Response),
    /// Another attempt holds the claim and has not ended.
    #[error("the call is running; send it again with the same key after {retry_after:?}")]
    Running {
        /// When the caller should come back.
        retry_after: Duration,
    },
    /// Another attempt held the claim and its answer can't be had.
    #[error("the call may have run; look at its effects before sending it with another key")]
    Unknown {
        /// When the caller should come back, if that can help.
        retry_after: Option<Duration>,
    },
    /// The key was used for another request.
    #[error("the idempotency key was used for another request; use a new key")]
    Mismatch,
    /// The key-value service is away.
    #[error("no claim can be taken: send the call again with the same key after {retry_after:?}")]
    Away {
        /// When the caller should come back.
        retry_after: Duration,
    },
}

/// Why a claim could not be given back.
///
/// In no case may a caller conclude that the call did not run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The key-value service did not confirm it in time.
    #[error("the claim was not confirmed as given back; send the call again with the same key")]
    Unconfirmed,
    /// Another attempt has taken the key.
    #[error("another attempt has taken the key; send the call again with the same key")]
    Taken,
    /// The claim was held for too long to rely on it.
    #[error("the claim was held for longer than its lease covers; send the call again")]
    Expired,
    /// The service refused the call.
    #[error(transparent)]
    Refused(kv::Error),
}

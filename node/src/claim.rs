//! The exclusive right to run a non-idempotent call, stored in the key-value
//! service.
//!
//! Each request for such a call is an attempt, identified by a random token;
//! requests that repeat the call with the same idempotency key are further
//! attempts. An attempt claims its key with one transaction that writes the attempt's
//! token if the key is absent and reads the key otherwise. An attempt that
//! reads back its own token holds the claim. The transaction is repeated with
//! the same token until it is answered, so a lost answer does no harm.
//!
//! A token is deleted or replaced only after its node has permanently recorded
//! that the attempt was not dispatched. The token of a dispatched attempt
//! therefore stays in the key until its lease expires, and every other attempt
//! reads it there. `docs/design/claims.md` contains the full argument.

mod breaker;
mod counters;
mod held;
mod identity;
mod keeper;
mod lease;
mod releaser;

use std::time::Duration;

use dottereltally_lib::id;
use dottereltally_store::kv;

use crate::peer::Response;

pub use counters::Counters;
pub use held::{Dispatched, Held};
pub use keeper::Keeper;

/// Identifies the call that a claim is for.
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
    /// Time to repeat a claiming transaction whose answer was lost.
    pub transact: Duration,
    /// Time to wait for the attempt that holds the claim to end.
    pub wait: Duration,
    /// Time to release a claim while the caller waits to be refused.
    pub release: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            transact: Duration::from_secs(2),
            wait: Duration::from_secs(5),
            release: Duration::from_secs(2),
        }
    }
}

/// Why an attempt did not get its claim.
///
/// No variant proves that the call did not run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The attempt that held the claim has completed with this response.
    #[error("the call was answered before; use the answer that was kept")]
    Replay(Response),
    /// Another attempt holds the claim and has not ended.
    #[error("the call is running; send it again with the same key after {retry_after:?}")]
    Running {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
    /// Another attempt held the claim and its response is not available.
    #[error("the call may have run; look at its effects before sending it with another key")]
    Unknown {
        /// Time after which the caller should retry, if a retry can help.
        retry_after: Option<Duration>,
    },
    /// The key was used for a different request.
    #[error("the idempotency key was used for another request; use a new key")]
    Mismatch,
    /// The key-value service is unavailable.
    #[error("no claim can be taken: send the call again with the same key after {retry_after:?}")]
    Unavailable {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
}

/// Why a claim could not be released.
///
/// No variant proves that the call did not run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The key-value service did not confirm the release in time.
    #[error("the release of the claim was not confirmed; send the call again with the same key")]
    Unconfirmed,
    /// Another attempt has claimed the key.
    #[error("another attempt has claimed the key; send the call again with the same key")]
    Claimed,
    /// The claim was held for so long that its lease may have expired.
    #[error("the claim was held for so long that it may have expired; send the call again")]
    Expired,
    /// The key-value service refused the transaction.
    #[error(transparent)]
    Refused(kv::Error),
}

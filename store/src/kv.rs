//! Trait and data types of the key-value service.

use std::{future::Future, time::Duration};

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Revision of the key-value service, a counter that every change raises.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct Revision(pub i64);

/// Identifies a lease of the key-value service.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub struct Lease(pub i64);

/// One key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// Revision that created the key.
    pub created: Revision,
    /// Revision that last modified the key.
    pub modified: Revision,
}

/// Condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// The key does not exist.
    Absent(String),
    /// The key was last modified by this revision.
    Modified(String, Revision),
    /// The key has this value.
    Value(String, Vec<u8>),
}

/// Operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Writes a value, bound to a lease if one is given.
    Put(String, Vec<u8>, Option<Lease>),
    /// Deletes a key.
    Delete(String),
    /// Reads a key.
    Get(String),
}

/// Transaction that runs one of two lists of operations, depending on its
/// conditions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Conditions, all of which must hold for `success` to run.
    pub compares: Vec<Compare>,
    /// Operations that run if all conditions hold.
    pub success: Vec<Operation>,
    /// Operations that run otherwise.
    pub failure: Vec<Operation>,
}

impl Transaction {
    /// Returns the first lease that a written key is bound to, or `None` if no
    /// operation has a lease.
    #[must_use]
    pub fn lease(&self) -> Option<Lease> {
        for operation in self.success.iter().chain(&self.failure) {
            if let Operation::Put(_, _, Some(lease)) = operation {
                return Some(*lease);
            }
        }
        None
    }
}

/// Result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Whether the conditions held.
    pub succeeded: bool,
    /// Revision of the store after the transaction.
    pub revision: Revision,
    /// Results of the `Get` operations that ran, in order; `None` if the key does
    /// not exist.
    pub reads: Vec<Option<Entry>>,
}

/// Change of a key, as a watch reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Put(Entry),
    /// The key was deleted by this revision.
    Deleted(String, Revision),
}

/// Error of a call to the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The request was not sent; the call had no effect.
    #[error(
        "the key-value service can't be reached at {address}: {cause}; check `platform.kv` in the settings and the service itself"
    )]
    Unreachable {
        /// Address that was tried.
        address: String,
        /// Error of the connection.
        cause: String,
    },
    /// The request was sent but not answered; the call may have taken effect.
    #[error("no answer from the key-value service: {0}; read the key back before trying again")]
    Lost(String),
    /// The service answered with an error that rules out an effect of the call.
    #[error("the key-value service refused the call: {0}")]
    Refused(String),
    /// The lease does not exist or has expired; the call had no effect.
    #[error("the key-value service does not know lease {0}; grant a new one")]
    UnknownLease(Lease),
    /// The answer could not be decoded; the call may have taken effect.
    #[error(
        "the key-value service gave an unreadable answer: {0}; check that it speaks the etcd v3 JSON gateway"
    )]
    Unreadable(String),
}

impl Error {
    /// Returns whether the call may have taken effect.
    #[must_use]
    pub const fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::Lost(_) | Self::Unreadable(_))
    }
}

/// Client of the key-value service.
pub trait Store: Clone + Send + Sync + 'static {
    /// Watch of one key.
    type Watch: Watch;

    /// Reads one key, linearizably.
    ///
    /// # Errors
    ///
    /// Fails if the service can't be reached or does not answer in time.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, Error>> + Send;

    /// Reads the keys that start with `prefix`, in order, at most `limit`.
    ///
    /// # Errors
    ///
    /// Fails if the service can't be reached or does not answer in time.
    fn list(
        &self,
        prefix: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<Entry>, Error>> + Send;

    /// Runs a transaction.
    ///
    /// # Errors
    ///
    /// Fails if the service can't be reached or does not answer in time; see
    /// [`Error::may_have_taken_effect`].
    fn transact(
        &self,
        transaction: Transaction,
    ) -> impl Future<Output = Result<Outcome, Error>> + Send;

    /// Grants a lease.
    ///
    /// # Errors
    ///
    /// Fails if the service can't be reached or does not answer in time.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<Lease, Error>> + Send;

    /// Renews a lease once and returns its new time to live.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::UnknownLease`] if the lease has expired, or if the
    /// service can't be reached or does not answer in time.
    fn renew(&self, lease: Lease) -> impl Future<Output = Result<Duration, Error>> + Send;

    /// Revokes a lease, which deletes its keys.
    ///
    /// # Errors
    ///
    /// Fails if the service can't be reached or does not answer in time.
    fn revoke(&self, lease: Lease) -> impl Future<Output = Result<(), Error>> + Send;

    /// Watches one key, starting with the changes of revision `from`.
    ///
    /// # Errors
    ///
    /// Fails if the service can't be reached.
    fn watch(
        &self,
        key: &str,
        from: Revision,
    ) -> impl Future<Output = Result<Self::Watch, Error>> + Send;
}

/// Watch of one key; dropping it cancels it.
pub trait Watch: Send + 'static {
    /// Waits for the next changes.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost or the service cancels the watch; start
    /// a new one then.
    fn next(&mut self) -> impl Future<Output = Result<Vec<Change>, Error>> + Send;
}

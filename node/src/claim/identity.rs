//! Key, token and value of one attempt's claim.

use dottereltally_lib::id;
use dottereltally_store::{kv, layout};
use sha2::{Digest, Sha256};
use uuid::Uuid;

use crate::claim::Scope;

/// Key, token and stored value of one attempt's claim.
#[derive(Debug)]
pub(super) struct Identity {
    /// Key of the claim in the key-value service.
    pub(super) key: String,
    /// Random token of the attempt.
    pub(super) token: String,
    /// Encoded [`layout::Claim`] that is stored at the key.
    pub(super) value: Vec<u8>,
    /// Fingerprint of the request.
    pub(super) fingerprint: id::Fingerprint,
}

impl Identity {
    /// Builds the claim of a new attempt, with a random token.
    pub(super) fn new(node: &id::Node, scope: &Scope, fingerprint: id::Fingerprint) -> Self {
        let token = Uuid::new_v4().simple().to_string();
        let record = layout::Claim {
            token: token.clone(),
            node: node.clone(),
            fingerprint,
        };
        Self {
            key: key(scope),
            token,
            value: encode(&record),
            fingerprint,
        }
    }

    /// Returns the transaction that claims the key: if `abandoned` is none,
    /// provided that the key is absent, else provided that it has that value.
    pub(super) fn claim(&self, abandoned: Option<&[u8]>, lease: kv::Lease) -> kv::Transaction {
        let key = || self.key.clone();
        let compare = match abandoned {
            None => kv::Compare::Absent(key()),
            Some(value) => kv::Compare::Value(key(), value.to_vec()),
        };
        let put = kv::Operation::Put(key(), self.value.clone(), Some(lease));
        kv::Transaction {
            compares: vec![compare],
            success: vec![put],
            failure: vec![kv::Operation::Get(key())],
        }
    }

    /// Returns the transaction that deletes the key if it has this claim's value.
    pub(super) fn release(&self) -> kv::Transaction {
        let key = || self.key.clone();
        kv::Transaction {
            compares: vec![kv::Compare::Value(key(), self.value.clone())],
            success: vec![kv::Operation::Delete(key())],
            failure: vec![kv::Operation::Get(key())],
        }
    }
}

/// Returns the key of a claim: the workspace's prefix and a digest, which
/// bounds the length of the key whatever the caller sends.
fn key(scope: &Scope) -> String {
    let mut digest = Sha256::new();
    digest.update(scope.workspace.as_str());
    digest.update([0]);
    digest.update(scope.service.as_str());
    digest.update([0]);
    digest.update(&scope.key);
    format!(
        "{}{}/{:x}",
        layout::CLAIMS_PREFIX,
        scope.workspace,
        digest.finalize()
    )
}

/// Encodes a record.
///
/// # Panics
///
/// Panics if the record can't be serialized as JSON.
fn encode(record: &layout::Claim) -> Vec<u8> {
    serde_json::to_vec(record).expect("a record of strings and numbers can be serialized as JSON")
}

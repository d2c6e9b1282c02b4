//! Keys and values that are stored in the key-value service.

use dottereltally_lib::id;
use serde::{Deserialize, Serialize};

/// Key of the configuration in force.
pub const CONFIGURATION_KEY: &str = "/dottereltally/configuration";
/// Key prefix of the audit trail; the generation follows, padded to 20 digits.
pub const AUDIT_PREFIX: &str = "/dottereltally/audit/";
/// Key prefix of the claims.
pub const CLAIMS_PREFIX: &str = "/dottereltally/claims/";

/// The configuration in force, as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Generation of this configuration.
    pub generation: id::Generation,
    /// The operators' text, unchanged.
    pub text: String,
    /// Who applied it.
    pub author: String,
    /// Time of the change, RFC 3339.
    pub time: String,
    /// Identifies the proposal, so that its author can find it after a lost
    /// answer.
    pub token: String,
}

/// One entry of the audit trail, written in the same transaction as the
/// configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Audit {
    /// The generation that came into force.
    pub generation: id::Generation,
    /// Who applied it.
    pub author: String,
    /// Time of the change, RFC 3339.
    pub time: String,
    /// Changes, one per line, such as `calls.pay: tier 1 -> 0`.
    pub changes: Vec<String>,
    /// Identifies the proposal.
    pub token: String,
}

/// Exclusive right to run the call with one idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// Identifies the attempt that holds the claim.
    pub token: String,
    /// Node of that attempt.
    pub node: id::Node,
    /// Hash of the request; another request with the same key must have the
    /// same hash.
    pub fingerprint: id::Fingerprint,
}

/// Returns the key of the audit entry of a generation.
#[must_use]
pub fn audit_key(generation: id::Generation) -> String {
    format!("{AUDIT_PREFIX}{:020}", generation.0)
}

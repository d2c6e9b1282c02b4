//! Keys of the key-value service and the values behind them.

use dottereltally_lib::id;
use serde::{Deserialize, Serialize};

/// Key of the configuration in force.
pub const CONFIGURATION: &str = "/dottereltally/configuration";
/// Prefix of the audit trail; a generation follows, 20 digits.
pub const AUDIT: &str = "/dottereltally/audit/";
/// Prefix of the claims.
pub const CLAIMS: &str = "/dottereltally/claims/";

/// The configuration in force, as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Its number.
    pub generation: id::Generation,
    /// The operators' text, as written.
    pub text: String,
    /// Who applied it.
    pub author: String,
    /// When, RFC 3339.
    pub time: String,
    /// Identifies the apply, so that a lost answer can be settled.
    pub token: String,
}

/// One entry of the audit trail, written in the transaction of its change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Audit {
    /// The generation that came into force.
    pub generation: id::Generation,
    /// Who applied it.
    pub author: String,
    /// When, RFC 3339.
    pub time: String,
    /// What changed, a line each, such as `calls.pay: tier 1 -> 0`.
    pub changes: Vec<String>,
    /// Identifies the apply.
    pub token: String,
}

/// The right to run one call with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// Identifies the attempt that holds it.
    pub token: String,
    /// The node that holds it.
    pub node: id::Node,
    /// Hash of the request; a second request with the key must be the same.
    pub fingerprint: id::Fingerprint,
}

/// Returns the key of the audit entry of a generation.
#[must_use]
pub fn audit_key(generation: id::Generation) -> String {
    format!("{AUDIT}{:020}", generation.0)
}

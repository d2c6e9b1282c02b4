//! Messages of etcd's JSON gateway.

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::{Deserialize, Deserializer, de};
use serde_json::{Value, json};

/// An `int64`, which the gateway writes as a string and reads from a string or
/// a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Int(pub i64);

impl<'de> Deserialize<'de> for Int {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Either {
            Number(i64),
            Text(String),
        }
        match Either::deserialize(deserializer)? {
            Either::Number(number) => Ok(Self(number)),
            Either::Text(text) => text.parse().map(Self).map_err(de::Error::custom),
        }
    }
}

/// Bytes, which are encoded as base64 in JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Blob(pub Vec<u8>);

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(de::Error::custom)
    }
}

/// Encodes bytes as base64, as the gateway does.
pub fn base64(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Builds the header of a response.
pub fn header(revision: i64) -> Value {
    json!({"cluster_id": "1", "member_id": "1", "revision": revision.to_string(), "raft_term": "1"})
}

/// A read of one key or of a range.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Range {
    pub key: Blob,
    #[serde(rename = "range_end", alias = "rangeEnd")]
    pub end: Blob,
    pub limit: Int,
}

/// A write of one key.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Put {
    pub key: Blob,
    pub value: Blob,
    pub lease: Int,
}

/// The property of a key that a condition compares.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Target {
    #[default]
    Version,
    Create,
    Mod,
    Value,
    Lease,
}

/// How the property must relate to the operand.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Relation {
    #[default]
    Equal,
    Greater,
    Less,
    NotEqual,
}

/// A condition of a transaction.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Compare {
    pub key: Blob,
    pub target: Target,
    pub result: Relation,
    pub version: Int,
    #[serde(alias = "createRevision")]
    pub create_revision: Int,
    #[serde(alias = "modRevision")]
    pub mod_revision: Int,
    pub value: Blob,
    pub lease: Int,
}

/// One operation of a transaction, encoded as an object with a single field.
#[derive(Clone, Debug, Deserialize)]
pub enum Operation {
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(Put),
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(Range),
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    Delete(Range),
}

/// A transaction: runs `success` if every condition holds, else `failure`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Transaction {
    pub compare: Vec<Compare>,
    pub success: Vec<Operation>,
    pub failure: Vec<Operation>,
}

impl Transaction {
    /// Returns whether it contains a write, in either branch.
    pub fn has_writes(&self) -> bool {
        let mut operations = self.success.iter().chain(&self.failure);
        operations.any(|operation| !matches!(operation, Operation::Range(_)))
    }
}

/// A request to grant, renew or revoke a lease.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Lease {
    #[serde(rename = "ID")]
    pub id: Int,
    #[serde(rename = "TTL")]
    pub ttl: Int,
}

/// A request to start a watch.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Watch {
    #[serde(alias = "createRequest")]
    pub create_request: WatchCreate,
}

/// The keys of a watch and the revision that it starts from.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    pub key: Blob,
    #[serde(rename = "range_end", alias = "rangeEnd")]
    pub end: Blob,
    #[serde(alias = "startRevision")]
    pub start_revision: Int,
}

//! Messages of the gateway as they are sent.

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::{Deserialize, Deserializer, de};
use serde_json::{Value, json};

/// An `int64`, which the gateway writes as a string and reads as either.
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

/// Bytes, base64 on the wire.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Blob(pub Vec<u8>);

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(de::Error::custom)
    }
}

/// Encodes bytes as the gateway does.
pub fn encode(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Builds the header of an answer.
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

/// A write.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Put {
    pub key: Blob,
    pub value: Blob,
    pub lease: Int,
}

/// What a comparison looks at.
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

/// How it compares.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Relation {
    #[default]
    Equal,
    Greater,
    Less,
    NotEqual,
}

/// A condition.
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

/// One operation; exactly one member is set.
#[derive(Clone, Debug, Deserialize)]
pub enum Operation {
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(Put),
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(Range),
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    Delete(Range),
}

/// A transaction.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Transaction {
    pub compare: Vec<Compare>,
    pub success: Vec<Operation>,
    pub failure: Vec<Operation>,
}

impl Transaction {
    /// Returns whether it can change anything.
    pub fn writes(&self) -> bool {
        let mut operations = self.success.iter().chain(&self.failure);
        operations.any(|operation| !matches!(operation, Operation::Range(_)))
    }
}

/// A grant, renewal or revocation.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Lease {
    #[serde(rename = "ID")]
    pub id: Int,
    #[serde(rename = "TTL")]
    pub ttl: Int,
}

/// The start of a watch.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Watch {
    #[serde(alias = "createRequest")]
    pub create_request: WatchCreate,
}

/// What a watch looks at.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    pub key: Blob,
    #[serde(rename = "range_end", alias = "rangeEnd")]
    pub end: Blob,
    #[serde(alias = "startRevision")]
    pub start_revision: Int,
}

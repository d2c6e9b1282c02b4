//! Messages of the etcd v3 JSON gateway.
//!
//! Keys and values are base64, 64-bit numbers are strings. Responses may also
//! have 64-bit numbers as JSON numbers, and leave out fields that are zero.

mod scalar;

use serde::{Deserialize, Serialize};

use crate::kv::{Change, Compare, Entry, Lease, Operation, Outcome, Revision, Transaction};

pub(super) use scalar::{Base64, Number};

/// Error of a response that is valid JSON but can't be interpreted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum Error {
    #[error("a key is not UTF-8")]
    KeyEncoding,
    #[error("the answer has {found} results for {expected} operations")]
    ResultCount { found: usize, expected: usize },
}

#[derive(Debug, Default, Serialize)]
pub(super) struct RangeRequest {
    pub(super) key: Base64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) range_end: Option<Base64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) limit: Option<Number>,
}

#[derive(Debug, Default, Deserialize)]
pub(super) struct Header {
    #[serde(default)]
    pub(super) revision: Number,
}

#[derive(Debug, Default, Deserialize)]
pub(super) struct KeyValue {
    #[serde(default)]
    key: Base64,
    #[serde(default)]
    value: Base64,
    #[serde(default)]
    create_revision: Number,
    #[serde(default)]
    mod_revision: Number,
}

impl TryFrom<KeyValue> for Entry {
    type Error = Error;

    fn try_from(wire: KeyValue) -> Result<Self, Error> {
        Ok(Self {
            key: String::from_utf8(wire.key.0).map_err(|_| Error::KeyEncoding)?,
            value: wire.value.0,
            created: Revision(wire.create_revision.0),
            modified: Revision(wire.mod_revision.0),
        })
    }
}

#[derive(Debug, Default, Deserialize)]
pub(super) struct RangeResponse {
    #[serde(default)]
    pub(super) kvs: Vec<KeyValue>,
}

impl TryFrom<RangeResponse> for Vec<Entry> {
    type Error = Error;

    fn try_from(wire: RangeResponse) -> Result<Self, Error> {
        wire.kvs.into_iter().map(Entry::try_from).collect()
    }
}

#[derive(Debug, Serialize)]
pub(super) struct CompareMessage {
    key: Base64,
    target: &'static str,
    result: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    create_revision: Option<Number>,
    #[serde(skip_serializing_if = "Option::is_none")]
    mod_revision: Option<Number>,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<Base64>,
}

impl From<Compare> for CompareMessage {
    fn from(compare: Compare) -> Self {
        let (Compare::Absent(key) | Compare::Modified(key, _) | Compare::Value(key, _)) = &compare;
        let mut message = Self {
            key: Base64::from(key.as_str()),
            target: "",
            result: "EQUAL",
            create_revision: None,
            mod_revision: None,
            value: None,
        };
        match compare {
            Compare::Absent(_) => {
                message.target = "CREATE";
                message.create_revision = Some(Number(0));
            }
            Compare::Modified(_, revision) => {
                message.target = "MOD";
                message.mod_revision = Some(Number(revision.0));
            }
            Compare::Value(_, value) => {
                message.target = "VALUE";
                message.value = Some(Base64(value));
            }
        }
        message
    }
}

#[derive(Debug, Serialize)]
pub(super) struct PutRequest {
    key: Base64,
    value: Base64,
    #[serde(skip_serializing_if = "Option::is_none")]
    lease: Option<Number>,
}

#[derive(Debug, Serialize)]
pub(super) struct DeleteRequest {
    key: Base64,
}

#[derive(Debug, Serialize)]
pub(super) enum RequestOperation {
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_delete_range")]
    Delete(DeleteRequest),
    #[serde(rename = "request_range")]
    Get(RangeRequest),
}

impl From<Operation> for RequestOperation {
    fn from(operation: Operation) -> Self {
        match operation {
            Operation::Put(key, value, lease) => Self::Put(PutRequest {
                key: Base64::from(key.as_str()),
                value: Base64(value),
                lease: lease.map(|lease| Number(lease.0)),
            }),
            Operation::Delete(key) => Self::Delete(DeleteRequest {
                key: Base64::from(key.as_str()),
            }),
            Operation::Get(key) => Self::Get(RangeRequest {
                key: Base64::from(key.as_str()),
                ..RangeRequest::default()
            }),
        }
    }
}

#[derive(Debug, Serialize)]
pub(super) struct TxnRequest {
    compare: Vec<CompareMessage>,
    success: Vec<RequestOperation>,
    failure: Vec<RequestOperation>,
}

impl From<Transaction> for TxnRequest {
    fn from(transaction: Transaction) -> Self {
        Self {
            compare: transaction.compares.into_iter().map(Into::into).collect(),
            success: transaction.success.into_iter().map(Into::into).collect(),
            failure: transaction.failure.into_iter().map(Into::into).collect(),
        }
    }
}

#[derive(Debug, Default, Deserialize)]
pub(super) struct ResponseOperation {
    response_range: Option<RangeResponse>,
}

#[derive(Debug, Default, Deserialize)]
pub(super) struct TxnResponse {
    #[serde(default)]
    header: Header,
    #[serde(default)]
    succeeded: bool,
    #[serde(default)]
    responses: Vec<ResponseOperation>,
}

/// Marks which operations of a transaction are reads, by their position.
#[derive(Debug)]
pub(super) struct ReadMask {
    /// For each operation of the `success` list, whether it is a read.
    success: Vec<bool>,
    /// For each operation of the `failure` list, whether it is a read.
    failure: Vec<bool>,
}

impl From<&Transaction> for ReadMask {
    fn from(transaction: &Transaction) -> Self {
        let reads = |operations: &[Operation]| {
            operations
                .iter()
                .map(|operation| matches!(operation, Operation::Get(_)))
                .collect()
        };
        Self {
            success: reads(&transaction.success),
            failure: reads(&transaction.failure),
        }
    }
}

impl ReadMask {
    /// Returns whether the transaction writes nothing, whichever list runs.
    pub(super) fn is_read_only(&self) -> bool {
        self.success.iter().chain(&self.failure).all(|read| *read)
    }
}

impl TxnResponse {
    /// Converts the response to the transaction with this `read_mask`.
    ///
    /// # Errors
    ///
    /// Fails if the number of results is not that of the operations that ran, or
    /// if a key is not UTF-8.
    pub(super) fn outcome(self, read_mask: &ReadMask) -> Result<Outcome, Error> {
        let expected = if self.succeeded {
            &read_mask.success
        } else {
            &read_mask.failure
        };
        if self.responses.len() != expected.len() {
            return Err(Error::ResultCount {
                found: self.responses.len(),
                expected: expected.len(),
            });
        }
        let mut reads = Vec::new();
        for (response, is_read) in self.responses.into_iter().zip(expected) {
            if !is_read {
                continue;
            }
            let range = response.response_range.unwrap_or_default();
            let entry = range.kvs.into_iter().next();
            reads.push(entry.map(Entry::try_from).transpose()?);
        }
        Ok(Outcome {
            succeeded: self.succeeded,
            revision: Revision(self.header.revision.0),
            reads,
        })
    }
}

#[derive(Debug, Serialize)]
pub(super) struct GrantRequest {
    #[serde(rename = "TTL")]
    pub(super) ttl: Number,
}

#[derive(Debug, Serialize)]
pub(super) struct LeaseRequest {
    #[serde(rename = "ID")]
    pub(super) id: Number,
}

impl From<Lease> for LeaseRequest {
    fn from(lease: Lease) -> Self {
        Self {
            id: Number(lease.0),
        }
    }
}

#[derive(Debug, Default, Deserialize)]
pub(super) struct LeaseResponse {
    #[serde(rename = "ID", default)]
    pub(super) id: Number,
    #[serde(rename = "TTL", default)]
    pub(super) ttl: Number,
}

#[derive(Debug, Default, Deserialize)]
pub(super) struct Empty {}

/// One message of a stream: a result or an error.
#[derive(Debug, Deserialize)]
pub(super) struct Streamed<T> {
    pub(super) result: Option<T>,
    pub(super) error: Option<ErrorBody>,
}

#[derive(Debug, Serialize)]
pub(super) struct WatchRequest {
    pub(super) create_request: WatchCreate,
}

#[derive(Debug, Serialize)]
pub(super) struct WatchCreate {
    pub(super) key: Base64,
    pub(super) start_revision: Number,
    pub(super) progress_notify: bool,
}

#[derive(Debug, Default, Deserialize)]
pub(super) struct WatchResponse {
    #[serde(default)]
    pub(super) canceled: bool,
    #[serde(default)]
    pub(super) cancel_reason: String,
    #[serde(default)]
    pub(super) events: Vec<Event>,
}

#[derive(Debug, Deserialize)]
pub(super) struct Event {
    #[serde(rename = "type", default)]
    kind: Kind,
    #[serde(default)]
    kv: KeyValue,
}

/// Kind of an event; `Put` if the field is left out.
#[derive(Debug, Default, Deserialize)]
enum Kind {
    #[default]
    #[serde(rename = "PUT", alias = "0")]
    Put,
    #[serde(rename = "DELETE", alias = "1")]
    Delete,
}

impl TryFrom<Event> for Change {
    type Error = Error;

    fn try_from(event: Event) -> Result<Self, Error> {
        let entry = Entry::try_from(event.kv)?;
        Ok(match event.kind {
            Kind::Put => Self::Put(entry),
            Kind::Delete => Self::Deleted(entry.key, entry.modified),
        })
    }
}

/// Body of an error; the version of the gateway decides which of the two texts
/// is set.
#[derive(Clone, Debug, Default, Deserialize)]
pub(super) struct ErrorBody {
    #[serde(default, alias = "grpc_code")]
    pub(super) code: i64,
    #[serde(default)]
    message: String,
    #[serde(default)]
    error: String,
}

impl ErrorBody {
    /// Returns the text of the error.
    pub(super) fn text(&self) -> &str {
        if self.message.is_empty() {
            return &self.error;
        }
        &self.message
    }
}

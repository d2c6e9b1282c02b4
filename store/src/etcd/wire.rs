//! Messages of the etcd v3 JSON gateway.
//!
//! Keys and values are base64, 64-bit numbers are strings; answers may carry
//! them as JSON numbers too, and leave out fields that are zero.

mod scalar;

use serde::{Deserialize, Serialize};

use crate::kv::{Change, Compare, Entry, Lease, Operation, Outcome, Revision, Transaction};

pub(super) use scalar::{Data, Number};

/// A message that breaks the format.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum Fault {
    #[error("a key is not UTF-8")]
    Key,
    #[error("the answer has {found} results for {expected} operations")]
    Results { found: usize, expected: usize },
}

#[derive(Debug, Default, Serialize)]
pub(super) struct RangeRequest {
    pub(super) key: Data,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) range_end: Option<Data>,
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
    key: Data,
    #[serde(default)]
    value: Data,
    #[serde(default)]
    create_revision: Number,
    #[serde(default)]
    mod_revision: Number,
}

impl TryFrom<KeyValue> for Entry {
    type Error = Fault;

    fn try_from(wire: KeyValue) -> Result<Self, Fault> {
        Ok(Self {
            key: String::from_utf8(wire.key.0).map_err(|_| Fault::Key)?,
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
    type Error = Fault;

    fn try_from(wire: RangeResponse) -> Result<Self, Fault> {
        wire.kvs.into_iter().map(Entry::try_from).collect()
    }
}

#[derive(Debug, Serialize)]
pub(super) struct CompareMessage {
    key: Data,
    target: &'static str,
    result: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    create_revision: Option<Number>,
    #[serde(skip_serializing_if = "Option::is_none")]
    mod_revision: Option<Number>,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<Data>,
}

impl From<Compare> for CompareMessage {
    fn from(compare: Compare) -> Self {
        let (Compare::Absent(key) | Compare::Modified(key, _) | Compare::Value(key, _)) = &compare;
        let mut message = Self {
            key: Data::from(key.as_str()),
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
                message.value = Some(Data(value));
            }
        }
        message
    }
}

#[derive(Debug, Serialize)]
pub(super) struct PutRequest {
    key: Data,
    value: Data,
    #[serde(skip_serializing_if = "Option::is_none")]
    lease: Option<Number>,
}

#[derive(Debug, Serialize)]
pub(super) struct DeleteRequest {
    key: Data,
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
                key: Data::from(key.as_str()),
                value: Data(value),
                lease: lease.map(|lease| Number(lease.0)),
            }),
            Operation::Delete(key) => Self::Delete(DeleteRequest {
                key: Data::from(key.as_str()),
            }),
            Operation::Get(key) => Self::Get(RangeRequest {
                key: Data::from(key.as_str()),
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

/// Whether each operation of a list is a read, by its position.
#[derive(Debug)]
pub(super) struct Shape {
    success: Vec<bool>,
    failure: Vec<bool>,
}

impl From<&Transaction> for Shape {
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

impl Shape {
    /// Returns whether the transaction writes nothing in either case.
    pub(super) fn is_read(&self) -> bool {
        self.success.iter().chain(&self.failure).all(|read| *read)
    }
}

impl TxnResponse {
    /// Returns the outcome of the transaction of this shape.
    pub(super) fn outcome(self, shape: &Shape) -> Result<Outcome, Fault> {
        let expected = if self.succeeded {
            &shape.success
        } else {
            &shape.failure
        };
        if self.responses.len() != expected.len() {
            return Err(Fault::Results {
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

/// One message of a stream.
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
    pub(super) key: Data,
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

/// Kind of an event; a write if it is left out.
#[derive(Debug, Default, Deserialize)]
enum Kind {
    #[default]
    #[serde(rename = "PUT", alias = "0")]
    Put,
    #[serde(rename = "DELETE", alias = "1")]
    Delete,
}

impl TryFrom<Event> for Change {
    type Error = Fault;

    fn try_from(event: Event) -> Result<Self, Fault> {
        let entry = Entry::try_from(event.kv)?;
        Ok(match event.kind {
            Kind::Put => Self::Put(entry),
            Kind::Delete => Self::Deleted(entry.key, entry.modified),
        })
    }
}

/// Body of an error; versions of the gateway fill either text.
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

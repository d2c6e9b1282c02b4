//! Datagrams about where streams began.

use capnp::{
    Error,
    message::{Builder, ReaderOptions},
    serialize_packed,
};
use dottereltally_lib::{
    id,
    origin::{Key, Knowledge, Origin},
};
use dottereltally_proto::gateway_capnp::origin_message::{self, Which};

use crate::heartbeat::list_length;

/// Start of the datagrams, which share a socket with heartbeats. Nodes that know
/// heartbeats only read it as a number of segments beyond their limit, and
/// ignore the datagram.
const PREFIX: [u8; 4] = *b"DTO1";

/// Size limit of a message that is read, in 8-byte words: 16 KiB.
const MAX_WORDS: usize = 2 * 1024;

const UNKNOWN: u8 = 0;
const KNOWN: u8 = 1;
const CONTRADICTORY: u8 = 2;

/// A message about where streams began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Streams that began.
    Told(Vec<(Key, Origin)>),
    /// Asks where a stream began.
    Question(Question),
    /// Replies to a question.
    Reply(Reply),
}

/// Asks where a stream began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    /// Repeated by the reply.
    pub number: u64,
    /// The stream.
    pub key: Key,
    /// The service that is to serve it.
    pub service: id::Service,
    /// The only version that the node which asks has seen of the service.
    pub sole: Option<id::Version>,
}

/// Replies to a question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Number of the question.
    pub number: u64,
    /// The stream.
    pub key: Key,
    /// The node that replies.
    pub node: id::Node,
    /// What it knows.
    pub knowledge: Knowledge,
    /// Whether it has seen another version of the service than the sole one of
    /// the question.
    pub others: bool,
}

/// Returns whether a datagram is about where streams began.
#[must_use]
pub fn is_message(bytes: &[u8]) -> bool {
    bytes.starts_with(&PREFIX)
}

impl Message {
    /// Encodes the message as one datagram.
    ///
    /// # Errors
    ///
    /// Fails if the message can't be serialized.
    pub fn encode(&self) -> capnp::Result<Vec<u8>> {
        let mut message = Builder::new_default();
        let root = message.init_root::<origin_message::Builder<'_>>();
        match self {
            Self::Told(streams) => {
                let mut list = root.init_told(list_length(streams.len()));
                for (index, (key, origin)) in streams.iter().enumerate() {
                    let mut wire = list.reborrow().get(list_length(index));
                    let (high, low) = halves(*key);
                    wire.set_key_high(high);
                    wire.set_key_low(low);
                    wire.set_version(origin.version.as_str());
                    wire.set_endpoint(origin.endpoint.as_str());
                }
            }
            Self::Question(question) => {
                let mut wire = root.init_question();
                let (high, low) = halves(question.key);
                wire.set_number(question.number);
                wire.set_key_high(high);
                wire.set_key_low(low);
                wire.set_service(question.service.as_str());
                if let Some(sole) = &question.sole {
                    wire.set_sole(sole.as_str());
                }
            }
            Self::Reply(reply) => {
                let mut wire = root.init_reply();
                let (high, low) = halves(reply.key);
                wire.set_number(reply.number);
                wire.set_key_high(high);
                wire.set_key_low(low);
                wire.set_node(reply.node.as_str());
                wire.set_others(reply.others);
                match &reply.knowledge {
                    Knowledge::Unknown => wire.set_knowledge(UNKNOWN),
                    Knowledge::Contradictory => wire.set_knowledge(CONTRADICTORY),
                    Knowledge::Known(origin) => {
                        wire.set_knowledge(KNOWN);
                        wire.set_version(origin.version.as_str());
                        wire.set_endpoint(origin.endpoint.as_str());
                    }
                }
            }
        }
        let mut bytes = PREFIX.to_vec();
        serialize_packed::write_message(&mut bytes, &message)?;
        Ok(bytes)
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Fails if the datagram is not such a message.
    pub fn decode(bytes: &[u8]) -> capnp::Result<Self> {
        let packed = bytes
            .strip_prefix(&PREFIX)
            .ok_or_else(|| Error::failed("the datagram has another prefix".to_owned()))?;
        let mut options = ReaderOptions::new();
        options.traversal_limit_in_words(Some(MAX_WORDS));
        let message = serialize_packed::read_message(packed, options)?;
        match message.get_root::<origin_message::Reader<'_>>()?.which()? {
            Which::Told(list) => {
                let mut streams = Vec::new();
                for wire in list? {
                    let key = key(wire.get_key_high(), wire.get_key_low());
                    let origin = read_origin(wire.get_version()?, wire.get_endpoint()?)?;
                    streams.push((key, origin));
                }
                Ok(Self::Told(streams))
            }
            Which::Question(wire) => {
                let wire = wire?;
                let sole = wire.get_sole()?.to_str()?;
                Ok(Self::Question(Question {
                    number: wire.get_number(),
                    key: key(wire.get_key_high(), wire.get_key_low()),
                    service: id::Service::from(wire.get_service()?.to_str()?),
                    sole: (!sole.is_empty()).then(|| id::Version::from(sole)),
                }))
            }
            Which::Reply(wire) => {
                let wire = wire?;
                let knowledge = match wire.get_knowledge() {
                    UNKNOWN => Knowledge::Unknown,
                    KNOWN => {
                        Knowledge::Known(read_origin(wire.get_version()?, wire.get_endpoint()?)?)
                    }
                    _ => Knowledge::Contradictory,
                };
                Ok(Self::Reply(Reply {
                    number: wire.get_number(),
                    key: key(wire.get_key_high(), wire.get_key_low()),
                    node: id::Node::from(wire.get_node()?.to_str()?),
                    knowledge,
                    others: wire.get_others(),
                }))
            }
        }
    }
}

/// Reads an origin.
///
/// # Errors
///
/// Fails if it names no version.
fn read_origin(
    version: capnp::text::Reader<'_>,
    endpoint: capnp::text::Reader<'_>,
) -> capnp::Result<Origin> {
    if version.is_empty() {
        return Err(Error::failed("an origin names no version".to_owned()));
    }
    Ok(Origin {
        version: id::Version::from(version.to_str()?),
        endpoint: id::Endpoint::from(endpoint.to_str()?),
    })
}

fn halves(Key(key): Key) -> (u64, u64) {
    let bytes = key.to_be_bytes();
    let half = |from: usize| {
        let mut half = [0; 8];
        half.copy_from_slice(&bytes[from..from + 8]);
        u64::from_be_bytes(half)
    };
    (half(0), half(8))
}

fn key(high: u64, low: u64) -> Key {
    Key((u128::from(high) << 64) | u128::from(low))
}

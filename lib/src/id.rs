//! Identifiers.

use derive_more::{AsRef, Display, Error, From, FromStr};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// Declares a newtype over `String` for the names of one kind of entity.
macro_rules! name {
    ($(#[$doc:meta])* $kind:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Display, From, FromStr, AsRef, Default,
            PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $kind(String);

        impl $kind {
            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $kind {
            fn from(name: &str) -> Self {
                Self(name.to_owned())
            }
        }
    };
}

name! {
    /// Names one node: the daemon on one host, also across restarts.
    Node
}
name! {
    /// Names one back end: a replica of a model engine or of a plain service.
    Endpoint
}
name! {
    /// Names a service of the operators' configuration.
    Service
}
name! {
    /// Names a customer's workspace of the operators' configuration.
    Workspace
}
name! {
    /// Names a data centre.
    DataCentre
}
name! {
    /// Names a model or an adapter.
    Model
}
name! {
    /// Names a call of the operators' configuration.
    Call
}
name! {
    /// Names a route.
    Route
}
name! {
    /// Names the software version that an endpoint runs.
    Version
}

/// Identifies one attempt of a request within one node.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0}")]
pub struct Request(pub u64);

/// Position of a tier in the operators' configuration; zero is the highest.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    Default,
    From,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Tier(pub u8);

/// Generation number of an accepted configuration; a higher one replaces a lower.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    Default,
    From,
    FromStr,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Generation(pub u64);

impl Generation {
    /// Returns the generation that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Hash of the content of a request; a repeated request has the same one.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Set in the fingerprints of parts of prompts, and in no others.
    const PART: u64 = 1 << 63;

    /// Returns the fingerprint of a request with this hash.
    #[must_use]
    pub fn of_request(hash: u64) -> Self {
        Self(hash & !Self::PART)
    }

    /// Returns whether it stands for a part of prompts.
    #[must_use]
    pub fn is_part(self) -> bool {
        self.0 & Self::PART != 0
    }
}

impl From<Part> for Fingerprint {
    fn from(part: Part) -> Self {
        Self(part.0 | Self::PART)
    }
}

/// Identifies a part that prompts share, such as their instructions or the earlier
/// turns of a session.
#[derive(Clone, Copy, Debug, Display, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0:x}")]
pub struct Part(u64);

/// An id of a part that is not in hexadecimal.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("`{_0}` is no id of a part; write it in hexadecimal")]
pub struct UnreadablePart(#[error(not(source))] String);

impl std::str::FromStr for Part {
    type Err = UnreadablePart;

    /// Reads an id; case and leading zeros make no difference. One that is too long
    /// for a number is replaced by a hash.
    fn from_str(text: &str) -> Result<Self, UnreadablePart> {
        if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(UnreadablePart(text.to_owned()));
        }
        let digits = text.trim_start_matches('0').to_ascii_lowercase();
        let number = if digits.is_empty() {
            Ok(0)
        } else {
            u64::from_str_radix(&digits, 16)
        };
        let id = number.ok().filter(|id| id & Fingerprint::PART == 0);
        let id = id.unwrap_or_else(|| xxh3::xxh3_64(digits.as_bytes()) & !Fingerprint::PART);
        Ok(Self(id))
    }
}

/// Identifies one process of an endpoint: an endpoint that starts again has
/// another one, also if it keeps its name.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0:016x}")]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Returns the process of an endpoint that started at this time, in
    /// milliseconds since the Unix epoch; `None` if the time is unknown.
    #[must_use]
    pub fn new(endpoint: &Endpoint, started_ms: Option<u64>) -> Self {
        let seed = started_ms.unwrap_or_default();
        Self(xxh3::xxh3_64_with_seed(endpoint.as_str().as_bytes(), seed))
    }
}

/// Hash of the leading blocks of a prompt; equal prefixes have equal hashes.
#[derive(
    Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct Prefix(pub u64);

//! Identifiers.

use derive_more::{AsRef, Display, From, FromStr};
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
    Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

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

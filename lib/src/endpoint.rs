//! Endpoints: their entries in the host list or directory, and their own reports.

use std::collections::BTreeSet;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{id, size};

/// Whether an endpoint may get new requests.
#[derive(Clone, Copy, Debug, Display, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// The endpoint takes new requests.
    #[default]
    #[display("live")]
    Live,
    /// The endpoint is draining: it finishes its requests and gets no new ones.
    #[display("leaving")]
    Leaving,
}

/// Entry of an endpoint in the host list, or in the gateway's directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its name, unique in the list.
    pub id: id::Endpoint,
    /// Its address, `ip:port`.
    pub address: String,
    /// The service that it serves.
    pub service: id::Service,
    /// The data centre that it runs in.
    pub data_centre: id::DataCentre,
    /// Whether it may get new requests.
    pub standing: Standing,
    /// Number of requests that it runs at once, if known.
    #[serde(rename = "places")]
    pub capacity: Option<u32>,
    /// The software version that it runs; `None` if unknown.
    #[serde(default)]
    pub version: Option<id::Version>,
}

/// Load that an endpoint last reported about itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// Running requests.
    pub running: u32,
    /// Requests queued inside the endpoint.
    pub waiting: u32,
    /// Tokens that its running requests occupy.
    pub tokens: size::Tokens,
    /// Loaded models and adapters; empty if it does not report them.
    pub models: BTreeSet<id::Model>,
    /// Whether it reports itself as leaving.
    pub standing: Standing,
}

/// An event of an endpoint's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cache {
    /// Sequence number; an increase by more than one means that events were
    /// lost.
    pub sequence: u64,
    /// What changed.
    pub change: Change,
}

/// A change of a prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The prefix was added.
    Stored(id::Prefix),
    /// The prefix was removed.
    Removed(id::Prefix),
    /// All prefixes were removed.
    Cleared,
}

//! Endpoints as the host list and their own reports describe them.

use std::collections::BTreeSet;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{id, size};

/// Whether an endpoint may get new work.
#[derive(Clone, Copy, Debug, Display, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// The endpoint takes new work.
    #[default]
    #[display("live")]
    Live,
    /// The endpoint finishes what it has and gets nothing new.
    #[display("leaving")]
    Leaving,
}

/// One endpoint of the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its name, unique in the host list.
    pub id: id::Endpoint,
    /// Its address, `ip:port`.
    pub address: String,
    /// The service that it serves.
    pub service: id::Service,
    /// The data centre that it runs in.
    pub data_centre: id::DataCentre,
    /// Whether it may get new work.
    pub standing: Standing,
    /// Requests that it runs at once, if it is known.
    pub places: Option<u32>,
}

/// What an endpoint last said of its own load.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait inside it.
    pub waiting: u32,
    /// Tokens held by its running requests.
    pub tokens: size::Tokens,
    /// Models and adapters that it has loaded; empty if it does not say.
    pub models: BTreeSet<id::Model>,
    /// Whether it says of itself that it is leaving.
    pub standing: Standing,
}

/// One event of an endpoint's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cache {
    /// Number of the event; a jump by more than one is a gap.
    pub sequence: u64,
    /// What happened.
    pub change: Change,
}

/// A change of a prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The prefix is held now.
    Stored(id::Prefix),
    /// The prefix is held no more.
    Removed(id::Prefix),
    /// Nothing is held any more.
    Cleared,
}

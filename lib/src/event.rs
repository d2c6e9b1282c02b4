//! What the decision core is told.

use std::{sync::Arc, time::Duration};

use crate::{endpoint, id, request, size, text};

/// One thing that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// An operators' text is in force.
    Configured(Arc<text::Text>),
    /// The host list was read; replaces what was known.
    Listed(Vec<endpoint::Record>),
    /// An endpoint reported its load.
    Reported(id::Endpoint, endpoint::Load),
    /// An endpoint's cache changed.
    Cached(id::Endpoint, endpoint::Cache),
    /// A request asks for an endpoint.
    Arrived(id::Request, Arc<request::Profile>),
    /// A request that waits is not wanted any more.
    Withdrawn(id::Request),
    /// An admitted request was not handed over; it waits again and the
    /// endpoint is avoided for it.
    Unsent(id::Request),
    /// An endpoint sent the first byte of the answer.
    Started(id::Request),
    /// An endpoint sent this many more tokens.
    Progressed(id::Request, size::Tokens),
    /// An admitted request has ended.
    Ended(id::Request, Outcome),
    /// An endpoint answered a probe on a new connection, or did not.
    Probed(id::Endpoint, bool),
    /// A peer's fingerprints of crashing requests, with the time they hold on.
    Suspected(Vec<(id::Fingerprint, Duration)>),
    /// A message of the admission protocol came from a peer.
    Peer(id::Node, Message),
    /// The live nodes, this one included, with their data centres.
    Members(Vec<(id::Node, id::DataCentre)>),
    /// The node is shutting down; nothing new is admitted to wait.
    Draining,
    /// Time went on.
    Tick,
}

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer came; prompt tokens that the cache spared, if told.
    Answered {
        /// Prompt tokens found in the endpoint's cache.
        cached: size::Tokens,
        /// Tokens generated.
        output: size::Tokens,
    },
    /// The caller left first.
    Cancelled,
    /// The endpoint refused it without running it.
    Rejected,
    /// The connection to the endpoint broke.
    Broken,
    /// The answer stalled beyond the inactivity limit.
    Stalled,
}

/// A message between the cores of two nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Waiting work by tier, sent to the home node of a service's endpoints.
    Demand(Vec<Demand>),
    /// Slots granted on an endpoint.
    Granted(Vec<Grant>),
    /// Slots given back unused.
    Returned(Vec<Grant>),
}

/// Waiting work of one node for one service and tier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The service.
    pub service: id::Service,
    /// The tier.
    pub tier: id::Tier,
    /// Tokens that wait.
    pub tokens: size::Tokens,
    /// Requests that wait.
    pub requests: u32,
}

/// The right to put tokens on an endpoint for a while.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// The tier that it was granted for.
    pub tier: id::Tier,
    /// Tokens granted.
    pub tokens: size::Tokens,
    /// How long the grant holds from its receipt.
    pub valid: Duration,
}

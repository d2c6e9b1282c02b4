//! Input of the decision core.

use std::{sync::Arc, time::Duration};

use crate::{configuration, endpoint, id, request, size};

/// An input of the decision core.
#[derive(Clone, Debug)]
pub enum Event {
    /// This configuration is in force.
    Configured(Arc<configuration::Configuration>),
    /// The host list was read; it replaces the previous one.
    Listed(Vec<endpoint::Record>),
    /// An endpoint reported its load.
    Reported(id::Endpoint, endpoint::Load),
    /// An endpoint's cache changed.
    Cached(id::Endpoint, endpoint::Cache),
    /// A request asks for an endpoint.
    Arrived(id::Request, Arc<request::Profile>),
    /// The caller of a waiting request gave it up.
    Withdrawn(id::Request),
    /// An admitted request was not sent; it waits again and doesn't go to the
    /// same endpoint.
    Unsent(id::Request),
    /// An endpoint sent the first byte of the answer.
    Started(id::Request),
    /// An endpoint sent this many more tokens.
    Progressed(id::Request, size::Tokens),
    /// An admitted request ended.
    Ended(id::Request, Outcome),
    /// A probe on a new connection has ended; true if the endpoint answered it.
    Probed(id::Endpoint, bool),
    /// A peer's marks of requests that may crash endpoints, with the remaining
    /// validity of each.
    Suspected(Vec<(id::Fingerprint, Duration)>),
    /// A peer sent a message of the admission protocol.
    Peer(id::Node, Message),
    /// The live nodes, this one included, with their data centres.
    Members(Vec<(id::Node, id::DataCentre)>),
    /// The node is shutting down: from now on a request that can't be admitted at
    /// once is refused.
    Draining,
    /// Time passed; sent at regular intervals.
    Tick,
}

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer was received.
    Answered {
        /// Prompt tokens found in the endpoint's cache, zero if not reported.
        cached: size::Tokens,
        /// Tokens generated.
        output: size::Tokens,
    },
    /// The caller gave up before the answer was complete.
    Cancelled,
    /// The endpoint rejected it without running it.
    Rejected,
    /// The connection to the endpoint broke.
    Broken,
    /// The answer stalled beyond the inactivity limit.
    Stalled,
}

/// A message of the admission protocol between two nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Waiting work by service and tier, sent to the node that grants tokens on a
    /// service's endpoints.
    Demand(Vec<Demand>),
    /// Grants of tokens on endpoints.
    Granted(Vec<Grant>),
    /// Grants that are returned unused.
    Returned(Vec<Grant>),
}

/// Waiting work of one node for one service and tier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The service.
    pub service: id::Service,
    /// The tier.
    pub tier: id::Tier,
    /// Tokens of the waiting requests.
    pub tokens: size::Tokens,
    /// Number of waiting requests.
    pub requests: u32,
}

/// The right to have tokens in flight on an endpoint for a limited time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// The tier that it was granted for.
    pub tier: id::Tier,
    /// Tokens granted.
    pub tokens: size::Tokens,
    /// Time for which the grant is valid after it was received.
    pub valid: Duration,
}

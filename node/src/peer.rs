//! The RPC protocol between nodes: client, server and wire format.

mod connection;
mod handle;
mod metrics;
mod pool;
mod server;
pub mod stream;
pub mod wire;

use std::future::Future;

use dottereltally_lib::{event, id};
use dottereltally_store::layout;

pub use self::{
    handle::{Handle, start},
    metrics::Metrics,
    server::Exchange,
};

/// A complete response that is stored to be replayed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Content type, empty if there is none.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// Status of the attempt that holds a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Status {
    /// The node does not know the attempt.
    Unknown,
    /// The attempt has not ended.
    Running,
    /// The attempt has ended with this response.
    Done(Response),
    /// The attempt was abandoned before dispatch.
    NotRun,
    /// The attempt may have run, but its response is unknown.
    Lost,
}

/// Why a call to a peer failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The node is unknown or not live.
    #[error("node {0} is not a live peer; see `dottereltallyctl status`")]
    NotLive(id::Node),
    /// The call failed or was not answered in time.
    #[error("node {node} does not answer: {cause}; check the link between the nodes")]
    Unreachable {
        /// Node that was called.
        node: id::Node,
        /// Error of the call.
        cause: String,
    },
}

/// Calls peers.
pub trait Peers: Clone + Send + Sync + 'static {
    /// Asks the node that holds a claim for the status of its attempt; `claim` is
    /// the claim's key in the key-value service.
    ///
    /// # Errors
    ///
    /// Fails if the node is unknown or not live, or does not answer.
    fn attempt_status(
        &self,
        node: &id::Node,
        claim: &str,
        token: &str,
    ) -> impl Future<Output = Result<Status, Error>> + Send;

    /// Asks live peers for a configuration with a generation higher than
    /// `above`; none if no peer that was asked has one.
    fn configuration(
        &self,
        above: id::Generation,
    ) -> impl Future<Output = Option<layout::Configuration>> + Send;

    /// Queues a message of the admission protocol without waiting for its
    /// delivery.
    fn send(&self, node: &id::Node, message: event::Message);
}

/// Answers the calls of peers.
pub trait Service: Send + Sync + 'static {
    /// Returns the status of an attempt of this node; `claim` is the key of its
    /// claim.
    fn attempt_status(&self, claim: &str, token: &str) -> Status;

    /// Returns the configuration in force if its generation is higher than
    /// `above`.
    fn configuration(&self, above: id::Generation) -> Option<layout::Configuration>;

    /// Returns the generation in force, zero if there is none.
    fn generation(&self) -> id::Generation;

    /// Records that a peer has a higher generation in force.
    fn note_generation(&self, generation: id::Generation);

    /// Handles a message of the admission protocol.
    fn admission(&self, sender: id::Node, message: event::Message);
}

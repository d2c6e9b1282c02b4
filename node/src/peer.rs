//! What the nodes ask of each other.

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

/// A whole answer that was kept to be given again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Its content type, empty for none.
    pub content_type: String,
    /// Its body.
    pub body: Vec<u8>,
}

/// What became of the attempt that holds a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The node does not know the attempt.
    Unknown,
    /// The attempt has not ended.
    Running,
    /// The attempt has ended with this answer.
    Done(Response),
    /// The attempt was given up before anything was handed over.
    NotRun,
    /// The attempt may have run and its answer is not known.
    Lost,
}

/// Why a peer could not be asked.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The node is not known or not live.
    #[error("node {0} is not a live peer; see `dottereltallyctl status`")]
    NotLive(id::Node),
    /// The connection failed or fell silent.
    #[error("node {node} does not answer: {cause}; check the link between the nodes")]
    Silent {
        /// The node.
        node: id::Node,
        /// What the connection said.
        cause: String,
    },
}

/// Asks peers.
pub trait Peers: Clone + Send + Sync + 'static {
    /// Asks the holder of a claim for the answer of its attempt.
    ///
    /// # Errors
    ///
    /// Fails if the node can't be asked.
    fn answer(
        &self,
        node: &id::Node,
        claim: &str,
        token: &str,
    ) -> impl Future<Output = Result<Answer, Error>> + Send;

    /// Asks live peers for a configuration above this generation.
    fn configuration(
        &self,
        above: id::Generation,
    ) -> impl Future<Output = Option<layout::Configuration>> + Send;

    /// Sends a message of the admission protocol without waiting.
    fn send(&self, node: &id::Node, message: event::Message);
}

/// Answers peers.
pub trait Service: Send + Sync + 'static {
    /// Returns what became of an attempt of this node.
    fn answer(&self, claim: &str, token: &str) -> Answer;

    /// Returns the configuration in force if it is above this generation.
    fn configuration(&self, above: id::Generation) -> Option<layout::Configuration>;

    /// Returns the generation in force.
    fn generation(&self) -> id::Generation;

    /// Learns that a peer has a higher generation in force.
    fn outdated(&self, generation: id::Generation);

    /// Takes a message of the admission protocol.
    fn admission(&self, sender: id::Node, message: event::Message);
}

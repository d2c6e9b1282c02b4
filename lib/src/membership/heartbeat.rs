//! Messages that two nodes exchange.

use std::time::Duration;

use derive_more::Display;

use crate::id;

/// State of a node.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// The node takes part.
    #[display("alive")]
    Alive,
    /// The node did not answer; it is dropped unless it refutes in time.
    #[display("suspect")]
    Suspect,
    /// The node did not refute the suspicion in time.
    #[display("dropped")]
    Dropped,
    /// The node has announced that it is shutting down.
    #[display("left")]
    Left,
}

/// Identity and state of one node.
///
/// Of two records of the same node, the one with the higher incarnation wins,
/// then the one with the higher version, then the one whose state comes later in
/// [`State`]. Only the node itself raises its incarnation and its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the node.
    pub node: id::Node,
    /// Data centre of the node.
    pub data_centre: id::DataCentre,
    /// Peer address of the node, `ip:port`.
    pub address: String,
    /// Identifies the process of the node; a later process has a higher value.
    pub incarnation: u64,
    /// Raised by the node to refute a suspicion or a drop.
    pub version: u32,
    /// State of the node.
    pub state: State,
}

impl Member {
    /// Returns whether this record supersedes another one of the same node.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        self.precedence() > other.precedence()
    }

    /// Returns whether the node counts as live.
    #[must_use]
    pub const fn is_live(&self) -> bool {
        matches!(self.state, State::Alive | State::Suspect)
    }

    fn precedence(&self) -> (u64, u32, State) {
        (self.incarnation, self.version, self.state)
    }
}

/// A heartbeat: the request or the answer of an exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The sender.
    pub sender: Member,
    /// Configuration generation that the sender has in force.
    pub generation: id::Generation,
    /// Hash over the alive nodes that the sender knows, itself included; a
    /// receiver that computes another value may answer with its full state.
    pub digest: u64,
    /// Whether `members` is the full state of the sender.
    pub full_state: bool,
    /// Updates about other nodes.
    pub members: Vec<Member>,
    /// Fingerprints of crashing requests, with their remaining validity.
    pub fingerprints: Vec<(id::Fingerprint, Duration)>,
}

//! What two nodes tell each other in one exchange.

use std::time::Duration;

use derive_more::Display;

use crate::id;

/// What a node is said to be.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// It takes part.
    #[display("alive")]
    Alive,
    /// It did not answer; it is dropped unless it refutes in time.
    #[display("suspect")]
    Suspect,
    /// It did not refute in time.
    #[display("dropped")]
    Dropped,
    /// It has said that it is shutting down.
    #[display("left")]
    Left,
}

/// What is known of one node.
///
/// Of two statements on a node the one with the higher incarnation holds,
/// then the one with the higher version, then the later state. Only the node
/// itself raises its incarnation and its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub node: id::Node,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Where peers reach it, `ip:port`.
    pub address: String,
    /// Differs between two processes of the node; the later is higher.
    pub incarnation: u64,
    /// Raised by the node to refute what is said of it.
    pub version: u32,
    /// What it is said to be.
    pub state: State,
}

impl Member {
    /// Returns whether this statement replaces the other one on the same node.
    #[must_use]
    pub fn replaces(&self, other: &Self) -> bool {
        self.rank() > other.rank()
    }

    /// Returns whether the node counts as live.
    #[must_use]
    pub const fn is_live(&self) -> bool {
        matches!(self.state, State::Alive | State::Suspect)
    }

    fn rank(&self) -> (u64, u32, State) {
        (self.incarnation, self.version, self.state)
    }
}

/// One message of an exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Beat {
    /// The sender's word on itself.
    pub sender: Member,
    /// The generation that it has in force.
    pub generation: id::Generation,
    /// Hash over the live members that it knows.
    pub digest: u64,
    /// Whether `members` holds everything that it knows.
    pub whole: bool,
    /// News of other nodes.
    pub members: Vec<Member>,
    /// Fingerprints of crashing requests, with the time that they hold on.
    pub suspects: Vec<(id::Fingerprint, Duration)>,
}

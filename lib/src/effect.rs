//! Output of the decision core.

use crate::{event, id, refusal};

/// An action that the caller of the decision core has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send the request to this endpoint.
    Admit(id::Request, id::Endpoint),
    /// Answer the request with this refusal.
    Refuse(id::Request, refusal::Refusal),
    /// Probe the endpoint on a new connection and report the result.
    Probe(id::Endpoint),
    /// Share this mark of a request that may crash endpoints with the peers.
    Quarantine(id::Fingerprint),
    /// Send a message of the admission protocol to a peer.
    Send(id::Node, event::Message),
}

//! What the decision core asks for.

use crate::{event, id, refusal};

/// One thing to be done by whoever drives the core.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Hand the request to this endpoint.
    Admit(id::Request, id::Endpoint),
    /// Answer the request with this refusal at once.
    Refuse(id::Request, refusal::Refusal),
    /// Probe the endpoint on a new connection and report the result.
    Probe(id::Endpoint),
    /// Tell the peers of a request that crashed endpoints.
    Quarantine(id::Fingerprint),
    /// Send a message of the admission protocol to a peer.
    Send(id::Node, event::Message),
}

//! Waiting requests and requests in flight.

use std::sync::Arc;

use crate::{configuration, fair, fleet, id, request, time};

/// A request that waits for an endpoint.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Its properties.
    pub profile: Arc<request::Profile>,
    /// Kind of its service.
    pub kind: configuration::Kind,
    /// Tokens that it is expected to occupy at an endpoint.
    pub cost: u64,
    /// Tokens to be computed for it: the part of its prompt that no endpoint is
    /// known to cache, and its expected answer.
    pub work: u64,
    /// Expected tokens of its answer.
    pub expected_output: u64,
    /// Fair-share weight of its workspace.
    pub share: u32,
    /// Latest time of admission that leaves enough time for its answer.
    pub admit_by: time::Instant,
    /// Endpoints that it could not be sent to.
    pub avoided: Vec<id::Endpoint>,
}

impl Waiting {
    /// Returns the queue's entry for the request.
    #[must_use]
    pub fn item(&self, request: id::Request) -> fair::Item {
        fair::Item {
            id: request,
            workspace: self.profile.workspace.clone(),
            share: self.share,
            deadline: self.admit_by,
            cost: self.work,
        }
    }
}

/// A request in flight: admitted to an endpoint and not ended.
#[derive(Clone, Debug)]
pub struct InFlight {
    /// Its entry as a waiting request, for the case that it must wait again.
    pub waiting: Waiting,
    /// Slot of its endpoint.
    pub slot: fleet::Slot,
    /// Tokens counted for it at the endpoint.
    pub cost: u64,
    /// When it was admitted.
    pub admitted_at: time::Instant,
    /// When the first byte of the answer was received; `None` until then.
    pub first_byte_at: Option<time::Instant>,
    /// Prompt tokens that the endpoint's cache is not known to hold.
    pub uncached: u64,
    /// Tokens received since `measured_since`.
    pub received_tokens: u64,
    /// Start of the span over which the speed of the answer's stream is measured:
    /// its first byte, or the end of the previous span.
    pub measured_since: time::Instant,
}

//! Queues of suspects, requests that each run alone on a reserved endpoint.

use std::collections::{BTreeMap, VecDeque};

use crate::{fleet, id};

/// Most suspects that may wait for one service.
pub const MAX_SUSPECTS: usize = 64;

/// Waiting suspects of one service; only the first has an endpoint reserved.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// The suspects, in order of arrival.
    pub requests: VecDeque<id::Request>,
    /// Slot of the endpoint that is reserved for the first suspect, if one is.
    pub slot: Option<fleet::Slot>,
}

/// Waiting suspects of all services.
#[derive(Clone, Debug, Default)]
pub struct Isolation {
    /// The queues by service.
    pub queues: BTreeMap<id::Service, Queue>,
}

impl Isolation {
    /// Adds a suspect; returns false if too many wait.
    pub fn push(&mut self, service: &id::Service, request: id::Request) -> bool {
        let queue = self.queues.entry(service.clone()).or_default();
        if queue.requests.len() >= MAX_SUSPECTS {
            return false;
        }
        queue.requests.push_back(request);
        true
    }

    /// Removes a suspect and returns the slot that was reserved for it, if any.
    pub fn remove(&mut self, service: &id::Service, request: id::Request) -> Option<fleet::Slot> {
        let queue = self.queues.get_mut(service)?;
        let position = queue.requests.iter().position(|each| *each == request)?;
        queue.requests.remove(position);
        let slot = if position == 0 {
            queue.slot.take()
        } else {
            None
        };
        if queue.requests.is_empty() {
            self.queues.remove(service);
        }
        slot
    }
}

//! Suspects that wait for an endpoint of their own.

use std::collections::{BTreeMap, VecDeque};

use crate::{fleet, id};

/// Suspects that may wait for one service.
pub const MAX_SUSPECTS: usize = 64;

/// Suspects of one service, one at a time with an endpoint reserved.
#[derive(Clone, Debug, Default)]
pub struct Line {
    /// The suspects, in order of arrival.
    pub requests: VecDeque<id::Request>,
    /// The endpoint reserved for the first of them.
    pub slot: Option<fleet::Slot>,
}

/// Suspects of all services.
#[derive(Clone, Debug, Default)]
pub struct Isolation {
    /// The lines by service.
    pub lines: BTreeMap<id::Service, Line>,
}

impl Isolation {
    /// Adds a suspect; false if too many wait.
    pub fn push(&mut self, service: &id::Service, request: id::Request) -> bool {
        let line = self.lines.entry(service.clone()).or_default();
        if line.requests.len() >= MAX_SUSPECTS {
            return false;
        }
        line.requests.push_back(request);
        true
    }

    /// Removes a suspect and returns the endpoint that was reserved for it.
    pub fn remove(&mut self, service: &id::Service, request: id::Request) -> Option<fleet::Slot> {
        let line = self.lines.get_mut(service)?;
        let position = line.requests.iter().position(|each| *each == request)?;
        line.requests.remove(position);
        let slot = if position == 0 {
            line.slot.take()
        } else {
            None
        };
        if line.requests.is_empty() {
            self.lines.remove(service);
        }
        slot
    }
}

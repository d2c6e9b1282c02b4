//! A bounded cache of prompt prefixes that reports its changes.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    fmt::Write,
};

use dottereltally_lib::id::Prefix;
use serde_json::{Value, json};

/// Number of events that are kept for readers who come later.
const MAX_EVENTS: usize = 8192;

/// Least recently used prefixes make room for new ones.
#[derive(Debug, Default)]
pub struct Cache {
    used: HashMap<Prefix, u64>,
    order: BTreeMap<u64, Prefix>,
    clock: u64,
    events: VecDeque<(u64, Value)>,
    last_event: u64,
    gap_left: u64,
    gap_taken: u64,
}

impl Cache {
    /// Returns the number of leading blocks that are held.
    pub fn lookup(&mut self, prefixes: &[Prefix]) -> usize {
        let mut held = 0;
        for prefix in prefixes {
            if !self.used.contains_key(prefix) {
                break;
            }
            self.touch(*prefix);
            held += 1;
        }
        held
    }

    /// Stores prefixes and evicts others beyond the capacity.
    pub fn store(&mut self, prefixes: &[Prefix], capacity: usize) {
        for prefix in prefixes {
            if !self.used.contains_key(prefix) {
                self.report(json!({"stored": prefix.to_string()}));
            }
            self.touch(*prefix);
        }
        while self.used.len() > capacity {
            let Some((_, prefix)) = self.order.pop_first() else {
                break;
            };
            self.used.remove(&prefix);
            self.report(json!({"removed": prefix.to_string()}));
        }
    }

    fn touch(&mut self, prefix: Prefix) {
        self.clock += 1;
        if let Some(before) = self.used.insert(prefix, self.clock) {
            self.order.remove(&before);
        }
        self.order.insert(self.clock, prefix);
    }

    /// Leaves out that many of the next events.
    pub const fn leave_out(&mut self, events: u64) {
        self.gap_left = events;
    }

    /// Returns how many events have been left out since the last call.
    pub const fn take_gap(&mut self) -> u64 {
        let taken = self.gap_taken;
        self.gap_taken = 0;
        taken
    }

    fn report(&mut self, event: Value) {
        self.last_event += 1;
        if self.gap_left > 0 {
            self.gap_left -= 1;
            self.gap_taken += 1;
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back((self.last_event, event));
    }

    /// Returns the number of the last event.
    pub const fn last_event(&self) -> u64 {
        self.last_event
    }

    /// Encodes the events from a number on; returns the number that follows.
    pub fn events(&self, from: u64) -> (String, u64) {
        let mut text = String::new();
        for (number, event) in &self.events {
            if *number >= from {
                let _ = write!(text, "id: {number}\ndata: {event}\n\n");
            }
        }
        (text, self.last_event + 1)
    }
}

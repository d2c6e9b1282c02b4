//! A bounded cache of prompt prefixes that records its changes as events.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    fmt::Write,
};

use dottereltally_lib::id::Prefix;
use serde_json::{Value, json};

/// Number of most recent events that are kept for later readers.
const MAX_KEPT_EVENTS: usize = 8192;

/// A cache of prefixes that evicts the least recently used ones.
#[derive(Debug, Default)]
pub struct Cache {
    /// Time of the last use of each prefix, by `clock`.
    last_use: HashMap<Prefix, u64>,
    /// The prefixes in order of their last use.
    by_last_use: BTreeMap<u64, Prefix>,
    /// Logical clock that advances with every use.
    clock: u64,
    /// The most recent events with their numbers.
    events: VecDeque<(u64, Value)>,
    /// Number of the last event, kept or skipped; the first event has number 1.
    last_event: u64,
    /// Number of upcoming events to skip.
    events_to_skip: u64,
    /// Number of events skipped since the last call of `take_skipped`.
    skipped: u64,
}

impl Cache {
    /// Returns how many of the prefixes, from the shortest on, are cached without
    /// a gap; marks these as used.
    pub fn lookup(&mut self, prefixes: &[Prefix]) -> usize {
        let mut found = 0;
        for prefix in prefixes {
            if !self.last_use.contains_key(prefix) {
                break;
            }
            self.touch(*prefix);
            found += 1;
        }
        found
    }

    /// Stores prefixes and evicts the least recently used ones beyond the
    /// capacity.
    pub fn store(&mut self, prefixes: &[Prefix], capacity: usize) {
        for prefix in prefixes {
            if !self.last_use.contains_key(prefix) {
                self.record_event(json!({"stored": prefix.to_string()}));
            }
            self.touch(*prefix);
        }
        while self.last_use.len() > capacity {
            let Some((_, prefix)) = self.by_last_use.pop_first() else {
                break;
            };
            self.last_use.remove(&prefix);
            self.record_event(json!({"removed": prefix.to_string()}));
        }
    }

    fn touch(&mut self, prefix: Prefix) {
        self.clock += 1;
        if let Some(previous) = self.last_use.insert(prefix, self.clock) {
            self.by_last_use.remove(&previous);
        }
        self.by_last_use.insert(self.clock, prefix);
    }

    /// Skips this many upcoming events; replaces the number set before.
    pub const fn skip_events(&mut self, count: u64) {
        self.events_to_skip = count;
    }

    /// Returns how many events were skipped since the last call.
    pub const fn take_skipped(&mut self) -> u64 {
        let skipped = self.skipped;
        self.skipped = 0;
        skipped
    }

    fn record_event(&mut self, event: Value) {
        self.last_event += 1;
        if self.events_to_skip > 0 {
            self.events_to_skip -= 1;
            self.skipped += 1;
            return;
        }
        if self.events.len() == MAX_KEPT_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back((self.last_event, event));
    }

    /// Returns the number of the last event.
    pub const fn last_event(&self) -> u64 {
        self.last_event
    }

    /// Encodes the events from number `from` on as server-sent events; also
    /// returns the number of the next event.
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

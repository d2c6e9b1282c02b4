//! Parts of prompts that were in complete answers lately, as known to one node.

use std::{collections::HashMap, mem, time::Duration};

use crate::{id::Fingerprint, time};

/// Time after an answer in which its parts are not suspected. A part that was answered
/// earlier may crash endpoints since, for example after an update of their software.
const ANSWER_TTL: Duration = Duration::from_millis(1500);

/// Most parts of one generation; two are kept.
const GENERATION_SIZE: usize = 4096;

/// Remembers the last answers in two generations; the older one is dropped as a whole.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    current: HashMap<Fingerprint, time::Instant>,
    previous: HashMap<Fingerprint, time::Instant>,
    /// When the current generation began.
    since: time::Instant,
}

impl Memory {
    /// Remembers that a part was in a complete answer.
    pub fn record(&mut self, now: time::Instant, part: Fingerprint) {
        let is_full = self.current.len() >= GENERATION_SIZE;
        if is_full || now.since(self.since) >= ANSWER_TTL {
            self.previous = mem::take(&mut self.current);
            self.since = now;
        }
        self.current.insert(part, now);
    }

    /// Returns whether a part was answered at most [`ANSWER_TTL`] before a death, or
    /// after it.
    #[must_use]
    pub fn was_answered_before(&self, part: Fingerprint, death: time::Instant) -> bool {
        let last = self.current.get(&part).or(self.previous.get(&part));
        last.is_some_and(|answered| death.since(*answered) <= ANSWER_TTL)
    }
}

//! Parts of prompts that were in complete answers, as known to one node.

use std::{collections::HashSet, mem, time::Duration};

use crate::{id::Fingerprint, time};

/// Time for which a part is remembered at least, unless space runs out.
const GENERATION_TIME: Duration = Duration::from_mins(10);

/// Most parts of one generation; two are kept.
const GENERATION_SIZE: usize = 4096;

/// Remembers parts in two generations; the older one is dropped as a whole.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    current: HashSet<Fingerprint>,
    previous: HashSet<Fingerprint>,
    /// When the current generation began.
    since: time::Instant,
}

impl Memory {
    /// Remembers a part.
    pub fn record(&mut self, now: time::Instant, part: Fingerprint) {
        let is_full = self.current.len() >= GENERATION_SIZE;
        if is_full || now.since(self.since) >= GENERATION_TIME {
            self.previous = mem::take(&mut self.current);
            self.since = now;
        }
        self.current.insert(part);
    }

    /// Returns whether a part is remembered.
    #[must_use]
    pub fn contains(&self, part: Fingerprint) -> bool {
        self.current.contains(&part) || self.previous.contains(&part)
    }
}

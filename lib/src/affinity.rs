//! Index of the prompt prefixes that each endpoint is known to cache.
//!
//! A gap in the numbers of an endpoint's cache events clears its entries, since
//! the missed events may have removed some of them. Requests that this node
//! sends to an endpoint also add entries, since the endpoint will cache their
//! prefixes soon. The least recently used entries of an endpoint are evicted
//! first.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    endpoint::{Cache, Change},
    fleet::Slot,
    id,
};

/// Most entries for all endpoints together; each endpoint may have an equal part
/// of them.
const MAX_ENTRIES: usize = 131_072;

/// Most entries for one endpoint.
const MAX_ENDPOINT_ENTRIES: usize = 2048;

/// Most leading blocks of a dispatched request that are added as entries.
const MAX_DISPATCH_BLOCKS: usize = 32;

/// Tokens of one block of [`crate::prefix::BLOCK_BYTES`], estimated from its
/// length.
pub const BLOCK_TOKENS: u64 = 64;

/// The known content of one endpoint's cache, in the order of use.
#[derive(Clone, Debug, Default)]
struct Content {
    /// Sequence number of the last cache event; `None` before the first.
    sequence: Option<u64>,
    /// Value of [`Index::use_counter`] at the last use of each prefix.
    last_used: BTreeMap<id::Prefix, u64>,
    /// The same entries, least recently used first.
    by_last_use: BTreeSet<(u64, id::Prefix)>,
}

/// The known prefixes of all endpoints.
#[derive(Clone, Debug, Default)]
pub struct Index {
    /// Number of insertions so far, which orders the entries by last use.
    use_counter: u64,
    /// Every entry: a prefix and the slot of an endpoint that caches it.
    entries: BTreeSet<(id::Prefix, Slot)>,
    contents: BTreeMap<Slot, Content>,
}

impl Index {
    /// Applies a cache event; returns false if events before it were missed. An
    /// event that is not newer than the last one is ignored.
    pub fn apply(&mut self, slot: Slot, cache: &Cache) -> bool {
        let content = self.contents.entry(slot).or_default();
        let last = content.sequence;
        if last.is_some_and(|last| cache.sequence <= last) {
            return true;
        }
        let gapless = last.is_none_or(|last| cache.sequence == last + 1);
        content.sequence = Some(cache.sequence);
        if !gapless {
            self.clear(slot);
        }
        match cache.change {
            Change::Stored(prefix) => self.insert(slot, prefix),
            Change::Removed(prefix) => self.remove(slot, prefix),
            Change::Cleared => self.clear(slot),
        }
        gapless
    }

    /// Adds the leading blocks of a request that is sent to an endpoint.
    pub fn record_dispatch(&mut self, slot: Slot, prefixes: &[id::Prefix]) {
        for prefix in prefixes.iter().take(MAX_DISPATCH_BLOCKS) {
            self.insert(slot, *prefix);
        }
    }

    /// Removes an endpoint.
    pub fn remove_endpoint(&mut self, slot: Slot) {
        self.clear(slot);
        self.contents.remove(&slot);
    }

    /// Returns the number of leading blocks that each endpoint caches, for the
    /// endpoints that cache any.
    #[must_use]
    pub fn cached_blocks_by_slot(&self, prefixes: &[id::Prefix]) -> BTreeMap<Slot, u64> {
        let mut blocks_by_slot = BTreeMap::new();
        for (index, prefix) in (0_u64..).zip(prefixes) {
            let mut any = false;
            for (_, slot) in self.entries.range((*prefix, 0)..=(*prefix, Slot::MAX)) {
                let blocks = blocks_by_slot.entry(*slot).or_insert(0);
                if *blocks == index {
                    *blocks = index + 1;
                    any = true;
                }
            }
            if !any {
                break;
            }
        }
        blocks_by_slot.retain(|_, blocks| *blocks > 0);
        blocks_by_slot
    }

    /// Returns the number of leading blocks that an endpoint caches.
    #[must_use]
    pub fn cached_blocks(&self, slot: Slot, prefixes: &[id::Prefix]) -> u64 {
        let mut blocks = 0;
        for prefix in prefixes {
            if !self.entries.contains(&(*prefix, slot)) {
                break;
            }
            blocks += 1;
        }
        blocks
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn insert(&mut self, slot: Slot, prefix: id::Prefix) {
        self.use_counter += 1;
        let max_entries = MAX_ENDPOINT_ENTRIES.min(MAX_ENTRIES / self.contents.len().max(1));
        let content = self.contents.entry(slot).or_default();
        if let Some(previous_use) = content.last_used.insert(prefix, self.use_counter) {
            content.by_last_use.remove(&(previous_use, prefix));
        }
        content.by_last_use.insert((self.use_counter, prefix));
        self.entries.insert((prefix, slot));
        while content.last_used.len() > max_entries {
            let Some((_, oldest)) = content.by_last_use.pop_first() else {
                return;
            };
            content.last_used.remove(&oldest);
            self.entries.remove(&(oldest, slot));
        }
    }

    fn remove(&mut self, slot: Slot, prefix: id::Prefix) {
        let Some(content) = self.contents.get_mut(&slot) else {
            return;
        };
        if let Some(last_use) = content.last_used.remove(&prefix) {
            content.by_last_use.remove(&(last_use, prefix));
            self.entries.remove(&(prefix, slot));
        }
    }

    fn clear(&mut self, slot: Slot) {
        let Some(content) = self.contents.get_mut(&slot) else {
            return;
        };
        content.by_last_use.clear();
        for prefix in std::mem::take(&mut content.last_used).into_keys() {
            self.entries.remove(&(prefix, slot));
        }
    }
}

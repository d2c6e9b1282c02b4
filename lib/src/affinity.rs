//! Which endpoints hold which prompt prefixes, as far as is known.
//!
//! Cache events are believed up to a gap in their numbers; from there on the
//! endpoint's entries are forgotten. Own dispatches count as a hint, since the
//! endpoint will hold the prefix soon. The least recently used entries of an
//! endpoint go first.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    endpoint::{Cache, Change},
    fleet::Slot,
    id,
};

/// Entries that are kept for all endpoints together.
const MAX_ENTRIES: usize = 131_072;

/// Entries that are kept for one endpoint at the most.
const MAX_ENDPOINT_ENTRIES: usize = 2048;

/// Leading blocks of an own dispatch that are taken as a hint.
const HINT_BLOCKS: usize = 32;

/// Tokens of one block, estimated from its length in bytes.
pub const BLOCK_TOKENS: u64 = 64;

/// What is known of one endpoint's cache.
#[derive(Clone, Debug, Default)]
struct Content {
    sequence: Option<u64>,
    used: BTreeMap<id::Prefix, u64>,
    order: BTreeSet<(u64, id::Prefix)>,
}

/// Prefixes by endpoint.
#[derive(Clone, Debug, Default)]
pub struct Index {
    clock: u64,
    holders: BTreeSet<(id::Prefix, Slot)>,
    contents: BTreeMap<Slot, Content>,
}

impl Index {
    /// Takes in a cache event; false if it revealed a gap.
    pub fn change(&mut self, slot: Slot, cache: &Cache) -> bool {
        let content = self.contents.entry(slot).or_default();
        let known = content.sequence;
        if known.is_some_and(|known| cache.sequence <= known) {
            return true;
        }
        let gapless = known.is_none_or(|known| cache.sequence == known + 1);
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

    /// Takes an own dispatch as a hint.
    pub fn hint(&mut self, slot: Slot, prefixes: &[id::Prefix]) {
        for prefix in prefixes.iter().take(HINT_BLOCKS) {
            self.insert(slot, *prefix);
        }
    }

    /// Forgets an endpoint.
    pub fn forget(&mut self, slot: Slot) {
        self.clear(slot);
        self.contents.remove(&slot);
    }

    /// Returns the number of leading blocks that each endpoint holds, for the
    /// endpoints that hold any.
    #[must_use]
    pub fn held(&self, prefixes: &[id::Prefix]) -> BTreeMap<Slot, u64> {
        let mut held = BTreeMap::new();
        for (index, prefix) in (0_u64..).zip(prefixes) {
            let mut any = false;
            for (_, slot) in self.holders.range((*prefix, 0)..=(*prefix, Slot::MAX)) {
                let blocks = held.entry(*slot).or_insert(0);
                if *blocks == index {
                    *blocks = index + 1;
                    any = true;
                }
            }
            if !any {
                break;
            }
        }
        held.retain(|_, blocks| *blocks > 0);
        held
    }

    /// Returns the number of leading blocks that an endpoint holds.
    #[must_use]
    pub fn blocks(&self, slot: Slot, prefixes: &[id::Prefix]) -> u64 {
        let mut blocks = 0;
        for prefix in prefixes {
            if !self.holders.contains(&(*prefix, slot)) {
                break;
            }
            blocks += 1;
        }
        blocks
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether nothing is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    fn insert(&mut self, slot: Slot, prefix: id::Prefix) {
        self.clock += 1;
        let most = MAX_ENDPOINT_ENTRIES.min(MAX_ENTRIES / self.contents.len().max(1));
        let content = self.contents.entry(slot).or_default();
        if let Some(before) = content.used.insert(prefix, self.clock) {
            content.order.remove(&(before, prefix));
        }
        content.order.insert((self.clock, prefix));
        self.holders.insert((prefix, slot));
        while content.used.len() > most {
            let Some((_, oldest)) = content.order.pop_first() else {
                return;
            };
            content.used.remove(&oldest);
            self.holders.remove(&(oldest, slot));
        }
    }

    fn remove(&mut self, slot: Slot, prefix: id::Prefix) {
        let Some(content) = self.contents.get_mut(&slot) else {
            return;
        };
        if let Some(used) = content.used.remove(&prefix) {
            content.order.remove(&(used, prefix));
            self.holders.remove(&(prefix, slot));
        }
    }

    fn clear(&mut self, slot: Slot) {
        let Some(content) = self.contents.get_mut(&slot) else {
            return;
        };
        content.order.clear();
        for prefix in std::mem::take(&mut content.used).into_keys() {
            self.holders.remove(&(prefix, slot));
        }
    }
}

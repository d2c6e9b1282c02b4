//! Compares the prefix index with a set of prefixes per endpoint.

mod property;

use std::collections::{BTreeMap, BTreeSet};

use dottereltally_lib::{
    affinity::Index,
    endpoint::{Cache, Change},
    id::Prefix,
};
use proptest::prelude::*;

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        6 => (0..12u64).prop_map(|prefix| Change::Stored(Prefix(prefix))),
        3 => (0..12u64).prop_map(|prefix| Change::Removed(Prefix(prefix))),
        1 => Just(Change::Cleared),
    ]
}

proptest! {
    #![proptest_config(property::config())]

    #[test]
    fn index_matches_sets(
        steps in proptest::collection::vec((0..4usize, change(), 0..10u8), 1..200),
    ) {
        let mut index = Index::default();
        let mut sets: BTreeMap<usize, BTreeSet<Prefix>> = BTreeMap::new();
        let mut sequences: BTreeMap<usize, u64> = BTreeMap::new();
        for (slot, change, draw) in steps {
            let sequence = sequences.entry(slot).or_insert(0);
            let set = sets.entry(slot).or_default();
            let gap = draw == 0 && *sequence > 0;
            *sequence += if gap { 2 } else { 1 };
            if gap {
                set.clear();
            }
            match change {
                Change::Stored(prefix) => { set.insert(prefix); }
                Change::Removed(prefix) => { set.remove(&prefix); }
                Change::Cleared => set.clear(),
            }
            let gapless = index.apply(slot, &Cache { sequence: *sequence, change });
            prop_assert_eq!(gapless, !gap);
            let repeated = Cache { sequence: *sequence, change: Change::Stored(Prefix(99)) };
            index.apply(slot, &repeated);
            let wanted: Vec<Prefix> = (0..12).map(Prefix).collect();
            let cached_blocks = index.cached_blocks_by_slot(&wanted);
            for (slot, set) in &sets {
                let blocks = wanted.iter().take_while(|prefix| set.contains(prefix)).count();
                prop_assert_eq!(cached_blocks.get(slot).copied().unwrap_or(0), blocks as u64);
                prop_assert_eq!(index.cached_blocks(*slot, &wanted), blocks as u64);
            }
            prop_assert_eq!(index.len(), sets.values().map(BTreeSet::len).sum::<usize>());
        }
    }
}

#[test]
fn least_recently_used_entries_are_evicted_first() {
    let mut index = Index::default();
    for number in 0..3000u64 {
        index.record_dispatch(0, &[Prefix(1_000_000), Prefix(number)]);
    }
    assert!(index.len() <= 2048);
    assert_eq!(index.cached_blocks(0, &[Prefix(1_000_000)]), 1);
    assert_eq!(index.cached_blocks(0, &[Prefix(0)]), 0);
    index.remove_endpoint(0);
    assert!(index.is_empty());
}

//! Compares the tiered queue with a sorted list.

mod property;

use dottereltally_lib::{fair::Item, id, queue::Queue, time::Instant};
use proptest::prelude::*;

fn item(number: u64, deadline: u64, cost: u64) -> Item {
    Item {
        id: id::Request(number),
        workspace: "w".into(),
        share: 1,
        deadline: Instant::from_micros(deadline),
        cost,
    }
}

proptest! {
    #![proptest_config(property::config())]

    #[test]
    fn one_workspace_is_served_by_tier_then_deadline(
        entries in proptest::collection::vec((0..4u8, 0..50u64, 1..100u64), 1..80),
    ) {
        let mut queue = Queue::default();
        let mut sorted = Vec::new();
        for (number, (tier, deadline, cost)) in entries.iter().enumerate() {
            let number = number as u64;
            queue.push(id::Tier(*tier), item(number, *deadline, *cost));
            sorted.push((*tier, *deadline, number, *cost));
        }
        sorted.sort_unstable();
        for (tier, ..) in &sorted {
            let above = sorted.iter().filter(|each| each.0 <= *tier);
            let tokens: u64 = above.map(|each| each.3).sum();
            prop_assert_eq!(queue.tokens_ahead(id::Tier(*tier), &"w".into(), 1), tokens);
        }
        let lowest = queue.victim().map(|(tier, _)| tier.0);
        prop_assert_eq!(lowest, sorted.last().map(|last| last.0));
        let mut by_deadline: Vec<(u64, u64)> = sorted.iter().map(|each| (each.1, each.2)).collect();
        by_deadline.sort_unstable();
        let indexed: Vec<(u64, u64)> =
            queue.by_deadline().map(|(at, id)| (at.as_micros(), id.0)).collect();
        prop_assert_eq!(indexed, by_deadline);
        for (tier, _, number, _) in sorted {
            let popped = queue.pop().map(|(tier, item)| (tier.0, item.id.0));
            prop_assert_eq!(popped, Some((tier, number)));
        }
        prop_assert!(queue.is_empty());
    }

    #[test]
    fn removed_requests_are_gone(
        entries in proptest::collection::vec((0..4u8, any::<bool>()), 1..60),
    ) {
        let mut queue = Queue::default();
        for (number, (tier, _)) in entries.iter().enumerate() {
            queue.push(id::Tier(*tier), item(number as u64, 0, 1));
        }
        let mut kept = 0;
        for (number, (_, removed)) in entries.iter().enumerate() {
            if *removed {
                prop_assert!(queue.remove(id::Request(number as u64)).is_some());
                prop_assert!(queue.remove(id::Request(number as u64)).is_none());
            } else {
                kept += 1;
            }
        }
        prop_assert_eq!(queue.len(), kept);
        while let Some((_, item)) = queue.pop() {
            let index = usize::try_from(item.id.0).expect("small");
            prop_assert!(!entries[index].1);
        }
    }
}

//! Rendezvous hashing.

mod property;

use std::collections::BTreeMap;

use dottereltally_lib::{id::Node, rendezvous};
use proptest::prelude::*;

fn nodes(count: usize) -> Vec<Node> {
    (0..count)
        .map(|number| Node::from(format!("n{number}")))
        .collect()
}

proptest! {
    #![proptest_config(property::config())]

    #[test]
    fn choice_is_the_greatest_weight_in_any_order(count in 1..30usize, key in "[a-z]{1,8}") {
        let nodes = nodes(count);
        let mut best = &nodes[0];
        for node in &nodes {
            if rendezvous::weight(&key, node) > rendezvous::weight(&key, best) {
                best = node;
            }
        }
        prop_assert_eq!(rendezvous::choose(&key, &nodes), Some(best));
        prop_assert_eq!(rendezvous::choose(&key, nodes.iter().rev()), Some(best));
    }

    #[test]
    fn loss_of_a_node_moves_only_its_keys(count in 2..20usize, lost in 0..20usize) {
        let nodes = nodes(count);
        let lost = &nodes[lost % count];
        let rest: Vec<Node> = nodes.iter().filter(|node| *node != lost).cloned().collect();
        for key in 0..50 {
            let key = format!("e{key}");
            let before = rendezvous::choose(&key, &nodes);
            if before != Some(lost) {
                prop_assert_eq!(rendezvous::choose(&key, &rest), before);
            }
        }
    }
}

#[test]
fn keys_spread_over_the_nodes() {
    let nodes = nodes(8);
    let mut counts: BTreeMap<&Node, u32> = BTreeMap::new();
    for key in 0..8000 {
        let node = rendezvous::choose(&format!("e{key}"), &nodes).expect("there are nodes");
        *counts.entry(node).or_default() += 1;
    }
    for (node, count) in counts {
        assert!((800..=1200).contains(&count), "{node} has {count} of 8000");
    }
    assert_eq!(rendezvous::choose("e", &[]), None);
}

//! The registered nodes.

use std::collections::BTreeMap;

use dottereltally_lib::{id, time};

use super::registration::LEASE_TTL;
use crate::directory::Node;

/// The registered nodes, and those whose registrations a restored source may have lost.
#[derive(Clone, Debug, Default)]
pub(super) struct Nodes {
    known: BTreeMap<id::Node, Node>,
    /// Until when nodes are kept that were registered before a restoration, and not since.
    unconfirmed: BTreeMap<id::Node, time::Instant>,
}

impl Nodes {
    /// Replaces all nodes. Those that a source lacks that `is_restored` are kept for as long
    /// as their registrations would have lasted.
    pub(super) fn replace(&mut self, now: time::Instant, nodes: Vec<Node>, is_restored: bool) {
        let mut known = BTreeMap::new();
        for node in nodes {
            self.unconfirmed.remove(&node.name);
            known.insert(node.name.clone(), node);
        }
        for (name, node) in &self.known {
            if known.contains_key(name) {
                continue;
            }
            if is_restored {
                let until = now + LEASE_TTL;
                self.unconfirmed.entry(name.clone()).or_insert(until);
            }
            if self.unconfirmed.contains_key(name) {
                known.insert(name.clone(), node.clone());
            }
        }
        self.known = known;
    }

    /// Adds a node unless it is known.
    pub(super) fn add(&mut self, node: Node) {
        self.known.entry(node.name.clone()).or_insert(node);
    }

    /// Records the registration of a node.
    pub(super) fn insert(&mut self, node: Node) {
        self.unconfirmed.remove(&node.name);
        self.known.insert(node.name.clone(), node);
    }

    /// Removes a node; returns whether it was known.
    pub(super) fn remove(&mut self, name: &id::Node) -> bool {
        self.unconfirmed.remove(name);
        self.known.remove(name).is_some()
    }

    /// Removes nodes that did not register again after a restoration; returns whether there
    /// were any.
    pub(super) fn expire(&mut self, now: time::Instant) -> bool {
        let mut expired = Vec::new();
        for (name, until) in &self.unconfirmed {
            if *until <= now {
                expired.push(name.clone());
            }
        }
        for name in &expired {
            tracing::info!(node = %name, "node removed: it did not register again after a restoration");
            self.remove(name);
        }
        !expired.is_empty()
    }

    /// Returns the nodes in the order of their names.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Node> {
        self.known.values()
    }
}

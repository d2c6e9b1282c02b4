//! Which peers the next exchanges go to.

use std::collections::BTreeMap;

use rand::{rngs::SmallRng, seq::IndexedRandom};

use crate::{id, membership::Membership};

/// Doubted nodes that one node tries per round.
const MAX_CONFIRMATIONS: usize = 4;

impl Membership {
    /// Picks random live peers that no exchange is running with.
    pub(super) fn choose(&mut self, count: usize) -> BTreeMap<id::Node, String> {
        let mut candidates = Vec::new();
        for record in self.table.records() {
            let member = &record.member;
            if member.is_live() && !self.pending.contains_key(&member.node) {
                candidates.push((&member.node, &member.address));
            }
        }
        draw(&candidates, &mut self.rng, count)
    }

    /// Picks random nodes that this node has to try itself.
    pub(super) fn choose_unverified(&mut self) -> BTreeMap<id::Node, String> {
        let mut candidates = Vec::new();
        for node in &self.confirm {
            let Some(record) = self.table.get(node) else {
                continue;
            };
            if record.member.is_live() && !self.pending.contains_key(node) {
                candidates.push((node, &record.member.address));
            }
        }
        let drawn = draw(&candidates, &mut self.rng, MAX_CONFIRMATIONS);
        for node in drawn.keys() {
            self.confirm.remove(node);
        }
        drawn
    }

    /// Picks random hosts of the host list that are not live.
    pub(super) fn choose_lost(&mut self, count: usize) -> BTreeMap<id::Node, String> {
        let mut candidates = Vec::new();
        for host in self.hosts.values() {
            let busy = self.pending.contains_key(&host.node);
            if host.node == self.own.node || busy || self.is_live(&host.node) {
                continue;
            }
            candidates.push((&host.node, &host.address));
        }
        draw(&candidates, &mut self.rng, count)
    }
}

/// Draws up to `count` of the candidates.
fn draw(
    candidates: &[(&id::Node, &String)],
    rng: &mut SmallRng,
    count: usize,
) -> BTreeMap<id::Node, String> {
    let mut drawn = BTreeMap::new();
    for (node, address) in candidates.choose_multiple(rng, count) {
        drawn.insert((*node).clone(), (*address).clone());
    }
    drawn
}

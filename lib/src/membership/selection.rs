//! Selection of the peers for the next exchanges.

use std::collections::BTreeMap;

use rand::{rngs::SmallRng, seq::IndexedRandom};

use crate::{id, membership::Membership};

/// Most nodes per round that this node contacts because their state is in doubt.
const MAX_PROBES_PER_ROUND: usize = 4;

impl Membership {
    /// Chooses random live peers that no exchange is running with.
    pub(super) fn choose_live(&mut self, count: usize) -> BTreeMap<id::Node, String> {
        let mut candidates = Vec::new();
        for record in self.table.records() {
            let member = &record.member;
            if member.is_live() && !self.pending.contains_key(&member.node) {
                candidates.push((&member.node, &member.address));
            }
        }
        sample(&candidates, &mut self.rng, count)
    }

    /// Chooses random nodes that this node has to contact itself.
    pub(super) fn choose_to_probe(&mut self) -> BTreeMap<id::Node, String> {
        let mut candidates = Vec::new();
        for node in &self.to_probe {
            let Some(record) = self.table.get(node) else {
                continue;
            };
            if record.member.is_live() && !self.pending.contains_key(node) {
                candidates.push((node, &record.member.address));
            }
        }
        let chosen = sample(&candidates, &mut self.rng, MAX_PROBES_PER_ROUND);
        for node in chosen.keys() {
            self.to_probe.remove(node);
        }
        chosen
    }

    /// Chooses random hosts of the host list that are not live.
    pub(super) fn choose_unreachable_hosts(&mut self, count: usize) -> BTreeMap<id::Node, String> {
        let mut candidates = Vec::new();
        for host in self.hosts.values() {
            let busy = self.pending.contains_key(&host.node);
            if host.node == self.local.node || busy || self.is_live(&host.node) {
                continue;
            }
            candidates.push((&host.node, &host.address));
        }
        sample(&candidates, &mut self.rng, count)
    }
}

/// Samples up to `count` of the candidates.
fn sample(
    candidates: &[(&id::Node, &String)],
    rng: &mut SmallRng,
    count: usize,
) -> BTreeMap<id::Node, String> {
    let mut chosen = BTreeMap::new();
    for (node, address) in candidates.choose_multiple(rng, count) {
        chosen.insert((*node).clone(), (*address).clone());
    }
    chosen
}

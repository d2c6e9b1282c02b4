//! Merges the content of peers' heartbeats into the local state.

use std::{collections::BTreeMap, time::Duration};

use rand::Rng;

use crate::{
    id,
    membership::{
        Effect, Membership,
        gossip::Update,
        heartbeat::{Heartbeat, Member, State},
    },
    time::Instant,
};

/// A fingerprint of a peer is accepted only if it extends the known validity,
/// zero for an unknown fingerprint, by at least this.
const MIN_VALIDITY_GAIN: Duration = Duration::from_secs(5);

impl Membership {
    /// Merges a heartbeat: members, generation and fingerprints.
    pub(super) fn merge_heartbeat(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
        effects: &mut Vec<Effect>,
    ) {
        self.merge(now, &heartbeat.sender);
        for member in &heartbeat.members {
            self.merge(now, member);
        }
        if heartbeat.full_state {
            self.last_resync = now;
            self.queue_corrections(heartbeat);
        }
        if heartbeat.generation > self.generation {
            effects.push(Effect::NewerGeneration(
                heartbeat.sender.node.clone(),
                heartbeat.generation,
            ));
        }
        let accepted = self.merge_fingerprints(now, &heartbeat.fingerprints);
        if !accepted.is_empty() {
            effects.push(Effect::Fingerprints(accepted));
        }
    }

    /// Queues every record that is missing or outdated in the full state of a peer.
    fn queue_corrections(&mut self, heartbeat: &Heartbeat) {
        let mut sent = BTreeMap::new();
        for member in &heartbeat.members {
            sent.insert(&member.node, member);
        }
        sent.insert(&heartbeat.sender.node, &heartbeat.sender);
        for record in self.table.records() {
            let node = &record.member.node;
            if sent
                .get(node)
                .is_none_or(|member| record.member.supersedes(member))
            {
                self.gossip.push(Update::Member(node.clone()));
            }
        }
    }

    /// Stores and gossips fingerprints of a peer, and returns the accepted ones.
    fn merge_fingerprints(
        &mut self,
        now: Instant,
        fingerprints: &[(id::Fingerprint, Duration)],
    ) -> Vec<(id::Fingerprint, Duration)> {
        let mut accepted = Vec::new();
        for (fingerprint, valid) in fingerprints {
            let known = match self.fingerprints.get(fingerprint) {
                Some(until) => until.since(now),
                None => Duration::ZERO,
            };
            if *valid < known + MIN_VALIDITY_GAIN {
                continue;
            }
            self.gossip_fingerprint(now, *fingerprint, *valid);
            accepted.push((*fingerprint, *valid));
        }
        accepted
    }

    /// Merges one record of a node, which may be the local one.
    pub(super) fn merge(&mut self, now: Instant, member: &Member) {
        if member.node == self.local.node {
            self.refute(member);
            return;
        }
        if member.state == State::Dropped
            && let Some(record) = self.table.get(&member.node)
            && record.member.state == State::Alive
        {
            self.dispute(now, member);
            return;
        }
        if !self.table.merge(now, member) {
            return;
        }
        self.members_changed = true;
        self.disputed.remove(&member.node);
        self.to_probe.remove(&member.node);
        self.gossip.push(Update::Member(member.node.clone()));
        if member.state == State::Suspect {
            self.maybe_probe(&member.node);
        }
    }

    /// Handles a report that another node dropped a node which is alive
    /// according to the local table, such as after a partition. The report is
    /// forwarded to the node, so that it can refute it; the node becomes a
    /// suspect only if it can't be reached from here either. A report with a
    /// newer incarnation or version than the local record makes it a suspect at
    /// once.
    fn dispute(&mut self, now: Instant, member: &Member) {
        let Some(record) = self.table.get(&member.node) else {
            return;
        };
        if !member.supersedes(&record.member) {
            return;
        }
        let (known, reported) = (&record.member, member);
        if (reported.incarnation, reported.version) > (known.incarnation, known.version) {
            let mut suspect = member.clone();
            suspect.state = State::Suspect;
            self.merge(now, &suspect);
            return;
        }
        self.disputed.insert(member.node.clone(), member.clone());
        self.to_probe.insert(member.node.clone());
    }

    /// Decides at random whether this node is among the few that contact a
    /// suspected node themselves in the next round.
    fn maybe_probe(&mut self, node: &id::Node) {
        let nodes = self.table.len().max(1);
        let probers = self.settings.confirmations.min(nodes);
        if self.rng.random_range(0..nodes) < probers {
            self.to_probe.insert(node.clone());
        }
    }

    /// Raises the local incarnation or version above a record of the local node
    /// that would supersede its own.
    fn refute(&mut self, member: &Member) {
        if !member.supersedes(&self.local) {
            return;
        }
        if member.incarnation > self.local.incarnation {
            self.local.incarnation = member.incarnation + 1;
            self.local.version = 0;
        } else {
            self.local.version = member.version + 1;
        }
    }
}

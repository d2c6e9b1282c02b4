//! What the beats of peers say, and what follows from it.

use std::{collections::BTreeMap, time::Duration};

use rand::Rng;

use crate::{
    id,
    membership::{
        Effect, Membership,
        beat::{Beat, Member, State},
        gossip::Topic,
    },
    time::Instant,
};

/// Fingerprints that hold on for less are not taken from a peer.
const MIN_VALIDITY: Duration = Duration::from_secs(5);

impl Membership {
    /// Takes in everything that a beat says.
    pub(super) fn take(&mut self, now: Instant, beat: &Beat, effects: &mut Vec<Effect>) {
        self.merge(now, &beat.sender);
        for member in &beat.members {
            self.merge(now, member);
        }
        if beat.whole {
            self.resynced = now;
            self.correct(beat);
        }
        if beat.generation > self.generation {
            effects.push(Effect::Outdated(beat.sender.node.clone(), beat.generation));
        }
        let learnt = self.take_fingerprints(now, &beat.suspects);
        if !learnt.is_empty() {
            effects.push(Effect::Suspected(learnt));
        }
    }

    /// Passes on what this node knows better than a peer that told all.
    fn correct(&mut self, beat: &Beat) {
        let mut told = BTreeMap::new();
        for member in &beat.members {
            told.insert(&member.node, member);
        }
        told.insert(&beat.sender.node, &beat.sender);
        for record in self.table.records() {
            let node = &record.member.node;
            if told
                .get(node)
                .is_none_or(|member| record.member.replaces(member))
            {
                self.gossip.push(Topic::Member(node.clone()));
            }
        }
    }

    fn take_fingerprints(
        &mut self,
        now: Instant,
        suspects: &[(id::Fingerprint, Duration)],
    ) -> Vec<(id::Fingerprint, Duration)> {
        let mut learnt = Vec::new();
        for (fingerprint, valid) in suspects {
            let known = match self.fingerprints.get(fingerprint) {
                Some(until) => until.since(now),
                None => Duration::ZERO,
            };
            if *valid < known + MIN_VALIDITY {
                continue;
            }
            self.quarantine(now, *fingerprint, *valid);
            learnt.push((*fingerprint, *valid));
        }
        learnt
    }

    /// Takes in one statement on a node.
    pub(super) fn merge(&mut self, now: Instant, member: &Member) {
        if member.node == self.own.node {
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
        self.changed = true;
        self.disputed.remove(&member.node);
        self.confirm.remove(&member.node);
        self.gossip.push(Topic::Member(member.node.clone()));
        if member.state == State::Suspect {
            self.draw_confirmation(&member.node);
        }
    }

    /// Handles the word that a node was dropped elsewhere which is alive for
    /// all that is known here, such as after a partition: the node is told,
    /// so that it can refute, and is suspected only if it can't be reached
    /// from here either.
    fn dispute(&mut self, now: Instant, member: &Member) {
        let Some(record) = self.table.get(&member.node) else {
            return;
        };
        if !member.replaces(&record.member) {
            return;
        }
        let (known, told) = (&record.member, member);
        if (told.incarnation, told.version) > (known.incarnation, known.version) {
            let mut suspect = member.clone();
            suspect.state = State::Suspect;
            self.merge(now, &suspect);
            return;
        }
        self.disputed.insert(member.node.clone(), member.clone());
        self.confirm.insert(member.node.clone());
    }

    /// Decides at random whether this node is among the few that try a node
    /// themselves in the next round.
    fn draw_confirmation(&mut self, node: &id::Node) {
        let nodes = self.table.len().max(1);
        let chance = self.settings.confirmations.min(nodes);
        if self.rng.random_range(0..nodes) < chance {
            self.confirm.insert(node.clone());
        }
    }

    /// Raises this node's own statement above one that is not its own.
    fn refute(&mut self, member: &Member) {
        if !member.replaces(&self.own) {
            return;
        }
        if member.incarnation > self.own.incarnation {
            self.own.incarnation = member.incarnation + 1;
            self.own.version = 0;
        } else {
            self.own.version = member.version + 1;
        }
    }
}

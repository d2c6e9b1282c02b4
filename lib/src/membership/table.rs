//! What a node knows of the others.

use std::{
    collections::BTreeMap,
    hash::{Hash, Hasher},
    time::Duration,
};

use xxhash_rust::xxh3::Xxh3;

use crate::{
    id,
    membership::beat::{Member, State},
    time::Instant,
};

/// What is known of one other node.
#[derive(Clone, Debug)]
pub struct Record {
    /// The statement that holds.
    pub member: Member,
    /// Since when it holds.
    pub since: Instant,
    /// Whether a suspicion was not contradicted in time.
    pub dropped: bool,
}

impl Record {
    /// Returns whether the node counts as live.
    #[must_use]
    pub fn is_live(&self) -> bool {
        !self.dropped && self.member.state != State::Left
    }
}

/// Records by node.
#[derive(Clone, Debug, Default)]
pub struct Table {
    records: BTreeMap<id::Node, Record>,
}

impl Table {
    /// Returns the record of a node.
    #[must_use]
    pub fn get(&self, node: &id::Node) -> Option<&Record> {
        self.records.get(node)
    }

    /// Returns all records, ordered by node.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Takes a statement in if it replaces what is known, and returns whether
    /// it did.
    pub fn merge(&mut self, now: Instant, member: &Member) -> bool {
        if let Some(record) = self.records.get(&member.node)
            && !member.replaces(&record.member)
        {
            return false;
        }
        let record = Record {
            member: member.clone(),
            since: now,
            dropped: false,
        };
        self.records.insert(member.node.clone(), record);
        true
    }

    /// Drops the nodes that have been suspected for `span`, and returns how
    /// many.
    pub fn drop_suspects(&mut self, now: Instant, span: Duration) -> usize {
        let mut dropped = 0;
        for record in self.records.values_mut() {
            let suspected = record.member.state == State::Suspect && !record.dropped;
            if !suspected || now.since(record.since) < span {
                continue;
            }
            record.dropped = true;
            dropped += 1;
        }
        dropped
    }

    /// Starts the time of every suspicion anew.
    pub fn restart_suspicions(&mut self, now: Instant) {
        for record in self.records.values_mut() {
            if record.member.state == State::Suspect && !record.dropped {
                record.since = now;
            }
        }
    }

    /// Forgets the nodes that have not been live for `span`.
    pub fn forget(&mut self, now: Instant, span: Duration) {
        self.records
            .retain(|_, record| record.is_live() || now.since(record.since) < span);
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.records.clear();
    }

    /// Returns a hash over the nodes said to be alive, `own` included, that
    /// does not depend on their order.
    #[must_use]
    pub fn digest(&self, own: &Member) -> u64 {
        let mut digest = hash(own);
        for record in self.records.values() {
            if record.member.state == State::Alive {
                digest ^= hash(&record.member);
            }
        }
        digest
    }
}

/// Hashes what a node says of itself.
fn hash(member: &Member) -> u64 {
    let mut hasher = Xxh3::new();
    member.node.hash(&mut hasher);
    member.incarnation.hash(&mut hasher);
    member.version.hash(&mut hasher);
    hasher.finish()
}

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
}

/// Records by node.
#[derive(Clone, Debug, Default)]
pub struct Table {
    records: BTreeMap<id::Node, Record>,
    /// Hash over the nodes said to be alive.
    alive: u64,
}

impl Table {
    /// Returns the record of a node.
    #[must_use]
    pub fn get(&self, node: &id::Node) -> Option<&Record> {
        self.records.get(node)
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
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
        };
        let before = self.records.insert(member.node.clone(), record);
        if let Some(before) = before {
            self.alive ^= share(&before.member);
        }
        self.alive ^= share(member);
        true
    }

    /// Drops the nodes that have been suspected for `span`, and returns how
    /// many.
    pub fn drop_suspects(&mut self, now: Instant, span: Duration) -> usize {
        let mut dropped = 0;
        for record in self.records.values_mut() {
            if record.member.state != State::Suspect || now.since(record.since) < span {
                continue;
            }
            record.member.state = State::Dropped;
            record.since = now;
            dropped += 1;
        }
        dropped
    }

    /// Starts the time of every suspicion anew.
    pub fn restart_suspicions(&mut self, now: Instant) {
        for record in self.records.values_mut() {
            if record.member.state == State::Suspect {
                record.since = now;
            }
        }
    }

    /// Forgets the nodes that have not been live for `span`.
    pub fn forget(&mut self, now: Instant, span: Duration) {
        self.records
            .retain(|_, record| record.member.is_live() || now.since(record.since) < span);
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.records.clear();
        self.alive = 0;
    }

    /// Returns a hash over the nodes said to be alive, `own` included, that
    /// does not depend on their order.
    #[must_use]
    pub fn digest(&self, own: &Member) -> u64 {
        hash(own) ^ self.alive
    }
}

/// Returns what a statement adds to the hash over the nodes said to be alive.
fn share(member: &Member) -> u64 {
    match member.state {
        State::Alive => hash(member),
        State::Suspect | State::Dropped | State::Left => 0,
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

//! Table of the records of other nodes.

use std::{
    collections::BTreeMap,
    hash::{Hash, Hasher},
    time::Duration,
};

use xxhash_rust::xxh3::Xxh3;

use crate::{
    id,
    membership::heartbeat::{Member, State},
    time::Instant,
};

/// Record of another node.
#[derive(Clone, Debug)]
pub struct Record {
    /// The current member record.
    pub member: Member,
    /// When it became current.
    pub since: Instant,
}

/// Records by node, with an incremental digest.
#[derive(Clone, Debug, Default)]
pub struct Table {
    records: BTreeMap<id::Node, Record>,
    /// XOR of the hashes of the alive nodes.
    alive_digest: u64,
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

    /// Stores a member if it supersedes the current record, and returns whether
    /// it did.
    pub fn merge(&mut self, now: Instant, member: &Member) -> bool {
        if let Some(record) = self.records.get(&member.node)
            && !member.supersedes(&record.member)
        {
            return false;
        }
        let record = Record {
            member: member.clone(),
            since: now,
        };
        let previous = self.records.insert(member.node.clone(), record);
        if let Some(previous) = previous {
            self.alive_digest ^= digest_part(&previous.member);
        }
        self.alive_digest ^= digest_part(member);
        true
    }

    /// Drops the nodes that have been suspects for `timeout`, and returns how
    /// many.
    pub fn drop_expired_suspects(&mut self, now: Instant, timeout: Duration) -> usize {
        let mut dropped = 0;
        for record in self.records.values_mut() {
            if record.member.state != State::Suspect || now.since(record.since) < timeout {
                continue;
            }
            record.member.state = State::Dropped;
            record.since = now;
            dropped += 1;
        }
        dropped
    }

    /// Restarts the timeout of every suspicion.
    pub fn restart_suspicions(&mut self, now: Instant) {
        for record in self.records.values_mut() {
            if record.member.state == State::Suspect {
                record.since = now;
            }
        }
    }

    /// Removes the nodes that have not been live for `retention`.
    pub fn remove_expired(&mut self, now: Instant, retention: Duration) {
        self.records
            .retain(|_, record| record.member.is_live() || now.since(record.since) < retention);
    }

    /// Removes all records.
    pub fn clear(&mut self) {
        self.records.clear();
        self.alive_digest = 0;
    }

    /// Returns a hash over the alive nodes and `local`, independent of their
    /// order.
    #[must_use]
    pub fn digest(&self, local: &Member) -> u64 {
        hash(local) ^ self.alive_digest
    }
}

/// Returns the contribution of a member to the digest; zero unless it is alive.
fn digest_part(member: &Member) -> u64 {
    match member.state {
        State::Alive => hash(member),
        State::Suspect | State::Dropped | State::Left => 0,
    }
}

/// Hashes the fields that only the node itself sets: name, incarnation and
/// version.
fn hash(member: &Member) -> u64 {
    let mut hasher = Xxh3::new();
    member.node.hash(&mut hasher);
    member.incarnation.hash(&mut hasher);
    member.version.hash(&mut hasher);
    hasher.finish()
}

//! Keys, leases and history of the in-memory key-value service.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use crate::kv::{Change, Compare, Entry, Error, Lease, Operation, Outcome, Revision, Transaction};

/// Stored key: its entry and the lease that it is bound to.
#[derive(Clone)]
struct Record {
    entry: Entry,
    lease: Option<Lease>,
}

/// Time to live and expiry of a lease.
struct Term {
    ttl: Duration,
    expiry: Instant,
}

/// All data of the service.
#[derive(Default)]
pub(super) struct Data {
    /// Revision of the last change; zero if there was none.
    revision: i64,
    keys: BTreeMap<String, Record>,
    /// Entry of each key before its last change; `None` if it did not exist.
    previous: BTreeMap<String, Option<Entry>>,
    /// Leases that were neither revoked nor expired, by ID.
    leases: BTreeMap<i64, Term>,
    /// ID of the lease that was granted last; zero if there was none.
    last_lease: i64,
    /// All changes with their revisions and keys, oldest first.
    history: Vec<(Revision, String, Change)>,
}

impl Data {
    pub(super) fn revision(&self) -> Revision {
        Revision(self.revision)
    }

    pub(super) fn get(&self, key: &str) -> Option<Entry> {
        self.keys.get(key).map(|record| record.entry.clone())
    }

    /// Returns the key's entry before its last change.
    pub(super) fn previous(&self, key: &str) -> Option<Entry> {
        self.previous.get(key).cloned().flatten()
    }

    pub(super) fn list(&self, prefix: &str, limit: usize) -> Vec<Entry> {
        self.keys
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit)
            .map(|(_, record)| record.entry.clone())
            .collect()
    }

    /// Returns the changes of a key since revision `from`, inclusive.
    pub(super) fn changes(&self, key: &str, from: Revision) -> Vec<Change> {
        let mut changes = Vec::new();
        for (revision, changed, change) in &self.history {
            if *revision >= from && changed == key {
                changes.push(change.clone());
            }
        }
        changes
    }

    /// Writes a key in a new revision.
    pub(super) fn put(&mut self, key: &str, value: Vec<u8>, lease: Option<Lease>) {
        self.revision += 1;
        self.write(key, value, lease);
    }

    /// Writes a key in the current revision.
    fn write(&mut self, key: &str, value: Vec<u8>, lease: Option<Lease>) {
        let modified = self.revision();
        let old = self.get(key);
        let entry = Entry {
            key: key.to_owned(),
            value,
            created: old.as_ref().map_or(modified, |entry| entry.created),
            modified,
        };
        let change = Change::Put(entry.clone());
        self.history.push((modified, key.to_owned(), change));
        self.previous.insert(key.to_owned(), old);
        self.keys.insert(key.to_owned(), Record { entry, lease });
    }

    /// Deletes a key in the current revision.
    fn delete(&mut self, key: &str) {
        let Some(old) = self.keys.remove(key) else {
            return;
        };
        let change = Change::Deleted(key.to_owned(), self.revision());
        self.history.push((self.revision(), key.to_owned(), change));
        self.previous.insert(key.to_owned(), Some(old.entry));
    }

    fn holds(&self, compare: &Compare) -> bool {
        match compare {
            Compare::Absent(key) => !self.keys.contains_key(key),
            Compare::Modified(key, revision) => self
                .keys
                .get(key)
                .is_some_and(|record| record.entry.modified == *revision),
            Compare::Value(key, value) => self
                .keys
                .get(key)
                .is_some_and(|record| record.entry.value == *value),
        }
    }

    pub(super) fn transact(&mut self, transaction: Transaction) -> Result<Outcome, Error> {
        let succeeded = transaction
            .compares
            .iter()
            .all(|compare| self.holds(compare));
        let operations = if succeeded {
            transaction.success
        } else {
            transaction.failure
        };
        for operation in &operations {
            if let Operation::Put(_, _, Some(lease)) = operation
                && !self.leases.contains_key(&lease.0)
            {
                return Err(Error::UnknownLease(*lease));
            }
        }
        if operations
            .iter()
            .any(|operation| !matches!(operation, Operation::Get(_)))
        {
            self.revision += 1;
        }
        let mut reads = Vec::new();
        for operation in operations {
            match operation {
                Operation::Put(key, value, lease) => self.write(&key, value, lease),
                Operation::Delete(key) => self.delete(&key),
                Operation::Get(key) => reads.push(self.get(&key)),
            }
        }
        Ok(Outcome {
            succeeded,
            revision: self.revision(),
            reads,
        })
    }

    pub(super) fn grant(&mut self, ttl: Duration, now: Instant) -> Lease {
        self.last_lease += 1;
        let expiry = now + ttl;
        self.leases.insert(self.last_lease, Term { ttl, expiry });
        Lease(self.last_lease)
    }

    pub(super) fn renew(&mut self, lease: Lease, now: Instant) -> Result<Duration, Error> {
        let Some(term) = self.leases.get_mut(&lease.0) else {
            return Err(Error::UnknownLease(lease));
        };
        term.expiry = now + term.ttl;
        Ok(term.ttl)
    }

    pub(super) fn revoke(&mut self, lease: Lease) -> Result<(), Error> {
        if self.leases.remove(&lease.0).is_none() {
            return Err(Error::UnknownLease(lease));
        }
        let mut keys = Vec::new();
        for (key, record) in &self.keys {
            if record.lease == Some(lease) {
                keys.push(key.clone());
            }
        }
        self.revision += 1;
        for key in keys {
            self.delete(&key);
        }
        Ok(())
    }

    /// Revokes the leases that have expired.
    pub(super) fn expire(&mut self, now: Instant) {
        let mut expired = Vec::new();
        for (lease, term) in &self.leases {
            if term.expiry <= now {
                expired.push(Lease(*lease));
            }
        }
        for lease in expired {
            let _known = self.revoke(lease);
        }
    }
}

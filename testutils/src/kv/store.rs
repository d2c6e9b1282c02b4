//! Keys, leases and the history of changes of the key-value stand-in.

use std::{
    cmp::Ordering,
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde_json::{Map, Value, json};

use super::wire::{
    Compare, Lease, Operation, Put, Range, Relation, Target, Transaction, WatchCreate, base64,
    header,
};

/// gRPC status code for an unknown lease or path.
pub const NOT_FOUND: u32 = 5;
/// gRPC status code for an invalid request.
pub const INVALID_ARGUMENT: u32 = 3;
/// Maximum size of a value in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Error of a call, with its gRPC status code.
#[derive(Clone, Copy, Debug)]
pub struct Error {
    pub code: u32,
    pub message: &'static str,
}

/// The value of a key, with its metadata.
#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    create_revision: i64,
    mod_revision: i64,
    /// Number of writes since the key was created.
    version: i64,
    /// ID of the lease that the key is attached to, or zero.
    lease: i64,
}

/// One change of a key, as kept in the history.
#[derive(Debug)]
struct Change {
    revision: i64,
    key: Vec<u8>,
    /// The new item, or `None` if the key was deleted.
    item: Option<Item>,
}

/// A lease that has not expired.
#[derive(Debug)]
struct ActiveLease {
    /// Time to live in seconds.
    ttl: i64,
    expires_at: Instant,
}

/// The store; its first revision is 1, as in etcd.
#[derive(Debug)]
pub struct Store {
    revision: i64,
    items: BTreeMap<Vec<u8>, Item>,
    /// All changes, oldest first.
    history: Vec<Change>,
    leases: BTreeMap<i64, ActiveLease>,
    /// Last ID of the sequence from which leases get their IDs, unless a client
    /// chooses the ID.
    last_lease: i64,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            revision: 1,
            items: BTreeMap::new(),
            history: Vec::new(),
            leases: BTreeMap::new(),
            last_lease: 7_587_000_000_000_000,
        }
    }
}

impl Store {
    /// Returns the revision of the last change.
    pub const fn revision(&self) -> i64 {
        self.revision
    }

    /// Reads a range.
    pub fn range(&self, query: &Range) -> Value {
        range_response(&self.items, self.revision, query)
    }

    /// Returns a copy of the store as it was `revisions` revisions ago, without
    /// its leases.
    pub fn snapshot(&self, revisions: i64) -> Self {
        let revision = (self.revision - revisions).max(1);
        Self {
            revision,
            items: self.items_at(revision),
            ..Self::default()
        }
    }

    /// Returns the items as of a revision, by replaying the history up to it.
    fn items_at(&self, revision: i64) -> BTreeMap<Vec<u8>, Item> {
        let mut items = BTreeMap::new();
        for change in &self.history {
            if change.revision > revision {
                break;
            }
            match &change.item {
                Some(item) => items.insert(change.key.clone(), item.clone()),
                None => items.remove(&change.key),
            };
        }
        items
    }

    /// Writes one key.
    pub fn put(&mut self, query: &Put) -> Result<Value, Error> {
        self.validate(query)?;
        self.revision += 1;
        self.write(query);
        Ok(json!({"header": header(self.revision)}))
    }

    /// Deletes the keys of a range.
    pub fn delete(&mut self, query: &Range) -> Value {
        let deleted = self.remove(query, self.revision + 1);
        self.revision += i64::from(deleted > 0);
        delete_response(deleted, self.revision)
    }

    /// Runs a transaction; all its writes get the same revision.
    pub fn transact(&mut self, transaction: &Transaction) -> Result<Value, Error> {
        let succeeded = transaction
            .compare
            .iter()
            .all(|compare| self.is_satisfied(compare));
        let operations = if succeeded {
            &transaction.success
        } else {
            &transaction.failure
        };
        for operation in operations {
            if let Operation::Put(put) = operation {
                self.validate(put)?;
            }
        }
        let history_length = self.history.len();
        let revision_before = self.revision;
        let mut responses = Vec::new();
        for operation in operations {
            responses.push(self.apply(operation, revision_before + 1));
        }
        self.revision = revision_before + i64::from(self.history.len() > history_length);
        let mut result = json!({"header": header(self.revision)});
        if succeeded {
            result["succeeded"] = json!(true);
        }
        if !responses.is_empty() {
            result["responses"] = Value::Array(responses);
        }
        Ok(result)
    }

    /// Runs one operation of a transaction, whose writes get this revision.
    fn apply(&mut self, operation: &Operation, revision: i64) -> Value {
        match operation {
            Operation::Put(put) => {
                self.revision = revision;
                self.write(put);
                json!({"response_put": {"header": header(revision)}})
            }
            Operation::Range(range) => json!({"response_range": self.range(range)}),
            Operation::Delete(range) => {
                let deleted = self.remove(range, revision);
                json!({"response_delete_range": delete_response(deleted, revision)})
            }
        }
    }

    fn validate(&self, put: &Put) -> Result<(), Error> {
        if put.key.0.is_empty() {
            return Err(Error {
                code: INVALID_ARGUMENT,
                message: "etcdserver: key is not provided",
            });
        }
        if put.value.0.len() > MAX_VALUE_BYTES {
            return Err(Error {
                code: INVALID_ARGUMENT,
                message: "etcdserver: request is too large",
            });
        }
        if put.lease.0 != 0 && !self.leases.contains_key(&put.lease.0) {
            return Err(Error {
                code: NOT_FOUND,
                message: "etcdserver: requested lease not found",
            });
        }
        Ok(())
    }

    /// Writes a key at the current revision.
    fn write(&mut self, put: &Put) {
        let previous = self.items.get(&put.key.0);
        let item = Item {
            value: put.value.0.clone(),
            create_revision: previous.map_or(self.revision, |item| item.create_revision),
            mod_revision: self.revision,
            version: previous.map_or(1, |item| item.version + 1),
            lease: put.lease.0,
        };
        self.items.insert(put.key.0.clone(), item.clone());
        self.history.push(Change {
            revision: self.revision,
            key: put.key.0.clone(),
            item: Some(item),
        });
    }

    /// Deletes the keys of a range at this revision; returns their number.
    fn remove(&mut self, query: &Range, revision: i64) -> usize {
        let mut keys = Vec::new();
        for key in self.items.keys() {
            if in_range(&query.key.0, &query.end.0, key) {
                keys.push(key.clone());
            }
        }
        for key in &keys {
            self.items.remove(key);
            self.history.push(Change {
                revision,
                key: key.clone(),
                item: None,
            });
        }
        keys.len()
    }

    fn is_satisfied(&self, compare: &Compare) -> bool {
        let item = self.items.get(&compare.key.0);
        let number = |field: fn(&Item) -> i64| item.map_or(0, field);
        let order = match compare.target {
            Target::Version => number(|item| item.version).cmp(&compare.version.0),
            Target::Create => number(|item| item.create_revision).cmp(&compare.create_revision.0),
            Target::Mod => number(|item| item.mod_revision).cmp(&compare.mod_revision.0),
            Target::Lease => number(|item| item.lease).cmp(&compare.lease.0),
            // As in etcd, comparing values fails if the key does not exist.
            Target::Value => match item {
                Some(item) => item.value.cmp(&compare.value.0),
                None => return false,
            },
        };
        match compare.result {
            Relation::Equal => order == Ordering::Equal,
            Relation::Greater => order == Ordering::Greater,
            Relation::Less => order == Ordering::Less,
            Relation::NotEqual => order != Ordering::Equal,
        }
    }

    /// Grants a lease.
    pub fn grant(&mut self, query: &Lease) -> Value {
        self.last_lease += 1;
        let id = if query.id.0 == 0 {
            self.last_lease
        } else {
            query.id.0
        };
        let ttl = query.ttl.0.max(1);
        let expires_at = Instant::now() + seconds(ttl);
        self.leases.insert(id, ActiveLease { ttl, expires_at });
        json!({"header": header(self.revision), "ID": id.to_string(), "TTL": ttl.to_string()})
    }

    /// Renews a lease; the response has no TTL if the lease is unknown.
    pub fn renew(&mut self, query: &Lease) -> Value {
        let id = query.id.0;
        let mut result = json!({"header": header(self.revision), "ID": id.to_string()});
        if let Some(lease) = self.leases.get_mut(&id) {
            lease.expires_at = Instant::now() + seconds(lease.ttl);
            result["TTL"] = json!(lease.ttl.to_string());
        }
        json!({"result": result})
    }

    /// Revokes a lease and deletes its keys.
    pub fn revoke(&mut self, query: &Lease) -> Result<Value, Error> {
        if !self.drop_lease(query.id.0) {
            return Err(Error {
                code: NOT_FOUND,
                message: "etcdserver: requested lease not found",
            });
        }
        Ok(json!({"header": header(self.revision)}))
    }

    /// Revokes the leases that have expired.
    pub fn expire(&mut self) {
        let now = Instant::now();
        let mut expired = Vec::new();
        for (id, lease) in &self.leases {
            if lease.expires_at <= now {
                expired.push(*id);
            }
        }
        for id in expired {
            self.drop_lease(id);
        }
    }

    /// Removes a lease and deletes its keys; returns whether it existed.
    fn drop_lease(&mut self, id: i64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let mut keys = Vec::new();
        for (key, item) in &self.items {
            if item.lease == id {
                keys.push(key.clone());
            }
        }
        self.revision += i64::from(!keys.is_empty());
        for key in keys {
            self.items.remove(&key);
            self.history.push(Change {
                revision: self.revision,
                key,
                item: None,
            });
        }
        true
    }

    /// Returns the changes of the watched keys since revision `from`, including
    /// those of `from` itself.
    pub fn events(&self, watch: &WatchCreate, from: i64) -> Vec<Value> {
        let start = self
            .history
            .partition_point(|change| change.revision < from);
        let mut events = Vec::new();
        for change in &self.history[start..] {
            if !in_range(&watch.key.0, &watch.end.0, &change.key) {
                continue;
            }
            events.push(match &change.item {
                Some(item) => json!({"kv": key_value(&change.key, item)}),
                None => json!({"type": "DELETE", "kv": {
                    "key": base64(&change.key),
                    "mod_revision": change.revision.to_string(),
                }}),
            });
        }
        events
    }
}

fn seconds(ttl: i64) -> Duration {
    Duration::from_secs(ttl.unsigned_abs())
}

/// Returns whether a key is in a range, by the rules of etcd: without an end,
/// the range is a single key; an end of one zero byte means no upper bound.
fn in_range(start: &[u8], end: &[u8], key: &[u8]) -> bool {
    match end {
        [] => key == start,
        [0] => key >= start,
        _ => key >= start && key < end,
    }
}

fn delete_response(deleted: usize, revision: i64) -> Value {
    let mut result = json!({"header": header(revision)});
    if deleted > 0 {
        result["deleted"] = json!(deleted.to_string());
    }
    result
}

/// Encodes a key and its item; like the gateway, it leaves out fields that are
/// empty or zero.
fn key_value(key: &[u8], item: &Item) -> Value {
    let mut fields = Map::new();
    fields.insert("key".to_owned(), json!(base64(key)));
    if !item.value.is_empty() {
        fields.insert("value".to_owned(), json!(base64(&item.value)));
    }
    for (name, number) in [
        ("create_revision", item.create_revision),
        ("mod_revision", item.mod_revision),
        ("version", item.version),
        ("lease", item.lease),
    ] {
        if number != 0 {
            fields.insert(name.to_owned(), json!(number.to_string()));
        }
    }
    Value::Object(fields)
}

fn range_response(items: &BTreeMap<Vec<u8>, Item>, revision: i64, query: &Range) -> Value {
    let limit = usize::try_from(query.limit.0).unwrap_or(0);
    let mut pairs = Vec::new();
    let mut count = 0_usize;
    for (key, item) in items {
        if !in_range(&query.key.0, &query.end.0, key) {
            continue;
        }
        count += 1;
        if limit == 0 || pairs.len() < limit {
            pairs.push(key_value(key, item));
        }
    }
    let mut result = json!({"header": header(revision)});
    if count > pairs.len() {
        result["more"] = json!(true);
    }
    if count > 0 {
        result["kvs"] = Value::Array(pairs);
        result["count"] = json!(count.to_string());
    }
    result
}

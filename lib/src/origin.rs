//! Remembers which software version began each stream, so that a stream which a
//! caller resumes goes on at endpoints of the same version.

use std::{
    collections::{BTreeSet, HashMap, hash_map},
    mem,
    time::Duration,
};

use derive_more::{Display, From};
use xxhash_rust::xxh3;

use crate::{id, time};

/// Identifies a stream by a hash of the id of the attempt that began it.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0:032x}")]
pub struct Key(pub u128);

impl Key {
    /// Returns the key of the stream that this attempt began.
    #[must_use]
    pub fn new(attempt: &str) -> Self {
        Self(xxh3::xxh3_128(attempt.as_bytes()))
    }

    /// Returns the weight of a node for this key in rendezvous hashing.
    #[must_use]
    pub fn weight(self, node: &id::Node) -> u64 {
        let [low, high] = [self.0, self.0 >> 64].map(|half| {
            #[expect(clippy::cast_possible_truncation, reason = "one half of the hash")]
            let half = half as u64;
            half
        });
        xxh3::xxh3_64_with_seed(node.as_str().as_bytes(), low ^ high)
    }
}

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// The software version that began it.
    pub version: id::Version,
    /// The endpoint that sent its first event.
    pub endpoint: id::Endpoint,
}

impl Origin {
    /// Returns the bytes that its names take.
    #[must_use]
    pub fn size(&self) -> usize {
        self.version.as_str().len() + self.endpoint.as_str().len()
    }
}

/// What a memory knows about a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Knowledge {
    /// It began here.
    Known(Origin),
    /// Reports about it name different versions.
    Contradictory,
    /// Nothing.
    Unknown,
}

/// Bounds of a memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most streams.
    pub entries: usize,
    /// Most bytes of all entries.
    pub bytes: usize,
    /// Most bytes of the names of one origin.
    pub origin_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            entries: 100_000,
            bytes: 16 << 20,
            origin_bytes: 256,
        }
    }
}

/// Bytes of an entry and of its place in the order of expiry, without names.
const ENTRY_BYTES: usize = mem::size_of::<Key>() * 3 + mem::size_of::<Entry>();

#[derive(Clone, Debug)]
struct Entry {
    /// `None` if reports about the stream name different versions.
    origin: Option<Origin>,
    expires: time::Instant,
}

impl Entry {
    fn size(&self) -> usize {
        ENTRY_BYTES + self.origin.as_ref().map_or(0, Origin::size)
    }
}

/// A bounded set of streams and their origins; entries expire.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    limits: Limits,
    entries: HashMap<Key, Entry>,
    by_expiry: BTreeSet<(time::Instant, Key)>,
    bytes: usize,
    dropped: u64,
}

impl Memory {
    /// Creates an empty memory.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Records where a stream began, for `lifetime`.
    ///
    /// If it is recorded with another version already, it becomes contradictory.
    /// If there is no space, the entries that expire first are dropped.
    pub fn record(&mut self, now: time::Instant, key: Key, origin: Origin, lifetime: Duration) {
        self.expire(now);
        if origin.size() > self.limits.origin_bytes {
            self.dropped += 1;
            return;
        }
        let origin = match self.remove(key) {
            None => Some(origin),
            Some(Entry { origin: known, .. }) => {
                known.filter(|known| known.version == origin.version)
            }
        };
        let expires = now + lifetime;
        self.insert(key, Entry { origin, expires });
        while self.entries.len() > self.limits.entries || self.bytes > self.limits.bytes {
            let Some(&(_, first)) = self.by_expiry.first() else {
                break;
            };
            self.remove(first);
            self.dropped += 1;
        }
    }

    /// Returns what is known about a stream, and keeps it for at least `lifetime`
    /// more.
    pub fn find(&mut self, now: time::Instant, key: Key, lifetime: Duration) -> Knowledge {
        self.expire(now);
        let Some(mut entry) = self.remove(key) else {
            return Knowledge::Unknown;
        };
        entry.expires = entry.expires.max(now + lifetime);
        let knowledge = match &entry.origin {
            Some(origin) => Knowledge::Known(origin.clone()),
            None => Knowledge::Contradictory,
        };
        self.insert(key, entry);
        knowledge
    }

    /// Returns the number of streams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no stream is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the bytes of all entries.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns how many entries were dropped for lack of space since the last
    /// call.
    pub fn take_dropped(&mut self) -> u64 {
        mem::take(&mut self.dropped)
    }

    fn insert(&mut self, key: Key, entry: Entry) {
        self.by_expiry.insert((entry.expires, key));
        self.bytes += entry.size();
        self.entries.insert(key, entry);
    }

    fn remove(&mut self, key: Key) -> Option<Entry> {
        let hash_map::Entry::Occupied(entry) = self.entries.entry(key) else {
            return None;
        };
        let entry = entry.remove();
        self.by_expiry.remove(&(entry.expires, key));
        self.bytes -= entry.size();
        Some(entry)
    }

    fn expire(&mut self, now: time::Instant) {
        while let Some(&(expires, key)) = self.by_expiry.first() {
            if expires > now {
                return;
            }
            self.remove(key);
        }
    }
}

/// A node that may remember a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate<A> {
    /// Its name.
    pub name: id::Node,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Its address.
    pub address: A,
}

/// Nodes that are told of a stream: two in the data centre of the node that
/// relays it and one in another. Traffic between data centres costs more, and one
/// holder outside survives the loss of the data centre.
const HOLDERS: (usize, usize) = (2, 1);

/// Orders candidates by their weight for a stream, the highest first.
fn rank<A>(key: Key, nodes: &[Candidate<A>]) -> Vec<&Candidate<A>> {
    let mut ranked: Vec<&Candidate<A>> = nodes.iter().collect();
    ranked.sort_by_cached_key(|node| (u64::MAX - key.weight(&node.name), node.name.clone()));
    ranked
}

/// Returns the nodes that are told of a stream, chosen by rendezvous hashing.
#[must_use]
pub fn holders<'a, A>(
    key: Key,
    data_centre: &id::DataCentre,
    nodes: &'a [Candidate<A>],
) -> Vec<&'a Candidate<A>> {
    let ranked = rank(key, nodes);
    let (near, far): (Vec<_>, Vec<_>) = ranked
        .into_iter()
        .partition(|node| node.data_centre == *data_centre);
    let mut chosen: Vec<&Candidate<A>> = near.iter().take(HOLDERS.0).copied().collect();
    chosen.extend(far.iter().take(HOLDERS.1));
    let rest = near
        .iter()
        .skip(HOLDERS.0)
        .chain(far.iter().skip(HOLDERS.1));
    let missing = (HOLDERS.0 + HOLDERS.1).saturating_sub(chosen.len());
    chosen.extend(rest.take(missing));
    chosen
}

/// Returns the nodes that may have been told of a stream, in rounds of at most
/// `per_data_centre` nodes of each data centre, the most probable ones first.
///
/// Nodes differ in which others they know, so more are asked than were told.
#[must_use]
pub fn askable<A>(
    key: Key,
    nodes: &[Candidate<A>],
    per_data_centre: usize,
    rounds: usize,
) -> Vec<Vec<&Candidate<A>>> {
    let mut asked = HashMap::<&id::DataCentre, usize>::new();
    let mut chosen = vec![Vec::new(); rounds];
    for node in rank(key, nodes) {
        let count = asked.entry(&node.data_centre).or_default();
        if let Some(round) = chosen.get_mut(*count / per_data_centre.max(1)) {
            round.push(node);
        }
        *count += 1;
    }
    chosen
}

//! Memory for the bodies of requests that callers send.
//!
//! All bodies of a pool together take at most its capacity. A body that finds no room
//! waits, so that its connection is not read, while the largest body that is still
//! incomplete is refused; among equal ones, the one that received nothing for longest.
//! A part of the capacity is left to small bodies.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use tokio::sync::Notify;

use crate::segment::{self, SEGMENT_BYTES};

/// Memory of a host whose settings state none, bytes: the smallest host of the users.
pub const DEFAULT_HOST_BYTES: usize = 110_000_000;

/// The pool takes the memory of the host divided by this: while bodies are joined, the
/// heap may hold them twice; as much remains for connections and for everything else.
const HOST_DIVISOR: usize = 4;

/// Largest body that may use the part of the capacity that is left to small ones, bytes.
const SMALL_BYTES: usize = SEGMENT_BYTES;

/// The capacity divided by this is left to small bodies.
const SMALL_DIVISOR: usize = 8;

/// Memory of an empty body, bytes: its entry in the pool and its buffer.
const ENTRY_BYTES: usize = 512;

/// Parts in which a body may come, however small they are, and bytes of content that allow
/// a further one: each part costs far more time than its bytes show.
const MAX_SMALL_PARTS: usize = 16 * 1024;
const BYTES_PER_PART: usize = 16;

/// A full pool has room again when the used part of its capacity, in quarters, is at most this.
const ROOM_QUARTERS: usize = 3;

/// Least time between two log lines of full pools.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Why a body is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// It is over its own limit.
    #[error("the body is over {0} bytes; send a smaller one")]
    Limit(usize),
    /// It comes in too many small parts.
    #[error("the body comes in more than {MAX_SMALL_PARTS} small parts; send larger chunks")]
    Parts,
    /// The memory that all bodies share does not suffice.
    #[error(
        "the memory of this node is filled by bodies; send the request again after the given time"
    )]
    Capacity,
}

/// Memory that bodies share; clones share it.
#[derive(Clone, Debug)]
pub struct Pool(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    capacity: usize,
    state: Mutex<State>,
    /// Notified when memory is freed.
    freed: Notify,
}

#[derive(Debug, Default)]
struct State {
    used: usize,
    /// Part of the used memory whose bodies are refused and will free it.
    refused: usize,
    /// Number of bodies and appended parts so far: their order is that in time.
    sequence: u64,
    /// Number of bodies that are not small.
    large: usize,
    bodies: BTreeMap<u64, Entry>,
    /// Whether a body found no room, and the pool has not had room since.
    is_full: bool,
    /// Whether that was logged.
    is_logged: bool,
    last_line: Option<Instant>,
}

#[derive(Debug)]
struct Entry {
    bytes: usize,
    /// When it last received something.
    touched: u64,
    phase: Phase,
    /// Notified when it is refused.
    refusal: Arc<Notify>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Receiving,
    Refused,
    Complete,
}

/// Whether a body may grow.
enum Growth {
    Granted,
    /// It must wait for memory that others free.
    Wait,
    Refused,
}

impl Default for Pool {
    fn default() -> Self {
        Self::for_host(DEFAULT_HOST_BYTES)
    }
}

impl Pool {
    /// Builds a pool with this capacity in bytes. A single large body may exceed it.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self(Arc::new(Inner {
            capacity,
            state: Mutex::default(),
            freed: Notify::new(),
        }))
    }

    /// Builds the pool of a host with this memory in bytes.
    #[must_use]
    pub fn for_host(memory: usize) -> Self {
        Self::new(memory / HOST_DIVISOR)
    }

    /// Returns an empty body that may grow up to `limit` bytes.
    #[must_use]
    pub fn body(&self, limit: usize) -> Body {
        let mut state = self.lock();
        state.sequence += 1;
        let id = state.sequence;
        state.used += ENTRY_BYTES;
        let refusal = Arc::<Notify>::default();
        let entry = Entry {
            bytes: ENTRY_BYTES,
            touched: id,
            phase: Phase::Receiving,
            refusal: Arc::clone(&refusal),
        };
        state.bodies.insert(id, entry);
        drop(state);
        Body {
            lease: Lease {
                pool: self.clone(),
                id,
            },
            refusal,
            limit,
            content: segment::Buffer::default(),
            parts: 0,
            is_waiting: false,
        }
    }

    /// Returns the number of bytes that are held.
    #[must_use]
    pub fn used(&self) -> usize {
        self.lock().used
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn grow(&self, id: u64, length: usize) -> Growth {
        self.lock().grow(id, reserved(length), self.0.capacity)
    }
}

impl State {
    fn grow(&mut self, id: u64, bytes: usize, capacity: usize) -> Growth {
        let Some(own) = self.bodies.get(&id) else {
            return Growth::Refused;
        };
        if own.phase == Phase::Refused {
            return Growth::Refused;
        }
        let after = self.used - own.bytes + bytes;
        let ceiling = if is_large(bytes) {
            capacity - capacity / SMALL_DIVISOR
        } else {
            capacity
        };
        let other_large = self.large - usize::from(is_large(own.bytes));
        if bytes <= own.bytes || after <= ceiling || (is_large(bytes) && other_large == 0) {
            return self.grant(id, bytes);
        }
        self.set_full(capacity);
        if after - self.refused <= ceiling {
            return Growth::Wait;
        }
        match self.victim(id, bytes) {
            Some(victim) if victim == id => Growth::Refused,
            Some(victim) => {
                self.refuse(victim);
                Growth::Wait
            }
            // Complete bodies fill the pool: they end by their deadlines.
            None => Growth::Wait,
        }
    }

    fn set_full(&mut self, capacity: usize) {
        if self.is_full {
            return;
        }
        self.is_full = true;
        let now = Instant::now();
        let is_due = |last| now.duration_since(last) >= LOG_INTERVAL;
        if self.last_line.is_none_or(is_due) {
            tracing::warn!(
                used = self.used,
                capacity,
                "memory for bodies of requests is full; look for callers that send large bodies \
                 without their end"
            );
            self.is_logged = true;
            self.last_line = Some(now);
        }
    }

    /// Ends the state of a full pool once enough memory is free.
    fn check_room(&mut self, capacity: usize) {
        if !self.is_full || self.used > capacity / 4 * ROOM_QUARTERS {
            return;
        }
        self.is_full = false;
        if self.is_logged {
            self.is_logged = false;
            tracing::info!(
                used = self.used,
                capacity,
                "memory for bodies of requests has room again"
            );
        }
    }

    fn grant(&mut self, id: u64, bytes: usize) -> Growth {
        self.sequence += 1;
        let Some(own) = self.bodies.get_mut(&id) else {
            return Growth::Refused;
        };
        self.used = self.used - own.bytes + bytes;
        if is_large(bytes) && !is_large(own.bytes) {
            self.large += 1;
        }
        own.bytes = bytes;
        own.touched = self.sequence;
        Growth::Granted
    }

    /// Returns the largest of the incomplete bodies if `id` grew to `bytes`; `None` if no
    /// other one holds anything.
    fn victim(&self, id: u64, bytes: usize) -> Option<u64> {
        let mut victim = (bytes, 0, id);
        let mut others = 0;
        for (other, entry) in &self.bodies {
            if *other == id || entry.phase != Phase::Receiving {
                continue;
            }
            if entry.bytes > ENTRY_BYTES {
                others += 1;
            }
            let rank = (entry.bytes, u64::MAX - entry.touched);
            if rank > (victim.0, victim.1) {
                victim = (rank.0, rank.1, *other);
            }
        }
        (others > 0).then_some(victim.2)
    }

    fn refuse(&mut self, id: u64) {
        if let Some(entry) = self.bodies.get_mut(&id) {
            entry.phase = Phase::Refused;
            self.refused += entry.bytes;
            entry.refusal.notify_one();
        }
    }
}

/// Returns whether a body with this memory is kept from the part that is left to small ones.
fn is_large(bytes: usize) -> bool {
    bytes > SMALL_BYTES + ENTRY_BYTES
}

/// Returns the memory that a body of this length takes.
fn reserved(length: usize) -> usize {
    let buffer = if length <= SEGMENT_BYTES {
        length.next_power_of_two()
    } else {
        length.next_multiple_of(SEGMENT_BYTES)
    };
    buffer + ENTRY_BYTES
}

/// A body's part of a pool; dropping it frees the part.
#[derive(Debug)]
struct Lease {
    pool: Pool,
    id: u64,
}

impl Drop for Lease {
    fn drop(&mut self) {
        let mut state = self.pool.lock();
        if let Some(entry) = state.bodies.remove(&self.id) {
            state.used -= entry.bytes;
            state.large -= usize::from(is_large(entry.bytes));
            if entry.phase == Phase::Refused {
                state.refused -= entry.bytes;
            }
        }
        state.check_room(self.pool.0.capacity);
        drop(state);
        self.pool.0.freed.notify_waiters();
    }
}

/// The part of a body that has arrived.
#[derive(Debug)]
pub struct Body {
    // Dropped before the lease, so that the memory is free when the pool says so.
    content: segment::Buffer,
    lease: Lease,
    refusal: Arc<Notify>,
    limit: usize,
    parts: usize,
    is_waiting: bool,
}

/// A complete body and its memory.
struct Complete {
    bytes: Bytes,
    _lease: Lease,
}

impl AsRef<[u8]> for Complete {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Body {
    /// Checks the length that a caller announces, before any of the body is read.
    ///
    /// # Errors
    ///
    /// Fails if the body would be over its limit.
    pub fn check_length(&self, bytes: u64) -> Result<(), Refused> {
        if bytes > self.limit as u64 {
            return Err(Refused::Limit(self.limit));
        }
        Ok(())
    }

    /// Appends a part, and waits for memory if there is none. The part is copied, as it
    /// may keep a whole read buffer alive, however small it is.
    ///
    /// # Errors
    ///
    /// Fails if the body is refused.
    pub async fn append(&mut self, part: &[u8]) -> Result<(), Refused> {
        self.parts += 1;
        if self.parts > MAX_SMALL_PARTS + self.content.len() / BYTES_PER_PART {
            return Err(Refused::Parts);
        }
        let length = self.content.len() + part.len();
        if length > self.limit {
            return Err(Refused::Limit(self.limit));
        }
        self.reserve(length).await?;
        self.content.append(part);
        Ok(())
    }

    async fn reserve(&mut self, length: usize) -> Result<(), Refused> {
        let pool = &self.lease.pool;
        loop {
            // Counts what is freed from here on, also before it is polled.
            let freed = pool.0.freed.notified();
            match pool.grow(self.lease.id, length) {
                Growth::Granted => {
                    self.is_waiting = false;
                    return Ok(());
                }
                Growth::Refused => return Err(Refused::Capacity),
                Growth::Wait => {}
            }
            self.is_waiting = true;
            tokio::select! {
                () = freed => {}
                () = self.refusal.notified() => return Err(Refused::Capacity),
            }
        }
    }

    /// Waits until the pool refuses this body, which must then be dropped.
    pub async fn refused(&self) {
        self.refusal.notified().await;
    }

    /// Returns whether the body waits for memory, so that its sender is not slow.
    #[must_use]
    pub fn is_waiting(&self) -> bool {
        self.is_waiting
    }

    /// Returns the bytes; their memory is freed with the last of their clones.
    ///
    /// # Errors
    ///
    /// Fails if the pool has refused the body.
    pub fn finish(self) -> Result<Bytes, Refused> {
        let mut state = self.lease.pool.lock();
        match state.bodies.get_mut(&self.lease.id) {
            Some(entry) if entry.phase == Phase::Receiving => entry.phase = Phase::Complete,
            _ => return Err(Refused::Capacity),
        }
        drop(state);
        if self.content.len() == 0 {
            return Ok(Bytes::new());
        }
        Ok(Bytes::from_owner(Complete {
            bytes: self.content.join(),
            _lease: self.lease,
        }))
    }
}

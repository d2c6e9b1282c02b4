//! Memory for answers that are buffered until they are complete.
//!
//! All buffers of a pool together take at most its capacity. A single buffer may
//! grow up to twice the memory that is still free (dynamic thresholds, as in
//! switches with a shared buffer): one large answer passes, while many that grow
//! without end stop early and leave room for the others.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;

use crate::segment;

/// Memory of a pool unless another capacity is given, bytes.
const DEFAULT_CAPACITY: usize = 32 << 20;
/// Multiple of the free memory up to which a buffer may grow.
const GROWTH_FACTOR: usize = 2;

/// Why a buffer can't grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Full {
    /// Its own limit is reached.
    #[error("what it sent is larger than {0} bytes; check the other host")]
    Limit(usize),
    /// The memory that all buffers share does not suffice.
    #[error(
        "what it sent is larger than the free part of the memory for answers, {0} bytes in all; check which hosts send large answers"
    )]
    Capacity(usize),
}

/// Memory that buffers share; clones share it.
#[derive(Clone, Debug)]
pub struct Pool(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    capacity: usize,
    used: Mutex<usize>,
}

impl Default for Pool {
    fn default() -> Self {
        Self::new(DEFAULT_CAPACITY)
    }
}

impl Pool {
    /// Builds a pool with this capacity in bytes.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self(Arc::new(Inner {
            capacity,
            used: Mutex::default(),
        }))
    }

    /// Builds a pool of the default capacity, or more if a buffer of `limit` bytes
    /// needs it.
    #[must_use]
    pub fn with_room_for(limit: usize) -> Self {
        Self::new(DEFAULT_CAPACITY.max(limit.saturating_mul(2)))
    }

    /// Returns a reservation of no bytes that may grow up to `limit` bytes.
    #[must_use]
    pub fn reserve(&self, limit: usize) -> Reservation {
        Reservation {
            pool: self.clone(),
            limit,
            bytes: 0,
        }
    }

    /// Returns the number of bytes that are reserved.
    #[must_use]
    pub fn used(&self) -> usize {
        *self.lock()
    }

    fn lock(&self) -> MutexGuard<'_, usize> {
        self.0.used.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Part of a pool's memory; dropping it frees the part.
#[derive(Debug)]
pub struct Reservation {
    pool: Pool,
    limit: usize,
    bytes: usize,
}

impl Reservation {
    /// Changes the size to this number of bytes.
    ///
    /// # Errors
    ///
    /// Fails if that is over the limit or more than the pool allows; the size is
    /// unchanged then.
    pub fn resize(&mut self, bytes: usize) -> Result<(), Full> {
        if bytes == self.bytes {
            return Ok(());
        }
        if bytes > self.limit {
            return Err(Full::Limit(self.limit));
        }
        let capacity = self.pool.0.capacity;
        let mut used = self.pool.lock();
        let after = *used - self.bytes + bytes;
        let free = capacity.saturating_sub(after);
        if bytes > self.bytes && bytes > free.saturating_mul(GROWTH_FACTOR) {
            return Err(Full::Capacity(capacity));
        }
        *used = after;
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        *self.pool.lock() -= self.bytes;
    }
}

/// The part of an answer that has arrived.
#[derive(Debug)]
pub struct Answer {
    content: segment::Buffer,
    reservation: Reservation,
}

/// A complete answer and its memory.
struct Complete {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Complete {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Answer {
    /// Returns an empty answer.
    #[must_use]
    pub fn new(reservation: Reservation) -> Self {
        Self {
            content: segment::Buffer::default(),
            reservation,
        }
    }

    /// Checks the length that an answer declares, before any of it arrives.
    ///
    /// # Errors
    ///
    /// Fails if the answer would be over the limit.
    pub fn check_length(&self, bytes: u64) -> Result<(), Full> {
        let limit = self.reservation.limit;
        if bytes > limit as u64 {
            return Err(Full::Limit(limit));
        }
        Ok(())
    }

    /// Appends a part. The parts are copied, as each of them may keep a whole read
    /// buffer alive, however small it is.
    ///
    /// # Errors
    ///
    /// Fails if there is no memory for it.
    pub fn append(&mut self, part: &[u8]) -> Result<(), Full> {
        self.reservation.resize(self.content.len() + part.len())?;
        self.content.append(part);
        Ok(())
    }

    /// Returns the bytes; their memory is freed with the last of their clones.
    #[must_use]
    pub fn finish(self) -> Bytes {
        if self.content.len() == 0 {
            return Bytes::new();
        }
        Bytes::from_owner(Complete {
            bytes: self.content.join(),
            _reservation: self.reservation,
        })
    }
}

//! Requests that crash the endpoints they run on.
//!
//! A request that was in flight when an endpoint died is a suspect; one that was
//! in flight at two deaths is confirmed and refused. Nodes share marks as plain
//! fingerprints. Which endpoint died, and that a suspect is confirmed, is marked
//! by further fingerprints derived from that of the request. A mark that is
//! received again, or the same death reported by two nodes, thus never confirms
//! a suspect.

use std::{collections::BTreeMap, time::Duration};

use xxhash_rust::xxh3;

use crate::{id, time};

/// Time for which a mark is valid.
pub const MARK_TTL: Duration = Duration::from_mins(10);

/// Time for which a suspect stays cleared after it was answered.
const CLEARED_TTL: Duration = Duration::from_mins(10);

/// Most marks that are kept.
const MAX_MARKS: usize = 4096;

/// Seed that derives the mark of a confirmed fingerprint.
const CONFIRMED_SEED: u64 = 1;

/// Seed that derives the mark of a fingerprint whose connection broke.
const BROKEN_SEED: u64 = 2;

/// What the marks indicate about a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It has no valid marks, or it was answered since it became a suspect.
    Clear,
    /// Its connection broke, or it was in flight at one death.
    Suspect,
    /// It was in flight at two deaths.
    Confirmed,
}

/// The marks known to one node.
#[derive(Clone, Debug, Default)]
pub struct Marks {
    /// Expiry of each mark.
    marks: BTreeMap<id::Fingerprint, time::Instant>,
    /// Expiry of each suspect's clearance.
    cleared: BTreeMap<id::Fingerprint, time::Instant>,
}

/// Returns the mark of a confirmed fingerprint.
#[must_use]
pub fn confirmed_mark(fingerprint: id::Fingerprint) -> id::Fingerprint {
    derive_mark(fingerprint, CONFIRMED_SEED)
}

/// Returns the mark of a fingerprint whose connection broke.
fn broken_mark(fingerprint: id::Fingerprint) -> id::Fingerprint {
    derive_mark(fingerprint, BROKEN_SEED)
}

/// Derives a mark from a fingerprint.
fn derive_mark(fingerprint: id::Fingerprint, seed: u64) -> id::Fingerprint {
    let bytes = fingerprint.0.to_le_bytes();
    id::Fingerprint(xxh3::xxh3_64_with_seed(&bytes, seed))
}

/// Returns the mark of a fingerprint that was in flight at the death of this
/// endpoint.
fn death_mark(fingerprint: id::Fingerprint, endpoint: &id::Endpoint) -> id::Fingerprint {
    let seed = fingerprint.0;
    id::Fingerprint(xxh3::xxh3_64_with_seed(endpoint.as_str().as_bytes(), seed))
}

impl Marks {
    /// Returns what the marks indicate about a fingerprint.
    #[must_use]
    pub fn verdict(&self, now: time::Instant, fingerprint: id::Fingerprint) -> Verdict {
        if self.is_marked(now, confirmed_mark(fingerprint)) {
            return Verdict::Confirmed;
        }
        let suspect =
            self.is_marked(now, fingerprint) || self.is_marked(now, broken_mark(fingerprint));
        if suspect && !self.is_cleared(now, fingerprint) {
            return Verdict::Suspect;
        }
        Verdict::Clear
    }

    /// Records that the request's connection broke, which may be the first sign
    /// of the endpoint's death, and returns the mark to share with other nodes.
    pub fn record_break(
        &mut self,
        now: time::Instant,
        fingerprint: id::Fingerprint,
    ) -> id::Fingerprint {
        let mark = broken_mark(fingerprint);
        self.cleared.remove(&fingerprint);
        self.add(now, mark, MARK_TTL);
        mark
    }

    /// Records that the request was in flight at the death of this endpoint
    /// and returns the marks to share with other nodes.
    ///
    /// Nodes that observe the same death derive the same marks, so that it
    /// counts once.
    pub fn record_death(
        &mut self,
        now: time::Instant,
        fingerprint: id::Fingerprint,
        endpoint: &id::Endpoint,
    ) -> Vec<id::Fingerprint> {
        let death = death_mark(fingerprint, endpoint);
        let mut marks = vec![fingerprint, death];
        let suspected = self.is_marked(now, fingerprint) && !self.is_cleared(now, fingerprint);
        if suspected && !self.is_marked(now, death) {
            marks.push(confirmed_mark(fingerprint));
        }
        self.cleared.remove(&fingerprint);
        for mark in &marks {
            self.add(now, *mark, MARK_TTL);
        }
        marks
    }

    /// Adds a mark that is valid for this time, at most [`MARK_TTL`], or extends
    /// the validity of a known one.
    pub fn add(&mut self, now: time::Instant, mark: id::Fingerprint, valid: Duration) {
        let until = now + valid.min(MARK_TTL);
        let expiry = self.marks.entry(mark).or_insert(until);
        *expiry = until.max(*expiry);
        if self.marks.len() > MAX_MARKS {
            self.expire(now);
        }
        if self.marks.len() > MAX_MARKS {
            self.marks.pop_first();
        }
    }

    /// Records that the request was answered completely, which clears a suspect.
    pub fn record_answer(&mut self, now: time::Instant, fingerprint: id::Fingerprint) {
        if self.verdict(now, fingerprint) == Verdict::Suspect {
            self.cleared.insert(fingerprint, now + CLEARED_TTL);
        }
    }

    /// Drops expired marks.
    pub fn expire(&mut self, now: time::Instant) {
        self.marks.retain(|_, until| *until > now);
        self.cleared.retain(|_, until| *until > now);
    }

    /// Returns at how many of these endpoints' deaths the request is marked as in
    /// flight.
    #[must_use]
    pub fn count_deaths<'a>(
        &self,
        now: time::Instant,
        fingerprint: id::Fingerprint,
        endpoints: impl Iterator<Item = &'a id::Endpoint>,
    ) -> usize {
        let deaths = endpoints.map(|endpoint| death_mark(fingerprint, endpoint));
        deaths.filter(|death| self.is_marked(now, *death)).count()
    }

    fn is_marked(&self, now: time::Instant, mark: id::Fingerprint) -> bool {
        self.marks.get(&mark).is_some_and(|until| *until > now)
    }

    fn is_cleared(&self, now: time::Instant, fingerprint: id::Fingerprint) -> bool {
        let until = self.cleared.get(&fingerprint);
        until.is_some_and(|until| *until > now)
    }
}

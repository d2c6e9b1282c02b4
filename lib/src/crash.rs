//! Detects requests that crash the endpoints they run on.
//!
//! A request whose connection broke shortly before its endpoint was found dead
//! counts as in flight at that death. [`crate::quarantine`] decides what
//! follows from it.

use std::time::Duration;

use crate::{
    id,
    quarantine::{MARK_TTL, Marks, Verdict},
    time,
};

/// Maximum time between a broken connection and the detection that its endpoint
/// is dead.
const MAX_DETECTION_DELAY: Duration = Duration::from_secs(3);

/// Time for which a new mark is sent to the other nodes.
const MARK_SEND_TIME: Duration = Duration::from_secs(2);

/// Maximum number of broken connections kept.
const MAX_BREAKS: usize = 1000;

/// A connection that broke with a request in flight.
#[derive(Clone, Debug)]
struct Break {
    endpoint: id::Endpoint,
    fingerprint: id::Fingerprint,
    at: time::Instant,
}

/// One node's record of requests that may crash endpoints.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    marks: Marks,
    /// Recent breaks, of endpoints that have not been found dead.
    breaks: Vec<Break>,
    /// New marks, with the time until which each is sent to the other nodes.
    to_share: Vec<(id::Fingerprint, time::Instant)>,
}

impl Detector {
    /// Returns whether the request is known or suspected to crash endpoints.
    #[must_use]
    pub fn verdict(&self, now: time::Instant, fingerprint: id::Fingerprint) -> Verdict {
        self.marks.verdict(now, fingerprint)
    }

    /// Records that a request's connection broke; returns false if it is not
    /// recorded, because `MAX_BREAKS` are kept.
    pub fn record_broken(
        &mut self,
        now: time::Instant,
        endpoint: &id::Endpoint,
        fingerprint: id::Fingerprint,
    ) -> bool {
        if self.breaks.len() >= MAX_BREAKS {
            return false;
        }
        self.breaks.push(Break {
            endpoint: endpoint.clone(),
            fingerprint,
            at: now,
        });
        true
    }

    /// Drops the broken connections whose endpoint was not found dead in time, and
    /// returns the request and the endpoint of each.
    pub fn expire_breaks(&mut self, now: time::Instant) -> Vec<(id::Fingerprint, id::Endpoint)> {
        let mut expired = Vec::new();
        self.breaks.retain(|connection| {
            let kept = now.since(connection.at) < MAX_DETECTION_DELAY;
            if !kept {
                expired.push((connection.fingerprint, connection.endpoint.clone()));
            }
            kept
        });
        expired
    }

    /// Records the death of an endpoint and returns the requests that were in
    /// flight there.
    pub fn record_death(
        &mut self,
        now: time::Instant,
        endpoint: &id::Endpoint,
    ) -> Vec<id::Fingerprint> {
        let mut suspects = Vec::new();
        self.breaks.retain(|connection| {
            if connection.endpoint != *endpoint {
                return true;
            }
            if now.since(connection.at) < MAX_DETECTION_DELAY {
                suspects.push(connection.fingerprint);
            }
            false
        });
        for fingerprint in &suspects {
            for mark in self.marks.record_death(now, *fingerprint, endpoint) {
                self.to_share.push((mark, now + MARK_SEND_TIME));
            }
        }
        suspects
    }

    /// Records that a request was answered completely.
    pub fn record_answered(&mut self, now: time::Instant, fingerprint: id::Fingerprint) {
        self.marks.record_answer(now, fingerprint);
    }

    /// Returns the marks to send to the other nodes, with their validity; each is
    /// returned for `MARK_SEND_TIME`.
    pub fn marks_to_share(&mut self, now: time::Instant) -> Vec<(id::Fingerprint, Duration)> {
        self.to_share.retain(|(_, until)| *until > now);
        let marks = self.to_share.iter();
        marks.map(|(mark, _)| (*mark, MARK_TTL)).collect()
    }

    /// Applies a mark received from another node; returns whether it was unknown.
    pub fn apply_mark(
        &mut self,
        now: time::Instant,
        mark: id::Fingerprint,
        valid: Duration,
    ) -> bool {
        let known = self.marks.is_marked(now, mark);
        self.marks.add(now, mark, valid);
        !known
    }
}

//! Finds the requests that crash the endpoints they run on.
//!
//! A request whose connection broke shortly before its endpoint was found dead
//! was in flight at that death; what that means is [`crate::quarantine`]'s.

use std::time::Duration;

use crate::{
    id,
    quarantine::{MARK_TTL, Marks, Verdict},
    time,
};

/// Time between the break of a connection and the finding that its endpoint is
/// dead, at the most.
const DEATH_SPAN: Duration = Duration::from_secs(3);

/// Time for which a new mark is told to the other nodes.
const SPREAD: Duration = Duration::from_secs(2);

/// Breaks that are remembered at the most.
const MAX_BREAKS: usize = 1000;

/// A connection that broke with a request in flight.
#[derive(Clone, Debug)]
struct Break {
    endpoint: id::Endpoint,
    fingerprint: id::Fingerprint,
    at: time::Instant,
}

/// What one node knows of crashing requests.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    marks: Marks,
    breaks: Vec<Break>,
    fresh: Vec<(id::Fingerprint, time::Instant)>,
}

impl Watch {
    /// Returns whether the request was in flight at the deaths of endpoints.
    #[must_use]
    pub fn verdict(&self, now: time::Instant, fingerprint: id::Fingerprint) -> Verdict {
        self.marks.verdict(now, fingerprint)
    }

    /// Records that a request's connection broke.
    pub fn broke(
        &mut self,
        now: time::Instant,
        endpoint: &id::Endpoint,
        fingerprint: id::Fingerprint,
    ) {
        self.breaks.retain(|known| now.since(known.at) < DEATH_SPAN);
        if self.breaks.len() < MAX_BREAKS {
            self.breaks.push(Break {
                endpoint: endpoint.clone(),
                fingerprint,
                at: now,
            });
        }
    }

    /// Records that an endpoint is dead; returns the number of requests that
    /// were in flight there.
    pub fn died(&mut self, now: time::Instant, endpoint: &id::Endpoint) -> usize {
        let mut suspects = Vec::new();
        self.breaks.retain(|known| {
            if known.endpoint != *endpoint {
                return true;
            }
            if now.since(known.at) < DEATH_SPAN {
                suspects.push(known.fingerprint);
            }
            false
        });
        for fingerprint in &suspects {
            for mark in self.marks.death(now, *fingerprint, endpoint) {
                self.fresh.push((mark, now + SPREAD));
            }
        }
        suspects.len()
    }

    /// Records that a request was answered whole.
    pub fn answered(&mut self, now: time::Instant, fingerprint: id::Fingerprint) {
        self.marks.answered(now, fingerprint);
    }

    /// Returns the marks to be told to the other nodes.
    pub fn fresh(&mut self, now: time::Instant) -> Vec<(id::Fingerprint, Duration)> {
        self.fresh.retain(|(_, until)| *until > now);
        let marks = self.fresh.iter();
        marks.map(|(mark, _)| (*mark, MARK_TTL)).collect()
    }

    /// Takes over another node's mark.
    pub fn hear(&mut self, now: time::Instant, mark: id::Fingerprint, valid: Duration) {
        self.marks.mark(now, mark, valid);
    }
}

//! Return of refused requests: when each should come back, and which of them are expected.
//!
//! A caller comes back once. A time at which the queue is as full as before lets it be refused
//! twice, so each refusal names its own time, at which capacity is expected to be free, and the
//! request that then returns does not leave the schedule for a new one of equal work.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{id, time};

/// Part of the capacity that returned requests may take before new ones, so that new requests
/// are not all made to come back.
pub(super) const RETURNED_PART: f64 = 0.5;

/// Factor on the work of a returned request where one has to leave for another: its call would
/// be lost, while a new one may come back. With 0.5 and less, large returned requests take the
/// places of several small ones: 0.855 within target under 1.5 times the load, with 0.8 0.874.
pub(super) const RETURNED_WEIGHT: f64 = 0.8;

/// Time before and after the one named within which a request counts as returned: callers
/// round the time, and connect anew.
const EARLY: Duration = Duration::from_millis(20);
const GRACE: Duration = Duration::from_millis(1500);

/// Most refusals remembered for a service; 64 bytes each.
const MAX_EXPECTED: usize = 4096;

/// The refused requests that were told when to come back.
#[derive(Clone, Debug, Default)]
pub(super) struct Returns {
    /// When each is expected.
    expected: HashMap<id::Fingerprint, time::Instant>,
    /// The same, oldest refusal first.
    order: VecDeque<(id::Fingerprint, time::Instant)>,
    /// Time until which the returned requests' part of the capacity is promised.
    promised_until: time::Instant,
}

impl Returns {
    /// Chooses the time after which a refused request should come back: after the backlog, and
    /// after the returns that were announced before. `work` is what it takes, `free` the work in
    /// a second that is left by new requests. Returns the time to wait, `bounds.0` to
    /// `bounds.1`, or `bounds.1` if that is less.
    pub(super) fn promise(
        &mut self,
        now: time::Instant,
        backlog: Duration,
        (work, free): (f64, f64),
        bounds: (Duration, Duration),
    ) -> Duration {
        let start = self.promised_until.max(now + backlog);
        let seconds = work / free.max(f64::MIN_POSITIVE);
        let end = start + Duration::from_secs_f64(seconds.clamp(0.0, 3600.0));
        let wait = end.since(now);
        if wait > bounds.1 {
            return bounds.1;
        }
        self.promised_until = end;
        wait.max(bounds.0).min(bounds.1)
    }

    /// Remembers that a request was told to come back at a time.
    pub(super) fn expect(
        &mut self,
        now: time::Instant,
        fingerprint: id::Fingerprint,
        at: time::Instant,
    ) {
        while let Some((first, at)) = self.order.front()
            && (*at + GRACE < now || self.order.len() >= MAX_EXPECTED)
        {
            if self.expected.get(first) == Some(at) {
                self.expected.remove(first);
            }
            self.order.pop_front();
        }
        self.expected.insert(fingerprint, at);
        self.order.push_back((fingerprint, at));
    }

    /// Returns whether a request comes back at the time that it was told; it counts once.
    pub(super) fn take(&mut self, now: time::Instant, fingerprint: id::Fingerprint) -> bool {
        let Some(at) = self.expected.get(&fingerprint) else {
            return false;
        };
        if now + EARLY < *at {
            return false;
        }
        let is_expected = now <= *at + GRACE;
        self.expected.remove(&fingerprint);
        is_expected
    }
}

//! Selection of the queued requests that can all still be within their targets.
//!
//! Serving by due time alone keeps every request just behind its target once more is asked for
//! than can be served. The algorithm of Moore and Hodgson keeps the number of late requests
//! lowest: requests are added in the order of their due times, and whenever one can't start in
//! time, the selected request that takes most work leaves.

use std::{cmp::Ordering, collections::BinaryHeap};

use crate::{id, time};

/// Ratio of two amounts of work that count as equal: a request that takes slightly more than
/// the newest one does not leave for it.
const EQUAL_WORK_RATIO: f64 = 1.25;

/// Factor on the expected wait: with 1.0, 0.047 of the requests of a burst were late, with 1.25
/// requests with short deadlines were refused that could have been served.
const WAIT_FACTOR: f64 = 1.15;

/// A request that may be selected.
#[derive(Clone, Copy, Debug)]
pub(super) struct Job {
    pub(super) id: id::Request,
    /// Expected time for which it takes a place, in seconds.
    pub(super) work: f64,
    /// Factor on its work where requests are compared to leave; lower for one that has more to
    /// lose.
    pub(super) weight: f64,
    /// How far its workspace is above its equal share; those of the furthest leave first.
    pub(super) excess: f64,
    /// Latest time at which it can be sent and still be within its target.
    pub(super) latest_start: time::Instant,
}

/// A selected request; the greatest leaves first.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Selected {
    /// Excess of its workspace, rounded down.
    excess: f64,
    /// Logarithm of its work, in whole steps of [`EQUAL_WORK_RATIO`].
    magnitude: f64,
    id: id::Request,
    work: f64,
}

impl Eq for Selected {}

impl PartialOrd for Selected {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Selected {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_excess = self.excess.total_cmp(&other.excess);
        let by_magnitude = self.magnitude.total_cmp(&other.magnitude);
        by_excess.then(by_magnitude).then(self.id.cmp(&other.id))
    }
}

/// The selection among requests of one tier and class, added in the order of their due times.
#[derive(Debug)]
pub(super) struct Schedule {
    now: time::Instant,
    /// Work that goes before them, in seconds.
    ahead: f64,
    /// Work done in a second.
    drain: f64,
    /// Work of the selected requests, in seconds.
    work: f64,
    selected: BinaryHeap<Selected>,
    left: Vec<id::Request>,
}

impl Schedule {
    /// Creates a selection of nothing, behind the work that goes before, in seconds, where
    /// `drain` seconds of work are done in a second.
    pub(super) fn new(now: time::Instant, ahead: f64, drain: f64) -> Self {
        Self {
            now,
            ahead,
            drain: drain.max(f64::MIN_POSITIVE),
            work: 0.0,
            selected: BinaryHeap::new(),
            left: Vec::new(),
        }
    }

    /// Adds a request that is due after those before; one of the selected requests leaves if
    /// it can't start in time.
    pub(super) fn add(&mut self, job: Job) {
        let slack = job.latest_start.since(self.now).as_secs_f64() * self.drain;
        let is_past = job.latest_start < self.now;
        if is_past || self.ahead > slack {
            self.left.push(job.id);
            return;
        }
        let is_timely = self.ahead + self.work * WAIT_FACTOR <= slack;
        self.work += job.work;
        self.selected.push(Selected {
            excess: job.excess.floor(),
            magnitude: ((job.work * job.weight).max(1e-6).ln() / EQUAL_WORK_RATIO.ln()).floor(),
            id: job.id,
            work: job.work,
        });
        if is_timely {
            return;
        }
        if let Some(largest) = self.selected.pop() {
            self.work -= largest.work;
            self.left.push(largest.id);
        }
    }

    /// Returns the work of the selected requests, in seconds, and the requests that left.
    pub(super) fn finish(self) -> (f64, Vec<id::Request>) {
        (self.work.max(0.0), self.left)
    }
}

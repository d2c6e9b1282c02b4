//! Endpoints that fall over if they have to reject too many requests.
//!
//! Such an endpoint gets as many requests at once as it took before its last rejection;
//! the number grows again with time (additive increase, multiplicative decrease). All
//! nodes that decide use the same number, which they report to each other.

use std::{collections::VecDeque, time::Duration};

use crate::time;

/// Window in which an endpoint counts rejections.
const WINDOW: Duration = Duration::from_secs(1);

/// Time without a rejection after which an endpoint gets one more request at once.
const GROWTH_INTERVAL: Duration = Duration::from_secs(2);

/// Fraction of its capacity at which an endpoint is first used.
const INITIAL_FRACTION: f64 = 0.5;

/// Factor on what it is taken to hold at each further rejection in [`WINDOW`].
const DECREASE: f64 = 0.7;

/// Time without requests after a rejection, in which one that runs may end.
const HOLD: Duration = Duration::from_millis(250);

/// Time between two requests that add to those of this node there: the other nodes that
/// decide learn of each within it, and do not take the same place.
const RAMP_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which what an endpoint named holds without a further answer.
const STATEMENT_TTL: Duration = Duration::from_secs(30);

/// What a node knows about the rejections of one endpoint, for the other nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// Most rejections in a second that it bears.
    pub most: u32,
    /// Time since it said so.
    pub age: Duration,
    /// Requests that it was taken to hold after its last rejection, and the time since
    /// then; `None` if the node sends it no requests of its own choice.
    pub held: Option<(f64, Duration)>,
    /// Rejections that the node knows of in the last second.
    pub recent: u32,
}

/// What is known about the rejections of one endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct Tolerance {
    /// Most rejections in a second, and when the endpoint said so.
    stated: Option<(u32, time::Instant)>,
    /// Requests that it was taken to hold at a time.
    held: Option<(f64, time::Instant)>,
    /// Rejections of requests that this node placed.
    rejections: VecDeque<time::Instant>,
    /// Time before which it gets no requests.
    held_until: time::Instant,
    /// When a request was sent that took no place which this node had just given up.
    added: Option<time::Instant>,
    /// Places that this node gave up at a time.
    vacated: (time::Instant, u32),
}

impl Tolerance {
    /// Records what the endpoint said at a time; `None` if it named nothing.
    pub(super) fn state(&mut self, at: time::Instant, most: Option<u32>, capacity: u32) {
        if self.stated.is_some_and(|(_, stated)| stated > at) {
            return;
        }
        let Some(most) = most else {
            self.stated = None;
            return;
        };
        self.stated = Some((most, at));
        let initial = (f64::from(capacity) * INITIAL_FRACTION).max(1.0);
        self.held.get_or_insert((initial, at));
    }

    /// Returns whether the endpoint bears few rejections only.
    pub(super) fn is_limited(&self, now: time::Instant) -> bool {
        self.stated
            .is_some_and(|(_, at)| now.since(at) < STATEMENT_TTL)
    }

    /// Returns the requests that it is taken to hold, at most `capacity`.
    pub(super) fn capacity(&self, now: time::Instant, capacity: u32) -> u32 {
        let Some(held) = self.held.filter(|_| self.is_limited(now)) else {
            return capacity;
        };
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "at least one, and compared with the capacity"
        )]
        let whole = grown(held, now).min(f64::from(capacity)).max(1.0) as u32;
        whole
    }

    /// Returns whether it gets no requests now, as it rejected some.
    pub(super) fn is_held(&self, now: time::Instant) -> bool {
        self.is_limited(now) && (self.held_until > now || !self.may_add(now))
    }

    /// Returns whether one more request of this node is allowed: it takes a place that
    /// this node gives up now, or the last one that took another is known to all.
    fn may_add(&self, now: time::Instant) -> bool {
        let (at, places) = self.vacated;
        (at == now && places > 0)
            || self
                .added
                .is_none_or(|added| now.since(added) >= RAMP_INTERVAL)
    }

    /// Records that a request of this node is sent there.
    pub(super) fn record_send(&mut self, now: time::Instant) {
        let (at, places) = self.vacated;
        if at == now && places > 0 {
            self.vacated.1 -= 1;
            return;
        }
        self.added = Some(now);
    }

    /// Records that a request of this node has ended there.
    pub(super) fn record_end(&mut self, now: time::Instant) {
        let places = if self.vacated.0 == now {
            self.vacated.1
        } else {
            0
        };
        self.vacated = (now, places + 1);
    }

    /// Records a rejection while it had `load` requests, this one included.
    pub(super) fn record_rejection(&mut self, now: time::Instant, load: u32) {
        self.forget_old(now);
        let is_repeated = !self.rejections.is_empty();
        self.rejections.push_back(now);
        let Some((most, _)) = self.stated else {
            return;
        };
        let before = f64::from(load.saturating_sub(1));
        let held = self
            .held
            .map_or(before, |held| grown(held, now).min(before));
        let held = if is_repeated { held * DECREASE } else { held };
        self.held = Some((held.max(1.0), now));
        self.hold(now, most, self.recent(now));
    }

    /// Records what another node knows.
    pub(super) fn apply(&mut self, now: time::Instant, report: &Report, capacity: u32) {
        self.state(now - report.age, Some(report.most), capacity);
        let Some((value, age)) = report.held else {
            return;
        };
        let at = now - age;
        if self.held.is_none_or(|(_, known)| known < at) {
            self.held = Some((value.max(1.0), at));
        }
        self.forget_old(now);
        if report.recent > 0 {
            self.hold(at, report.most, report.recent + self.recent(now));
        }
    }

    /// Keeps requests from it after `recent` rejections, the last one at `at`: for a
    /// whole window if it bears no more than one further.
    fn hold(&mut self, at: time::Instant, most: u32, recent: u32) {
        let hold = if recent + 1 >= most { WINDOW } else { HOLD };
        self.held_until = self.held_until.max(at + hold);
    }

    fn forget_old(&mut self, now: time::Instant) {
        while let Some(first) = self.rejections.front()
            && now.since(*first) >= WINDOW
        {
            self.rejections.pop_front();
        }
    }

    fn recent(&self, now: time::Instant) -> u32 {
        let recent = self.rejections.iter();
        let recent = recent.filter(|at| now.since(**at) < WINDOW).count();
        u32::try_from(recent).unwrap_or(u32::MAX)
    }

    /// Returns what to report to the other nodes, if there is anything.
    pub(super) fn report(&self, now: time::Instant) -> Option<Report> {
        let (most, at) = self.stated?;
        if !self.is_limited(now) {
            return None;
        }
        let recent = self.recent(now);
        let held = self.held.filter(|_| !self.rejections.is_empty());
        Some(Report {
            most,
            age: now.since(at),
            held: held.map(|(value, at)| (value, now.since(at))),
            recent,
        })
    }
}

/// Returns a number of requests grown by one in each [`GROWTH_INTERVAL`].
fn grown((value, at): (f64, time::Instant), now: time::Instant) -> f64 {
    value + (now.since(at).as_secs_f64() / GROWTH_INTERVAL.as_secs_f64()).floor()
}

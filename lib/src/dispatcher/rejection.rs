//! Endpoints that fall over if they have to reject too many requests.
//!
//! Such an endpoint gets as many requests at once as it took before its last rejection;
//! the number grows again with time (additive increase, multiplicative decrease), and stays
//! for longer and longer where it was rejected before. All nodes that decide use about the
//! same number, which they report to each other.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use xxhash_rust::xxh3;

use crate::{id, time};

/// Window in which an endpoint counts rejections.
const WINDOW: Duration = Duration::from_secs(1);

/// Time without a rejection after which an endpoint gets one more request at once.
const GROWTH_INTERVAL: Duration = Duration::from_secs(2);

/// Longest time for which a number stays that was rejected before, as a power of two of
/// [`GROWTH_INTERVAL`].
const MAX_BACKOFF: u32 = 4;

/// Number of rejections at fewer requests than the ceiling after which the ceiling is lowered:
/// a single one may be due to nodes that added at the same time.
const MIN_LOWER: u32 = 2;

/// Factor on the times between additions at an endpoint that bears one rejection or none: two
/// nodes that add at once let it fall over.
const FRAGILE_FACTOR: u32 = 8;

/// Fraction of its capacity at which an endpoint is first used.
const INITIAL_FRACTION: f64 = 0.5;

/// Factor on what it is taken to hold at each further rejection in [`WINDOW`].
const DECREASE: f64 = 0.7;

/// Time without requests after a rejection, in which one that runs may end.
const HOLD: Duration = Duration::from_millis(250);

/// Mean time between two requests that add to those there, of all nodes that decide
/// together: the others learn of each within it, and do not take the same place.
const RAMP_INTERVAL: Duration = Duration::from_millis(200);

/// Fraction of the places at an endpoint that the nodes divide; the others are taken one
/// after the other. Parts are random, so that all of them may be more than what is divided.
const SHARED_PART: f64 = 0.3;

/// Time in each period in which a node may add to the requests there.
const RAMP_WINDOW: Duration = Duration::from_millis(50);

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
    /// Most rejections in a second that another endpoint of its service named.
    assumed: Option<u32>,
    /// Whether it answered without naming any.
    names_none: bool,
    /// Whether it named any since its process is known.
    was_stated: bool,
    /// Requests that it was taken to hold at a time.
    held: Option<(f64, time::Instant)>,
    /// What its rejections showed since its process is known; `None` without any.
    ceiling: Option<Ceiling>,
    /// Rejections of requests that this node placed.
    rejections: VecDeque<time::Instant>,
    /// Rejections in a second that each other node reported, and when.
    peer_rejections: BTreeMap<id::Node, (u32, time::Instant)>,
    /// Time before which it gets no requests.
    held_until: time::Instant,
    /// When a request was sent that took no place of this node.
    added: Option<time::Instant>,
    /// Places that this node gave up at a time.
    vacated: (time::Instant, u32),
    share: Share,
}

/// The most requests that an endpoint ran at once, as rejections showed.
#[derive(Clone, Copy, Debug)]
struct Ceiling {
    requests: f64,
    /// Rejections of one more.
    confirmed: u32,
    /// Rejections at fewer requests since the last one of these.
    lower: u32,
}

impl Ceiling {
    /// Returns the ceiling after a rejection at one more than `requests`.
    fn after(known: Option<Self>, requests: f64) -> Self {
        let first = Self {
            requests,
            confirmed: 1,
            lower: 0,
        };
        let Some(known) = known else {
            return first;
        };
        if requests + 1.0 > known.requests {
            let is_same = requests < known.requests + 1.0;
            let confirmed = if is_same { known.confirmed + 1 } else { 1 };
            return Self { confirmed, ..first };
        }
        if known.lower + 1 >= MIN_LOWER {
            return first;
        }
        Self {
            lower: known.lower + 1,
            ..known
        }
    }
}

/// The part of an endpoint's places that this node may take without regard to the others.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Share {
    /// Nodes that decide.
    pub(super) nodes: usize,
    /// Fixed random number from zero to one, by which the nodes divide what is left.
    pub(super) draw: f64,
}

impl Share {
    /// Returns this node's part of a number of places; the parts of all nodes are about
    /// [`SHARED_PART`] of them together.
    fn part(self, places: u32) -> f64 {
        let nodes = u32::try_from(self.nodes.max(1)).unwrap_or(u32::MAX);
        (f64::from(places) * SHARED_PART / f64::from(nodes) + self.draw).floor()
    }

    /// Returns whether this node may take a place beyond its part now, after it took one at
    /// `added`. It may do so in one window of each period, at a random time, so that few
    /// nodes take the same place when one becomes free that all of them know.
    fn may_add(self, now: time::Instant, added: Option<time::Instant>, factor: u32) -> bool {
        let others = u32::try_from(self.nodes.saturating_sub(1)).unwrap_or(u32::MAX);
        if others == 0 {
            return true;
        }
        let period = RAMP_INTERVAL * others * factor;
        let since_start = now.since(time::Instant::default());
        let periods = since_start.as_secs_f64() / period.as_secs_f64();
        let elapsed = period.mul_f64(periods.fract());
        let seed = self.draw.to_bits();
        let number = periods.floor().to_le_bytes();
        let hash = xxh3::xxh3_64_with_seed(&number, seed);
        let window = period.saturating_sub(RAMP_WINDOW).mul_f64(fraction(hash));
        let is_open = elapsed >= window && elapsed < window + RAMP_WINDOW;
        is_open && added.is_none_or(|added| now.since(added) >= RAMP_WINDOW)
    }
}

/// Returns a hash as a number from zero to one.
#[expect(clippy::cast_precision_loss, reason = "a random number")]
pub(super) fn fraction(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}

impl Tolerance {
    /// Records what the endpoint said at a time; `None` if it named nothing.
    pub(super) fn state(&mut self, at: time::Instant, most: Option<u32>, capacity: u32) {
        if self.stated.is_some_and(|(_, stated)| stated > at) {
            return;
        }
        self.names_none = most.is_none();
        let Some(most) = most else {
            self.stated = None;
            self.assumed = None;
            return;
        };
        let was_limited = self.is_limited(at);
        self.stated = Some((most, at));
        self.was_stated = true;
        self.begin(at, capacity, was_limited);
    }

    /// Assumes that it bears what another endpoint of its service named, until it answers. One
    /// that answers without naming any is assumed to be brittle again only if it was before.
    pub(super) fn assume(&mut self, now: time::Instant, most: u32, capacity: u32) {
        if self.names_none && !self.was_stated {
            return;
        }
        let was_limited = self.is_limited(now);
        self.assumed = Some(most);
        self.begin(now, capacity, was_limited);
    }

    /// Begins to limit the requests that it gets at once, or goes on to do so.
    fn begin(&mut self, at: time::Instant, capacity: u32, was_limited: bool) {
        if was_limited && self.held.is_some() {
            return;
        }
        // What it held in an earlier time in which it was brittle has grown without a test.
        let known = self.ceiling.map(|ceiling| ceiling.requests);
        let initial = known.unwrap_or(f64::from(capacity) * INITIAL_FRACTION);
        self.held = Some((initial.max(1.0), at));
    }

    /// Returns whether the endpoint bears few rejections only, as far as is known.
    pub(super) fn is_limited(&self, now: time::Instant) -> bool {
        self.assumed.is_some() || self.is_stated(now)
    }

    /// Returns whether the endpoint named lately what it bears.
    pub(super) fn is_stated(&self, now: time::Instant) -> bool {
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
        let whole = self.grown(held, now).min(f64::from(capacity)).max(1.0) as u32;
        whole
    }

    /// Sets the part of its places that this node may take.
    pub(super) fn set_share(&mut self, share: Share) {
        self.share = share;
    }

    /// Returns whether it gets no requests now, as it rejected some; this node has `own`
    /// requests there, and it lists `capacity`.
    pub(super) fn is_held(&self, now: time::Instant, own: u32, capacity: u32) -> bool {
        self.is_limited(now) && (self.held_until > now || !self.may_add(now, own, capacity))
    }

    /// Returns whether one more request of this node is allowed: it takes a place of its
    /// own part, or one that this node gives up now, or the last one that took another is
    /// known to all.
    fn may_add(&self, now: time::Instant, own: u32, capacity: u32) -> bool {
        let (at, places) = self.vacated;
        f64::from(own) < self.share.part(self.capacity(now, capacity))
            || (at == now && places > 0)
            || self.share.may_add(now, self.added, self.factor())
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
        let stated = self.stated.map(|(most, _)| most);
        let Some(most) = stated.or(self.assumed) else {
            return;
        };
        let before = f64::from(load.saturating_sub(1));
        let held = self
            .held
            .map_or(before, |held| self.grown(held, now).min(before));
        self.ceiling = Some(Ceiling::after(self.ceiling, held));
        let held = if is_repeated { held * DECREASE } else { held };
        self.held = Some((held.max(1.0), now));
        self.hold(
            now,
            most,
            self.recent(now).saturating_add(self.peers_recent(now)),
        );
    }

    /// Records what another node knows.
    pub(super) fn apply(
        &mut self,
        now: time::Instant,
        node: &id::Node,
        report: &Report,
        capacity: u32,
    ) {
        self.state(now - report.age, Some(report.most), capacity);
        let Some((value, age)) = report.held else {
            return;
        };
        let at = now - age;
        if self.held.is_none_or(|(_, known)| known < at) {
            self.held = Some((value.max(1.0), at));
            self.ceiling = Some(Ceiling::after(self.ceiling, value));
        }
        self.forget_old(now);
        if report.recent > 0 {
            let rejections = (report.recent, at);
            self.peer_rejections.insert(node.clone(), rejections);
            let recent = self.recent(now).saturating_add(self.peers_recent(now));
            self.hold(at, report.most, recent);
        }
    }

    /// Keeps requests from it after `recent` rejections, the last one at `at`: for a
    /// whole window if it bears no more than one further.
    fn hold(&mut self, at: time::Instant, most: u32, recent: u32) {
        let hold = if recent.saturating_add(1) >= most {
            WINDOW
        } else {
            HOLD
        };
        self.held_until = self.held_until.max(at + hold);
    }

    fn forget_old(&mut self, now: time::Instant) {
        while let Some(first) = self.rejections.front()
            && now.since(*first) >= WINDOW
        {
            self.rejections.pop_front();
        }
        self.peer_rejections
            .retain(|_, (_, at)| now.since(*at) < WINDOW);
    }

    fn recent(&self, now: time::Instant) -> u32 {
        let recent = self.rejections.iter();
        let recent = recent.filter(|at| now.since(**at) < WINDOW).count();
        u32::try_from(recent).unwrap_or(u32::MAX)
    }

    /// Returns the rejections in the last second that the other nodes reported.
    fn peers_recent(&self, now: time::Instant) -> u32 {
        let mut recent: u32 = 0;
        for (count, at) in self.peer_rejections.values() {
            if now.since(*at) < WINDOW {
                recent = recent.saturating_add(*count);
            }
        }
        recent
    }

    /// Returns the factor on the times between additions.
    fn factor(&self) -> u32 {
        let stated = self.stated.map(|(most, _)| most);
        match stated.or(self.assumed) {
            Some(0 | 1) => FRAGILE_FACTOR,
            _ => 1,
        }
    }

    /// Returns a number of requests grown by one in each interval since `at`; it stays at the
    /// ceiling for longer, the more often that was confirmed.
    fn grown(&self, (value, at): (f64, time::Instant), now: time::Instant) -> f64 {
        let interval = (GROWTH_INTERVAL * self.factor()).as_secs_f64();
        let elapsed = now.since(at).as_secs_f64();
        let steps = (elapsed / interval).floor();
        let Some(ceiling) = self.ceiling else {
            return value + steps;
        };
        let below = (ceiling.requests - value).max(0.0).floor();
        if steps <= below {
            return value + steps;
        }
        let doublings = ceiling.confirmed.saturating_sub(1).min(MAX_BACKOFF);
        let stay = interval * f64::from(1 << doublings);
        let beyond = elapsed - below * interval - stay;
        if beyond < 0.0 {
            return value + below;
        }
        value + below + 1.0 + (beyond / interval).floor()
    }

    /// Returns what to report to the other nodes, if there is anything.
    pub(super) fn report(&self, now: time::Instant) -> Option<Report> {
        let (most, at) = self.stated?;
        if !self.is_stated(now) {
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

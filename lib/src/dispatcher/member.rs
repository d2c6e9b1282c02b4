//! State that a dispatcher keeps for one endpoint.

use std::{mem, time::Duration};

use crate::{
    dispatcher::{
        Load, Outcome, Request, limit::Limit, queue::Queue, rejection::Tolerance,
        slow_start::SlowStart, speed,
    },
    endpoint::{Record, Standing},
    time,
};

/// Capacity assumed for an endpoint that does not report one, in requests.
const DEFAULT_CAPACITY: u32 = 8;

/// Initial and maximum time for which an unreachable endpoint is avoided; the
/// time doubles with each failed connection.
const UNREACHABLE_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_secs(2));

/// Time for which an endpoint is avoided after it rejected a request.
const REJECTED_BACKOFF: Duration = Duration::from_millis(100);

/// Time for which an endpoint is avoided if another one has its address; by
/// then a new list of endpoints with the change has arrived.
const MISDIRECTED_BACKOFF: Duration = Duration::from_secs(5);

/// Half-life of the observed failure rate, in seconds.
const FAILURE_HALF_LIFE_SECS: f64 = 2.0;

/// Weight of a new result in the failure rate.
const FAILURE_WEIGHT: f64 = 0.2;

/// Minimum and maximum speed of an endpoint, relative to the service's mean.
const SPEED_BOUNDS: (f64, f64) = (0.1, 10.0);

/// Time for which an endpoint's own report of its load is used.
const REPORT_TTL: Duration = Duration::from_millis(500);

/// An endpoint as a member of the dispatcher's pool.
#[derive(Clone, Debug)]
pub(super) struct Member {
    /// The endpoint's entry in the list of endpoints.
    pub(super) record: Record,
    /// Whether the current list of endpoints contains it.
    pub(super) listed: bool,
    /// Requests in flight from this node.
    pub(super) own_requests: u32,
    /// Prompt tokens of this node's requests still waiting for their first
    /// byte.
    pub(super) own_pending_tokens: u64,
    /// The part of `own_requests` and `own_pending_tokens` that another node
    /// placed and reports as its own.
    pub(super) delegated: (u32, u64),
    /// Load of the other nodes, by their last reports.
    pub(super) peer_load: Load,
    /// Time of the endpoint's last report of its own load, and the requests
    /// of other nodes that ran or waited there; `None` if it has not reported any.
    pub(super) reported_requests: Option<(time::Instant, u32)>,
    /// Its slow start.
    pub(super) slow_start: SlowStart,
    /// How fast it works.
    pub(super) speed: speed::Estimate,
    /// Sum, in seconds, and number of the event intervals recorded since the
    /// last report to the other nodes.
    unreported_intervals: (f64, u32),
    /// Time before which the endpoint gets no new requests.
    avoided_until: time::Instant,
    /// Connections that failed since the last answer.
    failed_connections: u32,
    /// Fraction of requests that failed, as of `failure_rate_updated`.
    failure_rate: f64,
    failure_rate_updated: time::Instant,
    /// What it takes from all nodes together.
    pub(super) limit: Limit,
    /// What it bears of rejections.
    pub(super) tolerance: Tolerance,
    /// Whether its process said that it leaves.
    pub(super) has_left: bool,
    /// Time before which it wants no requests of this node.
    pub(super) paused_until: time::Instant,
    /// Whether a statement of its last answers could not be read.
    pub(super) is_unreadable: bool,
    /// When its process started, in milliseconds since the Unix epoch; `None` if
    /// unknown.
    pub(super) started_ms: Option<u64>,
}

impl Member {
    pub(super) fn new(record: Record) -> Self {
        Self {
            record,
            listed: true,
            own_requests: 0,
            own_pending_tokens: 0,
            delegated: (0, 0),
            peer_load: Load::default(),
            reported_requests: None,
            slow_start: SlowStart::default(),
            speed: speed::Estimate::default(),
            unreported_intervals: (0.0, 0),
            avoided_until: time::Instant::default(),
            failed_connections: 0,
            failure_rate: 0.0,
            failure_rate_updated: time::Instant::default(),
            limit: Limit::default(),
            tolerance: Tolerance::default(),
            has_left: false,
            paused_until: time::Instant::default(),
            is_unreadable: false,
            started_ms: None,
        }
    }

    /// Replaces the record; a changed address clears the failures and what its process
    /// said.
    pub(super) fn update(&mut self, record: Record) {
        if record.address != self.record.address {
            self.avoided_until = time::Instant::default();
            self.failed_connections = 0;
            self.failure_rate = 0.0;
            self.limit = Limit::default();
            self.tolerance = Tolerance::default();
            self.paused_until = time::Instant::default();
            self.reset_speed();
        }
        self.listed = true;
        self.record = record;
    }

    /// Returns the number of requests that it runs at once.
    pub(super) fn capacity(&self) -> u32 {
        self.record.capacity.unwrap_or(DEFAULT_CAPACITY).max(1)
    }

    /// Returns the number of requests that it gets at once. One that bears few
    /// rejections gets its last request from its own data centre only, as nodes of two
    /// data centres know each other's requests with a delay.
    pub(super) fn usable_slots(&self, now: time::Instant, is_local: bool) -> u32 {
        let capacity = self.capacity();
        if !self.tolerance.is_limited(now) {
            return capacity;
        }
        let held = self.tolerance.capacity(now, capacity);
        if is_local { held } else { held - 1 }
    }

    /// Returns whether it may get new requests.
    pub(super) fn standing(&self) -> Standing {
        if self.has_left {
            return Standing::Leaving;
        }
        self.record.standing
    }

    /// Returns the places that it can use within its limit by requests that take this
    /// many seconds, where each place does `drain_per_place` seconds of work a second.
    pub(super) fn usable_capacity(&self, seconds: f64, drain_per_place: f64) -> f64 {
        let capacity = f64::from(self.capacity());
        let Some(rate) = self.limit.rate() else {
            return capacity;
        };
        capacity.min(rate.per_second() * seconds / drain_per_place)
    }

    /// Returns whether it may get the request: it is live, and runs the version that
    /// the request needs.
    pub(super) fn serves(&self, request: &Request) -> bool {
        let version = request.version.as_ref();
        self.standing() == Standing::Live
            && version.is_none_or(|version| self.record.version.as_ref() == Some(version))
            && request.version_filter.allows(self.record.version.as_ref())
    }

    /// Returns the time for which it still gets no new requests after failures.
    pub(super) fn avoided_for(&self, now: time::Instant) -> Duration {
        self.avoided_until.max(self.paused_until).since(now)
    }

    /// Records that it wants no requests of this node for a while.
    pub(super) fn pause(&mut self, now: time::Instant, pause: Duration) {
        self.paused_until = self.paused_until.max(now + pause);
    }

    /// Returns whether it wants no requests of this node now.
    pub(super) fn is_paused(&self, now: time::Instant) -> bool {
        self.paused_until > now
    }

    /// Returns the number of requests in flight there, or `None` if it takes no
    /// more requests now.
    pub(super) fn available_load(&self, now: time::Instant) -> Option<u32> {
        if self.standing() == Standing::Leaving
            || self.avoided_until > now
            || self.is_paused(now)
            || self
                .tolerance
                .is_held(now, self.own_requests, self.capacity())
        {
            return None;
        }
        if !self.limit.has_permit() {
            return None;
        }
        // A single request tests whether it can be reached again.
        if self.failed_connections > 0 && self.own_requests > 0 {
            return None;
        }
        let mut peer_requests = self.peer_load.requests;
        if let Some((at, others)) = self.reported_requests
            && now.since(at) < REPORT_TTL
        {
            peer_requests = peer_requests.max(others);
        }
        Some(self.own_requests.saturating_add(peer_requests))
    }

    /// Returns the number of requests in flight from all nodes.
    pub(super) fn running(&self) -> u32 {
        self.own_requests.saturating_add(self.peer_load.requests)
    }

    /// Returns the fraction of its capacity that is in use.
    pub(super) fn occupancy(&self) -> f64 {
        f64::from(self.running()) / f64::from(self.capacity())
    }

    /// Returns the prompt tokens of all nodes' requests still waiting for their
    /// first byte.
    pub(super) fn pending_tokens(&self) -> u64 {
        self.own_pending_tokens
            .saturating_add(self.peer_load.pending)
    }

    /// Records the seconds between two events of a stream of this node.
    /// A moment's slowdown is taken out, as these are for the long term.
    pub(super) fn record_event_interval(&mut self, now: time::Instant, event_interval: f64) {
        let event_interval = event_interval / self.speed.slowdown(now);
        self.speed.event_interval.record(event_interval);
        self.unreported_intervals.0 += event_interval;
        self.unreported_intervals.1 += 1;
    }

    /// Returns the load to report to the other nodes, with the mean event
    /// interval since the last report.
    pub(super) fn take_load(&mut self) -> Load {
        let (sum, count) = mem::take(&mut self.unreported_intervals);
        let event_interval = (count > 0).then(|| Duration::from_secs_f64(sum / f64::from(count)));
        Load {
            event_interval,
            ..self.load()
        }
    }

    /// Returns the load that this node reports itself, without an event interval.
    pub(super) fn load(&self) -> Load {
        let (requests, pending) = self.delegated;
        Load {
            requests: self.own_requests.saturating_sub(requests),
            pending: self.own_pending_tokens.saturating_sub(pending),
            event_interval: None,
        }
    }

    /// Returns the long-term speed relative to the service's mean; one if unknown.
    pub(super) fn lasting_speed(&self, mean: speed::Mean) -> f64 {
        self.speed.lasting(mean, SPEED_BOUNDS)
    }

    /// Returns the speed now relative to the service's mean; one if unknown.
    pub(super) fn relative_speed(&self, now: time::Instant, mean: speed::Mean) -> f64 {
        let speed = self.lasting_speed(mean) / self.speed.slowdown(now);
        speed.clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1)
    }

    /// Records the time of a whole answer.
    pub(super) fn measure_whole(
        &mut self,
        now: time::Instant,
        queue: &Queue,
        request: &Request,
        took: Duration,
    ) {
        let expected = queue.expectation(request).first_byte(0, 1.0);
        let lasting = self.lasting_speed(queue.mean_speed);
        let times = (took.as_secs_f64(), expected);
        self.speed.measure(now, times, true, lasting);
    }

    /// Discards what is known of its speed, as its process or machine is another
    /// one. Endpoints that report no load keep their measured speed.
    pub(super) fn reset_speed(&mut self) {
        if self.reported_requests.take().is_some() || self.speed.reports_load() {
            self.speed = speed::Estimate::default();
        }
        self.speed.is_unreadable = false;
    }

    /// Returns the fraction of recent requests that failed.
    pub(super) fn failure_rate(&self, now: time::Instant) -> f64 {
        let idle = now.since(self.failure_rate_updated).as_secs_f64();
        self.failure_rate * (-idle / FAILURE_HALF_LIFE_SECS).exp2()
    }

    /// Records the outcome of a request.
    pub(super) fn record_outcome(&mut self, now: time::Instant, outcome: Outcome) {
        // Weight of the failure in the rate, from zero to one.
        let failure = match outcome {
            Outcome::Cancelled => return,
            Outcome::Answered(_) => {
                self.failed_connections = 0;
                0.0
            }
            Outcome::Rejected => {
                self.avoided_until = self.avoided_until.max(now + REJECTED_BACKOFF);
                return;
            }
            Outcome::Misdirected => {
                self.avoided_until = self.avoided_until.max(now + MISDIRECTED_BACKOFF);
                return;
            }
            Outcome::Failed | Outcome::Silent => 0.5,
            Outcome::Unreachable | Outcome::Broken => 1.0,
        };
        if outcome == Outcome::Unreachable {
            let backoff = (UNREACHABLE_BACKOFF.0
                * 2_u32.saturating_pow(self.failed_connections.min(8)))
            .min(UNREACHABLE_BACKOFF.1);
            self.failed_connections += 1;
            self.avoided_until = self.avoided_until.max(now + backoff);
        }
        let rate = self.failure_rate(now);
        self.failure_rate = rate + (failure - rate) * FAILURE_WEIGHT;
        self.failure_rate_updated = now;
    }
}

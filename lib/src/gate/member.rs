//! What a gate knows of one endpoint.

use std::{mem, time::Duration};

use crate::{
    endpoint::{Record, Standing},
    estimate::Average,
    gate::{Held, Outcome},
    time,
};

/// Places of an endpoint that does not tell how many it has.
const DEFAULT_PLACES: u32 = 8;

/// Time for which an unreachable endpoint is avoided, at first and at most.
const AVOID: (Duration, Duration) = (Duration::from_millis(300), Duration::from_secs(2));

/// Time for which an endpoint that rejected a request is avoided.
const FULL: Duration = Duration::from_millis(100);

/// Time for which an endpoint is avoided whose address another one has; the
/// directory tells of the change meanwhile.
const REPLACED: Duration = Duration::from_secs(5);

/// Time after which half of the observed failures is forgotten, seconds.
const FAILURE_HALF_LIFE: f64 = 2.0;

/// Weight of one more result against the failures seen so far.
const FAILURE_WEIGHT: f64 = 0.2;

/// Bounds of an endpoint's speed relative to the service's mean.
const SPEED: (f64, f64) = (0.1, 10.0);

/// Time for which an endpoint's own word on its load counts.
const REPORT_TTL: Duration = Duration::from_millis(500);

/// One endpoint.
#[derive(Clone, Debug)]
pub(super) struct Member {
    /// What the directory says.
    pub(super) record: Record,
    /// Whether the directory names it.
    pub(super) listed: bool,
    /// Requests of this node.
    pub(super) own: u32,
    /// Prompt tokens of this node that wait for their first byte.
    pub(super) pending: u64,
    /// The part of both that another node decided on and counts.
    pub(super) delegated: (u32, u64),
    /// What the other nodes hold.
    pub(super) others: Held,
    /// Requests at the endpoint by its own word.
    pub(super) reported: Option<(time::Instant, u32)>,
    /// Seconds between two events of a stream.
    pub(super) pace: Average,
    /// Sum and number of the paces that the others were not told yet.
    untold: (f64, u32),
    avoided_until: time::Instant,
    misses: u32,
    failures: f64,
    judged: time::Instant,
}

impl Member {
    pub(super) fn new(record: Record) -> Self {
        Self {
            record,
            listed: true,
            own: 0,
            pending: 0,
            delegated: (0, 0),
            others: Held::default(),
            reported: None,
            pace: Average::default(),
            untold: (0.0, 0),
            avoided_until: time::Instant::default(),
            misses: 0,
            failures: 0.0,
            judged: time::Instant::default(),
        }
    }

    /// Takes over a changed record.
    pub(super) fn update(&mut self, record: Record) {
        if record.address != self.record.address {
            self.avoided_until = time::Instant::default();
            self.misses = 0;
            self.failures = 0.0;
        }
        self.listed = true;
        self.record = record;
    }

    /// Returns the requests that it runs at once.
    pub(super) fn places(&self) -> u32 {
        self.record.places.unwrap_or(DEFAULT_PLACES).max(1)
    }

    /// Returns the requests that are there; none if it takes no more.
    pub(super) fn taken(&self, now: time::Instant) -> Option<u32> {
        if self.record.standing == Standing::Leaving || self.avoided_until > now {
            return None;
        }
        // One request finds out whether it can be reached again.
        if self.misses > 0 && self.own > 0 {
            return None;
        }
        let mut others = self.others.requests;
        if let Some((at, total)) = self.reported
            && now.since(at) < REPORT_TTL
        {
            others = others.max(total.saturating_sub(self.own));
        }
        Some(self.own + others)
    }

    /// Returns the requests of all nodes.
    pub(super) fn running(&self) -> u32 {
        self.own + self.others.requests
    }

    /// Returns the part of its places that is taken.
    pub(super) fn occupancy(&self) -> f64 {
        f64::from(self.running()) / f64::from(self.places())
    }

    /// Returns the prompt tokens of all nodes that wait for their first byte.
    pub(super) fn pending(&self) -> u64 {
        self.pending + self.others.pending
    }

    /// Learns the seconds between two events of a stream of this node.
    pub(super) fn observe(&mut self, pace: f64) {
        self.pace.record(pace);
        self.untold.0 += pace;
        self.untold.1 += 1;
    }

    /// Returns what this node tells the others from here on.
    pub(super) fn held(&mut self) -> Held {
        let (sum, count) = mem::take(&mut self.untold);
        let pace = (count > 0).then(|| Duration::from_secs_f64(sum / f64::from(count)));
        Held {
            pace,
            ..self.load()
        }
    }

    /// Returns what this node has there and counts itself.
    pub(super) fn load(&self) -> Held {
        let (requests, pending) = self.delegated;
        Held {
            requests: self.own.saturating_sub(requests),
            pending: self.pending.saturating_sub(pending),
            pace: None,
        }
    }

    /// Returns the speed relative to the service's mean.
    pub(super) fn speed(&self, typical: Option<f64>) -> f64 {
        let (Some(own), Some(typical)) = (self.pace.get(), typical) else {
            return 1.0;
        };
        (typical / own.max(1e-6)).clamp(SPEED.0, SPEED.1)
    }

    /// Returns the part of requests that failed lately.
    pub(super) fn failure(&self, now: time::Instant) -> f64 {
        let idle = now.since(self.judged).as_secs_f64();
        self.failures * (-idle / FAILURE_HALF_LIFE).exp2()
    }

    /// Learns from the end of a request.
    pub(super) fn learn(&mut self, now: time::Instant, outcome: Outcome) {
        let failed = match outcome {
            Outcome::Cancelled => return,
            Outcome::Answered(_) => {
                self.misses = 0;
                0.0
            }
            Outcome::Rejected => {
                self.avoided_until = self.avoided_until.max(now + FULL);
                return;
            }
            Outcome::Misdirected => {
                self.avoided_until = self.avoided_until.max(now + REPLACED);
                return;
            }
            Outcome::Failed => 0.5,
            Outcome::Unreachable | Outcome::Broken => 1.0,
        };
        if outcome == Outcome::Unreachable {
            let pause = (AVOID.0 * 2_u32.saturating_pow(self.misses.min(8))).min(AVOID.1);
            self.misses += 1;
            self.avoided_until = self.avoided_until.max(now + pause);
        }
        let failures = self.failure(now);
        self.failures = failures + (failed - failures) * FAILURE_WEIGHT;
        self.judged = now;
    }
}

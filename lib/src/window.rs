//! Window of an endpoint: the tokens that this node may hold there.
//!
//! Every node adapts its own window by what it sees, as congestion control
//! does: additive increase while the window limits and streams run near the
//! endpoint's best speed, multiplicative decrease when streams slow down or
//! first tokens come late. All nodes see the same speed, so that their windows
//! settle without a message between them.

use std::time::Duration;

use crate::{estimate::Average, time};

/// Target for the time to the first token.
pub const FIRST_TOKEN: Duration = Duration::from_millis(660);

/// Shortest time between two adjustments.
const PERIOD: Duration = Duration::from_millis(500);

/// Time after which a measured speed no longer keeps work away, so that an
/// endpoint that has recovered is found out.
const SPEED_TTL: Duration = Duration::from_secs(10);

/// Part of the target that queueing inside the endpoint may take.
const QUEUEING: f64 = 0.5;

/// Part of the best speed below which the window shrinks.
const SLOW: f64 = 0.7;

/// Part of the best speed above which the window grows.
const FAST: f64 = 0.8;

/// Factor of a decrease, and of the fastest one.
const DECREASE: (f64, f64) = (0.9, 0.5);

/// Factor by which a window shrinks in a period in which it was hardly used.
const UNUSED: f64 = 0.95;

/// Multiple of the node's share of the configured window down to which an
/// unused window shrinks.
const MIN_UNUSED: f64 = 1.5;

/// Multiple of the used tokens down to which an unused window shrinks.
const HEADROOM: f64 = 2.0;

/// Increase of a period, relative to the configured window.
const INCREASE: f64 = 0.02;

/// Bounds of the window relative to the configured one.
const BOUNDS: (f64, f64) = (0.01, 8.0);

/// Part of the best speed that is forgotten with each sample.
const FORGET: f64 = 0.0001;

/// Prompt tokens below which the time to first token is not set in relation.
const MIN_PROMPT: f64 = 64.0;

/// Tokens that an endpoint may hold, adapted to what it delivers.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    configured: f64,
    limit: f64,
    share: f64,
    speed: Average,
    best: f64,
    per_token: Option<f64>,
    measured: time::Instant,
    late: bool,
    limited: bool,
    peak: f64,
    adjusted: time::Instant,
}

impl Window {
    /// Starts with the configured window.
    #[must_use]
    pub fn new(configured: u64) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "windows are small")]
        let configured = configured.max(1) as f64;
        Self {
            configured,
            limit: configured,
            share: configured,
            speed: Average::default(),
            best: 0.0,
            per_token: None,
            measured: time::Instant::default(),
            late: false,
            limited: false,
            peak: 0.0,
            adjusted: time::Instant::default(),
        }
    }

    /// Returns the tokens that this node may hold at the endpoint.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the limit is positive and bounded"
    )]
    pub fn limit(&self) -> u64 {
        self.limit.max(1.0) as u64
    }

    /// Returns the tokens that the operators' text gives the endpoint.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "made from an integer"
    )]
    pub fn configured(&self) -> u64 {
        self.configured as u64
    }

    /// Returns the tokens per second of one stream, if known and recent.
    #[must_use]
    pub fn speed(&self, now: time::Instant) -> Option<f64> {
        let recent = now.since(self.measured) < SPEED_TTL;
        self.speed.get().filter(|_| recent)
    }

    /// Takes over a changed configuration.
    pub fn configure(&mut self, configured: u64) {
        let fresh = Self::new(configured);
        if (fresh.configured - self.configured).abs() > 0.5 {
            *self = fresh;
        }
    }

    /// Divides the configured window between the nodes; the window starts from
    /// there if nothing is known of the endpoint yet.
    pub fn share(&mut self, nodes: u64) {
        #[expect(clippy::cast_precision_loss, reason = "nodes are few")]
        let nodes = nodes.max(1) as f64;
        self.share = self.configured / nodes;
        if self.adjusted == time::Instant::default() {
            self.set(self.share);
        }
    }

    /// Learns the tokens that this node holds at the endpoint.
    pub fn hold(&mut self, tokens: u64) {
        #[expect(clippy::cast_precision_loss, reason = "windows are small")]
        let tokens = tokens as f64;
        self.peak = self.peak.max(tokens);
    }

    /// Learns that work waited because the window was full.
    pub fn limited(&mut self) {
        self.limited = true;
    }

    /// Learns the time to the first token for this many uncached tokens.
    pub fn first_token(&mut self, now: time::Instant, took: Duration, uncached: u64) {
        #[expect(clippy::cast_precision_loss, reason = "a ratio")]
        let uncached = (uncached as f64).max(MIN_PROMPT);
        let took = took.as_secs_f64();
        let per_token = took / uncached;
        let least = self.per_token.unwrap_or(per_token) * (1.0 + FORGET);
        let least = least.min(per_token);
        self.per_token = Some(least);
        let queued = took - least * uncached;
        self.late |= queued > FIRST_TOKEN.as_secs_f64() * QUEUEING;
        self.adjust(now);
    }

    /// Learns the tokens per second of one stream.
    pub fn stream(&mut self, now: time::Instant, rate: f64) {
        self.measured = now;
        self.speed.record(rate);
        let average = self.speed.get().unwrap_or(rate);
        self.best = (self.best * (1.0 - FORGET)).max(average);
        self.adjust(now);
    }

    /// Learns that requests queue inside the endpoint.
    pub fn queueing(&mut self, now: time::Instant) {
        self.late = true;
        self.adjust(now);
    }

    /// Returns the time that this many prompt tokens take at the best.
    #[must_use]
    pub fn prefill(&self, tokens: u64) -> Duration {
        #[expect(clippy::cast_precision_loss, reason = "an estimate")]
        let seconds = self.per_token.unwrap_or(0.0) * tokens as f64;
        Duration::from_secs_f64(seconds.clamp(0.0, 3600.0))
    }

    /// Shrinks the window.
    pub fn decrease(&mut self) {
        self.set(self.limit * DECREASE.0);
    }

    /// Adjusts the window once a period.
    fn adjust(&mut self, now: time::Instant) {
        if now.since(self.adjusted) < PERIOD {
            return;
        }
        self.adjusted = now;
        let relative = self.speed.get().map_or(1.0, |speed| speed / self.best);
        let (usual, fastest) = DECREASE;
        if relative < SLOW {
            self.set(self.limit * (relative / SLOW).clamp(fastest, usual));
        } else if self.late {
            self.set(self.limit * usual);
        } else if relative > FAST && (self.limited || self.limit < self.share) {
            self.set(self.limit + self.configured * INCREASE);
        } else if !self.limited && self.peak * HEADROOM < self.limit {
            let least = self.share * MIN_UNUSED;
            let unused = (self.limit * UNUSED).max(self.peak * HEADROOM);
            self.set(self.limit.min(unused.max(least)));
        }
        self.late = false;
        self.limited = false;
        self.peak = 0.0;
    }

    fn set(&mut self, limit: f64) {
        let (least, most) = BOUNDS;
        self.limit = limit.clamp(self.configured * least, self.configured * most);
    }
}

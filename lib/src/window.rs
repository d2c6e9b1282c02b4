//! Window of an endpoint: the tokens that this node may have in flight there.
//!
//! Every node adapts its own window to what it observes, as congestion control
//! does. The window increases additively while it is what keeps requests waiting
//! and streams run near the endpoint's best speed. It decreases
//! multiplicatively when streams slow down or first tokens are late. All nodes
//! observe the same speed, so their windows converge without messages between
//! them.

use std::time::Duration;

use crate::{estimate::Average, time};

/// Target for the time to the first token.
pub const FIRST_TOKEN: Duration = Duration::from_millis(660);

/// Shortest time between two adjustments of a window.
const PERIOD: Duration = Duration::from_millis(500);

/// Time after which a measured speed no longer counts when an endpoint is
/// chosen, so that a slow endpoint gets work again and its recovery is noticed.
const SPEED_TTL: Duration = Duration::from_secs(10);

/// Fraction of [`FIRST_TOKEN`] that queueing inside the endpoint may take.
const QUEUEING: f64 = 0.5;

/// Fraction of the best speed below which the window decreases.
const SLOW: f64 = 0.7;

/// Fraction of the best speed above which the window may increase.
const FAST: f64 = 0.8;

/// Factors of the usual and of the steepest decrease.
const DECREASE: (f64, f64) = (0.9, 0.5);

/// Factor by which a window decreases in a period that used little of it.
const UNUSED: f64 = 0.95;

/// Multiple of the node's share of the configured window below which a window
/// doesn't decrease for little use.
const MIN_UNUSED: f64 = 1.5;

/// Multiple of the peak of tokens in flight below which a window doesn't
/// decrease for little use.
const HEADROOM: f64 = 2.0;

/// Increase per period, relative to the configured window.
const INCREASE: f64 = 0.02;

/// Bounds of the window, relative to the configured one.
const BOUNDS: (f64, f64) = (0.01, 8.0);

/// Fraction by which the best speed falls and the best time per prompt token
/// rises with each sample, so that old extremes are forgotten.
const FORGET: f64 = 0.0001;

/// Fewest prompt tokens that the time to the first token is related to; a
/// shorter prompt counts as this many.
const MIN_PROMPT: f64 = 64.0;

/// A limit on the tokens in flight at an endpoint, adapted to its speed.
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
    /// Creates a window of the configured size.
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

    /// Returns the tokens that this node may have in flight at the endpoint.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the limit is positive and bounded"
    )]
    pub fn limit(&self) -> u64 {
        self.limit.max(1.0) as u64
    }

    /// Returns the tokens that the configuration gives the endpoint.
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

    /// Starts again from the configured size if that has changed.
    pub fn configure(&mut self, configured: u64) {
        let fresh = Self::new(configured);
        if (fresh.configured - self.configured).abs() > 0.5 {
            *self = fresh;
        }
    }

    /// Sets the node's equal share of the configured window, which is also the
    /// limit until the first adjustment.
    pub fn share(&mut self, nodes: u64) {
        #[expect(clippy::cast_precision_loss, reason = "nodes are few")]
        let nodes = nodes.max(1) as f64;
        self.share = self.configured / nodes;
        if self.adjusted == time::Instant::default() {
            self.set(self.share);
        }
    }

    /// Records the tokens that this node has in flight at the endpoint.
    pub fn hold(&mut self, tokens: u64) {
        #[expect(clippy::cast_precision_loss, reason = "windows are small")]
        let tokens = tokens as f64;
        self.peak = self.peak.max(tokens);
    }

    /// Records that a request had to wait because the window was full.
    pub fn limited(&mut self) {
        self.limited = true;
    }

    /// Records the time to the first token for this many uncached prompt tokens.
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

    /// Records the tokens per second of one stream.
    pub fn stream(&mut self, now: time::Instant, rate: f64) {
        self.measured = now;
        self.speed.record(rate);
        let average = self.speed.get().unwrap_or(rate);
        self.best = (self.best * (1.0 - FORGET)).max(average);
        self.adjust(now);
    }

    /// Records that requests queue inside the endpoint.
    pub fn queueing(&mut self, now: time::Instant) {
        self.late = true;
        self.adjust(now);
    }

    /// Returns the time that the endpoint needs for this many prompt tokens
    /// without queueing; zero if unknown.
    #[must_use]
    pub fn prefill(&self, tokens: u64) -> Duration {
        #[expect(clippy::cast_precision_loss, reason = "an estimate")]
        let seconds = self.per_token.unwrap_or(0.0) * tokens as f64;
        Duration::from_secs_f64(seconds.clamp(0.0, 3600.0))
    }

    /// Decreases the window by the usual factor.
    pub fn decrease(&mut self) {
        self.set(self.limit * DECREASE.0);
    }

    /// Adjusts the window at most once a period.
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

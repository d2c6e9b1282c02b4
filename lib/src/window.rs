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
pub const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(660);

/// Shortest time between two adjustments of a window.
const ADJUST_PERIOD: Duration = Duration::from_millis(500);

/// Time after which a measured speed no longer counts when an endpoint is
/// chosen, so that a slow endpoint gets work again and its recovery is noticed.
const SPEED_TTL: Duration = Duration::from_secs(10);

/// Fraction of [`FIRST_TOKEN_TARGET`] that queueing inside the endpoint may
/// take.
const MAX_QUEUEING_FRACTION: f64 = 0.5;

/// Fraction of the best speed below which the window decreases.
const SLOW_SPEED_FRACTION: f64 = 0.7;

/// Fraction of the best speed above which the window may increase.
const FAST_SPEED_FRACTION: f64 = 0.8;

/// Factors of the usual and of the steepest decrease.
const DECREASE_FACTORS: (f64, f64) = (0.9, 0.5);

/// Factor by which a window decreases in a period that used little of it.
const UNUSED_DECREASE_FACTOR: f64 = 0.95;

/// Multiple of the node's share of the configured window below which a window
/// doesn't decrease for little use.
const MIN_UNUSED_SHARE_FACTOR: f64 = 1.5;

/// Multiple of the peak of tokens in flight below which a window doesn't
/// decrease for little use.
const UNUSED_HEADROOM_FACTOR: f64 = 2.0;

/// Increase per period, relative to the configured window.
const INCREASE_FRACTION: f64 = 0.02;

/// Bounds of the window, relative to the configured one.
const LIMIT_BOUNDS: (f64, f64) = (0.01, 8.0);

/// Fraction by which the best speed falls and the best time per prompt token
/// rises with each sample, so that old extremes are forgotten.
const BEST_DECAY: f64 = 0.0001;

/// Fewest prompt tokens that the time to the first token is related to; a
/// shorter prompt counts as this many.
const MIN_PROMPT_TOKENS: f64 = 64.0;

/// A limit on the tokens in flight at an endpoint, adapted to its speed.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    /// Tokens that the configuration gives the endpoint.
    configured: f64,
    /// Tokens that this node may have in flight.
    limit: f64,
    /// This node's equal share of `configured`.
    node_share: f64,
    /// Average tokens per second of one stream.
    speed: Average,
    /// Highest average speed, with slow decay.
    best_speed: f64,
    /// Shortest time to the first token per uncached prompt token, with slow
    /// decay; `None` until one was measured.
    best_secs_per_token: Option<f64>,
    /// When `speed` was last updated.
    speed_measured: time::Instant,
    /// Whether requests queued inside the endpoint since the last adjustment.
    congested: bool,
    /// Whether the window kept requests waiting since the last adjustment.
    limited: bool,
    /// Most tokens in flight since the last adjustment.
    peak_tokens: f64,
    /// When the window was last adjusted; the default before the first time.
    last_adjusted: time::Instant,
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
            node_share: configured,
            speed: Average::default(),
            best_speed: 0.0,
            best_secs_per_token: None,
            speed_measured: time::Instant::default(),
            congested: false,
            limited: false,
            peak_tokens: 0.0,
            last_adjusted: time::Instant::default(),
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
        let recent = now.since(self.speed_measured) < SPEED_TTL;
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
    pub fn set_nodes(&mut self, nodes: u64) {
        #[expect(clippy::cast_precision_loss, reason = "nodes are few")]
        let nodes = nodes.max(1) as f64;
        self.node_share = self.configured / nodes;
        if self.last_adjusted == time::Instant::default() {
            self.set_limit(self.node_share);
        }
    }

    /// Records the tokens that this node has in flight at the endpoint.
    pub fn record_in_flight(&mut self, tokens: u64) {
        #[expect(clippy::cast_precision_loss, reason = "windows are small")]
        let tokens = tokens as f64;
        self.peak_tokens = self.peak_tokens.max(tokens);
    }

    /// Records that a request had to wait because the window was full.
    pub fn record_limited(&mut self) {
        self.limited = true;
    }

    /// Records the time to the first token for this many uncached prompt tokens.
    pub fn record_first_token(&mut self, now: time::Instant, took: Duration, uncached: u64) {
        #[expect(clippy::cast_precision_loss, reason = "a ratio")]
        let uncached = (uncached as f64).max(MIN_PROMPT_TOKENS);
        let took = took.as_secs_f64();
        let per_token = took / uncached;
        let best = self.best_secs_per_token.unwrap_or(per_token) * (1.0 + BEST_DECAY);
        let best = best.min(per_token);
        self.best_secs_per_token = Some(best);
        let queued = took - best * uncached;
        self.congested |= queued > FIRST_TOKEN_TARGET.as_secs_f64() * MAX_QUEUEING_FRACTION;
        self.adjust(now);
    }

    /// Records the tokens per second of one stream.
    pub fn record_speed(&mut self, now: time::Instant, rate: f64) {
        self.speed_measured = now;
        self.speed.record(rate);
        let average = self.speed.get().unwrap_or(rate);
        self.best_speed = (self.best_speed * (1.0 - BEST_DECAY)).max(average);
        self.adjust(now);
    }

    /// Records that requests queue inside the endpoint.
    pub fn record_queueing(&mut self, now: time::Instant) {
        self.congested = true;
        self.adjust(now);
    }

    /// Returns the time that the endpoint needs for this many prompt tokens
    /// without queueing; zero if unknown.
    #[must_use]
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        #[expect(clippy::cast_precision_loss, reason = "an estimate")]
        let seconds = self.best_secs_per_token.unwrap_or(0.0) * tokens as f64;
        Duration::from_secs_f64(seconds.clamp(0.0, 3600.0))
    }

    /// Decreases the window by the usual factor, also within a period.
    pub fn decrease(&mut self) {
        self.set_limit(self.limit * DECREASE_FACTORS.0);
    }

    /// Adjusts the window to the observations since the last adjustment, at most
    /// once a period.
    fn adjust(&mut self, now: time::Instant) {
        if now.since(self.last_adjusted) < ADJUST_PERIOD {
            return;
        }
        self.last_adjusted = now;
        let relative = self
            .speed
            .get()
            .map_or(1.0, |speed| speed / self.best_speed);
        let (usual, steepest) = DECREASE_FACTORS;
        if relative < SLOW_SPEED_FRACTION {
            self.set_limit(self.limit * (relative / SLOW_SPEED_FRACTION).clamp(steepest, usual));
        } else if self.congested {
            self.set_limit(self.limit * usual);
        } else if relative > FAST_SPEED_FRACTION && (self.limited || self.limit < self.node_share) {
            self.set_limit(self.limit + self.configured * INCREASE_FRACTION);
        } else if !self.limited && self.peak_tokens * UNUSED_HEADROOM_FACTOR < self.limit {
            let floor = self.node_share * MIN_UNUSED_SHARE_FACTOR;
            let unused = (self.limit * UNUSED_DECREASE_FACTOR)
                .max(self.peak_tokens * UNUSED_HEADROOM_FACTOR);
            self.set_limit(self.limit.min(unused.max(floor)));
        }
        self.congested = false;
        self.limited = false;
        self.peak_tokens = 0.0;
    }

    fn set_limit(&mut self, limit: f64) {
        let (least, most) = LIMIT_BOUNDS;
        self.limit = limit.clamp(self.configured * least, self.configured * most);
    }
}

//! Window of an endpoint: the tokens that it may hold.
//!
//! Additive increase while the window limits and the first token comes in
//! time, multiplicative decrease when it comes late.

use std::time::Duration;

use crate::time;

/// Target for the time to the first token.
pub const FIRST_TOKEN: Duration = Duration::from_millis(660);

/// Shortest time between two decreases.
const DECREASE_PERIOD: Duration = Duration::from_millis(500);

/// Factor of a decrease.
const DECREASE: f64 = 0.85;

/// Increase per timely answer, relative to its cost.
const INCREASE: f64 = 0.1;

/// Bounds of the window relative to the configured one.
const BOUNDS: (f64, f64) = (0.05, 8.0);

/// Share of the target that queueing inside the endpoint may take.
const QUEUEING: f64 = 0.5;

/// Speed with which the least time per prompt token is forgotten.
const FORGET: f64 = 0.01;

/// Prompt tokens below which the time to first token is not set in relation.
const MIN_PROMPT: f64 = 64.0;

/// Tokens that an endpoint may hold, adapted to what it delivers.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    configured: f64,
    limit: f64,
    per_token: Option<f64>,
    decreased: time::Instant,
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
            per_token: None,
            decreased: time::Instant::default(),
        }
    }

    /// Returns the tokens that the endpoint may hold.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the limit is positive and bounded"
    )]
    pub fn limit(&self) -> u64 {
        self.limit.max(1.0) as u64
    }

    /// Takes over a changed configuration.
    pub fn configure(&mut self, configured: u64) {
        let fresh = Self::new(configured);
        if (fresh.configured - self.configured).abs() > 0.5 {
            *self = fresh;
        }
    }

    /// Learns the time to the first token of a request.
    ///
    /// `limited` says whether work waited for the window meanwhile.
    pub fn first_token(
        &mut self,
        now: time::Instant,
        (took, prompt, cost): (Duration, u64, u64),
        limited: bool,
    ) {
        #[expect(clippy::cast_precision_loss, reason = "a ratio")]
        let (prompt, cost) = ((prompt as f64).max(MIN_PROMPT), cost as f64);
        let took = took.as_secs_f64();
        let per_token = took / prompt;
        let least = match self.per_token {
            Some(known) => (known * (1.0 + FORGET)).min(per_token),
            None => per_token,
        };
        self.per_token = Some(least);
        let queued = took - least * prompt;
        if queued > FIRST_TOKEN.as_secs_f64() * QUEUEING {
            self.decrease(now);
        } else if limited {
            self.set(self.limit + cost * INCREASE);
        }
    }

    /// Shrinks the window, once in a while at the most.
    pub fn decrease(&mut self, now: time::Instant) {
        if now.since(self.decreased) < DECREASE_PERIOD && self.decreased > time::Instant::default()
        {
            return;
        }
        self.decreased = now;
        self.set(self.limit * DECREASE);
    }

    fn set(&mut self, limit: f64) {
        let (least, most) = BOUNDS;
        self.limit = limit.clamp(self.configured * least, self.configured * most);
    }
}

//! What a gate learns of a service's answers.

use std::time::Duration;

use crate::{estimate::Average, gate::Ask};

/// Time to the first byte of an empty prompt before anything was observed,
/// seconds.
const FIRST_PRIOR: f64 = 0.04;

/// Time that a prompt token adds before anything was observed, seconds.
const TOKEN_PRIOR: f64 = 15e-6;

/// Observations that the prior counts for.
const PRIOR_WEIGHT: f64 = 3.0;

/// Part of the past that is kept with each observation.
const KEEP: f64 = 0.995;

/// Part of other prompts' tokens that delays a first byte, as engines read
/// prompts in chunks by turns.
const SHARED_PART: f64 = 0.6;

/// Events that a stream must have to tell its pace.
const MIN_EVENTS: u64 = 3;

/// Time between two events before anything was observed, seconds.
const PACE_PRIOR: f64 = 0.03;

/// Tokens of an event before anything was observed.
const STRIDE_PRIOR: f64 = 6.0;

/// Model of a service's answers; times are those of an endpoint of mean speed.
#[derive(Clone, Debug)]
pub(super) struct Model {
    /// Sums of a weighted linear regression: weight, x, y, xx, xy.
    sums: [f64; 5],
    /// Seconds between two events of a stream.
    pub(super) pace: Average,
    /// Events for each token that was asked for.
    density: Average,
}

impl Default for Model {
    fn default() -> Self {
        let mut model = Self {
            sums: [0.0; 5],
            pace: Average::default(),
            density: Average::default(),
        };
        for prompt in [0.0, 1000.0, 8000.0] {
            model.add(
                prompt,
                FIRST_PRIOR + TOKEN_PRIOR * prompt,
                PRIOR_WEIGHT / 3.0,
            );
        }
        model
    }
}

impl Model {
    fn add(&mut self, x: f64, y: f64, weight: f64) {
        let terms = [1.0, x, y, x * x, x * y];
        for (sum, term) in self.sums.iter_mut().zip(terms) {
            *sum += weight * term;
        }
    }

    /// Returns seconds to the first byte of an empty prompt, and what a token
    /// adds.
    fn line(&self) -> (f64, f64) {
        let [weight, x, y, squares, products] = self.sums;
        let spread = weight * squares - x * x;
        if spread <= f64::EPSILON {
            return ((y / weight).max(0.0), 0.0);
        }
        let slope = ((weight * products - x * y) / spread).max(0.0);
        let start = ((y - slope * x) / weight).max(0.0);
        (start, slope)
    }

    /// Learns the time to a first byte; `pending` are the prompt tokens at
    /// the endpoint then, this request's included.
    pub(super) fn first(&mut self, prompt: u64, pending: u64, took: Duration, speed: f64) {
        let ahead = pending.saturating_sub(prompt);
        let x = to_float(prompt) + SHARED_PART * to_float(ahead);
        for sum in &mut self.sums {
            *sum *= KEEP;
        }
        self.add(x, took.as_secs_f64() * speed, 1.0);
    }

    /// Learns from a whole answer; returns its pace, if it tells one.
    pub(super) fn ended(&mut self, ask: &Ask, events: u64, took: Duration) -> Option<f64> {
        if ask.output > 0 {
            self.density
                .record(to_float(events + 1) / to_float(ask.output));
        }
        if events < MIN_EVENTS {
            return None;
        }
        let pace = took.as_secs_f64() / to_float(events);
        self.pace.record(pace);
        Some(pace)
    }

    /// Returns the expected seconds to the first byte at an endpoint.
    pub(super) fn first_byte(&self, prompt: u64, pending: u64, speed: f64) -> f64 {
        let (start, slope) = self.line();
        (start + slope * (to_float(prompt) + SHARED_PART * to_float(pending))) / speed
    }

    /// Returns the expected seconds from the first byte to the end.
    pub(super) fn rest(&self, ask: &Ask) -> f64 {
        if ask.output == 0 {
            return 0.0;
        }
        let density = self.density.get().unwrap_or(1.0 / STRIDE_PRIOR);
        let pace = self.pace.get().unwrap_or(PACE_PRIOR);
        to_float(ask.output) * density * pace
    }

    /// Returns the expected time of a whole answer.
    pub(super) fn duration(&self, ask: &Ask) -> Duration {
        let seconds = self.first_byte(ask.prompt, 0, 1.0) + self.rest(ask);
        Duration::from_secs_f64(seconds.clamp(0.0, 3600.0))
    }
}

#[expect(clippy::cast_precision_loss, reason = "estimates")]
fn to_float(value: u64) -> f64 {
    value as f64
}

//! Model of a service's answer times, learnt from completed requests.

use std::time::Duration;

use crate::{
    dispatcher::{Request, Timing},
    estimate::Average,
};

/// Prior for the time to first byte of an empty prompt, in seconds.
const FIRST_BYTE_PRIOR_SECS: f64 = 0.04;

/// Prior for the time that each prompt token adds, in seconds.
const PROMPT_TOKEN_PRIOR_SECS: f64 = 15e-6;

/// Prompt lengths at which the prior is entered into the regression, in tokens.
const PRIOR_PROMPT_TOKENS: [f64; 4] = [0.0, 2000.0, 10_000.0, 40_000.0];

/// Weight of the prior at each length, in observations.
const PRIOR_WEIGHT: f64 = 1.0;

/// Prior for the spread of the times to first byte, and its bounds, as a fraction of what was
/// expected.
const SPREAD: (f64, f64) = (0.5, 1.0);

/// Number of spreads above what is expected within which most first bytes come.
const SAFE_SPREADS: f64 = 2.0;

/// Fraction of the expected streaming time that an answer takes at least, as callers' hints of its
/// length are often too high.
const MIN_STREAM_FRACTION: f64 = 0.5;

/// Unit of prompt length in the regression, in tokens; keeps its sums small.
const PROMPT_UNIT_TOKENS: f64 = 10_000.0;

/// Factor by which earlier observations are discounted at each new one.
const DISCOUNT: f64 = 0.995;

/// Fraction of other pending prompt tokens that delays a first byte: engines
/// process prompts in chunks, in turn.
const PENDING_FRACTION: f64 = 0.6;

/// Minimum number of events for which a stream's event interval is recorded.
const MIN_INTERVAL_EVENTS: u64 = 4;

/// Prior for the time between two events, in seconds.
const EVENT_INTERVAL_PRIOR_SECS: f64 = 0.03;

/// Prior for the mean number of tokens in one event.
const TOKENS_PER_EVENT_PRIOR: f64 = 6.0;

/// Weight of the prior for tokens per event, in expected tokens.
const OUTPUT_PRIOR_TOKENS: f64 = 2000.0;

/// Prior for the longest pause of a stream while its engine processes prompts,
/// in seconds.
const PAUSE_PRIOR_SECS: f64 = 0.25;

/// Weights of a new pause in the estimate of the longest pause, if it is longer
/// than the estimate and if it is shorter.
const PAUSE_WEIGHTS: (f64, f64) = (0.1, 0.002);

/// Maximum pause that is attributed to prompt processing, in seconds; longer
/// pauses have another cause and count as this long.
const MAX_PAUSE_SECS: f64 = 1.0;

/// Least-squares fit of a quadratic: time as a function of prompt length.
#[derive(Clone, Copy, Debug, Default)]
struct Fit {
    /// Weighted sums of 1, x, x^2, x^3 and x^4.
    powers: [f64; 5],
    /// Weighted sums of y, xy and x^2 y.
    products: [f64; 3],
    /// Solution: constant, slope and curvature, none below zero.
    coefficients: [f64; 3],
}

impl Fit {
    /// Adds an observation: a prompt of `x` units of [`PROMPT_UNIT_TOKENS`] took
    /// `y` seconds.
    fn add(&mut self, x: f64, y: f64, weight: f64) {
        let mut term = weight;
        for (index, power) in self.powers.iter_mut().enumerate() {
            *power += term;
            if let Some(product) = self.products.get_mut(index) {
                *product += term * y;
            }
            term *= x;
        }
    }

    /// Discounts the earlier observations.
    fn decay(&mut self) {
        for sum in self.powers.iter_mut().chain(&mut self.products) {
            *sum *= DISCOUNT;
        }
    }

    /// Solves the normal equations; keeps the previous coefficients if they
    /// have no solution.
    fn solve(&mut self) {
        let [s0, s1, s2, s3, s4] = self.powers;
        let [y0, y1, y2] = self.products;
        let determinant = |rows: [[f64; 3]; 3]| {
            let [first, second, third] = rows;
            let minor =
                |from: usize, to: usize| second[from] * third[to] - second[to] * third[from];
            first[0] * minor(1, 2) - first[1] * minor(0, 2) + first[2] * minor(0, 1)
        };
        let denominator = determinant([[s0, s1, s2], [s1, s2, s3], [s2, s3, s4]]);
        if denominator.abs() < 1e-9 {
            return;
        }
        let constant = determinant([[y0, s1, s2], [y1, s2, s3], [y2, s3, s4]]) / denominator;
        let slope = determinant([[s0, y0, s2], [s1, y1, s3], [s2, y2, s4]]) / denominator;
        let curvature = determinant([[s0, s1, y0], [s1, s2, y1], [s2, s3, y2]]) / denominator;
        self.coefficients = [constant.max(0.0), slope.max(0.0), curvature.max(0.0)];
    }
}

/// Model of a service's answers. Times are those of an endpoint of mean speed.
#[derive(Clone, Debug)]
pub(super) struct Model {
    fit: Fit,
    /// Mean difference between a time to first byte and what was expected, as a fraction of
    /// that.
    spread: Average,
    /// Longest pause of a stream while its endpoint processes prompts, in
    /// seconds.
    longest_pause: f64,
    /// Seconds between two events of a stream.
    pub(super) event_interval: Average,
    /// Seconds from the first byte of an answer to its end.
    stream_time: Average,
    /// Discounted sums of received events and of expected tokens.
    output: (f64, f64),
}

impl Default for Model {
    fn default() -> Self {
        let mut fit = Fit::default();
        for prompt in PRIOR_PROMPT_TOKENS {
            let time = FIRST_BYTE_PRIOR_SECS + PROMPT_TOKEN_PRIOR_SECS * prompt;
            fit.add(prompt / PROMPT_UNIT_TOKENS, time, PRIOR_WEIGHT);
        }
        fit.solve();
        Self {
            fit,
            spread: Average::default(),
            longest_pause: PAUSE_PRIOR_SECS,
            event_interval: Average::default(),
            stream_time: Average::default(),
            output: (
                OUTPUT_PRIOR_TOKENS / TOKENS_PER_EVENT_PRIOR,
                OUTPUT_PRIOR_TOKENS,
            ),
        }
    }
}

impl Model {
    /// Records a time to first byte. `pending` is the number of this node's
    /// pending prompt tokens at the endpoint at that time, including this
    /// request's.
    pub(super) fn record_first_byte(
        &mut self,
        prompt: u64,
        pending: u64,
        elapsed: Duration,
        relative_speed: f64,
    ) {
        let others = pending.saturating_sub(prompt);
        let tokens = to_float(prompt) + PENDING_FRACTION * to_float(others);
        let seconds = elapsed.as_secs_f64() * relative_speed;
        let expected = self.time_to_first_byte(prompt, others, 1.0).max(1e-6);
        let difference = (seconds - expected).abs() / expected;
        self.spread.record(difference.min(SPREAD.1));
        self.fit.decay();
        self.fit.add(tokens / PROMPT_UNIT_TOKENS, seconds, 1.0);
        self.fit.solve();
    }

    /// Records that a buffered answer had not come after this time.
    pub(super) fn record_missing(&mut self, elapsed: Duration, relative_speed: f64) {
        let seconds = elapsed.as_secs_f64() * relative_speed;
        if seconds > self.time_to_first_byte(0, 0, 1.0) {
            self.record_first_byte(0, 0, elapsed, relative_speed);
        }
    }

    /// Records a complete answer; `elapsed` is the time since its first byte.
    /// Returns the seconds between two of its events, or `None` if it had too few.
    pub(super) fn record_answer(
        &mut self,
        request: &Request,
        timing: Timing,
        elapsed: Duration,
        relative_speed: f64,
    ) -> Option<f64> {
        if request.expected_output > 0 && timing.events > 0 {
            let (events, tokens) = self.output;
            self.output = (
                events * DISCOUNT + to_float(timing.events),
                tokens * DISCOUNT + to_float(request.expected_output),
            );
        }
        self.stream_time
            .record(elapsed.as_secs_f64() * relative_speed);
        if timing.events < MIN_INTERVAL_EVENTS {
            return None;
        }
        let pause = (timing.longest_pause.as_secs_f64() * relative_speed).min(MAX_PAUSE_SECS);
        let weight = if pause > self.longest_pause {
            PAUSE_WEIGHTS.0
        } else {
            PAUSE_WEIGHTS.1
        };
        self.longest_pause += (pause - self.longest_pause) * weight;
        let event_interval = elapsed.as_secs_f64() / to_float(timing.events - 1);
        self.event_interval.record(event_interval);
        Some(event_interval)
    }

    /// Returns the expected seconds to the first byte at an endpoint with
    /// `pending` prompt tokens of other requests.
    pub(super) fn time_to_first_byte(&self, prompt: u64, pending: u64, relative_speed: f64) -> f64 {
        let tokens = to_float(prompt) + PENDING_FRACTION * to_float(pending);
        let [constant, ..] = self.fit.coefficients;
        (constant + self.prefill_time(tokens)) / relative_speed
    }

    /// Returns the time in which most answers are whole, in seconds, where the first byte is
    /// expected after `first_byte` seconds and the end `stream_time` seconds later.
    pub(super) fn safe_duration(&self, first_byte: f64, stream_time: f64) -> f64 {
        first_byte * (1.0 + SAFE_SPREADS * self.spread()) + stream_time
    }

    /// Returns the time below which few answers are whole, in seconds, with the same
    /// expectations.
    pub(super) fn shortest_duration(&self, first_byte: f64, stream_time: f64) -> f64 {
        self.shortest_first_byte(first_byte) + stream_time * MIN_STREAM_FRACTION
    }

    /// Returns the time, in seconds, below which few first bytes come that are expected after
    /// `first_byte` seconds.
    pub(super) fn shortest_first_byte(&self, first_byte: f64) -> f64 {
        first_byte * (1.0 - self.spread().min(SPREAD.0))
    }

    fn spread(&self) -> f64 {
        self.spread.get().unwrap_or(SPREAD.0)
    }

    /// Returns the longest expected pause, in seconds, of streams at an
    /// endpoint that processes a prompt of this many tokens and the pending
    /// ones.
    pub(super) fn expected_pause(&self, prompt: u64, pending: u64, relative_speed: f64) -> f64 {
        let prefill = self.prefill_time(to_float(prompt)) + self.prefill_time(to_float(pending));
        prefill.min(self.longest_pause) / relative_speed
    }

    /// Returns the expected seconds to process this many prompt tokens.
    fn prefill_time(&self, tokens: f64) -> f64 {
        let [_, slope, curvature] = self.fit.coefficients;
        let units = tokens / PROMPT_UNIT_TOKENS;
        units * (slope + curvature * units)
    }

    /// Returns the expected seconds from the first byte to the end, at mean speed;
    /// zero without expected tokens.
    pub(super) fn stream_time(&self, expected_output: u64) -> f64 {
        if expected_output == 0 {
            return 0.0;
        }
        let events_per_token = self.output.0 / self.output.1;
        let event_interval = self
            .event_interval
            .get()
            .unwrap_or(EVENT_INTERVAL_PRIOR_SECS);
        to_float(expected_output) * events_per_token * event_interval
    }

    /// Returns the mean seconds from the first byte of an answer to its end, at
    /// mean speed; zero if unknown.
    pub(super) fn mean_stream_time(&self) -> f64 {
        self.stream_time.get().unwrap_or_default()
    }

    /// Returns the expected time of a complete answer at an idle endpoint of
    /// mean speed.
    pub(super) fn duration(&self, prompt: u64, expected_output: u64) -> Duration {
        let seconds = self.time_to_first_byte(prompt, 0, 1.0) + self.stream_time(expected_output);
        Duration::from_secs_f64(seconds.clamp(0.0, 3600.0))
    }
}

#[expect(clippy::cast_precision_loss, reason = "estimates")]
fn to_float(value: u64) -> f64 {
    value as f64
}

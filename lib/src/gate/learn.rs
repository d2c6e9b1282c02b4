//! What a gate learns of a service's answers.

use std::time::Duration;

use crate::{
    estimate::Average,
    gate::{Ask, Flow},
};

/// Time to the first byte of an empty prompt before anything was observed,
/// seconds.
const FIRST_PRIOR: f64 = 0.04;

/// Time that a prompt token adds before anything was observed, seconds.
const TOKEN_PRIOR: f64 = 15e-6;

/// Prompt lengths for which the prior counts, tokens.
const PRIOR_PROMPTS: [f64; 4] = [0.0, 2000.0, 10_000.0, 40_000.0];

/// Observations that each prior length counts for.
const PRIOR_WEIGHT: f64 = 1.0;

/// Unit of a prompt's length in the regression, tokens; keeps its sums small.
const UNIT: f64 = 10_000.0;

/// Part of the past that is kept with each observation.
const KEEP: f64 = 0.995;

/// Part of other prompts' tokens that delays a first byte, as engines read
/// prompts in chunks by turns.
const SHARED_PART: f64 = 0.6;

/// Events that a stream must have to tell its pace.
const MIN_EVENTS: u64 = 4;

/// Time between two events before anything was observed, seconds.
const PACE_PRIOR: f64 = 0.03;

/// Tokens of an event before anything was observed.
const STRIDE_PRIOR: f64 = 6.0;

/// Expected tokens that the prior counts for.
const OUTPUT_PRIOR: f64 = 2000.0;

/// Longest pause while an engine reads before anything was observed, seconds.
const PAUSE_PRIOR: f64 = 0.25;

/// Weight of a longer and of a shorter pause in the estimate of the longest.
const PAUSE_WEIGHT: (f64, f64) = (0.1, 0.002);

/// Pause above which something else than reading is the cause, seconds.
const MAX_PAUSE: f64 = 1.0;

/// Least squares of a quadratic: time by prompt length.
#[derive(Clone, Copy, Debug, Default)]
struct Fit {
    /// Sums of weight, x, x^2, x^3, x^4.
    powers: [f64; 5],
    /// Sums of y, xy, x^2 y.
    products: [f64; 3],
    /// What follows from the sums: constant, slope, curvature.
    terms: [f64; 3],
}

impl Fit {
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

    fn decay(&mut self) {
        for sum in self.powers.iter_mut().chain(&mut self.products) {
            *sum *= KEEP;
        }
    }

    /// Solves the normal equations; keeps the terms if they have no solution.
    fn solve(&mut self) {
        let [s0, s1, s2, s3, s4] = self.powers;
        let [y0, y1, y2] = self.products;
        let determinant = |rows: [[f64; 3]; 3]| {
            let [first, second, third] = rows;
            let minor =
                |from: usize, to: usize| second[from] * third[to] - second[to] * third[from];
            first[0] * minor(1, 2) - first[1] * minor(0, 2) + first[2] * minor(0, 1)
        };
        let whole = determinant([[s0, s1, s2], [s1, s2, s3], [s2, s3, s4]]);
        if whole.abs() < 1e-9 {
            return;
        }
        let constant = determinant([[y0, s1, s2], [y1, s2, s3], [y2, s3, s4]]) / whole;
        let slope = determinant([[s0, y0, s2], [s1, y1, s3], [s2, y2, s4]]) / whole;
        let curvature = determinant([[s0, s1, y0], [s1, s2, y1], [s2, s3, y2]]) / whole;
        self.terms = [constant.max(0.0), slope.max(0.0), curvature.max(0.0)];
    }
}

/// Model of a service's answers; times are those of an endpoint of mean speed.
#[derive(Clone, Debug)]
pub(super) struct Model {
    fit: Fit,
    /// Longest pause of a stream while its endpoint reads prompts, seconds.
    stall: f64,
    /// Seconds between two events of a stream.
    pub(super) pace: Average,
    /// Seconds from the first byte of an answer to its end.
    whole: Average,
    /// Events that came, and tokens that were expected.
    output: (f64, f64),
}

impl Default for Model {
    fn default() -> Self {
        let mut fit = Fit::default();
        for prompt in PRIOR_PROMPTS {
            let time = FIRST_PRIOR + TOKEN_PRIOR * prompt;
            fit.add(prompt / UNIT, time, PRIOR_WEIGHT);
        }
        fit.solve();
        Self {
            fit,
            stall: PAUSE_PRIOR,
            pace: Average::default(),
            whole: Average::default(),
            output: (OUTPUT_PRIOR / STRIDE_PRIOR, OUTPUT_PRIOR),
        }
    }
}

impl Model {
    /// Learns the time to a first byte; `pending` are the prompt tokens at
    /// the endpoint then, this request's included.
    pub(super) fn first(&mut self, prompt: u64, pending: u64, took: Duration, speed: f64) {
        let ahead = pending.saturating_sub(prompt);
        let tokens = to_float(prompt) + SHARED_PART * to_float(ahead);
        self.fit.decay();
        self.fit.add(tokens / UNIT, took.as_secs_f64() * speed, 1.0);
        self.fit.solve();
    }

    /// Learns from a whole answer; returns its pace, if it tells one.
    pub(super) fn ended(
        &mut self,
        ask: &Ask,
        flow: Flow,
        took: Duration,
        speed: f64,
    ) -> Option<f64> {
        if ask.output > 0 && flow.events > 0 {
            let (events, tokens) = self.output;
            self.output = (
                events * KEEP + to_float(flow.events),
                tokens * KEEP + to_float(ask.output),
            );
        }
        self.whole.record(took.as_secs_f64() * speed);
        if flow.events < MIN_EVENTS {
            return None;
        }
        let pause = (flow.pause.as_secs_f64() * speed).min(MAX_PAUSE);
        let weight = if pause > self.stall {
            PAUSE_WEIGHT.0
        } else {
            PAUSE_WEIGHT.1
        };
        self.stall += (pause - self.stall) * weight;
        let pace = took.as_secs_f64() / to_float(flow.events - 1);
        self.pace.record(pace);
        Some(pace)
    }

    /// Returns the expected seconds to the first byte at an endpoint.
    pub(super) fn first_byte(&self, prompt: u64, pending: u64, speed: f64) -> f64 {
        let tokens = to_float(prompt) + SHARED_PART * to_float(pending);
        let [constant, ..] = self.fit.terms;
        (constant + self.reading(tokens)) / speed
    }

    /// Returns the longest expected pause, seconds, of streams at an endpoint
    /// that reads these prompts.
    pub(super) fn pause(&self, prompt: u64, pending: u64, speed: f64) -> f64 {
        let reading = self.reading(to_float(prompt)) + self.reading(to_float(pending));
        reading.min(self.stall) / speed
    }

    /// Returns the seconds that reading this many tokens takes.
    fn reading(&self, tokens: f64) -> f64 {
        let [_, slope, curvature] = self.fit.terms;
        let units = tokens / UNIT;
        units * (slope + curvature * units)
    }

    /// Returns the expected seconds from the first byte to the end.
    pub(super) fn rest(&self, ask: &Ask) -> f64 {
        if ask.output == 0 {
            return 0.0;
        }
        let density = self.output.0 / self.output.1;
        let pace = self.pace.get().unwrap_or(PACE_PRIOR);
        to_float(ask.output) * density * pace
    }

    /// Returns the usual seconds of an answer.
    pub(super) fn typical(&self) -> f64 {
        self.whole.get().unwrap_or_default()
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

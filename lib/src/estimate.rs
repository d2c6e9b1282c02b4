//! Rates observed over time, and the waiting time that follows from them.

use std::time::Duration;

use crate::time;

/// Span over which rates are averaged, seconds.
const MEMORY_SECS: f64 = 15.0;

/// Observation needed before a rate is believed, seconds.
const CONFIDENCE_SECS: f64 = 1.0;

/// Part of the drain rate that a tier is assumed to get at the least.
const MIN_PART: f64 = 0.02;

/// A rate averaged over the recent past, by exponential decay.
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter {
    sum: f64,
    span: f64,
    last: time::Instant,
}

impl Meter {
    /// Records an amount and the time since the last call; neither counts
    /// unless `counted`.
    pub fn record(&mut self, now: time::Instant, amount: u64, counted: bool) {
        let elapsed = now.since(self.last).as_secs_f64();
        self.last = self.last.max(now);
        if !counted {
            return;
        }
        let keep = (-elapsed / MEMORY_SECS).exp();
        self.span = self.span * keep + MEMORY_SECS * (1.0 - keep);
        #[expect(clippy::cast_precision_loss, reason = "a rate")]
        let amount = amount as f64;
        self.sum = self.sum * keep + amount;
    }

    /// Returns the rate per second, once enough time was observed.
    #[must_use]
    pub fn rate(&self) -> Option<f64> {
        if self.span < CONFIDENCE_SECS {
            return None;
        }
        Some(self.sum / self.span)
    }
}

/// Average of a quantity, by exponential decay.
#[derive(Clone, Copy, Debug, Default)]
pub struct Average {
    value: Option<f64>,
}

/// Weight of a new value in an average.
const WEIGHT: f64 = 0.1;

impl Average {
    /// Takes a new value in.
    pub fn record(&mut self, value: f64) {
        let known = self.value.unwrap_or(value);
        self.value = Some(known + (value - known) * WEIGHT);
    }

    /// Returns the average, if any value was recorded.
    #[must_use]
    pub fn get(&self) -> Option<f64> {
        self.value
    }
}

/// Returns the time to serve the work ahead, if the rate is known.
///
/// `drain` is the rate at which a backlog was served, `above` the rate at
/// which work of higher tiers comes in; both in tokens per second.
#[must_use]
pub fn wait(ahead: u64, drain: Option<f64>, above: f64) -> Option<Duration> {
    let drain = drain.filter(|rate| *rate > 0.0)?;
    if ahead == 0 {
        return Some(Duration::ZERO);
    }
    let rate = (drain - above).max(drain * MIN_PART);
    #[expect(clippy::cast_precision_loss, reason = "an estimate")]
    let seconds = ahead as f64 / rate;
    Some(Duration::from_secs_f64(seconds.min(3600.0)))
}

//! Averaged rates, and waiting times estimated from them.

use std::time::Duration;

use crate::time;

/// Time constant of averaged rates, in seconds.
const TIME_CONSTANT_SECS: f64 = 15.0;

/// Minimum observed span for a rate to be known, in seconds.
const MIN_SPAN_SECS: f64 = 1.0;

/// Minimum fraction of the drain rate that a tier is assumed to get.
const MIN_DRAIN_FRACTION: f64 = 0.02;

/// A rate, as an exponentially decaying average.
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter {
    /// Decayed sum of the amounts.
    sum: f64,
    /// Decayed sum of the observed time, in seconds.
    span: f64,
    /// Time of the last call of [`Meter::record`].
    last: time::Instant,
}

impl Meter {
    /// Records an amount and the time since the last call. If `counted` is
    /// false, neither is included in the rate.
    pub fn record(&mut self, now: time::Instant, amount: u64, counted: bool) {
        let elapsed = now.since(self.last).as_secs_f64();
        self.last = self.last.max(now);
        if !counted {
            return;
        }
        let decay = (-elapsed / TIME_CONSTANT_SECS).exp();
        self.span = self.span * decay + TIME_CONSTANT_SECS * (1.0 - decay);
        #[expect(clippy::cast_precision_loss, reason = "a rate")]
        let amount = amount as f64;
        self.sum = self.sum * decay + amount;
    }

    /// Returns the rate per second, or `None` if the observed span is too
    /// short.
    #[must_use]
    pub fn rate(&self) -> Option<f64> {
        if self.span < MIN_SPAN_SECS {
            return None;
        }
        Some(self.sum / self.span)
    }
}

/// Exponentially decaying average of a quantity.
#[derive(Clone, Copy, Debug, Default)]
pub struct Average {
    value: Option<f64>,
}

/// Weight of a new value in an [`Average`].
const NEW_VALUE_WEIGHT: f64 = 0.1;

impl Average {
    /// Records a value.
    pub fn record(&mut self, value: f64) {
        let average = self.value.unwrap_or(value);
        self.value = Some(average + (value - average) * NEW_VALUE_WEIGHT);
    }

    /// Returns the average, or `None` if no value was recorded.
    #[must_use]
    pub fn get(&self) -> Option<f64> {
        self.value
    }
}

/// Returns the time to serve the work ahead, or `None` if the rate is unknown.
///
/// `ahead` is in tokens. `drain` is the rate at which the backlog is served and
/// `above` the rate at which work of higher tiers arrives, both in tokens per
/// second. A wait is at most an hour.
#[must_use]
pub fn wait(ahead: u64, drain: Option<f64>, above: f64) -> Option<Duration> {
    let drain = drain.filter(|rate| *rate > 0.0)?;
    if ahead == 0 {
        return Some(Duration::ZERO);
    }
    let rate = (drain - above).max(drain * MIN_DRAIN_FRACTION);
    #[expect(clippy::cast_precision_loss, reason = "an estimate")]
    let seconds = ahead as f64 / rate;
    Some(Duration::from_secs_f64(seconds.min(3600.0)))
}

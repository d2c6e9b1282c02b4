//! Weights and times that keep within the bound on exposure.
//!
//! The target may get `share × requests + allowance` until the deadline. Draining sends it
//! everything for as long as it lasts, so the time for that is reserved first and the
//! weights before it use what is left. Both follow the counts of the fleet, so that the bound
//! holds whatever the version does: it does not depend on the analysis.

use std::time::Duration;

use super::{Settings, Tally, Weight};

/// Shortest time from the decision to drain to that to complete: the store's write and watch
/// and two heartbeats take 400 to 600 ms on a busy fleet at best.
pub(super) const MIN_DRAIN: Duration = Duration::from_millis(600);

/// Shortest time for which the target runs beside the other versions.
pub(super) const SETTLING: Duration = Duration::from_secs(1);

/// Time to drain where the bound allows it: 0.5 s each for write, watch and the second write,
/// and 1 s each for the heartbeats of a node and of its coordinator.
/// Another 0.7 s is the delay of the second in rank, if the writer ends.
const DRAIN_TIME: Duration = Duration::from_millis(4200);

/// Longest time to drain; covers streams.
const MAX_DRAIN_TIME: Duration = Duration::from_mins(1);

/// Part of the share that is used. The rest covers the random number of requests that a
/// weight stands for, and what nodes have not reported yet.
const USED_SHARE: f64 = 0.97;

/// Part of the allowance that is used, for the same reason.
const USED_ALLOWANCE: f64 = 0.8;

/// Part of the share that draining may use before the time that it needs at least.
const DRAIN_PART: f64 = 0.5;

/// Requests for the ramp that draining leaves. 80 requests show a version that fails one
/// answer in ten with a probability of 0.998 to fail at least two.
const RAMP_REQUESTS: f64 = 80.0;

/// Largest part of the bound for which these requests are reserved.
const RAMP_PART: f64 = 0.3;

/// Requests a second that the target may get at once. In the 5 s that a decision may take
/// these are 100.
const FREE_RATE: f64 = 20.0;

/// Largest factor between two weights that exceed [`FREE_RATE`].
const GROWTH: f64 = 2.0;

/// First weight, and the lowest one.
const FIRST_WEIGHT: f64 = 0.01;

/// Highest weight beside other versions: the comparison needs answers of both.
const MAX_WEIGHT: f64 = 0.5;

/// Change of a weight that is worth a write.
const MIN_CHANGE: f64 = 1.25;

/// Steps that the ramp of a long roll-out takes.
const STEPS: u32 = 10;

/// Time by which counts lag behind on average, within which further requests are sent, in
/// seconds: half of the longest heartbeats of a node and of its coordinator, which are 1 s and
/// seldom that long.
const REPORT_LAG: f64 = 0.5;

/// Seconds of full traffic whose answers draining needs where these are more.
const DRAIN_EVIDENCE: f64 = 0.25;

/// Part of the requests expected while draining whose answers are enough where these are few.
const DRAIN_ANSWERED_PART: f64 = 0.5;

/// Time constant of the recent rate, in seconds.
const RATE_TIME: f64 = 3.0;

/// As [`RATE_TIME`] while draining, when a burst uses the room up within a second.
const DRAIN_RATE_TIME: f64 = 0.6;

/// Seconds between a report that is due and the end of what a roll-back from draining stops:
/// heartbeats, one write and its watch.
const REACTION: f64 = 0.8;

/// Answers of the target that draining needs.
const MIN_ANSWERS: f64 = 25.0;

/// Answers of the target while draining that completion needs: a version
/// that fails three in ten under load then shows seven or eight on average, where three are
/// tolerated.
const MIN_DRAIN_ANSWERS: f64 = 25.0;

/// Part of the answers that are expected at the weights so far that draining needs, where
/// these are fewer.
const MIN_ANSWERED_PART: f64 = 0.4;

/// Factor on the expected number of requests without an answer, and a number added to it,
/// above which the target is stuck. The number covers nodes that ended with requests.
const STUCK: (f64, f64) = (2.0, 10.0);

/// Requests a second of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rate {
    recent: f64,
    seconds: f64,
}

impl Rate {
    /// Records the requests of one window.
    pub(super) fn record(&mut self, sent: u32, span: Duration, is_draining: bool) {
        // The service of an idle gateway has no rate to start from.
        if sent == 0 && self.seconds == 0.0 {
            return;
        }
        let span = span.as_secs_f64();
        self.seconds += span;
        // The first windows are averaged, so that the rate starts at what was seen.
        let time = if is_draining {
            DRAIN_RATE_TIME
        } else {
            RATE_TIME
        };
        let part = (span / self.seconds.min(time)).min(1.0);
        self.recent += part * (f64::from(sent) / span - self.recent);
    }
}

/// What the bound leaves at one moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Plan {
    pub(super) settings: Settings,
    pub(super) duration: Duration,
    pub(super) elapsed: Duration,
    pub(super) total: Tally,
    pub(super) rate: Rate,
    /// Part of the service's endpoints that run the target.
    pub(super) target_share: f64,
}

impl Plan {
    fn remaining(&self) -> f64 {
        self.duration.saturating_sub(self.elapsed).as_secs_f64()
    }

    fn mean_rate(&self) -> f64 {
        f64::from(self.total.sent()) / self.elapsed.as_secs_f64().max(1.0)
    }

    /// Returns the recent rate, or the mean one until a window has passed.
    fn present_rate(&self) -> f64 {
        if self.rate.seconds > 0.0 {
            self.rate.recent
        } else {
            self.mean_rate()
        }
    }

    /// Returns the requests that the target may get until the deadline, if no more arrive
    /// than at the lower one of the recent and the mean rate.
    fn limit(&self) -> f64 {
        let low = self.present_rate().min(self.mean_rate());
        let expected = f64::from(self.total.sent()) + low * self.remaining();
        USED_SHARE * self.settings.exposure.get() * expected
            + USED_ALLOWANCE * f64::from(self.settings.allowance.0)
    }

    /// Returns the requests that the target got, and those that nodes have not reported yet.
    fn spent(&self, weight: Weight) -> f64 {
        f64::from(self.total.canary.sent) + weight.fraction() * self.present_rate() * REPORT_LAG
    }

    /// Returns whether a roll-back is due to keep to the bound: requests came faster than
    /// expected as draining began.
    pub(super) fn is_exhausted(&self) -> bool {
        let rate = self.rate.recent;
        let remaining = self.remaining();
        let canary = f64::from(self.total.canary.sent) + rate * REACTION.min(remaining);
        let total = f64::from(self.total.sent()) + rate * remaining;
        canary > self.settings.exposure.get() * total + f64::from(self.settings.allowance.0)
    }

    /// Returns the answers while draining that completion needs at the present rate.
    /// It began when this time had passed since the order.
    pub(super) fn drain_answers(&self, began: Duration) -> f64 {
        let rate = self.present_rate();
        let time = self.duration.saturating_sub(began).as_secs_f64();
        let least = MIN_DRAIN_ANSWERS
            .min(DRAIN_ANSWERED_PART * rate * time)
            .floor();
        least.max(DRAIN_EVIDENCE * rate)
    }

    /// Returns the time for which draining is wanted.
    pub(super) fn drain_time(&self) -> Duration {
        let share = self.settings.exposure.get() * DRAIN_PART;
        let long = self.duration.mul_f64(share).min(MAX_DRAIN_TIME);
        DRAIN_TIME.max(long)
    }

    /// Returns the time for which all requests may go to the target.
    pub(super) fn room(&self, weight: Weight) -> Duration {
        let left = (self.limit() - self.spent(weight)).max(0.0);
        // Counts of a data centre that is cut off are missing from the recent rate.
        let high = self.present_rate().max(self.mean_rate());
        let seconds = left / high.max(f64::EPSILON);
        Duration::from_secs_f64(seconds.min(self.duration.as_secs_f64()))
    }

    /// Returns the shortest time between two steps of the ramp.
    pub(super) fn interval(&self) -> Duration {
        SETTLING.max(self.duration / STEPS)
    }

    /// Returns the first weight, while the rate is unknown.
    pub(super) fn first_weight(&self) -> Weight {
        weight(FIRST_WEIGHT.min(self.settings.exposure.get() / 2.0))
    }

    /// Returns the weight that uses up what draining leaves, if it differs enough from the
    /// present one.
    pub(super) fn next_weight(&self, current: Weight) -> Option<Weight> {
        let rate = self.present_rate();
        if rate <= 0.0 {
            // Paused at the start, and nothing was sent since.
            return (current == Weight::ZERO).then(|| self.first_weight());
        }
        let limit = self.limit();
        let reserve = RAMP_REQUESTS.min(limit * RAMP_PART);
        let drain = (self.drain_time().as_secs_f64() * rate).min(limit - reserve);
        let ramp = (limit - drain - f64::from(self.total.canary.sent)).max(0.0);
        let time = (self.remaining() - drain / rate).max(SETTLING.as_secs_f64());
        let grown = (GROWTH * current.fraction()).max(FREE_RATE / rate);
        let fraction = (ramp / (rate * time))
            .min(grown)
            .min(self.target_share)
            .min(MAX_WEIGHT);
        let lowest = FIRST_WEIGHT * 0.1;
        let next = fraction.max(lowest);
        let present = current.fraction();
        let is_change = next >= present * MIN_CHANGE || next * MIN_CHANGE <= present;
        (is_change && weight(next) != current).then(|| weight(next))
    }

    /// Returns whether the target gave enough answers.
    pub(super) fn is_supported(&self, weight: Weight) -> bool {
        let canary = self.total.canary;
        let expected = weight.fraction() * f64::from(self.total.sent());
        let needed = MIN_ANSWERS.min(MIN_ANSWERED_PART * expected);
        f64::from(canary.answered) >= needed.floor() && !self.is_stuck(weight)
    }

    /// Returns whether the target leaves far more requests unanswered than the other versions
    /// do beside it.
    fn is_stuck(&self, weight: Weight) -> bool {
        let part = weight.fraction().min(MAX_WEIGHT);
        let expected = f64::from(self.total.baseline.pending()) * part / (1.0 - part);
        is_more(self.total.canary.pending(), expected)
    }

    /// Returns the requests that the target leaves unanswered beyond what both versions did as
    /// draining began. Slow answers come late, so that the first ones look good without them.
    pub(super) fn overdue(&self, before: &Tally) -> u32 {
        let usual = before
            .baseline
            .pending()
            .saturating_add(before.canary.pending());
        let tolerated = usual.saturating_add(usual / 2);
        self.total.canary.pending().saturating_sub(tolerated)
    }
}

/// Returns whether far more requests are unanswered than expected.
fn is_more(pending: u32, expected: f64) -> bool {
    let (factor, added) = STUCK;
    f64::from(pending) > factor * expected + added
}

/// Returns the weight that is closest to a fraction.
fn weight(fraction: f64) -> Weight {
    let parts = (fraction.clamp(0.0, 1.0) * f64::from(Weight::ALL.0)).round();
    // The clamp keeps it within the range of the type.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    Weight(parts as u16)
}

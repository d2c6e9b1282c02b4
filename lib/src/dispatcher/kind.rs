//! What was measured of one kind of request: those of a route at one service.
//!
//! The model of a service expects one time for all its routes. A kind that is much quicker is
//! known by its own answers. A request is refused for what is expected of it only while its
//! kind was measured lately: what is refused shows nothing, so that an expectation which is
//! never tested would hold for good. Otherwise a request is sent as a trial.

use std::{collections::BTreeMap, time::Duration};

use crate::{id, time};

/// Time for which a measurement decides, and its limit; it doubles with each trial that
/// ends without an answer.
const MEASUREMENT_TTL: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(8));

/// Weight of a new time in the mean.
const NEW_TIME_WEIGHT: f64 = 0.3;

/// Fraction of the expected time below which a kind is quicker than its service's model
/// explains by chance.
const QUICK_FRACTION: f64 = 0.5;

/// How a request of a kind ended, with the time that it took as a fraction of what its
/// service's model expected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Measurement {
    /// Its answer was whole.
    Answered(f64),
    /// It had no answer after this time.
    Missing(f64),
}

/// What was measured of one kind.
#[derive(Clone, Debug, Default)]
pub(super) struct Kind {
    /// Mean time of an answer, as a fraction of what the service's model expected; `None` if
    /// none was measured.
    fraction: Option<f64>,
    /// When it was measured last.
    measured_at: Option<time::Instant>,
    /// Requests that are or may be sent as trials, with their deadlines.
    trials: BTreeMap<id::Request, time::Instant>,
    /// Trials in a row that ended without an answer.
    missed_trials: u32,
}

impl Kind {
    /// Returns the factor on what the service's model expects.
    pub(super) fn factor(&self) -> f64 {
        let fraction = self.fraction.unwrap_or(1.0);
        if fraction < QUICK_FRACTION {
            fraction
        } else {
            1.0
        }
    }

    /// Returns whether a request may be sent to show how long requests of this kind take,
    /// although it is not expected to end in time. `is_idle` tells whether nothing waits for
    /// the service: a kind of which nothing is known needs nothing more then.
    pub(super) fn allows_trial(&self, now: time::Instant, is_idle: bool) -> bool {
        let Some(measured_at) = self.measured_at else {
            return is_idle || !self.has_trial(now);
        };
        let factor = 2_u32.saturating_pow(self.missed_trials);
        let ttl = MEASUREMENT_TTL.0.saturating_mul(factor);
        now.since(measured_at) >= ttl.min(MEASUREMENT_TTL.1) && !self.has_trial(now)
    }

    fn has_trial(&self, now: time::Instant) -> bool {
        self.trials.values().any(|deadline| *deadline > now)
    }

    /// Records that a request is a trial.
    pub(super) fn begin_trial(
        &mut self,
        now: time::Instant,
        id: id::Request,
        deadline: time::Instant,
    ) {
        self.trials.retain(|_, deadline| *deadline > now);
        self.trials.insert(id, deadline);
    }

    /// Records that a request ended without a measurement; returns whether it was a trial.
    pub(super) fn end_trial(&mut self, id: id::Request) -> bool {
        self.trials.remove(&id).is_some()
    }

    /// Records the end of a request.
    pub(super) fn record(&mut self, now: time::Instant, id: id::Request, measurement: Measurement) {
        let was_trial = self.end_trial(id);
        match measurement {
            Measurement::Answered(fraction) => {
                // What was measured before the trial is what it was to test.
                let known = self.fraction.filter(|_| !was_trial).unwrap_or(fraction);
                self.fraction = Some(known + (fraction - known) * NEW_TIME_WEIGHT);
                self.missed_trials = 0;
            }
            Measurement::Missing(fraction) => {
                let known = self.fraction.unwrap_or(1.0);
                // It would have taken longer.
                self.fraction = Some(known + (fraction - known).max(0.0) * NEW_TIME_WEIGHT);
                self.missed_trials += u32::from(was_trial);
            }
        }
        self.measured_at = Some(now);
    }
}

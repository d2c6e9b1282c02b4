//! How long answers are expected to take, to count the slow ones of a roll-out.

use std::{collections::BTreeMap, time::Duration};

use dottereltally_lib::{
    id,
    rollout::{Group, MAX_ROUTES},
};

/// An answer is slow if its first byte takes more than this multiple of the time expected.
pub const SLOW_FACTOR: u32 = 3;

/// Largest factor by which the target's endpoints are taken to be slower than the others. The
/// dispatcher learns the speed of an endpoint from its answers, so that it takes a slow
/// version for a slow machine.
const MAX_SLOWNESS: f64 = 1.5;

/// Weight of a new answer in the mean of a route.
const MEAN_WEIGHT: f64 = 0.05;

/// Shortest time expected: differences below it are those of the network and of timers.
const MIN_EXPECTED: Duration = Duration::from_millis(20);

/// What the answers of the other versions lead to expect.
#[derive(Clone, Debug, Default)]
pub struct Expectation {
    /// Mean seconds to the first byte that the dispatcher expected, by route and length of
    /// the prompt in powers of two.
    expected: BTreeMap<(id::Route, u32), f64>,
    /// Mean seconds that they took, by route.
    taken: BTreeMap<id::Route, f64>,
}

impl Expectation {
    /// Records the time to the first byte of another version's answer.
    pub fn record(&mut self, route: &id::Route, took: Duration) {
        if self.taken.len() >= MAX_ROUTES && !self.taken.contains_key(route) {
            return;
        }
        let mean = self
            .taken
            .entry(route.clone())
            .or_insert(took.as_secs_f64());
        *mean += MEAN_WEIGHT * (took.as_secs_f64() - *mean);
    }

    /// Returns the time to the first byte from which an answer is slow. `expected` is what the
    /// dispatcher expects of the endpoint.
    pub fn limit(
        &mut self,
        route: &id::Route,
        prompt: u64,
        group: Group,
        expected: Duration,
    ) -> Duration {
        let size = u64::BITS - prompt.leading_zeros();
        let key = (route.clone(), size);
        let mut seconds = expected.as_secs_f64();
        match group {
            Group::Baseline => {
                let sizes = MAX_ROUTES * 16;
                if self.expected.len() < sizes || self.expected.contains_key(&key) {
                    let mean = self.expected.entry(key).or_insert(seconds);
                    *mean += MEAN_WEIGHT * (seconds - *mean);
                }
            }
            Group::Canary => {
                if let Some(mean) = self.expected.get(&key) {
                    seconds = seconds.min(mean * MAX_SLOWNESS);
                }
            }
        }
        // The dispatcher's model may lag behind a burst, which slows all versions.
        let usual = self.taken.get(route).copied().unwrap_or_default();
        let seconds = seconds.max(usual);
        Duration::from_secs_f64(seconds).max(MIN_EXPECTED) * SLOW_FACTOR
    }
}

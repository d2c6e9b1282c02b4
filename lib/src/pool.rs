//! What waits for one service.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    estimate::{self, Average, Meter},
    id,
    queue::Queue,
    time,
};

/// Requests that may wait for one service in one node.
pub const MAX_WAITING: usize = 4096;

/// Waiting requests for one model of a service, and what was observed of it.
#[derive(Clone, Debug, Default)]
pub struct Lane {
    /// The waiting requests.
    pub queue: Queue,
    /// Tokens admitted while something waited.
    drain: Meter,
    /// All tokens admitted.
    admitted: Meter,
    /// Tokens that came in, by tier.
    arrivals: BTreeMap<id::Tier, Meter>,
    /// Seconds to the first token.
    pub first: Average,
    /// Tokens per second of a stream.
    pub speed: Average,
    /// Tokens generated, relative to the most that was asked for.
    pub length: Average,
}

impl Lane {
    /// Records an arrival.
    pub fn arrived(&mut self, now: time::Instant, tier: id::Tier, cost: u64) {
        let meter = self.arrivals.entry(tier).or_default();
        meter.record(now, cost, true);
    }

    /// Records that this much was admitted; called before each change of the
    /// queue, with zero if nothing was.
    pub fn drained(&mut self, now: time::Instant, cost: u64, waited: bool) {
        self.drain.record(now, cost, waited);
        self.admitted.record(now, cost, true);
    }

    /// Returns the time that a new request would wait, if it is known.
    #[must_use]
    pub fn wait(&self, tier: id::Tier, workspace: &id::Workspace, share: u32) -> Option<Duration> {
        let ahead = self.queue.ahead(tier, workspace, share);
        let mut above = 0.0;
        for (_, meter) in self.arrivals.range(..tier) {
            above += meter.rate().unwrap_or(0.0);
        }
        let drain = self.drain.rate().map(|rate| {
            let admitted = self.admitted.rate().unwrap_or(0.0);
            rate.max(admitted)
        });
        estimate::wait(ahead, drain, above)
    }

    /// Returns the time that an answer of this length takes, zero if unknown.
    #[must_use]
    pub fn service(&self, output: u64) -> Duration {
        let first = self.first.get().unwrap_or(0.0);
        let Some(speed) = self.speed.get().filter(|speed| *speed > 0.0) else {
            return Duration::from_secs_f64(first);
        };
        #[expect(clippy::cast_precision_loss, reason = "an estimate")]
        let output = output as f64;
        Duration::from_secs_f64((first + output / speed).min(3600.0))
    }

    /// Returns the expected length of an answer.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "an estimate between zero and the most asked for"
    )]
    pub fn expected(&self, output: u64) -> u64 {
        let length = self.length.get().unwrap_or(1.0).clamp(0.0, 1.0);
        (output as f64 * length) as u64
    }
}

/// All that waits for one service, by model.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// The lanes.
    pub lanes: BTreeMap<Option<id::Model>, Lane>,
}

impl Pool {
    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lanes.values().map(|lane| lane.queue.len()).sum()
    }

    /// Returns whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lanes.values().all(|lane| lane.queue.is_empty())
    }

    /// Returns the request to be given up first and its tier.
    #[must_use]
    pub fn victim(&self) -> Option<(id::Tier, id::Request)> {
        let victims = self.lanes.values().filter_map(|lane| lane.queue.victim());
        victims.max_by_key(|(tier, _)| *tier)
    }

    /// Returns the model whose next request has the highest tier, of those
    /// not listed as blocked.
    #[must_use]
    pub fn next(&self, blocked: &[Option<id::Model>]) -> Option<(Option<id::Model>, id::Request)> {
        let mut best: Option<(id::Tier, &Option<id::Model>, id::Request)> = None;
        for (model, lane) in &self.lanes {
            let Some((tier, request)) = lane.queue.peek() else {
                continue;
            };
            if blocked.contains(model) || best.is_some_and(|(known, ..)| known <= tier) {
                continue;
            }
            best = Some((tier, model, request));
        }
        best.map(|(_, model, request)| (model.clone(), request))
    }
}

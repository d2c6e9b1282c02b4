//! Waiting requests and observed rates of one service, by model.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    estimate::{self, Average, Meter},
    id,
    queue::Queue,
    time,
};

/// Most requests that may wait for one service at one node.
pub const MAX_WAITING: usize = 4096;

/// The waiting requests for one model of a service, with the observed rates.
#[derive(Clone, Debug, Default)]
pub struct ModelBacklog {
    /// The waiting requests.
    pub queue: Queue,
    /// Rate of tokens admitted while requests waited.
    backlogged_admissions: Meter,
    /// Rate of all tokens admitted.
    admissions: Meter,
    /// Rate of arriving tokens, by tier.
    arrivals: BTreeMap<id::Tier, Meter>,
    /// Average time to the first token in seconds.
    pub first_token_secs: Average,
    /// Average tokens per second of a stream.
    pub tokens_per_sec: Average,
    /// Average of the tokens generated, relative to the maximum that the request
    /// allows.
    pub output_ratio: Average,
}

impl ModelBacklog {
    /// Records the cost of an arriving request in tokens.
    pub fn record_arrival(&mut self, now: time::Instant, tier: id::Tier, cost: u64) {
        let meter = self.arrivals.entry(tier).or_default();
        meter.record(now, cost, true);
    }

    /// Records the tokens admitted. `waited` is whether requests have waited since
    /// the last call, so this must be called at every change of the queue, with
    /// `waited` as before the change and with a cost of zero if nothing was
    /// admitted.
    pub fn record_admission(&mut self, now: time::Instant, cost: u64, waited: bool) {
        self.backlogged_admissions.record(now, cost, waited);
        self.admissions.record(now, cost, true);
    }

    /// Returns the estimated wait of a new request, or `None` if the rate of
    /// admissions is unknown.
    #[must_use]
    pub fn estimated_wait(
        &self,
        tier: id::Tier,
        workspace: &id::Workspace,
        share: u32,
    ) -> Option<Duration> {
        let tokens_ahead = self.queue.tokens_ahead(tier, workspace, share);
        let mut arrivals_above = 0.0;
        for (_, meter) in self.arrivals.range(..tier) {
            arrivals_above += meter.rate().unwrap_or(0.0);
        }
        let drain_rate = self.backlogged_admissions.rate().map(|rate| {
            let admitted = self.admissions.rate().unwrap_or(0.0);
            rate.max(admitted)
        });
        estimate::wait(tokens_ahead, drain_rate, arrivals_above)
    }

    /// Returns the time to serve an answer of this many tokens; zero if unknown.
    #[must_use]
    pub fn service_time(&self, output: u64) -> Duration {
        let first_token_secs = self.first_token_secs.get().unwrap_or(0.0);
        let Some(tokens_per_sec) = self.tokens_per_sec.get().filter(|rate| *rate > 0.0) else {
            return Duration::from_secs_f64(first_token_secs);
        };
        #[expect(clippy::cast_precision_loss, reason = "an estimate")]
        let output = output as f64;
        Duration::from_secs_f64((first_token_secs + output / tokens_per_sec).min(3600.0))
    }

    /// Returns the expected tokens of an answer that may have up to `output`
    /// tokens.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "an estimate between zero and `output`"
    )]
    pub fn expected_output(&self, output: u64) -> u64 {
        let output_ratio = self.output_ratio.get().unwrap_or(1.0).clamp(0.0, 1.0);
        (output as f64 * output_ratio) as u64
    }
}

/// The waiting requests of one service, by model.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    /// The backlogs by model; `None` for requests that name no model.
    pub by_model: BTreeMap<Option<id::Model>, ModelBacklog>,
}

impl Backlog {
    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_model
            .values()
            .map(|backlog| backlog.queue.len())
            .sum()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_model
            .values()
            .all(|backlog| backlog.queue.is_empty())
    }

    /// Returns the request to evict first and its tier.
    #[must_use]
    pub fn victim(&self) -> Option<(id::Tier, id::Request)> {
        let victims = self
            .by_model
            .values()
            .filter_map(|backlog| backlog.queue.victim());
        victims.max_by_key(|(tier, _)| *tier)
    }

    /// Returns the next request of the highest tier and its model, leaving out
    /// the blocked models.
    #[must_use]
    pub fn next(&self, blocked: &[Option<id::Model>]) -> Option<(Option<id::Model>, id::Request)> {
        let mut best: Option<(id::Tier, &Option<id::Model>, id::Request)> = None;
        for (model, backlog) in &self.by_model {
            let Some((tier, request)) = backlog.queue.peek() else {
                continue;
            };
            if blocked.contains(model) || best.is_some_and(|(highest, ..)| highest <= tier) {
                continue;
            }
            best = Some((tier, model, request));
        }
        best.map(|(_, model, request)| (model.clone(), request))
    }
}

//! Speed of endpoints: what they report of their machines at the moment, what was measured
//! recently, and what holds in the long term.
//!
//! All estimates are kept as logarithms of a slowdown, so that twice as slow and twice as
//! fast weigh the same.

use std::{fmt, mem, str::FromStr, time::Duration};

use crate::{
    dispatcher::{Dispatcher, Effect, member::Member, slow_start},
    estimate::Average,
    id, time,
};

/// Largest reported time of work, in percent of the usual one.
const MAX_PERCENT: f64 = 10_000.0;

/// Longest text of a slowdown that is read, in characters.
const MAX_TEXT_LENGTH: usize = 32;

/// Half-life of the weight of a reported slowdown. Machines are slow for about 0.6 s at a
/// time, so that a report says little after as long.
const STATED_HALF_LIFE: Duration = Duration::from_millis(300);

/// Age at which a reported slowdown is no longer used or passed on.
const STATED_TTL: Duration = Duration::from_millis(900);

/// Weight of a new report, relative to the one in use.
const STATED_WEIGHT: f64 = 0.6;

/// Half-life of the weight of a measured slowdown.
const MEASURED_HALF_LIFE: Duration = Duration::from_millis(300);

/// Weight of a new measurement, relative to the one in use: a single answer may be late for
/// reasons of its own.
const MEASURED_NEW_WEIGHT: f64 = 0.3;

/// Weight of measurements relative to a report of the same age.
const MEASURED_WEIGHT: f64 = 0.3;

/// Minimum and maximum of a combined slowdown.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.2, 5.0);

/// Smallest difference from the usual speed that is reported to other nodes, as a logarithm:
/// 15 %.
const MIN_REPORTED: f64 = 0.14;

/// Most endpoints in one report to other nodes. An entry takes some 40 bytes, and a
/// coordinator sends up to 60 heartbeats a second to others.
pub const MAX_REPORTS: usize = 16;

/// Of these, fewest for endpoints that are slow at the moment, if there are so many.
const MIN_SLOWDOWN_REPORTS: usize = 4;

/// Time that work takes at an endpoint, relative to the usual time: 2 is twice as long.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Slowdown(f64);

impl Slowdown {
    /// Returns the factor on the usual time.
    #[must_use]
    pub fn factor(self) -> f64 {
        self.0
    }

    fn log(self) -> f64 {
        self.0.ln()
    }
}

impl Default for Slowdown {
    fn default() -> Self {
        Self(1.0)
    }
}

impl fmt::Display for Slowdown {
    /// Writes percent of the usual time.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0 * 100.0)
    }
}

/// A text or number is no slowdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a time of work; use a number of percent above 0 and up to {MAX_PERCENT}")]
pub struct NotASlowdown;

impl TryFrom<f64> for Slowdown {
    type Error = NotASlowdown;

    /// Converts a factor on the usual time.
    fn try_from(factor: f64) -> Result<Self, NotASlowdown> {
        let is_valid = factor > 0.0 && factor <= MAX_PERCENT / 100.0;
        is_valid.then_some(Self(factor)).ok_or(NotASlowdown)
    }
}

impl FromStr for Slowdown {
    type Err = NotASlowdown;

    /// Reads percent of the usual time.
    fn from_str(text: &str) -> Result<Self, NotASlowdown> {
        if text.len() > MAX_TEXT_LENGTH {
            return Err(NotASlowdown);
        }
        let percent: f64 = text.trim().parse().map_err(|_| NotASlowdown)?;
        (percent / 100.0).try_into()
    }
}

/// What an endpoint reports of its load in an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    /// Requests that run there.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// How slow its machine is now; `None` if it does not say.
    pub slowdown: Option<Slowdown>,
}

/// What a node knows of the speed of an endpoint, for the other nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// When its process started, in milliseconds since the Unix epoch; `None` if unknown.
    pub started_ms: Option<u64>,
    /// What it reported last, and the time since then.
    pub stated: Option<(Slowdown, Duration)>,
    /// Its window, while it is in slow start and shortly after.
    pub window: Option<slow_start::Report>,
}

/// A value with the time at which it was true.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: time::Instant,
    log: f64,
}

impl Sample {
    /// Returns the weight that is left after the time since then.
    fn weight(&self, now: time::Instant, half_life: Duration) -> f64 {
        (-now.since(self.at).as_secs_f64() / half_life.as_secs_f64()).exp2()
    }
}

/// Speed of one endpoint, from all sources.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Estimate {
    /// Average seconds between two events of a stream.
    pub(super) event_interval: Average,
    /// Average logarithm of the time of whole answers, relative to that at an endpoint of
    /// mean speed; for services without events.
    answer_time: Average,
    /// What the endpoint reported, smoothed.
    stated: Option<Sample>,
    /// The latest measured slowdown, smoothed.
    measured: Option<Sample>,
    /// Whether the endpoint ever reported its load with a slowdown.
    is_stating: bool,
    /// Whether its process reported a load that could not be read.
    pub(super) is_unreadable: bool,
}

/// Mean speed of the endpoints of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Mean {
    /// Seconds between two events of a stream; `None` until one is known.
    event_interval: Option<f64>,
    /// Logarithm of the relative time of whole answers.
    answer_time: Option<f64>,
}

impl Mean {
    /// Averages the speeds of endpoints.
    pub(super) fn of<'a>(estimates: impl Iterator<Item = &'a Estimate>) -> Self {
        let (mut interval, mut time) = ((0.0, 0.0), (0.0, 0.0));
        for estimate in estimates {
            if let Some(value) = estimate.event_interval.get() {
                interval = (interval.0 + value, interval.1 + 1.0);
            }
            if let Some(value) = estimate.answer_time.get() {
                time = (time.0 + value, time.1 + 1.0);
            }
        }
        let mean = |(sum, count): (f64, f64)| (count > 0.0).then_some(sum / count);
        Self {
            event_interval: mean(interval),
            answer_time: mean(time),
        }
    }
}

impl Estimate {
    /// Returns the long-term speed relative to the service's mean, within these bounds; one
    /// if unknown.
    pub(super) fn lasting(&self, mean: Mean, bounds: (f64, f64)) -> f64 {
        let interval = self.event_interval.get().zip(mean.event_interval);
        if let Some((interval, mean)) = interval {
            return (mean / interval.max(1e-6)).clamp(bounds.0, bounds.1);
        }
        let time = self.answer_time.get().zip(mean.answer_time);
        time.map_or(1.0, |(time, mean)| {
            (mean - time).exp().clamp(bounds.0, bounds.1)
        })
    }

    /// Returns the slowdown now relative to the long-term speed, from what was reported and
    /// measured; exactly one if nothing is recent.
    pub(super) fn slowdown(&self, now: time::Instant) -> f64 {
        let stated = self.fresh_statement(now);
        let stated = stated.map(|sample| (sample.weight(now, STATED_HALF_LIFE), sample.log));
        let measured = self.measured.filter(|_| self.is_stating);
        let measured = measured.map(|sample| {
            let weight = MEASURED_WEIGHT * sample.weight(now, MEASURED_HALF_LIFE);
            (weight, sample.log)
        });
        let (mut sum, mut total) = (0.0, 0.0);
        for (weight, log) in [stated, measured].into_iter().flatten() {
            sum += weight * log;
            total += weight;
        }
        if total <= 0.0 {
            return 1.0;
        }
        // What the samples leave of the weight stands for the usual speed.
        let log: f64 = sum / total.max(1.0);
        log.exp().clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1)
    }

    /// Returns whether its process ever reported a slowdown, to this node or another one.
    pub(super) fn reports_load(&self) -> bool {
        self.is_stating
    }

    /// Returns whether the endpoint reported a slowdown lately.
    pub(super) fn is_stated(&self, now: time::Instant) -> bool {
        self.fresh_statement(now).is_some()
    }

    fn fresh_statement(&self, now: time::Instant) -> Option<Sample> {
        self.stated
            .filter(|sample| now.since(sample.at) < STATED_TTL)
    }

    /// Records what the endpoint reported at `at`; an earlier report changes nothing.
    fn state(&mut self, now: time::Instant, at: time::Instant, slowdown: Slowdown) {
        self.is_stating = true;
        if self.stated.is_some_and(|sample| sample.at >= at) || now.since(at) >= STATED_TTL {
            return;
        }
        // One absurd figure must not move the mean of the service.
        let stated = slowdown
            .log()
            .clamp(SLOWDOWN_BOUNDS.0.ln(), SLOWDOWN_BOUNDS.1.ln());
        let log = self.fresh_statement(now).map_or(stated, |sample| {
            // The older the report in use, the less it says about the present.
            let kept = (1.0 - STATED_WEIGHT) * sample.weight(at, STATED_HALF_LIFE);
            sample.log * kept + stated * (1.0 - kept)
        });
        self.stated = Some(Sample { at, log });
    }

    /// Records the time of an answer in seconds, and what was expected of it at an endpoint
    /// of mean speed. `is_whole` is false if only its first byte arrived.
    pub(super) fn measure(
        &mut self,
        now: time::Instant,
        (seconds, expected): (f64, f64),
        is_whole: bool,
        lasting: f64,
    ) {
        if !self.is_stating || seconds <= 0.0 || expected <= 0.0 {
            return;
        }
        let log = (seconds / expected).ln();
        if is_whole {
            let stated = self.fresh_statement(now).map_or(0.0, |sample| sample.log);
            self.answer_time.record(log - stated);
        }
        let bounds = (SLOWDOWN_BOUNDS.0.ln(), SLOWDOWN_BOUNDS.1.ln());
        let log = (log + lasting.ln()).clamp(bounds.0, bounds.1);
        let log = self.measured.map_or(log * MEASURED_NEW_WEIGHT, |sample| {
            let kept = (1.0 - MEASURED_NEW_WEIGHT) * sample.weight(now, MEASURED_HALF_LIFE);
            sample.log * kept + log * MEASURED_NEW_WEIGHT
        });
        self.measured = Some(Sample { at: now, log });
    }
}

impl Dispatcher {
    /// Records the load that an endpoint reported about itself.
    pub fn record_endpoint_load(
        &mut self,
        now: time::Instant,
        name: &id::Endpoint,
        statement: Statement,
    ) -> Vec<Effect> {
        if let Some(member) = self.members.get_mut(name) {
            let requests = statement.running.saturating_add(statement.waiting);
            // Requests of this node that end later must not seem to be those of others.
            let others = requests.saturating_sub(member.own_requests);
            member.reported_requests = Some((now, others));
            if let Some(slowdown) = statement.slowdown {
                member.speed.state(now, now, slowdown);
            }
            if let Some(queue) = self.queues.get_mut(&member.record.service) {
                queue.states_load = true;
            }
        }
        mem::take(&mut self.effects)
    }

    /// Records a report of an endpoint's load that can't be read, which changes nothing;
    /// returns whether it is the first one of its process.
    pub fn record_unreadable_load(&mut self, name: &id::Endpoint) -> bool {
        let member = self.members.get_mut(name);
        member.is_some_and(|member| !mem::replace(&mut member.speed.is_unreadable, true))
    }

    /// Records what another node knows of the speed of endpoints.
    pub fn record_peer_speeds(&mut self, now: time::Instant, node: &id::Node, reports: &[Report]) {
        for report in reports {
            let Some(member) = self.members.get_mut(&report.endpoint) else {
                continue;
            };
            if !is_same_process(member, report.started_ms) {
                continue;
            }
            if let Some((slowdown, age)) = report.stated {
                member.speed.state(now, now - age, slowdown);
            }
            if let Some(queue) = self.queues.get_mut(&member.record.service) {
                queue.states_load = true;
            }
            if let Some(window) = &report.window {
                self.apply_window(now, &report.endpoint, node, window);
            }
        }
    }

    /// Returns what this node knows of the speed of endpoints, for the other nodes: those
    /// in slow start, then those that differ most from their usual speed, at most [`MAX_REPORTS`].
    #[must_use]
    pub fn speeds(&self, now: time::Instant) -> Vec<Report> {
        let mut ranked = Vec::new();
        for (name, member) in &self.members {
            let sample = member.speed.fresh_statement(now);
            let sample = sample.filter(|sample| sample.log.abs() >= MIN_REPORTED);
            let window = member.slow_start.report(now, member.capacity());
            if sample.is_none() && window.is_none() {
                continue;
            }
            let importance = sample.map_or(0.0, |sample| {
                sample.log.abs() * sample.weight(now, STATED_HALF_LIFE)
            });
            let report = Report {
                endpoint: name.clone(),
                started_ms: member.started_ms,
                stated: sample.map(|sample| (Slowdown(sample.log.exp()), now.since(sample.at))),
                window,
            };
            let age = window.map(|window| window.age);
            ranked.push((age, importance, report));
        }
        // Windows that changed last come first, but leave room for slow endpoints.
        ranked.sort_by(|first, second| {
            let order = second.0.is_some().cmp(&first.0.is_some());
            let order = order.then(first.0.cmp(&second.0));
            order.then(second.1.total_cmp(&first.1))
        });
        let windows = ranked.iter().filter(|(age, ..)| age.is_some()).count();
        let others = ranked.len() - windows;
        let kept = MAX_REPORTS - MAX_REPORTS.min(others).min(MIN_SLOWDOWN_REPORTS);
        if windows > kept {
            ranked.drain(kept..windows);
        }
        ranked.truncate(MAX_REPORTS);
        ranked.into_iter().map(|(.., report)| report).collect()
    }

    /// Returns the number of listed endpoints that work slower now than usual by 15 % or
    /// more.
    #[must_use]
    pub fn slow_endpoints(&self, now: time::Instant) -> usize {
        let listed = self.members.values().filter(|member| member.listed);
        listed
            .filter(|member| member.speed.slowdown(now).ln() >= MIN_REPORTED)
            .count()
    }
}

/// Returns whether a report may be about the process that is known.
pub(super) fn is_same_process(member: &Member, started_ms: Option<u64>) -> bool {
    let known = member.started_ms.zip(started_ms);
    known.is_none_or(|(own, other)| own == other)
}

//! Rates that all nodes share, such as the requests a second that an endpoint takes.
//!
//! A node that decides accrues permits for its share of the rate, in proportion to its
//! part of the demand, and spends one for each request. The shares add up to the rate
//! whichever nodes decide, so that no message is needed before a request is sent. An
//! account starts at a random part of a permit: nodes that start together, or learn of
//! the rate together, then don't spend their first permits at the same moment.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    hash::Hash,
    str::FromStr,
    time::Duration,
};

use crate::{id, quota::demand_share, time};

/// Time constant of the averaged demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(3);

/// Time after which a node's report of its demand no longer counts. Nodes that are cut
/// off may go on sending for a while.
const REPORT_TTL: Duration = Duration::from_secs(10);

/// Time for which unused permits accrue beyond the first; covers the dispatcher's timer.
const SLACK: Duration = Duration::from_millis(50);

/// Longest text of a rate that is read.
const MAX_TEXT_LENGTH: usize = 32;

/// Events per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Rate(f64);

impl Rate {
    /// Returns the number per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/s", self.0)
    }
}

/// A text or number is no rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "not a rate; use a decimal number that is not negative, of at most {MAX_TEXT_LENGTH} characters"
)]
pub struct NotARate;

impl TryFrom<f64> for Rate {
    type Error = NotARate;

    fn try_from(per_second: f64) -> Result<Self, NotARate> {
        let is_valid = per_second.is_finite() && per_second.is_sign_positive();
        is_valid.then_some(Self(per_second)).ok_or(NotARate)
    }
}

impl FromStr for Rate {
    type Err = NotARate;

    fn from_str(text: &str) -> Result<Self, NotARate> {
        if text.len() > MAX_TEXT_LENGTH {
            return Err(NotARate);
        }
        let per_second: f64 = text.trim().parse().map_err(|_| NotARate)?;
        per_second.try_into()
    }
}

/// Demand at one node: events per second, as an exponentially decaying average.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    per_second: f64,
    updated: time::Instant,
}

impl Demand {
    /// Records one event that is asked for.
    pub fn record(&mut self, now: time::Instant) {
        self.per_second = self.get(now) + 1.0 / DEMAND_TIME_CONSTANT.as_secs_f64();
        self.updated = now;
    }

    /// Returns the events per second.
    #[must_use]
    pub fn get(&self, now: time::Instant) -> f64 {
        let idle = now.since(self.updated).as_secs_f64();
        self.per_second * (-idle / DEMAND_TIME_CONSTANT.as_secs_f64()).exp()
    }
}

/// This node's account of one shared rate.
#[derive(Clone, Copy, Debug)]
pub struct Account {
    permits: f64,
    updated: time::Instant,
}

impl Account {
    /// Opens an account with `part` of a permit, from zero to one.
    #[must_use]
    pub fn open(now: time::Instant, part: f64) -> Self {
        Self {
            permits: part.clamp(0.0, 1.0),
            updated: now,
        }
    }

    /// Adds the permits that accrued at this rate since the last call.
    pub fn accrue(&mut self, now: time::Instant, rate: f64) {
        let span = now.since(self.updated).as_secs_f64();
        self.updated = now;
        let most = 1.0 + rate * SLACK.as_secs_f64();
        if self.permits < most {
            self.permits = (self.permits + rate * span).min(most);
        }
    }

    /// Returns whether a permit is left.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.permits >= 1.0
    }

    /// Takes a permit, also if none is left: what was sent has arrived.
    pub fn spend(&mut self) {
        self.permits -= 1.0;
    }
}

/// The demand that the other nodes reported, by what it is for.
#[derive(Clone, Debug)]
pub struct Reports<K> {
    by_node: BTreeMap<id::Node, (time::Instant, HashMap<K, f64>)>,
    /// Sums over the nodes.
    total: HashMap<K, f64>,
}

impl<K> Default for Reports<K> {
    fn default() -> Self {
        Self {
            by_node: BTreeMap::new(),
            total: HashMap::new(),
        }
    }
}

impl<K: Clone + Eq + Hash> Reports<K> {
    /// Replaces a node's report.
    pub fn record(&mut self, now: time::Instant, node: &id::Node, demand: HashMap<K, f64>) {
        self.by_node.insert(node.clone(), (now, demand));
        self.add_up(now);
    }

    /// Drops the reports that no longer count.
    pub fn expire(&mut self, now: time::Instant) {
        let mut reports = self.by_node.values();
        if reports.any(|(at, _)| now.since(*at) >= REPORT_TTL) {
            self.add_up(now);
        }
    }

    fn add_up(&mut self, now: time::Instant) {
        self.by_node
            .retain(|_, (at, _)| now.since(*at) < REPORT_TTL);
        self.total.clear();
        for (_, demand) in self.by_node.values() {
            for (key, per_second) in demand {
                *self.total.entry(key.clone()).or_default() += per_second;
            }
        }
    }

    /// Returns this node's share, as a fraction, of what `nodes` nodes share.
    #[must_use]
    pub fn share(&self, key: &K, own_demand: f64, nodes: usize) -> f64 {
        let others = self.total.get(key).copied().unwrap_or_default();
        let nodes = f64::from(u32::try_from(nodes.max(1)).unwrap_or(u32::MAX));
        demand_share(own_demand, own_demand + others, nodes)
    }
}

//! The record of a roll-out.

use std::time::Duration;

use derive_more::{Display, From, FromStr};
use serde::{Deserialize, Serialize};

use super::{
    Counts, Filter, Group, Report,
    analysis::{self, Finding},
};
use crate::{era, id};

/// Number of a record of one order; a higher one replaces a lower. Zero stands for none.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    Default,
    From,
    FromStr,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Step(pub u32);

impl Step {
    /// Returns the step that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// Part of the requests that the target gets, in parts per 10,000.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    Default,
    From,
    FromStr,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{_0}/10000")]
#[serde(transparent)]
pub struct Weight(pub u16);

impl Weight {
    /// No request.
    pub const ZERO: Self = Self(0);

    /// All requests.
    pub const ALL: Self = Self(10_000);

    /// Returns the weight as a fraction from zero to one.
    #[must_use]
    pub fn fraction(self) -> f64 {
        f64::from(self.0.min(Self::ALL.0)) / f64::from(Self::ALL.0)
    }
}

/// Phase of a roll-out.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The target gets the weight's part of the requests.
    #[display("running")]
    Running,
    /// All new requests go to the target; those that run at other versions end.
    #[display("draining")]
    Draining,
    /// The endpoints of other versions may stop.
    #[display("completed")]
    Completed,
    /// The target gets no request.
    #[display("rolled_back")]
    RolledBack,
}

impl Phase {
    /// Returns whether no step follows.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// Counts of both groups over all routes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Requests to versions other than the target.
    pub baseline: Counts,
    /// Requests to the target.
    pub canary: Counts,
}

/// Evidence that decided the last step. It survives the processes that counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Counts of processes that all ended before the present ones began to count.
    pub carried: Tally,
    /// Counts that the fleet reported when the record was written.
    pub seen: Tally,
    /// Highest weight of the order so far, without that of draining.
    pub peak: Weight,
}

/// The record of a roll-out in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct State {
    /// Order to which it belongs.
    pub order: era::Revision,
    /// Version to which requests move.
    pub target: id::Version,
    /// Number of this record.
    pub step: Step,
    /// Phase.
    pub phase: Phase,
    /// Part of the requests that the target gets.
    pub weight: Weight,
    /// Time since the order, as known when the record was written.
    pub elapsed: Duration,
    /// Evidence that decided this step.
    pub summary: Summary,
}

impl State {
    /// Returns the versions that may serve a request; `sample` is uniform in [0, 1) and
    /// drawn once a request.
    #[must_use]
    pub fn filter(&self, sample: f64) -> Filter {
        self.filter_at(self.weight, sample)
    }

    /// As [`State::filter`], at the weight that [`State::weight_under`] returns.
    #[must_use]
    pub fn filter_at(&self, weight: Weight, sample: f64) -> Filter {
        let is_canary = match self.phase {
            Phase::Running => sample < weight.fraction(),
            Phase::Draining | Phase::Completed => true,
            Phase::RolledBack => false,
        };
        if is_canary {
            Filter::Only(self.target.clone())
        } else {
            Filter::Not(self.target.clone())
        }
    }

    /// Returns the weight that a node uses now: the record's, or zero while the target runs
    /// beside other versions and the fleet's samples already condemn it.
    ///
    /// Callers that get zero keep to it until they read a record with a higher step: a target
    /// without requests gives no bad answers, and the totals no longer condemn it some time
    /// later.
    ///
    /// It never falls while draining: a node that returned to the old versions on its own
    /// could send to them as the record of completion is written, which ends them.
    #[must_use]
    pub fn weight_under(&self, fleet: &Report) -> Weight {
        match self.phase {
            Phase::Running if self.condemned(fleet).is_some() => Weight::ZERO,
            Phase::Running => self.weight,
            Phase::Draining | Phase::Completed => Weight::ALL,
            Phase::RolledBack => Weight::ZERO,
        }
    }

    /// Returns the route on which the fleet's totals condemn the target, if they do.
    pub(super) fn condemned(&self, fleet: &Report) -> Option<Finding> {
        if fleet.order != self.order {
            return None;
        }
        let most = self.weight.max(self.summary.peak);
        analysis::condemned(fleet, most.fraction())
    }
}

impl Tally {
    /// Returns the counts of a report.
    #[must_use]
    pub fn of(fleet: &Report) -> Self {
        Self {
            baseline: fleet.total(Group::Baseline),
            canary: fleet.total(Group::Canary),
        }
    }

    /// Returns the sum, saturating.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            baseline: self.baseline.plus(&other.baseline),
            canary: self.canary.plus(&other.canary),
        }
    }

    /// Returns the higher count of each kind.
    #[must_use]
    pub fn most(&self, other: &Self) -> Self {
        Self {
            baseline: self.baseline.most(&other.baseline),
            canary: self.canary.most(&other.canary),
        }
    }

    /// Returns the requests that were sent.
    #[must_use]
    pub const fn sent(&self) -> u32 {
        self.baseline.sent.saturating_add(self.canary.sent)
    }
}

impl Summary {
    /// Returns the counts since the order.
    #[must_use]
    pub const fn total(&self) -> Tally {
        self.carried.plus(&self.seen)
    }
}

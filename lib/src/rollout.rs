//! Roll-outs: moving the requests of a service from its current versions to a target
//! version, step by step.
//!
//! `docs/design/rollouts.md` describes who decides, and bounds what a bad version gets.

mod analysis;
mod controller;
mod plan;
mod report;
mod state;

use std::time::Duration;

use derive_more::{Display, Error, From, FromStr};
use serde::{Deserialize, Serialize};

use crate::{era, id};

pub use controller::{Controller, Decision, Reason};
pub use report::{Counts, Group, MAX_LAGGING, MAX_ROUTES, Report, Samples};
pub use state::{Phase, State, Step, Summary, Tally, Weight};

/// The versions that may serve a request while a roll-out runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Filter {
    /// Any version.
    #[default]
    Any,
    /// Only this version.
    Only(id::Version),
    /// Any version but this one.
    Not(id::Version),
}

impl Filter {
    /// Returns whether an endpoint of this version may serve the request; `None` if its
    /// version is unknown.
    #[must_use]
    pub fn allows(&self, version: Option<&id::Version>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(target) => version == Some(target),
            Self::Not(target) => version != Some(target),
        }
    }
}

/// An operator's order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    /// Service whose requests move.
    pub service: id::Service,
    /// Version to which they move.
    pub target: id::Version,
    /// Time between the order and its deadline.
    pub duration: Duration,
    /// Revision of the order's key; it identifies the order.
    pub revision: era::Revision,
}

/// A fraction of the requests of a service.
#[derive(Clone, Copy, Debug, Display, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Share(f64);

impl Share {
    /// Returns the fraction, from zero to one.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
    }
}

/// A number or text is no share.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not a share of requests; use a decimal number from 0 to 1")]
pub struct NotAShare;

impl TryFrom<f64> for Share {
    type Error = NotAShare;

    fn try_from(fraction: f64) -> Result<Self, NotAShare> {
        let is_valid = (0.0..=1.0).contains(&fraction);
        is_valid.then_some(Self(fraction)).ok_or(NotAShare)
    }
}

impl From<Share> for f64 {
    fn from(share: Share) -> Self {
        share.0
    }
}

impl std::str::FromStr for Share {
    type Err = NotAShare;

    fn from_str(text: &str) -> Result<Self, NotAShare> {
        let fraction: f64 = text.trim().parse().map_err(|_| NotAShare)?;
        fraction.try_into()
    }
}

/// A number of requests.
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
    Serialize,
    Deserialize,
)]
#[display("{_0} requests")]
#[serde(transparent)]
pub struct Requests(pub u32);

/// Limits to what a bad version may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Largest share of the requests between the order and its deadline.
    pub exposure: Share,
    /// Number of requests that it may get beyond that share.
    pub allowance: Requests,
    /// Time after the 50th bad answer after which no request is sent to it.
    pub rollback: Duration,
}

impl Default for Settings {
    /// Returns the platform's default bounds.
    fn default() -> Self {
        Self {
            exposure: Share(0.1),
            allowance: Requests(50),
            rollback: Duration::from_secs(5),
        }
    }
}

//! What nodes report about a roll-out.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Step;
use crate::{era, id};

/// Most routes that are counted separately; the rest are counted under an empty name. It
/// bounds the size of a heartbeat.
pub const MAX_ROUTES: usize = 16;

/// Most names of lagging nodes in one report. It bounds the size of a heartbeat.
pub const MAX_LAGGING: usize = 16;

/// The versions that requests were sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Group {
    /// Every version but the target.
    Baseline,
    /// The target.
    Canary,
}

/// Numbers of requests since the order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests of which a first byte was sent to an endpoint.
    pub sent: u32,
    /// Those that ended, however they ended.
    pub answered: u32,
    /// Of those that ended, the failed ones.
    pub failed: u32,
    /// Of those that ended without failure, those that took much longer than expected.
    pub slow: u32,
}

impl Counts {
    /// Returns the number of bad answers: failed or slow ones.
    #[must_use]
    pub const fn bad(&self) -> u32 {
        self.failed.saturating_add(self.slow)
    }

    /// Returns the requests that have not ended.
    #[must_use]
    pub const fn pending(&self) -> u32 {
        self.sent.saturating_sub(self.answered)
    }

    /// Returns the sum, saturating.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            sent: self.sent.saturating_add(other.sent),
            answered: self.answered.saturating_add(other.answered),
            failed: self.failed.saturating_add(other.failed),
            slow: self.slow.saturating_add(other.slow),
        }
    }

    /// Returns the higher one of each count.
    #[must_use]
    pub fn most(&self, other: &Self) -> Self {
        Self {
            sent: self.sent.max(other.sent),
            answered: self.answered.max(other.answered),
            failed: self.failed.max(other.failed),
            slow: self.slow.max(other.slow),
        }
    }

    /// Returns what was counted since `earlier`.
    #[must_use]
    pub const fn since(&self, earlier: &Self) -> Self {
        Self {
            sent: self.sent.saturating_sub(earlier.sent),
            answered: self.answered.saturating_sub(earlier.answered),
            failed: self.failed.saturating_sub(earlier.failed),
            slow: self.slow.saturating_sub(earlier.slow),
        }
    }
}

/// Counts of each route and group.
pub type Samples = BTreeMap<(id::Route, Group), Counts>;

/// The state of a roll-out at one node, or summed over several nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Order to which it refers.
    pub order: era::Revision,
    /// Lowest step in force at any of the nodes; zero if one knows no record of the order.
    pub step: Step,
    /// Nodes that were heard from within the contact time. The other registered nodes
    /// count as silent.
    pub nodes: u32,
    /// Requests that these nodes still run at endpoints of versions other than the target.
    pub baseline_in_flight: u32,
    /// Names of nodes at which a lower step is in force than in the record, at most
    /// [`MAX_LAGGING`].
    pub lagging: Vec<id::Node>,
    /// Counts of the nodes, at most [`MAX_ROUTES`] routes beside the empty one.
    pub samples: Samples,
}

impl Report {
    /// Adds the report of other nodes. Nodes that report another order count as nodes at
    /// step zero, as no step of this order is in force there. A report of no nodes adds the
    /// counts of processes that ended.
    pub fn merge(&mut self, other: &Self) {
        if other.nodes > 0 {
            let step = if other.order == self.order {
                other.step
            } else {
                Step::default()
            };
            let is_empty = self.nodes == 0;
            self.step = if is_empty { step } else { self.step.min(step) };
        }
        self.nodes = self.nodes.saturating_add(other.nodes);
        self.baseline_in_flight = self
            .baseline_in_flight
            .saturating_add(other.baseline_in_flight);
        for node in &other.lagging {
            if self.lagging.len() >= MAX_LAGGING {
                break;
            }
            if !self.lagging.contains(node) {
                self.lagging.push(node.clone());
            }
        }
        if other.order != self.order {
            return;
        }
        for ((route, group), counts) in &other.samples {
            self.record(route, *group, *counts);
        }
    }

    /// Adds counts of one route. A route beyond [`MAX_ROUTES`] is counted under the empty
    /// name.
    pub fn record(&mut self, route: &id::Route, group: Group, counts: Counts) {
        let key = if self.has_room(route) {
            (route.clone(), group)
        } else {
            (id::Route::default(), group)
        };
        let total = self.samples.entry(key).or_default();
        *total = total.plus(&counts);
    }

    /// Takes back a request that was counted as sent and was not sent after all.
    pub fn withdraw(&mut self, route: &id::Route, group: Group) {
        let key = (route.clone(), group);
        let unnamed = (id::Route::default(), group);
        let key = if self.samples.contains_key(&key) {
            key
        } else {
            unnamed
        };
        if let Some(counts) = self.samples.get_mut(&key) {
            counts.sent = counts.sent.saturating_sub(1);
        }
    }

    /// Returns whether a route is counted under its own name.
    fn has_room(&self, route: &id::Route) -> bool {
        let mut named = 0;
        let mut last: Option<&id::Route> = None;
        for (known, _) in self.samples.keys() {
            if known == route {
                return true;
            }
            if last != Some(known) && !known.as_str().is_empty() {
                named += 1;
            }
            last = Some(known);
        }
        named < MAX_ROUTES
    }

    /// Returns the counts of a group over all routes.
    #[must_use]
    pub fn total(&self, group: Group) -> Counts {
        let mut total = Counts::default();
        for ((_, counted), counts) in &self.samples {
            if *counted != group {
                continue;
            }
            total = total.plus(counts);
        }
        total
    }
}

//! The decision on the next step of a roll-out.

use std::time::Duration;

use derive_more::Display;

use super::{Report, Requests, Settings, Spec, State, Weight};
use crate::{id, time};

/// What follows from the state of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The record stays as it is.
    NoChange,
    /// This record replaces the one that was read.
    Write(State, Reason),
}

/// Why a step is taken.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum Reason {
    /// The order has no record yet.
    #[display("the order has no record yet; the target gets {_0}")]
    Started(Weight),
    /// The evidence allows another weight.
    #[display("{answered} answered by the target, {bad} of them bad; it gets {weight}")]
    Ramped {
        /// Answers of the target.
        answered: Requests,
        /// Its bad answers.
        bad: Requests,
        /// The new weight.
        weight: Weight,
    },
    /// No endpoint of the target is known; requests wait for none.
    #[display("no endpoint of the target is known; it gets no request until one is")]
    Paused,
    /// The analysis supports the target and the deadline is near.
    #[display("{answered} answered by the target, {bad} of them bad; all requests go to it")]
    Supported {
        /// Answers of the target.
        answered: Requests,
        /// Its bad answers.
        bad: Requests,
    },
    /// No endpoint of another version is known.
    #[display("no endpoint of another version is known; all requests go to the target")]
    NoBaseline,
    /// Every registered node drained.
    #[display("no registered node runs a request at another version")]
    Drained,
    /// All but silent nodes drained as the deadline came.
    #[display("the deadline is near and {missing} registered nodes are silent; all others drained")]
    DrainedExceptSilent {
        /// Number of silent nodes.
        missing: u32,
    },
    /// Bad answers.
    #[display(
        "bad answers on {}: {canary_bad} of {canary_answered} of the target, {baseline_bad} of \
         {baseline_answered} of the other versions",
        if route.as_str().is_empty() { "all routes" } else { route.as_str() }
    )]
    Bad {
        /// Route on which they were found; empty for all routes together.
        route: id::Route,
        /// Bad answers of the target since the order.
        canary_bad: Requests,
        /// Its answers.
        canary_answered: Requests,
        /// Bad answers of the other versions.
        baseline_bad: Requests,
        /// Their answers.
        baseline_answered: Requests,
    },
    /// The evidence does not support the target as the deadline comes.
    #[display(
        "{answered} answered by the target, {bad} of them bad, do not support it at the deadline"
    )]
    Unsupported {
        /// Answers of the target.
        answered: Requests,
        /// Its bad answers.
        bad: Requests,
    },
    /// The bound on exposure leaves no time to drain.
    #[display(
        "the bound on exposure leaves {} ms to drain of {} ms needed; order a longer duration",
        room.as_millis(),
        needed.as_millis()
    )]
    NoRoom {
        /// Time for which all requests may go to the target.
        room: Duration,
        /// Shortest time in which nodes can drain.
        needed: Duration,
    },
    /// No endpoint of the target is known as the deadline comes.
    #[display("no endpoint of the target is known; start some and order it again")]
    NoTarget,
    /// Nodes did not drain by the deadline.
    #[display(
        "{lagging} nodes do not follow and {in_flight} run at other versions at the deadline; \
         order it again with a longer duration"
    )]
    NotDrained {
        /// Nodes known to lag, or silent ones.
        lagging: u32,
        /// Requests at other versions.
        in_flight: Requests,
    },
}

/// Decides the next steps of the roll-outs of all services. Each node that may write
/// records holds one.
#[derive(Clone, Debug)]
pub struct Controller {
    settings: Settings,
}

impl Controller {
    /// Creates a controller that knows no roll-out.
    #[must_use]
    pub const fn new(settings: Settings) -> Self {
        Self { settings }
    }

    /// Returns the settings.
    #[must_use]
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Forgets the roll-out of a service that has no order any more.
    pub fn remove(&mut self, _service: &id::Service) {}

    /// Decides on the next step of an order.
    ///
    /// `state` is the record that was read last, `fleet` the sum of what nodes reported,
    /// and the last three are the numbers of registered nodes, of endpoints of other
    /// versions and of endpoints of the target. To be called whenever one of them changes,
    /// and at least every 200 ms. A record that could not be written is decided on again.
    #[allow(clippy::too_many_arguments)]
    pub fn decide(
        &mut self,
        _now: time::Instant,
        _spec: &Spec,
        _state: Option<&State>,
        _fleet: &Report,
        _registered_nodes: u32,
        _baseline_endpoints: u32,
        _target_endpoints: u32,
    ) -> Decision {
        Decision::NoChange
    }
}

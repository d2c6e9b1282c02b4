//! Roll-outs as nodes send them to each other and keep them in the store.

use std::time::Duration;

use dottereltally_lib::{
    era::{Era, Revision},
    id,
    rollout::{Phase, Spec, State, Step, Summary, Weight},
};
use serde::{Deserialize, Serialize};

/// Longest time of an order or since one, in milliseconds: ten years. Later arithmetic on
/// times can't overflow.
pub const MAX_MILLIS: u64 = 10 * 365 * 24 * 3600 * 1000;

/// Why a record can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Its weight is more than all requests.
    #[error("weight {0} is more than 10000; check what writes this key")]
    Weight(u16),
    /// It names no version.
    #[error("it names no target; check what writes this key")]
    Target,
    /// It has the number that stands for no record.
    #[error("its step is zero; check what writes this key")]
    Step,
}

/// The record of a roll-out.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    order: i64,
    #[serde(default)]
    era: Era,
    target: String,
    step: Step,
    phase: Phase,
    weight: u16,
    elapsed_ms: u64,
    #[serde(default)]
    summary: Summary,
}

impl From<&State> for Record {
    fn from(state: &State) -> Self {
        Self {
            order: state.order.number,
            era: state.order.era,
            target: state.target.to_string(),
            step: state.step,
            phase: state.phase,
            weight: state.weight.0,
            elapsed_ms: millis(state.elapsed),
            summary: state.summary,
        }
    }
}

impl TryFrom<Record> for State {
    type Error = Error;

    fn try_from(wire: Record) -> Result<Self, Error> {
        if wire.weight > Weight::ALL.0 {
            return Err(Error::Weight(wire.weight));
        }
        if wire.target.is_empty() {
            return Err(Error::Target);
        }
        if wire.step == Step::default() {
            return Err(Error::Step);
        }
        Ok(Self {
            order: Revision {
                era: wire.era,
                number: wire.order,
            },
            target: id::Version::from(wire.target),
            step: wire.step,
            phase: wire.phase,
            weight: Weight(wire.weight),
            elapsed: Duration::from_millis(wire.elapsed_ms.min(MAX_MILLIS)),
            summary: wire.summary,
        })
    }
}

/// An order as nodes send it to each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Order {
    service: id::Service,
    target: id::Version,
    duration_ms: u64,
    revision: i64,
    #[serde(default)]
    era: Era,
}

impl From<Spec> for Order {
    fn from(spec: Spec) -> Self {
        Self {
            service: spec.service,
            target: spec.target,
            duration_ms: millis(spec.duration),
            revision: spec.revision.number,
            era: spec.revision.era,
        }
    }
}

impl From<Order> for Spec {
    fn from(wire: Order) -> Self {
        Self {
            service: wire.service,
            target: wire.target,
            duration: Duration::from_millis(wire.duration_ms.min(MAX_MILLIS)),
            revision: Revision {
                era: wire.era,
                number: wire.revision,
            },
        }
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis())
        .unwrap_or(u64::MAX)
        .min(MAX_MILLIS)
}

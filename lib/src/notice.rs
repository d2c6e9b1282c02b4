//! What endpoints say about themselves in answers: that they leave, that they want no
//! requests for a while, and how many rejections they bear.

use std::{collections::BTreeMap, time::Duration};

use crate::{dispatcher::rejection, id, time};

/// Time for which it is remembered that an endpoint left; its process ends long before.
const DEPARTURE_TTL: Duration = Duration::from_mins(10);

/// Most departures that are remembered.
const MAX_DEPARTURES: usize = 10_000;

/// Longest pause that an endpoint may ask for.
pub const MAX_PAUSE: Duration = Duration::from_mins(5);

/// A statement in the headers of an answer that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("header `{0}` can't be read; send it once, with a number that is not negative")]
pub struct Unreadable(pub String);

/// What one answer of an endpoint says about the endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether it leaves, and takes no further requests.
    pub is_leaving: bool,
    /// Time for which it wants no requests of this node.
    pub pause: Option<Duration>,
    /// Most rejections in a second that it bears; `None` if it names none.
    pub brittle: Option<u32>,
    /// Statements that could not be read.
    pub unreadable: Vec<Unreadable>,
}

/// What a node knows about an endpoint from answers, for the other nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// When its process started, in milliseconds since the Unix epoch; `None` if
    /// unknown.
    pub started_ms: Option<u64>,
    /// Time since it said that it leaves; `None` if it did not.
    pub leaving: Option<Duration>,
    /// What it bears, if it named it.
    pub brittle: Option<rejection::Report>,
}

/// That a process of an endpoint leaves.
#[derive(Clone, Debug)]
struct Departure {
    at: time::Instant,
    /// The endpoint's address, `ip:port`; `None` if another node reported it.
    address: Option<String>,
    /// When its process started, as it was listed; `None` if unknown.
    started_ms: Option<u64>,
    /// When the process started that said so, if another one than the listed was found.
    found_ms: Option<u64>,
}

/// The endpoints that said that they leave. A list of endpoints that is older, or that
/// can't be updated, does not bring them back.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    by_endpoint: BTreeMap<id::Endpoint, Departure>,
}

impl Departures {
    /// Records that an endpoint at an address, whose process started at `started_ms`,
    /// said at `at` that it leaves; returns whether that is new.
    pub fn record(
        &mut self,
        at: time::Instant,
        endpoint: &id::Endpoint,
        address: Option<&str>,
        started_ms: Option<u64>,
    ) -> bool {
        if self.has_left(endpoint, address, started_ms) {
            return false;
        }
        if self.by_endpoint.len() >= MAX_DEPARTURES {
            return false;
        }
        let departure = Departure {
            at,
            address: address.map(str::to_owned),
            started_ms,
            found_ms: None,
        };
        self.by_endpoint.insert(endpoint.clone(), departure);
        true
    }

    /// Records that it was not the listed process of an endpoint that said that it leaves, but
    /// one that started at `found_ms`.
    pub fn record_found(&mut self, endpoint: &id::Endpoint, found_ms: u64) {
        if let Some(departure) = self.by_endpoint.get_mut(endpoint) {
            departure.found_ms = Some(found_ms);
        }
    }

    /// Returns whether the process of an endpoint said that it leaves.
    #[must_use]
    pub fn has_left(
        &self,
        endpoint: &id::Endpoint,
        address: Option<&str>,
        started_ms: Option<u64>,
    ) -> bool {
        let Some(departure) = self.by_endpoint.get(endpoint) else {
            return false;
        };
        let is_same = |known: Option<u64>, other: Option<u64>| {
            known.zip(other).is_none_or(|(known, other)| known == other)
        };
        let moved = departure.address.as_deref().zip(address);
        moved.is_none_or(|(known, other)| known == other)
            && (is_same(departure.started_ms, started_ms)
                || departure.found_ms.is_some() && departure.found_ms == started_ms)
    }

    /// Returns the endpoints that said so, and when their processes started.
    pub fn iter(&self) -> impl Iterator<Item = (&id::Endpoint, time::Instant, Option<u64>)> {
        let all = self.by_endpoint.iter();
        all.map(|(name, departure)| (name, departure.at, departure.started_ms))
    }

    /// Forgets those that are long gone.
    pub fn expire(&mut self, now: time::Instant) {
        self.by_endpoint
            .retain(|_, departure| now.since(departure.at) < DEPARTURE_TTL);
    }
}

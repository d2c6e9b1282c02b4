//! Limits that endpoints name: the requests a second that they take from all nodes.

use std::time::Duration;

use crate::{
    id,
    share::{Account, Rate},
    time,
};

/// Rate at which an endpoint with a lower limit still gets requests: only its answers
/// show that the limit was lifted.
const MIN_RATE_PER_SECOND: f64 = 0.1;

/// Time for which the other nodes are informed that a limit was lifted.
const LIFTED_TTL: Duration = Duration::from_secs(10);

/// What an endpoint said last about its limit, as reported to the other nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// Its limit; `None` if it was lifted.
    pub rate: Option<Rate>,
    /// Time since the endpoint said so.
    pub age: Duration,
    /// Requests a second for its service at the reporting node, if that node decides
    /// where they go.
    pub demand: f64,
}

/// A change of what a node knows about an endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// The limit until now; `None` if there was none.
    pub before: Option<Rate>,
    /// The limit from now on.
    pub after: Option<Rate>,
}

/// The limit of one endpoint, and this node's account of it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Limit {
    current: Option<(Rate, Account)>,
    /// When the endpoint last named its limit or lifted it; `None` if it never named
    /// one.
    stated: Option<time::Instant>,
    /// Whether its last statement could not be read.
    is_unreadable: bool,
}

impl Limit {
    /// Returns the limit, if there is one.
    pub(super) fn rate(&self) -> Option<Rate> {
        self.current.map(|(rate, _)| rate)
    }

    /// Returns whether the endpoint ever named a limit.
    pub(super) fn was_named(&self) -> bool {
        self.stated.is_some()
    }

    /// Records what the endpoint said at `at`; an earlier statement than the last one
    /// changes nothing. `part` is the part of a permit with which an account is opened.
    pub(super) fn state(
        &mut self,
        now: time::Instant,
        at: time::Instant,
        rate: Option<Rate>,
        part: f64,
    ) -> Option<Change> {
        let before = self.rate();
        if self.stated.is_some_and(|stated| stated > at) {
            return None;
        }
        self.stated = Some(at);
        self.is_unreadable = false;
        self.current = match (rate, self.current) {
            (Some(rate), Some((_, account))) => Some((rate, account)),
            (Some(rate), None) => Some((rate, Account::open(now, part))),
            (None, _) => None,
        };
        (before != rate).then_some(Change {
            before,
            after: rate,
        })
    }

    /// Records a statement that can't be read, which changes nothing; returns whether
    /// it is the first one.
    pub(super) fn record_unreadable(&mut self) -> bool {
        !std::mem::replace(&mut self.is_unreadable, true)
    }

    /// Forgets the limit, as another process of the endpoint started.
    pub(super) fn reset(&mut self, now: time::Instant) {
        if self.current.take().is_some() {
            self.stated = Some(now);
        }
    }

    /// Adds the permits that accrued for this node's `share` of the limit, a fraction.
    pub(super) fn accrue(&mut self, now: time::Instant, share: f64) {
        if let Some((rate, account)) = &mut self.current {
            account.accrue(now, rate.per_second().max(MIN_RATE_PER_SECOND) * share);
        }
    }

    /// Returns whether a request may be sent there now.
    pub(super) fn has_permit(&self) -> bool {
        self.current.is_none_or(|(_, account)| account.is_open())
    }

    /// Records that a request is sent there.
    pub(super) fn spend(&mut self) {
        if let Some((_, account)) = &mut self.current {
            account.spend();
        }
    }

    /// Returns what to report to the other nodes, if there is anything.
    pub(super) fn report(
        &self,
        now: time::Instant,
        endpoint: &id::Endpoint,
        demand: f64,
    ) -> Option<Report> {
        let age = now.since(self.stated?);
        let rate = self.rate();
        if rate.is_none() && age > LIFTED_TTL {
            return None;
        }
        Some(Report {
            endpoint: endpoint.clone(),
            rate,
            age,
            demand,
        })
    }
}

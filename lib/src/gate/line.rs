//! Requests that wait for one service.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use crate::{
    gate::{Ask, learn::Model},
    id, time,
};

/// Whether a waiting request can still be on time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Lane {
    /// Its first byte can come within its objective.
    OnTime,
    /// It will be late; it gets what the others leave.
    Late,
}

/// Order of the waiting requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    lane: Lane,
    tier: id::Tier,
    class: id::Tier,
    by: time::Instant,
    request: id::Request,
}

/// A request that waits.
#[derive(Clone, Debug)]
struct Entry {
    ask: Ask,
    rank: Rank,
    /// Expected time of its whole answer, seconds.
    work: f64,
}

/// The waiting requests and endpoints of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Line {
    /// Its endpoints.
    pub(super) endpoints: Vec<id::Endpoint>,
    /// What was learnt of its answers.
    pub(super) model: Model,
    order: BTreeSet<Rank>,
    entries: HashMap<id::Request, Entry>,
}

impl Line {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn get(&self, request: id::Request) -> Option<&Ask> {
        self.entries.get(&request).map(|entry| &entry.ask)
    }

    /// Adds a request.
    pub(super) fn push(&mut self, now: time::Instant, request: id::Request, ask: Ask) {
        let rank = self.rank(now, request, &ask);
        let work = self.model.duration(&ask).as_secs_f64();
        self.order.insert(rank);
        self.entries.insert(request, Entry { ask, rank, work });
    }

    /// Takes a request out.
    pub(super) fn remove(&mut self, request: id::Request) -> Option<Ask> {
        let entry = self.entries.remove(&request)?;
        self.order.remove(&entry.rank);
        Some(entry.ask)
    }

    /// Returns the first requests in order.
    pub(super) fn first(&self, count: usize) -> Vec<(Lane, id::Request)> {
        let first = self.order.iter().take(count);
        first.map(|rank| (rank.lane, rank.request)).collect()
    }

    /// Moves the requests that can't be on time any more behind the others.
    pub(super) fn demote(&mut self, now: time::Instant) {
        let mut late = Vec::new();
        for rank in &self.order {
            if rank.lane == Lane::Late {
                break;
            }
            let Some(entry) = self.entries.get(&rank.request) else {
                continue;
            };
            if self.lane(now, &entry.ask) == Lane::Late {
                late.push(rank.request);
            }
        }
        for request in late {
            if let Some(ask) = self.remove(request) {
                self.push(now, request, ask);
            }
        }
    }

    /// Takes out the requests whose answer can't be whole by their deadline.
    pub(super) fn hopeless(&mut self, now: time::Instant) -> Vec<id::Request> {
        let mut hopeless = Vec::new();
        for (&request, entry) in &self.entries {
            if self.is_hopeless(now, &entry.ask) {
                hopeless.push(request);
            }
        }
        for &request in &hopeless {
            self.remove(request);
        }
        hopeless
    }

    /// Returns whether a request that gets an endpoint now is of no use.
    pub(super) fn is_hopeless(&self, now: time::Instant, ask: &Ask) -> bool {
        let first = self.model.first_byte(ask.prompt, 0, FASTEST);
        now + seconds(first) > ask.first_by.min(ask.deadline)
    }

    /// Returns the time that a new request would wait, if this many places
    /// serve this node.
    pub(super) fn wait(&self, ask: &Ask, places: f64) -> Duration {
        let mut work = 0.0;
        for entry in self.entries.values() {
            if entry.ask.tier <= ask.tier {
                work += entry.work;
            }
        }
        seconds(work / places.max(0.1))
    }

    fn lane(&self, now: time::Instant, ask: &Ask) -> Lane {
        let first = self.model.first_byte(ask.prompt, 0, FASTEST);
        if now + seconds(first) > ask.due {
            Lane::Late
        } else {
            Lane::OnTime
        }
    }

    /// Returns the rank within the tier; short work goes first, as it delays
    /// the rest by little.
    fn class(&self, ask: &Ask) -> id::Tier {
        let work = self.model.duration(ask).as_secs_f64();
        if work < self.model.typical() * SHORT_PART {
            return id::Tier::default();
        }
        ask.class
    }

    fn rank(&self, now: time::Instant, request: id::Request, ask: &Ask) -> Rank {
        let lane = self.lane(now, ask);
        let by = match lane {
            Lane::OnTime => ask.due,
            Lane::Late => ask.first_by,
        };
        Rank {
            lane,
            tier: ask.tier,
            class: self.class(ask),
            by,
            request,
        }
    }
}

/// Part of the typical time of an answer up to which work is short.
const SHORT_PART: f64 = 0.25;

/// Speed of the fastest endpoints relative to the mean of a service.
const FASTEST: f64 = 2.0;

fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value.clamp(0.0, 3600.0))
}

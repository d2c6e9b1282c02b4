//! Requests that wait for one service.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
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

/// Work a second, averaged over the recent past.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    sum: f64,
    updated: time::Instant,
}

impl Rate {
    fn record(&mut self, now: time::Instant, work: f64) {
        self.sum = self.get(now) * RATE_SPAN.as_secs_f64() + work;
        self.updated = now;
    }

    fn get(&self, now: time::Instant) -> f64 {
        let span = RATE_SPAN.as_secs_f64();
        let idle = now.since(self.updated).as_secs_f64();
        self.sum * (-idle / span).exp() / span
    }
}

/// The waiting requests and endpoints of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Line {
    /// Its endpoints.
    pub(super) endpoints: Vec<id::Endpoint>,
    /// What was learnt of its answers.
    pub(super) model: Model,
    /// Mean seconds between two events of a stream, over the endpoints.
    pub(super) typical: Option<f64>,
    order: BTreeSet<Rank>,
    entries: HashMap<id::Request, Entry>,
    /// Work that was sent to endpoints.
    sent: Rate,
    /// Work that came in, by rank.
    arrived: BTreeMap<(id::Tier, id::Tier), Rate>,
}

impl Line {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn get(&self, request: id::Request) -> Option<&Ask> {
        self.entries.get(&request).map(|entry| &entry.ask)
    }

    /// Records that a request came in.
    pub(super) fn arrive(&mut self, now: time::Instant, ask: &Ask) {
        let work = self.model.duration(ask).as_secs_f64();
        let rank = (ask.tier, self.class(ask));
        self.arrived.entry(rank).or_default().record(now, work);
    }

    /// Takes out a request that is sent to an endpoint.
    pub(super) fn send(&mut self, now: time::Instant, request: id::Request) -> Option<Ask> {
        let work = self.entries.get(&request)?.work;
        self.sent.record(now, work);
        self.remove(request)
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
    pub(super) fn hopeless(&mut self, now: time::Instant) -> Vec<(id::Request, Ask)> {
        let mut hopeless = Vec::new();
        for (&request, entry) in &self.entries {
            if self.is_hopeless(now, &entry.ask) {
                hopeless.push(request);
            }
        }
        let taken = hopeless.into_iter();
        taken
            .filter_map(|request| Some((request, self.remove(request)?)))
            .collect()
    }

    /// Returns whether a request that gets an endpoint now is of no use.
    pub(super) fn is_hopeless(&self, now: time::Instant, ask: &Ask) -> bool {
        let first = self.model.first_byte(ask.prompt, 0, FASTEST);
        now + seconds(first) > ask.first_by.min(ask.deadline)
    }

    /// Returns the time that a new request would wait: the work ahead of it,
    /// at the rate that is left beside more urgent arrivals. `places` of the
    /// endpoints serve this node at the least.
    pub(super) fn wait(&self, now: time::Instant, ask: &Ask, places: f64) -> Duration {
        let drain = self.sent.get(now).max(places * LEAST_DRAIN);
        let above = self.arrived.range(..(ask.tier, self.class(ask)));
        let above: f64 = above.map(|(_, rate)| rate.get(now)).sum();
        let left = (drain - above).max(drain * LEAST_PART);
        let wait = |rank: &Rank| {
            let ahead = self.order.range(..rank);
            let ahead = ahead.filter_map(|rank| self.entries.get(&rank.request));
            let work: f64 = ahead.map(|entry| entry.work).sum();
            if work <= 0.0 {
                return Duration::ZERO;
            }
            seconds(work / left.max(f64::MIN_POSITIVE))
        };
        let on_time = wait(&self.rank(now, id::Request(u64::MAX), ask));
        if self.lane(now + on_time, ask) == Lane::OnTime {
            return on_time;
        }
        // It would be overtaken by what can still be on time.
        wait(&self.rank(now + on_time, id::Request(u64::MAX), ask))
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

/// Time over which rates of work are averaged; bursts last some seconds.
const RATE_SPAN: Duration = Duration::from_secs(2);

/// Part of a node's places that drains the queue before that was observed.
const LEAST_DRAIN: f64 = 0.5;

/// Part of the rate that less urgent work gets at the least.
const LEAST_PART: f64 = 0.1;

/// Speed of the fastest endpoints relative to the mean of a service.
const FASTEST: f64 = 2.0;

fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value.clamp(0.0, 3600.0))
}

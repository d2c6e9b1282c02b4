//! Queue of one service: order of the requests, and the expected wait.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use crate::{
    dispatcher::{
        Request, TRANSIT_MARGIN,
        kind::{Kind, Measurement},
        member::Member,
        model::Model,
        speed,
    },
    id,
    share::Demand,
    time,
};

/// Whether a queued request can still be on time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timeliness {
    /// Its first byte can arrive by its due time.
    OnTime,
    /// Its first byte will be late; it is served after the others, unless it needs one
    /// software version.
    Late,
}

/// Whether a request needs one software version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Binding {
    /// Only endpoints of one version may serve it. It goes before the others of its
    /// tier, late or not: it continues a stream, and few endpoints can take it.
    Bound,
    /// Endpoints of any version may serve it.
    Free,
}

/// Sort key of the queued requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Whether it is served after those that can still be on time.
    deferred: bool,
    tier: id::Tier,
    binding: Binding,
    class: id::Tier,
    due: time::Instant,
    id: id::Request,
    timeliness: Timeliness,
}

/// A queued request.
#[derive(Clone, Debug)]
struct Entry {
    request: Request,
    rank: Rank,
    /// Expected time of its complete answer, in seconds.
    work: f64,
    /// Whether it is sent to show how long requests of its route take.
    is_trial: bool,
}

/// What is expected of a request: by the model of its service, and by what was measured of its
/// route.
#[derive(Clone, Copy, Debug)]
pub(super) struct Expectation<'a> {
    model: &'a Model,
    request: &'a Request,
    /// Factor on the times that the model expects.
    factor: f64,
    /// Seconds from the first byte to the end, at mean speed.
    stream_time: f64,
}

impl Expectation<'_> {
    /// Returns the expected seconds to the first byte at an endpoint with `pending` prompt
    /// tokens of other requests.
    pub(super) fn first_byte(&self, pending: u64, relative_speed: f64) -> f64 {
        let prompt = self.request.prompt;
        self.model
            .time_to_first_byte(prompt, pending, relative_speed)
            * self.factor
    }

    /// Returns the expected seconds from the first byte to the end.
    pub(super) fn stream_time(&self, relative_speed: f64) -> f64 {
        self.stream_time / relative_speed
    }

    /// Returns the time, in seconds, below which few answers are whole, where the first byte is
    /// expected after `first_byte` seconds. What is left of a stream that goes on is not known,
    /// so that only its first byte counts.
    pub(super) fn shortest_duration(&self, first_byte: f64, relative_speed: f64) -> f64 {
        let stream_time = match self.request.version {
            Some(_) => 0.0,
            None => self.stream_time(relative_speed),
        };
        self.model.shortest_duration(first_byte, stream_time)
    }

    /// Returns the time in which most answers are whole, in seconds, where the first byte is
    /// expected after `first_byte` seconds.
    fn safe_duration(&self, first_byte: f64, relative_speed: f64) -> f64 {
        let stream_time = self.stream_time(relative_speed);
        self.model.safe_duration(first_byte, stream_time)
    }
}

/// Rate of work, as an exponentially decaying average: seconds of expected answer
/// time per second.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    sum: f64,
    updated: time::Instant,
}

impl Rate {
    fn record(&mut self, now: time::Instant, work: f64) {
        self.sum = self.get(now) * RATE_TIME_CONSTANT.as_secs_f64() + work;
        self.updated = now;
    }

    fn get(&self, now: time::Instant) -> f64 {
        let time_constant = RATE_TIME_CONSTANT.as_secs_f64();
        let idle = now.since(self.updated).as_secs_f64();
        self.sum * (-idle / time_constant).exp() / time_constant
    }
}

/// The queued requests and the endpoints of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    /// The service's endpoints.
    pub(super) endpoints: Vec<id::Endpoint>,
    /// Number of live endpoints of each known software version.
    pub(super) versions: BTreeMap<id::Version, usize>,
    /// Most rejections in a second that an endpoint of the service bears, as one of them
    /// named last; `None` if it named none.
    pub(super) tolerated_rejections: Option<u32>,
    /// Model of the service's answer times.
    pub(super) model: Model,
    /// What was measured of its routes.
    kinds: HashMap<id::Route, Kind>,
    /// Whether an endpoint of the service ever reported its load.
    pub(super) states_load: bool,
    /// Mean speed of the endpoints.
    pub(super) mean_speed: speed::Mean,
    /// Speed of the fastest endpoint, relative to the mean; `None` if there is none.
    pub(super) fastest: Option<f64>,
    /// The queued requests, first to be served first.
    order: BTreeSet<Rank>,
    entries: HashMap<id::Request, Entry>,
    /// The queued requests that need one software version.
    bound: BTreeSet<id::Request>,
    /// Requests that arrived, by number.
    pub(super) demand: Demand,
    /// Rate of work sent to endpoints.
    sent: Rate,
    /// Rate of arriving work, by tier and effective class.
    arrived: BTreeMap<(id::Tier, id::Tier), Rate>,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the endpoint's version has no other live endpoint at which a
    /// stream could go on, while another version has more.
    pub(super) fn is_scarce(&self, member: &Member) -> bool {
        let version = member.record.version.as_ref();
        let count = version.and_then(|version| self.versions.get(version));
        let count = count.copied().unwrap_or_default();
        count < MIN_VERSION_ENDPOINTS && self.versions.values().any(|other| *other > count)
    }

    pub(super) fn get(&self, id: id::Request) -> Option<&Request> {
        self.entries.get(&id).map(|entry| &entry.request)
    }

    /// Returns whether a queued request is sent to show how long requests of its route take.
    pub(super) fn is_trial(&self, id: id::Request) -> bool {
        self.entries.get(&id).is_some_and(|entry| entry.is_trial)
    }

    /// Records the arrival of a request.
    pub(super) fn record_arrival(&mut self, now: time::Instant, request: &Request) {
        self.demand.record(now);
        let work = self.duration(request).as_secs_f64();
        let rank = (request.tier, self.effective_class(request));
        self.arrived.entry(rank).or_default().record(now, work);
    }

    /// Removes a request that is sent to an endpoint.
    pub(super) fn send(&mut self, now: time::Instant, id: id::Request) -> Option<Request> {
        let work = self.entries.get(&id)?.work;
        self.sent.record(now, work);
        self.remove(id)
    }

    /// Adds a request.
    pub(super) fn push(&mut self, now: time::Instant, id: id::Request, request: Request) {
        let timeliness = self.timeliness(now, &request);
        self.insert(id, request, timeliness, false);
    }

    /// Adds a request that is sent to show how long requests of its route take. It counts as on
    /// time: behind all others it would show nothing while the service is overloaded.
    pub(super) fn push_trial(&mut self, now: time::Instant, id: id::Request, request: Request) {
        let deadline = request.deadline.min(request.caller_leaves_at);
        if let Some(kind) = self.kind(&request.route) {
            kind.begin_trial(now, id, deadline);
        }
        self.insert(id, request, Timeliness::OnTime, true);
    }

    fn insert(
        &mut self,
        id: id::Request,
        request: Request,
        timeliness: Timeliness,
        is_trial: bool,
    ) {
        let rank = self.rank(id, &request, timeliness);
        let work = self.duration(&request).as_secs_f64();
        if request.version.is_some() {
            self.bound.insert(id);
        }
        self.order.insert(rank);
        self.entries.insert(
            id,
            Entry {
                request,
                rank,
                work,
                is_trial,
            },
        );
    }

    /// Removes a request.
    pub(super) fn remove(&mut self, id: id::Request) -> Option<Request> {
        let entry = self.entries.remove(&id)?;
        self.order.remove(&entry.rank);
        self.bound.remove(&id);
        Some(entry.request)
    }

    /// Returns the queued requests that need one software version.
    pub(super) fn bound(&self) -> Vec<id::Request> {
        self.bound.iter().copied().collect()
    }

    /// Returns the first requests in the order of the queue, without those that none
    /// of the open endpoints may serve: they would keep the others from being
    /// considered.
    pub(super) fn head(&self, count: usize, open: &[&Member]) -> Vec<(Timeliness, id::Request)> {
        let mut first = Vec::new();
        for rank in &self.order {
            if first.len() >= count {
                break;
            }
            if self.bound.contains(&rank.id) && !self.is_placeable(rank.id, open) {
                continue;
            }
            first.push((rank.timeliness, rank.id));
        }
        first
    }

    fn is_placeable(&self, id: id::Request, open: &[&Member]) -> bool {
        let Some(request) = self.get(id) else {
            return false;
        };
        let mut open = open.iter();
        open.any(|member| member.serves(request) && !request.excluded.contains(&member.record.id))
    }

    /// Moves requests that can no longer be on time behind the others.
    pub(super) fn demote(&mut self, now: time::Instant) {
        let mut late = Vec::new();
        for rank in &self.order {
            if rank.deferred {
                break;
            }
            if rank.timeliness == Timeliness::Late {
                continue;
            }
            let Some(entry) = self.entries.get(&rank.id) else {
                continue;
            };
            if !entry.is_trial && self.timeliness(now, &entry.request) == Timeliness::Late {
                late.push(rank.id);
            }
        }
        for id in late {
            if let Some(request) = self.remove(id) {
                self.push(now, id, request);
            }
        }
    }

    /// Removes and returns the requests that can no longer be served in time.
    pub(super) fn remove_infeasible(&mut self, now: time::Instant) -> Vec<(id::Request, Request)> {
        let mut infeasible = Vec::new();
        for (&id, entry) in &self.entries {
            let request = &entry.request;
            let is_infeasible = if entry.is_trial {
                has_expired(now, request)
            } else {
                self.is_infeasible(now, request)
            };
            if is_infeasible {
                infeasible.push(id);
            }
        }
        let mut removed = Vec::new();
        for id in infeasible {
            let Some(request) = self.remove(id) else {
                continue;
            };
            self.end_trial(id, &request.route);
            removed.push((id, request));
        }
        removed
    }

    /// Returns whether a request that is not expected to end in time is sent all the same, as
    /// nothing that was measured lately shows that it can't. One that could end if it did not
    /// have to wait shows nothing.
    pub(super) fn allows_trial(&self, now: time::Instant, request: &Request) -> bool {
        if has_expired(now, request) || !self.is_infeasible(now, request) {
            return false;
        }
        let is_idle = self.entries.is_empty();
        let kind = self.kinds.get(&request.route);
        kind.is_none_or(|kind| kind.allows_trial(now, is_idle))
    }

    /// Records that a request ended without showing how long it takes.
    pub(super) fn end_trial(&mut self, id: id::Request, route: &id::Route) {
        if let Some(kind) = self.kinds.get_mut(route) {
            kind.end_trial(id);
        }
    }

    /// Records how a request at an endpoint of this relative speed ended, and the time that it
    /// took. Nothing is expected of streams that go on.
    pub(super) fn record_end(
        &mut self,
        now: time::Instant,
        id: id::Request,
        request: &Request,
        (is_answered, took): (bool, Duration),
        relative_speed: f64,
    ) {
        if request.version.is_some() {
            return self.end_trial(id, &request.route);
        }
        let expected = self.model.duration(request.prompt, request.expected_output);
        let took = took.as_secs_f64() * relative_speed;
        let fraction = took / expected.as_secs_f64().max(f64::MIN_POSITIVE);
        let measurement = if is_answered {
            Measurement::Answered(fraction)
        } else {
            Measurement::Missing(fraction)
        };
        if let Some(kind) = self.kind(&request.route) {
            kind.record(now, id, measurement);
        }
    }

    /// Returns what is known of a route, unless too many are known.
    fn kind(&mut self, route: &id::Route) -> Option<&mut Kind> {
        if !self.kinds.contains_key(route) && self.kinds.len() >= MAX_KINDS {
            return None;
        }
        Some(self.kinds.entry(route.clone()).or_default())
    }

    /// Returns the factor on the times that the service's model expects of a request.
    fn factor(&self, request: &Request) -> f64 {
        self.kinds.get(&request.route).map_or(1.0, Kind::factor)
    }

    /// Returns what is expected of a request.
    pub(super) fn expectation<'a>(&'a self, request: &'a Request) -> Expectation<'a> {
        let factor = self.factor(request);
        Expectation {
            model: &self.model,
            request,
            factor,
            stream_time: self.model.stream_time(request.expected_output) * factor,
        }
    }

    /// Returns whether the first byte would come after the caller has left, or the answer
    /// would be whole after the deadline, even if the fastest endpoint took the request now
    /// and was quicker than usual.
    pub(super) fn is_infeasible(&self, now: time::Instant, request: &Request) -> bool {
        let speed = self.fastest_speed();
        let expected = self.expectation(request);
        let first_byte = expected.first_byte(0, speed);
        now + seconds(self.model.shortest_first_byte(first_byte)) > request.caller_leaves_at
            || now + seconds(expected.shortest_duration(first_byte, speed)) > request.deadline
    }

    fn fastest_speed(&self) -> f64 {
        self.fastest.unwrap_or(1.0)
    }

    /// Returns the expected wait of a new request: the work ahead of it,
    /// divided by the drain rate that more urgent arrivals leave. `capacity` is
    /// this node's part of the endpoints' capacity, in requests at once; it sets
    /// a lower bound for the drain rate.
    pub(super) fn estimate_wait(
        &self,
        now: time::Instant,
        request: &Request,
        capacity: f64,
    ) -> Duration {
        let drain = self.sent.get(now).max(capacity * MIN_DRAIN_PER_SLOT);
        let urgent = self
            .arrived
            .range(..(request.tier, self.effective_class(request)));
        let urgent: f64 = urgent.map(|(_, rate)| rate.get(now)).sum();
        let available = (drain - urgent).max(drain * MIN_DRAIN_FRACTION);
        let wait = |rank: &Rank| {
            let ahead = self.order.range(..rank);
            let ahead = ahead.filter_map(|rank| self.entries.get(&rank.id));
            // Requests that need another version wait for endpoints of that version.
            let ahead = ahead.filter(|entry| {
                let version = &entry.request.version;
                version.is_none() || *version == request.version
            });
            let work: f64 = ahead.map(|entry| entry.work).sum();
            if work <= 0.0 {
                return Duration::ZERO;
            }
            seconds(work / available.max(f64::MIN_POSITIVE))
        };
        let wait_from = |at: time::Instant| {
            let timeliness = self.timeliness(at, request);
            let rank = self.rank(id::Request(u64::MAX), request, timeliness);
            wait(&rank)
        };
        let on_time = wait_from(now);
        if self.timeliness(now + on_time, request) == Timeliness::OnTime {
            return on_time;
        }
        // By then the request is late, and all that can still be on time are
        // served before it.
        wait_from(now + on_time)
    }

    /// Returns whether the first byte can be on time, and the answer whole by the deadline, if
    /// the fastest endpoint takes the request now.
    fn timeliness(&self, now: time::Instant, request: &Request) -> Timeliness {
        let first_byte = self
            .expectation(request)
            .first_byte(0, self.fastest_speed());
        if now + seconds(first_byte) > request.first_byte_due {
            return Timeliness::Late;
        }
        if self.is_likely_incomplete(now, request) {
            return Timeliness::Late;
        }
        Timeliness::OnTime
    }

    /// Returns whether the answer may well not be whole by the deadline, if the fastest
    /// endpoint takes the request now.
    pub(super) fn is_likely_incomplete(&self, now: time::Instant, request: &Request) -> bool {
        if request.version.is_some() {
            return false;
        }
        let speed = self.fastest_speed();
        let expected = self.expectation(request);
        let duration = expected.safe_duration(expected.first_byte(0, speed), speed);
        now + seconds(duration) + TRANSIT_MARGIN > request.deadline
    }

    /// Returns the expected time of a complete answer at an idle endpoint of mean speed.
    pub(super) fn duration(&self, request: &Request) -> Duration {
        let duration = self.model.duration(request.prompt, request.expected_output);
        duration.mul_f64(self.factor(request))
    }

    /// Returns the priority within the tier. Short requests get the highest, as
    /// they delay the others little.
    fn effective_class(&self, request: &Request) -> id::Tier {
        let work = self.duration(request).as_secs_f64();
        if work < self.model.mean_stream_time() * SHORT_FRACTION {
            return id::Tier::default();
        }
        request.class
    }

    fn rank(&self, id: id::Request, request: &Request, timeliness: Timeliness) -> Rank {
        let due = match timeliness {
            Timeliness::OnTime => request.first_byte_due.min(request.deadline),
            Timeliness::Late => request.caller_leaves_at,
        };
        let binding = match request.version {
            Some(_) => Binding::Bound,
            None => Binding::Free,
        };
        Rank {
            deferred: timeliness == Timeliness::Late && binding == Binding::Free,
            tier: request.tier,
            binding,
            class: self.effective_class(request),
            due,
            id,
            timeliness,
        }
    }
}

/// Most routes of a service of which times are remembered.
const MAX_KINDS: usize = 1000;

/// Number of live endpoints of a version from which a broken stream can go on at
/// another one.
const MIN_VERSION_ENDPOINTS: usize = 2;

/// Fraction of the mean streaming time below which a request counts as short.
const SHORT_FRACTION: f64 = 0.25;

/// Time constant of the averaged rates; bursts last a few seconds.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Work per second that each of the node's slots drains at least, assumed until
/// a higher rate is observed.
pub(super) const MIN_DRAIN_PER_SLOT: f64 = 0.5;

/// Minimum fraction of the drain rate that less urgent requests get.
const MIN_DRAIN_FRACTION: f64 = 0.1;

/// Returns whether an answer would be of no use any more.
fn has_expired(now: time::Instant, request: &Request) -> bool {
    now >= request.deadline || now >= request.caller_leaves_at
}

fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value.clamp(0.0, 3600.0))
}

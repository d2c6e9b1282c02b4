//! Queue of one service: order of the requests, and the expected wait.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    ops::Bound,
    time::Duration,
};

use crate::{
    dispatcher::{
        Request, TRANSIT_MARGIN,
        fairness::Usage,
        kind::{Kind, Measurement},
        member::Member,
        model::Model,
        overload::Counts,
        retry::{RETURNED_PART, RETURNED_WEIGHT, Returns},
        schedule::{Job, Schedule},
        speed,
    },
    id,
    rollout::Filter,
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
    /// Whether it left the set that can be within their targets, although it still could be.
    has_left: bool,
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

/// Measures the work that the endpoints take while requests wait for them.
#[derive(Clone, Copy, Debug, Default)]
struct Backlog {
    /// Since when requests wait, and the work sent since then; `None` while none waits.
    current: Option<(time::Instant, f64)>,
    /// Work sent in a second for each place; `None` until measured.
    drain_per_place: Option<f64>,
}

impl Backlog {
    fn record_send(&mut self, work: f64) {
        if let Some((_, sent)) = &mut self.current {
            *sent += work;
        }
    }

    /// Records that requests wait after all that could be sent was sent.
    fn record_waiting(&mut self, now: time::Instant, places: f64) {
        let (since, sent) = *self.current.get_or_insert((now, 0.0));
        let elapsed = now.since(since);
        if elapsed < BACKLOG_SAMPLE {
            return;
        }
        self.current = Some((now, 0.0));
        let sample = sent / elapsed.as_secs_f64() / places.max(1.0);
        let known = self.drain_per_place.unwrap_or(sample);
        self.drain_per_place = Some(known + (sample - known) * BACKLOG_WEIGHT);
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
    /// The same at this moment, by what endpoints report; requests are placed by it.
    pub(super) fastest_now: Option<f64>,
    /// The queued requests, first to be served first.
    order: BTreeSet<Rank>,
    entries: HashMap<id::Request, Entry>,
    /// The queued requests that not every software version may serve.
    bound: BTreeSet<id::Request>,
    /// Requests that arrived, by number.
    pub(super) demand: Demand,
    /// Rate of work sent to endpoints.
    sent: Rate,
    /// Rate of arriving work, by tier and effective class.
    arrived: BTreeMap<(id::Tier, id::Tier), Rate>,
    /// Work sent while requests waited.
    backlog: Backlog,
    /// Time before which the queued requests are not selected again.
    next_plan: time::Instant,
    /// Work done in a second and work of the selected requests, as of the last selection.
    last_plan: (f64, f64),
    /// Refused requests that were told when to come back.
    returns: Returns,
    /// What it did under overload.
    pub(super) counts: Counts,
    /// The queued requests that came back then, and the rate of their work.
    returned: HashSet<id::Request>,
    returned_rate: Rate,
    /// Work sent for each workspace.
    usage: Usage,
}

/// A queued request that will not be served.
#[derive(Debug)]
pub(super) struct Unserved {
    pub(super) id: id::Request,
    pub(super) request: Request,
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

    /// Makes a request go before new ones if it was refused and comes back when it was told
    /// to, as long as such requests take no more than their part of the capacity.
    pub(super) fn admit_return(&mut self, now: time::Instant, id: id::Request, request: &Request) {
        let Some(fingerprint) = request.fingerprint else {
            return;
        };
        if !self.returns.take(now, fingerprint) || request.version.is_some() {
            return;
        }
        let (drain, _) = self.last_plan;
        if self.returned_rate.get(now) > drain * RETURNED_PART {
            return;
        }
        let work = self.duration(request).as_secs_f64();
        self.returned_rate.record(now, work);
        self.returned.insert(id);
        self.counts.returned += 1;
    }

    /// Returns the time after which a refused request should come back: `bounds.0` to
    /// `bounds.1`, or `bounds.1` if that is less.
    pub(super) fn promise_return(
        &mut self,
        now: time::Instant,
        request: &Request,
        bounds: (Duration, Duration),
    ) -> Duration {
        let (drain, planned) = self.last_plan;
        let ahead = if self.entries.is_empty() {
            0.0
        } else {
            planned
        };
        let free = available(now, drain, self.arrived.iter());
        let backlog = seconds(ahead / free.max(f64::MIN_POSITIVE));
        let work = self.duration(request).as_secs_f64();
        self.returns.promise(now, backlog, (work, free), bounds)
    }

    /// Remembers that a refused request was told to come back at a time.
    pub(super) fn expect_return(
        &mut self,
        now: time::Instant,
        request: &Request,
        at: time::Instant,
    ) {
        if let Some(fingerprint) = request.fingerprint {
            self.returns.expect(now, fingerprint, at);
            self.counts.announced += 1;
        }
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
        let entry = self.entries.get(&id)?;
        let work = entry.work;
        self.usage
            .record(now, entry.request.workspace.as_ref(), work);
        self.sent.record(now, work);
        self.backlog.record_send(work);
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
        let rank = self.rank(id, &request, timeliness, false);
        let work = self.duration(&request).as_secs_f64();
        if request.version.is_some() || request.version_filter != Filter::Any {
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
        self.returned.remove(&id);
        if self.entries.is_empty() {
            self.backlog.current = None;
        }
        Some(entry.request)
    }

    /// Returns the queued requests that not every software version may serve.
    pub(super) fn bound(&self) -> Vec<id::Request> {
        self.bound.iter().copied().collect()
    }

    /// Returns the first requests in the order of the queue, without those that not every
    /// version may serve and that can't be placed now: they would keep the others from being
    /// considered.
    pub(super) fn head(
        &self,
        count: usize,
        is_placeable: impl Fn(&Request) -> bool,
    ) -> Vec<(Timeliness, id::Request)> {
        let mut first = Vec::new();
        for rank in &self.order {
            if first.len() >= count {
                break;
            }
            if self.bound.contains(&rank.id) && !self.get(rank.id).is_some_and(&is_placeable) {
                continue;
            }
            first.push((rank.timeliness, rank.id));
        }
        first
    }

    /// Moves those of the first requests that can no longer be on time behind the others.
    pub(super) fn demote(&mut self, now: time::Instant, count: usize) {
        let mut late = Vec::new();
        for rank in self.order.iter().take(count) {
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
            self.set_timeliness(id, Timeliness::Late, false);
        }
    }

    fn set_timeliness(&mut self, id: id::Request, timeliness: Timeliness, has_left: bool) {
        let Some(entry) = self.entries.get(&id) else {
            return;
        };
        let rank = self.rank(id, &entry.request, timeliness, has_left);
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        self.order.remove(&entry.rank);
        entry.rank = rank;
        self.order.insert(rank);
    }

    /// Returns whether requests wait, and were not selected a moment ago: a selection looks at
    /// every queued request.
    pub(super) fn is_plan_due(&self, now: time::Instant) -> bool {
        !self.entries.is_empty() && now >= self.next_plan
    }

    /// Returns the mean time for which a queued request takes a place, in seconds.
    pub(super) fn mean_work(&self) -> f64 {
        let work: f64 = self.entries.values().map(|entry| entry.work).sum();
        let count = u32::try_from(self.entries.len()).unwrap_or(u32::MAX);
        work / f64::from(count.max(1))
    }

    /// Selects the requests that can all be within their targets, moves the others behind
    /// them, and removes and returns those that will not be served. `places` is the number of
    /// requests that the endpoints run at once, `own_places` this node's part of it.
    pub(super) fn plan(
        &mut self,
        now: time::Instant,
        places: f64,
        own_places: f64,
    ) -> Vec<Unserved> {
        let count = u32::try_from(self.entries.len()).unwrap_or(u32::MAX);
        self.next_plan = now;
        if places > SMALL_PLACES || count > SMALL_QUEUE {
            self.next_plan = now + PLAN_INTERVAL + PLAN_INTERVAL_PER_REQUEST.saturating_mul(count);
        }
        self.backlog.record_waiting(now, places);
        let drain = self.drain(now, places, own_places);
        let mut order: Vec<(Slot, id::Request)> = Vec::new();
        let mut unserved = Vec::new();
        for (&id, entry) in &self.entries {
            let request = &entry.request;
            if entry.is_trial || request.version.is_some() {
                let is_lost = if entry.is_trial {
                    has_expired(now, request)
                } else {
                    self.is_infeasible(now, request)
                };
                if is_lost {
                    unserved.push(id);
                }
                continue;
            }
            let slot = Slot {
                tier: request.tier,
                class: self.effective_class(request),
                due: request.first_byte_due.min(request.deadline),
            };
            order.push((slot, id));
        }
        order.sort_unstable();
        let waiting = self.entries.values();
        let waiting: HashSet<_> = waiting
            .map(|entry| entry.request.workspace.as_ref())
            .collect();
        let total = self.usage.total(now, &waiting);
        let mut excess = HashMap::new();
        for workspace in waiting {
            excess.insert(workspace, self.usage.excess(now, workspace, total));
        }
        let late = self.select(now, drain, &excess, &order);
        let selected = order.iter().filter(|(_, id)| !late.contains(id));
        let selected = selected.filter_map(|(_, id)| self.entries.get(id));
        let work: f64 = selected.map(|entry| entry.work).sum();
        self.last_plan = (drain, work);
        unserved.extend(self.unserved(now, drain, &order, &late));
        for (_, id) in order {
            let Some(entry) = self.entries.get(&id) else {
                continue;
            };
            let timeliness = self.timeliness(now, &entry.request);
            let has_left = timeliness == Timeliness::OnTime && late.contains(&id);
            if (entry.rank.timeliness, entry.rank.has_left) != (timeliness, has_left) {
                self.set_timeliness(id, timeliness, has_left);
            }
        }
        let mut removed = Vec::new();
        for id in unserved {
            let Some(request) = self.remove(id) else {
                continue;
            };
            self.end_trial(id, &request.route);
            self.counts.unserved += 1;
            removed.push(Unserved { id, request });
        }
        removed
    }

    /// Returns the requests that are not selected to be within their targets; `excess` is how
    /// far each workspace is above its equal share.
    fn select(
        &self,
        now: time::Instant,
        drain: f64,
        excess: &HashMap<Option<&id::Workspace>, f64>,
        order: &[(Slot, id::Request)],
    ) -> HashSet<id::Request> {
        let mut late = HashSet::new();
        let mut ahead = 0.0;
        for group in order.chunk_by(|(one, _), (other, _)| one.group() == other.group()) {
            let Some((slot, _)) = group.first() else {
                continue;
            };
            if self.is_above_overload(now, drain, *slot) {
                for (_, id) in group {
                    let Some(entry) = self.entries.get(id) else {
                        continue;
                    };
                    if self.timeliness(now, &entry.request) == Timeliness::Late {
                        late.insert(*id);
                    } else {
                        ahead += entry.work;
                    }
                }
                continue;
            }
            let available = available(now, drain, self.arrived.range(..slot.group()));
            let mut schedule = Schedule::new(now, ahead, available);
            for (_, id) in group {
                let Some(entry) = self.entries.get(id) else {
                    continue;
                };
                let is_returned = self.returned.contains(id);
                let workspace = entry.request.workspace.as_ref();
                schedule.add(Job {
                    id: *id,
                    work: entry.work,
                    excess: excess.get(&workspace).copied().unwrap_or_default(),
                    weight: if is_returned { RETURNED_WEIGHT } else { 1.0 },
                    latest_start: self.latest_start(&entry.request),
                });
            }
            let (work, left) = schedule.finish();
            ahead += work;
            late.extend(left);
        }
        late
    }

    /// Returns those of the late requests that would not be served in time. Requests of a
    /// lower tier or class do not count against them.
    fn unserved(
        &self,
        now: time::Instant,
        drain: f64,
        order: &[(Slot, id::Request)],
        late: &HashSet<id::Request>,
    ) -> Vec<id::Request> {
        let mut unserved = Vec::new();
        let mut ahead = 0.0;
        for group in order.chunk_by(|(one, _), (other, _)| one.group() == other.group()) {
            let Some((slot, _)) = group.first() else {
                continue;
            };
            let mut behind = Vec::new();
            for (_, id) in group {
                let Some(entry) = self.entries.get(id) else {
                    continue;
                };
                if late.contains(id) {
                    behind.push((entry.request.caller_leaves_at, *id));
                } else {
                    ahead += entry.work;
                }
            }
            behind.sort_unstable();
            let available = if self.is_above_overload(now, drain, *slot) {
                available(now, drain, self.arrived.range(..slot.group()))
            } else {
                available(now, drain, self.arrived.range(..=slot.group()))
            };
            for (_, id) in behind {
                let Some(entry) = self.entries.get(&id) else {
                    continue;
                };
                let wait = seconds(ahead / available.max(f64::MIN_POSITIVE));
                let request = &entry.request;
                if self.is_infeasible(now + wait, request)
                    || (wait > Duration::ZERO
                        && self.is_likely_incomplete(now + wait.mul_f64(LONG_WAIT_FACTOR), request))
                {
                    unserved.push(id);
                    continue;
                }
                ahead += entry.work;
            }
        }
        unserved
    }

    /// Returns whether the capacity suffices for the requests of a tier and class and those
    /// above, while others arrive below them. None of them has to leave for another one then.
    fn is_above_overload(&self, now: time::Instant, drain: f64, slot: Slot) -> bool {
        let below = (Bound::Excluded(slot.group()), Bound::Unbounded);
        let below: f64 = self
            .arrived
            .range(below)
            .map(|(_, rate)| rate.get(now))
            .sum();
        let above = self.arrived.range(..=slot.group());
        let above: f64 = above.map(|(_, rate)| rate.get(now)).sum();
        below > drain * MIN_DRAIN_FRACTION && above < drain
    }

    /// Returns the work done in a second while requests wait.
    fn drain(&self, now: time::Instant, places: f64, own_places: f64) -> f64 {
        let measured = self.backlog.drain_per_place.map(|drain| drain * places);
        let least = own_places * MIN_DRAIN_PER_SLOT;
        measured
            .unwrap_or(own_places)
            .max(least)
            .max(self.sent.get(now))
    }

    /// Returns the latest time at which a request can be sent to an endpoint of mean speed and
    /// be within its target, if the answer takes longer than usual.
    fn latest_start(&self, request: &Request) -> time::Instant {
        let expected = self.expectation(request);
        let first_byte = expected.first_byte(0, 1.0);
        let whole = expected.safe_duration(first_byte, 1.0);
        let on_time = request.first_byte_due - TRANSIT_MARGIN - seconds(first_byte);
        on_time.min(request.deadline - TRANSIT_MARGIN - seconds(whole))
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

    /// Returns the speed of the fastest endpoint in the long term or now: a moment's slowness
    /// refuses nothing.
    fn fastest_speed(&self) -> f64 {
        let lasting = self.fastest.unwrap_or(1.0);
        self.fastest_now.map_or(lasting, |now| lasting.max(now))
    }

    /// Returns the speed of the fastest endpoint at this moment.
    fn present_speed(&self) -> f64 {
        self.fastest_now.unwrap_or_else(|| self.fastest_speed())
    }

    /// Returns whether the first byte can be on time, and the answer whole by the deadline, if
    /// the fastest endpoint takes the request now.
    fn timeliness(&self, now: time::Instant, request: &Request) -> Timeliness {
        let first_byte = self
            .expectation(request)
            .first_byte(0, self.present_speed());
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

    fn rank(
        &self,
        id: id::Request,
        request: &Request,
        timeliness: Timeliness,
        has_left: bool,
    ) -> Rank {
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
            has_left,
            due,
            id,
            timeliness,
        }
    }
}

/// Place of a request in the order in which requests are selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Slot {
    tier: id::Tier,
    class: id::Tier,
    due: time::Instant,
}

impl Slot {
    fn group(self) -> (id::Tier, id::Tier) {
        (self.tier, self.class)
    }
}

/// Places and queued requests of a service up to which requests are selected from at every
/// arrival. With more places, a lower tier would be refused at moments that pass (see
/// `docs/design/overload.md`).
const SMALL_PLACES: f64 = 8.0;
const SMALL_QUEUE: u32 = 64;

/// Shortest time between two selections otherwise, and what each of them adds to it:
/// 2,000 are looked at every 30 ms.
const PLAN_INTERVAL: Duration = Duration::from_millis(10);
const PLAN_INTERVAL_PER_REQUEST: Duration = Duration::from_micros(10);

/// Time over which the work sent is measured while requests wait, and the weight of a new
/// value.
const BACKLOG_SAMPLE: Duration = Duration::from_millis(250);
const BACKLOG_WEIGHT: f64 = 0.3;

/// Factor on the estimate of a wait; few requests wait longer than that.
const LONG_WAIT_FACTOR: f64 = 1.25;

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

/// Returns the work done in a second that is left by the arrivals of these rates.
fn available<'a>(
    now: time::Instant,
    drain: f64,
    before: impl Iterator<Item = (&'a (id::Tier, id::Tier), &'a Rate)>,
) -> f64 {
    let before: f64 = before.map(|(_, rate)| rate.get(now)).sum();
    (drain - before).max(drain * MIN_DRAIN_FRACTION)
}

fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value.clamp(0.0, 3600.0))
}

//! Admission control and endpoint selection for one node.
//!
//! Engines run requests in order of arrival and have no notion of priority.
//! Requests therefore queue in the dispatcher, and an endpoint gets only as
//! many as it can run at once. Requests that can still meet their first-byte
//! deadline go before late ones; within each group they are ordered by tier,
//! then class, then the time left.

mod choice;
mod fairness;
mod kind;
pub mod limit;
mod member;
mod model;
pub mod overload;
mod queue;
pub mod rejection;
mod retry;
mod schedule;
pub mod slow_start;
pub mod speed;
mod statement;

use std::{
    collections::{BTreeMap, HashMap},
    mem,
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};

pub use self::statement::NoticeChange;
use self::{
    choice::{Selection, has_candidate},
    member::Member,
    queue::{MIN_DRAIN_PER_SLOT, Queue, Unserved},
};
use crate::{
    endpoint::{self, Standing},
    id,
    notice::Departures,
    refusal::{self, Refusal},
    rollout::Filter,
    share::Reports,
    time,
};

/// Maximum number of requests queued for one service at one node.
const MAX_QUEUED_REQUESTS: usize = 2000;

/// Maximum number of queued requests considered for each free slot.
const MAX_LOOKAHEAD: usize = 16;

/// Time reserved for network transit between data centres and processing in the
/// node, subtracted from the time that an endpoint has to answer.
const TRANSIT_MARGIN: Duration = Duration::from_millis(15);

/// Minimum and maximum `retry_after` of a refusal, before random spread.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(4));

/// Highest random factor on the time to come back, so that callers do not return together.
const RETRY_SPREAD: f64 = 1.25;

/// Divisor of a request's remaining time that yields the latest `retry_after`
/// with which a retry can still be served.
const RETRY_DIVISOR: u32 = 3;

/// Multiple of its expected time in which nearly every answer is complete.
const LONGEST_FACTOR: u32 = 3;

/// Settings of a dispatcher.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// The node's data centre.
    pub data_centre: id::DataCentre,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// What the dispatcher needs to know about a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The service that it is for.
    pub service: id::Service,
    /// Its route, whose requests take similar times; empty if unknown.
    pub route: id::Route,
    /// Its tier.
    pub tier: id::Tier,
    /// Its priority among requests of the same tier.
    pub class: id::Tier,
    /// Prompt tokens; zero for a service that is not a model engine.
    pub prompt: u64,
    /// Expected tokens of its answer.
    pub expected_output: u64,
    /// Longest allowed pause between two events of its stream.
    pub max_pause: Option<Duration>,
    /// Latest time at which its first byte counts as on time.
    pub first_byte_due: time::Instant,
    /// Time at which the caller gives up if no byte has arrived.
    pub caller_leaves_at: time::Instant,
    /// Time by which the answer must be complete.
    pub deadline: time::Instant,
    /// Endpoints that it was already sent to and must not be sent to again.
    pub excluded: Vec<id::Endpoint>,
    /// The software version that must serve it; `None` if any may.
    pub version: Option<id::Version>,
    /// Whether its stream may be resumed at another endpoint, which must run the
    /// same software version.
    pub resumable: bool,
    /// The workspace of its caller; `None` if unknown.
    pub workspace: Option<id::Workspace>,
    /// Equal when the same caller sends the same request again; `None` if unknown.
    pub fingerprint: Option<id::Fingerprint>,
    /// The versions that may serve it while a roll-out runs.
    pub version_filter: Filter,
}

/// Timing of the events in a completed answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Timing {
    /// Number of events.
    pub events: u64,
    /// Longest pause between two events.
    pub longest_pause: Duration,
}

/// How a request at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer arrived completely.
    Answered(Timing),
    /// The caller left or the request timed out.
    Cancelled,
    /// The endpoint answered with an error.
    Failed,
    /// The endpoint rejected the request without running it.
    Rejected,
    /// The address now belongs to another endpoint.
    Misdirected,
    /// The connection to the endpoint could not be established.
    Unreachable,
    /// The endpoint sent nothing for so long that another one took the request over.
    Silent,
    /// The connection broke.
    Broken,
}

/// An action that the caller of the dispatcher must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send the request to the chosen endpoint.
    Send(id::Request, Choice),
    /// Refuse the request.
    Refuse(id::Request, Refusal),
}

/// The endpoint chosen for a request, with the figures that the choice was
/// based on.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// Its address, `ip:port`.
    pub address: String,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// The software version that it runs; `None` if unknown.
    pub version: Option<id::Version>,
    /// Requests of this node at the endpoint, including this one.
    pub own_requests: u32,
    /// Requests of other nodes at the endpoint, by their last reports.
    pub other_requests: u32,
    /// Requests that the endpoint runs at once.
    pub capacity: u32,
    /// Expected time to the first byte.
    pub expected_first_byte: Duration,
    /// Requests queued at this node for the same service.
    pub waiting: usize,
}

/// Load of one node on one endpoint, as reported to the other nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests in flight.
    pub requests: u32,
    /// Prompt tokens of requests still waiting for their first byte.
    pub pending: u64,
    /// Mean time between two events, over the streams that ended since the last
    /// report; `None` if none ended.
    pub event_interval: Option<Duration>,
}

impl Load {
    /// Adds the requests of another node; a sum that is too large for its type is the largest
    /// number.
    pub fn add(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.pending = self.pending.saturating_add(other.pending);
    }
}

/// A request in flight at an endpoint.
#[derive(Clone, Debug)]
struct InFlight {
    request: Request,
    endpoint: id::Endpoint,
    sent_at: time::Instant,
    /// When the first byte of the answer was received; `None` until then.
    first_byte_at: Option<time::Instant>,
    /// Whether another node placed the request and reports it as its own load.
    delegated: bool,
}

impl InFlight {
    /// Returns whether its caller has given up by now, as no byte arrived.
    fn is_abandoned(&self, now: time::Instant) -> bool {
        self.first_byte_at.is_none() && now + TRANSIT_MARGIN >= self.request.caller_leaves_at
    }
}

/// Queues a node's requests and decides which endpoint each is sent to.
#[derive(Debug)]
pub struct Dispatcher {
    settings: Settings,
    /// The listed endpoints, and those that still run requests.
    members: BTreeMap<id::Endpoint, Member>,
    queues: BTreeMap<id::Service, Queue>,
    in_flight: HashMap<id::Request, InFlight>,
    /// Last load reported by each other node.
    peer_loads: HashMap<id::Node, HashMap<id::Endpoint, Load>>,
    /// Demand that the other nodes reported for endpoints with a limit.
    limit_reports: Reports<id::Endpoint>,
    /// Endpoints that said that they leave.
    departures: Departures,
    /// Nodes that share the endpoints, this one included.
    node_count: usize,
    /// Requests that were accepted to show how long they take.
    trials: usize,
    rng: SmallRng,
    /// Slow starts that began or ended and were not taken yet.
    slow_starts: Vec<slow_start::Change>,
    /// Effects of the current call, returned at its end.
    effects: Vec<Effect>,
}

impl Dispatcher {
    /// Creates a dispatcher without endpoints.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(settings.seed),
            settings,
            members: BTreeMap::new(),
            queues: BTreeMap::new(),
            in_flight: HashMap::new(),
            peer_loads: HashMap::new(),
            limit_reports: Reports::default(),
            departures: Departures::default(),
            node_count: 1,
            trials: 0,
            slow_starts: Vec::new(),
            effects: Vec::new(),
        }
    }

    /// Replaces the list of endpoints. Endpoints that are no longer listed get
    /// no new requests and are dropped once their requests have ended.
    pub fn set_endpoints(
        &mut self,
        now: time::Instant,
        records: Vec<endpoint::Record>,
    ) -> Vec<Effect> {
        for member in self.members.values_mut() {
            member.listed = false;
        }
        let mut added = Vec::new();
        for record in records {
            if let Some(member) = self.members.get_mut(&record.id) {
                member.update(record);
                continue;
            }
            added.push(record.id.clone());
            self.members.insert(record.id.clone(), Member::new(record));
        }
        for name in added {
            self.begin_slow_start(now, &name, slow_start::Cause::Listed);
        }
        self.update_shares();
        self.members
            .retain(|_, member| member.listed || member.own_requests > 0);
        self.departures.expire(now);
        self.update_departures();
        self.assume_tolerances(now);
        self.refuse_without_candidate(now);
        self.dispatch_all(now);
        mem::take(&mut self.effects)
    }

    /// Sets the other nodes of the cluster and with them the number of nodes
    /// that share the endpoints (see [`Self::set_node_count`]).
    pub fn set_peers(&mut self, nodes: &[id::Node]) {
        self.set_node_count(nodes.len() + 1);
        self.peer_loads.retain(|node, _| nodes.contains(node));
        self.sum_peer_loads();
    }

    /// Replaces the load reported by another node.
    pub fn record_peer_load(
        &mut self,
        now: time::Instant,
        node: &id::Node,
        loads: HashMap<id::Endpoint, Load>,
    ) -> Vec<Effect> {
        for (name, load) in &loads {
            if let (Some(member), Some(event_interval)) =
                (self.members.get_mut(name), load.event_interval)
            {
                member
                    .speed
                    .event_interval
                    .record(event_interval.as_secs_f64());
            }
        }
        self.peer_loads.insert(node.clone(), loads);
        self.update_speeds();
        self.sum_peer_loads();
        self.dispatch_all(now);
        mem::take(&mut self.effects)
    }

    /// Returns the load that these nodes reported, by endpoint.
    #[must_use]
    pub fn reported_load<'a>(
        &self,
        nodes: impl IntoIterator<Item = &'a id::Node>,
    ) -> BTreeMap<id::Endpoint, Load> {
        let mut sums: BTreeMap<id::Endpoint, Load> = BTreeMap::new();
        for loads in nodes
            .into_iter()
            .filter_map(|node| self.peer_loads.get(node))
        {
            for (name, load) in loads {
                let sum = sums.entry(name.clone()).or_default();
                sum.add(*load);
            }
        }
        sums
    }

    /// Drops the reported load of a node whose reports have stopped.
    pub fn forget_peer(&mut self, node: &id::Node) {
        if self.peer_loads.remove(node).is_some() {
            self.sum_peer_loads();
        }
    }

    /// Returns this node's load for the next report to the other nodes and
    /// starts a new averaging period for the mean time between events.
    pub fn take_load(&mut self) -> Vec<(id::Endpoint, Load)> {
        let mut loads = Vec::new();
        for member in self.members.values_mut() {
            let load = member.take_load();
            if load != Load::default() {
                loads.push((member.record.id.clone(), load));
            }
        }
        loads
    }

    /// Queues a request, or refuses it if it can't be served in time.
    pub fn submit(&mut self, now: time::Instant, id: id::Request, request: Request) -> Vec<Effect> {
        let Some(queue) = self.queues.get_mut(&request.service) else {
            self.refuse(id, refusal::Reason::NoEndpoint, RETRY_AFTER.0 * 2);
            return mem::take(&mut self.effects);
        };
        if !has_candidate(now, &self.members, queue, &request) {
            self.refuse(id, refusal::Reason::NoEndpoint, RETRY_AFTER.0 * 2);
            return mem::take(&mut self.effects);
        }
        let service = request.service.clone();
        queue.record_arrival(now, &request);
        let is_infeasible = queue.is_infeasible(now, &request);
        let is_trial = is_infeasible && queue.allows_trial(now, &request);
        if queue.len() >= MAX_QUEUED_REQUESTS || (is_infeasible && !is_trial) {
            let reason = if queue.len() >= MAX_QUEUED_REQUESTS {
                refusal::Reason::Overload
            } else {
                refusal::Reason::Deadline
            };
            self.refuse_request(now, id, &request, reason);
            return mem::take(&mut self.effects);
        }
        if is_trial {
            self.trials += 1;
            queue.push_trial(now, id, request);
        } else {
            queue.admit_return(now, id, &request);
            queue.push(now, id, request);
        }
        self.dispatch(now, &service);
        self.plan(now, &service);
        mem::take(&mut self.effects)
    }

    /// Refuses queued requests of a service that will not be served, and orders the others.
    fn plan(&mut self, now: time::Instant, service: &id::Service) {
        let Some(queue) = self.queues.get_mut(service) else {
            return;
        };
        if !queue.is_plan_due(now) {
            return;
        }
        let seconds = queue.mean_work();
        let members = queue.endpoints.iter();
        let members = members.filter_map(|name| self.members.get(name));
        // Leaving and avoided endpoints take nothing; those in slow start soon take more.
        let members = members.filter(|member| {
            member.standing() == Standing::Live && member.avoided_for(now).is_zero()
        });
        let places: f64 = members
            .map(|member| member.usable_capacity(seconds, MIN_DRAIN_PER_SLOT))
            .sum();
        let own_places = places / f64::from(u32::try_from(self.node_count).unwrap_or(u32::MAX));
        for unserved in queue.plan(now, places, own_places) {
            let Unserved { id, request } = unserved;
            self.refuse_request(now, id, &request, refusal::Reason::Deadline);
        }
    }

    /// Records a request that another node placed. `delegated` is true if that
    /// node still reports the request as its own load. Returns false if, as far
    /// as this node knows, the endpoint takes no new requests or runs another
    /// version than the request needs.
    ///
    /// # Panics
    ///
    /// Panics if the request is already in flight.
    pub fn adopt(
        &mut self,
        now: time::Instant,
        id: id::Request,
        request: Request,
        endpoint: &id::Endpoint,
        delegated: bool,
    ) -> bool {
        let Some(member) = self.members.get_mut(endpoint) else {
            return false;
        };
        if !member.listed || !member.serves(&request) || member.is_paused(now) {
            return false;
        }
        member.own_requests += 1;
        member.own_pending_tokens += request.prompt;
        if delegated {
            member.delegated.0 += 1;
            member.delegated.1 += request.prompt;
        }
        let in_flight = InFlight {
            request,
            endpoint: endpoint.clone(),
            sent_at: now,
            first_byte_at: None,
            delegated,
        };
        let previous = self.in_flight.insert(id, in_flight);
        assert!(previous.is_none(), "request {id} was sent twice");
        true
    }

    /// Makes this node report all its requests itself, because the node that
    /// placed them is gone. Returns this node's load on each endpoint.
    pub fn count_locally(&mut self) -> Vec<(id::Endpoint, Load)> {
        for in_flight in self.in_flight.values_mut() {
            in_flight.delegated = false;
        }
        let mut loads = Vec::new();
        for member in self.members.values_mut() {
            member.delegated = (0, 0);
            let load = member.load();
            if load != Load::default() {
                loads.push((member.record.id.clone(), load));
            }
        }
        loads
    }

    /// Sets the number of nodes that share the endpoints. The wait of a new
    /// request is estimated with an equal part of their capacity for this node.
    pub fn set_node_count(&mut self, nodes: usize) {
        self.node_count = nodes.max(1);
        self.update_shares();
    }

    /// Cancels a request that is queued or in flight.
    pub fn cancel(&mut self, now: time::Instant, id: id::Request) -> Vec<Effect> {
        if self.in_flight.contains_key(&id) {
            return self.finish(now, id, Outcome::Cancelled);
        }
        for queue in self.queues.values_mut() {
            if let Some(request) = queue.remove(id) {
                queue.end_trial(id, &request.route);
                break;
            }
        }
        Vec::new()
    }

    /// Records the first byte of an answer.
    pub fn record_first_byte(&mut self, now: time::Instant, id: id::Request) {
        let Some(in_flight) = self.in_flight.get_mut(&id) else {
            return;
        };
        if in_flight.first_byte_at.is_some() {
            return;
        }
        in_flight.first_byte_at = Some(now);
        let Some(member) = self.members.get_mut(&in_flight.endpoint) else {
            return;
        };
        let own_pending_tokens = member.own_pending_tokens;
        member.own_pending_tokens = member
            .own_pending_tokens
            .saturating_sub(in_flight.request.prompt);
        if in_flight.delegated {
            // Only the node that placed the request knows which other prompts
            // the endpoint was processing at the time.
            member.delegated.1 = member.delegated.1.saturating_sub(in_flight.request.prompt);
            return;
        }
        let took = now.since(in_flight.sent_at);
        if let Some(queue) = self.queues.get_mut(&in_flight.request.service) {
            let request = &in_flight.request;
            let lasting = member.lasting_speed(queue.mean_speed);
            let pending = own_pending_tokens.saturating_sub(request.prompt);
            let expected = queue.expectation(request).first_byte(pending, 1.0);
            let times = (took.as_secs_f64(), expected);
            let is_whole = request.expected_output == 0;
            let relative_speed = member.relative_speed(now, queue.mean_speed);
            member.speed.measure(now, times, is_whole, lasting);
            queue.model.record_first_byte(
                in_flight.request.prompt,
                own_pending_tokens,
                took,
                relative_speed,
            );
        }
    }

    /// Records the end of a request at its endpoint.
    pub fn finish(&mut self, now: time::Instant, id: id::Request, outcome: Outcome) -> Vec<Effect> {
        let Some(in_flight) = self.in_flight.remove(&id) else {
            return Vec::new();
        };
        let service = in_flight.request.service.clone();
        let is_late = self.is_late(now, &in_flight);
        if let Some(member) = self.members.get_mut(&in_flight.endpoint) {
            // Pending prompt tokens are released at the first byte.
            let unanswered_prompt = match in_flight.first_byte_at {
                None => in_flight.request.prompt,
                Some(_) => 0,
            };
            member.own_requests = member.own_requests.saturating_sub(1);
            member.own_pending_tokens = member.own_pending_tokens.saturating_sub(unanswered_prompt);
            if in_flight.delegated {
                let (requests, pending) = member.delegated;
                member.delegated = (
                    requests.saturating_sub(1),
                    pending.saturating_sub(unanswered_prompt),
                );
            }
            // An endpoint also rejects what waited there until its deadline, which shows no
            // lack of room.
            let request = &in_flight.request;
            let is_expired = now + TRANSIT_MARGIN >= request.deadline;
            let outcome = match outcome {
                Outcome::Rejected if is_expired => Outcome::Cancelled,
                other => other,
            };
            if outcome == Outcome::Rejected && !in_flight.delegated {
                // The request that ends is still in the load that peers may know.
                let load = member.running().saturating_add(1);
                member.tolerance.record_rejection(now, load);
            } else {
                member.tolerance.record_end(now);
            }
            member.record_outcome(now, outcome);
            if let Some(queue) = self.queues.get_mut(&service) {
                let took = now.since(in_flight.sent_at);
                let relative_speed = member.relative_speed(now, queue.mean_speed);
                let is_answered = matches!(outcome, Outcome::Answered(_));
                let is_missing =
                    outcome == Outcome::Cancelled && (is_expired || in_flight.is_abandoned(now));
                if is_answered || is_missing {
                    queue.record_end(now, id, request, (is_answered, took), relative_speed);
                } else {
                    // A caller that leaves early shows nothing.
                    queue.end_trial(id, &request.route);
                }
            }
            if in_flight.first_byte_at.is_none()
                && in_flight.request.expected_output == 0
                && let Some(queue) = self.queues.get_mut(&service)
            {
                let took = now.since(in_flight.sent_at);
                let relative_speed = member.relative_speed(now, queue.mean_speed);
                match outcome {
                    // The first byte of a buffered answer reaches its caller with the last.
                    Outcome::Answered(_) => {
                        let prompt = in_flight.request.prompt;
                        if !in_flight.delegated {
                            member.measure_whole(now, queue, &in_flight.request, took);
                        }
                        queue
                            .model
                            .record_first_byte(prompt, prompt, took, relative_speed);
                    }
                    Outcome::Cancelled => queue.model.record_missing(took, relative_speed),
                    _ => {}
                }
            }
            if !in_flight.delegated
                && let (Outcome::Answered(timing), Some(first_byte_at)) =
                    (outcome, in_flight.first_byte_at)
                && let Some(queue) = self.queues.get_mut(&service)
            {
                let took = now.since(first_byte_at);
                let relative_speed = member.relative_speed(now, queue.mean_speed);
                if let Some(event_interval) =
                    queue
                        .model
                        .record_answer(&in_flight.request, timing, took, relative_speed)
                {
                    member.record_event_interval(now, event_interval);
                }
            }
            if !member.listed && member.own_requests == 0 {
                self.members.remove(&in_flight.endpoint);
            }
        }
        self.update_slow_start(now, &in_flight, outcome, is_late);
        self.update_speeds();
        self.dispatch(now, &service);
        mem::take(&mut self.effects)
    }

    /// Refuses queued requests that can no longer be served in time and sends
    /// others while endpoints have room.
    pub fn tick(&mut self, now: time::Instant) -> Vec<Effect> {
        let services: Vec<id::Service> = self.queues.keys().cloned().collect();
        for service in services {
            self.plan(now, &service);
        }
        self.refuse_without_candidate(now);
        self.dispatch_all(now);
        mem::take(&mut self.effects)
    }

    /// Returns the number of requests so far that were accepted to show how long they take,
    /// although they were not expected to end in time.
    #[must_use]
    pub fn trials(&self) -> usize {
        self.trials
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queues.values().map(Queue::len).sum()
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn running(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the number of listed endpoints.
    #[must_use]
    pub fn endpoints(&self) -> usize {
        self.members.values().filter(|member| member.listed).count()
    }

    /// Returns whether an endpoint may get new requests; `None` if it is not
    /// listed.
    #[must_use]
    pub fn standing(&self, endpoint: &id::Endpoint) -> Option<Standing> {
        let member = self.members.get(endpoint)?;
        member.listed.then_some(member.standing())
    }

    /// Returns the record of an endpoint; `None` if it is unknown.
    #[must_use]
    pub fn record(&self, name: &id::Endpoint) -> Option<&endpoint::Record> {
        Some(&self.members.get(name)?.record)
    }

    /// Returns the software version of an endpoint; `None` if it or its version is
    /// unknown.
    #[must_use]
    pub fn version(&self, endpoint: &id::Endpoint) -> Option<&id::Version> {
        self.members.get(endpoint)?.record.version.as_ref()
    }

    /// Returns when the process of an endpoint started, in milliseconds since the Unix epoch;
    /// `None` if it is unknown.
    #[must_use]
    pub fn started_ms(&self, endpoint: &id::Endpoint) -> Option<u64> {
        self.members.get(endpoint)?.started_ms
    }

    /// Returns the time in which nearly all answers to requests with these tokens, of the
    /// prompt and of the expected answer, are complete; zero for an unknown service.
    #[must_use]
    pub fn longest_duration(&self, service: &id::Service, tokens: (u64, u64)) -> Duration {
        let (prompt, expected_output) = tokens;
        let queue = self.queues.get(service);
        queue.map_or(Duration::ZERO, |queue| {
            queue.model.duration(prompt, expected_output) * LONGEST_FACTOR
        })
    }

    /// Returns whether an endpoint is expected to take the request soon.
    #[must_use]
    pub fn has_candidate(&self, now: time::Instant, request: &Request) -> bool {
        let queue = self.queues.get(&request.service);
        queue.is_some_and(|queue| has_candidate(now, &self.members, queue, request))
    }

    /// Returns whether a listed endpoint has this address, `ip:port`.
    #[must_use]
    pub fn has_address(&self, address: &str) -> bool {
        let mut members = self.members.values();
        members.any(|member| member.listed && member.record.address == address)
    }

    /// Returns the addresses of endpoints that have requests of this node, `most` of
    /// them.
    #[must_use]
    pub fn busy_addresses(&self, most: usize) -> Vec<String> {
        let mut busy = Vec::new();
        for member in self.members.values() {
            if busy.len() < most && member.own_requests > 0 {
                busy.push(member.record.address.clone());
            }
        }
        busy
    }

    /// Returns the listed endpoints of a data centre that take new requests.
    #[must_use]
    pub fn live_endpoints(&self, data_centre: &id::DataCentre) -> Vec<endpoint::Record> {
        let mut live = Vec::new();
        for member in self.members.values() {
            let record = &member.record;
            if !member.listed
                || member.standing() != Standing::Live
                || record.data_centre != *data_centre
            {
                continue;
            }
            live.push(record.clone());
        }
        live
    }

    fn dispatch_all(&mut self, now: time::Instant) {
        let busy = self.queues.iter().filter(|(_, queue)| queue.len() > 0);
        let busy: Vec<id::Service> = busy.map(|(service, _)| service.clone()).collect();
        for service in busy {
            self.dispatch(now, &service);
        }
    }

    /// Updates the speed of the fastest live endpoint of a service at this moment, if its
    /// endpoints report it.
    fn update_present_speed(&mut self, now: time::Instant, service: &id::Service) {
        let Some(queue) = self.queues.get_mut(service) else {
            return;
        };
        if !queue.states_load {
            return;
        }
        let mean = queue.mean_speed;
        let speed = |member: &Member| member.relative_speed(now, mean);
        queue.fastest_now = fastest(&self.members, queue, speed);
    }

    /// Refuses queued requests that need a version of which no endpoint is left.
    fn refuse_without_candidate(&mut self, now: time::Instant) {
        let mut refused = Vec::new();
        for queue in self.queues.values_mut() {
            for id in queue.bound() {
                let Some(request) = queue.get(id) else {
                    continue;
                };
                if !has_candidate(now, &self.members, queue, request) {
                    queue.remove(id);
                    refused.push(id);
                }
            }
        }
        for id in refused {
            self.refuse(id, refusal::Reason::NoEndpoint, RETRY_AFTER.0 * 2);
        }
    }

    /// Sends queued requests of a service while endpoints have room.
    fn dispatch(&mut self, now: time::Instant, service: &id::Service) {
        self.accrue_permits(now, service);
        self.update_present_speed(now, service);
        loop {
            let Some(queue) = self.queues.get_mut(service) else {
                return;
            };
            if queue.len() == 0 {
                return;
            }
            queue.demote(now, MAX_LOOKAHEAD);
            let mut sent = false;
            let Some(queue) = self.queues.get(service) else {
                return;
            };
            let open = self.open_members(now, queue);
            let is_placeable = |request: &Request| self.is_placeable(now, queue, &open, request);
            for (timeliness, id) in queue.head(MAX_LOOKAHEAD, is_placeable) {
                let Some(queue) = self.queues.get(service) else {
                    return;
                };
                let Some(request) = queue.get(id) else {
                    continue;
                };
                let selection = self.choose(now, queue, (id, request), timeliness);
                match selection {
                    Selection::At(name, first_byte_secs) => {
                        self.send(now, service, id, &name, first_byte_secs);
                        sent = true;
                        break;
                    }
                    Selection::Wait => {}
                    Selection::Full => return,
                }
            }
            if !sent {
                return;
            }
        }
    }

    fn send(
        &mut self,
        now: time::Instant,
        service: &id::Service,
        id: id::Request,
        name: &id::Endpoint,
        first_byte_secs: f64,
    ) {
        // `choose` drew from a copy of the generator; this advances it.
        self.rng.random::<u64>();
        let Some(queue) = self.queues.get_mut(service) else {
            return;
        };
        let Some(request) = queue.send(now, id) else {
            return;
        };
        let waiting = queue.len();
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        member.own_requests += 1;
        member.own_pending_tokens += request.prompt;
        member.limit.spend();
        member.tolerance.record_send(now);
        let choice = Choice {
            endpoint: name.clone(),
            address: member.record.address.clone(),
            data_centre: member.record.data_centre.clone(),
            version: member.record.version.clone(),
            own_requests: member.own_requests,
            other_requests: member.peer_load.requests,
            capacity: member.capacity(),
            expected_first_byte: Duration::from_secs_f64(first_byte_secs.clamp(0.0, 3600.0)),
            waiting,
        };
        let in_flight = InFlight {
            request,
            endpoint: name.clone(),
            sent_at: now,
            first_byte_at: None,
            delegated: false,
        };
        let previous = self.in_flight.insert(id, in_flight);
        assert!(previous.is_none(), "request {id} was sent twice");
        self.effects.push(Effect::Send(id, choice));
    }

    /// Refuses a request for lack of capacity, with a time to come back at which capacity is
    /// expected to be free and the retry can still be served, and remembers it.
    fn refuse_request(
        &mut self,
        now: time::Instant,
        id: id::Request,
        request: &Request,
        reason: refusal::Reason,
    ) {
        let latest = request.deadline.since(now) / RETRY_DIVISOR;
        // Leaves room for the random spread.
        let latest = latest.min(RETRY_AFTER.1).div_f64(RETRY_SPREAD);
        let spread = self.rng.random_range(1.0..RETRY_SPREAD);
        let mut retry_after = latest;
        if let Some(queue) = self.queues.get_mut(&request.service) {
            let wait = queue.promise_return(now, request, (RETRY_AFTER.0, latest));
            retry_after = wait.mul_f64(spread);
            queue.expect_return(now, request, now + retry_after);
        }
        let refusal = Refusal {
            reason,
            retry_after,
        };
        self.effects.push(Effect::Refuse(id, refusal));
    }

    fn refuse(&mut self, id: id::Request, reason: refusal::Reason, delay: Duration) {
        let spread = self.rng.random_range(1.0..1.25);
        let retry_after = delay.clamp(RETRY_AFTER.0, RETRY_AFTER.1).mul_f64(spread);
        let refusal = Refusal {
            reason,
            retry_after,
        };
        self.effects.push(Effect::Refuse(id, refusal));
    }

    /// Updates the mean speed of each service's endpoints, and the speed of its fastest one.
    fn update_speeds(&mut self) {
        for queue in self.queues.values_mut() {
            let members = queue.endpoints.iter();
            let members = members.filter_map(|name| self.members.get(name));
            queue.mean_speed = speed::Mean::of(members.map(|member| &member.speed));
            let mean = queue.mean_speed;
            let speed = |member: &Member| member.lasting_speed(mean);
            queue.fastest = fastest(&self.members, queue, speed);
        }
    }

    /// Groups the listed endpoints by service.
    fn group_by_service(&mut self) {
        for queue in self.queues.values_mut() {
            queue.endpoints.clear();
            queue.versions.clear();
        }
        for member in self.members.values() {
            if !member.listed {
                continue;
            }
            let queue = self
                .queues
                .entry(member.record.service.clone())
                .or_default();
            queue.endpoints.push(member.record.id.clone());
            if member.standing() == Standing::Live
                && let Some(version) = &member.record.version
            {
                *queue.versions.entry(version.clone()).or_default() += 1;
            }
        }
    }

    /// Adds up the load that the other nodes reported for each endpoint.
    fn sum_peer_loads(&mut self) {
        for member in self.members.values_mut() {
            member.peer_load = Load::default();
        }
        for loads in self.peer_loads.values() {
            for (name, load) in loads {
                let Some(member) = self.members.get_mut(name) else {
                    continue;
                };
                member.peer_load.add(*load);
            }
        }
    }
}

/// Returns the highest speed of the live endpoints of a service; `None` if there is none.
fn fastest(
    members: &BTreeMap<id::Endpoint, Member>,
    queue: &Queue,
    speed: impl Fn(&Member) -> f64,
) -> Option<f64> {
    let members = queue.endpoints.iter().filter_map(|name| members.get(name));
    let live = members.filter(|member| member.standing() == Standing::Live);
    live.map(speed).reduce(f64::max)
}

//! The gate before the endpoints: which request goes where, and when.
//!
//! Engines admit in order of arrival and know no priorities, so requests wait
//! here and an endpoint gets no more than it runs at once. A request that can
//! still be on time goes before one that is late; among equals the tier
//! decides, then the time that is left.

mod learn;
mod line;
mod member;

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use self::{
    line::{Lane, Line},
    member::Member,
};
use crate::{
    endpoint::{self, Standing},
    id,
    refusal::{self, Refusal},
    time,
};

/// Requests that may wait for one service at one node.
const MAX_WAITING: usize = 2000;

/// Waiting requests that are looked at for one free place.
const LOOK_AHEAD: usize = 16;

/// Time that an answer takes on the way between data centres and in the node,
/// taken off the time that an endpoint has.
const MARGIN: Duration = Duration::from_millis(15);

/// Time by which an endpoint of another data centre must be faster.
const DISTANCE: f64 = 0.07;

/// Random time added to each estimate, so that nodes that know the same do not
/// all choose the same endpoint, seconds.
const JITTER: f64 = 0.006;

/// Weight of an endpoint's whole time on a request against the time to its
/// first byte.
const DURATION_WEIGHT: f64 = 0.1;

/// Time that a stream counts for which would pause for too long, seconds.
const DISTURBANCE: f64 = 0.15;

/// Part of the longest pause from which on a stream may be late.
const DISTURBANCE_FROM: f64 = 0.7;

/// Time that the last place of an endpoint of mean speed counts for, so that
/// the places of fast endpoints are kept for work that needs them, seconds.
const RESERVE: f64 = 0.05;

/// Time between two ends at a full endpoint up to which it gets one request in
/// advance, seconds: the news of an end and the next request take 10 ms between
/// data centres, and more would hold up urgent work (`test_gate`).
const NEXT_PLACE: f64 = 0.06;

/// Time that an answer counts for which would not be whole by its deadline,
/// seconds.
const UNFINISHED: f64 = 2.0;

/// Time that a likely failure counts for, seconds.
const FAILURE_COST: f64 = 1.5;

/// Shortest and longest time to come back after a refusal.
const RETRY: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(4));

/// Time that a backlog needs to go down which kept a request to the end.
const BACKLOG: Duration = Duration::from_secs(2);

/// Part of its remaining time after which a caller can come back and still be
/// served.
const COMEBACK_PART: u32 = 3;

/// What a gate needs to know of its own node.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// The node's data centre.
    pub data_centre: id::DataCentre,
    /// Seed of every random choice.
    pub seed: u64,
}

/// A request as the gate sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// The service that must serve it.
    pub service: id::Service,
    /// Its tier.
    pub tier: id::Tier,
    /// Its rank among requests of the same tier.
    pub class: id::Tier,
    /// Tokens of its prompt; none for a plain service.
    pub prompt: u64,
    /// Tokens of its answer, as far as they can be expected.
    pub output: u64,
    /// Longest pause between two events that is on time.
    pub pause: Option<Duration>,
    /// When its first byte is on time.
    pub due: time::Instant,
    /// When its caller leaves without a first byte.
    pub first_by: time::Instant,
    /// When its answer is of no more use.
    pub deadline: time::Instant,
    /// Endpoints that it was already sent to.
    pub avoid: Vec<id::Endpoint>,
}

/// How the events of an answer came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flow {
    /// Number of events.
    pub events: u64,
    /// Longest pause between two of them.
    pub pause: Duration,
}

/// How a request at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer came.
    Answered(Flow),
    /// The caller left or the time was over.
    Cancelled,
    /// The endpoint answered with an error of its own.
    Failed,
    /// The endpoint said that it did not run it.
    Rejected,
    /// Another endpoint has its address.
    Misdirected,
    /// The endpoint could not be reached.
    Unreachable,
    /// The connection broke or nothing came in time.
    Broken,
}

/// What has to be done about a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send it to this endpoint.
    Send(id::Request, Choice),
    /// Refuse it.
    Refuse(id::Request, Refusal),
}

/// An endpoint that was chosen, with what the choice was based on.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// Its address, `ip:port`.
    pub address: String,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Requests of this node there, this one included.
    pub own: u32,
    /// Requests of other nodes there, as they last said.
    pub others: u32,
    /// Places of the endpoint.
    pub places: u32,
    /// Expected time to the first byte.
    pub first: Duration,
    /// Requests that wait at this node for the same service.
    pub waiting: usize,
}

/// Requests that one node has at one endpoint, as it tells the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// Requests in flight.
    pub requests: u32,
    /// Prompt tokens without a first byte yet.
    pub pending: u64,
    /// Mean time between two events of the streams that ended since this was
    /// last told.
    pub pace: Option<Duration>,
}

/// A request that was sent.
#[derive(Clone, Debug)]
struct Flight {
    ask: Ask,
    endpoint: id::Endpoint,
    sent: time::Instant,
    first: Option<time::Instant>,
    /// Whether another node decided on it and counts it.
    delegated: bool,
}

/// The gate of one node.
#[derive(Debug)]
pub struct Gate {
    settings: Settings,
    members: BTreeMap<id::Endpoint, Member>,
    services: BTreeMap<id::Service, Line>,
    flights: HashMap<id::Request, Flight>,
    peers: HashMap<id::Node, HashMap<id::Endpoint, Held>>,
    nodes: usize,
    rng: SmallRng,
    effects: Vec<Effect>,
}

impl Gate {
    /// Builds a gate that knows no endpoint.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(settings.seed),
            settings,
            members: BTreeMap::new(),
            services: BTreeMap::new(),
            flights: HashMap::new(),
            peers: HashMap::new(),
            nodes: 1,
            effects: Vec::new(),
        }
    }

    /// Takes over the endpoints; those left out get nothing more.
    pub fn list(&mut self, now: time::Instant, records: Vec<endpoint::Record>) -> Vec<Effect> {
        for member in self.members.values_mut() {
            member.listed = false;
        }
        for record in records {
            if let Some(member) = self.members.get_mut(&record.id) {
                member.update(record);
                continue;
            }
            self.members.insert(record.id.clone(), Member::new(record));
        }
        self.members
            .retain(|_, member| member.listed || member.own > 0);
        self.index();
        self.pump_all(now);
        std::mem::take(&mut self.effects)
    }

    /// Takes over which other nodes there are.
    pub fn join(&mut self, nodes: &[id::Node]) {
        self.share(nodes.len() + 1);
        self.peers.retain(|node, _| nodes.contains(node));
        self.count_others();
    }

    /// Takes over what another node holds.
    pub fn hear(
        &mut self,
        now: time::Instant,
        node: &id::Node,
        held: HashMap<id::Endpoint, Held>,
    ) -> Vec<Effect> {
        for (name, held) in &held {
            if let (Some(member), Some(pace)) = (self.members.get_mut(name), held.pace) {
                member.pace.record(pace.as_secs_f64());
            }
        }
        self.peers.insert(node.clone(), held);
        self.compare();
        self.count_others();
        self.pump_all(now);
        std::mem::take(&mut self.effects)
    }

    /// Forgets what a node held that is not heard any more.
    pub fn miss(&mut self, node: &id::Node) {
        if self.peers.remove(node).is_some() {
            self.count_others();
        }
    }

    /// Returns what this node tells the others from here on.
    pub fn held(&mut self) -> Vec<(id::Endpoint, Held)> {
        let mut told = Vec::new();
        for member in self.members.values_mut() {
            let held = member.held();
            if held != Held::default() {
                told.push((member.record.id.clone(), held));
            }
        }
        told
    }

    /// Takes a request in.
    pub fn arrive(&mut self, now: time::Instant, request: id::Request, ask: Ask) -> Vec<Effect> {
        let Some(line) = self.services.get_mut(&ask.service) else {
            self.refuse(request, refusal::Reason::NoEndpoint, RETRY.0 * 2);
            return std::mem::take(&mut self.effects);
        };
        if is_exhausted(&self.members, line, &ask) {
            self.refuse(request, refusal::Reason::NoEndpoint, RETRY.0 * 2);
            return std::mem::take(&mut self.effects);
        }
        let service = ask.service.clone();
        let places: u32 = line
            .endpoints
            .iter()
            .filter_map(|name| self.members.get(name))
            .map(Member::places)
            .sum();
        let part = f64::from(places) / f64::from(u32::try_from(self.nodes).unwrap_or(u32::MAX));
        line.arrive(now, &ask);
        let wait = line.wait(now, &ask, part);
        if line.len() >= MAX_WAITING || line.is_hopeless(now + wait, &ask) {
            let reason = if line.len() >= MAX_WAITING {
                refusal::Reason::Overload
            } else {
                refusal::Reason::Deadline
            };
            let wait = comeback(now, &ask, wait);
            self.refuse(request, reason, wait);
            return std::mem::take(&mut self.effects);
        }
        line.push(now, request, ask);
        self.pump(now, &service);
        std::mem::take(&mut self.effects)
    }

    /// Takes over a request that another node decided on; `delegated` tells
    /// whether that node still counts it. False if the endpoint takes nothing
    /// new as far as this node knows.
    ///
    /// # Panics
    ///
    /// Panics if the request was sent before.
    pub fn adopt(
        &mut self,
        now: time::Instant,
        request: id::Request,
        ask: Ask,
        endpoint: &id::Endpoint,
        delegated: bool,
    ) -> bool {
        let Some(member) = self.members.get_mut(endpoint) else {
            return false;
        };
        if !member.listed || member.record.standing == Standing::Leaving {
            return false;
        }
        member.own += 1;
        member.pending += ask.prompt;
        if delegated {
            member.delegated.0 += 1;
            member.delegated.1 += ask.prompt;
        }
        let flight = Flight {
            ask,
            endpoint: endpoint.clone(),
            sent: now,
            first: None,
            delegated,
        };
        let previous = self.flights.insert(request, flight);
        assert!(previous.is_none(), "request {request} was sent twice");
        true
    }

    /// Counts every request at this node again, as the node that decided is
    /// gone; returns what this node has at the endpoints.
    pub fn reclaim(&mut self) -> Vec<(id::Endpoint, Held)> {
        for flight in self.flights.values_mut() {
            flight.delegated = false;
        }
        let mut told = Vec::new();
        for member in self.members.values_mut() {
            member.delegated = (0, 0);
            let load = member.load();
            if load != Held::default() {
                told.push((member.record.id.clone(), load));
            }
        }
        told
    }

    /// Takes over how many nodes share the endpoints.
    pub fn share(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// Forgets a request that waits or was just sent.
    pub fn withdraw(&mut self, now: time::Instant, request: id::Request) -> Vec<Effect> {
        if self.flights.contains_key(&request) {
            return self.end(now, request, Outcome::Cancelled);
        }
        for line in self.services.values_mut() {
            if line.remove(request).is_some() {
                break;
            }
        }
        Vec::new()
    }

    /// Records the first byte of an answer.
    pub fn start(&mut self, now: time::Instant, request: id::Request) {
        let Some(flight) = self.flights.get_mut(&request) else {
            return;
        };
        if flight.first.is_some() {
            return;
        }
        flight.first = Some(now);
        let Some(member) = self.members.get_mut(&flight.endpoint) else {
            return;
        };
        let pending = member.pending;
        member.pending = member.pending.saturating_sub(flight.ask.prompt);
        if flight.delegated {
            // Only the node that decided knows what was read beside it.
            member.delegated.1 = member.delegated.1.saturating_sub(flight.ask.prompt);
            return;
        }
        let took = now.since(flight.sent);
        if let Some(line) = self.services.get_mut(&flight.ask.service) {
            let speed = member.speed(line.typical);
            line.model.first(flight.ask.prompt, pending, took, speed);
        }
    }

    /// Records what an endpoint said of its own load.
    pub fn report(&mut self, now: time::Instant, name: &id::Endpoint, running: u32, waiting: u32) {
        if let Some(member) = self.members.get_mut(name) {
            member.reported = Some((now, running + waiting));
        }
    }

    /// Ends a request at its endpoint.
    pub fn end(
        &mut self,
        now: time::Instant,
        request: id::Request,
        outcome: Outcome,
    ) -> Vec<Effect> {
        let Some(flight) = self.flights.remove(&request) else {
            return Vec::new();
        };
        let service = flight.ask.service.clone();
        if let Some(member) = self.members.get_mut(&flight.endpoint) {
            let unread = match flight.first {
                None => flight.ask.prompt,
                Some(_) => 0,
            };
            member.own = member.own.saturating_sub(1);
            member.pending = member.pending.saturating_sub(unread);
            if flight.delegated {
                let (requests, pending) = member.delegated;
                member.delegated = (requests.saturating_sub(1), pending.saturating_sub(unread));
            }
            member.learn(now, outcome);
            if !flight.delegated
                && let (Outcome::Answered(flow), Some(first)) = (outcome, flight.first)
                && let Some(line) = self.services.get_mut(&service)
            {
                let took = now.since(first);
                let speed = member.speed(line.typical);
                if let Some(pace) = line.model.ended(&flight.ask, flow, took, speed) {
                    member.observe(pace);
                }
            }
            if !member.listed && member.own == 0 {
                self.members.remove(&flight.endpoint);
            }
        }
        self.compare();
        self.pump(now, &service);
        std::mem::take(&mut self.effects)
    }

    /// Refuses what can't be served in time any more and sends what can.
    pub fn tick(&mut self, now: time::Instant) -> Vec<Effect> {
        let mut hopeless = Vec::new();
        for line in self.services.values_mut() {
            hopeless.extend(line.hopeless(now));
        }
        for (request, ask) in hopeless {
            let wait = comeback(now, &ask, BACKLOG);
            self.refuse(request, refusal::Reason::Deadline, wait);
        }
        self.pump_all(now);
        std::mem::take(&mut self.effects)
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.services.values().map(Line::len).sum()
    }

    /// Returns the number of requests at endpoints.
    #[must_use]
    pub fn running(&self) -> usize {
        self.flights.len()
    }

    /// Returns the number of listed endpoints.
    #[must_use]
    pub fn endpoints(&self) -> usize {
        self.members.values().filter(|member| member.listed).count()
    }

    fn pump_all(&mut self, now: time::Instant) {
        let busy = self.services.iter().filter(|(_, line)| line.len() > 0);
        let busy: Vec<id::Service> = busy.map(|(service, _)| service.clone()).collect();
        for service in busy {
            self.pump(now, &service);
        }
    }

    /// Sends waiting requests of a service as long as there is room.
    fn pump(&mut self, now: time::Instant, service: &id::Service) {
        loop {
            let Some(line) = self.services.get_mut(service) else {
                return;
            };
            line.demote(now);
            let mut sent = false;
            for (lane, request) in line.first(LOOK_AHEAD) {
                let Some(line) = self.services.get(service) else {
                    return;
                };
                let Some(ask) = line.get(request) else {
                    continue;
                };
                let choice = self.choose(now, line, ask, lane);
                match choice {
                    Pick::At(name, first) => {
                        self.send(now, service, request, &name, first);
                        sent = true;
                        break;
                    }
                    Pick::Wait => {}
                    Pick::Full => return,
                }
            }
            if !sent {
                return;
            }
        }
    }

    /// Chooses an endpoint for a request.
    fn choose(&self, now: time::Instant, queue: &Line, ask: &Ask, lane: Lane) -> Pick {
        let left = (ask.due - MARGIN).since(now).as_secs_f64();
        let whole = (ask.deadline - MARGIN).since(now).as_secs_f64();
        let mut best: Option<(f64, f64, &id::Endpoint)> = None;
        let mut room = false;
        let mut rng = self.rng.clone();
        for name in &queue.endpoints {
            let Some(member) = self.members.get(name) else {
                continue;
            };
            let speed = member.speed(queue.typical);
            let Some(wait) = next_place(now, queue, member, speed) else {
                continue;
            };
            room = true;
            if ask.avoid.contains(name) {
                continue;
            }
            let first = wait + queue.model.first_byte(ask.prompt, member.pending(), speed);
            let distance = if member.record.data_centre == self.settings.data_centre {
                0.0
            } else {
                DISTANCE
            };
            let missed = lane == Lane::OnTime && first > left;
            let rest = queue.model.rest(ask) / speed;
            if missed {
                continue;
            }
            let unfinished = if first + rest > whole {
                UNFINISHED
            } else {
                0.0
            };
            let disturbed = disturbed(queue, ask, member);
            let cost = first
                + distance
                + DURATION_WEIGHT * rest
                + DISTURBANCE * disturbed
                + unfinished
                + RESERVE * speed * member.occupancy()
                + FAILURE_COST * member.failure(now)
                + rng.random_range(0.0..JITTER);
            if best.is_none_or(|(least, ..)| cost < least) {
                best = Some((cost, first, name));
            }
        }
        match best {
            Some((_, first, name)) => Pick::At(name.clone(), first),
            None if room => Pick::Wait,
            None => Pick::Full,
        }
    }

    fn send(
        &mut self,
        now: time::Instant,
        service: &id::Service,
        request: id::Request,
        name: &id::Endpoint,
        first: f64,
    ) {
        self.rng.random::<u64>();
        let Some(line) = self.services.get_mut(service) else {
            return;
        };
        let Some(ask) = line.send(now, request) else {
            return;
        };
        let waiting = line.len();
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        member.own += 1;
        member.pending += ask.prompt;
        let choice = Choice {
            endpoint: name.clone(),
            address: member.record.address.clone(),
            data_centre: member.record.data_centre.clone(),
            own: member.own,
            others: member.others.requests,
            places: member.places(),
            first: Duration::from_secs_f64(first.clamp(0.0, 3600.0)),
            waiting,
        };
        let flight = Flight {
            ask,
            endpoint: name.clone(),
            sent: now,
            first: None,
            delegated: false,
        };
        let previous = self.flights.insert(request, flight);
        assert!(previous.is_none(), "request {request} was sent twice");
        self.effects.push(Effect::Send(request, choice));
    }

    fn refuse(&mut self, request: id::Request, reason: refusal::Reason, after: Duration) {
        let spread = self.rng.random_range(1.0..1.25);
        let retry_after = after.clamp(RETRY.0, RETRY.1).mul_f64(spread);
        let refusal = Refusal {
            reason,
            retry_after,
        };
        self.effects.push(Effect::Refuse(request, refusal));
    }

    /// Brings the mean pace of each service up to date.
    fn compare(&mut self) {
        for line in self.services.values_mut() {
            let members = line.endpoints.iter();
            let paces = members.filter_map(|name| self.members.get(name)?.pace.get());
            let (mut sum, mut count) = (0.0, 0.0);
            for pace in paces {
                sum += pace;
                count += 1.0;
            }
            line.typical = (count > 0.0).then_some(sum / count);
        }
    }

    /// Groups the endpoints by service.
    fn index(&mut self) {
        for line in self.services.values_mut() {
            line.endpoints.clear();
        }
        for member in self.members.values() {
            if !member.listed {
                continue;
            }
            let line = self
                .services
                .entry(member.record.service.clone())
                .or_default();
            line.endpoints.push(member.record.id.clone());
        }
    }

    /// Adds up what the other nodes hold.
    fn count_others(&mut self) {
        for member in self.members.values_mut() {
            member.others = Held::default();
        }
        for held in self.peers.values() {
            for (name, held) in held {
                let Some(member) = self.members.get_mut(name) else {
                    continue;
                };
                member.others.requests += held.requests;
                member.others.pending += held.pending;
            }
        }
    }
}

/// Where a waiting request can go.
enum Pick {
    /// To this endpoint, with its expected time to the first byte in seconds.
    At(id::Endpoint, f64),
    /// To none that has room.
    Wait,
    /// No endpoint has room.
    Full,
}

/// Returns the seconds until an endpoint has a place; none if that is too long.
fn next_place(now: time::Instant, line: &Line, member: &Member, speed: f64) -> Option<f64> {
    let (taken, places) = (member.taken(now)?, member.places());
    if taken < places {
        return Some(0.0);
    }
    let wait = line.model.typical() / (speed * f64::from(places));
    (taken == places && wait > 0.0 && wait <= NEXT_PLACE).then_some(wait)
}

/// Returns the number of streams at an endpoint that would pause for too
/// long while it reads the request's prompt.
fn disturbed(line: &Line, ask: &Ask, member: &Member) -> f64 {
    let Some(pause) = ask.pause else {
        return 0.0;
    };
    let pause = pause.as_secs_f64();
    let speed = member.speed(line.typical);
    let longest = line.model.pause(ask.prompt, member.pending(), speed);
    let part = (longest / pause - DISTURBANCE_FROM) / (1.0 - DISTURBANCE_FROM);
    part.clamp(0.0, 1.0) * f64::from(member.running())
}

/// Returns whether a request was sent to every endpoint that could take it.
fn is_exhausted(members: &BTreeMap<id::Endpoint, Member>, line: &Line, ask: &Ask) -> bool {
    if ask.avoid.is_empty() {
        return false;
    }
    let mut names = line.endpoints.iter();
    !names.any(|name| {
        let member = members.get(name);
        !ask.avoid.contains(name)
            && member.is_some_and(|member| member.record.standing == Standing::Live)
    })
}

/// Returns when a refused caller should come back: once the backlog is gone,
/// and early enough to be served.
fn comeback(now: time::Instant, ask: &Ask, wait: Duration) -> Duration {
    let latest = ask.deadline.since(now) / COMEBACK_PART;
    wait.min(latest.mul_f64(0.8))
}

//! Simulates memberships on a virtual clock and on a network that loses, delays,
//! duplicates and reorders heartbeats. One seed determines the whole run.

#![allow(dead_code, reason = "each program uses a part")]

pub mod scenario;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    ops::Range,
    time::Duration,
};

use dottereltally_lib::{
    endpoint::Standing,
    id,
    membership::{
        Effect, Host, Membership, Settings,
        heartbeat::{Heartbeat, Member, State},
    },
    time::Instant,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Timeout of an exchange without an answer: one attempt on a connection that
/// stays silent and one on a new connection.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time to fetch a configuration.
const FETCH_DELAY: Duration = Duration::from_millis(20);
/// Maximum additional delay of a late heartbeat.
const MAX_LATE_DELAY: Duration = Duration::from_secs(3);
/// Interval between two checks of a condition in [`Cluster::run_until`].
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Start of the virtual clock.
const CLOCK_START: Duration = Duration::from_hours(1);

/// Behaviour of the network towards heartbeats.
#[derive(Clone, Debug)]
pub struct Network {
    /// Probability that a heartbeat is lost.
    pub loss: f64,
    /// Probability that it arrives twice.
    pub duplicate: f64,
    /// Probability that it is late by up to three seconds.
    pub late: f64,
    /// Normal delay in milliseconds.
    pub delay: Range<u64>,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            loss: 0.0,
            duplicate: 0.0,
            late: 0.0,
            delay: 1..10,
        }
    }
}

/// Counters of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Exchanges that were started.
    pub exchanges: u64,
    /// Bytes of heartbeats, according to the size function of the cluster.
    pub bytes: u64,
    /// Times that a node dropped a process that was running.
    pub false_drops: u64,
}

/// Event on the virtual clock.
#[derive(Clone, Debug)]
enum Event {
    /// The process runs its next gossip round.
    Tick,
    /// A heartbeat arrives from the process `from_epoch` of the node `from`.
    Request {
        exchange: u64,
        from: usize,
        from_epoch: u64,
        heartbeat: Heartbeat,
    },
    /// The answer to a heartbeat of this process arrives.
    Answer { exchange: u64, heartbeat: Heartbeat },
    /// The time limit of an exchange of this process is over.
    Timeout { exchange: u64, peer: id::Node },
    /// The process has fetched a configuration of this generation.
    Fetched(id::Generation),
}

/// Scheduled event of a process; `order` breaks ties between equal times.
struct Entry {
    at: Instant,
    order: u64,
    node: usize,
    epoch: u64,
    event: Event,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// One running process.
struct Process {
    membership: Membership,
    address: String,
    generation: id::Generation,
    /// Version of the host list that the process has read.
    host_list_version: u64,
    paused: bool,
    leaving: bool,
    /// Events that arrived while the process was paused.
    backlog: Vec<Event>,
    /// Exchanges without an answer so far.
    pending: BTreeSet<u64>,
    /// Incarnations of the nodes that the process sees as live.
    live: BTreeMap<id::Node, u64>,
    /// Nodes that left, with the incarnation that did.
    left: BTreeSet<(id::Node, u64)>,
    fingerprints: Vec<(id::Fingerprint, Duration)>,
}

/// One host and the process that runs on it; `epoch` counts its processes.
struct Node {
    name: id::Node,
    data_centre: id::DataCentre,
    epoch: u64,
    process: Option<Process>,
}

/// Simulated nodes on a virtual clock.
pub struct Cluster {
    /// Behaviour of the network.
    pub network: Network,
    /// Counters of the run.
    pub counts: Counts,
    settings: Settings,
    heartbeat_size: fn(&Heartbeat) -> usize,
    now: Instant,
    /// Number of events scheduled so far.
    order: u64,
    last_exchange: u64,
    queue: BinaryHeap<Reverse<Entry>>,
    nodes: Vec<Node>,
    names: BTreeMap<id::Node, usize>,
    addresses: BTreeMap<String, usize>,
    hosts: Vec<Host>,
    host_list_version: u64,
    /// Data centres that reach only each other.
    partitioned: BTreeSet<id::DataCentre>,
    rng: SmallRng,
}

impl Cluster {
    /// Starts `count` nodes in three data centres.
    pub fn start(count: usize, settings: Settings, seed: u64) -> Self {
        let mut cluster = Self::empty(settings, seed, |_| 0);
        for index in 0..count {
            cluster.add(index);
        }
        cluster
    }

    /// Creates a cluster without nodes; `heartbeat_size` returns the bytes of a
    /// heartbeat.
    pub fn empty(settings: Settings, seed: u64, heartbeat_size: fn(&Heartbeat) -> usize) -> Self {
        Self {
            network: Network::default(),
            counts: Counts::default(),
            settings,
            heartbeat_size,
            now: Instant::default() + CLOCK_START,
            order: 0,
            last_exchange: 0,
            queue: BinaryHeap::new(),
            nodes: Vec::new(),
            names: BTreeMap::new(),
            addresses: BTreeMap::new(),
            hosts: Vec::new(),
            host_list_version: 0,
            partitioned: BTreeSet::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Adds a host with a running process.
    pub fn add(&mut self, index: usize) {
        self.nodes.push(Node {
            name: format!("entry-{index:03}").as_str().into(),
            data_centre: ["plovdiv", "stara-zagora", "haskovo"][index % 3].into(),
            epoch: 0,
            process: None,
        });
        self.restart(self.nodes.len() - 1, true);
    }

    /// Starts a new process on a host, replacing a running one. The host list
    /// gets its address if `listed`.
    pub fn restart(&mut self, node: usize, listed: bool) {
        let host = &mut self.nodes[node];
        host.epoch += 1;
        let incarnation = self.now.as_micros() / 1000;
        let address = format!("{}#{}", host.name, host.epoch);
        let local = Member {
            node: host.name.clone(),
            data_centre: host.data_centre.clone(),
            address: address.clone(),
            incarnation,
            version: 0,
            state: State::Alive,
        };
        let seed = self.rng.random();
        host.process = Some(Process {
            membership: Membership::new(self.settings.clone(), local, self.now, seed),
            address: address.clone(),
            generation: id::Generation::default(),
            host_list_version: 0,
            paused: false,
            leaving: false,
            backlog: Vec::new(),
            pending: BTreeSet::new(),
            live: BTreeMap::new(),
            left: BTreeSet::new(),
            fingerprints: Vec::new(),
        });
        self.addresses.retain(|_, other| *other != node);
        self.addresses.insert(address.clone(), node);
        self.names.insert(self.nodes[node].name.clone(), node);
        if listed {
            self.update_host_list(node, address);
        }
        let delay = self.jitter();
        self.schedule(delay, node, Event::Tick);
    }

    /// Brings the host list up to date with every running process.
    pub fn refresh_host_list(&mut self) {
        for node in 0..self.nodes.len() {
            let Some(process) = &self.nodes[node].process else {
                continue;
            };
            let address = process.address.clone();
            self.update_host_list(node, address);
        }
    }

    /// Kills a process without notice to its peers.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].process = None;
        self.nodes[node].epoch += 1;
    }

    /// Makes a process announce that it is shutting down; [`Cluster::kill`] ends it.
    pub fn leave(&mut self, node: usize) {
        let now = self.now;
        let Some(process) = &mut self.nodes[node].process else {
            return;
        };
        process.leaving = true;
        let effects = process.membership.leave(now);
        self.perform(node, effects);
    }

    /// Pauses a process; its events are queued.
    pub fn pause(&mut self, node: usize) {
        if let Some(process) = &mut self.nodes[node].process {
            process.paused = true;
        }
    }

    /// Resumes a paused process, which then handles the queued events.
    pub fn resume(&mut self, node: usize) {
        let Some(process) = &mut self.nodes[node].process else {
            return;
        };
        process.paused = false;
        for event in std::mem::take(&mut process.backlog) {
            self.schedule(Duration::ZERO, node, event);
        }
    }

    /// Partitions the network: the given data centres reach each other but none of
    /// the others. An empty list ends the partition.
    pub fn partition(&mut self, data_centres: &[&str]) {
        self.partitioned = data_centres.iter().map(|name| (*name).into()).collect();
    }

    /// Puts a configuration generation in force at one node.
    pub fn configure(&mut self, node: usize, generation: u64) {
        if let Some(process) = &mut self.nodes[node].process {
            process.generation = id::Generation(generation);
            process.membership.set_generation(process.generation);
        }
    }

    /// Gossips a fingerprint of a crashing request from one node.
    pub fn gossip_fingerprint(&mut self, node: usize, fingerprint: u64, valid: Duration) {
        let now = self.now;
        if let Some(process) = &mut self.nodes[node].process {
            let fingerprint = id::Fingerprint(fingerprint);
            process
                .membership
                .gossip_fingerprint(now, fingerprint, valid);
        }
    }

    /// Returns the number of hosts.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns whether a process runs on a host and is not leaving.
    pub fn is_up(&self, node: usize) -> bool {
        let process = self.nodes[node].process.as_ref();
        process.is_some_and(|process| !process.leaving)
    }

    /// Returns whether the process on a host is paused.
    pub fn is_paused(&self, node: usize) -> bool {
        let process = self.nodes[node].process.as_ref();
        process.is_some_and(|process| process.paused)
    }

    /// Returns a random number below `bound`.
    pub fn random(&mut self, bound: usize) -> usize {
        self.rng.random_range(0..bound)
    }

    /// Advances the virtual clock and handles the events that become due.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self
            .queue
            .peek()
            .is_some_and(|Reverse(entry)| entry.at <= end)
        {
            let Some(Reverse(entry)) = self.queue.pop() else {
                break;
            };
            self.now = entry.at;
            if self.nodes[entry.node].epoch == entry.epoch {
                self.handle(entry.node, entry.event);
            }
        }
        self.now = end;
    }

    /// Advances the virtual clock until `reached` and returns the elapsed time,
    /// or `None` if `limit` elapsed first.
    pub fn run_until(
        &mut self,
        limit: Duration,
        reached: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while !reached(self) {
            if self.now.since(start) >= limit {
                return None;
            }
            self.run(CHECK_INTERVAL);
        }
        Some(self.now.since(start))
    }

    /// Returns whether the live nodes that every running node sees are exactly
    /// the running nodes on its side of the partition.
    pub fn agrees(&self) -> bool {
        (0..self.nodes.len()).all(|node| self.disagreement(node).is_none())
    }

    /// Describes how the live nodes that a node sees differ from the expected ones;
    /// `None` if they don't, or if the node does not run or is paused or leaving.
    pub fn disagreement(&self, node: usize) -> Option<String> {
        let host = &self.nodes[node];
        let process = host.process.as_ref()?;
        if process.paused || process.leaving {
            return None;
        }
        let mut expected = BTreeSet::new();
        for other in &self.nodes {
            let up = other.process.as_ref().is_some_and(|other| !other.leaving);
            if up && self.connected(&host.data_centre, &other.data_centre) {
                expected.insert(&other.name);
            }
        }
        let seen: BTreeSet<_> = process.live.keys().collect();
        if seen == expected {
            return None;
        }
        let missing: Vec<_> = expected.difference(&seen).collect();
        let unexpected: Vec<_> = seen.difference(&expected).collect();
        Some(format!(
            "{}: missing {missing:?}, unexpected {unexpected:?}",
            host.name
        ))
    }

    /// Returns whether no running, unpaused node sees this node as live.
    pub fn is_dropped(&self, node: usize) -> bool {
        let name = &self.nodes[node].name;
        for other in &self.nodes {
            let Some(process) = &other.process else {
                continue;
            };
            let watching = !process.paused && !process.leaving && other.name != *name;
            if watching && process.live.contains_key(name) {
                return false;
            }
        }
        true
    }

    /// Returns whether every running, unpaused node has this generation or a
    /// higher one in force.
    pub fn is_configured(&self, generation: u64) -> bool {
        for node in &self.nodes {
            let Some(process) = &node.process else {
                continue;
            };
            if !process.paused && process.generation.0 < generation {
                return false;
            }
        }
        true
    }

    /// Returns whether every running node except the source has received a
    /// fingerprint.
    pub fn is_fingerprint_known(&self, source: usize, fingerprint: u64) -> bool {
        for (index, node) in self.nodes.iter().enumerate() {
            let Some(process) = &node.process else {
                continue;
            };
            let mut known = process.fingerprints.iter();
            if index != source && !known.any(|(found, _)| found.0 == fingerprint) {
                return false;
            }
        }
        true
    }

    fn connected(&self, from: &id::DataCentre, to: &id::DataCentre) -> bool {
        self.partitioned.contains(from) == self.partitioned.contains(to)
    }

    /// Sets the address of a node in the host list.
    fn update_host_list(&mut self, node: usize, address: String) {
        let name = self.nodes[node].name.clone();
        self.hosts.retain(|host| host.node != name);
        self.hosts.push(Host {
            node: name,
            address,
            standing: Standing::Live,
        });
        self.host_list_version += 1;
    }

    fn jitter(&mut self) -> Duration {
        let jitter = self.rng.random_range(0.8..1.2);
        self.settings.period.mul_f64(jitter)
    }

    fn schedule(&mut self, delay: Duration, node: usize, event: Event) {
        self.order += 1;
        self.queue.push(Reverse(Entry {
            at: self.now + delay,
            order: self.order,
            node,
            epoch: self.nodes[node].epoch,
            event,
        }));
    }

    /// Sends an event over the network to the process that runs now.
    fn send(&mut self, from: usize, to: usize, event: &Event) {
        let from = self.nodes[from].data_centre.clone();
        let to_centre = self.nodes[to].data_centre.clone();
        if !self.connected(&from, &to_centre) || self.rng.random_bool(self.network.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.network.duplicate));
        for _ in 0..copies {
            let mut delay =
                Duration::from_millis(self.rng.random_range(self.network.delay.clone()));
            if self.rng.random_bool(self.network.late) {
                delay += MAX_LATE_DELAY.mul_f64(self.rng.random());
            }
            self.schedule(delay, to, event.clone());
        }
    }

    fn handle(&mut self, node: usize, event: Event) {
        let now = self.now;
        let Some(process) = &mut self.nodes[node].process else {
            return;
        };
        if process.paused {
            process.backlog.push(event);
            return;
        }
        let effects = match event {
            Event::Tick => {
                let mut effects = Vec::new();
                if process.host_list_version != self.host_list_version {
                    process.host_list_version = self.host_list_version;
                    effects = process.membership.set_hosts(self.hosts.clone());
                }
                effects.extend(process.membership.tick(now));
                let delay = self.jitter();
                self.schedule(delay, node, Event::Tick);
                effects
            }
            Event::Request {
                exchange,
                from,
                from_epoch,
                heartbeat,
            } => {
                let (heartbeat, effects) = process.membership.handle_request(now, &heartbeat);
                self.counts.bytes += (self.heartbeat_size)(&heartbeat) as u64;
                if self.nodes[from].epoch == from_epoch {
                    self.send(
                        node,
                        from,
                        &Event::Answer {
                            exchange,
                            heartbeat,
                        },
                    );
                }
                effects
            }
            Event::Answer {
                exchange,
                heartbeat,
            } => {
                process.pending.remove(&exchange);
                process.membership.handle_answer(now, &heartbeat)
            }
            Event::Timeout { exchange, peer } => {
                if !process.pending.remove(&exchange) {
                    return;
                }
                process.membership.handle_failure(now, &peer)
            }
            Event::Fetched(generation) => {
                process.generation = process.generation.max(generation);
                process.membership.set_generation(process.generation);
                Vec::new()
            }
        };
        self.perform(node, effects);
    }

    fn perform(&mut self, node: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Exchange {
                    node: peer,
                    address,
                    heartbeat,
                } => self.exchange(node, peer, &address, heartbeat),
                Effect::Members(members) => self.record_members(node, &members),
                Effect::NewerGeneration(_, generation) => {
                    self.schedule(FETCH_DELAY, node, Event::Fetched(generation));
                }
                Effect::Fingerprints(fingerprints) => {
                    if let Some(process) = &mut self.nodes[node].process {
                        process.fingerprints.extend(fingerprints);
                    }
                }
            }
        }
    }

    fn exchange(&mut self, node: usize, peer: id::Node, address: &str, heartbeat: Heartbeat) {
        self.counts.exchanges += 1;
        self.counts.bytes += (self.heartbeat_size)(&heartbeat) as u64;
        self.last_exchange += 1;
        let exchange = self.last_exchange;
        let from_epoch = self.nodes[node].epoch;
        if let Some(process) = &mut self.nodes[node].process {
            process.pending.insert(exchange);
        }
        self.schedule(EXCHANGE_TIMEOUT, node, Event::Timeout { exchange, peer });
        if let Some(to) = self.addresses.get(address).copied()
            && self.nodes[to].process.is_some()
        {
            let request = Event::Request {
                exchange,
                from: node,
                from_epoch,
                heartbeat,
            };
            self.send(node, to, &request);
        }
    }

    /// Records the live nodes that a node sees and checks them against those it
    /// saw before: incarnations never decrease, and a node that left stays away.
    fn record_members(&mut self, node: usize, members: &[Member]) {
        let mut live = BTreeMap::new();
        for member in members {
            live.insert(member.node.clone(), member.incarnation);
        }
        let Some(observer) = &self.nodes[node].process else {
            return;
        };
        for name in observer.live.keys() {
            if live.contains_key(name) {
                continue;
            }
            let other = &self.nodes[self.names[name]];
            let connected = self.connected(&self.nodes[node].data_centre, &other.data_centre);
            let process = other.process.as_ref();
            let healthy = process.is_some_and(|process| !process.leaving && !process.paused);
            self.counts.false_drops += u64::from(connected && healthy);
        }
        let Some(observer) = &mut self.nodes[node].process else {
            return;
        };
        for (name, incarnation) in &live {
            let before = observer.live.get(name).copied().unwrap_or(0);
            assert!(
                *incarnation >= before,
                "{name} regressed from incarnation {before} to {incarnation}"
            );
            assert!(
                !observer.left.contains(&(name.clone(), *incarnation)),
                "{name} reappeared as live after it had left"
            );
        }
        for name in observer.live.keys() {
            let Some(member) = observer.membership.member(name) else {
                continue;
            };
            if member.state == State::Left {
                observer.left.insert((name.clone(), member.incarnation));
            }
        }
        observer.live = live;
    }
}

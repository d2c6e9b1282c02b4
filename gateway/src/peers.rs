//! Exchanges heartbeats with the other nodes, which carry each node's load on
//! endpoints, its use of quotas and its quarantine marks.
//!
//! [`exchange`] decides which nodes send them to each other. Heartbeats are datagrams. Each replaces the one before, so a lost one is not
//! sent again and a node that does not respond blocks no other.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use dottereltally_lib::{
    dispatcher::Load,
    exchange::{self, Role, Scope},
    id,
    quota::{Audience, Coverage},
    time,
};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use rand::seq::IteratorRandom;
use tokio::{net::UdpSocket, sync::watch, time::sleep};

use crate::{
    chain::Chain, coordinator, crashes, dialect::Dialect, directory::Node, heartbeat::Heartbeat,
    listing, logging::millis, origins, paths::Carrier, rollout, sync::lock,
};

/// Interval at which due heartbeats and silent nodes are looked for.
const TICK: Duration = Duration::from_millis(50);

/// Intervals without a heartbeat after which a node counts as silent, and the
/// shortest time for it.
const SILENCE_LIMIT: (u32, Duration) = (6, Duration::from_millis(1200));

/// Intervals without a heartbeat after which a relay or one of its nodes counts as
/// silent; there are more than two ways to replace it.
const RELAY_SILENCE_LIMIT: u32 = 3;

/// Longest time until all nodes are informed of the death of an endpoint, if this node
/// informs each of them, and if relays do. In a large fleet, heartbeats are less frequent.
const NEWS_DELAY: (Duration, Duration) = (Duration::from_secs(1), Duration::from_millis(300));

/// Heartbeats to a node of which one carries the load on endpoints, in a report on all
/// nodes: it is needed only while the node has no coordinator.
const LOAD_PERIOD: u32 = 4;

/// Nodes of each data centre that are named as ones that pass connections on.
const MAX_CARRIERS: usize = 4;

/// Time between two looks for such deaths.
const NEWS_INTERVAL: Duration = Duration::from_millis(100);

/// Largest datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 60 * 1024;

/// Messages to the actor.
#[derive(Debug)]
pub enum Message {
    /// The registered nodes, without this one.
    Registered(Vec<Node>),
    /// A heartbeat was received.
    Received(Box<Heartbeat>, SocketAddr),
    /// This node found out a death, of which the others must learn soon.
    News,
    /// Periodic timer.
    Tick,
}

/// One other node.
#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    data_centre: id::DataCentre,
    /// Whether it is in the data centre of this node.
    local: bool,
    /// Identifies its process.
    incarnation: u64,
    /// Number of the last heartbeat that was received from it.
    sequence: u64,
    /// When that heartbeat was received; `None` before the first one.
    last_received: Option<time::Instant>,
    /// Whether its heartbeats stopped.
    silent: bool,
    /// Whether it passes connections to endpoints on.
    carries: bool,
    /// Version of the exchange that it knows; `None` before its first heartbeat.
    exchange: Option<u16>,
    /// Since when heartbeats are expected from it; `None` if they are not.
    expected_since: Option<time::Instant>,
    /// Heartbeats that were sent to it.
    sent: u32,
    /// When the next heartbeat is to be sent to it.
    due: time::Instant,
}

impl Peer {
    fn new(
        address: SocketAddr,
        data_centre: id::DataCentre,
        local: bool,
        due: time::Instant,
    ) -> Self {
        Self {
            address,
            data_centre,
            local,
            incarnation: 0,
            sequence: 0,
            last_received: None,
            silent: false,
            carries: false,
            exchange: None,
            expected_since: None,
            sent: 0,
            due,
        }
    }

    /// Returns whether it is known not to know an exchange over relays.
    fn is_older(&self) -> bool {
        self.exchange
            .is_some_and(|version| version < exchange::VERSION)
    }
}

/// Actor that keeps track of the other nodes.
pub struct Peers<D>(std::marker::PhantomData<D>);

impl<D> Default for Peers<D> {
    fn default() -> Self {
        Self(std::marker::PhantomData)
    }
}

/// Arguments of the actor.
pub struct Arguments<D> {
    /// This node.
    pub own_node: Node,
    /// Sends the heartbeats.
    pub socket: Arc<UdpSocket>,
    /// State that heartbeats report, and that received ones update.
    pub chain: Arc<Chain<D>>,
    /// Receives the nodes of the data centre, the coordinator first.
    pub ranked_nodes: watch::Sender<Vec<Node>>,
    /// Receives the address for RPC of a node that knows a later step of a roll-out.
    pub later_steps: watch::Sender<Option<SocketAddr>>,
}

/// State of the actor.
pub struct State<D> {
    arguments: Arguments<D>,
    /// Identifies this process of the node.
    incarnation: u64,
    /// Number of the last heartbeat that was sent.
    sequence: u64,
    /// The other nodes: the registered ones and those that send heartbeats.
    peers: BTreeMap<id::Node, Peer>,
    registered: BTreeMap<id::Node, Node>,
    /// The coordinator of each data centre.
    coordinators: BTreeSet<id::Node>,
    /// The coordinator of this data centre, unless it is this node.
    own_coordinator: Option<id::Node>,
    /// To whom heartbeats are sent.
    exchange: exchange::Plan,
    /// The nodes whose reports on themselves or on others are used.
    reporters: BTreeSet<id::Node>,
}

impl<D: Dialect> Actor for Peers<D> {
    type Msg = Message;
    type State = State<D>;
    type Arguments = Arguments<D>;

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        arguments: Arguments<D>,
    ) -> Result<State<D>, ActorProcessingErr> {
        myself.send_interval(TICK, || Message::Tick);
        Ok(State {
            arguments,
            incarnation: rand::random(),
            sequence: 0,
            peers: BTreeMap::new(),
            registered: BTreeMap::new(),
            coordinators: BTreeSet::new(),
            own_coordinator: None,
            exchange: exchange::Plan::default(),
            reporters: BTreeSet::new(),
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Message>,
        message: Message,
        state: &mut State<D>,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            Message::Registered(nodes) => state.update_registered(nodes),
            Message::Received(heartbeat, from) => state.receive(&heartbeat, from),
            Message::News => state.advance_heartbeats(),
            Message::Tick => state.tick(),
        }
        Ok(())
    }
}

impl<D: Dialect> State<D> {
    fn now(&self) -> time::Instant {
        self.arguments.chain.clock.now()
    }

    fn update_registered(&mut self, nodes: Vec<Node>) {
        let registrations = nodes.iter();
        self.registered = registrations
            .map(|node| (node.name.clone(), node.clone()))
            .collect();
        let now = self.now();
        for node in nodes {
            let Ok(address) = node.address.parse() else {
                tracing::warn!(node = %node.name, address = node.address, "node address can't be parsed");
                continue;
            };
            let local = node.data_centre == self.arguments.own_node.data_centre;
            let peer = self.peers.entry(node.name);
            let new = || Peer::new(address, node.data_centre, local, now);
            peer.or_insert_with(new).address = address;
        }
        // A node that sends heartbeats is kept even if its registration ended.
        let registered = &self.registered;
        self.peers.retain(|name, peer| {
            registered.contains_key(name) || (peer.last_received.is_some() && !peer.silent)
        });
        self.update_members();
    }

    /// Passes the set of nodes to the retry budget and the dispatcher.
    fn update_members(&mut self) {
        let names: Vec<id::Node> = self.peers.keys().cloned().collect();
        let chain = &self.arguments.chain;
        lock(&chain.budget).set_node_count(names.len() + 1);
        chain.admission.apply(|dispatcher, _| {
            dispatcher.set_peers(&names);
            Vec::new()
        });
        self.elect_coordinators();
    }

    /// Passes the nodes that are not silent to the memory of streams, and those that pass
    /// connections on to the paths.
    fn update_candidates(&self) {
        let mut candidates = Vec::new();
        for (name, peer) in &self.peers {
            if peer.silent {
                continue;
            }
            candidates.push(origins::Candidate {
                name: name.clone(),
                data_centre: peer.data_centre.clone(),
                address: peer.address,
            });
        }
        self.arguments.chain.origins.set_nodes(candidates);
        let mut carriers = Vec::new();
        for (name, node) in &self.registered {
            let peer = self.peers.get(name);
            let Some(peer) = peer.filter(|peer| peer.carries && !peer.silent) else {
                continue;
            };
            carriers.push(Carrier {
                name: name.clone(),
                address: node.rpc_address.clone(),
                is_local: peer.local,
            });
        }
        self.arguments.chain.paths.set_carriers(carriers);
    }

    /// Determines the coordinator of each data centre among the live nodes.
    fn elect_coordinators(&mut self) {
        self.update_candidates();
        let own_node = &self.arguments.own_node;
        let mut live = vec![own_node];
        for (name, node) in &self.registered {
            let peer = self.peers.get(name);
            if peer.is_some_and(|peer| peer.last_received.is_some() && !peer.silent) {
                live.push(node);
            }
        }
        let data_centres: BTreeSet<&id::DataCentre> =
            live.iter().map(|node| &node.data_centre).collect();
        let mut coordinators = BTreeSet::new();
        let mut own_coordinator = None;
        for data_centre in &data_centres {
            let ranked = coordinator::rank(data_centre, live.iter().copied());
            coordinators.extend(ranked.first().map(|node| node.name.clone()));
            if **data_centre == own_node.data_centre {
                own_coordinator = ranked.first().map(|node| node.name.clone());
                self.arguments.ranked_nodes.send_if_modified(|known| {
                    let changed = *known != ranked;
                    *known = ranked;
                    changed
                });
            }
        }
        // A coordinator shares the endpoints only with the coordinators of
        // other data centres, any other node with every node.
        let sharers = if coordinators.contains(&own_node.name) {
            data_centres.len()
        } else {
            self.peers.len() + 1
        };
        self.arguments.chain.admission.apply(|dispatcher, _| {
            dispatcher.set_node_count(sharers);
            Vec::new()
        });
        self.coordinators = coordinators;
        let is_coordinator = own_coordinator.as_ref() == Some(&own_node.name);
        self.own_coordinator = own_coordinator.filter(|_| !is_coordinator);
        self.plan_exchange();
        let has_followers = self
            .peers
            .values()
            .any(|peer| peer.local && !peer.silent && peer.last_received.is_some());
        let is_reader = match self.exchange.role {
            Role::Mesh => is_coordinator && has_followers,
            role => role == Role::Coordinator,
        };
        let mut announcing = None;
        for (name, target) in &self.exchange.targets {
            if self.peers.get(name).is_some_and(|peer| peer.local) {
                announcing = announcing.max(Some(target.interval));
            }
        }
        let view = &self.arguments.chain.view;
        view.set_announcing(announcing.filter(|_| is_reader));
        self.place_writer();
    }

    /// Determines whether this node writes records of roll-outs: each coordinator does, and
    /// in a small fleet each node.
    fn place_writer(&self) {
        let own = &self.arguments.own_node.name;
        let mut writers = BTreeSet::from([own]);
        for (name, peer) in &self.peers {
            let is_live = peer.last_received.is_some() && !peer.silent;
            let is_writer = match self.exchange.role {
                Role::Mesh => self.registered.contains_key(name),
                _ => self.coordinators.contains(name),
            };
            if is_live && is_writer {
                writers.insert(name);
            }
        }
        let place = writers.iter().position(|name| *name == own);
        let is_writer = matches!(self.exchange.role, Role::Mesh | Role::Coordinator);
        let rank = place.filter(|_| is_writer);
        // A node that shuts down has no registration, and may still run requests.
        let registered = self.peers.len() + 1;
        self.arguments.chain.rollouts.set_place(rollout::Place {
            rank: rank.map(|rank| u32::try_from(rank).unwrap_or(u32::MAX)),
            registered: u32::try_from(registered).unwrap_or(u32::MAX),
        });
    }

    /// Determines to whom heartbeats are sent, and whose are used.
    fn plan_exchange(&mut self) {
        let now = self.now();
        let own_node = &self.arguments.own_node;
        let mut listed: Vec<&Node> = self.registered.values().collect();
        listed.push(own_node);
        let data_centres: BTreeSet<&id::DataCentre> =
            self.peers.values().map(|peer| &peer.data_centre).collect();
        let mut members = Vec::new();
        let mut rank = 0;
        for data_centre in data_centres {
            let ranked = coordinator::rank(data_centre, listed.iter().copied());
            let mut names: Vec<&id::Node> = ranked.iter().map(|node| &node.name).collect();
            let place = names.iter().position(|name| **name == own_node.name);
            if let Some(place) = place {
                rank = place;
            }
            // Nodes without a registration can't be called, so that they come last.
            let unlisted = self.peers.iter().filter(|(name, peer)| {
                peer.data_centre == *data_centre && !self.registered.contains_key(*name)
            });
            names.extend(unlisted.map(|(name, _)| name));
            for name in names {
                let Some(peer) = self.peers.get(name) else {
                    continue;
                };
                members.push(exchange::Member {
                    name: name.clone(),
                    data_centre: data_centre.clone(),
                    is_silent: peer.silent,
                    is_older: peer.is_older() && !peer.silent,
                });
            }
        }
        let own = (&own_node.name, &own_node.data_centre);
        let planned = exchange::plan(own, rank, &members, &self.coordinators);
        if planned.role != self.exchange.role {
            tracing::info!(
                role = %planned.role,
                before = %self.exchange.role,
                receivers = planned.targets.len(),
                nodes = members.len() + 1,
                "part of this node in the exchange of heartbeats changed"
            );
            let is_relaying = planned.role == Role::Coordinator;
            self.arguments.chain.crashes.set_relaying(is_relaying);
        }
        self.exchange = planned;
        let reporters = self.reporters(&members);
        for (name, peer) in &mut self.peers {
            let is_expected = self.exchange.sources.contains_key(name);
            peer.expected_since = match peer.expected_since {
                _ if !is_expected => None,
                None => Some(now),
                since => since,
            };
            if self.reporters.contains(name) && !reporters.contains(name) {
                self.arguments.chain.admission.apply(|dispatcher, _| {
                    dispatcher.forget_peer(name);
                    Vec::new()
                });
            }
        }
        let names: Vec<id::Node> = reporters.iter().cloned().collect();
        self.reporters = reporters;
        let mut limiter = lock(&self.arguments.chain.limiter);
        if self.exchange.role == Role::Mesh {
            limiter.set_all_reporting();
            limiter.set_peers(now, &names);
        } else {
            let age = self.exchange.longest_interval();
            limiter.set_reporters(now, &names, members.len() + 1, age);
        }
    }

    /// Returns the nodes whose reports are used, so that no usage is counted twice.
    fn reporters(&self, members: &[exchange::Member]) -> BTreeSet<id::Node> {
        let own = &self.arguments.own_node.data_centre;
        let mut reporters = BTreeSet::new();
        let mut covered = BTreeSet::new();
        for member in members {
            let is_local = member.data_centre == *own;
            let is_used = match self.exchange.role {
                Role::Mesh => true,
                Role::Leaf | Role::Standby => {
                    is_local && !member.is_silent && covered.insert(&member.data_centre)
                }
                Role::Coordinator if is_local => !member.is_silent,
                Role::Coordinator => !member.is_silent && covered.insert(&member.data_centre),
            };
            if is_used {
                reporters.insert(member.name.clone());
            }
        }
        reporters
    }

    /// Sends the next heartbeats soon, as they carry news.
    fn advance_heartbeats(&mut self) {
        let delay = match self.exchange.role {
            Role::Mesh => NEWS_DELAY.0,
            _ => NEWS_DELAY.1,
        };
        let latest = self.now() + delay;
        for peer in self.peers.values_mut() {
            peer.due = peer.due.min(latest);
        }
    }

    /// Returns the nodes on whose usage a heartbeat reports, if it is used here.
    fn coverage(&self, heartbeat: &Heartbeat, peer: &Peer) -> Option<Coverage> {
        if !self.reporters.contains(&heartbeat.node) {
            return None;
        }
        match (self.exchange.role, heartbeat.scope, peer.local) {
            (Role::Mesh | Role::Coordinator, Scope::Node, true) => Some(Coverage::Local),
            (Role::Mesh, Scope::Node, false) | (Role::Coordinator, Scope::DataCentre, false) => {
                Some(Coverage::Remote)
            }
            (Role::Leaf | Role::Standby, Scope::Fleet, true) => Some(Coverage::Fleet),
            _ => None,
        }
    }

    fn receive(&mut self, heartbeat: &Heartbeat, from: SocketAddr) {
        if heartbeat.node == self.arguments.own_node.name {
            return;
        }
        let now = self.now();
        let known = self.peers.contains_key(&heartbeat.node);
        let local = heartbeat.data_centre == self.arguments.own_node.data_centre;
        let new = || {
            let mut peer = Peer::new(from, heartbeat.data_centre.clone(), local, now);
            peer.incarnation = heartbeat.incarnation;
            peer
        };
        let peer = self.peers.entry(heartbeat.node.clone());
        let peer = peer.or_insert_with(new);
        if peer.incarnation == heartbeat.incarnation && heartbeat.sequence <= peer.sequence {
            return;
        }
        let became_live = peer.last_received.is_none() || peer.silent;
        if became_live || peer.incarnation != heartbeat.incarnation {
            tracing::info!(
                node = %heartbeat.node,
                address = %from,
                incarnation = heartbeat.incarnation,
                generation = heartbeat.generation.0,
                "receiving heartbeats from node"
            );
        }
        let moved = peer.address != from || peer.carries != heartbeat.carries;
        let was_older = peer.is_older();
        peer.exchange = Some(heartbeat.exchange);
        let changed_version = peer.is_older() != was_older;
        peer.carries = heartbeat.carries;
        peer.address = from;
        peer.incarnation = heartbeat.incarnation;
        peer.sequence = heartbeat.sequence;
        peer.last_received = Some(now);
        peer.silent = false;
        if !known {
            self.update_members();
        } else if became_live || changed_version {
            self.elect_coordinators();
        }
        self.update_carriers(heartbeat);
        if moved {
            self.update_candidates();
        }
        self.apply(heartbeat);
    }

    /// Records which nodes pass connections on, as a relay reports.
    fn update_carriers(&mut self, heartbeat: &Heartbeat) {
        if heartbeat.scope == Scope::Node {
            return;
        }
        let mut changed = false;
        for (name, peer) in &mut self.peers {
            let is_covered =
                heartbeat.scope == Scope::Fleet || peer.data_centre == heartbeat.data_centre;
            if !is_covered || *name == heartbeat.node {
                continue;
            }
            let carries = heartbeat.carriers.contains(name);
            changed |= carries != peer.carries;
            peer.carries = carries;
        }
        if changed {
            self.update_candidates();
        }
    }

    /// Applies what a heartbeat reports.
    fn apply(&mut self, heartbeat: &Heartbeat) {
        let now = self.now();
        let Some(peer) = self.peers.get(&heartbeat.node) else {
            return;
        };
        let coverage = self.coverage(heartbeat, peer);
        let chain = &self.arguments.chain;
        if let Some(coverage) = coverage {
            lock(&chain.limiter).record_report(
                now,
                &heartbeat.node,
                heartbeat.incarnation,
                coverage,
                heartbeat.usage.clone(),
            );
        }
        chain
            .crashes
            .apply_marks(&heartbeat.node, &heartbeat.data_centre, &heartbeat.marks);
        chain
            .admission
            .record_peer_limits(&heartbeat.node, &heartbeat.limits);
        chain
            .admission
            .record_peer_notices(&heartbeat.node, &heartbeat.notices);
        chain
            .admission
            .record_peer_speeds(&heartbeat.node, &heartbeat.speeds);
        chain.view.record_listings(&heartbeat.listings);
        if let Some(view) = &heartbeat.view {
            let is_complete = heartbeat.listings.len() < listing::MAX_REPORTS;
            let (node, process) = (&heartbeat.node, heartbeat.incarnation);
            chain.view.record_witness(node, process, view, is_complete);
        }
        self.apply_rollouts(heartbeat);
        if Some(&heartbeat.node) == self.own_coordinator.as_ref()
            && let Some(view) = &heartbeat.view
        {
            chain.view.apply(heartbeat.incarnation, view);
        }
        // Not each report on the fleet carries the load.
        let has_load = heartbeat.scope != Scope::Fleet || !heartbeat.loads.is_empty();
        if coverage.is_some() && has_load {
            let loads = heartbeat.loads.iter().cloned().collect();
            chain
                .admission
                .apply(|dispatcher, now| dispatcher.record_peer_load(now, &heartbeat.node, loads));
        }
        if self.exchange.role == Role::Coordinator && !heartbeat.marks.is_empty() {
            self.advance_heartbeats();
        }
    }

    /// Applies what a heartbeat reports about roll-outs.
    fn apply_rollouts(&self, heartbeat: &Heartbeat) {
        let sender = rollout::Sender {
            node: heartbeat.node.clone(),
            incarnation: heartbeat.incarnation,
            data_centre: heartbeat.data_centre.clone(),
            scope: heartbeat.scope,
        };
        let rollouts = &self.arguments.chain.rollouts;
        if !rollouts.record_reports(&sender, &heartbeat.rollouts) {
            return;
        }
        let node = self.registered.get(&heartbeat.node);
        if let Some(address) = node.and_then(|node| node.rpc_address.parse().ok()) {
            self.arguments.later_steps.send_replace(Some(address));
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        self.detect_silence(now);
        let mut due = Vec::new();
        for (name, target) in &self.exchange.targets {
            let Some(peer) = self.peers.get_mut(name) else {
                continue;
            };
            if peer.due > now {
                continue;
            }
            // Half a tick earlier, so that the heartbeat is not put off by a tick.
            peer.due = now + target.interval - TICK / 2;
            peer.sent = peer.sent.wrapping_add(1);
            due.push((name.clone(), target.scope, peer.address, peer.sent));
        }
        if due.is_empty() {
            return;
        }
        let own = self.heartbeat(now);
        let mut shared: BTreeMap<Scope, Vec<u8>> = BTreeMap::new();
        for (name, scope, address, sent) in due {
            if let Some(bytes) = shared.get(&scope) {
                self.send(bytes, address);
                continue;
            }
            let heartbeat = match scope {
                Scope::Node => own.clone(),
                Scope::DataCentre => self.data_centre_report(&own),
                Scope::Fleet => self.fleet_report(&own, &name, sent),
            };
            let bytes = match heartbeat.encode() {
                Ok(bytes) => bytes,
                Err(error) => {
                    tracing::error!(%error, "heartbeat can't be encoded");
                    return;
                }
            };
            self.send(&bytes, address);
            if scope != Scope::Fleet {
                shared.insert(scope, bytes);
            }
        }
    }

    fn send(&self, bytes: &[u8], address: SocketAddr) {
        // If the socket buffer is full, the heartbeat is lost; the next one replaces it.
        if let Err(error) = self.arguments.socket.try_send_to(bytes, address) {
            tracing::debug!(%address, %error, "heartbeat not sent");
        }
    }

    fn heartbeat(&mut self, now: time::Instant) -> Heartbeat {
        self.sequence += 1;
        let chain = &self.arguments.chain;
        let plan = chain.plan.borrow();
        Heartbeat {
            node: self.arguments.own_node.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            data_centre: self.arguments.own_node.data_centre.clone(),
            generation: plan
                .as_ref()
                .map(|plan| plan.generation)
                .unwrap_or_default(),
            loads: chain.admission.take_load(),
            usage: lock(&chain.limiter).take_usage(now),
            marks: chain.crashes.marks_to_share(),
            carries: !chain.phase.is_announced() && !chain.paths.is_isolated(),
            limits: chain.admission.read(|dispatcher| dispatcher.limits(now)),
            notices: chain.admission.read(|dispatcher| dispatcher.notices(now)),
            exchange: exchange::VERSION,
            scope: Scope::Node,
            carriers: Vec::new(),
            view: chain.view.announcement(),
            listings: chain.view.listings(),
            speeds: chain.admission.read(|dispatcher| dispatcher.speeds(now)),
            rollouts: chain.rollouts.reports(rollout::Audience::Node),
        }
    }

    /// Returns the report on the nodes of this data centre.
    fn data_centre_report(&self, own: &Heartbeat) -> Heartbeat {
        let chain = &self.arguments.chain;
        let local = self.peers.iter().filter(|(_, peer)| peer.local);
        let load = self.load_with(own, local.map(|(name, _)| name));
        Heartbeat {
            scope: Scope::DataCentre,
            loads: load,
            usage: lock(&chain.limiter).summed_usage(Audience::DataCentre),
            carriers: self.carriers(|peer| peer.local),
            view: None,
            rollouts: chain.rollouts.reports(rollout::Audience::DataCentre),
            ..own.clone()
        }
    }

    /// Returns the report for one node on all others; `sent` counts the heartbeats to it.
    fn fleet_report(&self, own: &Heartbeat, receiver: &id::Node, sent: u32) -> Heartbeat {
        let chain = &self.arguments.chain;
        let others = self.peers.keys().filter(|name| *name != receiver);
        let loads = if sent.is_multiple_of(LOAD_PERIOD) {
            self.load_with(own, others)
        } else {
            Vec::new()
        };
        let mut carriers = self.carriers(|peer| peer.local);
        carriers.extend(self.carriers(|peer| !peer.local));
        Heartbeat {
            scope: Scope::Fleet,
            loads,
            usage: lock(&chain.limiter).summed_usage(Audience::Node(receiver)),
            carriers,
            rollouts: chain.rollouts.reports(rollout::Audience::Fleet(receiver)),
            ..own.clone()
        }
    }

    /// Returns the load of this node together with what other nodes reported.
    fn load_with<'a>(
        &self,
        own: &Heartbeat,
        others: impl Iterator<Item = &'a id::Node>,
    ) -> Vec<(id::Endpoint, Load)> {
        let admission = &self.arguments.chain.admission;
        let mut sums = admission.read(|dispatcher| dispatcher.reported_load(others));
        for (name, load) in &own.loads {
            let sum = sums.entry(name.clone()).or_default();
            sum.add(*load);
            sum.event_interval = load.event_interval;
        }
        sums.into_iter().collect()
    }

    /// Returns some nodes that pass connections on.
    fn carriers(&self, is_wanted: impl Fn(&Peer) -> bool) -> Vec<id::Node> {
        let carriers = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.carries && !peer.silent && is_wanted(peer));
        let names = carriers.map(|(name, _)| name.clone());
        names.choose_multiple(&mut rand::rng(), MAX_CARRIERS)
    }

    /// Returns the time without a heartbeat after which a node is silent; `None` if none
    /// is expected from it.
    fn silence_limit(&self, name: &id::Node) -> Option<Duration> {
        let interval = *self.exchange.sources.get(name)?;
        let intervals = match self.exchange.role {
            Role::Mesh => SILENCE_LIMIT.0,
            _ => RELAY_SILENCE_LIMIT,
        };
        Some((interval * intervals).max(SILENCE_LIMIT.1))
    }

    /// Marks nodes as silent that sent no heartbeat for too long, and forgets
    /// their load on endpoints.
    fn detect_silence(&mut self, now: time::Instant) {
        let mut live = 0;
        let mut silent = Vec::new();
        for (name, peer) in &self.peers {
            let Some(limit) = self.silence_limit(name) else {
                continue;
            };
            // Among relays, one that never sent a heartbeat is replaced as well.
            let since = match self.exchange.role {
                Role::Mesh => peer.last_received,
                _ => peer.last_received.max(peer.expected_since),
            };
            let Some(since) = since else {
                continue;
            };
            if now.since(since) < limit {
                live += i64::from(peer.last_received.is_some());
                continue;
            }
            if !peer.silent {
                silent.push((name.clone(), now.since(since)));
            }
        }
        for (name, silence) in &silent {
            tracing::info!(
                node = %name,
                silent_ms = millis(*silence),
                "no heartbeats from node"
            );
            self.arguments.chain.admission.apply(|dispatcher, _| {
                dispatcher.forget_peer(name);
                Vec::new()
            });
            if let Some(peer) = self.peers.get_mut(name) {
                peer.silent = true;
            }
        }
        self.arguments.chain.metrics.peers.set(live);
        if !silent.is_empty() {
            self.elect_coordinators();
        }
    }
}

/// Informs the other nodes in time of deaths that this node finds out; never returns.
pub async fn announce(crashes: crashes::Handle, peers: ActorRef<Message>) {
    loop {
        crashes.wait_for_news().await;
        if let Err(error) = peers.send_message(Message::News) {
            tracing::error!(%error, "peer actor has stopped");
        }
        sleep(NEWS_INTERVAL).await;
    }
}

/// Receives heartbeats, and datagrams about where streams began; never returns.
pub async fn listen(socket: Arc<UdpSocket>, peers: ActorRef<Message>, origins: origins::Handle) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                tracing::debug!(%error, "datagram could not be read");
                continue;
            }
        };
        if origins::wire::is_message(&buffer[..length]) {
            origins.receive(&buffer[..length], from);
            continue;
        }
        match Heartbeat::decode(&buffer[..length]) {
            Ok(heartbeat) => {
                if let Err(error) = peers.send_message(Message::Received(Box::new(heartbeat), from))
                {
                    tracing::error!(%error, "peer actor has stopped");
                }
            }
            Err(error) => tracing::debug!(%from, %error, "datagram is not a heartbeat"),
        }
    }
}

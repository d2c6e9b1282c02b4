//! Exchanges heartbeats with the other nodes, which carry each node's load on
//! endpoints, its use of quotas and its quarantine marks.
//!
//! Heartbeats are datagrams. Each replaces the one before, so a lost one is not
//! sent again and a node that does not respond blocks no other.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use dottereltally_lib::{id, time};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::{net::UdpSocket, sync::watch, time::sleep};

use crate::{
    chain::{Chain, lock, millis},
    coordinator, crashes,
    dialect::Dialect,
    directory::Node,
    heartbeat::Heartbeat,
    origins,
    paths::Carrier,
};

/// Interval at which due heartbeats and silent nodes are looked for.
const TICK: Duration = Duration::from_millis(50);

/// Shortest time between two heartbeats to a node of the same data centre, and
/// to one of another data centre, where traffic costs more.
const MIN_INTERVAL: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(200));

/// Time between two heartbeats from one coordinator to another: each carries
/// the load of its data centre on the endpoints that they share.
const COORDINATOR_INTERVAL: Duration = Duration::from_millis(100);

/// Most heartbeats a second that a node sends to its own data centre, and to
/// all others together; in a larger fleet the interval to each node grows.
const MAX_HEARTBEATS_PER_SECOND: u32 = 50;

/// Intervals without a heartbeat after which a node counts as silent, and the
/// shortest time for it.
const SILENCE_LIMIT: (u32, Duration) = (6, Duration::from_millis(1200));

/// Longest time until all nodes are informed of the death of an endpoint. In a large
/// fleet, heartbeats are less frequent.
const NEWS_DELAY: Duration = Duration::from_secs(1);

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
    /// When the next heartbeat is to be sent to it.
    due: time::Instant,
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
            Message::News => {
                let latest = state.now() + NEWS_DELAY;
                for peer in state.peers.values_mut() {
                    peer.due = peer.due.min(latest);
                }
            }
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
            let peer = self.peers.entry(node.name).or_insert(Peer {
                address,
                data_centre: node.data_centre,
                local,
                incarnation: 0,
                sequence: 0,
                last_received: None,
                silent: false,
                carries: false,
                due: now,
            });
            peer.address = address;
        }
        // A node that sends heartbeats is kept even if its registration ended.
        let registered = &self.registered;
        self.peers.retain(|name, peer| {
            registered.contains_key(name) || (peer.last_received.is_some() && !peer.silent)
        });
        self.update_members();
    }

    /// Passes the set of nodes to the quotas, the retry budget and the
    /// dispatcher.
    fn update_members(&mut self) {
        let now = self.now();
        let names: Vec<id::Node> = self.peers.keys().cloned().collect();
        let chain = &self.arguments.chain;
        lock(&chain.limiter).set_peers(now, &names);
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
        for data_centre in &data_centres {
            let ranked = coordinator::rank(data_centre, live.iter().copied());
            coordinators.extend(ranked.first().map(|node| node.name.clone()));
            if **data_centre == own_node.data_centre {
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
    }

    fn receive(&mut self, heartbeat: &Heartbeat, from: SocketAddr) {
        if heartbeat.node == self.arguments.own_node.name {
            return;
        }
        let now = self.now();
        let known = self.peers.contains_key(&heartbeat.node);
        let local = heartbeat.data_centre == self.arguments.own_node.data_centre;
        let peer = self.peers.entry(heartbeat.node.clone()).or_insert(Peer {
            address: from,
            data_centre: heartbeat.data_centre.clone(),
            local,
            incarnation: heartbeat.incarnation,
            sequence: 0,
            last_received: None,
            silent: false,
            carries: false,
            due: now,
        });
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
        peer.carries = heartbeat.carries;
        peer.address = from;
        peer.incarnation = heartbeat.incarnation;
        peer.sequence = heartbeat.sequence;
        peer.last_received = Some(now);
        peer.silent = false;
        if !known {
            self.update_members();
        } else if became_live {
            self.elect_coordinators();
        }
        if moved {
            self.update_candidates();
        }
        let chain = &self.arguments.chain;
        lock(&chain.limiter).record_peer_usage(
            now,
            &heartbeat.node,
            heartbeat.incarnation,
            heartbeat.usage.clone(),
        );
        chain
            .crashes
            .apply_marks(&heartbeat.node, &heartbeat.data_centre, &heartbeat.marks);
        chain
            .admission
            .record_peer_limits(&heartbeat.node, &heartbeat.limits);
        chain
            .admission
            .record_peer_notices(&heartbeat.node, &heartbeat.notices);
        let loads = heartbeat.loads.iter().cloned().collect();
        chain
            .admission
            .apply(|dispatcher, now| dispatcher.record_peer_load(now, &heartbeat.node, loads));
    }

    fn tick(&mut self) {
        let now = self.now();
        let local_count = self.peers.values().filter(|peer| peer.local).count();
        let intervals = (
            interval(MIN_INTERVAL.0, local_count),
            interval(MIN_INTERVAL.1, self.peers.len() - local_count),
        );
        self.detect_silence(now, intervals);
        let mut due = Vec::new();
        let is_coordinator = self.coordinators.contains(&self.arguments.own_node.name);
        for (name, peer) in &mut self.peers {
            if peer.due > now {
                continue;
            }
            let interval = if is_coordinator && self.coordinators.contains(name) {
                COORDINATOR_INTERVAL
            } else if peer.local {
                intervals.0
            } else {
                intervals.1
            };
            // Half a tick earlier, so that the heartbeat is not put off by a tick.
            peer.due = now + interval - TICK / 2;
            due.push(peer.address);
        }
        if due.is_empty() {
            return;
        }
        let heartbeat = match self.heartbeat(now).encode() {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                tracing::error!(%error, "heartbeat can't be encoded");
                return;
            }
        };
        for address in due {
            // If the socket buffer is full, the heartbeat is lost; the next one
            // replaces it.
            if let Err(error) = self.arguments.socket.try_send_to(&heartbeat, address) {
                tracing::debug!(%address, %error, "heartbeat not sent");
            }
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
            ..Heartbeat::default()
        }
    }

    /// Marks nodes as silent that sent no heartbeat for too long, and forgets
    /// their load on endpoints.
    fn detect_silence(&mut self, now: time::Instant, intervals: (Duration, Duration)) {
        let mut live = 0;
        let mut changed = false;
        for (name, peer) in &mut self.peers {
            let interval = if peer.local { intervals.0 } else { intervals.1 };
            let limit = (interval * SILENCE_LIMIT.0).max(SILENCE_LIMIT.1);
            let Some(last) = peer.last_received else {
                continue;
            };
            if now.since(last) < limit {
                live += 1;
                continue;
            }
            if peer.silent {
                continue;
            }
            peer.silent = true;
            changed = true;
            tracing::info!(
                node = %name,
                silent_ms = millis(now.since(last)),
                "no heartbeats from node"
            );
            self.arguments.chain.admission.apply(|dispatcher, _| {
                dispatcher.forget_peer(name);
                Vec::new()
            });
        }
        self.arguments.chain.metrics.peers.set(live);
        if changed {
            self.elect_coordinators();
        }
    }
}

/// Returns the time between two heartbeats to each of `nodes` nodes.
fn interval(shortest: Duration, nodes: usize) -> Duration {
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
    shortest.max(Duration::from_secs(1) * nodes / MAX_HEARTBEATS_PER_SECOND)
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

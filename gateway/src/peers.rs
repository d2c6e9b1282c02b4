//! The other nodes: tells them what this node uses and takes in what they use.
//!
//! Beats are datagrams: each replaces the one before, so that a lost one needs
//! no repeat and a silent node blocks nobody.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use dottereltally_lib::{id, time};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::{net::UdpSocket, sync::watch};

use crate::{
    beat::Beat,
    chain::{Chain, lock, millis},
    dialect::Dialect,
    directory::Node,
    home,
};

/// Time between two looks at who is due.
const TICK: Duration = Duration::from_millis(50);

/// Shortest time between two beats to a node of the same data centre, and of
/// another one, where bytes cost more.
const PERIOD: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(200));

/// Time between two beats of one home to another: each counts what its data
/// centre has at the endpoints that they share.
const HOME_PERIOD: Duration = Duration::from_millis(100);

/// Beats that a node sends a second to its own data centre, and to the others,
/// at the most; in a larger fleet each node hears less often.
const MAX_RATE: u32 = 50;

/// Periods without a beat after which a node counts as silent, and the least
/// time for it.
const SILENCE: (u32, Duration) = (6, Duration::from_millis(1200));

/// Largest datagram that is read, bytes.
const MAX_DATAGRAM: usize = 60 * 1024;

/// What the actor is told.
#[derive(Debug)]
pub enum Message {
    /// The registered nodes, without this one.
    Registered(Vec<Node>),
    /// A beat came.
    Heard(Box<Beat>, SocketAddr),
    /// Time went on.
    Tick,
}

/// One other node.
#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    local: bool,
    incarnation: u64,
    sequence: u64,
    heard: Option<time::Instant>,
    silent: bool,
    due: time::Instant,
}

/// The actor.
pub struct Peers<D>(std::marker::PhantomData<D>);

impl<D> Default for Peers<D> {
    fn default() -> Self {
        Self(std::marker::PhantomData)
    }
}

/// What the actor starts from.
pub struct Arguments<D> {
    /// This node.
    pub own: Node,
    /// Sends the beats.
    pub socket: Arc<UdpSocket>,
    /// What the beats tell of, and what they change.
    pub chain: Arc<Chain<D>>,
    /// Takes the nodes of the data centre, the home first.
    pub homes: watch::Sender<Vec<Node>>,
}

/// State of the actor.
pub struct State<D> {
    arguments: Arguments<D>,
    incarnation: u64,
    sequence: u64,
    peers: BTreeMap<id::Node, Peer>,
    registered: BTreeMap<id::Node, Node>,
    /// The home of each data centre.
    homes: BTreeSet<id::Node>,
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
            homes: BTreeSet::new(),
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Message>,
        message: Message,
        state: &mut State<D>,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            Message::Registered(nodes) => state.register(nodes),
            Message::Heard(beat, from) => state.hear(&beat, from),
            Message::Tick => state.tick(),
        }
        Ok(())
    }
}

impl<D: Dialect> State<D> {
    fn now(&self) -> time::Instant {
        self.arguments.chain.clock.now()
    }

    fn register(&mut self, nodes: Vec<Node>) {
        let named = nodes.iter();
        self.registered = named
            .map(|node| (node.name.clone(), node.clone()))
            .collect();
        let now = self.now();
        for node in nodes {
            let Ok(address) = node.address.parse() else {
                tracing::warn!(node = %node.name, address = node.address, "unreadable address");
                continue;
            };
            let local = node.data_centre == self.arguments.own.data_centre;
            let peer = self.peers.entry(node.name).or_insert(Peer {
                address,
                local,
                incarnation: 0,
                sequence: 0,
                heard: None,
                silent: false,
                due: now,
            });
            peer.address = address;
        }
        // A node that is heard stays, whatever the registrations say.
        let registered = &self.registered;
        self.peers.retain(|name, peer| {
            registered.contains_key(name) || (peer.heard.is_some() && !peer.silent)
        });
        self.share();
    }

    /// Hands the table of nodes on.
    fn share(&mut self) {
        let now = self.now();
        let names: Vec<id::Node> = self.peers.keys().cloned().collect();
        let chain = &self.arguments.chain;
        lock(&chain.ledger).join(now, &names);
        lock(&chain.budget).share(names.len() + 1);
        chain.admission.apply(|gate, _| {
            gate.join(&names);
            Vec::new()
        });
        self.elect();
    }

    /// Finds the home of each data centre among the nodes that are heard.
    fn elect(&mut self) {
        let own = &self.arguments.own;
        let mut live = vec![own];
        for (name, node) in &self.registered {
            let peer = self.peers.get(name);
            if peer.is_some_and(|peer| peer.heard.is_some() && !peer.silent) {
                live.push(node);
            }
        }
        let centres: BTreeSet<&id::DataCentre> =
            live.iter().map(|node| &node.data_centre).collect();
        let mut homes = BTreeSet::new();
        for centre in &centres {
            let ranked = home::rank(centre, live.iter().copied());
            homes.extend(ranked.first().map(|node| node.name.clone()));
            if **centre == own.data_centre {
                self.arguments.homes.send_if_modified(|known| {
                    let changed = *known != ranked;
                    *known = ranked;
                    changed
                });
            }
        }
        // A home shares the endpoints with the other homes only.
        let sharing = if homes.contains(&own.name) {
            centres.len()
        } else {
            self.peers.len() + 1
        };
        self.arguments.chain.admission.apply(|gate, _| {
            gate.share(sharing);
            Vec::new()
        });
        self.homes = homes;
    }

    fn hear(&mut self, beat: &Beat, from: SocketAddr) {
        if beat.node == self.arguments.own.name {
            return;
        }
        let now = self.now();
        let known = self.peers.contains_key(&beat.node);
        let local = beat.data_centre == self.arguments.own.data_centre;
        let peer = self.peers.entry(beat.node.clone()).or_insert(Peer {
            address: from,
            local,
            incarnation: beat.incarnation,
            sequence: 0,
            heard: None,
            silent: false,
            due: now,
        });
        if peer.incarnation == beat.incarnation && beat.sequence <= peer.sequence {
            return;
        }
        let returned = peer.heard.is_none() || peer.silent;
        if returned || peer.incarnation != beat.incarnation {
            tracing::info!(
                node = %beat.node,
                address = %from,
                incarnation = beat.incarnation,
                generation = beat.generation.0,
                "node heard"
            );
        }
        peer.address = from;
        peer.incarnation = beat.incarnation;
        peer.sequence = beat.sequence;
        peer.heard = Some(now);
        peer.silent = false;
        if !known {
            self.share();
        } else if returned {
            self.elect();
        }
        let chain = &self.arguments.chain;
        lock(&chain.ledger).hear(now, &beat.node, beat.incarnation, beat.usage.clone());
        for (mark, valid) in &beat.marks {
            lock(&chain.crashes).hear(now, *mark, *valid);
        }
        let held = beat.held.iter().cloned().collect();
        chain
            .admission
            .apply(|gate, now| gate.hear(now, &beat.node, held));
    }

    fn tick(&mut self) {
        let now = self.now();
        let locals = self.peers.values().filter(|peer| peer.local).count();
        let periods = (
            period(PERIOD.0, locals),
            period(PERIOD.1, self.peers.len() - locals),
        );
        self.watch_silence(now, periods);
        let mut due = Vec::new();
        let is_home = self.homes.contains(&self.arguments.own.name);
        for (name, peer) in &mut self.peers {
            if peer.due > now {
                continue;
            }
            let period = if is_home && self.homes.contains(name) {
                HOME_PERIOD
            } else if peer.local {
                periods.0
            } else {
                periods.1
            };
            // Half of a tick, so that a beat does not slip to the next one.
            peer.due = now + period - TICK / 2;
            due.push(peer.address);
        }
        if due.is_empty() {
            return;
        }
        let beat = match self.beat(now).encode() {
            Ok(beat) => beat,
            Err(error) => {
                tracing::error!(%error, "a beat can't be written");
                return;
            }
        };
        for address in due {
            // A full socket loses the beat; the next one replaces it.
            if let Err(error) = self.arguments.socket.try_send_to(&beat, address) {
                tracing::debug!(%address, %error, "a beat was not sent");
            }
        }
    }

    fn beat(&mut self, now: time::Instant) -> Beat {
        self.sequence += 1;
        let chain = &self.arguments.chain;
        let plan = chain.plan.borrow();
        Beat {
            node: self.arguments.own.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            data_centre: self.arguments.own.data_centre.clone(),
            generation: plan
                .as_ref()
                .map(|plan| plan.generation)
                .unwrap_or_default(),
            held: chain.admission.held(),
            usage: lock(&chain.ledger).usage(now),
            marks: lock(&chain.crashes).fresh(now),
        }
    }

    /// Forgets what silent nodes held.
    fn watch_silence(&mut self, now: time::Instant, periods: (Duration, Duration)) {
        let mut heard = 0;
        let mut changed = false;
        for (name, peer) in &mut self.peers {
            let period = if peer.local { periods.0 } else { periods.1 };
            let limit = (period * SILENCE.0).max(SILENCE.1);
            let Some(last) = peer.heard else {
                continue;
            };
            if now.since(last) < limit {
                heard += 1;
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
                "node silent"
            );
            self.arguments.chain.admission.apply(|gate, _| {
                gate.miss(name);
                Vec::new()
            });
        }
        self.arguments.chain.metrics.peers.set(heard);
        if changed {
            self.elect();
        }
    }
}

/// Returns the time between two beats to one of this many nodes.
fn period(least: Duration, nodes: usize) -> Duration {
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
    least.max(Duration::from_secs(1) * nodes / MAX_RATE)
}

/// Reads beats for ever.
pub async fn listen(socket: Arc<UdpSocket>, peers: ActorRef<Message>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                tracing::debug!(%error, "a datagram was not read");
                continue;
            }
        };
        match Beat::decode(&buffer[..length]) {
            Ok(beat) => {
                if let Err(error) = peers.send_message(Message::Heard(Box::new(beat), from)) {
                    tracing::error!(%error, "the controller of the nodes stopped");
                }
            }
            Err(error) => tracing::debug!(%from, %error, "a datagram is no beat"),
        }
    }
}

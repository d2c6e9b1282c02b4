//! Nodes for tests: real peer connections and membership on loopback, with
//! fakes of the dispatcher, the configuration and the host list.

#![allow(dead_code, reason = "each test binary uses a subset")]

use std::{
    collections::{BTreeMap, BTreeSet},
    net::TcpListener,
    sync::{Arc, Mutex},
    time::Duration,
};

use dottereltally::{clock::Clock, dispatcher, hosts, membership, peer};
use dottereltally_lib::{
    endpoint::Standing,
    event::{Event, Message},
    id,
    membership::Settings,
    request::{Admitted, Claimed, Request},
};
use dottereltally_store::{host, layout};
use tokio::sync::{mpsc, watch};

/// Events that the dispatcher of one node received, newest last.
pub type Events = watch::Receiver<Vec<Event>>;

/// Waits until a matching event has arrived.
pub async fn wait_for(events: &Events, matches: impl Fn(&Event) -> bool) {
    let mut events = events.clone();
    events
        .wait_for(|events| events.iter().any(&matches))
        .await
        .expect("the node stopped");
}

/// A dispatcher that records the events it receives.
#[derive(Clone)]
pub struct Dispatcher {
    events: watch::Sender<Vec<Event>>,
}

impl Dispatcher {
    /// Returns a dispatcher and the receiver of its events.
    pub fn new() -> (Self, Events) {
        let (events, receiver) = watch::channel(Vec::new());
        (Self { events }, receiver)
    }
}

impl dispatcher::Handle for Dispatcher {
    fn send(&self, event: Event) {
        self.events.send_modify(|events| events.push(event));
    }

    async fn admit(&self, _: Request<Claimed>) -> Result<Request<Admitted>, dispatcher::Refused> {
        unreachable!("no requests in these tests")
    }

    async fn readmit(&self, _: Request<Claimed>) -> Result<Request<Admitted>, dispatcher::Refused> {
        unreachable!("no requests in these tests")
    }
}

/// A peer service whose attempt statuses and generation the test sets.
pub struct Service {
    generation: watch::Sender<u64>,
    /// Connections to the peers, by which higher generations are fetched; `None`
    /// if they are not set up.
    peers: Mutex<Option<peer::Handle>>,
    /// Statuses of attempts by claim key and attempt token; others are unknown.
    pub statuses: Mutex<BTreeMap<(String, String), peer::Status>>,
    messages: mpsc::UnboundedSender<(id::Node, Message)>,
}

/// Admission messages that a service received, with their senders.
pub type Messages = mpsc::UnboundedReceiver<(id::Node, Message)>;

impl Service {
    /// Returns a service and the receiver of its admission messages.
    pub fn new() -> (Arc<Self>, Messages) {
        let (messages, receiver) = mpsc::unbounded_channel();
        let service = Self {
            generation: watch::channel(0).0,
            peers: Mutex::default(),
            statuses: Mutex::default(),
            messages,
        };
        (Arc::new(service), receiver)
    }

    /// Sets the generation in force.
    pub fn set_generation(&self, generation: u64) {
        self.generation.send_replace(generation);
    }

    /// Waits until a generation is in force.
    pub async fn wait_for_generation(&self, generation: u64) {
        let mut receiver = self.generation.subscribe();
        let reached = receiver.wait_for(|found| *found == generation).await;
        reached.expect("the service stopped");
    }
}

/// Returns a configuration record of this generation.
pub fn record(generation: u64) -> layout::Configuration {
    layout::Configuration {
        generation: id::Generation(generation),
        text: "services: {}".to_owned(),
        author: "operator".to_owned(),
        time: "2026-01-01T00:00:00Z".to_owned(),
        token: "token".to_owned(),
    }
}

impl peer::Service for Service {
    fn attempt_status(&self, claim: &str, token: &str) -> peer::Status {
        let key = (claim.to_owned(), token.to_owned());
        let statuses = self.statuses.lock().unwrap();
        statuses.get(&key).cloned().unwrap_or(peer::Status::Unknown)
    }

    fn configuration(&self, above: id::Generation) -> Option<layout::Configuration> {
        let generation = *self.generation.borrow();
        (generation > above.0).then(|| record(generation))
    }

    fn generation(&self) -> id::Generation {
        id::Generation(*self.generation.borrow())
    }

    fn note_generation(&self, above: id::Generation) {
        let peers = self.peers.lock().unwrap().clone();
        let generation = self.generation.clone();
        let Some(peers) = peers else { return };
        tokio::spawn(async move {
            let below = id::Generation(above.0 - 1);
            if let Some(record) = peer::Peers::configuration(&peers, below).await {
                generation.send_replace(record.generation.0);
            }
        });
    }

    fn admission(&self, sender: id::Node, message: Message) {
        // The receiver is gone if the test has ended.
        let _ = self.messages.send((sender, message));
    }
}

/// A host list in memory.
#[derive(Clone, Default)]
pub struct HostList {
    snapshot: Arc<Mutex<host::Snapshot>>,
}

impl host::List for HostList {
    async fn read(&self) -> Result<host::Snapshot, host::Error> {
        Ok(self.snapshot.lock().unwrap().clone())
    }
}

/// A running node.
pub struct Node {
    /// Membership.
    pub membership: membership::Handle,
    /// Connections to the peers.
    pub peers: peer::Handle,
    /// Service that answers the peers.
    pub service: Arc<Service>,
    /// Events that its dispatcher received.
    pub events: Events,
    /// Counters of the peer connections.
    pub metrics: peer::Metrics,
}

impl Node {
    /// Waits until exactly these nodes are live.
    pub async fn wait_for_members(&self, names: &[&str]) {
        let expected: BTreeSet<id::Node> = names.iter().map(|name| id::Node::from(*name)).collect();
        let mut events = self.events.clone();
        let reached = events.wait_for(|events| members(events).as_ref() == Some(&expected));
        reached.await.expect("the node stopped");
    }
}

/// Returns the live nodes of the last membership event.
fn members(events: &[Event]) -> Option<BTreeSet<id::Node>> {
    for event in events.iter().rev() {
        if let Event::Members(members) = event {
            return Some(members.iter().map(|(node, _)| node.clone()).collect());
        }
    }
    None
}

/// Returns settings with a short period under which no suspicion expires during
/// a test.
pub fn endless_suspicion() -> Settings {
    Settings {
        period: Duration::from_millis(50),
        suspicion_timeout: Duration::from_hours(1),
        ..Settings::default()
    }
}

/// Returns settings with a short period and short suspicion timeouts.
pub fn short_suspicion() -> Settings {
    Settings {
        period: Duration::from_millis(50),
        suspicion_timeout: Duration::from_millis(200),
        suspicion_timeout_step: Duration::from_millis(50),
        ..Settings::default()
    }
}

/// Nodes that read the same host list.
pub struct Cluster {
    hosts: HostList,
    nodes: BTreeMap<String, Node>,
    addresses: BTreeMap<String, String>,
    settings: Settings,
}

impl Cluster {
    /// Starts nodes that never remove each other after a suspicion.
    pub async fn start(names: &[&str]) -> Self {
        Self::start_with(names, endless_suspicion()).await
    }

    /// Starts nodes with these settings.
    pub async fn start_with(names: &[&str], settings: Settings) -> Self {
        let mut cluster = Self {
            hosts: HostList::default(),
            nodes: BTreeMap::new(),
            addresses: BTreeMap::new(),
            settings,
        };
        for name in names {
            cluster.add(name).await;
        }
        cluster
    }

    /// Returns all nodes.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.nodes.values()
    }

    /// Returns a node.
    pub fn node(&self, name: &str) -> &Node {
        &self.nodes[name]
    }

    /// Starts a node and adds it to the host list.
    pub async fn add(&mut self, name: &str) {
        let address = self.add_unlisted(name).await;
        let entry = host::Entry {
            node: name.into(),
            address,
            operations: String::new(),
            data_centre: "plovdiv".into(),
            standing: Standing::Live,
        };
        let mut snapshot = self.hosts.snapshot.lock().unwrap();
        snapshot.entries.retain(|other| other.node != entry.node);
        snapshot.entries.push(entry);
    }

    /// Starts a node that is not in the host list, and returns its address.
    pub async fn add_unlisted(&mut self, name: &str) -> String {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let (service, _) = Service::new();
        let (dispatcher, events) = Dispatcher::new();
        let metrics = peer::Metrics::default();
        let (peers, exchanges) =
            peer::start(name.into(), listener, service.clone(), metrics.clone()).unwrap();
        *service.peers.lock().unwrap() = Some(peers.clone());
        let arguments = membership::Arguments {
            identity: membership::Identity {
                node: name.into(),
                data_centre: "plovdiv".into(),
                address: address.clone(),
            },
            settings: self.settings.clone(),
            clock: Clock::start(),
            hosts: hosts::spawn(self.hosts.clone(), hosts::Metrics::default()),
            peers: peers.clone(),
            exchanges,
            service: service.clone(),
            dispatcher,
            metrics: membership::Metrics::default(),
        };
        let node = Node {
            membership: membership::spawn(arguments).await.unwrap(),
            peers,
            service,
            events,
            metrics,
        };
        self.nodes.insert(name.to_owned(), node);
        self.addresses.insert(name.to_owned(), address.clone());
        address
    }

    /// Stops a node without telling its peers, like a crash.
    pub fn stop(&mut self, name: &str) {
        let node = self.nodes.remove(name).unwrap();
        node.membership.stop();
        // Closes the connections: the service holds the last handle to them.
        node.service.peers.lock().unwrap().take();
    }
}

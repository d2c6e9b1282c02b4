//! The actor that keeps the membership.
//!
//! [`dottereltally_lib::membership`] makes the decisions; this actor passes
//! the time, the heartbeats and the host list to it and performs its effects.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use dottereltally_lib::{
    event::Event,
    id,
    membership::{
        Effect, Host, Membership, Settings,
        heartbeat::{Heartbeat, Member, State as MemberState},
    },
};
use dottereltally_store::host::Snapshot;
use prometheus_client::{
    metrics::{counter::Counter, gauge::Gauge},
    registry::Registry,
};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use rand::Rng;
use tokio::{
    sync::{mpsc, oneshot},
    time::sleep,
};

use crate::{
    clock::Clock,
    dispatcher, hosts,
    peer::{Exchange, Handle as Peers, Service},
};

/// Delay before new fingerprints of crashing requests are gossiped ahead of the
/// next round, so that several are sent together.
const EARLY_GOSSIP_DELAY: Duration = Duration::from_millis(5);

/// Counters of the membership.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// Live nodes, this one included.
    pub members: Gauge,
    /// Gossip rounds that were started.
    pub rounds: Counter,
    /// Changes of the set of live nodes.
    pub changes: Counter,
    /// Fingerprints of crashing requests received from peers.
    pub fingerprints: Counter,
}

impl Metrics {
    /// Registers the counters under `membership_`.
    pub fn register(&self, registry: &mut Registry) {
        let membership = registry.sub_registry_with_prefix("membership");
        membership.register("members", "Live nodes", self.members.clone());
        membership.register("rounds", "Rounds of exchanges", self.rounds.clone());
        membership.register("changes", "Changes of the live nodes", self.changes.clone());
        membership.register(
            "fingerprints",
            "Fingerprints of crashing requests learnt from peers",
            self.fingerprints.clone(),
        );
    }
}

/// This node as its peers see it.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the node.
    pub node: id::Node,
    /// Data centre of the node.
    pub data_centre: id::DataCentre,
    /// Address at which peers reach the node, `ip:port`.
    pub address: String,
}

/// Arguments that start the actor.
pub struct Arguments<H> {
    /// This node.
    pub identity: Identity,
    /// Timing and size of the exchanges.
    pub settings: Settings,
    /// The clock, shared with the dispatcher.
    pub clock: Clock,
    /// The host list.
    pub hosts: hosts::Receiver,
    /// Calls the peers.
    pub peers: Peers,
    /// Heartbeats received from peers.
    pub exchanges: mpsc::Receiver<Exchange>,
    /// Provides the generation in force and records higher ones of peers.
    pub service: Arc<dyn Service>,
    /// Receives the changes of the live nodes and the fingerprints from peers.
    pub dispatcher: H,
    /// Counters.
    pub metrics: Metrics,
}

/// Messages of the actor.
pub enum Message {
    /// Start a gossip round.
    Tick,
    /// The host list was read.
    Listed(Arc<Snapshot>),
    /// A peer's heartbeat arrived.
    Requested(Exchange),
    /// A peer answered this node's heartbeat.
    Answered(Heartbeat),
    /// A peer did not answer this node's heartbeat, or another node answered it.
    Failed(id::Node),
    /// Gossip the fingerprint of a crashing request for the given time.
    Quarantine(id::Fingerprint, Duration),
    /// Gossip the pending updates ahead of the next round.
    GossipNow,
    /// Tell the peers that this node shuts down.
    Leave(oneshot::Sender<()>),
    /// Reply with the live nodes.
    Members(oneshot::Sender<Vec<Member>>),
}

/// Sends messages to the membership actor; clones share it.
#[derive(Clone, Debug)]
pub struct Handle {
    actor: ActorRef<Message>,
}

impl Handle {
    /// Gossips the fingerprint of a crashing request until `ttl` has passed.
    pub fn quarantine(&self, fingerprint: id::Fingerprint, ttl: Duration) {
        self.cast(Message::Quarantine(fingerprint, ttl));
    }

    /// Notifies the peers that this node shuts down; returns once the exchanges
    /// with a few of them have ended.
    pub async fn leave(&self) {
        let (sender, receiver) = oneshot::channel();
        self.cast(Message::Leave(sender));
        // If the actor has stopped, there is nothing to wait for.
        let _ = receiver.await;
    }

    /// Returns the live nodes, this one included; none once the actor has stopped.
    pub async fn members(&self) -> Vec<Member> {
        let (sender, receiver) = oneshot::channel();
        self.cast(Message::Members(sender));
        receiver.await.unwrap_or_default()
    }

    /// Stops the actor.
    pub fn stop(&self) {
        self.actor.stop(None);
    }

    fn cast(&self, message: Message) {
        // Fails only if the actor has stopped, when the process is ending.
        let _ = self.actor.cast(message);
    }
}

/// Starts the membership.
///
/// # Errors
///
/// Fails if the actor can't be started.
pub async fn spawn<H: dispatcher::Handle>(
    arguments: Arguments<H>,
) -> Result<Handle, ractor::SpawnErr> {
    let controller = Controller(std::marker::PhantomData);
    let (actor, _) = Actor::spawn(None, controller, arguments).await?;
    Ok(Handle { actor })
}

/// The actor that owns the [`Membership`].
struct Controller<H>(std::marker::PhantomData<fn() -> H>);

/// State of the actor.
struct State<H> {
    membership: Membership,
    clock: Clock,
    peers: Peers,
    service: Arc<dyn Service>,
    dispatcher: H,
    metrics: Metrics,
    is_gossip_scheduled: bool,
}

impl<H: dispatcher::Handle> Actor for Controller<H> {
    type Msg = Message;
    type State = State<H>;
    type Arguments = Arguments<H>;

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        arguments: Arguments<H>,
    ) -> Result<Self::State, ActorProcessingErr> {
        let local = Member {
            node: arguments.identity.node,
            data_centre: arguments.identity.data_centre,
            address: arguments.identity.address,
            incarnation: incarnation(),
            version: 0,
            state: MemberState::Alive,
        };
        let period = arguments.settings.period;
        let seed = rand::rng().random();
        let now = arguments.clock.now();
        tokio::spawn(tick(myself.clone(), period));
        tokio::spawn(forward_hosts(myself.clone(), arguments.hosts));
        tokio::spawn(forward_exchanges(myself, arguments.exchanges));
        Ok(State {
            membership: Membership::new(arguments.settings, local, now, seed),
            clock: arguments.clock,
            peers: arguments.peers,
            service: arguments.service,
            dispatcher: arguments.dispatcher,
            metrics: arguments.metrics,
            is_gossip_scheduled: false,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut State<H>,
    ) -> Result<(), ActorProcessingErr> {
        state.process(&myself, message);
        Ok(())
    }
}

impl<H: dispatcher::Handle> State<H> {
    fn process(&mut self, myself: &ActorRef<Message>, message: Message) {
        let now = self.clock.now();
        let generation = self.service.generation();
        self.membership.set_generation(generation);
        let effects = match message {
            Message::Tick => {
                self.metrics.rounds.inc();
                self.membership.tick(now)
            }
            Message::Listed(snapshot) => self.membership.set_hosts(entry_hosts(&snapshot)),
            Message::Requested(exchange) => {
                let (answer, effects) = self.membership.handle_request(now, &exchange.heartbeat);
                // The peer may have stopped waiting.
                let _ = exchange.reply.send(answer);
                effects
            }
            Message::Answered(heartbeat) => self.membership.handle_answer(now, &heartbeat),
            Message::Failed(node) => self.membership.handle_failure(now, &node),
            Message::Quarantine(fingerprint, ttl) => {
                self.membership.gossip_fingerprint(now, fingerprint, ttl);
                self.schedule_gossip(myself);
                Vec::new()
            }
            Message::GossipNow => {
                self.is_gossip_scheduled = false;
                self.membership.gossip_now(now)
            }
            Message::Leave(done) => {
                self.leave(myself, done);
                return;
            }
            Message::Members(reply) => {
                // Fails only if the receiver was dropped.
                let _ = reply.send(self.membership.members());
                return;
            }
        };
        for effect in effects {
            self.perform(myself, effect);
        }
    }

    fn perform(&mut self, myself: &ActorRef<Message>, effect: Effect) {
        match effect {
            Effect::Exchange {
                node,
                address,
                heartbeat,
            } => {
                tokio::spawn(exchange(
                    self.peers.clone(),
                    myself.clone(),
                    node,
                    address,
                    heartbeat,
                ));
            }
            Effect::Members(members) => self.publish(&members),
            Effect::Fingerprints(fingerprints) => {
                self.metrics.fingerprints.inc_by(fingerprints.len() as u64);
                self.dispatcher.send(Event::Suspected(fingerprints));
                self.schedule_gossip(myself);
            }
            Effect::NewerGeneration(node, generation) => {
                self.peers.prefer(node);
                self.service.note_generation(generation);
            }
        }
    }

    /// Schedules gossip of new fingerprints ahead of the next round, unless it is
    /// scheduled already.
    fn schedule_gossip(&mut self, myself: &ActorRef<Message>) {
        if self.is_gossip_scheduled {
            return;
        }
        self.is_gossip_scheduled = true;
        let myself = myself.clone();
        tokio::spawn(async move {
            sleep(EARLY_GOSSIP_DELAY).await;
            // Fails only if the actor has stopped.
            let _ = myself.cast(Message::GossipNow);
        });
    }

    /// Passes the changed live nodes to the peer client and the dispatcher.
    fn publish(&mut self, members: &[Member]) {
        self.peers.set_addresses(self.membership.addresses());
        self.metrics.changes.inc();
        self.metrics
            .members
            .set(i64::try_from(members.len()).unwrap_or(i64::MAX));
        let mut live = Vec::new();
        for member in members {
            live.push((member.node.clone(), member.data_centre.clone()));
        }
        tracing::info!(members = live.len(), "live nodes changed");
        self.dispatcher.send(Event::Members(live));
    }

    /// Sends the last updates and signals `done` once they were answered or
    /// failed.
    fn leave(&mut self, myself: &ActorRef<Message>, done: oneshot::Sender<()>) {
        let mut sent = Vec::new();
        for effect in self.membership.leave(self.clock.now()) {
            let Effect::Exchange {
                node,
                address,
                heartbeat,
            } = effect
            else {
                self.perform(myself, effect);
                continue;
            };
            let peers = self.peers.clone();
            let myself = myself.clone();
            sent.push(tokio::spawn(exchange(
                peers, myself, node, address, heartbeat,
            )));
        }
        tokio::spawn(async move {
            for exchange in sent {
                // A failed exchange has nothing more to wait for.
                let _ = exchange.await;
            }
            // Fails only if the receiver was dropped.
            let _ = done.send(());
        });
    }
}

/// Returns the hosts that run a node, the entry hosts of the host list.
fn entry_hosts(snapshot: &Snapshot) -> Vec<Host> {
    let mut hosts = Vec::new();
    for entry in &snapshot.entries {
        hosts.push(Host {
            node: entry.node.clone(),
            address: entry.address.clone(),
            standing: entry.standing,
        });
    }
    hosts
}

/// Returns the incarnation of this process: the wall-clock time in milliseconds
/// since 1970, which is higher in every later process of this node. Should the
/// wall clock have been set back, the membership raises the number above the
/// one that a peer remembers.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.unwrap_or_default().as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX)
}

/// Exchanges heartbeats with a peer and reports the result to the actor.
async fn exchange(
    peers: Peers,
    actor: ActorRef<Message>,
    node: id::Node,
    address: String,
    heartbeat: Heartbeat,
) {
    let message = match peers.exchange(&node, address, heartbeat).await {
        Ok(answer) if answer.sender.node == node => Message::Answered(answer),
        _ => Message::Failed(node),
    };
    // Fails only if the actor has stopped.
    let _ = actor.cast(message);
}

/// Starts a gossip round each period, with jitter, until the actor stops.
async fn tick(actor: ActorRef<Message>, period: Duration) {
    loop {
        let jitter = rand::rng().random_range(0.8..1.2);
        sleep(period.mul_f64(jitter)).await;
        if actor.cast(Message::Tick).is_err() {
            return;
        }
    }
}

/// Forwards each host list to the actor until it stops.
async fn forward_hosts(actor: ActorRef<Message>, mut hosts: hosts::Receiver) {
    loop {
        let snapshot = hosts.borrow_and_update().clone();
        if let Some(snapshot) = snapshot
            && actor.cast(Message::Listed(snapshot)).is_err()
        {
            return;
        }
        if hosts.changed().await.is_err() {
            return;
        }
    }
}

/// Forwards the heartbeats of peers to the actor until it stops.
async fn forward_exchanges(actor: ActorRef<Message>, mut exchanges: mpsc::Receiver<Exchange>) {
    while let Some(exchange) = exchanges.recv().await {
        if actor.cast(Message::Requested(exchange)).is_err() {
            return;
        }
    }
}

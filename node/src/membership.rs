//! The actor that keeps the membership.
//!
//! The decisions are in [`dottereltally_lib::membership`]; this actor hands
//! it the time, beats and the host list, and performs its effects.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use dottereltally_lib::{
    event::Event,
    id,
    membership::{
        Effect, Host, Membership, Settings,
        beat::{Beat, Member, State as Standing},
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

/// Time in which fingerprints of crashing requests are gathered before they
/// are passed on ahead of the next round.
const SPREAD_DELAY: Duration = Duration::from_millis(5);

/// Counters of the membership.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// Live nodes, this one included.
    pub members: Gauge,
    /// Rounds of exchanges.
    pub rounds: Counter,
    /// Times that the live nodes changed.
    pub changes: Counter,
    /// Fingerprints of crashing requests learnt from peers.
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
pub struct Own {
    /// Its name.
    pub node: id::Node,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Where peers reach it, `ip:port`.
    pub address: String,
}

/// What the actor needs.
pub struct Arguments<H> {
    /// This node.
    pub own: Own,
    /// How the exchanges are paced.
    pub settings: Settings,
    /// The clock that the dispatcher uses.
    pub clock: Clock,
    /// The host list.
    pub hosts: hosts::Receiver,
    /// Reaches the peers.
    pub peers: Peers,
    /// Beats of peers.
    pub exchanges: mpsc::Receiver<Exchange>,
    /// Knows the generation in force.
    pub service: Arc<dyn Service>,
    /// Takes the events.
    pub dispatcher: H,
    /// Counters.
    pub metrics: Metrics,
}

/// Messages of the actor.
pub enum Message {
    /// Start a round.
    Tick,
    /// The host list was read.
    Listed(Arc<Snapshot>),
    /// A peer's beat arrived.
    Requested(Exchange),
    /// A peer answered.
    Answered(Beat),
    /// A peer did not answer.
    Failed(id::Node),
    /// Pass on a fingerprint of a crashing request.
    Quarantine(id::Fingerprint, Duration),
    /// Pass the updates on ahead of the next round.
    Spread,
    /// Tell the peers that this node shuts down.
    Leave(oneshot::Sender<()>),
    /// Report the live nodes.
    Members(oneshot::Sender<Vec<Member>>),
}

/// Reaches the membership; clones share it.
#[derive(Clone, Debug)]
pub struct Handle {
    actor: ActorRef<Message>,
}

impl Handle {
    /// Passes on a fingerprint of a crashing request while it is valid.
    pub fn quarantine(&self, fingerprint: id::Fingerprint, valid: Duration) {
        self.cast(Message::Quarantine(fingerprint, valid));
    }

    /// Tells the peers that this node shuts down, and returns once a few of
    /// them were sent the updates.
    pub async fn leave(&self) {
        let (sender, receiver) = oneshot::channel();
        self.cast(Message::Leave(sender));
        // A stopped actor has nothing left to say.
        let _ = receiver.await;
    }

    /// Returns the live nodes, this one included.
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
        // A stopped actor takes nothing more; the process is ending.
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

/// The actor.
struct Controller<H>(std::marker::PhantomData<fn() -> H>);

/// State of the actor.
struct State<H> {
    membership: Membership,
    clock: Clock,
    peers: Peers,
    service: Arc<dyn Service>,
    dispatcher: H,
    metrics: Metrics,
    is_spreading: bool,
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
        let own = Member {
            node: arguments.own.node,
            data_centre: arguments.own.data_centre,
            address: arguments.own.address,
            incarnation: incarnation(),
            version: 0,
            state: Standing::Alive,
        };
        let period = arguments.settings.period;
        let seed = rand::rng().random();
        let now = arguments.clock.now();
        tokio::spawn(tick(myself.clone(), period));
        tokio::spawn(watch(myself.clone(), arguments.hosts));
        tokio::spawn(receive(myself, arguments.exchanges));
        Ok(State {
            membership: Membership::new(arguments.settings, own, now, seed),
            clock: arguments.clock,
            peers: arguments.peers,
            service: arguments.service,
            dispatcher: arguments.dispatcher,
            metrics: arguments.metrics,
            is_spreading: false,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut State<H>,
    ) -> Result<(), ActorProcessingErr> {
        state.take(&myself, message);
        Ok(())
    }
}

impl<H: dispatcher::Handle> State<H> {
    fn take(&mut self, myself: &ActorRef<Message>, message: Message) {
        let now = self.clock.now();
        let generation = self.service.generation();
        self.membership.set_generation(generation);
        let effects = match message {
            Message::Tick => {
                self.metrics.rounds.inc();
                self.membership.tick(now)
            }
            Message::Listed(snapshot) => self.membership.listed(hosts_of(&snapshot)),
            Message::Requested(exchange) => {
                let (answer, effects) = self.membership.request(now, &exchange.beat);
                // The peer may have stopped waiting.
                let _ = exchange.reply.send(answer);
                effects
            }
            Message::Answered(beat) => self.membership.answered(now, &beat),
            Message::Failed(node) => self.membership.failed(now, &node),
            Message::Quarantine(fingerprint, valid) => {
                self.membership.quarantine(now, fingerprint, valid);
                self.spread_soon(myself);
                Vec::new()
            }
            Message::Spread => {
                self.is_spreading = false;
                self.membership.spread(now)
            }
            Message::Leave(done) => {
                self.leave(myself, done);
                return;
            }
            Message::Members(reply) => {
                // The caller may have stopped waiting.
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
                beat,
            } => {
                tokio::spawn(exchange(
                    self.peers.clone(),
                    myself.clone(),
                    node,
                    address,
                    beat,
                ));
            }
            Effect::Members(members) => self.publish(&members),
            Effect::Suspected(fingerprints) => {
                self.metrics.fingerprints.inc_by(fingerprints.len() as u64);
                self.dispatcher.tell(Event::Suspected(fingerprints));
                self.spread_soon(myself);
            }
            Effect::Outdated(node, generation) => {
                self.peers.prefer(node);
                self.service.outdated(generation);
            }
        }
    }

    /// Passes on the fingerprints that have come together.
    fn spread_soon(&mut self, myself: &ActorRef<Message>) {
        if self.is_spreading {
            return;
        }
        self.is_spreading = true;
        let myself = myself.clone();
        tokio::spawn(async move {
            sleep(SPREAD_DELAY).await;
            // A stopped actor takes nothing more.
            let _ = myself.cast(Message::Spread);
        });
    }

    fn publish(&mut self, members: &[Member]) {
        self.peers.update(self.membership.addresses());
        self.metrics.changes.inc();
        self.metrics
            .members
            .set(i64::try_from(members.len()).unwrap_or(i64::MAX));
        let mut live = Vec::new();
        for member in members {
            live.push((member.node.clone(), member.data_centre.clone()));
        }
        tracing::info!(members = live.len(), "the live nodes have changed");
        self.dispatcher.tell(Event::Members(live));
    }

    /// Sends the last updates and signals `done` once they were taken or failed.
    fn leave(&mut self, myself: &ActorRef<Message>, done: oneshot::Sender<()>) {
        let mut sent = Vec::new();
        for effect in self.membership.leave(self.clock.now()) {
            let Effect::Exchange {
                node,
                address,
                beat,
            } = effect
            else {
                self.perform(myself, effect);
                continue;
            };
            let peers = self.peers.clone();
            let myself = myself.clone();
            sent.push(tokio::spawn(exchange(peers, myself, node, address, beat)));
        }
        tokio::spawn(async move {
            for exchange in sent {
                // A failed exchange has nothing more to wait for.
                let _ = exchange.await;
            }
            // The caller may have stopped waiting.
            let _ = done.send(());
        });
    }
}

/// Returns the entry hosts of a host list.
fn hosts_of(snapshot: &Snapshot) -> Vec<Host> {
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

/// Returns a number that is higher in a later process of this node. A peer
/// that remembers a higher one makes the membership go above it, should the
/// wall clock have been set back.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.unwrap_or_default().as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX)
}

async fn exchange(
    peers: Peers,
    actor: ActorRef<Message>,
    node: id::Node,
    address: String,
    beat: Beat,
) {
    let message = match peers.exchange(&node, address, beat).await {
        Ok(answer) if answer.sender.node == node => Message::Answered(answer),
        _ => Message::Failed(node),
    };
    // A stopped actor takes nothing more.
    let _ = actor.cast(message);
}

/// Starts rounds until the actor stops.
async fn tick(actor: ActorRef<Message>, period: Duration) {
    loop {
        let jitter = rand::rng().random_range(0.8..1.2);
        sleep(period.mul_f64(jitter)).await;
        if actor.cast(Message::Tick).is_err() {
            return;
        }
    }
}

/// Passes the host list on until the actor stops.
async fn watch(actor: ActorRef<Message>, mut hosts: hosts::Receiver) {
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

/// Passes the beats of peers on until the actor stops.
async fn receive(actor: ActorRef<Message>, mut exchanges: mpsc::Receiver<Exchange>) {
    while let Some(exchange) = exchanges.recv().await {
        if actor.cast(Message::Requested(exchange)).is_err() {
            return;
        }
    }
}

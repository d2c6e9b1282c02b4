//! Keeps the directory in force: the plan, the endpoints, the other nodes.
//!
//! A task follows the source; the actor owns what is believed and changes it.

mod belief;
pub mod follow;
mod registration;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use dottereltally::clock::Clock;
use dottereltally_lib::{id, plan::Plan};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::watch;

pub use self::{belief::Belief, follow::Pace, registration::Registration};
use crate::{
    admission,
    directory::{Change, Changes, Node, Snapshot},
    metrics::Metrics,
};

/// Time between two looks at endpoints that were kept for a while.
const TICK: Duration = Duration::from_millis(200);

/// What the actor is told.
#[derive(Debug)]
pub enum Message {
    /// Everything was read.
    Snapshot(Box<Snapshot>),
    /// Something changed.
    Changes(Changes),
    /// The source can't be read.
    Lost(String),
    /// Another node told what it knows, as the source is away.
    Told(Box<Snapshot>),
    /// Time went on.
    Tick,
}

/// What the actor's beliefs become.
#[derive(Clone)]
pub struct Outlet {
    /// The clock of the node.
    pub clock: Clock,
    /// Takes the plan.
    pub plan: watch::Sender<Option<Arc<Plan>>>,
    /// Takes the endpoints.
    pub admission: admission::Handle,
    /// Takes the other nodes.
    pub nodes: watch::Sender<Vec<Node>>,
    /// Whether endpoints are known.
    pub listed: watch::Sender<bool>,
    /// Takes what other nodes may ask for.
    pub snapshot: watch::Sender<Arc<Snapshot>>,
    /// The counters.
    pub metrics: Metrics,
    /// This node.
    pub own: id::Node,
}

/// The actor.
pub struct Controller;

/// Its state.
pub struct State {
    belief: Belief,
    nodes: BTreeMap<id::Node, Node>,
    outlet: Outlet,
}

impl Actor for Controller {
    type Msg = Message;
    type State = State;
    type Arguments = Outlet;

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        outlet: Outlet,
    ) -> Result<State, ActorProcessingErr> {
        myself.send_interval(TICK, || Message::Tick);
        Ok(State {
            belief: Belief::default(),
            nodes: BTreeMap::new(),
            outlet,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        state.take(message);
        Ok(())
    }
}

impl State {
    fn take(&mut self, message: Message) {
        let now = self.outlet.clock.now();
        match message {
            Message::Snapshot(snapshot) => {
                if let Some(away) = self.belief.regain(now) {
                    tracing::info!(
                        away_ms = crate::chain::millis(away),
                        revision = snapshot.revision.0,
                        endpoints = snapshot.endpoints.len(),
                        "key-value service regained"
                    );
                }
                self.outlet.listed.send_replace(true);
                self.replace(*snapshot, true);
            }
            Message::Told(snapshot) => {
                if self.belief.is_told() {
                    // Only a newer plan is of use.
                    if let Some(plan) = snapshot.plan {
                        self.adopt(plan);
                    }
                    return;
                }
                tracing::info!(
                    generation = snapshot.plan.as_ref().map(|plan| plan.generation.0),
                    endpoints = snapshot.endpoints.len(),
                    "directory taken from another node"
                );
                self.outlet.listed.send_replace(true);
                self.replace(*snapshot, false);
            }
            Message::Changes(changes) => {
                if let Some(away) = self.belief.regain(now) {
                    tracing::info!(
                        away_ms = crate::chain::millis(away),
                        revision = changes.revision.0,
                        "key-value service regained"
                    );
                }
                for change in changes.changes {
                    self.change(change);
                }
            }
            Message::Lost(cause) => {
                if self.belief.lose(now) {
                    tracing::warn!(cause, "key-value service lost");
                }
            }
            Message::Tick => {}
        }
        self.publish();
    }

    fn replace(&mut self, snapshot: Snapshot, whole: bool) {
        if let Some(plan) = snapshot.plan {
            self.adopt(plan);
        }
        let now = self.outlet.clock.now();
        self.belief.replace(now, snapshot.endpoints);
        if !whole {
            for node in snapshot.nodes {
                self.nodes.entry(node.name.clone()).or_insert(node);
            }
            return self.tell_nodes();
        }
        let nodes = snapshot.nodes.into_iter();
        self.nodes = nodes.map(|node| (node.name.clone(), node)).collect();
        self.tell_nodes();
    }

    fn change(&mut self, change: Change) {
        let now = self.outlet.clock.now();
        match change {
            Change::Plan(plan) => self.adopt(*plan),
            Change::Endpoint(name, entry) => self.belief.hear(now, name, entry),
            Change::Removed(name) => self.belief.remove(now, &name),
            Change::Node(node) => {
                self.nodes.insert(node.name.clone(), node);
                self.tell_nodes();
            }
            Change::Left(name) => {
                if self.nodes.remove(&name).is_some() {
                    tracing::info!(node = %name, "registration of a node ended");
                    self.tell_nodes();
                }
            }
        }
    }

    /// Puts a plan in force unless a newer one is.
    fn adopt(&mut self, plan: Plan) {
        let known = self
            .outlet
            .plan
            .borrow()
            .as_ref()
            .map(|plan| plan.generation);
        if known.is_some_and(|known| known >= plan.generation) {
            return;
        }
        tracing::info!(
            generation = plan.generation.0,
            previous = known.map(|known| known.0),
            routes = plan.routes.len(),
            services = plan.services.len(),
            "plan in force"
        );
        let number = i64::try_from(plan.generation.0).unwrap_or(i64::MAX);
        self.outlet.metrics.generation.set(number);
        self.outlet.plan.send_replace(Some(Arc::new(plan)));
        self.belief.touch();
    }

    fn tell_nodes(&self) {
        let others = self
            .nodes
            .values()
            .filter(|node| node.name != self.outlet.own);
        self.outlet.nodes.send_replace(others.cloned().collect());
    }

    /// Hands changed endpoints on.
    fn publish(&mut self) {
        let now = self.outlet.clock.now();
        let Some(records) = self.belief.changed(now) else {
            return;
        };
        let count = i64::try_from(records.len()).unwrap_or(i64::MAX);
        self.outlet.metrics.endpoints.set(count);
        self.outlet
            .admission
            .apply(|gate, now| gate.list(now, records));
        let plan = self.outlet.plan.borrow().as_deref().cloned();
        self.outlet.snapshot.send_replace(Arc::new(Snapshot {
            plan,
            endpoints: self.belief.entries(),
            nodes: self.nodes.values().cloned().collect(),
            ..Snapshot::default()
        }));
    }
}

//! Maintains the directory in force: the plan, the endpoints and the other
//! nodes.
//!
//! A task follows the source and sends what it reads to an actor, which owns
//! the state and publishes its changes.

mod endpoints;
pub mod follow;
mod nodes;
pub mod quarantine;
mod registration;

use std::{
    hash::{Hash, Hasher},
    mem,
    sync::Arc,
    time::Duration,
};

use dottereltally::clock::Clock;
use dottereltally_lib::{history::History, id, plan::Plan, time};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::watch;
use xxhash_rust::xxh3::Xxh3;

use self::nodes::Nodes;
pub use self::{
    endpoints::{Endpoints, Observation},
    follow::PollInterval,
    registration::Registration,
};
use crate::{
    admission, crashes,
    directory::{Change, Changes, Entry, Node, Snapshot},
    metrics::Metrics,
    origins, rollout, view,
};

/// Interval at which endpoints kept through an outage are checked for expiry.
const TICK: Duration = Duration::from_millis(200);

/// Messages to the controller.
#[derive(Debug)]
pub enum Message {
    /// The whole directory was read from the source.
    Snapshot(Box<Snapshot>),
    /// The source reported changes.
    Changes(Changes),
    /// The source was read: it answered a call that was sent at this time or later, and at this
    /// uptime of the machine. The message with what it returned was sent before.
    Read(time::Instant, Duration),
    /// A call of the source failed, which was sent at this time, with the cause.
    SourceFailed(time::Instant, String),
    /// The source returned, but was not read yet: it answered a call that was sent at this time.
    SourceReturned(time::Instant),
    /// The directory of another node was fetched, as this node has not read its
    /// own from the source yet.
    PeerSnapshot(Box<Snapshot>),
    /// Periodic timer.
    Tick,
}

/// Where the controller publishes its state.
#[derive(Clone)]
pub struct Outputs {
    /// The clock of the node.
    pub clock: Clock,
    /// Receives the plan.
    pub plan: watch::Sender<Option<Arc<Plan>>>,
    /// Receives the endpoints.
    pub admission: admission::Handle,
    /// Receives the other nodes.
    pub nodes: watch::Sender<Vec<Node>>,
    /// Becomes true once the endpoints were read.
    pub endpoints_known: watch::Sender<bool>,
    /// Receives the snapshot that is served to other nodes.
    pub snapshot: watch::Sender<Arc<Snapshot>>,
    /// The metrics of the node.
    pub metrics: Metrics,
    /// Name of this node.
    pub own_name: id::Node,
    /// Learns from the directory which endpoints died.
    pub crashes: crashes::Handle,
    /// Learns from the directory which versions serve.
    pub origins: origins::Handle,
    /// Receives how recent the directory is.
    pub view: view::Handle,
    /// Receives the orders and records of roll-outs.
    pub rollouts: rollout::Handle,
}

/// Where a snapshot comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// From the source: nodes that it lacks are removed, unless it `is_restored` from a copy
    /// since it was read last, which may lack them. Whether it `is_first` read by this node.
    Source { is_restored: bool, is_first: bool },
    /// From another node, which may lack nodes.
    Node,
}

/// Actor that owns the directory.
pub struct Controller;

/// State of the actor.
pub struct State {
    endpoints: Endpoints,
    nodes: Nodes,
    outputs: Outputs,
    /// Number of the last change of the roll-outs that was published.
    published_rollouts: Option<u64>,
    /// Whether this node has read the whole directory from the source.
    has_read_source: bool,
}

impl Actor for Controller {
    type Msg = Message;
    type State = State;
    type Arguments = Outputs;

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        outputs: Outputs,
    ) -> Result<State, ActorProcessingErr> {
        myself.send_interval(TICK, || Message::Tick);
        Ok(State {
            endpoints: Endpoints::default(),
            nodes: Nodes::default(),
            outputs,
            published_rollouts: None,
            has_read_source: false,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        let was_available = state.endpoints.is_available();
        state.apply(message);
        let now = state.outputs.clock.now();
        if !was_available
            && state.endpoints.is_available()
            && let Some(left) = state.endpoints.renewal_time_left(now)
        {
            let _timer = myself.send_after(left, || Message::Tick);
        }
        Ok(())
    }
}

impl State {
    fn apply(&mut self, message: Message) {
        let now = self.outputs.clock.now();
        match message {
            Message::Snapshot(snapshot) => {
                if let Some(outage) = self.endpoints.end_outage(now) {
                    tracing::info!(
                        away_ms = crate::logging::millis(outage),
                        revision = %snapshot.revision,
                        endpoints = snapshot.endpoints.len(),
                        "key-value service available again"
                    );
                    self.outputs.crashes.set_directory_available(true);
                }
                self.outputs
                    .metrics
                    .unusable_entries
                    .inc_by(snapshot.unusable);
                let is_first = !mem::replace(&mut self.has_read_source, true);
                let is_restored = self.endpoints.begin_read(now, snapshot.revision);
                self.outputs.endpoints_known.send_replace(true);
                let origins = &self.outputs.origins;
                origins.record_history(History::restart);
                self.apply_snapshot(
                    *snapshot,
                    Origin::Source {
                        is_restored,
                        is_first,
                    },
                );
            }
            Message::PeerSnapshot(snapshot) => {
                let rollouts = &self.outputs.rollouts;
                rollouts.apply_of_node(&snapshot.orders, &snapshot.records);
                if self.endpoints.is_initialized() {
                    // The known endpoints are kept; only a newer plan is used.
                    if let Some(plan) = snapshot.plan {
                        self.adopt_plan(plan);
                    }
                    return;
                }
                tracing::info!(
                    generation = snapshot.plan.as_ref().map(|plan| plan.generation.0),
                    endpoints = snapshot.endpoints.len(),
                    "directory received from another node"
                );
                self.outputs.endpoints_known.send_replace(true);
                self.apply_snapshot(*snapshot, Origin::Node);
            }
            Message::Changes(changes) => {
                if let Some(outage) = self.endpoints.end_outage(now) {
                    tracing::info!(
                        away_ms = crate::logging::millis(outage),
                        revision = %changes.revision,
                        "key-value service available again"
                    );
                    self.outputs.crashes.set_directory_available(true);
                }
                self.outputs
                    .metrics
                    .unusable_entries
                    .inc_by(changes.unusable);
                self.endpoints.begin_read(now, changes.revision);
                self.outputs.origins.record_history(History::record_read);
                for change in changes.changes {
                    self.apply_change(change);
                }
            }
            Message::SourceFailed(since, cause) => {
                let origins = &self.outputs.origins;
                origins.record_history(|history, _| history.record_outage());
                if let Some(confirmed) = self.outputs.view.confirmed() {
                    self.endpoints.record_answer(now - confirmed.elapsed());
                }
                if self.endpoints.begin_outage(since) {
                    self.outputs.crashes.set_directory_available(false);
                    tracing::warn!(cause, "key-value service unavailable");
                }
            }
            Message::Read(answered, sent) => {
                self.endpoints.record_read(answered);
                let era = self.endpoints.revision().era;
                let age = self.outputs.view.uptime().saturating_sub(sent);
                self.outputs.rollouts.record_current(now - age);
                self.outputs.view.record_read(sent, era, self.digest());
            }
            Message::SourceReturned(at) => self.endpoints.record_return(at),
            Message::Tick => {
                self.outputs.view.record_alive();
                self.apply_listings();
                for found in self.outputs.view.take_found() {
                    self.endpoints.record_found(&found);
                }
                if let Some(confirmed) = self.outputs.view.confirmed() {
                    let rollouts = &self.outputs.rollouts;
                    rollouts.record_current(now - confirmed.elapsed());
                }
                if self.nodes.expire(now) {
                    self.publish_nodes();
                }
            }
        }
        self.publish_endpoints();
    }

    /// Applies a snapshot.
    fn apply_snapshot(&mut self, snapshot: Snapshot, origin: Origin) {
        if let Some(plan) = snapshot.plan {
            self.adopt_plan(plan);
        }
        if let Origin::Source { is_first, .. } = origin {
            let crashes = &self.outputs.crashes;
            crashes.replace_kept_marks(&snapshot.marks, is_first);
            for trial in snapshot.trials {
                crashes.record_trial(trial, is_first);
            }
        }
        let now = self.outputs.clock.now();
        for (name, entry) in &snapshot.endpoints {
            self.record_listed(name, entry);
        }
        self.endpoints.replace(now, snapshot.endpoints);
        match origin {
            Origin::Source { is_restored, .. } => {
                let rollouts = &self.outputs.rollouts;
                rollouts.replace(&snapshot.orders, &snapshot.records);
                for (service, revision) in &snapshot.unreadable_records {
                    rollouts.set_unreadable_record(service, *revision);
                }
                self.nodes.replace(now, snapshot.nodes, is_restored);
            }
            Origin::Node => {
                for node in snapshot.nodes {
                    self.nodes.add(node);
                }
            }
        }
        self.publish_nodes();
    }

    /// Applies what other nodes read of the directory.
    fn apply_listings(&mut self) {
        let now = self.outputs.clock.now();
        for report in self.outputs.view.take_reported() {
            if self.endpoints.record_listing(now, &report) {
                self.record_removed(&report.endpoint);
            }
        }
    }

    fn apply_change(&mut self, change: Change) {
        let now = self.outputs.clock.now();
        match change {
            Change::Plan(plan) => self.adopt_plan(*plan),
            Change::Endpoint(name, entry) => {
                self.record_listed(&name, &entry);
                self.endpoints.update(now, name, entry);
            }
            Change::EndpointRemoved(name, revision)
            | Change::EndpointUnreadable(name, revision) => {
                self.record_removed(&name);
                self.endpoints.remove(now, &name, revision);
            }
            Change::Node(node) => {
                self.nodes.insert(node);
                self.publish_nodes();
            }
            Change::Ordered(spec) => self.outputs.rollouts.set_order(&spec),
            Change::OrderRemoved(service) => self.outputs.rollouts.remove_order(&service),
            Change::Recorded(record) => self.outputs.rollouts.set_record(&record),
            Change::RecordUnreadable(service, revision) => {
                let rollouts = &self.outputs.rollouts;
                rollouts.set_unreadable_record(&service, revision);
            }
            Change::RecordRemoved(service) => self.outputs.rollouts.remove_record(&service),
            Change::Quarantined(marks) => self.outputs.crashes.apply_kept_marks(&marks),
            Change::QuarantineEnded(fingerprint) => {
                self.outputs.crashes.record_kept_end(fingerprint);
            }
            Change::Tried(trial) => self.outputs.crashes.record_trial(trial, false),
            Change::NodeRemoved(name) => {
                if self.nodes.remove(&name) {
                    tracing::info!(node = %name, "registration of a node ended");
                    self.publish_nodes();
                }
            }
        }
    }

    /// Records the version of an endpoint that the directory names.
    fn record_listed(&self, name: &id::Endpoint, entry: &Entry) {
        let record = &entry.record;
        self.outputs.origins.record_history(|history, now| {
            let service = record.service.clone();
            history.record_listed(now, name.clone(), service, record.version.clone());
        });
    }

    fn record_removed(&self, name: &id::Endpoint) {
        let origins = &self.outputs.origins;
        origins.record_history(|history, now| history.record_removed(now, name));
    }

    /// Puts a plan in force unless its generation is already reached.
    fn adopt_plan(&mut self, plan: Plan) {
        let current = self
            .outputs
            .plan
            .borrow()
            .as_ref()
            .map(|plan| plan.generation);
        if current.is_some_and(|current| current >= plan.generation) {
            return;
        }
        tracing::info!(
            generation = plan.generation.0,
            previous = current.map(|current| current.0),
            routes = plan.routes.len(),
            services = plan.services.len(),
            "plan in force"
        );
        let generation = i64::try_from(plan.generation.0).unwrap_or(i64::MAX);
        self.outputs.metrics.generation.set(generation);
        self.outputs.origins.set_plan(&plan);
        self.outputs.plan.send_replace(Some(Arc::new(plan)));
        self.endpoints.mark_changed();
    }

    /// Returns a hash of what nodes use of the directory, the same at each of them.
    fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        let plan = self.outputs.plan.borrow();
        let generation = plan.as_ref().map(|plan| plan.generation.0);
        generation.hash(&mut hasher);
        self.endpoints.hash_used(&mut hasher);
        for node in self.nodes.iter() {
            node.name.as_str().hash(&mut hasher);
            node.address.hash(&mut hasher);
        }
        // Without roll-outs the digest is that of nodes that know none.
        for (service, order, step) in self.outputs.rollouts.read_revisions() {
            service.as_str().hash(&mut hasher);
            order.hash(&mut hasher);
            step.hash(&mut hasher);
        }
        hasher.finish()
    }

    fn publish_nodes(&self) {
        let others = self
            .nodes
            .iter()
            .filter(|node| node.name != self.outputs.own_name);
        self.outputs.nodes.send_replace(others.cloned().collect());
    }

    /// Publishes the endpoints if they changed, and the snapshot for other
    /// nodes with them.
    fn publish_endpoints(&mut self) {
        let now = self.outputs.clock.now();
        let mut started = Vec::new();
        for observation in self.endpoints.take_observations() {
            match observation {
                Observation::Started(endpoint, started_ms) => {
                    self.outputs.crashes.record_started(&endpoint, started_ms);
                    started.push((endpoint, started_ms));
                }
                Observation::Found(endpoint, started_ms) => started.push((endpoint, started_ms)),
                Observation::Replaced(endpoint) => self.outputs.crashes.record_replaced(&endpoint),
                Observation::Removed(endpoint) => self.outputs.crashes.forget(&endpoint),
            }
        }
        let records = self.endpoints.take_changed(now);
        if let Some(listings) = self.endpoints.take_listings(now) {
            self.outputs.view.set_listings(listings);
        }
        if let Some(records) = &records {
            self.outputs.rollouts.set_endpoints(records.iter());
        }
        let rollouts = *self.outputs.rollouts.changes().borrow();
        let changed =
            records.is_some() || self.published_rollouts.replace(rollouts) != Some(rollouts);
        self.outputs.admission.apply(|dispatcher, now| {
            let effects = match records {
                Some(records) => {
                    let count = i64::try_from(records.len()).unwrap_or(i64::MAX);
                    self.outputs.metrics.endpoints.set(count);
                    dispatcher.set_endpoints(now, records)
                }
                None => Vec::new(),
            };
            for (endpoint, started_ms) in started {
                dispatcher.record_started(now, &endpoint, started_ms);
            }
            effects
        });
        if !changed {
            return;
        }
        let plan = self.outputs.plan.borrow().as_deref().cloned();
        let (orders, records) = self.outputs.rollouts.snapshot();
        self.outputs.snapshot.send_replace(Arc::new(Snapshot {
            plan,
            endpoints: self.endpoints.entries(),
            nodes: self.nodes.iter().cloned().collect(),
            orders,
            records,
            ..Snapshot::default()
        }));
    }
}

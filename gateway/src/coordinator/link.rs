//! A node's side of a link: lets its coordinator decide, and detects when the
//! coordinator is gone.

use std::{
    cell::Cell,
    collections::HashMap,
    net::{AddrParseError, SocketAddr},
    rc::Rc,
    time::Duration,
};

use capnp::Error;
use dottereltally::clock::Clock;
use dottereltally_lib::id;
use dottereltally_proto::gateway_capnp::desk;
use tokio::{
    select,
    sync::{mpsc, watch},
    task::JoinSet,
    time::{Instant, MissedTickBehavior, interval, sleep, timeout},
};

use crate::{
    admission::{self, Command},
    coordinator::wire,
    directory::Node,
    heartbeat::{list_length, write_loads},
    rpc,
};

/// Timeout for connecting to a coordinator, and for its first answer; a round
/// trip within a data centre takes a millisecond.
const OPEN_TIMEOUT: Duration = Duration::from_millis(400);

/// Time without an answer from the coordinator, while requests wait there,
/// after which it is pinged.
const QUIET_BEFORE_PING: Duration = Duration::from_millis(150);

/// Timeout of a ping; a request has only a few hundred milliseconds in all to be
/// on time.
const PING_TIMEOUT: Duration = Duration::from_millis(250);

/// Time between two checks of the coordinator.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Nodes at the top of the ranking that are tried as coordinator; while all
/// nodes of a data centre start, none is ready, and deciding alone is enough.
const MAX_CANDIDATES: usize = 3;

/// Time for which a coordinator that failed is skipped.
const FAILED_COORDINATOR_COOLDOWN: Duration = Duration::from_secs(1);

/// Why a coordinator no longer decides for this node.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// It can't be called.
    #[error(transparent)]
    Unreachable(#[from] rpc::Failure),
    /// Its address can't be parsed.
    #[error("unreadable address: {0}; run the same version on all nodes")]
    Address(#[from] AddrParseError),
    /// Another node is the coordinator now.
    #[error("another node is the coordinator")]
    Replaced,
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        rpc::Failure::from(error).into()
    }
}

/// A node's side of the link to its coordinator.
pub struct Link {
    own_name: id::Node,
    admission: admission::Handle,
    clock: Clock,
    /// The nodes of the data centre as ranked, the coordinator first.
    ranked_nodes: watch::Receiver<Vec<Node>>,
    /// Coordinators that failed recently, and until when they are skipped.
    cooling_down: HashMap<id::Node, Instant>,
}

impl Link {
    /// Builds a link that is not connected yet.
    #[must_use]
    pub fn new(
        own_name: id::Node,
        admission: admission::Handle,
        clock: Clock,
        ranked_nodes: watch::Receiver<Vec<Node>>,
    ) -> Self {
        Self {
            own_name,
            admission,
            clock,
            ranked_nodes,
            cooling_down: HashMap::new(),
        }
    }

    /// Keeps the node linked to its coordinator; must run in a local task set.
    pub async fn run(mut self) {
        loop {
            let now = Instant::now();
            self.cooling_down.retain(|_, until| *until > now);
            let Some(coordinator) = self.coordinator() else {
                // This node is the coordinator, or the candidates failed
                // recently.
                select! {
                    changed = self.ranked_nodes.changed() => if changed.is_err() {
                        return;
                    },
                    () = sleep(FAILED_COORDINATOR_COOLDOWN) => {}
                }
                continue;
            };
            if let Err(failure) = self.delegate_to(&coordinator).await {
                tracing::info!(home = %coordinator.name, cause = %failure, "no coordinator: this node chooses endpoints itself");
                if !matches!(failure, Failure::Replaced) {
                    let until = Instant::now() + FAILED_COORDINATOR_COOLDOWN;
                    self.cooling_down.insert(coordinator.name, until);
                }
            }
        }
    }

    /// Returns the coordinator, unless it is this node.
    fn coordinator(&self) -> Option<Node> {
        let now = Instant::now();
        let ranked_nodes = self.ranked_nodes.borrow();
        let mut ranked_nodes = ranked_nodes.iter().take(MAX_CANDIDATES);
        let coordinator = ranked_nodes.find(|node| {
            let until = self.cooling_down.get(&node.name);
            until.is_none_or(|until| *until <= now)
        })?;
        (coordinator.name != self.own_name).then(|| coordinator.clone())
    }

    /// Lets a coordinator decide until it fails or another node is the
    /// coordinator.
    async fn delegate_to(&self, coordinator: &Node) -> Result<(), Failure> {
        let address: SocketAddr = coordinator.rpc_address.parse()?;
        let timed_out = |_| rpc::Failure::Timeout;
        let connecting = timeout(OPEN_TIMEOUT, rpc::connect(address));
        let connection = connecting.await.map_err(timed_out)??;
        let mut open = connection.client.open_request();
        open.get().set_node(self.own_name.as_str());
        let loads = self.admission.count_locally();
        write_loads(&loads, open.get().init_held(list_length(loads.len())));
        let opening = timeout(OPEN_TIMEOUT, open.send().promise);
        let session = opening.await.map_err(timed_out)??;
        let session = session.get()?.get_desk()?;
        tracing::info!(home = %coordinator.name, %address, "coordinator chooses endpoints for this node");
        let (commands, receiver) = mpsc::unbounded_channel();
        self.admission.set_coordinator(Some(commands));
        let ended = self.forward_commands(coordinator, &session, receiver).await;
        self.admission.set_coordinator(None);
        ended
    }

    /// Sends commands to the coordinator and checks that it answers.
    async fn forward_commands(
        &self,
        coordinator: &Node,
        session: &desk::Client,
        mut receiver: mpsc::UnboundedReceiver<Command>,
    ) -> Result<(), Failure> {
        let mut calls: JoinSet<Result<(), Error>> = JoinSet::new();
        let liveness = Rc::new(Liveness::default());
        let mut ticks = interval(CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            select! {
                biased;
                Some(ended) = calls.join_next() => if let Ok(ended) = ended {
                    ended?;
                },
                command = receiver.recv() => match command {
                    Some(command) => self.send_command(session, command, &liveness, &mut calls),
                    None => return Err(Failure::Replaced),
                },
                _ = ticks.tick() => {
                    if self.coordinator().is_none_or(|best| best.name != coordinator.name) {
                        return Err(Failure::Replaced);
                    }
                    if liveness.ping_timed_out() {
                        return Err(rpc::Failure::Timeout.into());
                    }
                    if liveness.ping_is_due() {
                        liveness.pinged_at.set(Some(Instant::now()));
                        let answer = session.ping_request().send().promise;
                        let liveness = Rc::clone(&liveness);
                        calls.spawn_local(async move {
                            answer.await?;
                            liveness.record_answer();
                            Ok(())
                        });
                    }
                }
            }
        }
    }

    /// Sends a command; its answer is handled by a task in `calls`.
    fn send_command(
        &self,
        session: &desk::Client,
        command: Command,
        liveness: &Rc<Liveness>,
        calls: &mut JoinSet<Result<(), Error>>,
    ) {
        match command {
            Command::Admit(id, request, reply) => {
                let mut message = session.admit_request();
                message.get().set_request(id.0);
                wire::write_request(&request, self.clock.now(), message.get().init_ask());
                let answer = message.send().promise;
                let liveness = Rc::clone(liveness);
                liveness.waiting.set(liveness.waiting.get() + 1);
                calls.spawn_local(async move {
                    let answer = answer.await?;
                    liveness
                        .waiting
                        .set(liveness.waiting.get().saturating_sub(1));
                    liveness.record_answer();
                    let decision = wire::read_decision(answer.get()?.get_decision()?)?;
                    // The caller may have left in the meantime.
                    let _left = reply.send(decision);
                    Ok(())
                });
            }
            Command::FirstByte(id) => {
                let mut message = session.start_request();
                message.get().set_request(id.0);
                let answer = message.send().promise;
                calls.spawn_local(async move { answer.await.map(|_| ()) });
            }
            Command::End(id, outcome) => {
                let mut message = session.end_request();
                message.get().set_request(id.0);
                wire::write_outcome(outcome, message.get());
                let answer = message.send().promise;
                calls.spawn_local(async move { answer.await.map(|_| ()) });
            }
        }
    }
}

/// Detects a coordinator that does not answer.
struct Liveness {
    /// Requests that wait for the decision of the coordinator.
    waiting: Cell<usize>,
    /// When the coordinator last answered, or the link was opened.
    last_answer: Cell<Instant>,
    /// When the ping was sent that is not answered yet, if there is one.
    pinged_at: Cell<Option<Instant>>,
}

impl Default for Liveness {
    fn default() -> Self {
        Self {
            waiting: Cell::new(0),
            last_answer: Cell::new(Instant::now()),
            pinged_at: Cell::new(None),
        }
    }
}

impl Liveness {
    fn record_answer(&self) {
        self.last_answer.set(Instant::now());
        self.pinged_at.set(None);
    }

    fn ping_is_due(&self) -> bool {
        self.waiting.get() > 0
            && self.pinged_at.get().is_none()
            && self.last_answer.get().elapsed() >= QUIET_BEFORE_PING
    }

    fn ping_timed_out(&self) -> bool {
        let pinged_at = self.pinged_at.get();
        pinged_at.is_some_and(|pinged_at| pinged_at.elapsed() >= PING_TIMEOUT)
    }
}

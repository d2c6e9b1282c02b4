//! The daemon's client for calling peers.
//!
//! The types of the RPC library are not `Send`, so all connections live on a
//! dedicated thread with a current-thread runtime; handles send commands to it
//! through channels.

use std::{
    collections::{HashMap, VecDeque},
    io, net,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
};

use dottereltally_lib::{event, id, membership::heartbeat::Heartbeat};
use dottereltally_store::layout;
use tokio::{
    net::TcpListener,
    runtime,
    sync::{mpsc, oneshot},
    task::{LocalSet, spawn_local},
    time::{Duration, interval},
};

use crate::peer::{
    Error, Peers, Service, Status,
    connection::{Call, Reply},
    metrics::Metrics,
    pool::Pool,
    server::{self, Exchange, Shared},
};

/// Maximum number of calls queued for the thread; further ones fail at once.
const MAX_QUEUED_CALLS: usize = 1024;
/// Maximum number of peers' heartbeats queued for the membership; further ones
/// are answered with an overload error.
const MAX_QUEUED_EXCHANGES: usize = 256;
/// Maximum number of admission messages queued for one peer; the oldest is
/// dropped to make room for a further one.
const MAX_OUTBOX_MESSAGES: usize = 256;
/// Maximum number of peers that are asked for one configuration.
const MAX_CANDIDATES: usize = 4;
/// Time between two checks for idle connections.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Commands to the thread.
enum Command {
    /// Make a call.
    Call {
        address: String,
        call: Call,
        reply: oneshot::Sender<capnp::Result<Reply>>,
    },
    /// Deliver the queued admission messages of a node.
    Deliver(id::Node),
}

/// Addresses of the nodes, as last updated by the membership.
#[derive(Debug, Default)]
struct Directory {
    addresses: HashMap<id::Node, String>,
    /// Nodes that have reported a higher generation, the latest first.
    ahead: Vec<id::Node>,
}

/// Queued admission messages by destination.
type Outboxes = HashMap<id::Node, VecDeque<event::Message>>;

/// State shared by the handles and the thread.
#[derive(Debug)]
struct State {
    node: id::Node,
    directory: Mutex<Directory>,
    outboxes: Mutex<Outboxes>,
    metrics: Metrics,
}

/// Calls the peers; clones share the connections.
///
/// The thread ends once every handle is dropped.
#[derive(Clone, Debug)]
pub struct Handle {
    calls: mpsc::Sender<Command>,
    deliveries: mpsc::UnboundedSender<Command>,
    state: Arc<State>,
}

/// Starts the thread that serves and calls peers.
///
/// The returned receiver yields the heartbeats of peers and belongs to the
/// membership. The handle knows no peer until [`Handle::set_addresses`] is
/// called.
///
/// # Errors
///
/// Fails if the listener or the thread can't be set up.
pub fn start(
    node: id::Node,
    listener: net::TcpListener,
    service: Arc<dyn Service>,
    metrics: Metrics,
) -> io::Result<(Handle, mpsc::Receiver<Exchange>)> {
    listener.set_nonblocking(true)?;
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let listener = {
        let _guard = runtime.enter();
        TcpListener::from_std(listener)?
    };
    let (calls, call_receiver) = mpsc::channel(MAX_QUEUED_CALLS);
    let (deliveries, delivery_receiver) = mpsc::unbounded_channel();
    let (exchanges, exchange_receiver) = mpsc::channel(MAX_QUEUED_EXCHANGES);
    let state = Arc::new(State {
        node,
        directory: Mutex::default(),
        outboxes: Mutex::default(),
        metrics: metrics.clone(),
    });
    let shared = Shared {
        service,
        exchanges,
        metrics,
    };
    let worker_state = state.clone();
    thread::Builder::new()
        .name("peers".to_owned())
        .spawn(move || {
            let worker = Worker {
                pool: Pool::new(worker_state.metrics.clone()),
                state: worker_state,
            };
            let local = LocalSet::new();
            local.spawn_local(server::accept(listener, shared));
            let work = worker.run(call_receiver, delivery_receiver);
            local.block_on(&runtime, work);
        })?;
    let handle = Handle {
        calls,
        deliveries,
        state,
    };
    Ok((handle, exchange_receiver))
}

/// Locks a mutex, also if it is poisoned: no panic leaves its content invalid.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Executes the handles' commands on the thread.
#[derive(Clone)]
struct Worker {
    pool: Pool,
    state: Arc<State>,
}

impl Worker {
    /// Executes commands until all handles are dropped.
    async fn run(
        self,
        mut calls: mpsc::Receiver<Command>,
        mut deliveries: mpsc::UnboundedReceiver<Command>,
    ) {
        let mut ticks = interval(IDLE_CHECK_INTERVAL);
        loop {
            let command = tokio::select! {
                command = calls.recv() => command,
                command = deliveries.recv() => command,
                _ = ticks.tick() => {
                    self.pool.close_idle();
                    continue;
                }
            };
            let worker = self.clone();
            match command {
                None => return,
                Some(Command::Call {
                    address,
                    call,
                    reply,
                }) => {
                    spawn_local(async move {
                        // Fails only if the receiver was dropped.
                        let _ = reply.send(worker.pool.call(&address, &call).await);
                    });
                }
                Some(Command::Deliver(node)) => {
                    spawn_local(async move { worker.deliver(node).await });
                }
            }
        }
    }

    /// Delivers a node's queued messages, oldest first, until none is left.
    async fn deliver(&self, node: id::Node) {
        while let Some(message) = self.pop_message(&node) {
            let address = lock(&self.state.directory).addresses.get(&node).cloned();
            let Some(address) = address else {
                self.state.metrics.lost.inc();
                continue;
            };
            let call = Call::Admission {
                sender: self.state.node.clone(),
                message,
            };
            if self.pool.call_once(&address, &call).await.is_err() {
                self.state.metrics.lost.inc();
            }
        }
    }

    /// Removes and returns the oldest message for a node; removes the outbox if it
    /// is empty.
    fn pop_message(&self, node: &id::Node) -> Option<event::Message> {
        let mut outboxes = lock(&self.state.outboxes);
        let message = outboxes.get_mut(node)?.pop_front();
        if message.is_none() {
            outboxes.remove(node);
        }
        message
    }
}

impl Handle {
    /// Replaces the addresses of the peers.
    pub fn set_addresses(&self, addresses: Vec<(id::Node, String)>) {
        let mut directory = lock(&self.state.directory);
        directory.addresses = addresses.into_iter().collect();
    }

    /// Records that a peer has a higher generation in force, so that it is asked
    /// first for its configuration.
    pub fn prefer(&self, node: id::Node) {
        let mut directory = lock(&self.state.directory);
        directory.ahead.retain(|other| *other != node);
        directory.ahead.insert(0, node);
        directory.ahead.truncate(MAX_CANDIDATES);
    }

    /// Exchanges heartbeats with the peer at an address.
    ///
    /// # Errors
    ///
    /// Fails if the peer does not answer on a new connection.
    pub async fn exchange(
        &self,
        node: &id::Node,
        address: String,
        heartbeat: Heartbeat,
    ) -> Result<Heartbeat, Error> {
        match self.call(node, address, Call::Exchange(heartbeat)).await? {
            Reply::Heartbeat(heartbeat) => Ok(heartbeat),
            _ => Err(wrong_type(node)),
        }
    }

    /// Makes a call through the thread.
    async fn call(&self, node: &id::Node, address: String, call: Call) -> Result<Reply, Error> {
        let unreachable = |cause: &str| Error::Unreachable {
            node: node.clone(),
            cause: cause.to_owned(),
        };
        let (reply, result) = oneshot::channel();
        let command = Command::Call {
            address,
            call,
            reply,
        };
        self.calls
            .try_send(command)
            .map_err(|_| unreachable("too many calls are queued"))?;
        let result = result
            .await
            .map_err(|_| unreachable("the node is stopping"))?;
        result.map_err(|error| unreachable(&error.to_string()))
    }

    fn address(&self, node: &id::Node) -> Result<String, Error> {
        let directory = lock(&self.state.directory);
        let address = directory.addresses.get(node).cloned();
        address.ok_or_else(|| Error::NotLive(node.clone()))
    }

    /// Returns the peers to ask for a configuration: first those that have
    /// reported a higher generation, then others.
    fn candidates(&self) -> Vec<(id::Node, String)> {
        let directory = lock(&self.state.directory);
        let mut candidates = Vec::new();
        for node in &directory.ahead {
            if let Some(address) = directory.addresses.get(node) {
                candidates.push((node.clone(), address.clone()));
            }
        }
        for (node, address) in &directory.addresses {
            if candidates.len() >= MAX_CANDIDATES {
                break;
            }
            if !directory.ahead.contains(node) {
                candidates.push((node.clone(), address.clone()));
            }
        }
        candidates
    }
}

/// Returns the error for a reply of the wrong type.
fn wrong_type(node: &id::Node) -> Error {
    Error::Unreachable {
        node: node.clone(),
        cause: "the reply has the wrong type".to_owned(),
    }
}

impl Peers for Handle {
    async fn attempt_status(
        &self,
        node: &id::Node,
        claim: &str,
        token: &str,
    ) -> Result<Status, Error> {
        let address = self.address(node)?;
        let call = Call::AttemptStatus {
            claim: claim.to_owned(),
            token: token.to_owned(),
        };
        match self.call(node, address, call).await? {
            Reply::AttemptStatus(status) => Ok(status),
            _ => Err(wrong_type(node)),
        }
    }

    async fn configuration(&self, above: id::Generation) -> Option<layout::Configuration> {
        for (node, address) in self.candidates() {
            let reply = self.call(&node, address, Call::Configuration(above)).await;
            let Ok(Reply::Configuration(Some(record))) = reply else {
                continue;
            };
            if record.generation > above {
                return Some(record);
            }
        }
        None
    }

    fn send(&self, node: &id::Node, message: event::Message) {
        let mut outboxes = lock(&self.state.outboxes);
        if let Some(outbox) = outboxes.get_mut(node) {
            if outbox.len() >= MAX_OUTBOX_MESSAGES {
                outbox.pop_front();
                self.state.metrics.dropped.inc();
            }
            outbox.push_back(message);
            return;
        }
        outboxes.insert(node.clone(), VecDeque::from([message]));
        // The thread ends only after the last handle is dropped.
        let _ = self.deliveries.send(Command::Deliver(node.clone()));
    }
}

//! How the rest of the daemon reaches the peers.
//!
//! The RPC library is bound to one thread, so the connections live on a
//! thread of their own with a current-thread runtime; handles talk to it by
//! channels.

use std::{
    collections::{HashMap, VecDeque},
    io, net,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
};

use dottereltally_lib::{event, id, membership::beat::Beat};
use dottereltally_store::layout;
use tokio::{
    net::TcpListener,
    runtime,
    sync::{mpsc, oneshot},
    task::{LocalSet, spawn_local},
    time::{Duration, interval},
};

use crate::peer::{
    Answer, Error, Peers, Service,
    connection::{Call, Reply},
    metrics::Metrics,
    pool::Pool,
    server::{self, Exchange, Shared},
};

/// Calls that may wait for the thread.
const MAX_CALLS: usize = 1024;
/// Beats of peers that may wait for the membership.
const MAX_EXCHANGES: usize = 256;
/// Admission messages that may wait for one peer.
const MAX_OUTBOX: usize = 256;
/// Peers asked for a configuration before giving up.
const MAX_ASKED: usize = 4;
/// Time between two looks for idle connections.
const IDLE_INTERVAL: Duration = Duration::from_secs(5);

/// What the thread is told.
enum Command {
    /// Make a call.
    Call {
        address: String,
        call: Call,
        reply: oneshot::Sender<capnp::Result<Reply>>,
    },
    /// Deliver what waits for a node.
    Deliver(id::Node),
}

/// Nodes and where they are reached, as the membership last said.
#[derive(Debug, Default)]
struct Directory {
    addresses: HashMap<id::Node, String>,
    ahead: Vec<id::Node>,
}

/// Admission messages by the node that they wait for.
type Outboxes = HashMap<id::Node, VecDeque<event::Message>>;

/// What handles and the thread share.
#[derive(Debug)]
struct State {
    node: id::Node,
    directory: Mutex<Directory>,
    outboxes: Mutex<Outboxes>,
    metrics: Metrics,
}

/// Reaches the peers; clones share the connections.
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
/// Beats of peers arrive at the returned receiver, which the membership
/// takes. The handle knows no peer until [`Handle::update`] is called.
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
    let (calls, call_receiver) = mpsc::channel(MAX_CALLS);
    let (deliveries, delivery_receiver) = mpsc::unbounded_channel();
    let (exchanges, exchange_receiver) = mpsc::channel(MAX_EXCHANGES);
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
    let thread_state = state.clone();
    thread::Builder::new()
        .name("peers".to_owned())
        .spawn(move || {
            let worker = Worker {
                pool: Pool::new(thread_state.metrics.clone()),
                state: thread_state,
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

/// Locks a mutex; a panic elsewhere leaves its content usable.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The part of the handle that lives on the thread.
#[derive(Clone)]
struct Worker {
    pool: Pool,
    state: Arc<State>,
}

impl Worker {
    /// Serves the handles until all of them are dropped.
    async fn run(
        self,
        mut calls: mpsc::Receiver<Command>,
        mut deliveries: mpsc::UnboundedReceiver<Command>,
    ) {
        let mut ticks = interval(IDLE_INTERVAL);
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
                        // The caller may have stopped waiting.
                        let _ = reply.send(worker.pool.call(&address, &call).await);
                    });
                }
                Some(Command::Deliver(node)) => {
                    spawn_local(async move { worker.deliver(node).await });
                }
            }
        }
    }

    /// Delivers what waits for a node, oldest first, until nothing waits.
    async fn deliver(&self, node: id::Node) {
        while let Some(message) = self.next(&node) {
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

    /// Takes the oldest message for a node; an empty outbox goes away.
    fn next(&self, node: &id::Node) -> Option<event::Message> {
        let mut outboxes = lock(&self.state.outboxes);
        let message = outboxes.get_mut(node)?.pop_front();
        if message.is_none() {
            outboxes.remove(node);
        }
        message
    }
}

impl Handle {
    /// Replaces what is known of where the peers are.
    pub fn update(&self, addresses: Vec<(id::Node, String)>) {
        let mut directory = lock(&self.state.directory);
        directory.addresses = addresses.into_iter().collect();
    }

    /// Remembers that a peer has a higher generation in force, so that it is
    /// asked first.
    pub fn prefer(&self, node: id::Node) {
        let mut directory = lock(&self.state.directory);
        directory.ahead.retain(|other| *other != node);
        directory.ahead.insert(0, node);
        directory.ahead.truncate(MAX_ASKED);
    }

    /// Exchanges beats with the peer at an address.
    ///
    /// # Errors
    ///
    /// Fails if the peer does not answer on a new connection.
    pub async fn exchange(
        &self,
        node: &id::Node,
        address: String,
        beat: Beat,
    ) -> Result<Beat, Error> {
        match self.call(node, address, Call::Exchange(beat)).await? {
            Reply::Beat(beat) => Ok(beat),
            _ => Err(mismatch(node)),
        }
    }

    /// Makes a call on the thread.
    async fn call(&self, node: &id::Node, address: String, call: Call) -> Result<Reply, Error> {
        let silent = |cause: &str| Error::Silent {
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
            .map_err(|_| silent("too many calls wait"))?;
        let result = result.await.map_err(|_| silent("the node is stopping"))?;
        result.map_err(|error| silent(&error.to_string()))
    }

    fn address(&self, node: &id::Node) -> Result<String, Error> {
        let directory = lock(&self.state.directory);
        let address = directory.addresses.get(node).cloned();
        address.ok_or_else(|| Error::NotLive(node.clone()))
    }

    /// Returns whom to ask for a configuration: those that have said that
    /// they are ahead, then others.
    fn candidates(&self) -> Vec<(id::Node, String)> {
        let directory = lock(&self.state.directory);
        let mut candidates = Vec::new();
        for node in &directory.ahead {
            if let Some(address) = directory.addresses.get(node) {
                candidates.push((node.clone(), address.clone()));
            }
        }
        for (node, address) in &directory.addresses {
            if candidates.len() >= MAX_ASKED {
                break;
            }
            if !directory.ahead.contains(node) {
                candidates.push((node.clone(), address.clone()));
            }
        }
        candidates
    }
}

/// Returns the error for a reply of the wrong kind.
fn mismatch(node: &id::Node) -> Error {
    Error::Silent {
        node: node.clone(),
        cause: "the reply is of another kind".to_owned(),
    }
}

impl Peers for Handle {
    async fn answer(&self, node: &id::Node, claim: &str, token: &str) -> Result<Answer, Error> {
        let address = self.address(node)?;
        let call = Call::Answer {
            claim: claim.to_owned(),
            token: token.to_owned(),
        };
        match self.call(node, address, call).await? {
            Reply::Answer(answer) => Ok(answer),
            _ => Err(mismatch(node)),
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
            if outbox.len() >= MAX_OUTBOX {
                outbox.pop_front();
                self.state.metrics.dropped.inc();
            }
            outbox.push_back(message);
            return;
        }
        outboxes.insert(node.clone(), VecDeque::from([message]));
        // The thread only ends after the last handle.
        let _ = self.deliveries.send(Command::Deliver(node.clone()));
    }
}

//! Shares the gate between the tasks that serve requests, and lets the node's
//! home decide while there is one.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use dottereltally::clock::Clock;
use dottereltally_lib::{
    gate::{Ask, Choice, Effect, Gate, Held, Outcome},
    id,
    refusal::Refusal,
};
use tokio::sync::{mpsc, oneshot};

/// The chosen endpoint, or why the request is refused.
pub type Decision = Result<Choice, Refusal>;

/// A command to the node's home.
#[derive(Debug)]
pub enum Command {
    /// Choose an endpoint for a request.
    Admit(id::Request, Ask, oneshot::Sender<Decision>),
    /// The first byte of an answer arrived.
    FirstByte(id::Request),
    /// A request ended at its endpoint, or was withdrawn while it waited.
    End(id::Request, Outcome),
}

type Commands = mpsc::UnboundedSender<Command>;

struct State {
    gate: Gate,
    /// Sends commands to the home, while there is one.
    home: Option<Commands>,
    waiting: HashMap<id::Request, oneshot::Sender<Decision>>,
}

struct Shared {
    state: Mutex<State>,
    next_request: AtomicU64,
    clock: Clock,
}

/// Handle of the gate; clones share the gate.
#[derive(Clone)]
pub struct Handle {
    shared: Arc<Shared>,
}

impl Handle {
    /// Wraps a gate.
    #[must_use]
    pub fn new(gate: Gate, clock: Clock) -> Self {
        let state = State {
            gate,
            home: None,
            waiting: HashMap::new(),
        };
        Self {
            shared: Arc::new(Shared {
                state: Mutex::new(state),
                next_request: AtomicU64::new(1),
                clock,
            }),
        }
    }

    /// Waits until an endpoint is chosen, by the node's home if there is one and
    /// by this node's own gate otherwise.
    ///
    /// Dropping the future withdraws the request.
    ///
    /// # Errors
    ///
    /// Fails with the refusal of the node that decided.
    pub async fn admit(&self, ask: Ask) -> Result<(Choice, Permit), Refusal> {
        let home = self.lock().home.clone();
        if let Some(home) = home
            && let Some(decided) = self.admit_by_home(home, ask.clone()).await
        {
            return decided;
        }
        self.admit_locally(ask).await
    }

    /// Waits until this node's own gate has chosen an endpoint.
    ///
    /// Dropping the future withdraws the request.
    ///
    /// # Errors
    ///
    /// Fails with the gate's refusal.
    pub async fn admit_locally(&self, ask: Ask) -> Result<(Choice, Permit), Refusal> {
        let request = self.next_request_id();
        let (reply, decision) = oneshot::channel();
        let permit = self.permit(request, None);
        self.lock().waiting.insert(request, reply);
        self.apply(|gate, now| gate.arrive(now, request, ask));
        // The sender stays in `waiting` until it is used.
        let Ok(decision) = decision.await else {
            unreachable!("a waiting request is decided on or withdrawn");
        };
        match decision {
            Ok(choice) => Ok((choice, permit)),
            Err(refusal) => {
                permit.disarm();
                Err(refusal)
            }
        }
    }

    /// Lets the home decide; none if it can't, or if this node can't use the
    /// endpoint that it chose.
    async fn admit_by_home(
        &self,
        home: Commands,
        ask: Ask,
    ) -> Option<Result<(Choice, Permit), Refusal>> {
        let request = self.next_request_id();
        let (reply, decision) = oneshot::channel();
        home.send(Command::Admit(request, ask.clone(), reply))
            .ok()?;
        // Dropping the permit withdraws the request.
        let permit = self.permit(request, Some(home.clone()));
        let Ok(decision) = decision.await else {
            permit.disarm();
            return None;
        };
        match decision {
            Ok(choice) => {
                let now = self.shared.clock.now();
                let mut state = self.lock();
                // The link may have ended since the home decided.
                let current = state.home.as_ref();
                let delegated = current.is_some_and(|current| current.same_channel(&home));
                let endpoint = &choice.endpoint;
                if !state.gate.adopt(now, request, ask, endpoint, delegated) {
                    drop(state);
                    tracing::info!(
                        endpoint = %choice.endpoint,
                        "the endpoint chosen by the home takes no new requests: this node decides"
                    );
                    return None;
                }
                Some(Ok((choice, permit)))
            }
            Err(refusal) => {
                permit.disarm();
                Some(Err(refusal))
            }
        }
    }

    /// Sets who decides: the home that receives `commands`, or this node if there
    /// is none.
    pub fn set_home(&self, commands: Option<Commands>) {
        let mut state = self.lock();
        if commands.is_none() {
            state.gate.reclaim();
        }
        state.home = commands;
    }

    /// Returns whether a home decides for this node.
    #[must_use]
    pub fn has_home(&self) -> bool {
        self.lock().home.is_some()
    }

    /// Counts all requests of this node at its own gate again, also those that a
    /// home decided on; returns the counts by endpoint.
    #[must_use]
    pub fn reclaim(&self) -> Vec<(id::Endpoint, Held)> {
        self.lock().gate.reclaim()
    }

    fn next_request_id(&self) -> id::Request {
        id::Request(self.shared.next_request.fetch_add(1, Ordering::Relaxed))
    }

    fn permit(&self, request: id::Request, home: Option<Commands>) -> Permit {
        Permit {
            handle: self.clone(),
            request,
            home,
            ended: false,
        }
    }

    /// Changes the gate and carries out the effects of the change.
    pub fn apply(
        &self,
        change: impl FnOnce(&mut Gate, dottereltally_lib::time::Instant) -> Vec<Effect>,
    ) {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        let mut effects = change(&mut state.gate, now);
        while let Some(effect) = effects.pop() {
            match effect {
                Effect::Send(request, choice) => {
                    let reply = state.waiting.remove(&request);
                    let delivered = reply.is_some_and(|reply| reply.send(Ok(choice)).is_ok());
                    if !delivered {
                        effects.extend(state.gate.withdraw(now, request));
                    }
                }
                Effect::Refuse(request, refusal) => {
                    if let Some(reply) = state.waiting.remove(&request) {
                        // The caller may have left in the meantime.
                        let _left = reply.send(Err(refusal));
                    }
                }
            }
        }
    }

    /// Returns this node's requests by endpoint, as it reports them to the other
    /// nodes; the mean time between events is reported once.
    #[must_use]
    pub fn held(&self) -> Vec<(id::Endpoint, Held)> {
        self.lock().gate.held()
    }

    /// Reads from the gate.
    pub fn read<T>(&self, read: impl FnOnce(&Gate) -> T) -> T {
        read(&self.lock().gate)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request's place in the queue, then at an endpoint; dropping it withdraws
/// the request.
pub struct Permit {
    handle: Handle,
    request: id::Request,
    /// Sends commands to the home, if the home decided.
    home: Option<Commands>,
    ended: bool,
}

impl Permit {
    /// Returns whether the home decided on the request.
    #[must_use]
    pub fn is_delegated(&self) -> bool {
        self.home.is_some()
    }

    /// Records that the first byte of the answer arrived.
    pub fn record_first_byte(&self) {
        let request = self.request;
        self.notify_home(Command::FirstByte(request));
        self.handle.apply(|gate, now| {
            gate.start(now, request);
            Vec::new()
        });
    }

    /// Releases the place and records how the request ended.
    pub fn end(mut self, outcome: Outcome) {
        self.ended = true;
        let request = self.request;
        self.notify_home(Command::End(request, outcome));
        self.handle
            .apply(|gate, now| gate.end(now, request, outcome));
    }

    /// Drops the permit without effect: the node that decided has already
    /// released the place.
    fn disarm(mut self) {
        self.ended = true;
    }

    fn notify_home(&self, command: Command) {
        if let Some(home) = &self.home {
            // A home that is gone has released the place itself.
            let _gone = home.send(command);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let request = self.request;
        self.notify_home(Command::End(request, Outcome::Cancelled));
        self.handle.lock().waiting.remove(&request);
        self.handle.apply(|gate, now| gate.withdraw(now, request));
    }
}

//! The gate as the requests' tasks see it.

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

/// What the gate decides on a request.
pub type Decision = Result<Choice, Refusal>;

/// What the node's home is told.
#[derive(Debug)]
pub enum Order {
    /// A request needs an endpoint.
    Admit(id::Request, Ask, oneshot::Sender<Decision>),
    /// The first byte of an answer came.
    Start(id::Request),
    /// A request ended at its endpoint, or does not wait any more.
    End(id::Request, Outcome),
}

type Orders = mpsc::UnboundedSender<Order>;

struct State {
    gate: Gate,
    /// Takes orders to the home, while there is one.
    home: Option<Orders>,
    waiting: HashMap<id::Request, oneshot::Sender<Decision>>,
}

struct Shared {
    state: Mutex<State>,
    next: AtomicU64,
    clock: Clock,
}

/// Handle of the gate; clones share it.
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
                next: AtomicU64::new(1),
                clock,
            }),
        }
    }

    /// Waits until an endpoint is chosen, by the node's home if there is one.
    ///
    /// Dropping the future withdraws the request.
    ///
    /// # Errors
    ///
    /// Fails with the refusal of who decided.
    pub async fn admit(&self, ask: Ask) -> Result<(Choice, Place), Refusal> {
        let home = self.lock().home.clone();
        if let Some(home) = home
            && let Some(decided) = self.ask_home(home, ask.clone()).await
        {
            return decided;
        }
        self.decide(ask).await
    }

    /// Waits until this node's own gate has chosen an endpoint.
    ///
    /// Dropping the future withdraws the request.
    ///
    /// # Errors
    ///
    /// Fails with the gate's refusal.
    pub async fn decide(&self, ask: Ask) -> Result<(Choice, Place), Refusal> {
        let request = self.number();
        let (reply, decision) = oneshot::channel();
        let place = self.place(request, None);
        self.lock().waiting.insert(request, reply);
        self.apply(|gate, now| gate.arrive(now, request, ask));
        // The sender lives in the table until it is used.
        let Ok(decision) = decision.await else {
            unreachable!("a waiting request is decided on or withdrawn");
        };
        match decision {
            Ok(choice) => Ok((choice, place)),
            Err(refusal) => {
                place.forget();
                Err(refusal)
            }
        }
    }

    /// Has the home decide; none if it can't, or if its choice can't be used.
    async fn ask_home(&self, home: Orders, ask: Ask) -> Option<Result<(Choice, Place), Refusal>> {
        let request = self.number();
        let (reply, decision) = oneshot::channel();
        home.send(Order::Admit(request, ask.clone(), reply)).ok()?;
        // Dropping it takes the request back.
        let place = self.place(request, Some(home.clone()));
        let Ok(decision) = decision.await else {
            place.forget();
            return None;
        };
        match decision {
            Ok(choice) => {
                let now = self.shared.clock.now();
                let mut state = self.lock();
                // The link may have ended since the home decided.
                let current = state.home.as_ref();
                let linked = current.is_some_and(|current| current.same_channel(&home));
                let endpoint = &choice.endpoint;
                if !state.gate.adopt(now, request, ask, endpoint, linked) {
                    drop(state);
                    tracing::info!(endpoint = %choice.endpoint, "the home's choice leaves: decided here");
                    return None;
                }
                Some(Ok((choice, place)))
            }
            Err(refusal) => {
                place.forget();
                Some(Err(refusal))
            }
        }
    }

    /// Takes over who decides: the home at the end of `orders`, or this node.
    pub fn delegate(&self, orders: Option<Orders>) {
        let mut state = self.lock();
        if orders.is_none() {
            state.gate.reclaim();
        }
        state.home = orders;
    }

    /// Returns whether a home decides for this node.
    #[must_use]
    pub fn has_home(&self) -> bool {
        self.lock().home.is_some()
    }

    /// Counts this node's requests here again; returns them by endpoint.
    #[must_use]
    pub fn reclaim(&self) -> Vec<(id::Endpoint, Held)> {
        self.lock().gate.reclaim()
    }

    fn number(&self) -> id::Request {
        id::Request(self.shared.next.fetch_add(1, Ordering::Relaxed))
    }

    fn place(&self, request: id::Request, home: Option<Orders>) -> Place {
        Place {
            handle: self.clone(),
            request,
            home,
            ended: false,
        }
    }

    /// Changes the gate and carries out what follows.
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
                    let taken = reply.is_some_and(|reply| reply.send(Ok(choice)).is_ok());
                    if !taken {
                        effects.extend(state.gate.withdraw(now, request));
                    }
                }
                Effect::Refuse(request, refusal) => {
                    if let Some(reply) = state.waiting.remove(&request) {
                        // The caller may have left meanwhile.
                        let _left = reply.send(Err(refusal));
                    }
                }
            }
        }
    }

    /// Returns what this node tells the others from here on.
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

/// A request's place in the queue, then at an endpoint; dropping it gives the
/// place back.
pub struct Place {
    handle: Handle,
    request: id::Request,
    /// Takes orders to the home that decided, if it was one.
    home: Option<Orders>,
    ended: bool,
}

impl Place {
    /// Returns whether the home decided.
    #[must_use]
    pub fn is_delegated(&self) -> bool {
        self.home.is_some()
    }

    /// Records the first byte of the answer.
    pub fn start(&self) {
        let request = self.request;
        self.tell(Order::Start(request));
        self.handle.apply(|gate, now| {
            gate.start(now, request);
            Vec::new()
        });
    }

    /// Gives the place back.
    pub fn end(mut self, outcome: Outcome) {
        self.ended = true;
        let request = self.request;
        self.tell(Order::End(request, outcome));
        self.handle
            .apply(|gate, now| gate.end(now, request, outcome));
    }

    /// Forgets a place that who decided has taken back.
    fn forget(mut self) {
        self.ended = true;
    }

    fn tell(&self, order: Order) {
        if let Some(home) = &self.home {
            // A home that is gone has given the place back itself.
            let _gone = home.send(order);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let request = self.request;
        self.tell(Order::End(request, Outcome::Cancelled));
        self.handle.lock().waiting.remove(&request);
        self.handle.apply(|gate, now| gate.withdraw(now, request));
    }
}

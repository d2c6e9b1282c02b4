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
use tokio::sync::oneshot;

type Decision = Result<Choice, Refusal>;

struct State {
    gate: Gate,
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

    /// Waits until the gate has chosen an endpoint.
    ///
    /// Dropping the future withdraws the request.
    ///
    /// # Errors
    ///
    /// Fails with the gate's refusal.
    pub async fn admit(&self, ask: Ask) -> Result<(Choice, Place), Refusal> {
        let request = id::Request(self.shared.next.fetch_add(1, Ordering::Relaxed));
        let (reply, decision) = oneshot::channel();
        let place = Place {
            handle: self.clone(),
            request,
            ended: false,
        };
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
    ended: bool,
}

impl Place {
    /// Records the first byte of the answer.
    pub fn start(&self) {
        let request = self.request;
        self.handle.apply(|gate, now| {
            gate.start(now, request);
            Vec::new()
        });
    }

    /// Gives the place back.
    pub fn end(mut self, outcome: Outcome) {
        self.ended = true;
        let request = self.request;
        self.handle
            .apply(|gate, now| gate.end(now, request, outcome));
    }

    /// Forgets a place that the gate has taken back itself.
    fn forget(mut self) {
        self.ended = true;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let request = self.request;
        self.handle.lock().waiting.remove(&request);
        self.handle.apply(|gate, now| gate.withdraw(now, request));
    }
}

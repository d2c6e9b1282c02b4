//! Stores the state of this node's attempts that hold or held a claim.
//!
//! Responses are kept so that they can be replayed to repeated calls. Attempts
//! that were abandoned before dispatch are kept so that another attempt can
//! take over their claim. Both are limited in size and time; an attempt that
//! has been evicted counts as one that may have run. Attempts that have not
//! ended are never evicted.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use prometheus_client::{
    metrics::{counter::Counter, gauge::Gauge},
    registry::Registry,
};
use tokio::time::Instant;

use crate::peer::{Response, Status};

/// Estimated memory of an ended attempt besides its response, bytes.
const ATTEMPT_OVERHEAD_BYTES: usize = 512;

/// Limits on the ended attempts that are kept.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Memory of all ended attempts together, bytes.
    pub total: usize,
    /// Size of one response body, bytes; a larger one is not kept.
    pub answer: usize,
    /// Time for which each ended attempt is kept.
    pub retention: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            total: 16 << 20,
            answer: 256 << 10,
            retention: Duration::from_hours(24),
        }
    }
}

/// Metrics of the ended attempts that are kept.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    evicted: Counter,
    oversized: Counter,
    bytes: Gauge,
}

impl Counters {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "replay_evicted",
            "Ended attempts dropped for lack of space or after their retention",
            self.evicted.clone(),
        );
        registry.register(
            "replay_oversized",
            "Answers that were too large to be kept",
            self.oversized.clone(),
        );
        registry.register(
            "replay_bytes",
            "Memory of the ended attempts that are kept",
            self.bytes.clone(),
        );
    }
}

/// State of one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// Its claim may have been sent and is not confirmed yet.
    Claiming,
    /// It holds its claim.
    Held,
    /// Bytes may have been sent to an endpoint.
    Dispatched,
    /// It ended with this response.
    Done(Response),
    /// It was abandoned before dispatch and will never run.
    NotRun,
    /// It was dispatched and its response is unknown.
    Lost,
}

/// The claim and the state of an attempt.
struct Attempt {
    /// Key of the claim in the key-value service.
    claim: String,
    state: State,
}

/// An entry of the queue of ended attempts, oldest first.
struct Ended {
    token: String,
    at: Instant,
    /// Memory of the attempt, bytes.
    size: usize,
}

/// Attempts by token, and the queue from which ended ones are evicted.
#[derive(Default)]
struct Inner {
    attempts: HashMap<String, Attempt>,
    ended: VecDeque<Ended>,
    /// Memory of all ended attempts, bytes.
    bytes: usize,
}

/// The attempts of this node; clones share them.
#[derive(Clone)]
pub struct Attempts {
    inner: Arc<Mutex<Inner>>,
    limits: Limits,
    counters: Counters,
}

impl Default for Attempts {
    fn default() -> Self {
        Self::new(Limits::default())
    }
}

impl Attempts {
    /// Builds an empty store.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            inner: Arc::default(),
            limits,
            counters: Counters::default(),
        }
    }

    /// Returns the metrics.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the status of an attempt, as sent to peers; `claim` is the key of
    /// its claim.
    #[must_use]
    pub fn status(&self, claim: &str, token: &str) -> Status {
        let inner = self.lock();
        let Some(attempt) = inner.attempts.get(token) else {
            return Status::Unknown;
        };
        if attempt.claim != claim {
            return Status::Unknown;
        }
        match &attempt.state {
            State::Claiming | State::Held | State::Dispatched => Status::Running,
            State::Done(response) => Status::Done(response.clone()),
            State::NotRun => Status::NotRun,
            State::Lost => Status::Lost,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an attempt before its claim is sent.
    pub(crate) fn begin(&self, claim: &str, token: &str) {
        let attempt = Attempt {
            claim: claim.to_owned(),
            state: State::Claiming,
        };
        let old = self.lock().attempts.insert(token.to_owned(), attempt);
        assert!(old.is_none(), "token {token} was used by two attempts");
    }

    /// Removes an attempt whose claim was never sent.
    pub(crate) fn remove(&self, token: &str) {
        let old = self.lock().attempts.remove(token);
        assert!(
            old.is_some_and(|attempt| attempt.state == State::Claiming),
            "attempt {token} was removed after its claim was sent"
        );
    }

    /// Records that an attempt holds its claim.
    pub(crate) fn hold(&self, token: &str) {
        self.transition(token, &State::Claiming, State::Held);
    }

    /// Records that an attempt may be sent to an endpoint from now on.
    pub(crate) fn dispatch(&self, token: &str) {
        self.transition(token, &State::Held, State::Dispatched);
    }

    /// Reverts a dispatch that sent nothing.
    pub(crate) fn undo_dispatch(&self, token: &str) {
        self.transition(token, &State::Dispatched, State::Held);
    }

    /// Records that an attempt was abandoned before dispatch and will never run.
    pub(crate) fn abandon(&self, token: &str) {
        self.end(token, State::NotRun);
    }

    /// Records the response to a dispatched attempt.
    pub(crate) fn complete(&self, token: &str, response: Response) {
        if response.body.len() > self.limits.answer {
            self.counters.oversized.inc();
            self.end(token, State::Lost);
            return;
        }
        self.end(token, State::Done(response));
    }

    /// Records that the response to a dispatched attempt is unknown.
    pub(crate) fn mark_lost(&self, token: &str) {
        self.end(token, State::Lost);
    }

    /// Moves an attempt that has not ended to its next state.
    ///
    /// # Panics
    ///
    /// Panics if the attempt is not in the state `from`, as it could then be
    /// dispatched twice.
    fn transition(&self, token: &str, from: &State, to: State) {
        let mut inner = self.lock();
        let attempt = inner.attempts.get_mut(token);
        let state = attempt.map(|attempt| &mut attempt.state);
        assert!(
            state.as_deref() == Some(from),
            "attempt {token} is {state:?}, expected {from:?}"
        );
        if let Some(state) = state {
            *state = to;
        }
    }

    /// Ends an attempt.
    ///
    /// # Panics
    ///
    /// Panics if it is unknown or has already ended, is abandoned after its
    /// dispatch, or gets a response without a dispatch.
    fn end(&self, token: &str, to: State) {
        let now = Instant::now();
        let mut inner = self.lock();
        let attempt = inner.attempts.get_mut(token);
        let state = attempt.map(|attempt| &mut attempt.state);
        let is_allowed = match state.as_deref() {
            Some(State::Claiming | State::Held) => to == State::NotRun,
            Some(State::Dispatched) => to != State::NotRun,
            _ => false,
        };
        assert!(
            is_allowed,
            "attempt {token} is {state:?} and can't become {to:?}"
        );
        let mut size = ATTEMPT_OVERHEAD_BYTES;
        if let State::Done(response) = &to {
            size += response.body.len() + response.content_type.len();
        }
        if let Some(state) = state {
            *state = to;
        }
        inner.bytes += size;
        inner.ended.push_back(Ended {
            token: token.to_owned(),
            at: now,
            size,
        });
        self.evict(&mut inner, now);
    }

    /// Evicts the oldest ended attempts until the rest are within the limits.
    fn evict(&self, inner: &mut Inner, now: Instant) {
        while let Some(oldest) = inner.ended.front() {
            let expired = now.duration_since(oldest.at) > self.limits.retention;
            if inner.bytes <= self.limits.total && !expired {
                break;
            }
            let Some(oldest) = inner.ended.pop_front() else {
                break;
            };
            inner.bytes -= oldest.size;
            inner.attempts.remove(&oldest.token);
            self.counters.evicted.inc();
        }
        let bytes = i64::try_from(inner.bytes).unwrap_or(i64::MAX);
        self.counters.bytes.set(bytes);
    }
}

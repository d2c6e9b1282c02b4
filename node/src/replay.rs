//! What became of the attempts of this node that hold or held a claim.
//!
//! Answers are kept so that they can be given again. Attempts that were given
//! up before dispatch are kept so that another attempt may take their claim
//! over. Both are bounded in bytes and time; an attempt that is no longer
//! known counts as one that may have run. Attempts that have not ended are
//! never dropped.

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

use crate::peer::{Answer, Response};

/// Memory that one attempt takes besides its answer, bytes.
const ATTEMPT_SIZE: usize = 512;

/// Bounds of what is kept of ended attempts.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Memory for all of them, bytes.
    pub total: usize,
    /// Size of one answer, bytes; a larger one is not kept.
    pub answer: usize,
    /// Time that each is kept.
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

/// Counters of the kept attempts.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    evicted: Counter,
    oversized: Counter,
    bytes: Gauge,
}

impl Counters {
    /// Registers the counters.
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
    /// Its claim may be on its way.
    Claiming,
    /// It holds its claim.
    Held,
    /// Bytes may have been handed to an endpoint.
    Dispatched,
    /// It was answered.
    Done(Response),
    /// It was given up before dispatch, for good.
    NotRun,
    /// It was dispatched and its answer is not known.
    Lost,
}

struct Attempt {
    claim: String,
    state: State,
}

/// An ended attempt in the order of ending.
struct Ended {
    token: String,
    at: Instant,
    size: usize,
}

#[derive(Default)]
struct Inner {
    attempts: HashMap<String, Attempt>,
    ended: VecDeque<Ended>,
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
    /// Builds an empty set.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            inner: Arc::default(),
            limits,
            counters: Counters::default(),
        }
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns what became of an attempt.
    #[must_use]
    pub fn answer(&self, claim: &str, token: &str) -> Answer {
        let inner = self.lock();
        let Some(attempt) = inner.attempts.get(token) else {
            return Answer::Unknown;
        };
        if attempt.claim != claim {
            return Answer::Unknown;
        }
        match &attempt.state {
            State::Claiming | State::Held | State::Dispatched => Answer::Running,
            State::Done(response) => Answer::Done(response.clone()),
            State::NotRun => Answer::NotRun,
            State::Lost => Answer::Lost,
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

    /// Removes an attempt whose claim was never handed over.
    pub(crate) fn forget(&self, token: &str) {
        let old = self.lock().attempts.remove(token);
        assert!(
            old.is_some_and(|attempt| attempt.state == State::Claiming),
            "token {token} was forgotten after its claim was sent"
        );
    }

    /// Records that an attempt holds its claim.
    pub(crate) fn hold(&self, token: &str) {
        self.step(token, &State::Claiming, State::Held);
    }

    /// Records that an attempt may be handed to an endpoint from here on.
    pub(crate) fn dispatch(&self, token: &str) {
        self.step(token, &State::Held, State::Dispatched);
    }

    /// Takes a dispatch back that handed nothing over.
    pub(crate) fn undo(&self, token: &str) {
        self.step(token, &State::Dispatched, State::Held);
    }

    /// Records that an attempt was given up before dispatch, for good.
    pub(crate) fn give_up(&self, token: &str) {
        self.end(token, State::NotRun);
    }

    /// Records the answer of a dispatched attempt.
    pub(crate) fn complete(&self, token: &str, response: Response) {
        if response.body.len() > self.limits.answer {
            self.counters.oversized.inc();
            self.end(token, State::Lost);
            return;
        }
        self.end(token, State::Done(response));
    }

    /// Records that the answer of a dispatched attempt is not known.
    pub(crate) fn lose(&self, token: &str) {
        self.end(token, State::Lost);
    }

    /// Moves an attempt from one state to the next.
    ///
    /// # Panics
    ///
    /// Panics if the attempt is in any other state, as it could be dispatched
    /// twice then.
    fn step(&self, token: &str, from: &State, to: State) {
        let mut inner = self.lock();
        let attempt = inner.attempts.get_mut(token);
        let state = attempt.map(|attempt| &mut attempt.state);
        assert!(
            state.as_deref() == Some(from),
            "token {token} is {state:?} where {from:?} was due"
        );
        if let Some(state) = state {
            *state = to;
        }
    }

    /// Ends an attempt.
    ///
    /// # Panics
    ///
    /// Panics if it has ended before, or is given up after its dispatch, or
    /// has an answer without a dispatch.
    fn end(&self, token: &str, to: State) {
        let now = Instant::now();
        let mut inner = self.lock();
        let attempt = inner.attempts.get_mut(token);
        let state = attempt.map(|attempt| &mut attempt.state);
        let due = match state.as_deref() {
            Some(State::Claiming | State::Held) => to == State::NotRun,
            Some(State::Dispatched) => to != State::NotRun,
            _ => false,
        };
        assert!(due, "token {token} is {state:?} and can't become {to:?}");
        let mut size = ATTEMPT_SIZE;
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

    /// Drops the oldest ended attempts that exceed the limits.
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

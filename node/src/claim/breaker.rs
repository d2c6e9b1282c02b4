//! A circuit breaker that refuses claims immediately while the key-value
//! service is unavailable.
//!
//! The first failed call opens the breaker. From then on the service is tried
//! with one read at a time; after a successful read the breaker admits a
//! single claim, and the answer to its transaction closes the breaker. A
//! service that answers reads but loses writes therefore delays only one claim
//! per period.

use std::{
    mem,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use dottereltally_store::{kv, layout};
use prometheus_client::{metrics::counter::Counter, registry::Registry};
use tokio::{sync::Notify, time};

/// Time between two trials of an unavailable service.
pub(super) const TRIAL_PERIOD: Duration = Duration::from_millis(500);

/// Key that a trial reads; it need not exist.
const TRIAL_KEY: &str = layout::CLAIMS_PREFIX;

/// Which claims are admitted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// All claims.
    #[default]
    Closed,
    /// No claim.
    Open,
    /// The next claim.
    HalfOpen,
    /// No claim until the one admitted in [`State::HalfOpen`] has closed or
    /// opened the breaker; after [`TRIAL_PERIOD`] the next one is admitted.
    Trial,
}

/// State shared by the keeper and the task that runs the trials.
#[derive(Clone, Default)]
pub(super) struct Breaker {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    openings: Counter,
    trials: Counter,
}

impl Breaker {
    /// Returns whether the service is known to be unavailable.
    pub(super) fn is_open(&self) -> bool {
        *self.lock() == State::Open
    }

    /// Returns whether a claim may proceed; in the half-open state only the
    /// first one may.
    pub(super) fn admit(&self) -> bool {
        let mut state = self.lock();
        match *state {
            State::Closed => true,
            State::Open | State::Trial => false,
            State::HalfOpen => {
                *state = State::Trial;
                self.changed.notify_one();
                true
            }
        }
    }

    /// Records a failed call, which opens the breaker.
    pub(super) fn open(&self) {
        let old = mem::replace(&mut *self.lock(), State::Open);
        self.changed.notify_one();
        if old == State::Closed {
            self.openings.inc();
            tracing::warn!("key-value service unavailable: refusing new claims");
        }
    }

    /// Records an answered transaction, which closes the breaker.
    pub(super) fn close(&self) {
        let old = mem::take(&mut *self.lock());
        if old != State::Closed {
            tracing::info!("key-value service available again: accepting claims");
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers the counters.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "claim_breaker_openings",
            "Times that claims began to be refused because the service was away",
            self.openings.clone(),
        );
        registry.register(
            "claim_breaker_trials",
            "Reads that tried whether the service was back",
            self.trials.clone(),
        );
    }

    /// Runs a trial each period while the breaker is open; never returns.
    pub(super) async fn run<S: kv::Store>(self, store: S) {
        loop {
            let state = *self.lock();
            match state {
                State::Closed | State::HalfOpen => self.changed.notified().await,
                State::Open => {
                    time::sleep(TRIAL_PERIOD).await;
                    self.trials.inc();
                    if store.get(TRIAL_KEY).await.is_ok() {
                        self.half_open(State::Open);
                    }
                }
                State::Trial => {
                    time::sleep(TRIAL_PERIOD).await;
                    self.half_open(State::Trial);
                }
            }
        }
    }

    /// Admits the next claim if the state is still `from`.
    fn half_open(&self, from: State) {
        let mut state = self.lock();
        if *state == from {
            *state = State::HalfOpen;
        }
    }
}

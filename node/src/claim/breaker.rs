//! Refuses claims at once while the key-value service is away.
//!
//! The first failed call opens the breaker. From then on one read at a time
//! tries the service; after one that succeeds a single claim is let through,
//! and its success closes the breaker. A service that answers reads but loses
//! writes thus holds up one claim a period.

use std::{
    mem,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use dottereltally_store::{kv, layout};
use prometheus_client::{metrics::counter::Counter, registry::Registry};
use tokio::{sync::Notify, time};

/// Time between two trials of a service that is away.
pub(super) const TRIAL_PERIOD: Duration = Duration::from_millis(500);

/// Key that a trial reads.
const TRIAL_KEY: &str = layout::CLAIMS;

/// Whether claims are let through.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// All of them.
    #[default]
    Closed,
    /// None.
    Open,
    /// The next one.
    HalfOpen,
    /// None until the one that was let through has ended.
    Trial,
}

/// State shared by the keeper and the task that tries the service.
#[derive(Clone, Default)]
pub(super) struct Breaker {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    openings: Counter,
    trials: Counter,
}

impl Breaker {
    /// Returns whether the service is known to be away.
    pub(super) fn is_open(&self) -> bool {
        *self.lock() == State::Open
    }

    /// Returns whether a claim is let through.
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

    /// Records that a call failed.
    pub(super) fn open(&self) {
        let old = mem::replace(&mut *self.lock(), State::Open);
        self.changed.notify_one();
        if old == State::Closed {
            self.openings.inc();
            tracing::warn!("key-value service away: no new claims");
        }
    }

    /// Records that a transaction succeeded.
    pub(super) fn close(&self) {
        let old = mem::take(&mut *self.lock());
        if old != State::Closed {
            tracing::info!("key-value service back: claims are taken again");
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

    /// Tries the service whenever the breaker is open, for ever.
    pub(super) async fn run<S: kv::Store>(self, store: S) {
        loop {
            let state = *self.lock();
            match state {
                State::Closed | State::HalfOpen => self.changed.notified().await,
                State::Open => {
                    time::sleep(TRIAL_PERIOD).await;
                    self.trials.inc();
                    if store.get(TRIAL_KEY).await.is_ok() {
                        self.allow_one(State::Open);
                    }
                }
                State::Trial => {
                    time::sleep(TRIAL_PERIOD).await;
                    self.allow_one(State::Trial);
                }
            }
        }
    }

    /// Lets the next claim through if the state is still `from`.
    fn allow_one(&self, from: State) {
        let mut state = self.lock();
        if *state == from {
            *state = State::HalfOpen;
        }
    }
}

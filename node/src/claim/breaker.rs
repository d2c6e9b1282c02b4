//! Refuses claims at once while the key-value service is away.
//!
//! The first failed call opens the breaker; from then on one read at a time
//! tries the service, and the first that succeeds closes the breaker again.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use dottereltally_platform::{kv, layout};
use prometheus_client::{metrics::counter::Counter, registry::Registry};
use tokio::{sync::Notify, time};

/// Time between two trials of a service that is away.
pub(super) const TRIAL_PERIOD: Duration = Duration::from_millis(500);

/// Key that a trial reads.
const TRIAL_KEY: &str = layout::CLAIMS;

/// State shared by the keeper and the task that tries the service.
#[derive(Clone, Default)]
pub(super) struct Breaker {
    open: Arc<AtomicBool>,
    opened: Arc<Notify>,
    openings: Counter,
    trials: Counter,
}

impl Breaker {
    /// Returns whether calls are refused.
    pub(super) fn is_open(&self) -> bool {
        self.open.load(Ordering::Acquire)
    }

    /// Records that a call failed.
    pub(super) fn open(&self) {
        if self.open.swap(true, Ordering::AcqRel) {
            return;
        }
        self.openings.inc();
        self.opened.notify_one();
        tracing::warn!("key-value service away: no new claims");
    }

    /// Records that a call succeeded.
    pub(super) fn close(&self) {
        if self.open.swap(false, Ordering::AcqRel) {
            tracing::info!("key-value service back: claims are taken again");
        }
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
            self.opened.notified().await;
            while self.is_open() {
                time::sleep(TRIAL_PERIOD).await;
                self.trials.inc();
                if store.get(TRIAL_KEY).await.is_ok() {
                    self.close();
                }
            }
        }
    }
}

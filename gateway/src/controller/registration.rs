//! Keeps this node registered, so that others find it.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use dottereltally_store::kv::{Error, Lease};
use rand::Rng;
use tokio::time::sleep;

use crate::{
    chain::lock,
    directory::{Node, Source},
    metrics::Metrics,
};

/// Time for which a registration holds without being renewed.
const TTL: Duration = Duration::from_secs(12);

/// Time between two renewals; three may fail.
const PERIOD: Duration = Duration::from_secs(3);

/// Registration of one node.
pub struct Registration<S> {
    source: S,
    node: Node,
    lease: Mutex<Option<Lease>>,
    left: AtomicBool,
    metrics: Metrics,
}

impl<S: Source> Registration<S> {
    /// Builds a registration; nothing is sent yet.
    #[must_use]
    pub fn new(source: S, node: Node, metrics: Metrics) -> Self {
        Self {
            source,
            node,
            lease: Mutex::new(None),
            left: AtomicBool::new(false),
            metrics,
        }
    }

    /// Keeps the node registered until it leaves.
    pub async fn run(&self) {
        while !self.left.load(Ordering::Acquire) {
            self.metrics.store_calls.inc();
            let held = *lock(&self.lease);
            let result = match held {
                None => self.source.register(&self.node, TTL).await.map(Some),
                Some(lease) => self.source.renew(lease).await.map(|()| Some(lease)),
            };
            match result {
                Ok(lease) => {
                    if held.is_none() {
                        tracing::info!(node = %self.node.name, "node registered");
                    }
                    *lock(&self.lease) = lease;
                }
                Err(Error::UnknownLease(lease)) => {
                    tracing::info!(%lease, "registration lapsed");
                    *lock(&self.lease) = None;
                    continue;
                }
                Err(error) => {
                    self.metrics.store_failures.inc();
                    tracing::info!(%error, "registration could not be renewed");
                }
            }
            let spread = rand::rng().random_range(0.8..1.2);
            sleep(PERIOD.mul_f64(spread)).await;
        }
    }

    /// Ends the registration.
    pub async fn leave(&self) {
        self.left.store(true, Ordering::Release);
        let held = lock(&self.lease).take();
        let Some(lease) = held else {
            return;
        };
        self.metrics.store_calls.inc();
        if let Err(error) = self.source.leave(lease).await {
            tracing::info!(%error, "registration ends by itself: it could not be ended");
        }
    }
}

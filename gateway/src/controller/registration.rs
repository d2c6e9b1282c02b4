//! Keeps this node registered, so that other nodes find it.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use dottereltally_store::kv::Error;
use rand::Rng;
use tokio::{select, time::sleep};

use crate::{
    directory::{Lease, Node, Source},
    era::wait_for_turn,
    metrics::Metrics,
    sync::lock,
};

/// Time after which a registration expires unless it is renewed.
pub(super) const LEASE_TTL: Duration = Duration::from_secs(12);

/// Time between two renewals; three in a row may fail.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);

/// Time over which nodes spread their registrations after the source was restored.
const RESTORATION_SPREAD: Duration = Duration::from_millis(800);

/// Registration of one node.
pub struct Registration<S> {
    source: S,
    node: Node,
    /// Lease of the registration; `None` while the node is not registered.
    lease: Mutex<Option<Lease>>,
    /// Set by [`Self::deregister`], so that [`Self::run`] ends.
    ended: AtomicBool,
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
            ended: AtomicBool::new(false),
            metrics,
        }
    }

    /// Keeps the node registered until [`Self::deregister`] is called.
    pub async fn run(&self) {
        while !self.ended.load(Ordering::Acquire) {
            let era = self.source.eras().current();
            let current = *lock(&self.lease);
            if let Some(lease) = current
                && lease.era != era
            {
                tracing::info!(lease = %lease.id, granted = %lease.era, %era, "registration is of a former era");
                *lock(&self.lease) = None;
                wait_for_turn(RESTORATION_SPREAD).await;
                continue;
            }
            self.metrics.store_calls.inc();
            let result = match current {
                None => self.source.register(&self.node, LEASE_TTL).await.map(Some),
                Some(lease) => self.source.renew(lease).await.map(|()| Some(lease)),
            };
            match result {
                Ok(lease) => {
                    if current.is_none() {
                        tracing::info!(node = %self.node.name, "node registered");
                    }
                    *lock(&self.lease) = lease;
                }
                Err(Error::UnknownLease(lease)) => {
                    tracing::info!(%lease, "registration expired");
                    *lock(&self.lease) = None;
                    continue;
                }
                Err(error) => {
                    self.metrics.store_failures.inc();
                    tracing::info!(%error, "node could not be registered or its registration renewed; retrying");
                }
            }
            let jitter = rand::rng().random_range(0.8..1.2);
            let eras = self.source.eras();
            let known = lock(&self.lease).map_or_else(|| eras.current(), |lease| lease.era);
            select! {
                () = sleep(RENEWAL_INTERVAL.mul_f64(jitter)) => {}
                () = eras.wait_for_change(known) => {}
            }
        }
    }

    /// Ends the registration.
    pub async fn deregister(&self) {
        self.ended.store(true, Ordering::Release);
        let current = lock(&self.lease).take();
        let Some(lease) = current else {
            return;
        };
        // Its number may be that of another node's registration.
        if lease.era != self.source.eras().current() {
            tracing::info!(lease = %lease.id, granted = %lease.era, "registration is of a former era and is not ended");
            return;
        }
        self.metrics.store_calls.inc();
        if let Err(error) = self.source.deregister(lease).await {
            tracing::info!(%error, "registration could not be ended and will expire");
        }
    }
}

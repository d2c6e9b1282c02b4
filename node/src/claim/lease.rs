//! The lease to which this node's new claims are attached.
//!
//! A claim has to expire after its retention, not when its node ends. Leases
//! are therefore never renewed: a new one is requested each period, and the
//! old one expires together with the claims attached to it.

use std::{
    pin::pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use dottereltally_store::kv;
use tokio::{sync::Notify, time};

use crate::claim::breaker::Breaker;

/// Longest lifetime of a claim.
pub(super) const RETENTION: Duration = Duration::from_hours(24);

/// Time after which new claims are attached to a new lease.
const GRANT_PERIOD: Duration = Duration::from_hours(1);

/// Age above which a lease is no longer used for new claims; the shortest
/// lifetime of a claim is [`RETENTION`] less this.
const MAX_AGE: Duration = Duration::from_hours(12);

/// Delay after a failed request for a lease.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// A lease and the time when it was requested.
#[derive(Clone, Copy, Debug)]
struct Granted {
    lease: kv::Lease,
    requested: time::Instant,
}

/// Keeps the lease for new claims; clones share it.
#[derive(Clone, Default)]
pub(super) struct Keeper {
    current: Arc<Mutex<Option<Granted>>>,
    changed: Arc<Notify>,
}

impl Keeper {
    /// Returns the current lease, waiting for one at most until `deadline`; none
    /// if there is still none then.
    pub(super) async fn get(&self, deadline: time::Instant) -> Option<kv::Lease> {
        loop {
            let mut changed = pin!(self.changed.notified());
            changed.as_mut().enable();
            if let Some(lease) = self.current() {
                return Some(lease);
            }
            time::timeout_at(deadline, changed).await.ok()?;
        }
    }

    /// Drops a lease that the service does not know.
    pub(super) fn forget(&self, lease: kv::Lease) {
        let mut current = self.lock();
        if current.is_some_and(|granted| granted.lease == lease) {
            *current = None;
            self.changed.notify_waiters();
        }
    }

    /// Returns the current lease, or none if it is too old.
    fn current(&self) -> Option<kv::Lease> {
        let mut current = self.lock();
        let granted = (*current)?;
        if granted.requested.elapsed() > MAX_AGE {
            *current = None;
            self.changed.notify_waiters();
            return None;
        }
        Some(granted.lease)
    }

    fn lock(&self) -> MutexGuard<'_, Option<Granted>> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until there is no current lease.
    async fn wait_until_none(&self) {
        loop {
            let mut changed = pin!(self.changed.notified());
            changed.as_mut().enable();
            if self.lock().is_none() {
                return;
            }
            changed.await;
        }
    }

    /// Requests a new lease each period and whenever there is none; never
    /// returns.
    pub(super) async fn run<S: kv::Store>(self, store: S, breaker: Breaker) {
        loop {
            let requested = time::Instant::now();
            match store.grant(RETENTION).await {
                Ok(lease) => {
                    *self.lock() = Some(Granted { lease, requested });
                    self.changed.notify_waiters();
                    let _period_over = time::timeout(GRANT_PERIOD, self.wait_until_none()).await;
                }
                Err(error) => {
                    if !matches!(error, kv::Error::Refused(_)) {
                        breaker.open();
                    }
                    time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }
}

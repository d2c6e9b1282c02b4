//! The lease that this node's new claims are bound to.
//!
//! Claims are meant to vanish after their retention, not with their node.
//! Leases are therefore never renewed: a new one is granted each period, and
//! the old one runs out with the claims that are bound to it.

use std::{
    pin::pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use dottereltally_store::kv;
use tokio::{sync::Notify, time};

use crate::claim::breaker::Breaker;

/// Time that a claim lives at the most.
pub(super) const RETENTION: Duration = Duration::from_hours(24);

/// Time after which new claims are bound to a new lease.
const GRANT_PERIOD: Duration = Duration::from_hours(1);

/// Age of a lease at which it is no longer used; a claim lives at least for
/// [`RETENTION`] less this.
const AGE_LIMIT: Duration = Duration::from_hours(12);

/// Time between two attempts to get a lease.
const RETRY_PERIOD: Duration = Duration::from_millis(500);

/// A lease and when its grant was asked for.
#[derive(Clone, Copy, Debug)]
struct Granted {
    lease: kv::Lease,
    asked: time::Instant,
}

/// The lease in use; clones share it.
#[derive(Clone, Default)]
pub(super) struct Keeper {
    current: Arc<Mutex<Option<Granted>>>,
    changed: Arc<Notify>,
}

impl Keeper {
    /// Waits for a lease until `deadline`.
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

    /// Records that the service does not know a lease.
    pub(super) fn forget(&self, lease: kv::Lease) {
        let mut current = self.lock();
        if current.is_some_and(|granted| granted.lease == lease) {
            *current = None;
            self.changed.notify_waiters();
        }
    }

    /// Returns the lease if it is young enough.
    fn current(&self) -> Option<kv::Lease> {
        let mut current = self.lock();
        let granted = (*current)?;
        if granted.asked.elapsed() > AGE_LIMIT {
            *current = None;
            self.changed.notify_waiters();
            return None;
        }
        Some(granted.lease)
    }

    fn lock(&self) -> MutexGuard<'_, Option<Granted>> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until there is no lease.
    async fn gone(&self) {
        loop {
            let mut changed = pin!(self.changed.notified());
            changed.as_mut().enable();
            if self.lock().is_none() {
                return;
            }
            changed.await;
        }
    }

    /// Grants leases, for ever.
    pub(super) async fn run<S: kv::Store>(self, store: S, breaker: Breaker) {
        loop {
            let asked = time::Instant::now();
            match store.grant(RETENTION).await {
                Ok(lease) => {
                    *self.lock() = Some(Granted { lease, asked });
                    self.changed.notify_waiters();
                    let _due = time::timeout(GRANT_PERIOD, self.gone()).await;
                }
                Err(error) => {
                    if !matches!(error, kv::Error::Refused(_)) {
                        breaker.open();
                    }
                    time::sleep(RETRY_PERIOD).await;
                }
            }
        }
    }
}

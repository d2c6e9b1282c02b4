//! The lease that this node's new claims are bound to.
//!
//! Claims are meant to vanish after their retention, not with their node.
//! Leases are therefore never renewed: a new one is granted each period, and
//! the old one runs out with the claims that are bound to it.

use std::{sync::Arc, time::Duration};

use dottereltally_platform::kv;
use tokio::{sync::watch, time};

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
    current: Arc<watch::Sender<Option<Granted>>>,
}

impl Keeper {
    /// Waits for a lease until `deadline`.
    pub(super) async fn get(&self, deadline: time::Instant) -> Option<kv::Lease> {
        self.current.send_if_modified(|current| {
            let old = current.is_some_and(|granted| granted.asked.elapsed() > AGE_LIMIT);
            if old {
                *current = None;
            }
            old
        });
        let mut receiver = self.current.subscribe();
        let granted = time::timeout_at(deadline, receiver.wait_for(Option::is_some)).await;
        let granted = granted.ok()?.ok()?;
        granted.as_ref().map(|granted| granted.lease)
    }

    /// Records that the service does not know a lease.
    pub(super) fn forget(&self, lease: kv::Lease) {
        self.current.send_if_modified(|current| {
            let same = current.is_some_and(|granted| granted.lease == lease);
            if same {
                *current = None;
            }
            same
        });
    }

    /// Grants leases, for ever.
    pub(super) async fn run<S: kv::Store>(self, store: S, breaker: Breaker) {
        let mut receiver = self.current.subscribe();
        loop {
            let asked = time::Instant::now();
            match store.grant(RETENTION).await {
                Ok(lease) => {
                    self.current.send_replace(Some(Granted { lease, asked }));
                    let forgotten = receiver.wait_for(Option::is_none);
                    let _due = time::timeout(GRANT_PERIOD, forgotten).await;
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

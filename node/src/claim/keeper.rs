//! Acquires claims for the calls of one node.

use std::{sync::Arc, time::Duration};

use dottereltally_lib::id;
use dottereltally_store::{
    kv::{self, Error as KvError},
    layout,
};
use prometheus_client::registry::Registry;
use tokio::{
    task::JoinSet,
    time::{self, Instant},
};

use crate::{
    claim::{
        Counters, Held, Limits, Rejection, Scope,
        breaker::{Breaker, TRIAL_PERIOD},
        held::{Context, Pending},
        identity::Identity,
        lease,
        releaser::{self, Releaser},
    },
    peer::{Peers, Status},
    replay::Attempts,
};

/// Delay before a transaction whose answer was lost is repeated.
const REPEAT_DELAY: Duration = Duration::from_millis(50);

/// Time to wait for a lease to be granted.
const LEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time limit of one query to the node that holds a claim.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before the holder of a claim is asked a second time; doubles with
/// each further query.
const MIN_ASK_DELAY: Duration = Duration::from_millis(50);

/// Longest delay between two queries to the holder of a claim.
const MAX_ASK_DELAY: Duration = Duration::from_millis(500);

/// Retry delay for a caller whose call is already running.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry delay for a caller whose claim is held by a node that can't be reached.
const RETRY_AFTER_UNREACHABLE: Duration = Duration::from_secs(5);

/// Maximum number of answered transactions of one attempt; if none acquires the
/// claim, the call is refused as running.
const MAX_TRANSACTIONS: usize = 8;

/// Content of a claim's key.
enum Found {
    /// The attempt's own token.
    Own,
    /// Nothing.
    Absent,
    /// Another attempt's token.
    Other(Other),
}

/// Another attempt's claim.
struct Other {
    value: Vec<u8>,
    record: layout::Claim,
}

/// Acquires claims; clones share its state, and its tasks end with the last
/// clone.
pub struct Keeper<S, P>(Arc<Inner<S, P>>);

impl<S, P> Clone for Keeper<S, P> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

struct Inner<S, P> {
    node: id::Node,
    store: S,
    peers: P,
    limits: Limits,
    attempts: Attempts,
    breaker: Breaker,
    leases: lease::Keeper,
    releaser: releaser::Handle,
    counters: Counters,
    _tasks: JoinSet<()>,
}

impl<S: kv::Store, P: Peers> Keeper<S, P> {
    /// Starts a keeper and its tasks on the current runtime.
    ///
    /// # Panics
    ///
    /// Panics outside of a tokio runtime.
    #[must_use]
    pub fn start(node: id::Node, store: S, peers: P, attempts: Attempts, limits: Limits) -> Self {
        let breaker = Breaker::default();
        let leases = lease::Keeper::default();
        let (releaser, releaser_task) = Releaser::new(store.clone(), limits);
        let mut tasks = JoinSet::new();
        tasks.spawn(breaker.clone().run(store.clone()));
        tasks.spawn(leases.clone().run(store.clone(), breaker.clone()));
        tasks.spawn(releaser_task.run());
        Self(Arc::new(Inner {
            node,
            store,
            peers,
            limits,
            attempts,
            breaker,
            leases,
            releaser,
            counters: Counters::default(),
            _tasks: tasks,
        }))
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.0.counters
    }

    /// Registers the counters of the keeper, its breaker and its attempts.
    pub fn register(&self, registry: &mut Registry) {
        self.0.counters.register(registry);
        self.0.breaker.register(registry);
        self.0.attempts.counters().register(registry);
    }

    /// Returns false while the key-value service is known to be unavailable.
    #[must_use]
    pub fn is_available(&self) -> bool {
        !self.0.breaker.is_open()
    }

    /// Waits until all abandoned claims are released, at most until `deadline`;
    /// returns whether all are.
    pub async fn drain(&self, deadline: Instant) -> bool {
        let idle = self.0.releaser.idle();
        time::timeout_at(deadline, idle).await.is_ok()
    }

    /// Acquires the claim of a call, or returns the outcome of the attempt that
    /// holds it.
    ///
    /// Dropping the future abandons the attempt permanently.
    ///
    /// # Errors
    ///
    /// Fails if another attempt holds or held the claim, or if the key-value
    /// service does not confirm the claim before `deadline`.
    pub async fn acquire(
        &self,
        scope: Scope,
        fingerprint: id::Fingerprint,
        deadline: Instant,
    ) -> Result<Held, Rejection> {
        let result = self.try_acquire(&scope, fingerprint, deadline).await;
        let counters = &self.0.counters;
        let counter = match &result {
            Ok(_) => &counters.taken,
            Err(Rejection::Replay(_)) => &counters.replayed,
            Err(Rejection::Running { .. }) => &counters.running,
            Err(Rejection::Unknown { .. }) => &counters.unknown,
            Err(Rejection::Mismatch) => &counters.mismatched,
            Err(Rejection::Unavailable { .. }) => &counters.away,
        };
        counter.inc();
        result
    }

    /// Acquires a claim without counting the result.
    async fn try_acquire(
        &self,
        scope: &Scope,
        fingerprint: id::Fingerprint,
        deadline: Instant,
    ) -> Result<Held, Rejection> {
        if !self.0.breaker.admit() {
            return Err(unavailable());
        }
        let identity = Arc::new(Identity::new(&self.0.node, scope, fingerprint));
        let mut pending = Pending::begin(Context {
            identity: Arc::clone(&identity),
            attempts: self.0.attempts.clone(),
            releaser: self.0.releaser.clone(),
            counters: self.0.counters.clone(),
        });
        let mut abandoned = None;
        for _ in 0..MAX_TRANSACTIONS {
            let found = self
                .transact(&mut pending, &identity, abandoned.as_deref(), deadline)
                .await?;
            match found {
                Found::Own => {
                    if abandoned.is_some() {
                        self.0.counters.taken_over.inc();
                    }
                    return Ok(pending.hold());
                }
                Found::Absent => abandoned = None,
                Found::Other(other) => {
                    self.await_abandonment(&identity, &other, deadline).await?;
                    abandoned = Some(other.value);
                }
            }
        }
        Err(running())
    }

    /// Repeats the claiming transaction until it is answered; `abandoned` is
    /// the value to be replaced, none if the key must be absent.
    async fn transact(
        &self,
        pending: &mut Pending,
        identity: &Identity,
        abandoned: Option<&[u8]>,
        deadline: Instant,
    ) -> Result<Found, Rejection> {
        let end = deadline.min(Instant::now() + self.0.limits.transact);
        while Instant::now() < end {
            let Some(lease) = self
                .0
                .leases
                .get(end.min(Instant::now() + LEASE_TIMEOUT))
                .await
            else {
                break;
            };
            let stored_before = pending.is_maybe_stored();
            pending.set_maybe_stored(true);
            self.0.counters.transactions.inc();
            let transaction = identity.claim(abandoned, lease);
            let error = match self.0.store.transact(transaction).await {
                Ok(outcome) => {
                    self.0.breaker.close();
                    let found = read_outcome(identity, outcome);
                    pending.set_maybe_stored(stored_before || matches!(found, Ok(Found::Own)));
                    return found;
                }
                Err(error) => error,
            };
            if error.may_have_taken_effect() {
                self.0.counters.repeated.inc();
            } else {
                pending.set_maybe_stored(stored_before);
            }
            match error {
                KvError::UnknownLease(lease) => self.0.leases.forget(lease),
                KvError::Refused(_) => break,
                KvError::Unreachable { .. } | KvError::Lost(_) | KvError::Unreadable(_) => {
                    self.0.breaker.open();
                    if !pending.is_maybe_stored() {
                        break;
                    }
                }
            }
            time::sleep_until(end.min(Instant::now() + REPEAT_DELAY)).await;
        }
        Err(unavailable())
    }

    /// Waits until the attempt that holds the claim is known to be abandoned;
    /// fails if it ended in another way or is still running.
    async fn await_abandonment(
        &self,
        identity: &Identity,
        other: &Other,
        deadline: Instant,
    ) -> Result<(), Rejection> {
        let end = deadline.min(Instant::now() + self.0.limits.wait);
        let mut delay = MIN_ASK_DELAY;
        loop {
            let status = self.ask_holder(identity, &other.record).await?;
            if status == Status::NotRun {
                return Ok(());
            }
            if other.record.fingerprint != identity.fingerprint {
                return Err(Rejection::Mismatch);
            }
            match status {
                Status::Done(response) => return Err(Rejection::Replay(response)),
                Status::Unknown | Status::Lost => {
                    return Err(Rejection::Unknown { retry_after: None });
                }
                Status::Running | Status::NotRun => {}
            }
            if Instant::now() + delay >= end {
                return Err(running());
            }
            time::sleep(delay).await;
            delay = (delay * 2).min(MAX_ASK_DELAY);
        }
    }

    /// Asks the node that holds a claim for the status of its attempt.
    async fn ask_holder(
        &self,
        identity: &Identity,
        record: &layout::Claim,
    ) -> Result<Status, Rejection> {
        if record.node == self.0.node {
            return Ok(self.0.attempts.status(&identity.key, &record.token));
        }
        let peers = &self.0.peers;
        let query = peers.attempt_status(&record.node, &identity.key, &record.token);
        if let Ok(Ok(status)) = time::timeout(ASK_TIMEOUT, query).await {
            return Ok(status);
        }
        if record.fingerprint != identity.fingerprint {
            return Err(Rejection::Mismatch);
        }
        Err(Rejection::Unknown {
            retry_after: Some(RETRY_AFTER_UNREACHABLE),
        })
    }
}

/// Returns the content of the claim's key according to a transaction's outcome.
fn read_outcome(identity: &Identity, outcome: kv::Outcome) -> Result<Found, Rejection> {
    if outcome.succeeded {
        return Ok(Found::Own);
    }
    let Some(entry) = outcome.reads.into_iter().next().flatten() else {
        return Ok(Found::Absent);
    };
    if entry.value == identity.value {
        return Ok(Found::Own);
    }
    let Ok(record) = serde_json::from_slice(&entry.value) else {
        return Err(Rejection::Unknown { retry_after: None });
    };
    Ok(Found::Other(Other {
        value: entry.value,
        record,
    }))
}

fn unavailable() -> Rejection {
    Rejection::Unavailable {
        retry_after: TRIAL_PERIOD * 2,
    }
}

fn running() -> Rejection {
    Rejection::Running {
        retry_after: RETRY_AFTER,
    }
}

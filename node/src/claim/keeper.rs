//! Takes claims for the calls of one node.

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
        Counters, Held, Limits, Lost, Scope,
        breaker::{Breaker, TRIAL_PERIOD},
        held::{Pending, Tools},
        identity::Identity,
        lease,
        sweeper::{self, Sweeper},
    },
    peer::{Answer, Peers},
    replay::Attempts,
};

/// Time before a transaction is repeated.
const REPEAT_PERIOD: Duration = Duration::from_millis(50);

/// Time to wait for a lease to be granted.
const LEASE_WAIT: Duration = Duration::from_millis(500);

/// Time limit of one question to the holder of a claim.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Time before the holder of a claim is asked again.
const ASK_PERIOD: Duration = Duration::from_millis(50);

/// Longest such time.
const ASK_PERIOD_LIMIT: Duration = Duration::from_millis(500);

/// When a caller should come back whose call runs elsewhere.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// When a caller should come back whose call's holder can't be asked.
const RETRY_AFTER_SILENCE: Duration = Duration::from_secs(5);

/// Number of holders that one attempt meets before it gives up.
const ROUNDS: usize = 8;

/// What a claim's key holds.
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

/// Takes claims; clones share it. Its tasks end with the last clone.
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
    sweeper: sweeper::Handle,
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
        let (sweeper, task) = Sweeper::new(store.clone(), limits);
        let mut tasks = JoinSet::new();
        tasks.spawn(breaker.clone().run(store.clone()));
        tasks.spawn(leases.clone().run(store.clone(), breaker.clone()));
        tasks.spawn(task.run());
        Self(Arc::new(Inner {
            node,
            store,
            peers,
            limits,
            attempts,
            breaker,
            leases,
            sweeper,
            counters: Counters::default(),
            _tasks: tasks,
        }))
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.0.counters
    }

    /// Registers the counters of the keeper and of what it keeps.
    pub fn register(&self, registry: &mut Registry) {
        self.0.counters.register(registry);
        self.0.breaker.register(registry);
        self.0.attempts.counters().register(registry);
    }

    /// Returns whether the key-value service answered last.
    #[must_use]
    pub fn is_available(&self) -> bool {
        !self.0.breaker.is_open()
    }

    /// Waits until the claims that were given up are given back, or until
    /// `deadline`; returns whether all are.
    pub async fn drain(&self, deadline: Instant) -> bool {
        let idle = self.0.sweeper.idle();
        time::timeout_at(deadline, idle).await.is_ok()
    }

    /// Takes the claim of a call, or returns what became of the attempt that
    /// holds it.
    ///
    /// Dropping the future gives the attempt up for good.
    ///
    /// # Errors
    ///
    /// Fails if another attempt holds or held the claim, or if the key-value
    /// service does not confirm it before `deadline`.
    pub async fn acquire(
        &self,
        scope: Scope,
        fingerprint: id::Fingerprint,
        deadline: Instant,
    ) -> Result<Held, Lost> {
        let result = self.take(&scope, fingerprint, deadline).await;
        let counters = &self.0.counters;
        let counter = match &result {
            Ok(_) => &counters.taken,
            Err(Lost::Replay(_)) => &counters.replayed,
            Err(Lost::Running { .. }) => &counters.running,
            Err(Lost::Unknown { .. }) => &counters.unknown,
            Err(Lost::Mismatch) => &counters.mismatched,
            Err(Lost::Away { .. }) => &counters.away,
        };
        counter.inc();
        result
    }

    async fn take(
        &self,
        scope: &Scope,
        fingerprint: id::Fingerprint,
        deadline: Instant,
    ) -> Result<Held, Lost> {
        if !self.0.breaker.admit() {
            return Err(away());
        }
        let identity = Arc::new(Identity::new(&self.0.node, scope, fingerprint));
        let mut pending = Pending::begin(Tools {
            identity: Arc::clone(&identity),
            attempts: self.0.attempts.clone(),
            sweeper: self.0.sweeper.clone(),
            counters: self.0.counters.clone(),
        });
        let mut given_up = None;
        for _ in 0..ROUNDS {
            let found = self
                .settle(&mut pending, &identity, given_up.as_deref(), deadline)
                .await?;
            match found {
                Found::Own => {
                    if given_up.is_some() {
                        self.0.counters.taken_over.inc();
                    }
                    return Ok(pending.hold());
                }
                Found::Absent => given_up = None,
                Found::Other(other) => {
                    self.await_end(&identity, &other, deadline).await?;
                    given_up = Some(other.value);
                }
            }
        }
        Err(running())
    }

    /// Repeats the claiming transaction until it is answered.
    async fn settle(
        &self,
        pending: &mut Pending,
        identity: &Identity,
        given_up: Option<&[u8]>,
        deadline: Instant,
    ) -> Result<Found, Lost> {
        let end = deadline.min(Instant::now() + self.0.limits.settle);
        while Instant::now() < end {
            let Some(lease) = self
                .0
                .leases
                .get(end.min(Instant::now() + LEASE_WAIT))
                .await
            else {
                break;
            };
            let sent_before = pending.was_sent();
            pending.set_sent(true);
            self.0.counters.transactions.inc();
            let transaction = identity.claim(given_up, lease);
            let error = match self.0.store.transact(transaction).await {
                Ok(outcome) => {
                    self.0.breaker.close();
                    let found = read(identity, outcome);
                    pending.set_sent(sent_before || matches!(found, Ok(Found::Own)));
                    return found;
                }
                Err(error) => error,
            };
            if error.may_have_taken_effect() {
                self.0.counters.repeated.inc();
            } else {
                pending.set_sent(sent_before);
            }
            match error {
                KvError::UnknownLease(lease) => self.0.leases.forget(lease),
                KvError::Refused(_) => break,
                KvError::Unreachable { .. } | KvError::Lost(_) | KvError::Unreadable(_) => {
                    self.0.breaker.open();
                    if !pending.was_sent() {
                        break;
                    }
                }
            }
            time::sleep_until(end.min(Instant::now() + REPEAT_PERIOD)).await;
        }
        Err(away())
    }

    /// Waits until the attempt that holds the claim is known to be given up.
    async fn await_end(
        &self,
        identity: &Identity,
        other: &Other,
        deadline: Instant,
    ) -> Result<(), Lost> {
        let end = deadline.min(Instant::now() + self.0.limits.wait);
        let mut pause = ASK_PERIOD;
        loop {
            let answer = self.ask(identity, &other.record).await?;
            if answer == Answer::NotRun {
                return Ok(());
            }
            if other.record.fingerprint != identity.fingerprint {
                return Err(Lost::Mismatch);
            }
            match answer {
                Answer::Done(response) => return Err(Lost::Replay(response)),
                Answer::Unknown | Answer::Lost => return Err(Lost::Unknown { retry_after: None }),
                Answer::Running | Answer::NotRun => {}
            }
            if Instant::now() + pause >= end {
                return Err(running());
            }
            time::sleep(pause).await;
            pause = (pause * 2).min(ASK_PERIOD_LIMIT);
        }
    }

    /// Asks the holder of a claim what became of its attempt.
    async fn ask(&self, identity: &Identity, record: &layout::Claim) -> Result<Answer, Lost> {
        if record.node == self.0.node {
            return Ok(self.0.attempts.answer(&identity.key, &record.token));
        }
        let peers = &self.0.peers;
        let asking = peers.answer(&record.node, &identity.key, &record.token);
        if let Ok(Ok(answer)) = time::timeout(ASK_TIMEOUT, asking).await {
            return Ok(answer);
        }
        if record.fingerprint != identity.fingerprint {
            return Err(Lost::Mismatch);
        }
        Err(Lost::Unknown {
            retry_after: Some(RETRY_AFTER_SILENCE),
        })
    }
}

/// Reads what the claim's key holds from the outcome of the transaction.
fn read(identity: &Identity, outcome: kv::Outcome) -> Result<Found, Lost> {
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
        return Err(Lost::Unknown { retry_after: None });
    };
    Ok(Found::Other(Other {
        value: entry.value,
        record,
    }))
}

fn away() -> Lost {
    Lost::Away {
        retry_after: TRIAL_PERIOD * 2,
    }
}

fn running() -> Lost {
    Lost::Running {
        retry_after: RETRY_AFTER,
    }
}

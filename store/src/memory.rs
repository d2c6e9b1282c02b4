//! In-memory implementations of the platform for tests.
//!
//! [`Store`] keeps its keys in a map behind one lock. Leases expire by tokio's
//! clock, which a test can pause and advance. [`Store::connect`] returns another
//! client of the same data, with its own faults.

mod data;
mod fault;

use std::{
    future::Future,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{sync::watch, time};

use crate::{
    host,
    kv::{self, Change, Entry, Error, Lease, Outcome, Revision, Transaction},
    memory::{data::Data, fault::Faults},
};

pub use fault::{Call, Count, Fault};

/// Locks a mutex; its data stay valid even if a holder panicked.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A client of an in-memory key-value service; clones share their faults.
#[derive(Clone)]
pub struct Store {
    data: Arc<Mutex<Data>>,
    /// Wakes the watches; the value counts the notifications.
    notifier: Arc<watch::Sender<u64>>,
    faults: Arc<Mutex<Faults>>,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            data: Arc::default(),
            notifier: Arc::new(watch::Sender::new(0)),
            faults: Arc::default(),
        }
    }
}

impl Store {
    /// Returns another client of the same service, without faults.
    #[must_use]
    pub fn connect(&self) -> Self {
        Self {
            data: Arc::clone(&self.data),
            notifier: Arc::clone(&self.notifier),
            faults: Arc::default(),
        }
    }

    /// Makes the service unreachable for this client, or reachable again.
    pub fn set_down(&self, down: bool) {
        lock(&self.faults).down = down;
        self.notify_watches();
    }

    /// Stops the watches of this client from reporting changes, or resumes them.
    pub fn set_silent(&self, silent: bool) {
        lock(&self.faults).silent = silent;
        self.notify_watches();
    }

    /// Sets the time limit after which a call without answer fails.
    pub fn set_timeout(&self, timeout: Duration) {
        lock(&self.faults).timeout = timeout;
    }

    /// Applies a fault to the next call of a kind; faults of one kind are used
    /// in the order in which they were injected.
    pub fn inject(&self, call: Call, fault: Fault) {
        lock(&self.faults).queue.push_back((call, fault));
    }

    /// Sets a function that chooses the fault of each call without an injected
    /// one.
    pub fn set_fault_script(&self, choose: impl FnMut(Call) -> Option<Fault> + Send + 'static) {
        lock(&self.faults).script = Some(Box::new(choose));
    }

    /// Returns the number of calls that this client has made.
    #[must_use]
    pub fn count(&self) -> Count {
        lock(&self.faults).count
    }

    /// Returns a key's entry directly, without faults and without counting a
    /// call.
    #[must_use]
    pub fn get_directly(&self, key: &str) -> Option<Entry> {
        self.apply(|data| data.get(key))
    }

    /// Writes a key directly, without faults and without counting a call.
    pub fn put_directly(&self, key: &str, value: Vec<u8>) {
        self.apply(|data| data.put(key, value, None));
    }

    fn notify_watches(&self) {
        self.notifier.send_modify(|count| *count += 1);
    }

    /// Removes expired leases, then runs `effect` on the data.
    fn apply<T>(&self, effect: impl FnOnce(&mut Data) -> T) -> T {
        let result = {
            let mut data = lock(&self.data);
            data.expire(time::Instant::now());
            effect(&mut data)
        };
        self.notify_watches();
        result
    }

    /// Runs one call with its fault, if any; the second argument of `effect` is
    /// whether to read stale data.
    async fn call<T: Send>(
        &self,
        call: Call,
        effect: impl FnOnce(&mut Data, bool) -> Result<T, Error> + Send + 'static,
    ) -> Result<T, Error> {
        let (fault, timeout) = {
            let mut faults = lock(&self.faults);
            (faults.next(call), faults.timeout)
        };
        let lost = || Error::Lost("timed out".to_owned());
        tokio::task::yield_now().await;
        match fault {
            None => self.apply(|data| effect(data, false)),
            Some(Fault::Stale) => self.apply(|data| effect(data, true)),
            Some(Fault::Unreachable) => Err(Error::Unreachable {
                address: "memory".to_owned(),
                cause: "down".to_owned(),
            }),
            Some(Fault::CallLost) => {
                time::sleep(timeout).await;
                Err(lost())
            }
            Some(Fault::AnswerLost) => {
                let _lost = self.apply(|data| effect(data, false));
                time::sleep(timeout).await;
                Err(lost())
            }
            Some(Fault::Delayed(delay)) => {
                let store = self.clone();
                tokio::spawn(async move {
                    time::sleep(delay).await;
                    let _late = store.apply(|data| effect(data, false).map(|_| ()));
                });
                time::sleep(timeout).await;
                Err(lost())
            }
            Some(Fault::Slow(delay)) => {
                time::sleep(delay / 2).await;
                let result = self.apply(|data| effect(data, false));
                time::sleep(delay / 2).await;
                result
            }
        }
    }
}

impl kv::Store for Store {
    type Watch = Watch;

    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let key = key.to_owned();
        self.call(Call::Get, move |data, stale| {
            if stale {
                return Ok(data.previous(&key));
            }
            Ok(data.get(&key))
        })
        .await
    }

    async fn list(&self, prefix: &str, limit: usize) -> Result<Vec<Entry>, Error> {
        let prefix = prefix.to_owned();
        self.call(Call::List, move |data, _| Ok(data.list(&prefix, limit)))
            .await
    }

    async fn transact(&self, transaction: Transaction) -> Result<Outcome, Error> {
        self.call(Call::Transact, move |data, _| data.transact(transaction))
            .await
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        self.call(Call::Grant, move |data, _| {
            Ok(data.grant(ttl, time::Instant::now()))
        })
        .await
    }

    async fn renew(&self, lease: Lease) -> Result<Duration, Error> {
        self.call(Call::Renew, move |data, _| {
            data.renew(lease, time::Instant::now())
        })
        .await
    }

    async fn revoke(&self, lease: Lease) -> Result<(), Error> {
        self.call(Call::Revoke, move |data, _| data.revoke(lease))
            .await
    }

    async fn watch(&self, key: &str, from: Revision) -> Result<Watch, Error> {
        self.call(Call::Watch, |_, _| Ok(())).await?;
        Ok(Watch {
            store: self.clone(),
            notifications: self.notifier.subscribe(),
            key: key.to_owned(),
            from,
        })
    }
}

/// Watch of one key of a [`Store`].
pub struct Watch {
    store: Store,
    notifications: watch::Receiver<u64>,
    key: String,
    /// First revision whose changes were not yet returned.
    from: Revision,
}

impl Watch {
    /// Returns the changes since the last call, none while the watch is silent.
    fn pending(&mut self) -> Result<Vec<Change>, Error> {
        let (down, silent) = {
            let faults = lock(&self.store.faults);
            (faults.down, faults.silent)
        };
        if silent {
            return Ok(Vec::new());
        }
        if down {
            return Err(Error::Lost("down".to_owned()));
        }
        let data = lock(&self.store.data);
        let changes = data.changes(&self.key, self.from);
        self.from = Revision(data.revision().0 + 1);
        Ok(changes)
    }
}

impl kv::Watch for Watch {
    async fn next(&mut self) -> Result<Vec<Change>, Error> {
        loop {
            self.notifications.mark_unchanged();
            let changes = self.pending()?;
            if !changes.is_empty() {
                return Ok(changes);
            }
            let _closed = self.notifications.changed().await;
        }
    }
}

/// An in-memory host list; clones share it.
#[derive(Clone, Default)]
pub struct List {
    snapshot: Arc<Mutex<host::Snapshot>>,
    down: Arc<Mutex<bool>>,
}

impl List {
    /// Replaces the whole list.
    pub fn set(&self, snapshot: host::Snapshot) {
        *lock(&self.snapshot) = snapshot;
    }

    /// Makes the list unreachable, or reachable again.
    pub fn set_down(&self, down: bool) {
        *lock(&self.down) = down;
    }
}

impl host::List for List {
    fn read(&self) -> impl Future<Output = Result<host::Snapshot, host::Error>> + Send {
        let result = if *lock(&self.down) {
            Err(host::Error::Unreachable {
                address: "memory".to_owned(),
                cause: "down".to_owned(),
            })
        } else {
            Ok(lock(&self.snapshot).clone())
        };
        std::future::ready(result)
    }
}

//! Where configurations come from: a watch, a periodic read, the peers.

use std::{
    sync::{
        Arc,
        atomic::{AtomicI64, Ordering},
    },
    time::Duration,
};

use dottereltally_lib::id;
use dottereltally_store::{
    kv::{self, Change, Compare, Entry, Operation, Revision, Transaction},
    layout,
};
use ractor::ActorRef;
use rand::Rng;
use tokio::{
    sync::Notify,
    task::JoinSet,
    time::{self, Instant},
};

use crate::{
    configuration::{
        Counters, Handle,
        controller::{Arguments, Message},
    },
    peer::Peers,
};

/// Mean time between two reads of the key-value service.
const READ_PERIOD: Duration = Duration::from_secs(1);

/// Time limit of one read.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// Mean time before a watch that ended is started again.
const WATCH_PERIOD: Duration = Duration::from_secs(1);

/// Mean time between the first two requests to the peers.
const FETCH_PERIOD: Duration = Duration::from_millis(250);

/// Longest mean time between two requests to the peers.
const FETCH_PERIOD_LIMIT: Duration = Duration::from_secs(2);

/// Starts the sources; they end with the set.
pub(super) fn start<S: kv::Store, P: Peers>(
    actor: &ActorRef<Message>,
    arguments: Arguments<S, P>,
) -> JoinSet<()> {
    let Arguments {
        handle,
        store,
        peers,
        counters,
    } = arguments;
    let feed = Feed {
        actor: actor.clone(),
        counters,
        seen: Arc::new(AtomicI64::new(0)),
        watched: Arc::new(AtomicI64::new(0)),
        missed: Arc::new(Notify::new()),
    };
    let mut tasks = JoinSet::new();
    tasks.spawn(read(feed.clone(), store.clone()));
    tasks.spawn(watch(feed.clone(), store));
    tasks.spawn(fetch(feed, handle, peers));
    tasks
}

/// What the sources share.
#[derive(Clone)]
struct Feed {
    actor: ActorRef<Message>,
    counters: Counters,
    /// Revision of the value that was offered last.
    seen: Arc<AtomicI64>,
    /// Revision up to which the watch has reported.
    watched: Arc<AtomicI64>,
    /// Tells the watch that it has missed a change.
    missed: Arc<Notify>,
}

impl Feed {
    fn offer(&self, record: layout::Configuration) {
        let _stopped = self.actor.cast(Message::Offer(record));
    }

    /// Offers what the key holds.
    fn offer_entry(&self, entry: &Entry) {
        self.seen.store(entry.modified.0, Ordering::Relaxed);
        match serde_json::from_slice(&entry.value) {
            Ok(record) => self.offer(record),
            Err(_) => {
                self.counters.unreadable.inc();
            }
        }
    }
}

impl Feed {
    /// Reads the key, its value only if it has changed since the last read,
    /// and returns the revision of the store.
    async fn read_once<S: kv::Store>(&self, store: &S) -> Option<Revision> {
        self.counters.reads.inc();
        let seen = Revision(self.seen.load(Ordering::Relaxed));
        let read = store.transact(unless_modified_at(seen));
        let Ok(Ok(outcome)) = time::timeout(READ_TIMEOUT, read).await else {
            self.counters.failed_reads.inc();
            return None;
        };
        if let Some(Some(entry)) = outcome.reads.first() {
            self.offer_entry(entry);
        }
        Some(outcome.revision)
    }
}

/// Returns the mean time changed at random by a fifth at the most, so that
/// the nodes do not call in step.
fn jittered(mean: Duration) -> Duration {
    mean.mul_f64(rand::rng().random_range(0.8..1.2))
}

/// Reads the key each period, its value only if it has changed.
async fn read<S: kv::Store>(feed: Feed, store: S) {
    loop {
        let start = Instant::now();
        let seen = Revision(feed.seen.load(Ordering::Relaxed));
        let late = feed.watched.load(Ordering::Relaxed) < seen.0;
        if late {
            feed.missed.notify_one();
        }
        let _revision = feed.read_once(&store).await;
        time::sleep_until(start + jittered(READ_PERIOD)).await;
    }
}

/// Returns the transaction that reads the key unless this revision changed it
/// last.
fn unless_modified_at(revision: Revision) -> Transaction {
    let key = layout::CONFIGURATION.to_owned();
    Transaction {
        compares: vec![Compare::Modified(key.clone(), revision)],
        success: Vec::new(),
        failure: vec![Operation::Get(key)],
    }
}

/// Reads the key and watches it from there on; starts anew when the watch ends
/// or has missed a change.
async fn watch<S: kv::Store>(feed: Feed, store: S) {
    loop {
        if let Some(read) = feed.read_once(&store).await {
            feed.watched.store(read.0, Ordering::Relaxed);
            follow(&feed, &store, Revision(read.0 + 1)).await;
        }
        time::sleep(jittered(WATCH_PERIOD)).await;
    }
}

/// Watches the key from a revision on until the watch ends or has missed a
/// change.
async fn follow<S: kv::Store>(feed: &Feed, store: &S, from: Revision) {
    feed.counters.watches.inc();
    let Ok(running) = store.watch(layout::CONFIGURATION, from).await else {
        return;
    };
    tokio::select! {
        biased;
        () = report(feed, running) => {}
        () = feed.missed.notified() => {
            feed.counters.silent_watches.inc();
        }
    }
}

/// Offers what a watch reports until it ends.
async fn report<W: kv::Watch>(feed: &Feed, mut running: W) {
    while let Ok(changes) = running.next().await {
        for change in changes {
            let Change::Put(entry) = change else {
                continue;
            };
            feed.watched.fetch_max(entry.modified.0, Ordering::Relaxed);
            feed.offer_entry(&entry);
        }
    }
}

/// Asks the peers while one has a higher generation, or none is in force.
async fn fetch<P: Peers>(feed: Feed, handle: Handle, peers: P) {
    let mut known = handle.known.subscribe();
    let mut pause = FETCH_PERIOD;
    loop {
        let generation = handle.generation();
        let none = generation == id::Generation::default();
        if !none && *known.borrow_and_update() <= generation {
            pause = FETCH_PERIOD;
            let _closed = known.changed().await;
            continue;
        }
        feed.counters.fetches.inc();
        if let Some(record) = peers.configuration(generation).await {
            feed.offer(record);
            pause = FETCH_PERIOD;
        }
        time::sleep(jittered(pause)).await;
        pause = (pause * 2).min(FETCH_PERIOD_LIMIT);
    }
}

//! The sources of configurations: a watch, a periodic read and the peers.

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

/// Mean delay before a watch that ended is restarted.
const WATCH_RESTART_DELAY: Duration = Duration::from_secs(1);

/// Mean delay after the first request to the peers; doubles with each further
/// request that brings nothing.
const MIN_FETCH_DELAY: Duration = Duration::from_millis(250);

/// Longest mean delay between two requests to the peers.
const MAX_FETCH_DELAY: Duration = Duration::from_secs(2);

/// Starts the sources; they stop when the returned set is dropped.
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
        read_revision: Arc::new(AtomicI64::new(0)),
        watched_revision: Arc::new(AtomicI64::new(0)),
        missed: Arc::new(Notify::new()),
    };
    let mut tasks = JoinSet::new();
    tasks.spawn(read(feed.clone(), store.clone()));
    tasks.spawn(watch(feed.clone(), store));
    tasks.spawn(fetch(feed, handle, peers));
    tasks
}

/// State shared by the sources.
#[derive(Clone)]
struct Feed {
    actor: ActorRef<Message>,
    counters: Counters,
    /// Revision of the value that was read last.
    read_revision: Arc<AtomicI64>,
    /// Revision up to which the watch has reported changes.
    watched_revision: Arc<AtomicI64>,
    /// Notifies the watch that it has missed a change.
    missed: Arc<Notify>,
}

impl Feed {
    fn offer(&self, record: layout::Configuration) {
        let _controller_stopped = self.actor.cast(Message::Offer(record));
    }

    /// Offers the key's value to the controller.
    fn offer_entry(&self, entry: &Entry) {
        self.read_revision
            .store(entry.modified.0, Ordering::Relaxed);
        match serde_json::from_slice(&entry.value) {
            Ok(record) => self.offer(record),
            Err(_) => {
                self.counters.unreadable.inc();
            }
        }
    }
}

impl Feed {
    /// Reads the key and returns the store's revision; fetches the value only
    /// if it has changed since it was read last.
    async fn read_once<S: kv::Store>(&self, store: &S) -> Option<Revision> {
        self.counters.reads.inc();
        let seen = Revision(self.read_revision.load(Ordering::Relaxed));
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

/// Returns a random time within a fifth of the mean, so that the nodes do not
/// call at the same time.
fn jittered(mean: Duration) -> Duration {
    mean.mul_f64(rand::rng().random_range(0.8..1.2))
}

/// Reads the key each period; notifies the watch if it has missed a change.
async fn read<S: kv::Store>(feed: Feed, store: S) {
    loop {
        let start = Instant::now();
        let seen = Revision(feed.read_revision.load(Ordering::Relaxed));
        let is_behind = feed.watched_revision.load(Ordering::Relaxed) < seen.0;
        // The watch has had a whole period to report what the last read returned.
        if is_behind {
            feed.missed.notify_one();
        }
        let _revision = feed.read_once(&store).await;
        time::sleep_until(start + jittered(READ_PERIOD)).await;
    }
}

/// Returns the transaction that reads the key's value unless the value was last
/// modified at this revision.
fn unless_modified_at(revision: Revision) -> Transaction {
    let key = layout::CONFIGURATION_KEY.to_owned();
    Transaction {
        compares: vec![Compare::Modified(key.clone(), revision)],
        success: Vec::new(),
        failure: vec![Operation::Get(key)],
    }
}

/// Reads the key and watches it from the revision that was read; starts over
/// when the watch ends or has missed a change.
async fn watch<S: kv::Store>(feed: Feed, store: S) {
    loop {
        if let Some(read) = feed.read_once(&store).await {
            feed.watched_revision.store(read.0, Ordering::Relaxed);
            watch_from(&feed, &store, Revision(read.0 + 1)).await;
        }
        time::sleep(jittered(WATCH_RESTART_DELAY)).await;
    }
}

/// Watches the key from a revision until the watch ends or has missed a change.
async fn watch_from<S: kv::Store>(feed: &Feed, store: &S, from: Revision) {
    feed.counters.watches.inc();
    let Ok(subscription) = store.watch(layout::CONFIGURATION_KEY, from).await else {
        return;
    };
    tokio::select! {
        biased;
        () = forward(feed, subscription) => {}
        () = feed.missed.notified() => {
            feed.counters.silent_watches.inc();
        }
    }
}

/// Offers the values that a watch reports, until it ends.
async fn forward<W: kv::Watch>(feed: &Feed, mut subscription: W) {
    while let Ok(changes) = subscription.next().await {
        for change in changes {
            let Change::Put(entry) = change else {
                continue;
            };
            feed.watched_revision
                .fetch_max(entry.modified.0, Ordering::Relaxed);
            feed.offer_entry(&entry);
        }
    }
}

/// Asks the peers for a configuration while a peer has a higher generation or
/// none is in force here.
async fn fetch<P: Peers>(feed: Feed, handle: Handle, peers: P) {
    let mut reported = handle.reported.subscribe();
    let mut delay = MIN_FETCH_DELAY;
    loop {
        let generation = handle.generation();
        let is_unset = generation == id::Generation::default();
        if !is_unset && *reported.borrow_and_update() <= generation {
            delay = MIN_FETCH_DELAY;
            let _closed = reported.changed().await;
            continue;
        }
        feed.counters.fetches.inc();
        if let Some(record) = peers.configuration(generation).await {
            feed.offer(record);
            delay = MIN_FETCH_DELAY;
        }
        time::sleep(jittered(delay)).await;
        delay = (delay * 2).min(MAX_FETCH_DELAY);
    }
}

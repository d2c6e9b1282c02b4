//! Observes the endpoints of the host list: their load and their caches.

mod cache;
mod load;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use dottereltally_lib::{
    endpoint::{Record, Standing},
    event::Event,
    id,
};
use dottereltally_store::host::Snapshot;
use prometheus_client::{metrics::counter::Counter, registry::Registry};
use rand::Rng;
use tokio::{
    sync::{Semaphore, watch},
    task::{JoinHandle, JoinSet},
    time::sleep,
};

pub use self::load::probe;
use crate::{dispatcher, hosts};

/// Shortest mean time between two polls of one endpoint.
const MIN_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of polls per second that one node starts.
const MAX_POLLS_PER_SECOND: f64 = 24.0;
/// Maximum number of polls that run concurrently.
const MAX_CONCURRENT_POLLS: usize = 16;

/// Counters of the observer.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// Polls of load pages.
    pub polls: Counter,
    /// Polls that failed.
    pub failures: Counter,
    /// Bytes of load pages, without HTTP headers.
    pub bytes: Counter,
    /// Cache events received.
    pub events: Counter,
    /// Gaps in cache events.
    pub gaps: Counter,
    /// Streams of cache events that were opened.
    pub streams: Counter,
}

impl Metrics {
    /// Registers the counters under `observer_`.
    pub fn register(&self, registry: &mut Registry) {
        let observer = registry.sub_registry_with_prefix("observer");
        observer.register("load_polls", "Polls of load pages", self.polls.clone());
        observer.register(
            "load_poll_failures",
            "Failed polls of load pages",
            self.failures.clone(),
        );
        observer.register(
            "load_page_bytes",
            "Bytes of load pages, without HTTP heads",
            self.bytes.clone(),
        );
        observer.register("cache_events", "Cache events received", self.events.clone());
        observer.register("cache_gaps", "Gaps in cache events", self.gaps.clone());
        observer.register(
            "cache_streams",
            "Streams of cache events that were opened",
            self.streams.clone(),
        );
    }
}

/// Starts a task that observes the endpoints until the host list's channel is
/// closed.
///
/// The dispatcher gets [`Event::Listed`] for every change of the host list,
/// [`Event::Reported`] for every load page that was read, and
/// [`Event::Cached`] for the cache events of the live endpoints in
/// `data_centre`.
pub fn spawn<H: dispatcher::Handle>(
    data_centre: id::DataCentre,
    hosts: hosts::Receiver,
    dispatcher: H,
    metrics: Metrics,
) -> JoinHandle<()> {
    let observer = Observer {
        data_centre,
        dispatcher,
        metrics,
        poll_permits: Arc::new(Semaphore::new(MAX_CONCURRENT_POLLS)),
        interval: watch::Sender::new(MIN_POLL_INTERVAL),
        observed: BTreeMap::new(),
    };
    tokio::spawn(observer.run(hosts))
}

/// An endpoint that is observed until this is dropped.
struct Observed {
    record: Record,
    _tasks: JoinSet<()>,
}

struct Observer<H> {
    data_centre: id::DataCentre,
    dispatcher: H,
    metrics: Metrics,
    poll_permits: Arc<Semaphore>,
    interval: watch::Sender<Duration>,
    observed: BTreeMap<id::Endpoint, Observed>,
}

impl<H: dispatcher::Handle> Observer<H> {
    async fn run(mut self, mut hosts: hosts::Receiver) {
        loop {
            let snapshot = hosts.borrow_and_update().clone();
            if let Some(snapshot) = snapshot {
                self.update(&snapshot);
            }
            if hosts.changed().await.is_err() {
                return;
            }
        }
    }

    fn update(&mut self, snapshot: &Snapshot) {
        self.dispatcher
            .send(Event::Listed(snapshot.endpoints.clone()));
        // Never fails, also if no poll task subscribes.
        self.interval
            .send_replace(interval(snapshot.endpoints.len()));
        let mut observed = BTreeMap::new();
        for record in &snapshot.endpoints {
            let existing = self.observed.remove(&record.id);
            let existing = existing.filter(|existing| existing.record.address == record.address);
            let entry = existing.unwrap_or_else(|| self.observe(record));
            observed.insert(record.id.clone(), entry);
        }
        self.observed = observed;
    }

    fn observe(&self, record: &Record) -> Observed {
        let mut tasks = JoinSet::new();
        tasks.spawn(poll(
            record.clone(),
            self.interval.subscribe(),
            self.dispatcher.clone(),
            self.metrics.clone(),
            self.poll_permits.clone(),
        ));
        if record.data_centre == self.data_centre && record.standing == Standing::Live {
            tasks.spawn(cache::follow(
                record.clone(),
                self.dispatcher.clone(),
                self.metrics.clone(),
            ));
        }
        Observed {
            record: record.clone(),
            _tasks: tasks,
        }
    }
}

/// Returns the mean time between two polls of the same endpoint, given the
/// number of endpoints.
fn interval(endpoints: usize) -> Duration {
    let endpoints = f64::from(u32::try_from(endpoints).unwrap_or(u32::MAX));
    MIN_POLL_INTERVAL.max(Duration::from_secs_f64(endpoints / MAX_POLLS_PER_SECOND))
}

/// Polls the load page of one endpoint until the task is dropped.
async fn poll(
    record: Record,
    interval: watch::Receiver<Duration>,
    dispatcher: impl dispatcher::Handle,
    metrics: Metrics,
    poll_permits: Arc<Semaphore>,
) {
    let mut connection = None;
    loop {
        let jitter = rand::rng().random_range(0.8..1.2);
        let pause = interval.borrow().mul_f64(jitter);
        sleep(pause).await;
        let Ok(_permit) = poll_permits.acquire().await else {
            return;
        };
        metrics.polls.inc();
        let Ok((load, bytes)) = load::read(&record.address, &mut connection).await else {
            connection = None;
            metrics.failures.inc();
            continue;
        };
        metrics.bytes.inc_by(bytes as u64);
        dispatcher.send(Event::Reported(record.id.clone(), load));
    }
}

//! Watches the endpoints: the host list, their load and their caches.

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

/// Least time between two polls of one endpoint.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Polls that one node starts per second at the most.
const POLLS_PER_SECOND: f64 = 24.0;
/// Polls that run at a time.
const MAX_POLLS: usize = 16;

/// Counters of the observer.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// Polls of load pages.
    pub polls: Counter,
    /// Polls that failed.
    pub failures: Counter,
    /// Bytes of load pages, without HTTP heads.
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

/// Starts to watch the endpoints, until the host list ends.
///
/// The dispatcher gets [`Event::Listed`] for every change of the host list,
/// [`Event::Reported`] for every load page that was read, and
/// [`Event::Cached`] for the cache events of the endpoints of
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
        polls: Arc::new(Semaphore::new(MAX_POLLS)),
        interval: watch::Sender::new(POLL_INTERVAL),
        watched: BTreeMap::new(),
    };
    tokio::spawn(observer.run(hosts))
}

/// One endpoint that is watched; dropping it stops that.
struct Watched {
    record: Record,
    _tasks: JoinSet<()>,
}

struct Observer<H> {
    data_centre: id::DataCentre,
    dispatcher: H,
    metrics: Metrics,
    polls: Arc<Semaphore>,
    interval: watch::Sender<Duration>,
    watched: BTreeMap<id::Endpoint, Watched>,
}

impl<H: dispatcher::Handle> Observer<H> {
    async fn run(mut self, mut hosts: hosts::Receiver) {
        loop {
            let snapshot = hosts.borrow_and_update().clone();
            if let Some(snapshot) = snapshot {
                self.listed(&snapshot);
            }
            if hosts.changed().await.is_err() {
                return;
            }
        }
    }

    fn listed(&mut self, snapshot: &Snapshot) {
        self.dispatcher
            .tell(Event::Listed(snapshot.endpoints.clone()));
        // The receivers are the polls; there may be none.
        self.interval
            .send_replace(interval(snapshot.endpoints.len()));
        let mut watched = BTreeMap::new();
        for record in &snapshot.endpoints {
            let kept = self.watched.remove(&record.id);
            let kept = kept.filter(|kept| kept.record.address == record.address);
            let entry = kept.unwrap_or_else(|| self.watch(record));
            watched.insert(record.id.clone(), entry);
        }
        self.watched = watched;
    }

    fn watch(&self, record: &Record) -> Watched {
        let mut tasks = JoinSet::new();
        tasks.spawn(poll(
            record.clone(),
            self.interval.subscribe(),
            self.dispatcher.clone(),
            self.metrics.clone(),
            self.polls.clone(),
        ));
        if record.data_centre == self.data_centre && record.standing == Standing::Live {
            tasks.spawn(cache::follow(
                record.clone(),
                self.dispatcher.clone(),
                self.metrics.clone(),
            ));
        }
        Watched {
            record: record.clone(),
            _tasks: tasks,
        }
    }
}

/// Returns the time between two polls of one of `endpoints` endpoints.
fn interval(endpoints: usize) -> Duration {
    let endpoints = f64::from(u32::try_from(endpoints).unwrap_or(u32::MAX));
    POLL_INTERVAL.max(Duration::from_secs_f64(endpoints / POLLS_PER_SECOND))
}

/// Polls the load page of one endpoint until the task is dropped.
async fn poll(
    record: Record,
    interval: watch::Receiver<Duration>,
    dispatcher: impl dispatcher::Handle,
    metrics: Metrics,
    polls: Arc<Semaphore>,
) {
    let mut connection = None;
    loop {
        let jitter = rand::rng().random_range(0.8..1.2);
        let pause = interval.borrow().mul_f64(jitter);
        sleep(pause).await;
        let Ok(_permit) = polls.acquire().await else {
            return;
        };
        metrics.polls.inc();
        let Ok((load, bytes)) = load::read(&record.address, &mut connection).await else {
            connection = None;
            metrics.failures.inc();
            continue;
        };
        metrics.bytes.inc_by(bytes as u64);
        dispatcher.tell(Event::Reported(record.id.clone(), load));
    }
}

//! Polls the host list.

use std::{sync::Arc, time::Duration};

use dottereltally_store::host::{List, Snapshot};
use prometheus_client::{metrics::counter::Counter, registry::Registry};
use rand::Rng;
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

/// Time between two reads, before jitter.
const INTERVAL: Duration = Duration::from_secs(1);
/// Time for one read.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the last host list that could be had and waits for the next.
pub type Receiver = watch::Receiver<Option<Arc<Snapshot>>>;

/// Counters of the reads of the host list.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// Reads of the host list.
    pub reads: Counter,
    /// Reads that failed.
    pub failures: Counter,
}

impl Metrics {
    /// Registers the counters under `host_list_`.
    pub fn register(&self, registry: &mut Registry) {
        let list = registry.sub_registry_with_prefix("host_list");
        list.register("reads", "Reads of the host list", self.reads.clone());
        list.register(
            "read_failures",
            "Failed reads of the host list",
            self.failures.clone(),
        );
    }
}

/// Polls the host list until every receiver is dropped.
///
/// The value is none until a read has succeeded; an outage keeps the last
/// list. Receivers are notified of changes only.
pub fn spawn(list: impl List, metrics: Metrics) -> Receiver {
    let (sender, receiver) = watch::channel(None);
    tokio::spawn(poll(list, metrics, sender));
    receiver
}

async fn poll(list: impl List, metrics: Metrics, sender: watch::Sender<Option<Arc<Snapshot>>>) {
    let mut reachable = true;
    while !sender.is_closed() {
        metrics.reads.inc();
        let result = timeout(READ_TIMEOUT, list.read()).await;
        match result {
            Ok(Ok(snapshot)) => {
                if !reachable {
                    tracing::info!("the host list is readable again");
                }
                reachable = true;
                sender.send_if_modified(|current| replace(current, snapshot));
            }
            failure => {
                metrics.failures.inc();
                if reachable {
                    tracing::warn!(?failure, "the host list can't be read; the last one stays");
                }
                reachable = false;
            }
        }
        let jitter = rand::rng().random_range(0.8..1.2);
        sleep(INTERVAL.mul_f64(jitter)).await;
    }
}

/// Replaces the list if it has changed, and returns whether it did.
fn replace(current: &mut Option<Arc<Snapshot>>, snapshot: Snapshot) -> bool {
    if current.as_deref() == Some(&snapshot) {
        return false;
    }
    *current = Some(Arc::new(snapshot));
    true
}

//! Polls the host list.

use std::{sync::Arc, time::Duration};

use dottereltally_store::host::{List, Snapshot};
use prometheus_client::{metrics::counter::Counter, registry::Registry};
use rand::Rng;
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

/// Mean time between two reads.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit for one read.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the last host list that was read successfully and waits for changes.
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
/// The value is none until a read has succeeded; failed reads keep the last
/// list. Receivers are notified only of changes.
pub fn spawn(list: impl List, metrics: Metrics) -> Receiver {
    let (sender, receiver) = watch::channel(None);
    tokio::spawn(poll(list, metrics, sender));
    receiver
}

async fn poll(list: impl List, metrics: Metrics, sender: watch::Sender<Option<Arc<Snapshot>>>) {
    let mut is_readable = true;
    while !sender.is_closed() {
        metrics.reads.inc();
        let result = timeout(READ_TIMEOUT, list.read()).await;
        match result {
            Ok(Ok(snapshot)) => {
                if !is_readable {
                    tracing::info!("the host list is readable again");
                }
                is_readable = true;
                sender.send_if_modified(|current| replace_if_changed(current, snapshot));
            }
            failure => {
                metrics.failures.inc();
                if is_readable {
                    tracing::warn!(
                        ?failure,
                        "the host list can't be read; keeping the last one"
                    );
                }
                is_readable = false;
            }
        }
        let jitter = rand::rng().random_range(0.8..1.2);
        sleep(READ_INTERVAL.mul_f64(jitter)).await;
    }
}

/// Replaces the list if it has changed, and returns whether it did.
fn replace_if_changed(current: &mut Option<Arc<Snapshot>>, snapshot: Snapshot) -> bool {
    if current.as_deref() == Some(&snapshot) {
        return false;
    }
    *current = Some(Arc::new(snapshot));
    true
}

//! Keeps the suspicions against refused requests in the source, so that they
//! outlive the nodes that found them out.

use std::time::Duration;

use dottereltally_lib::id;
use tokio::{sync::mpsc, time::sleep};

use crate::{crashes, directory::Source, metrics::Metrics};

/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Keeps the suspicions against each request that is received; ends with the
/// channel.
pub async fn keep<S: Source>(
    source: S,
    crashes: crashes::Handle,
    mut refused: mpsc::Receiver<id::Fingerprint>,
    metrics: Metrics,
) {
    while let Some(fingerprint) = refused.recv().await {
        loop {
            let marks = crashes.read(|detector, now| detector.marks(now, fingerprint));
            if marks.is_empty() {
                // Withdrawn in the meantime.
                break;
            }
            metrics.store_calls.inc();
            match source.quarantine(fingerprint, &marks).await {
                Ok(()) => {
                    tracing::info!(%fingerprint, deaths = marks.len(), "quarantine kept in the key-value service");
                    break;
                }
                Err(error) => {
                    metrics.store_failures.inc();
                    tracing::info!(%fingerprint, %error, "quarantine not kept in the key-value service; retrying");
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }
}

//! Keeps the suspicions against refused requests in the source, so that they
//! outlive the nodes that found them out.

use std::{collections::BTreeSet, time::Duration};

use dottereltally_lib::id;
use tokio::{select, sync::mpsc, time::sleep};

use crate::{crashes, directory::Source, era::wait_for_turn, metrics::Metrics};

/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time over which nodes spread what they write again after the source was restored.
const RESTORATION_SPREAD: Duration = Duration::from_secs(2);

/// Keeps the suspicions against each request that is received; ends with the
/// channel. They are written again if the source was restored, as its copy may lack them.
pub async fn keep<S: Source>(
    source: S,
    crashes: crashes::Handle,
    mut refused: mpsc::Receiver<id::Fingerprint>,
    metrics: Metrics,
) {
    let keeper = Keeper {
        source,
        crashes,
        metrics,
    };
    let mut kept = BTreeSet::new();
    let mut era = keeper.source.eras().current();
    loop {
        let eras = keeper.source.eras();
        let received = select! {
            received = refused.recv() => received,
            () = eras.wait_for_change(era) => {
                wait_for_turn(RESTORATION_SPREAD).await;
                era = eras.current();
                for fingerprint in kept.clone() {
                    if !keeper.write(fingerprint).await {
                        kept.remove(&fingerprint);
                    }
                }
                continue;
            }
        };
        let Some(fingerprint) = received else {
            return;
        };
        if keeper.write(fingerprint).await {
            kept.insert(fingerprint);
        }
    }
}

struct Keeper<S> {
    source: S,
    crashes: crashes::Handle,
    metrics: Metrics,
}

impl<S: Source> Keeper<S> {
    /// Writes the suspicions against a request, retrying until it succeeds; returns whether
    /// there are any.
    async fn write(&self, fingerprint: id::Fingerprint) -> bool {
        loop {
            let marks = self
                .crashes
                .read(|detector, now| detector.marks(now, fingerprint));
            if marks.is_empty() {
                // Withdrawn in the meantime.
                return false;
            }
            self.metrics.store_calls.inc();
            match self.source.quarantine(fingerprint, &marks).await {
                Ok(()) => {
                    tracing::info!(%fingerprint, deaths = marks.len(), "quarantine kept in the key-value service");
                    return true;
                }
                Err(error) => {
                    self.metrics.store_failures.inc();
                    tracing::info!(%fingerprint, %error, "quarantine not kept in the key-value service; retrying");
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }
}

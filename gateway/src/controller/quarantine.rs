//! Keeps what is known of refused requests in the source, so that it outlives the nodes
//! that found it out, and claims the trials of these requests.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use dottereltally_lib::{
    id,
    suspicion::{Kind, Mark},
};
use rand::Rng;
use tokio::{
    select,
    sync::{mpsc, watch},
    time::{Instant, sleep, sleep_until},
};

use crate::{
    crashes,
    directory::{Claimant, Node, Source},
    era::wait_for_turn,
    metrics::Metrics,
};

/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time over which nodes spread what they write again after the source was restored.
const RESTORATION_SPREAD: Duration = Duration::from_secs(2);

/// Pause after a write, for each node: all nodes together make at most a hundred in a
/// second, which leaves most of what the source allows to other calls.
const WRITE_PAUSE: Duration = Duration::from_millis(10);

/// Most requests that wait to be written.
const MAX_WAITING: usize = 256;

/// Mean time between two comparisons of what is kept with what this node knows. It is
/// longer than a node that withdrew something takes to write it, and others to read it.
const COMPARISON_INTERVAL: Duration = Duration::from_secs(5);

/// Least mean time between two comparisons, for each node.
const COMPARISON_PAUSE: Duration = Duration::from_millis(200);

/// Keeps what is known of each request that is received; ends with the channel. It is
/// written again if the source was restored, as its copy may lack it. What is kept is also
/// compared from time to time with what this node knows: the node that withdrew something
/// may have ended before it wrote that, or a node that has not heard of it wrote last.
pub async fn keep<S: Source>(
    source: S,
    crashes: crashes::Handle,
    mut refused: mpsc::Receiver<id::Fingerprint>,
    nodes: watch::Receiver<Vec<Node>>,
    metrics: Metrics,
) {
    let keeper = Keeper {
        source,
        crashes,
        nodes,
        metrics,
    };
    let mut waiting = VecDeque::new();
    let mut kept = BTreeSet::new();
    let mut era = keeper.source.eras().current();
    let mut next_write = Instant::now();
    let mut next_comparison = Instant::now() + keeper.comparison_interval();
    loop {
        let eras = keeper.source.eras();
        select! {
            received = refused.recv(), if waiting.len() < MAX_WAITING => {
                let Some(fingerprint) = received else {
                    return;
                };
                if !waiting.contains(&fingerprint) {
                    waiting.push_back(fingerprint);
                }
            }
            () = eras.wait_for_change(era) => {
                wait_for_turn(RESTORATION_SPREAD).await;
                era = eras.current();
                for fingerprint in &kept {
                    if !waiting.contains(fingerprint) {
                        waiting.push_back(*fingerprint);
                    }
                }
            }
            () = sleep_until(next_comparison) => {
                next_comparison = Instant::now() + keeper.comparison_interval();
                for (fingerprint, marks) in keeper.crashes.outdated() {
                    // A failed write is made by the next comparison.
                    let _outcome = keeper.write(fingerprint, &marks).await;
                    sleep(keeper.write_pause()).await;
                }
            }
            () = sleep_until(next_write), if !waiting.is_empty() => {
                let Some(fingerprint) = waiting.pop_front() else {
                    continue;
                };
                let known = keeper.crashes.read(|detector, now| detector.records(now, fingerprint));
                let outcome = keeper.write(fingerprint, &known).await;
                next_write = Instant::now() + keeper.write_pause();
                match outcome {
                    Outcome::Kept => {
                        kept.insert(fingerprint);
                    }
                    Outcome::Unknown => {
                        kept.remove(&fingerprint);
                    }
                    Outcome::Failed => {
                        waiting.push_back(fingerprint);
                        next_write = Instant::now() + RETRY_DELAY;
                    }
                }
            }
        }
    }
}

/// Claims each trial that is received for this process; ends with the channel.
pub async fn claim_trials<S: Source>(
    source: S,
    crashes: crashes::Handle,
    mut claims: mpsc::Receiver<crashes::Claim>,
    claimant: Claimant,
    metrics: Metrics,
) {
    while let Some(crashes::Claim { trial, reply }) = claims.recv().await {
        metrics.store_calls.inc();
        let result = source.claim_trial(trial, &claimant).await;
        let is_granted = matches!(result, Ok(true));
        match &result {
            Ok(is_granted) => {
                crashes.record_claim(trial, *is_granted);
                tracing::info!(
                    fingerprint = %trial.fingerprint,
                    number = trial.number,
                    is_granted,
                    "trial of a refused request claimed"
                );
            }
            Err(error) => {
                metrics.store_failures.inc();
                tracing::info!(
                    fingerprint = %trial.fingerprint,
                    number = trial.number,
                    %error,
                    "trial of a refused request not claimed"
                );
            }
        }
        // The request may have ended in the meantime.
        let _ended = reply.send(is_granted);
        if result.is_err() {
            sleep(RETRY_DELAY).await;
        }
        crashes.end_claim(trial);
    }
}

/// Result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// The source keeps what is known.
    Kept,
    /// Nothing is known of the request.
    Unknown,
    /// The source may not keep it.
    Failed,
}

struct Keeper<S> {
    source: S,
    crashes: crashes::Handle,
    /// The other nodes.
    nodes: watch::Receiver<Vec<Node>>,
    metrics: Metrics,
}

impl<S: Source> Keeper<S> {
    fn node_count(&self) -> u32 {
        let others = self.nodes.borrow().len();
        u32::try_from(others).unwrap_or(u32::MAX).saturating_add(1)
    }

    fn write_pause(&self) -> Duration {
        WRITE_PAUSE * self.node_count()
    }

    /// Returns the time until the next comparison, at random: the first node that writes
    /// spares the others the call.
    fn comparison_interval(&self) -> Duration {
        let mean = COMPARISON_INTERVAL.max(COMPARISON_PAUSE * self.node_count());
        mean.mul_f64(rand::rng().random_range(0.5..1.5))
    }

    /// Adds marks of a request to what is kept.
    async fn write(&self, fingerprint: id::Fingerprint, marks: &[Mark]) -> Outcome {
        if marks.is_empty() {
            return Outcome::Unknown;
        }
        let withdrawn = marks.iter().filter(|mark| mark.kind == Kind::Withdrawn);
        let withdrawn = withdrawn.count();
        self.metrics.store_calls.inc();
        match self.source.quarantine(fingerprint, marks).await {
            Ok(()) => {
                // A withdrawal may follow before the write is read again.
                self.crashes.record_kept(marks);
                tracing::info!(
                    %fingerprint,
                    deaths = marks.len() - withdrawn,
                    withdrawn,
                    "quarantine kept in the key-value service"
                );
                Outcome::Kept
            }
            Err(error) => {
                self.metrics.store_failures.inc();
                tracing::info!(%fingerprint, %error, "quarantine not kept in the key-value service; retrying");
                Outcome::Failed
            }
        }
    }
}

//! Follows the source by long polling and sends what it reads to the
//! controller.

use std::time::Duration;

use dottereltally_store::kv::{Error, Revision};
use ractor::ActorRef;
use rand::Rng;
use tokio::time::{Instant, sleep, sleep_until};

use crate::{controller::Message, directory::Source, metrics::Metrics};

/// Longest time from a change until a call returns it, beyond the poll interval:
/// a source that drops its change history keeps calls waiting for about a second.
const CHANGE_DELAY: Duration = Duration::from_millis(1200);

/// The poll interval is this fraction of what [`CHANGE_DELAY`] leaves of the bound.
const BOUND_FRACTION: f64 = 0.85;

/// Shortest poll interval.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Longest time that a call waits for a change.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Initial and longest pause after a failed call.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(800));

/// Shortest time between the starts of two calls for changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollInterval(pub Duration);

impl PollInterval {
    /// Returns an interval at which a change is seen within `bound`, with a
    /// margin.
    #[must_use]
    pub fn within(bound: Duration) -> Self {
        let left = bound.saturating_sub(CHANGE_DELAY);
        Self(left.mul_f64(BOUND_FRACTION).max(MIN_POLL_INTERVAL))
    }
}

/// Follows the source; never returns.
pub async fn run<S: Source>(
    source: S,
    poll_interval: PollInterval,
    controller: ActorRef<Message>,
    metrics: Metrics,
) {
    let follower = Follower {
        source,
        poll_interval,
        controller,
        metrics,
    };
    loop {
        let revision = follower.read_snapshot().await;
        follower.follow_changes(revision).await;
    }
}

struct Follower<S> {
    source: S,
    poll_interval: PollInterval,
    controller: ActorRef<Message>,
    metrics: Metrics,
}

impl<S: Source> Follower<S> {
    /// Reads the whole directory, retrying until it succeeds.
    async fn read_snapshot(&self) -> Revision {
        let mut pause = BACKOFF.0;
        loop {
            self.metrics.store_calls.inc();
            match self.source.snapshot().await {
                Ok(snapshot) => {
                    let revision = snapshot.revision;
                    self.send(Message::Snapshot(Box::new(snapshot)));
                    return revision;
                }
                Err(error) => self.back_off(&error, &mut pause).await,
            }
        }
    }

    /// Reads changes until the source no longer keeps those after `revision`.
    async fn follow_changes(&self, mut revision: Revision) {
        let mut pause = BACKOFF.0;
        loop {
            let next_call = Instant::now() + self.poll_interval.0;
            self.metrics.store_calls.inc();
            match self.source.changes(revision, MAX_WAIT).await {
                Ok(changes) => {
                    revision = changes.revision;
                    pause = BACKOFF.0;
                    self.send(Message::Changes(changes));
                    sleep_until(next_call).await;
                }
                Err(Error::Refused(cause)) => {
                    tracing::info!(
                        revision = revision.0,
                        cause,
                        "changes are no longer available; reading the whole directory"
                    );
                    return;
                }
                Err(error) => self.back_off(&error, &mut pause).await,
            }
        }
    }

    /// Reports a failed call, then waits with jitter and exponential backoff.
    async fn back_off(&self, error: &Error, pause: &mut Duration) {
        self.metrics.store_failures.inc();
        self.send(Message::SourceFailed(error.to_string()));
        let jitter = rand::rng().random_range(0.7..1.3);
        sleep(pause.mul_f64(jitter)).await;
        *pause = (*pause * 2).min(BACKOFF.1);
    }

    fn send(&self, message: Message) {
        if let Err(error) = self.controller.send_message(message) {
            tracing::error!(%error, "directory controller has stopped");
        }
    }
}

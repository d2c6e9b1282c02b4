//! Follows the source and tells the controller.

use std::time::Duration;

use dottereltally_store::kv::{Error, Revision};
use ractor::ActorRef;
use rand::Rng;
use tokio::time::{Instant, sleep, sleep_until};

use crate::{controller::Message, directory::Source, metrics::Metrics};

/// Time that a change may take to show in a call besides the pace: a store
/// that drops its history keeps calls waiting for about a second.
const PACE_SLACK: Duration = Duration::from_millis(1200);

/// Part of the rest of the promised time after which changes are read again.
const PACE_PART: f64 = 0.85;

/// Shortest time between two calls.
const MIN_PACE: Duration = Duration::from_millis(200);

/// Longest time that a call waits for a change.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Pause after a failed call, at first and at most.
const PAUSE: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(800));

/// How often changes are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace(pub Duration);

impl Pace {
    /// Returns a pace that keeps a promise with time to spare.
    #[must_use]
    pub fn within(promise: Duration) -> Self {
        let left = promise.saturating_sub(PACE_SLACK);
        Self(left.mul_f64(PACE_PART).max(MIN_PACE))
    }
}

/// Follows the source for ever.
pub async fn run<S: Source>(
    source: S,
    pace: Pace,
    controller: ActorRef<Message>,
    metrics: Metrics,
) {
    let follower = Follower {
        source,
        pace,
        controller,
        metrics,
    };
    loop {
        let revision = follower.read().await;
        follower.follow(revision).await;
    }
}

struct Follower<S> {
    source: S,
    pace: Pace,
    controller: ActorRef<Message>,
    metrics: Metrics,
}

impl<S: Source> Follower<S> {
    /// Reads everything, as often as it takes.
    async fn read(&self) -> Revision {
        let mut pause = PAUSE.0;
        loop {
            self.metrics.store_calls.inc();
            match self.source.snapshot().await {
                Ok(snapshot) => {
                    let revision = snapshot.revision;
                    self.tell(Message::Snapshot(Box::new(snapshot)));
                    return revision;
                }
                Err(error) => self.fail(&error, &mut pause).await,
            }
        }
    }

    /// Reads changes until they are not kept any more.
    async fn follow(&self, mut revision: Revision) {
        let mut pause = PAUSE.0;
        loop {
            let next = Instant::now() + self.pace.0;
            self.metrics.store_calls.inc();
            match self.source.changes(revision, MAX_WAIT).await {
                Ok(changes) => {
                    revision = changes.revision;
                    pause = PAUSE.0;
                    self.tell(Message::Changes(changes));
                    sleep_until(next).await;
                }
                Err(Error::Refused(cause)) => {
                    tracing::info!(revision = revision.0, cause, "changes are read anew");
                    return;
                }
                Err(error) => self.fail(&error, &mut pause).await,
            }
        }
    }

    async fn fail(&self, error: &Error, pause: &mut Duration) {
        self.metrics.store_failures.inc();
        self.tell(Message::Lost(error.to_string()));
        let spread = rand::rng().random_range(0.7..1.3);
        sleep(pause.mul_f64(spread)).await;
        *pause = (*pause * 2).min(PAUSE.1);
    }

    fn tell(&self, message: Message) {
        if let Err(error) = self.controller.send_message(message) {
            tracing::error!(%error, "the controller of the directory stopped");
        }
    }
}

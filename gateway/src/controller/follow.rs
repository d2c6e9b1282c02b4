//! Follows the source by long polling and sends what it reads to the
//! controller.

use std::{future::Future, pin::pin, time::Duration};

use dottereltally::clock::Clock;
use dottereltally_lib::time;
use dottereltally_store::kv::{Error, Revision};
use futures_util::{StreamExt, stream::FuturesUnordered};
use ractor::ActorRef;
use rand::Rng;
use tokio::{
    select,
    time::{Instant, interval, sleep, sleep_until, timeout},
};

use super::{Message, endpoints::RENEWAL_TIME};
use crate::{directory::Source, metrics::Metrics};

/// Longest time from a change until a call returns it, beyond the poll interval:
/// a source that drops its change history keeps calls waiting for about a second.
const CHANGE_DELAY: Duration = Duration::from_millis(1200);

/// The poll interval is this fraction of what [`CHANGE_DELAY`] leaves of the bound.
const BOUND_FRACTION: f64 = 0.85;

/// Shortest poll interval.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Longest time that a call waits for a change.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Initial and longest mean pause before a call is repeated, once the source answers.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(800));

/// Time beyond the wait after which a call counts as overdue.
const OVERDUE: Duration = Duration::from_millis(300);

/// Time between two probes of a source that does not answer. Probes overlap, as
/// one that was lost may take long to fail.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Time that it takes at most to read a description after it was written; endpoints
/// are given up that much later than they must be written again.
const READ_TIME: Duration = Duration::from_millis(300);

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
    clock: Clock,
    controller: ActorRef<Message>,
    metrics: Metrics,
) {
    let follower = Follower {
        source,
        poll_interval,
        clock,
        controller,
        metrics,
    };
    loop {
        let (revision, renewal_end) = follower.read_snapshot().await;
        follower.follow_changes(revision, renewal_end).await;
    }
}

struct Follower<S> {
    source: S,
    poll_interval: PollInterval,
    clock: Clock,
    controller: ActorRef<Message>,
    metrics: Metrics,
}

/// When a source that was unavailable answered a probe.
#[derive(Clone, Copy)]
struct Return {
    /// By the clock of the node.
    answered: time::Instant,
    /// Until when endpoints write expired descriptions again.
    renewal_end: Instant,
}

impl<S: Source> Follower<S> {
    /// Reads the whole directory, retrying until it succeeds. Returns its revision,
    /// and until when expired descriptions are written again.
    async fn read_snapshot(&self) -> (Revision, Option<Instant>) {
        let mut pause = BACKOFF.0;
        let mut renewal_end = None;
        loop {
            self.metrics.store_calls.inc();
            let sent = self.clock.now();
            let (result, returned) = self.supervise(OVERDUE, self.source.snapshot()).await;
            match result {
                Ok(snapshot) => {
                    let revision = snapshot.revision;
                    self.send(Message::Snapshot(Box::new(snapshot)));
                    return (revision, renewal_end);
                }
                Err(error) => {
                    renewal_end = Some(self.recover(&error, sent, returned, &mut pause).await);
                }
            }
        }
    }

    /// Reads changes until the source no longer keeps those after `revision`.
    async fn follow_changes(&self, mut revision: Revision, mut renewal_end: Option<Instant>) {
        let mut pause = BACKOFF.0;
        loop {
            let mut next_call = Instant::now() + self.poll_interval.0;
            // What was written until then is read before endpoints are given up.
            if let Some(end) = renewal_end.take_if(|end| *end < next_call) {
                next_call = end;
            }
            self.metrics.store_calls.inc();
            let sent = self.clock.now();
            let reading = self.source.changes(revision, MAX_WAIT);
            let (result, returned) = self.supervise(MAX_WAIT + OVERDUE, reading).await;
            match result {
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
                Err(error) => {
                    renewal_end = Some(self.recover(&error, sent, returned, &mut pause).await);
                }
            }
        }
    }

    /// Returns the result of a call. While it is overdue, the source is probed; the
    /// first answer to a probe is returned as well.
    async fn supervise<T>(
        &self,
        expected: Duration,
        call: impl Future<Output = Result<T, Error>>,
    ) -> (Result<T, Error>, Option<Return>) {
        let mut call = pin!(call);
        if let Ok(result) = timeout(expected, call.as_mut()).await {
            return (result, None);
        }
        select! {
            result = call.as_mut() => (result, None),
            returned = self.wait_for_answer() => (call.await, Some(returned)),
        }
    }

    /// Reports a call that was `sent` at a time and failed. Waits until the source
    /// answers, unless it did already, and then with jitter and exponential backoff.
    /// Returns until when endpoints write expired descriptions again.
    async fn recover(
        &self,
        error: &Error,
        sent: time::Instant,
        returned: Option<Return>,
        pause: &mut Duration,
    ) -> Instant {
        self.metrics.store_failures.inc();
        self.send(Message::SourceFailed(sent, error.to_string()));
        let returned = match returned {
            Some(returned) => returned,
            None => self.wait_for_answer().await,
        };
        self.send(Message::SourceReturned(returned.answered + READ_TIME));
        let jitter = rand::rng().random_range(0.3..1.7);
        sleep(pause.mul_f64(jitter)).await;
        *pause = (*pause * 2).min(BACKOFF.1);
        returned.renewal_end
    }

    /// Probes the source until it answers.
    async fn wait_for_answer(&self) -> Return {
        let mut probes = FuturesUnordered::new();
        let mut ticks = interval(PROBE_INTERVAL);
        loop {
            select! {
                _ = ticks.tick() => probes.push(self.probe()),
                Some(answered) = probes.next() => {
                    if let Some(returned) = answered {
                        return returned;
                    }
                }
            }
        }
    }

    /// Sends one probe; returns when it was sent if it was answered.
    async fn probe(&self) -> Option<Return> {
        let returned = Return {
            answered: self.clock.now(),
            renewal_end: Instant::now() + RENEWAL_TIME,
        };
        self.metrics.store_probes.inc();
        // The failed call was logged; the next one logs the end of the outage.
        self.source.probe().await.ok().map(|()| returned)
    }

    fn send(&self, message: Message) {
        if let Err(error) = self.controller.send_message(message) {
            tracing::error!(%error, "directory controller has stopped");
        }
    }
}

//! Follows the source by long polling and sends what it reads to the
//! controller.

use std::{cmp::Ordering, future::Future, pin::pin, time::Duration};

use dottereltally::clock::Clock;
use dottereltally_lib::{
    era::{Era, Revision},
    size, time,
};
use dottereltally_store::{
    kv::Error,
    transfer::{Intake, Pace, Timer},
};
use futures_util::{StreamExt, stream::FuturesUnordered};
use ractor::ActorRef;
use rand::Rng;
use tokio::{
    select,
    time::{Instant, sleep, sleep_until},
};

use super::{Message, endpoints::RENEWAL_TIME};
use crate::{
    directory::{Snapshot, Source},
    era::wait_for_turn,
    metrics::Metrics,
    view,
};

/// Longest time from a change until a call returns it, beyond the poll interval:
/// a source that drops its change history keeps calls waiting for about a second.
const CHANGE_DELAY: Duration = Duration::from_millis(1200);

/// The poll interval is this fraction of what [`CHANGE_DELAY`] leaves of the bound.
const BOUND_FRACTION: f64 = 0.85;

/// Smallest fraction of the poll interval at which a node reads that does so for others.
const MIN_READER_FRACTION: f64 = 0.3;

/// Time that a call and an announcement of it take beyond the time between two of them.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(300);

/// Shortest poll interval.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Longest time that a call waits for a change.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Initial and longest mean pause before a call is repeated, once the source answers.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(800));

/// Time beyond the wait after which a call counts as overdue unless its answer arrives.
const OVERDUE: Duration = Duration::from_millis(300);

/// Time between two probes of a source that does not answer. Probes overlap, as
/// one that was lost may take long to fail.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Time between two probes of a node whose coordinator probes as well.
const RARE_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Time that it takes at most to read a description after it was written; endpoints
/// are given up that much later than they must be written again.
const READ_TIME: Duration = Duration::from_millis(300);

/// Size of changes that are read even if the directory is smaller: a link of 10 Mbit/s
/// carries them in 0.4 s.
const SMALL_HISTORY: size::Bytes = size::Bytes(512 << 10);

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

/// Follows the source; never returns. `view` shows whether the coordinator has read what
/// this node has, so that it need not.
pub async fn run<S: Source>(
    source: S,
    poll_interval: PollInterval,
    clock: Clock,
    controller: ActorRef<Message>,
    metrics: Metrics,
    view: view::Handle,
) {
    let follower = Follower {
        source,
        poll_interval,
        clock,
        controller,
        metrics,
        view,
    };
    let mut known: Option<Era> = None;
    let mut renewal_end = None;
    loop {
        let mut start = follower.read_snapshot(renewal_end).await;
        let revision = start.revision;
        let era = revision.era;
        follower.metrics.set_store_era(era);
        if known.is_some_and(|known| known != era) {
            follower.metrics.store_restorations.inc();
            tracing::info!(%revision, "directory read in another era");
            // Endpoints write again what the copy lacks.
            let now = Instant::now();
            let renewal_end = start.renewal_end.filter(|end| *end > now);
            start.renewal_end = renewal_end.or(Some(now + RENEWAL_TIME));
        }
        known = Some(era);
        renewal_end = follower.follow_changes(start).await;
        // Nodes whose coordinator reads for them spread the reads of another era.
        if follower.source.eras().current() != era && follower.view.has_reader() {
            wait_for_turn(poll_interval.0).await;
        }
    }
}

struct Follower<S> {
    source: S,
    poll_interval: PollInterval,
    clock: Clock,
    controller: ActorRef<Message>,
    metrics: Metrics,
    view: view::Handle,
}

/// The directory after which changes are followed.
#[derive(Clone, Copy)]
struct Start {
    revision: Revision,
    /// What was received to read it.
    size: size::Bytes,
    /// Until when endpoints write expired descriptions again.
    renewal_end: Option<Instant>,
}

/// When a source that was unavailable was known to answer again.
#[derive(Clone, Copy)]
struct Return {
    /// By the clock of the node.
    answered: time::Instant,
    /// Until when endpoints write expired descriptions again.
    renewal_end: Instant,
    /// Whether it answered the coordinator, and not this node.
    is_of_reader: bool,
}

/// What the calls that failed since the last successful one showed.
#[derive(Clone, Copy)]
struct Recovery {
    /// Mean pause before the next call.
    pause: Duration,
    /// Whether no call was successful since a failed one.
    is_pending: bool,
    /// Whether the next call is made because the coordinator read the source.
    relies_on_reader: bool,
    /// Whether the coordinator's reads show that the source answers this node, too.
    trusts_reader: bool,
    /// Until when endpoints write expired descriptions again, since the source first
    /// answered.
    renewal_end: Option<Instant>,
}

impl Default for Recovery {
    fn default() -> Self {
        Self {
            pause: BACKOFF.0,
            is_pending: false,
            relies_on_reader: false,
            trusts_reader: true,
            renewal_end: None,
        }
    }
}

impl Recovery {
    /// Returns until when endpoints write expired descriptions again: as it was known before,
    /// however many calls failed since, unless that is past.
    fn renewal_end(&mut self, returned: &Return) -> Instant {
        let known = self.renewal_end.filter(|end| *end > Instant::now());
        *self
            .renewal_end
            .insert(known.unwrap_or(returned.renewal_end))
    }

    /// Returns the pause before the next call, `jitter` times its mean. It ends with the time
    /// for renewals: what was written until then is read before endpoints are given up.
    fn next_pause(&mut self, renewal_end: Instant, jitter: f64) -> Duration {
        let pause = self.pause.mul_f64(jitter);
        self.pause = (self.pause * 2).min(BACKOFF.1);
        match renewal_end.saturating_duration_since(Instant::now()) {
            Duration::ZERO => pause,
            left => pause.min(left),
        }
    }
}

impl<S: Source> Follower<S> {
    /// Reads the whole directory, retrying until it succeeds. Until `renewal_end`, endpoints
    /// write expired descriptions again.
    async fn read_snapshot(&self, mut renewal_end: Option<Instant>) -> Start {
        let mut recovery = Recovery::default();
        loop {
            self.metrics.store_calls.inc();
            let sent = self.clock.now();
            let sent_uptime = self.view.uptime();
            let read = |intake: Intake| async move {
                let call = self.source.snapshot(&intake);
                self.record_failure("directory", &intake, call).await
            };
            let call = self.supervise(sent, OVERDUE, Intake::default, &recovery, read);
            let (result, returned) = call.await;
            match result {
                Ok(snapshot) => {
                    let Snapshot { revision, size, .. } = snapshot;
                    self.send(Message::Snapshot(Box::new(snapshot)));
                    self.send(Message::Read(sent_uptime));
                    let renewed = returned.map(|returned| returned.renewal_end);
                    return Start {
                        revision,
                        size,
                        renewal_end: renewed.or(renewal_end),
                    };
                }
                Err(error) => {
                    let recovered = self.recover(&error, sent, returned, &mut recovery);
                    renewal_end = Some(recovered.await);
                }
            }
        }
    }

    /// Reads changes until the source no longer keeps those after the last revision, they are
    /// larger than the directory, which has only the newest of each key, or the source is in
    /// another era, in which they are not known. Returns until when endpoints write expired
    /// descriptions again, as far as it is known.
    async fn follow_changes(&self, start: Start) -> Option<Instant> {
        let Start {
            mut revision,
            size,
            mut renewal_end,
        } = start;
        let most = size.max(SMALL_HISTORY);
        let mut recovery = Recovery::default();
        loop {
            let era = self.source.eras().current();
            if era != revision.era {
                tracing::info!(
                    %revision,
                    %era,
                    "another era of the key-value service; reading the whole directory"
                );
                return None;
            }
            let mut next_call = Instant::now() + self.poll_interval();
            // What was written until then is read before endpoints are given up.
            if let Some(end) = renewal_end.take_if(|end| *end < next_call) {
                next_call = end;
            }
            self.metrics.store_calls.inc();
            let sent = self.clock.now();
            let sent_uptime = self.view.uptime();
            let started = Instant::now();
            // What changed during an outage is needed without a wait for more.
            let wait = if recovery.is_pending {
                Duration::ZERO
            } else {
                MAX_WAIT
            };
            let read = |intake: Intake| async move {
                let call = self.source.changes(revision, wait, &intake);
                self.record_failure("changes", &intake, call).await
            };
            let call = self.supervise(
                sent,
                wait + OVERDUE,
                || Intake::up_to(most),
                &recovery,
                read,
            );
            let (result, returned) = call.await;
            match result {
                Ok(changes) if !is_continued(changes.revision, revision) => {
                    tracing::info!(
                        %revision,
                        returned = %changes.revision,
                        "changes are of another era; reading the whole directory"
                    );
                    return None;
                }
                Ok(changes) => {
                    revision = changes.revision;
                    recovery = Recovery::default();
                    renewal_end = returned
                        .map(|returned| returned.renewal_end)
                        .or(renewal_end);
                    // The source answers without changes only after the whole wait.
                    let has_waited = changes.changes.is_empty() && started.elapsed() >= wait;
                    let waited = if has_waited { wait } else { Duration::ZERO };
                    self.send(Message::Changes(changes));
                    self.send(Message::Read(sent_uptime + waited));
                    self.wait_for_next_call(next_call).await;
                }
                Err(Error::Refused(cause)) => {
                    tracing::info!(
                        %revision,
                        cause,
                        "changes are not available; reading the whole directory"
                    );
                    return renewal_end;
                }
                Err(error) => {
                    let recovered = self.recover(&error, sent, returned, &mut recovery);
                    renewal_end = Some(recovered.await);
                }
            }
        }
    }

    /// Returns the time between the starts of two calls. A node that reads for others
    /// makes them so often that they learn of each call before their own is due.
    fn poll_interval(&self) -> Duration {
        let usual = self.poll_interval.0;
        let Some(announcing) = self.view.announcing() else {
            return usual;
        };
        let interval = usual.saturating_sub(announcing + ANNOUNCEMENT_DELAY);
        let shortest = usual.mul_f64(MIN_READER_FRACTION).max(MIN_POLL_INTERVAL);
        interval.max(shortest)
    }

    /// Waits until the next call is due: at a time, or later as long as the coordinator
    /// reads that nothing changed.
    async fn wait_for_next_call(&self, mut due: Instant) {
        loop {
            sleep_until(due).await;
            if self.view.announcing().is_some() {
                return;
            }
            let confirmed = self.view.confirmed();
            let later = confirmed.map(|at| at + self.poll_interval.0);
            match later {
                Some(later) if later > Instant::now() => due = later,
                _ => return,
            }
        }
    }

    /// Returns the result of a call that is `sent` now. While it is overdue, the source is
    /// probed; once it answers a probe, the call is made a second time beside the first
    /// one, which may be lost. The answer to a probe is returned as well. A call whose answer
    /// arrives is not overdue: a second one would only share the link with it.
    async fn supervise<T, F>(
        &self,
        sent: time::Instant,
        expected: Duration,
        intake: impl Fn() -> Intake,
        recovery: &Recovery,
        call: impl Fn(Intake) -> F,
    ) -> (Result<T, Error>, Option<Return>)
    where
        F: Future<Output = Result<T, Error>>,
    {
        let first_intake = intake();
        let mut first = pin!(call(first_intake.clone()));
        select! {
            result = first.as_mut() => return (result, None),
            () = wait_until_overdue(expected, &first_intake) => {}
        }
        let returned = select! {
            result = first.as_mut() => return (result, None),
            returned = self.wait_for_probe(recovery) => returned,
        };
        self.metrics.store_calls.inc();
        let mut second = pin!(call(intake()));
        let result = select! {
            result = first.as_mut() => match result {
                Ok(read) => return (Ok(read), None),
                Err(_) => second.await,
            },
            result = second.as_mut() => match result {
                Ok(read) => Ok(read),
                Err(_) => return (first.await, Some(returned)),
            },
        };
        if result.is_ok() {
            let cause = "a call was not answered in time; the next one was";
            self.send(Message::SourceFailed(sent, cause.to_owned()));
            self.send(Message::SourceReturned(returned.answered + READ_TIME));
        }
        (result, Some(returned))
    }

    /// Returns the result of a call; logs its failure, unless the source answered that the
    /// call is of no use.
    async fn record_failure<T>(
        &self,
        name: &'static str,
        intake: &Intake,
        call: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        let started = Instant::now();
        let result = call.await;
        if let Err(error) = &result
            && !matches!(error, Error::Refused(_))
        {
            let last_read = self.view.announcement().map(|view| view.age);
            tracing::info!(
                call = name,
                took_ms = crate::logging::millis(started.elapsed()),
                received = intake.received().0,
                declared = intake.declared().map(|bytes| bytes.0),
                last_read_ms = last_read.map(crate::logging::millis),
                %error,
                "read of the key-value service failed"
            );
        }
        result
    }

    /// Reports a call that was `sent` at a time and failed. Waits until the source
    /// answers, unless it did already, and then with jitter and exponential backoff.
    /// Returns until when endpoints write expired descriptions again.
    async fn recover(
        &self,
        error: &Error,
        sent: time::Instant,
        returned: Option<Return>,
        recovery: &mut Recovery,
    ) -> Instant {
        self.metrics.store_failures.inc();
        self.send(Message::SourceFailed(sent, error.to_string()));
        // Only the path of this node may be cut.
        recovery.trusts_reader &= !recovery.relies_on_reader;
        recovery.is_pending = true;
        let returned = match returned {
            Some(returned) => returned,
            None => self.wait_for_answer(recovery).await,
        };
        recovery.relies_on_reader = returned.is_of_reader;
        self.send(Message::SourceReturned(returned.answered + READ_TIME));
        let jitter = rand::rng().random_range(0.3..1.7);
        let renewal_end = recovery.renewal_end(&returned);
        let pause = recovery.next_pause(renewal_end, jitter);
        tracing::debug!(
            pause_ms = crate::logging::millis(pause),
            "key-value service is read again after a pause"
        );
        sleep(pause).await;
        renewal_end
    }

    /// Waits until the source answers a probe, or the coordinator reads it. A node whose
    /// coordinator reads for it leaves that to the coordinator, mostly: all nodes together
    /// would ask too often.
    async fn wait_for_answer(&self, recovery: &Recovery) -> Return {
        let started = Instant::now();
        select! {
            returned = self.wait_for_probe(recovery) => returned,
            read_at = self.view.wait_for_read(started), if recovery.trusts_reader => Return {
                answered: self.clock.now() - read_at.elapsed(),
                renewal_end: read_at + RENEWAL_TIME,
                is_of_reader: true,
            },
        }
    }

    /// Probes the source until it answers.
    async fn wait_for_probe(&self, recovery: &Recovery) -> Return {
        let mut probes = FuturesUnordered::new();
        let mut next_probe = Instant::now();
        loop {
            select! {
                () = sleep_until(next_probe) => {
                    probes.push(self.probe());
                    let is_rare = recovery.trusts_reader
                        && !recovery.relies_on_reader
                        && self.view.has_reader();
                    let interval = if is_rare {
                        RARE_PROBE_INTERVAL
                    } else {
                        PROBE_INTERVAL
                    };
                    next_probe = Instant::now() + interval;
                }
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
            is_of_reader: false,
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

/// Waits until the answer to a call that is sent now is overdue: it was expected within a
/// time, and does not arrive.
async fn wait_until_overdue(expected: Duration, intake: &Intake) {
    let pace = Pace {
        window: OVERDUE,
        ..Pace::default()
    };
    let mut timer = Timer::new(Instant::now() + expected, pace);
    loop {
        sleep_until(timer.next_check()).await;
        if timer.check(intake.received()).is_err() {
            return;
        }
    }
}

/// Returns whether changes up to a revision follow those up to another one.
fn is_continued(revision: Revision, previous: Revision) -> bool {
    revision.partial_cmp(&previous).is_some_and(Ordering::is_ge)
}

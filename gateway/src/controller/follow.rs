//! Follows the source by long polling and sends what it reads to the
//! controller.

use std::{cmp::Ordering, collections::BTreeSet, future::Future, pin::pin, time::Duration};

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

use super::{
    Message,
    endpoints::{RENEWAL_SLACK, RENEWAL_TIME},
};
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

/// Longest time that a call waits for a change; a lost call is noticed that much later.
const MAX_WAIT: Duration = Duration::from_millis(250);

/// Initial and longest mean pause before a call is repeated, once the source answers.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(800));

/// Shortest and longest time beyond the wait after which a call counts as overdue unless its
/// answer arrives.
const SLACK: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(1));

/// The slack is this multiple of the time that the last answer took beyond the wait.
const SLACK_FACTOR: f64 = 1.5;

/// Time over which it is measured whether an overdue answer arrives.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(300);

/// Slack of a read of the whole directory.
const SNAPSHOT_SLACK: Duration = Duration::from_millis(300);

/// Time between two probes of a source that does not answer. Probes overlap, as
/// one that was lost may take long to fail.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two probes of a node whose coordinator probes as well.
const RARE_PROBE_INTERVAL: Duration = Duration::from_millis(350);

/// Time by which a read is later than the end of the time for renewals, so that it counts as sent
/// after it by the clock of the node, too.
const CLOCK_ERROR: Duration = Duration::from_millis(5);

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
    let mut renewals = Renewals::default();
    loop {
        let start = follower.read_snapshot(&mut renewals).await;
        let revision = start.revision;
        let era = revision.era;
        follower.metrics.set_store_era(era);
        if known.is_some_and(|known| known != era) {
            follower.metrics.store_restorations.inc();
            tracing::info!(%revision, "directory read in another era");
            // Endpoints write again what the copy lacks.
            renewals.begin(Instant::now());
        }
        known = Some(era);
        follower.follow_changes(start, &mut renewals).await;
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
}

/// Ends of the times in which endpoints write expired descriptions again. The source is read at
/// each of them: only then is it certain which descriptions are missing.
#[derive(Clone, Debug, Default)]
struct Renewals(BTreeSet<Instant>);

impl Renewals {
    /// Records that the source returned at a time.
    fn begin(&mut self, returned: Instant) {
        self.0
            .insert(returned + RENEWAL_TIME + RENEWAL_SLACK + CLOCK_ERROR);
    }

    /// Returns the first end that has not been read at.
    fn next_end(&self) -> Option<Instant> {
        self.0.first().copied()
    }

    /// Forgets the ends that are past, as the source is read now; returns whether there were any.
    fn take_ended(&mut self, now: Instant) -> bool {
        let known = self.0.len();
        self.0.retain(|end| *end > now);
        self.0.len() < known
    }
}

/// When a source that was unavailable was known to answer again.
#[derive(Clone, Copy, Debug)]
struct Return {
    /// When the call was sent that it answered.
    sent: Instant,
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
}

impl Default for Recovery {
    fn default() -> Self {
        Self {
            pause: BACKOFF.0,
            is_pending: false,
            relies_on_reader: false,
            trusts_reader: true,
        }
    }
}

impl Recovery {
    /// Records that a call was not answered. If it was made because the coordinator read the
    /// source, only the path of this node may be cut.
    fn record_unanswered(&mut self) {
        self.trusts_reader &= !self.relies_on_reader;
    }

    /// Returns the pause before the next call, `jitter` times its mean. It ends with a time for
    /// renewals: what was written until then is read before endpoints are given up.
    fn next_pause(&mut self, renewals: &Renewals, jitter: f64) -> Duration {
        let pause = self.pause.mul_f64(jitter);
        self.pause = (self.pause * 2).min(BACKOFF.1);
        let now = Instant::now();
        match renewals.next_end() {
            Some(end) if end > now => pause.min(end - now),
            _ => pause,
        }
    }
}

impl<S: Source> Follower<S> {
    /// Reads the whole directory, retrying until it succeeds.
    async fn read_snapshot(&self, renewals: &mut Renewals) -> Start {
        let mut recovery = Recovery::default();
        loop {
            renewals.take_ended(Instant::now());
            self.metrics.store_calls.inc();
            let sent = Instant::now();
            let sent_uptime = self.view.uptime();
            let read = |intake: Intake, _wait| async move {
                let call = self.source.snapshot(&intake);
                self.record_failure("directory", &intake, call).await
            };
            let patience = (Duration::ZERO, SNAPSHOT_SLACK);
            let call = self.supervise(patience, Intake::default, read, recovery, renewals);
            let (result, answered) = call.await;
            match result {
                Ok(snapshot) => {
                    let Snapshot { revision, size, .. } = snapshot;
                    self.send(Message::Snapshot(Box::new(snapshot)));
                    let answered = self.time_of(answered.unwrap_or(sent));
                    self.send(Message::Read(answered, sent_uptime));
                    return Start { revision, size };
                }
                Err(error) => {
                    let since = answered.unwrap_or(sent);
                    self.recover(&error, since, &mut recovery, renewals).await;
                }
            }
        }
    }

    /// Reads changes until the source no longer keeps those after the last revision, they are
    /// larger than the directory, which has only the newest of each key, or the source is in
    /// another era, in which they are not known.
    async fn follow_changes(&self, start: Start, renewals: &mut Renewals) {
        let Start { mut revision, size } = start;
        let most = size.max(SMALL_HISTORY);
        let mut recovery = Recovery::default();
        let mut slack = SLACK.0;
        loop {
            let era = self.source.eras().current();
            if era != revision.era {
                tracing::info!(
                    %revision,
                    %era,
                    "another era of the key-value service; reading the whole directory"
                );
                return;
            }
            let next_call = Instant::now() + self.poll_interval();
            let ends_renewals = renewals.take_ended(Instant::now());
            self.metrics.store_calls.inc();
            let sent = Instant::now();
            let sent_uptime = self.view.uptime();
            // What changed during an outage is needed without a wait for more.
            let wait = if recovery.is_pending || ends_renewals {
                Duration::ZERO
            } else {
                MAX_WAIT
            };
            let read = |intake: Intake, wait| async move {
                let call = self.source.changes(revision, wait, &intake);
                self.record_failure("changes", &intake, call).await
            };
            let intake = || Intake::up_to(most);
            let call = self.supervise((wait, slack), intake, read, recovery, renewals);
            let (result, answered) = call.await;
            if answered.is_none() && result.is_ok() {
                let beyond = sent.elapsed().saturating_sub(wait);
                slack = beyond.mul_f64(SLACK_FACTOR).clamp(SLACK.0, SLACK.1);
            }
            match result {
                Ok(changes) if !is_continued(changes.revision, revision) => {
                    tracing::info!(
                        %revision,
                        returned = %changes.revision,
                        "changes are of another era; reading the whole directory"
                    );
                    return;
                }
                Ok(changes) => {
                    revision = changes.revision;
                    recovery = Recovery::default();
                    // The source answers without changes only after the whole wait.
                    let has_waited = changes.changes.is_empty() && sent.elapsed() >= wait;
                    let waited = if has_waited { wait } else { Duration::ZERO };
                    self.send(Message::Changes(changes));
                    let answered = self.time_of(answered.unwrap_or(sent + waited));
                    self.send(Message::Read(answered, sent_uptime + waited));
                    self.wait_for_next_call(next_call, renewals.next_end())
                        .await;
                }
                Err(Error::Refused(cause)) => {
                    tracing::info!(
                        %revision,
                        cause,
                        "changes are not available; reading the whole directory"
                    );
                    return;
                }
                Err(error) => {
                    let since = answered.unwrap_or(sent);
                    self.recover(&error, since, &mut recovery, renewals).await;
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
    /// reads that nothing changed, but no later than `latest`.
    async fn wait_for_next_call(&self, mut due: Instant, latest: Option<Instant>) {
        loop {
            let is_latest = latest.is_some_and(|latest| latest <= due);
            sleep_until(latest.map_or(due, |latest| latest.min(due))).await;
            if is_latest || self.view.announcing().is_some() {
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

    /// Returns the result of a call that is sent now and waits up to `wait`. While it is
    /// overdue, by `slack`, the source is probed. Each time that it answers a probe, the call is
    /// made once more beside the earlier ones, which may be lost. Unless the first call is
    /// answered, returns when the last probe was sent that was answered as well. A call whose
    /// answer arrives is not overdue: another one would only share the link with it.
    async fn supervise<T, F>(
        &self,
        (wait, slack): (Duration, Duration),
        intake: impl Fn() -> Intake,
        call: impl Fn(Intake, Duration) -> F,
        mut recovery: Recovery,
        renewals: &mut Renewals,
    ) -> (Result<T, Error>, Option<Instant>)
    where
        F: Future<Output = Result<T, Error>>,
    {
        let numbered = async |number: usize, call: F| (number, call.await);
        let answered_while_overdue = async |expected, intakes: Vec<Intake>, recovery: Recovery| {
            wait_until_overdue(expected, &intakes).await;
            self.wait_for_answer(&recovery).await
        };
        // When the first call and those after answers to probes were sent.
        let mut sent = vec![Instant::now()];
        let mut intakes = vec![intake()];
        let mut calls = FuturesUnordered::new();
        calls.push(numbered(0, call(intakes[0].clone(), wait)));
        let mut answer = pin!(answered_while_overdue(
            wait + slack,
            intakes.clone(),
            recovery
        ));
        loop {
            let returned = select! {
                Some((number, result)) = calls.next() => {
                    let is_answered = matches!(result, Ok(_) | Err(Error::Refused(_)));
                    if is_answered && number == 0 {
                        return (result, None);
                    }
                    if !is_answered && !calls.is_empty() {
                        continue;
                    }
                    let cause = if is_answered {
                        "a call was not answered in time; a later one was"
                    } else {
                        "calls were not answered, but for probes"
                    };
                    for call in sent.windows(2) {
                        self.report_failure(call[0], cause.to_owned());
                        self.report_return(call[1], renewals);
                    }
                    let answered = sent.last().copied().filter(|_| sent.len() > 1);
                    return (result, answered);
                }
                returned = answer.as_mut() => returned,
            };
            sent.push(returned.sent);
            self.metrics.store_calls.inc();
            let intake = intake();
            intakes.push(intake.clone());
            calls.push(numbered(sent.len() - 1, call(intake, Duration::ZERO)));
            recovery.relies_on_reader = returned.is_of_reader;
            recovery.record_unanswered();
            answer.set(answered_while_overdue(slack, intakes.clone(), recovery));
        }
    }

    /// Returns a time by the clock of the node.
    fn time_of(&self, at: Instant) -> time::Instant {
        self.clock.now() - at.elapsed()
    }

    fn report_failure(&self, sent: Instant, cause: String) {
        self.send(Message::SourceFailed(self.time_of(sent), cause));
    }

    /// Reports that the source answers again: it answered a probe that was `sent` at a time.
    fn report_return(&self, sent: Instant, renewals: &mut Renewals) {
        self.send(Message::SourceReturned(self.time_of(sent)));
        renewals.begin(sent);
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

    /// Reports a call that was `sent` at a time and failed. Waits until the source answers, and
    /// then with jitter and exponential backoff.
    async fn recover(
        &self,
        error: &Error,
        sent: Instant,
        recovery: &mut Recovery,
        renewals: &mut Renewals,
    ) {
        self.metrics.store_failures.inc();
        self.report_failure(sent, error.to_string());
        recovery.record_unanswered();
        recovery.is_pending = true;
        let returned = self.wait_for_answer(recovery).await;
        recovery.relies_on_reader = returned.is_of_reader;
        self.report_return(returned.sent, renewals);
        let jitter = rand::rng().random_range(0.3..1.7);
        let pause = recovery.next_pause(renewals, jitter);
        tracing::debug!(
            pause_ms = crate::logging::millis(pause),
            "key-value service is read again after a pause"
        );
        sleep(pause).await;
    }

    /// Waits until the source answers a probe, or the coordinator reads it. A node whose
    /// coordinator reads for it leaves that to the coordinator, mostly: all nodes together
    /// would ask too often.
    async fn wait_for_answer(&self, recovery: &Recovery) -> Return {
        let started = Instant::now();
        select! {
            returned = self.wait_for_probe(recovery) => returned,
            sent = self.view.wait_for_read(started), if recovery.trusts_reader => Return {
                sent,
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
            sent: Instant::now(),
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
/// time, and nothing arrives of any of the answers that are taken in.
async fn wait_until_overdue(expected: Duration, intakes: &[Intake]) {
    let pace = Pace {
        window: ARRIVAL_WINDOW,
        ..Pace::default()
    };
    let mut timer = Timer::new(Instant::now() + expected, pace);
    loop {
        sleep_until(timer.next_check()).await;
        let received = intakes.iter().map(Intake::received).sum();
        if timer.check(received).is_err() {
            return;
        }
    }
}

/// Returns whether changes up to a revision follow those up to another one.
fn is_continued(revision: Revision, previous: Revision) -> bool {
    revision.partial_cmp(&previous).is_some_and(Ordering::is_ge)
}

//! Seeks endpoints for a request, and replaces one that falls silent.
//!
//! A silent endpoint is kept until another one has had the request for [`OVERLAP`] or
//! has answered it; otherwise its connection must break, the deadline pass or the
//! caller leave. An endpoint that was given up is not asked again, so that a request
//! can still fail if the other one breaks later.

use std::{future, mem, pin::Pin, time::Duration};

use derive_more::Display;
use dottereltally::pool;
use dottereltally_lib::{
    dispatcher::{self, Choice, Outcome},
    id, refusal,
    rollout::Filter,
    route::Retry,
};
use futures_util::{FutureExt, future::BoxFuture};
use tokio::{sync::watch, time::sleep};

use crate::{
    admission::Permit,
    attempt::{self, Attempt, End},
    chain::Chain,
    crashes::Flight,
    dialect::Dialect,
    job::{Job, Progress},
    logging::millis,
    metrics::Silence,
    rollout::{Ending, Trial},
    sync::lock,
};

/// Time for which a silent endpoint and the one that is to replace it may both work
/// on a request.
const OVERLAP: Duration = Duration::from_millis(250);

/// Time for a connection's task to deliver what arrived while this node stood still.
const DELIVERY_TIME: Duration = Duration::from_millis(20);

/// Added to three times the expected time to the first event; another endpoint is
/// sought for a resumable stream that takes longer.
const FIRST_EVENT_SLACK: Duration = Duration::from_millis(900);

/// A request's place at an endpoint. Dropping it cancels the request in the
/// dispatcher and records that no answer came.
pub struct Place {
    /// The endpoint.
    pub choice: Choice,
    permit: Permit,
    flight: Flight,
    trial: Trial,
    /// Whether a unit of the retry budget was spent for it.
    is_retry: bool,
}

impl Place {
    /// Records that the endpoint was heard.
    pub fn record_heard(&self) {
        self.flight.record_heard();
    }

    /// Records the end of a request that got an answer, or that did not run.
    pub fn finish(self, outcome: Outcome) {
        self.trial.end(ending(outcome));
        self.permit.end(outcome);
        self.flight.finish();
    }

    /// Records the end of a request whose answer is complete only if its endpoint
    /// lives.
    pub fn finish_unconfirmed(self, outcome: Outcome) {
        self.trial.end(ending(outcome));
        self.permit.end(outcome);
        self.flight.finish_unconfirmed();
    }

    /// Records the end of a request that got no complete answer.
    pub fn lose(self, outcome: Outcome) {
        self.trial.end(ending(outcome));
        self.permit.end(outcome);
    }

    /// Records how the attempt ended.
    pub fn settle<D: Dialect>(
        self,
        chain: &Chain<D>,
        job: &Job,
        progress: &mut Progress,
        attempt: &End,
    ) {
        if let Some(failure) = attempt.failure() {
            chain.metrics.attempt_failed(failure);
            tracing::info!(
                id = job.correlation_id,
                endpoint = %self.choice.endpoint,
                address = self.choice.address,
                fingerprint = %job.subject.request,
                failure,
                cause = attempt.cause(),
                sends = progress.sends,
                "attempt failed"
            );
        }
        let outcome = attempt.outcome();
        match attempt {
            End::Unsent { .. } => {
                progress.withdraw_send();
                if self.is_retry {
                    lock(&chain.budget).refund(chain.clock.now(), &job.service);
                }
                self.finish(outcome);
            }
            End::Rejected { .. } => self.finish(outcome),
            End::Answered { answer } if answer.is_unconfirmed_success() => {
                progress.may_have_run = true;
                self.finish_unconfirmed(outcome);
            }
            End::Answered { .. } | End::Failed { .. } => {
                progress.may_have_run = true;
                self.finish(outcome);
            }
            End::Broken { .. } | End::Expired => {
                progress.may_have_run = true;
                self.lose(outcome);
            }
        }
    }
}

/// Returns what the outcome of a request says about the version of its endpoint.
fn ending(outcome: Outcome) -> Ending {
    match outcome {
        Outcome::Answered(_) => Ending::Answered,
        Outcome::Failed | Outcome::Broken | Outcome::Silent => Ending::Failed,
        Outcome::Cancelled => Ending::Unanswered,
        Outcome::Rejected | Outcome::Misdirected | Outcome::Unreachable => Ending::NotRun,
    }
}

/// An endpoint that was found, and a connection to it.
pub struct Target {
    place: Place,
    connection: pool::Ready,
}

/// What a connection to an endpoint led to.
enum Connected {
    /// The request can be sent.
    Target(Box<Target>),
    /// The version of this endpoint may not serve the request any more.
    Changed(id::Endpoint),
}

/// A request that was sent to an endpoint.
pub struct Dispatch<'a> {
    place: Place,
    answer: BoxFuture<'a, Attempt>,
}

/// Why a request is sent to no other endpoint.
#[derive(Clone, Debug, Display)]
pub enum Obstacle {
    /// An endpoint may have run it, and it may run once only.
    #[display("it may run once only")]
    Once,
    /// The retry budget is used up.
    #[display("the retry budget is used up")]
    Budget,
    /// The dispatcher or the coordinator chose no endpoint.
    #[display("no endpoint was chosen: {}", _0.reason)]
    Refused(refusal::Refusal),
    /// The endpoint that was chosen can't be reached.
    #[display("{endpoint} can't be reached: {cause}")]
    Unreachable {
        /// The endpoint.
        endpoint: id::Endpoint,
        /// The error of the connection.
        cause: String,
    },
    /// The request may crash endpoints.
    #[display("it may crash endpoints")]
    Quarantine,
    /// This node shuts down, and the answer may come after its end.
    #[display("this node shuts down before the answer would be whole")]
    Shutdown,
    /// The version of the endpoint that began the stream is unknown or uncertain.
    #[display("the version that began the stream is not known for certain")]
    UnknownVersion,
}

impl Obstacle {
    /// Returns its name in metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Once => "Once",
            Self::Budget => "Budget",
            Self::Refused(refusal) if refusal.reason == refusal::Reason::NoEndpoint => "NoEndpoint",
            Self::Refused(_) => "Overload",
            Self::Unreachable { .. } => "Unreachable",
            Self::Quarantine => "Quarantine",
            Self::Shutdown => "Shutdown",
            Self::UnknownVersion => "UnknownVersion",
        }
    }
}

/// Waits until something changed, and with it what `is_other` tells.
async fn changed(
    changes: &mut watch::Receiver<u64>,
    is_other: impl Fn() -> bool,
) -> Result<(), watch::error::RecvError> {
    loop {
        changes.changed().await?;
        if is_other() {
            return Ok(());
        }
    }
}

/// What an endpoint does next.
pub trait Signal {
    /// Returns whether the endpoint went on with its answer.
    fn is_progress(&self) -> bool;

    /// Returns whether nothing more can come from the endpoint, although its answer is
    /// not complete.
    fn is_failure(&self) -> bool;
}

impl Signal for Attempt {
    fn is_progress(&self) -> bool {
        matches!(self, Self::Stream(_) | Self::Ended(End::Answered { .. }))
    }

    fn is_failure(&self) -> bool {
        matches!(
            self,
            Self::Ended(
                End::Unsent { .. } | End::Rejected { .. } | End::Broken { .. } | End::Failed { .. }
            )
        )
    }
}

/// What ended the wait for an endpoint.
pub enum Event<'a, T> {
    /// The endpoint was heard.
    Heard(T),
    /// Another endpoint has the request.
    Replaced {
        /// The request at the other endpoint.
        by: Box<Dispatch<'a>>,
        /// The failure of the endpoint; `None` if it was still silent.
        lost: Option<T>,
    },
}

/// Seeks endpoints for one request, or for the rest of its stream.
#[derive(Clone, Copy)]
pub struct Search<'a, D> {
    chain: &'a Chain<D>,
    job: &'a Job,
    /// Last event that the caller got from this node; `None` if it had no id.
    last_event_id: Option<u64>,
    /// Whether the caller already got events, so that only a stream is of use.
    is_resuming: bool,
}

impl<'a, D: Dialect> Search<'a, D> {
    /// Builds the search for a request.
    #[must_use]
    pub fn new(chain: &'a Chain<D>, job: &'a Job) -> Self {
        Self {
            chain,
            job,
            last_event_id: None,
            is_resuming: false,
        }
    }

    /// Builds the search for the rest of a stream after an event.
    #[must_use]
    pub fn resuming(chain: &'a Chain<D>, job: &'a Job, last_event_id: Option<u64>) -> Self {
        Self {
            chain,
            job,
            last_event_id,
            is_resuming: true,
        }
    }

    /// Finds an endpoint that the request may be sent to, and connects to it.
    ///
    /// Dropping the future withdraws the search, which then costs no retry.
    ///
    /// # Errors
    ///
    /// Fails with the reason why there is none.
    pub async fn find(&self, progress: &Progress) -> Result<Target, Obstacle> {
        let (chain, job) = (self.chain, self.job);
        let is_retry = progress.sends > 0;
        if progress.may_have_run && job.route.retry == Retry::Never {
            return Err(Obstacle::Once);
        }
        if is_retry && !lock(&chain.budget).is_available(chain.clock.now(), &job.service) {
            chain.metrics.budget_exhausted.inc();
            return Err(Obstacle::Budget);
        }
        // Another node may have read the directory.
        if job.version.is_some() && !chain.can_confirm_processes(&job.service) {
            return Err(Obstacle::UnknownVersion);
        }
        let mut excluded = progress.tried.clone();
        loop {
            let (choice, permit) = self.admit(&excluded).await.map_err(Obstacle::Refused)?;
            match self.connect(progress, choice, permit, is_retry).await? {
                Connected::Target(found) => return Ok(*found),
                Connected::Changed(endpoint) => excluded.push(endpoint),
            }
        }
    }

    /// Waits until an endpoint is chosen whose version may serve the request. What waits is
    /// asked for anew as soon as other versions may serve it.
    async fn admit(&self, excluded: &[id::Endpoint]) -> Result<(Choice, Permit), refusal::Refusal> {
        let (chain, job) = (self.chain, self.job);
        let mut changes = chain.rollouts.changes();
        let mut is_spread = true;
        loop {
            changes.borrow_and_update();
            let filter = self.allowed(is_spread);
            let admitting = chain
                .admission
                .admit(self.request(excluded, filter.clone()));
            let admitted = tokio::select! {
                biased;
                admitted = admitting => admitted,
                Ok(()) = changed(&mut changes, || self.allowed(is_spread) != filter) => continue,
            };
            match admitted {
                // The target takes less than its share rather than that requests are refused.
                Err(refusal)
                    if is_spread
                        && matches!(filter, Filter::Only(_))
                        && chain.rollouts.is_spread(&job.service) =>
                {
                    tracing::debug!(
                        id = job.correlation_id,
                        reason = %refusal.reason,
                        "no endpoint of the roll-out's target takes the request"
                    );
                    is_spread = false;
                }
                admitted => return admitted,
            }
        }
    }

    /// Returns the versions that may serve the request, by its sample or, if it is not
    /// spread, beside the target.
    fn allowed(&self, is_spread: bool) -> Filter {
        let mut request = self.job.rollout_request();
        if !is_spread {
            request.sample = 1.0;
        }
        self.chain.rollouts.filter(&request)
    }

    /// Connects to the endpoint that was chosen, and records that the request is sent.
    async fn connect(
        &self,
        progress: &Progress,
        choice: Choice,
        permit: Permit,
        is_retry: bool,
    ) -> Result<Connected, Obstacle> {
        let (chain, job) = (self.chain, self.job);
        // The shutdown may have been announced while the request waited.
        if !chain.can_end(&job.service, job.tokens, job.deadline, job.route.retry) {
            return Err(Obstacle::Shutdown);
        }
        let connecting = chain.paths.connect(&choice.address);
        let connection = match connecting.await {
            Ok(connection) => connection,
            Err(error) => {
                permit.end(Outcome::Unreachable);
                return Err(self.record_unreachable(choice, error.to_string(), progress));
            }
        };
        // A connection that was opened before leads to the process that answers now.
        if job.version.is_some() && chain.confirm_process(&choice.endpoint).await.is_err() {
            permit.end(Outcome::Cancelled);
            return Ok(Connected::Changed(choice.endpoint));
        }
        // Nothing is awaited from here to the send, so that neither a retry nor a
        // flight is recorded for a search that is withdrawn.
        let trial = chain.rollouts.start(
            &job.rollout_request(),
            choice.version.as_ref(),
            choice.expected_first_byte,
        );
        let Ok(trial) = trial else {
            permit.end(Outcome::Cancelled);
            return Ok(Connected::Changed(choice.endpoint));
        };
        let started = chain.crashes.start(&job.service, &job.subject, &choice);
        let Ok(flight) = started else {
            trial.withdraw();
            return Err(Obstacle::Quarantine);
        };
        if is_retry && !lock(&chain.budget).spend(chain.clock.now(), &job.service) {
            flight.finish();
            trial.withdraw();
            chain.metrics.budget_exhausted.inc();
            return Err(Obstacle::Budget);
        }
        let place = Place {
            choice,
            permit,
            flight,
            trial,
            is_retry,
        };
        let found = Target { place, connection };
        Ok(Connected::Target(Box::new(found)))
    }

    fn request(&self, excluded: &[id::Endpoint], filter: Filter) -> dispatcher::Request {
        let mut request = self.job.request(excluded, filter);
        if self.is_resuming {
            request.first_byte_due = self.chain.clock.now();
            request.caller_leaves_at = request.deadline;
        }
        request
    }

    fn record_unreachable(&self, choice: Choice, cause: String, progress: &Progress) -> Obstacle {
        const FAILURE: &str = "unreachable";
        self.chain.metrics.attempt_failed(FAILURE);
        tracing::info!(
            id = self.job.correlation_id,
            endpoint = %choice.endpoint,
            address = choice.address,
            fingerprint = %self.job.subject.request,
            failure = FAILURE,
            cause,
            sends = progress.sends,
            "attempt failed"
        );
        Obstacle::Unreachable {
            endpoint: choice.endpoint,
            cause,
        }
    }

    /// Sends the request to an endpoint that was found.
    #[must_use]
    pub fn send(&self, found: Target, progress: &mut Progress) -> Dispatch<'a> {
        let (chain, job) = (self.chain, self.job);
        let Target { place, connection } = found;
        if progress.sends == 0 {
            lock(&chain.budget).record_request(chain.clock.now(), &job.service);
        }
        progress.record_send(&place.choice);
        let sending = attempt::send(
            chain,
            job,
            place.choice.clone(),
            place.permit.is_delegated(),
            connection,
            self.last_event_id,
        );
        Dispatch {
            place,
            answer: sending.boxed(),
        }
    }

    /// Waits for the result of a request that was sent, at the endpoint where it
    /// is then.
    pub async fn deliver(
        &self,
        mut sent: Dispatch<'a>,
        progress: &mut Progress,
    ) -> (Place, Attempt) {
        loop {
            let silence = self.first_event_silence(&sent.place.choice);
            let endpoint = &sent.place.choice.endpoint;
            let watching = self.watch(progress, endpoint, sent.answer.as_mut(), silence);
            let (by, lost) = match watching.await {
                Event::Heard(attempt) => {
                    if matches!(attempt, Attempt::Stream(_)) {
                        sent.place.permit.record_first_byte();
                        sent.place.trial.record_first_byte();
                    }
                    return (sent.place, attempt);
                }
                Event::Replaced { by, lost } => (by, lost),
            };
            let Dispatch { place, answer } = mem::replace(&mut sent, *by);
            drop(answer);
            match lost {
                Some(Attempt::Ended(end)) => place.settle(self.chain, self.job, progress, &end),
                Some(Attempt::Stream(_)) | None => place.lose(Outcome::Silent),
            }
        }
    }

    /// Returns the time after which another endpoint is sought for a request without a
    /// first event; `None` if no other may take it over.
    fn first_event_silence(&self, choice: &Choice) -> Option<Duration> {
        let is_resumable = self.job.route.retry == Retry::Resume;
        is_resumable.then(|| choice.expected_first_byte * 3 + FIRST_EVENT_SLACK)
    }

    /// Waits until the current endpoint is heard. After each `silence`, seeks another
    /// endpoint, and returns once that one has the request instead; if one does not
    /// take it, the next is sought at once.
    pub async fn watch<T, F>(
        &self,
        progress: &mut Progress,
        current: &id::Endpoint,
        mut next: Pin<&mut F>,
        silence: Option<Duration>,
    ) -> Event<'a, T>
    where
        T: Signal,
        F: Future<Output = T> + ?Sized,
    {
        let Some(silence) = silence else {
            return Event::Heard(next.await);
        };
        let mut is_reported = false;
        let mut search_at_once = false;
        loop {
            if !mem::take(&mut search_at_once) {
                let quiet = async {
                    sleep(silence).await;
                    sleep(DELIVERY_TIME).await;
                };
                tokio::select! {
                    biased;
                    heard = next.as_mut() => return Event::Heard(heard),
                    () = quiet => {}
                }
            }
            if !progress.allows_send(self.job) {
                return Event::Heard(next.await);
            }
            let found = tokio::select! {
                biased;
                heard = next.as_mut() => {
                    if heard.is_progress() {
                        self.record_silence(Silence::Withdrawn);
                    }
                    return Event::Heard(heard);
                }
                found = self.find(progress) => found,
            };
            let found = match found {
                Ok(found) => found,
                Err(obstacle) => {
                    self.report(&obstacle, current, &mut is_reported);
                    search_at_once = matches!(obstacle, Obstacle::Unreachable { .. });
                    progress.record_obstacle(obstacle);
                    continue;
                }
            };
            let mut other = self.send(found, progress);
            tracing::info!(
                id = self.job.correlation_id,
                endpoint = %current,
                to = %other.place.choice.endpoint,
                silence_ms = millis(silence),
                "endpoint is silent: the request is sent to another one"
            );
            tokio::select! {
                biased;
                heard = next.as_mut() => {
                    if heard.is_failure() {
                        self.record_silence(Silence::Broken);
                        return Event::Replaced { by: Box::new(other), lost: Some(heard) };
                    }
                    if heard.is_progress() {
                        self.record_silence(Silence::Kept);
                        tracing::info!(
                            id = self.job.correlation_id,
                            endpoint = %current,
                            to = %other.place.choice.endpoint,
                            "silent endpoint goes on: the other one is cancelled"
                        );
                    }
                    // The request is withdrawn, which is no sign that it was lost.
                    other.place.finish(Outcome::Cancelled);
                    return Event::Heard(heard);
                }
                attempt = other.answer.as_mut() => match attempt {
                    Attempt::Ended(end) if !self.is_usable(&end) => {
                        let failure = end.into_failure();
                        other.place.settle(self.chain, self.job, progress, &failure);
                        search_at_once = true;
                        continue;
                    }
                    usable => other.answer = future::ready(usable).boxed(),
                },
                () = sleep(OVERLAP) => {}
            }
            progress.may_have_run = true;
            self.record_silence(Silence::Replaced);
            tracing::info!(
                id = self.job.correlation_id,
                endpoint = %current,
                to = %other.place.choice.endpoint,
                "silent endpoint is given up"
            );
            return Event::Replaced {
                by: Box::new(other),
                lost: None,
            };
        }
    }

    /// Returns whether the caller can be given the answer of an endpoint that is to
    /// replace a silent one.
    fn is_usable(&self, end: &End) -> bool {
        match end {
            End::Answered { answer } => !self.is_resuming && answer.parts.status.is_success(),
            _ => false,
        }
    }

    fn record_silence(&self, silence: Silence) {
        self.chain.metrics.silence(silence);
    }

    /// Counts why a silent endpoint is not replaced, and logs it once.
    fn report(&self, obstacle: &Obstacle, current: &id::Endpoint, is_reported: &mut bool) {
        self.chain.metrics.search_failed(obstacle.name());
        if mem::replace(is_reported, true) {
            return;
        }
        tracing::info!(
            id = self.job.correlation_id,
            endpoint = %current,
            cause = %obstacle,
            "endpoint is silent and is kept: no other one takes the request"
        );
    }
}

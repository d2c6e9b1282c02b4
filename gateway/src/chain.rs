//! Serves one request: accepts it, and sends it to endpoints until one answers.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use dottereltally::{body::Body, clock::Clock, linger::Linger, problem::Reason, shutdown::Phase};
use dottereltally_lib::{
    budget::Budget,
    crash::Subject,
    dispatcher::{Choice, Dispatcher, Timing, speed::Statement},
    id,
    notice::{Notice, Unreadable},
    origin::Origin,
    plan::Plan,
    quota::Limiter,
    refusal,
    route::Retry,
    share::{NotARate, Rate},
    time,
};
use dottereltally_store::{buffer, ingress};
use http::{
    HeaderValue, Response, StatusCode,
    header::{CONNECTION, TRANSFER_ENCODING},
    request::Parts,
};
use tokio::{sync::watch, time::Instant};

use crate::{
    admission,
    attempt::{self, Attempt, End},
    crashes,
    dialect::{Dialect, Head},
    job::{Job, Progress},
    logging::millis,
    metrics::Metrics,
    origins,
    paths::Paths,
    refusal::Refused,
    relay::Relay,
    rollout,
    search::{Obstacle, Place, Search},
    view,
};

/// Retry delay of refusals for which no better one is known, such as those of a
/// node that has no plan yet.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry delay of a request that is suspected of crashing endpoints while another
/// copy of it runs.
const SUSPECT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry delay of requests that another node may be able to serve at once.
pub(crate) const OTHER_NODE_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Subtracted from the caller's time limits, so that the answer reaches it in
/// time.
pub(crate) const ANSWER_MARGIN: Duration = Duration::from_millis(10);

/// The state that the steps of serving a request share.
pub struct Chain<D> {
    /// The clock of the node.
    pub clock: Clock,
    /// Reads and writes the headers of callers and endpoints.
    pub dialect: D,
    /// The plan in force; `None` until the first one was read.
    pub plan: watch::Receiver<Option<Arc<Plan>>>,
    /// Chooses an endpoint for each request.
    pub admission: admission::Handle,
    /// Connections to the endpoints.
    pub paths: Paths,
    /// Memory for answers that are not complete or not sent on yet.
    pub answers: buffer::Pool,
    /// Memory for the bodies of requests.
    pub bodies: ingress::Pool,
    /// Quota usage of the workspaces.
    pub limiter: Mutex<Limiter>,
    /// Retry budget.
    pub budget: Mutex<Budget>,
    /// Finds requests that crash endpoints.
    pub crashes: crashes::Handle,
    /// Remembers the versions that began streams.
    pub origins: origins::Handle,
    /// How recent the directory is.
    pub view: view::Handle,
    /// The roll-outs of services to other software versions.
    pub rollouts: rollout::Handle,
    /// Metrics of the request path.
    pub metrics: Metrics,
    /// Phase of the shutdown.
    pub phase: Phase,
    /// Time for which an endpoint serves after it said that it leaves.
    pub drain_time: Duration,
}

impl<D: Dialect> Chain<D> {
    /// Serves one request.
    pub async fn serve<B>(self: Arc<Self>, request: http::Request<B>) -> Response<Body>
    where
        B: http_body::Body<Data = Bytes> + Unpin + Send,
    {
        let received = self.clock.now();
        let (parts, body) = request.into_parts();
        // A request whose length can be read in two ways may hide another one
        // behind it (request smuggling), so nothing more is read from the
        // connection of a request with a transfer encoding.
        let has_transfer_encoding = parts.headers.contains_key(TRANSFER_ENCODING);
        let (mut response, close) = match self.dialect.read_request(&parts.headers) {
            Ok(head) => {
                let correlation_id = head.correlation_id.clone();
                let outcome = Arc::clone(&self)
                    .accept_and_send(received, head, parts, body)
                    .await;
                match outcome {
                    Ok(response) => (response, false),
                    Err(refused) => {
                        self.record_refusal(received, &correlation_id, &refused);
                        let response = refused.response(&self.dialect, &correlation_id);
                        (response, refused.close)
                    }
                }
            }
            Err(fault) => {
                let refused = Refused::unsent(
                    StatusCode::BAD_REQUEST,
                    Reason::Malformed,
                    fault.to_string(),
                );
                self.record_refusal(received, "", &refused);
                (refused.response(&self.dialect, ""), true)
            }
        };
        if has_transfer_encoding || close {
            let closed = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, closed);
        }
        if close {
            response.extensions_mut().insert(Linger);
        }
        response
    }

    /// Counts and logs a refusal.
    fn record_refusal(&self, received: time::Instant, correlation_id: &str, refused: &Refused) {
        let problem = &refused.problem;
        self.metrics.refused(problem.reason(), problem.status());
        tracing::info!(
            id = correlation_id,
            status = problem.status().as_u16(),
            reason = %problem.reason(),
            run = %problem.run(),
            held_ms = millis(self.clock.now().since(received)),
            retry_after_ms = refused.retry_after.map(millis),
            plan = self.generation(),
            "request refused"
        );
    }

    fn generation(&self) -> Option<u64> {
        let plan = self.plan.borrow();
        plan.as_ref().map(|plan| plan.generation.0)
    }

    async fn accept_and_send<B>(
        self: Arc<Self>,
        received: time::Instant,
        head: Head,
        parts: Parts,
        body: B,
    ) -> Result<Response<Body>, Refused>
    where
        B: http_body::Body<Data = Bytes> + Unpin + Send,
    {
        let job = tokio::select! {
            biased;
            accepted = self.accept(received, head, parts, body) => accepted?,
            () = self.phase.ended() => return Err(Refused::shutting_down(OTHER_NODE_RETRY_AFTER)),
        };
        self.send(job).await
    }

    /// Returns when the requests of this node end; `None` unless it shuts down.
    pub fn end(&self) -> Option<time::Instant> {
        let remaining = self.phase.end()?.saturating_duration_since(Instant::now());
        Some(self.clock.now() + remaining)
    }

    /// Returns whether a request can have its answer before this node ends, as far as is
    /// known. One that may run once only must be sure of it: its caller can't repeat it.
    /// `tokens` are those of its prompt and of its expected answer.
    pub(crate) fn can_end(
        &self,
        service: &id::Service,
        tokens: (u64, u64),
        deadline: time::Instant,
        retry: Retry,
    ) -> bool {
        let Some(end) = self.end() else {
            return true;
        };
        if retry == Retry::Never || deadline <= end {
            return deadline <= end;
        }
        let longest = self
            .admission
            .read(|dispatcher| dispatcher.longest_duration(service, tokens));
        self.clock.now() + longest <= end
    }

    /// Remembers where a stream began; call this when its first events are about
    /// to be relayed.
    pub fn remember_origin(&self, job: &Job, choice: &Choice) {
        if job.route.retry != Retry::Resume || job.template.last_event_id().is_some() {
            return;
        }
        // Without a version the log line of the stream's start names none.
        let Some(version) = job.version.clone() else {
            return;
        };
        let endpoint = choice.endpoint.clone();
        let origin = Origin { version, endpoint };
        self.origins.remember(&job.correlation_id, &origin);
    }

    /// Refuses a request that may crash endpoints, which was not sent now; an
    /// earlier attempt may have run it.
    pub(crate) fn refuse_quarantined(
        &self,
        correlation_id: &str,
        subject: &Subject,
        may_have_run: bool,
    ) -> Refused {
        let (fingerprint, refused_for, retry_after, count, evidence) =
            self.crashes.read(|detector, now| {
                let refused = detector.refused(now, subject).unwrap_or(subject.request);
                (
                    refused,
                    detector.refused_for(now, refused),
                    detector.retry_after(now, refused),
                    detector.count(now, refused),
                    detector.evidence(now, refused),
                )
            });
        tracing::info!(
            id = correlation_id,
            %fingerprint,
            is_part = fingerprint.is_part(),
            died = count.died,
            silent = count.silent,
            refused_for_ms = refused_for.map(millis),
            source = evidence.map(|evidence| tracing::field::display(evidence.source)),
            known_ms = evidence.map(|evidence| millis(evidence.oldest)),
            newest_ms = evidence.map(|evidence| millis(evidence.newest)),
            trials = evidence.map(|evidence| evidence.trials),
            next_trial_ms = evidence.and_then(|evidence| evidence.next_trial.map(millis)),
            may_have_run,
            "request not sent: it may crash endpoints"
        );
        if may_have_run {
            return Refused::may_have_run(
                StatusCode::BAD_GATEWAY,
                Reason::Core(refusal::Reason::Quarantine),
                "endpoints died while they ran this request; do not send it again unchanged",
            );
        }
        Refused::from_core(refusal::Refusal {
            reason: refusal::Reason::Quarantine,
            retry_after: retry_after.unwrap_or(SUSPECT_RETRY_AFTER),
        })
    }

    /// Records what an endpoint said about its limit in an answer; `None` if it named
    /// none.
    pub fn record_limit(&self, endpoint: &id::Endpoint, limit: Option<Result<Rate, NotARate>>) {
        if !self.admission.record_limit(endpoint, limit) {
            self.metrics.unreadable_limits.inc();
        }
    }

    /// Records what an endpoint said about itself in an answer, beside its limit.
    pub fn record_notice(&self, endpoint: &id::Endpoint, notice: &Notice) {
        if !self.admission.record_notice(endpoint, notice) {
            self.metrics.unreadable_notices.inc();
        }
    }

    /// Records the load that an endpoint reported in an answer, if it did.
    pub fn record_load(
        &self,
        endpoint: &id::Endpoint,
        load: Option<Result<Statement, Unreadable>>,
    ) {
        let is_malformed = matches!(load, Some(Err(_)));
        if let Some(load) = load {
            self.admission.record_load(endpoint, load);
        }
        if is_malformed {
            self.metrics.unreadable_loads.inc();
        }
    }

    /// Returns the software version of an endpoint by this node's directory; `None`
    /// if it is unknown.
    #[must_use]
    pub fn listed_version(&self, endpoint: &id::Endpoint) -> Option<id::Version> {
        let read = |dispatcher: &Dispatcher| dispatcher.version(endpoint).cloned();
        self.admission.read(read)
    }

    /// Returns when the process of an endpoint started by this node's directory, in
    /// milliseconds since the Unix epoch; `None` if it is unknown.
    #[must_use]
    pub fn listed_start(&self, endpoint: &id::Endpoint) -> Option<u64> {
        let read = |dispatcher: &Dispatcher| dispatcher.started_ms(endpoint);
        self.admission.read(read)
    }

    /// Sends a request to endpoints until one answers, no retry is left or this node ends.
    async fn send(self: Arc<Self>, job: Job) -> Result<Response<Body>, Refused> {
        let mut progress = Progress::default();
        let reply = tokio::select! {
            biased;
            reply = self.find_reply(&job, &mut progress) => reply?,
            () = self.phase.ended() => return Err(refuse_at_end(&progress)),
        };
        match reply {
            Reply::Whole(response) => Ok(response),
            Reply::Stream(stream, place) => {
                Ok(Relay::new(self, job, progress, *stream, *place).response())
            }
        }
    }

    /// Sends a request to endpoints until one answers or no retry is left.
    async fn find_reply(&self, job: &Job, progress: &mut Progress) -> Result<Reply, Refused> {
        let mut fallback = None;
        while progress.allows_send(job) {
            let search = Search::new(self, job);
            let found = match search.find(progress).await {
                Ok(found) => found,
                Err(obstacle) => {
                    let is_final = !matches!(obstacle, Obstacle::Unreachable { .. });
                    if let Some(refused) = self.refuse(job, progress, &obstacle) {
                        fallback = Some(Fallback::prefer_answer(fallback, refused.into()));
                    }
                    progress.record_obstacle(obstacle);
                    if is_final {
                        break;
                    }
                    continue;
                }
            };
            let sent = search.send(found, progress);
            let (place, attempt) = search.deliver(sent, progress).await;
            match self.finish_attempt(job, progress, place, attempt) {
                Next::Answer(answer) => return Ok(Reply::whole(*answer)),
                Next::Stream(stream, place) => return Ok(Reply::Stream(stream, place)),
                Next::Retry(newer) => fallback = Some(Fallback::prefer_answer(fallback, newer)),
                Next::Refuse(refused) => return Err(refused),
            }
        }
        match fallback {
            Some(Fallback::Answer(choice, answer)) => {
                let status = answer.parts.status;
                self.record_answer(job, &choice, progress, status, Timing::default());
                Ok(Reply::whole(*answer))
            }
            Some(Fallback::Refused(refused)) => Err(refused),
            None => Err(refuse_unreachable(progress.may_have_run)),
        }
    }

    /// Returns the refusal of a request that is sent to no other endpoint; `None` if
    /// the result of its last attempt says more.
    fn refuse(&self, job: &Job, progress: &Progress, obstacle: &Obstacle) -> Option<Refused> {
        match obstacle {
            Obstacle::Once => None,
            Obstacle::Budget => {
                tracing::info!(
                    id = job.correlation_id,
                    service = %job.service,
                    sends = progress.sends,
                    "not retried: the retry budget is used up"
                );
                None
            }
            Obstacle::Refused(refusal) if !progress.may_have_run => {
                let refused = Refused::from_core(*refusal);
                // Another node may list an endpoint of the version.
                if job.version.is_some() && refusal.reason == refusal::Reason::NoEndpoint {
                    return Some(refused.with_retry_after(OTHER_NODE_RETRY_AFTER));
                }
                Some(refused)
            }
            Obstacle::Refused(_) => Some(Refused::may_have_run(
                StatusCode::BAD_GATEWAY,
                Reason::Broken,
                "the endpoint failed and no other is free in time; send the request again",
            )),
            Obstacle::Unreachable { .. } => Some(refuse_unreachable(progress.may_have_run)),
            Obstacle::UnknownVersion | Obstacle::Shutdown if progress.may_have_run => None,
            Obstacle::UnknownVersion => Some(Refused::unknown_version()),
            Obstacle::Shutdown => Some(Refused::shutting_down(OTHER_NODE_RETRY_AFTER)),
            Obstacle::Quarantine => Some(self.refuse_quarantined(
                &job.correlation_id,
                &job.subject,
                progress.may_have_run,
            )),
        }
    }

    /// Ends an attempt: releases its place, records its result and decides what
    /// follows.
    fn finish_attempt(
        &self,
        job: &Job,
        progress: &mut Progress,
        place: Place,
        attempt: Attempt,
    ) -> Next {
        let end = match attempt {
            Attempt::Stream(stream) => {
                progress.may_have_run = true;
                return Next::Stream(stream, Box::new(place));
            }
            Attempt::Ended(end) => end,
        };
        let choice = place.choice.clone();
        place.settle(self, job, progress, &end);
        match end {
            End::Unsent { .. } => Next::Retry(refuse_unreachable(progress.may_have_run).into()),
            End::Rejected { .. } => Next::Retry(refuse_rejected(progress.may_have_run).into()),
            End::Broken { .. } => {
                let refused = Refused::may_have_run(
                    StatusCode::BAD_GATEWAY,
                    Reason::Broken,
                    "the connection to the endpoint broke; send the request again if it is idempotent",
                );
                Next::Retry(refused.into())
            }
            End::Expired => Next::Refuse(Refused::may_have_run(
                StatusCode::GATEWAY_TIMEOUT,
                Reason::DeadlinePassed,
                "the deadline passed before the answer came; allow more time",
            )),
            End::Failed { answer } if job.route.retry == Retry::Whole => {
                Next::Retry(Fallback::Answer(choice, answer))
            }
            End::Failed { answer } => {
                self.record_answer(
                    job,
                    &choice,
                    progress,
                    answer.parts.status,
                    Timing::default(),
                );
                Next::Answer(answer)
            }
            End::Answered { answer } => {
                let status = answer.parts.status;
                if answer.is_delimited {
                    let successfully = status.is_success();
                    self.crashes.record_answered(&job.subject, successfully);
                }
                self.record_answer(job, &choice, progress, status, Timing::default());
                Next::Answer(answer)
            }
        }
    }

    /// Counts and logs a request that an endpoint answered.
    pub fn record_answer(
        &self,
        job: &Job,
        choice: &Choice,
        progress: &Progress,
        status: StatusCode,
        timing: Timing,
    ) {
        let took = self.clock.now().since(job.received);
        self.metrics.answered(job.tier, status, took);
        tracing::info!(
            id = job.correlation_id,
            route = %job.route.name,
            workspace = job.workspace.as_ref().map(id::Workspace::as_str),
            endpoint = %choice.endpoint,
            status = status.as_u16(),
            sends = progress.sends,
            events = timing.events,
            pause_ms = millis(timing.longest_pause),
            took_ms = millis(took),
            "request answered"
        );
    }
}

/// What the caller gets from an endpoint.
enum Reply {
    /// This answer.
    Whole(Response<Body>),
    /// This stream.
    Stream(Box<attempt::Stream>, Box<Place>),
}

impl Reply {
    fn whole(answer: attempt::Buffered) -> Self {
        Self::Whole(Response::from_parts(answer.parts, Body::full(answer.body)))
    }
}

/// What the caller gets if no further attempt is made.
enum Fallback {
    /// This refusal by the gateway.
    Refused(Refused),
    /// The error that this endpoint answered.
    Answer(Choice, Box<attempt::Buffered>),
}

impl Fallback {
    /// Returns the newer one, unless only the older one is an endpoint's
    /// answer, which is more useful to the caller than a refusal.
    fn prefer_answer(older: Option<Self>, newer: Self) -> Self {
        match (older, &newer) {
            (Some(answer @ Self::Answer(..)), Self::Refused(_)) => answer,
            _ => newer,
        }
    }
}

impl From<Refused> for Fallback {
    fn from(refused: Refused) -> Self {
        Self::Refused(refused)
    }
}

/// What to do after an attempt.
enum Next {
    /// Return this answer.
    Answer(Box<attempt::Buffered>),
    /// Relay this stream.
    Stream(Box<attempt::Stream>, Box<Place>),
    /// Try again, or return this if no attempt is left.
    Retry(Fallback),
    /// Return this refusal without another attempt.
    Refuse(Refused),
}

/// Refuses a request without an answer of a node that ends now; one that was passed on may
/// have run.
fn refuse_at_end(progress: &Progress) -> Refused {
    if progress.sends == 0 && !progress.may_have_run {
        return Refused::shutting_down(OTHER_NODE_RETRY_AFTER);
    }
    let refused = Refused::may_have_run(
        StatusCode::GATEWAY_TIMEOUT,
        Reason::Core(refusal::Reason::Shutdown),
        "this host shut down before the answer came; send the request again if it is idempotent",
    );
    refused.closing()
}

/// Refuses a request whose last endpoint could not be reached; an earlier one
/// may have run it.
fn refuse_unreachable(may_have_run: bool) -> Refused {
    if may_have_run {
        return Refused::may_have_run(
            StatusCode::BAD_GATEWAY,
            Reason::Broken,
            "the endpoint failed; send the request again if it is idempotent",
        );
    }
    Refused::from_core(refusal::Refusal {
        reason: refusal::Reason::NoEndpoint,
        retry_after: DEFAULT_RETRY_AFTER,
    })
}

/// Refuses a request that its last endpoint rejected; an earlier one may have
/// run it.
fn refuse_rejected(may_have_run: bool) -> Refused {
    if may_have_run {
        return refuse_unreachable(true);
    }
    Refused::from_core(refusal::Refusal {
        reason: refusal::Reason::Overload,
        retry_after: DEFAULT_RETRY_AFTER,
    })
}

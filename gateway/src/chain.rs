//! Serves one request: checks it, finds its route, charges its quota, and sends
//! it to endpoints until one answers.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use dottereltally::{
    body::Body, clock::Clock, dispatch::strip_hop_by_hop, filter, problem::Reason, shutdown::Phase,
};
use dottereltally_lib::{
    budget::Budget,
    crash::Subject,
    dispatcher::{self, Choice, Dispatcher, Timing},
    id,
    origin::Origin,
    plan::Plan,
    quota::Limiter,
    refusal,
    route::{Retry, Route},
    share::{NotARate, Rate},
    time,
};
use dottereltally_store::buffer;
use http::{
    HeaderMap, HeaderValue, Response, StatusCode,
    header::{CONNECTION, EXPECT, HOST, TRANSFER_ENCODING},
    request::Parts,
};
use tokio::{sync::watch, time::timeout};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    admission,
    attempt::{self, Attempt, End, Template},
    crashes,
    dialect::{Dialect, Head},
    metrics::Metrics,
    origins,
    paths::Paths,
    refusal::Refused,
    relay::Relay,
    search::{Obstacle, Place, Search},
};

/// Retry delay of refusals for which no better one is known, such as those of a
/// node that has no plan yet.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry delay of a request that is suspected of crashing endpoints while another
/// copy of it runs.
const SUSPECT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry delay of requests that another node may be able to serve at once.
const OTHER_NODE_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Failed connection attempts after which a request is abandoned.
const MAX_CONNECT_FAILURES: u32 = 6;
/// Subtracted from the caller's time limits, so that the answer reaches it in
/// time.
const ANSWER_MARGIN: Duration = Duration::from_millis(10);

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
    /// Quota usage of the workspaces.
    pub limiter: Mutex<Limiter>,
    /// Retry budget.
    pub budget: Mutex<Budget>,
    /// Finds requests that crash endpoints.
    pub crashes: crashes::Handle,
    /// Remembers the versions that began streams.
    pub origins: origins::Handle,
    /// Metrics of the request path.
    pub metrics: Metrics,
    /// Phase of the shutdown.
    pub phase: Phase,
}

/// An accepted request: routed, and charged against its quota.
pub struct Job {
    /// Identifies the caller's attempt; the `id` of its log lines.
    pub correlation_id: String,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that serves it.
    pub service: id::Service,
    /// The caller's workspace; `None` where no key is needed.
    pub workspace: Option<id::Workspace>,
    /// Its tier.
    pub tier: id::Tier,
    /// Tokens of its prompt and of its expected answer; zeros if the caller sent
    /// no token counts.
    pub tokens: (u64, u64),
    /// When it was received.
    pub received: time::Instant,
    /// When its answer is no longer of use.
    pub deadline: time::Instant,
    /// When the caller gives up without a first byte.
    pub first_byte_deadline: time::Instant,
    /// What may crash endpoints: the request, or a part of its prompt.
    pub subject: Subject,
    /// The software version that began the stream that it continues; `None` if
    /// any version may serve it.
    pub version: Option<id::Version>,
    /// The message to endpoints, whichever is chosen.
    pub template: Template,
}

impl Job {
    /// Returns what the dispatcher needs to know to choose an endpoint;
    /// `excluded` lists those that were tried before.
    #[must_use]
    pub fn request(&self, excluded: &[id::Endpoint]) -> dispatcher::Request {
        dispatcher::Request {
            service: self.service.clone(),
            tier: self.tier,
            class: self.route.tier,
            prompt: self.tokens.0,
            expected_output: self.tokens.1,
            max_pause: self.route.pause,
            first_byte_due: self.received + self.route.objective,
            caller_leaves_at: self.first_byte_deadline,
            deadline: self.deadline,
            excluded: excluded.to_vec(),
            version: self.version.clone(),
            resumable: self.route.retry == Retry::Resume,
        }
    }
}

/// How far a request got: decides about retries and is logged at the end.
#[derive(Default)]
pub struct Progress {
    /// Endpoints that were tried, also those that could not be reached.
    pub tried: Vec<id::Endpoint>,
    /// Sends that reached an endpoint or may have.
    pub sends: u32,
    /// Whether an endpoint may have run it.
    pub may_have_run: bool,
    connect_failures: u32,
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
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
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
        let job = self.accept(received, head, parts, body).await?;
        self.send(job).await
    }

    /// Checks, routes and charges a request before it is sent.
    async fn accept<B>(
        &self,
        received: time::Instant,
        head: Head,
        parts: Parts,
        mut body: B,
    ) -> Result<Job, Refused>
    where
        B: http_body::Body<Data = Bytes> + Unpin + Send,
    {
        let plan = self.plan.borrow().clone();
        let Some(plan) = plan else {
            let refused = Refused::unsent(
                StatusCode::SERVICE_UNAVAILABLE,
                Reason::NoConfiguration,
                "this node has no configuration yet; send the request again",
            );
            return Err(refused.with_retry_after(DEFAULT_RETRY_AFTER).closing());
        };
        filter::check_head(&parts, plan.limits.head).map_err(refuse_and_close)?;
        let host = host(&parts.headers)?;
        let route = plan.routes.find(host, parts.uri.path()).ok_or_else(|| {
            Refused::unsent(
                StatusCode::NOT_FOUND,
                Reason::NoCall,
                "no route matches; check host and path",
            )
        })?;
        let workspace = workspace(&plan, route, &head)?;
        let receiving = filter::collect(&mut body, plan.limits.body);
        let Ok(body) = timeout(plan.limits.receive, receiving).await else {
            let refused = Refused::unsent(
                StatusCode::REQUEST_TIMEOUT,
                Reason::SlowSender,
                "the body did not arrive in time; send the request again",
            );
            return Err(refused.closing());
        };
        let body = body.map_err(refuse_and_close)?;
        // A stream that its caller resumes goes on at the service that began it.
        let first_attempt = resumed_after(route, &head).and(head.resumes.as_ref());
        let target = first_attempt.unwrap_or(&head.correlation_id);
        let service = route.service(hash(&[target.as_bytes()]));
        let service = service.ok_or_else(|| {
            let refused = Refused::unsent(
                StatusCode::SERVICE_UNAVAILABLE,
                Reason::Core(refusal::Reason::NoEndpoint),
                "the route leads to no service; give one of its targets a weight",
            );
            refused.with_retry_after(DEFAULT_RETRY_AFTER)
        })?;
        let subject = self.subject(&parts, &head, &body);
        self.check_quarantine(&head.correlation_id, &subject)?;
        let time_limit = head
            .remaining
            .map_or(route.timeout, |remaining| remaining.min(route.timeout));
        let deadline = received + time_limit - ANSWER_MARGIN;
        let version = match resumed_after(route, &head) {
            Some(after) => Some(self.find_version(&head, service, deadline, after).await?),
            None => None,
        };
        let tier = self.charge(&plan, route, workspace.as_ref(), &head)?;
        let patience = route.patience.unwrap_or(time_limit);
        Ok(Job {
            correlation_id: head.correlation_id.clone(),
            route: Arc::clone(route),
            service: service.clone(),
            workspace: workspace.clone(),
            tier,
            tokens: expected_tokens(&head),
            received,
            deadline,
            first_byte_deadline: deadline.min(received + patience - ANSWER_MARGIN),
            subject,
            version,
            template: Template::new(parts, body, head, workspace, plan.workspaces.is_some()),
        })
    }

    /// Finds the version that began a stream, which is to go on after the event
    /// `after`.
    ///
    /// # Errors
    ///
    /// Fails with a refusal if the version is not known for certain.
    async fn find_version(
        &self,
        head: &Head,
        service: &id::Service,
        deadline: time::Instant,
        after: u64,
    ) -> Result<id::Version, Refused> {
        let started = self.clock.now();
        let remaining = deadline.since(started);
        let resumes = head.resumes.as_deref();
        let found = self.origins.find(resumes, service, remaining).await;
        let took = millis(self.clock.now().since(started));
        match found {
            Ok(found) => {
                tracing::info!(
                    id = head.correlation_id,
                    resumes,
                    service = %service,
                    after,
                    version = %found.version,
                    source = %found.source,
                    took_ms = took,
                    "stream is resumed by its caller"
                );
                Ok(found.version)
            }
            Err(cause) => {
                tracing::info!(
                    id = head.correlation_id,
                    resumes,
                    service = %service,
                    after,
                    %cause,
                    took_ms = took,
                    "stream not resumed for its caller: the version that began it is unknown"
                );
                let refused = Refused::unsent(
                    StatusCode::SERVICE_UNAVAILABLE,
                    Reason::UnknownVersion,
                    "this node does not know the software version that began the stream; \
                     send the request to another node",
                );
                Err(refused.with_retry_after(OTHER_NODE_RETRY_AFTER))
            }
        }
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

    /// Returns what may crash endpoints, and counts what was not read of it.
    fn subject(&self, parts: &Parts, head: &Head, body: &Bytes) -> Subject {
        if head.unread_parts > 0 {
            let unread = u64::try_from(head.unread_parts).unwrap_or(u64::MAX);
            self.metrics.unread_parts.inc_by(unread);
            tracing::info!(
                id = head.correlation_id,
                unread,
                read = head.parts.len(),
                "parts of the prompt are not read: they are no ids, or too many"
            );
        }
        Subject {
            request: fingerprint(parts, head, body),
            parts: head.parts.iter().copied().map(Into::into).collect(),
        }
    }

    /// Refuses requests that are known to crash endpoints, or whose prompts have a part
    /// that is.
    fn check_quarantine(&self, correlation_id: &str, subject: &Subject) -> Result<(), Refused> {
        let refused = self
            .crashes
            .read(|detector, now| detector.refused(now, subject));
        if refused.is_none() {
            return Ok(());
        }
        Err(self.refuse_quarantined(correlation_id, subject, false))
    }

    /// Refuses a request that may crash endpoints, which was not sent now; an
    /// earlier attempt may have run it.
    fn refuse_quarantined(
        &self,
        correlation_id: &str,
        subject: &Subject,
        may_have_run: bool,
    ) -> Refused {
        let (fingerprint, refused_for, count) = self.crashes.read(|detector, now| {
            let refused = detector.refused(now, subject).unwrap_or(subject.request);
            let refused_for = detector.refused_for(now, refused);
            (refused, refused_for, detector.count(now, refused))
        });
        tracing::info!(
            id = correlation_id,
            %fingerprint,
            is_part = fingerprint.is_part(),
            died = count.died,
            silent = count.silent,
            refused_for_ms = refused_for.map(millis),
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
            retry_after: refused_for.unwrap_or(SUSPECT_RETRY_AFTER),
        })
    }

    /// Records what an endpoint said about its limit in an answer; `None` if it named
    /// none.
    pub fn record_limit(&self, endpoint: &id::Endpoint, limit: Option<Result<Rate, NotARate>>) {
        if !self.admission.record_limit(endpoint, limit) {
            self.metrics.unreadable_limits.inc();
        }
    }

    /// Returns the software version of an endpoint by this node's directory; `None`
    /// if it is unknown.
    #[must_use]
    pub fn listed_version(&self, endpoint: &id::Endpoint) -> Option<id::Version> {
        let read = |dispatcher: &Dispatcher| dispatcher.version(endpoint).cloned();
        self.admission.read(read)
    }

    /// Charges a request against its workspace's quota; returns its tier.
    fn charge(
        &self,
        plan: &Plan,
        route: &Route,
        workspace: Option<&id::Workspace>,
        head: &Head,
    ) -> Result<id::Tier, Refused> {
        let known = plan.workspaces.as_ref().zip(workspace);
        let Some((name, settings)) =
            known.and_then(|(all, name)| all.names.get(name).map(|settings| (name, settings)))
        else {
            return Ok(route.tier);
        };
        if let Some(quota) = &settings.quota {
            let tokens = head.tokens.map(|(prompt, output)| prompt + output);
            let cost = quota.cost(tokens);
            let now = self.clock.now();
            let admitted = lock(&self.limiter).admit(now, name, quota, cost);
            if let Err(exhausted) = admitted {
                tracing::info!(
                    id = head.correlation_id,
                    workspace = %name,
                    cost,
                    level = exhausted.level,
                    fresh = exhausted.unreported,
                    share = exhausted.share,
                    silent = exhausted.silent_share,
                    rate = quota.rate,
                    "quota used up"
                );
                return Err(Refused::from_core(refusal::Refusal {
                    reason: refusal::Reason::Limit,
                    retry_after: exhausted.retry_after,
                }));
            }
        }
        Ok(settings.tier.unwrap_or(route.tier))
    }

    /// Sends a request to endpoints until one answers or no retry is left.
    async fn send(self: Arc<Self>, job: Job) -> Result<Response<Body>, Refused> {
        let mut progress = Progress::default();
        let mut fallback = None;
        while progress.allows_send(&job) {
            let search = Search::new(&self, &job);
            let found = match search.find(&progress).await {
                Ok(found) => found,
                Err(obstacle) => {
                    let is_final = !matches!(obstacle, Obstacle::Unreachable { .. });
                    if let Some(refused) = self.refuse(&job, &progress, &obstacle) {
                        fallback = Some(Fallback::prefer_answer(fallback, refused.into()));
                    }
                    progress.record_obstacle(obstacle);
                    if is_final {
                        break;
                    }
                    continue;
                }
            };
            let sent = search.send(found, &mut progress);
            let (place, attempt) = search.deliver(sent, &mut progress).await;
            match self.finish_attempt(&job, &mut progress, place, attempt) {
                Next::Answer(answer) => {
                    return Ok(Response::from_parts(answer.parts, Body::full(answer.body)));
                }
                Next::Stream(stream, place) => {
                    let relay = Relay::new(self, job, progress, *stream, *place);
                    return Ok(relay.response());
                }
                Next::Retry(newer) => fallback = Some(Fallback::prefer_answer(fallback, newer)),
                Next::Refuse(refused) => return Err(refused),
            }
        }
        match fallback {
            Some(Fallback::Answer(choice, answer)) => {
                self.record_answer(
                    &job,
                    &choice,
                    &progress,
                    answer.parts.status,
                    Timing::default(),
                );
                Ok(Response::from_parts(answer.parts, Body::full(answer.body)))
            }
            Some(Fallback::Refused(refused)) => Err(refused),
            None => Err(refuse_unreachable(progress.may_have_run)),
        }
    }

    /// Returns the refusal of a request that is sent to no other endpoint; `None` if
    /// the result of its last attempt says more.
    fn refuse(&self, job: &Job, progress: &Progress, obstacle: &Obstacle) -> Option<Refused> {
        match obstacle {
            Obstacle::Once | Obstacle::UnknownVersion => None,
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

impl Progress {
    /// Returns whether a request may be sent to a further endpoint.
    #[must_use]
    pub fn allows_send(&self, job: &Job) -> bool {
        self.sends < job.route.attempts.max(1) && self.connect_failures < MAX_CONNECT_FAILURES
    }

    /// Records a send that reaches an endpoint or may reach it.
    pub fn record_send(&mut self, choice: &Choice) {
        self.sends += 1;
        self.tried.push(choice.endpoint.clone());
    }

    /// Records that the last send did not reach its endpoint.
    pub fn withdraw_send(&mut self) {
        self.sends = self.sends.saturating_sub(1);
        self.connect_failures += 1;
    }

    /// Records that a request could not be sent; an endpoint that can't be reached is
    /// not tried again.
    pub fn record_obstacle(&mut self, obstacle: Obstacle) {
        if let Obstacle::Unreachable { endpoint, .. } = obstacle {
            self.connect_failures += 1;
            self.tried.push(endpoint);
        }
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

/// Locks a mutex and ignores poisoning, as its content stays usable after a
/// panic elsewhere.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns a duration in whole milliseconds for the log.
#[must_use]
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Refuses a request that was not read to its end, so that its connection must
/// be closed.
fn refuse_and_close(problem: dottereltally::problem::Problem) -> Refused {
    Refused {
        problem,
        retry_after: None,
        close: true,
    }
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

/// Returns the id of the event after which a caller resumes a stream; `None` if
/// the request begins one or has none.
fn resumed_after(route: &Route, head: &Head) -> Option<u64> {
    let resumable = route.streaming && route.retry == Retry::Resume;
    head.last_event_id.filter(|_| resumable)
}

/// Returns the host that a request names.
fn host(headers: &HeaderMap) -> Result<&str, Refused> {
    let mut values = headers.get_all(HOST).iter();
    let host = values.next().and_then(|host| host.to_str().ok());
    match (host, values.next()) {
        (Some(host), None) => Ok(host),
        _ => Err(Refused::unsent(
            StatusCode::BAD_REQUEST,
            Reason::Malformed,
            "send one `host` header",
        )
        .closing()),
    }
}

/// Finds the caller's workspace by its key; `None` where no key is needed.
fn workspace(plan: &Plan, route: &Route, head: &Head) -> Result<Option<id::Workspace>, Refused> {
    let Some(workspaces) = &plan.workspaces else {
        return Ok(None);
    };
    if route.anonymous {
        return Ok(None);
    }
    let known = head.key.as_ref().and_then(|key| workspaces.keys.get(key));
    known.cloned().map(Some).ok_or_else(|| {
        Refused::unsent(
            StatusCode::UNAUTHORIZED,
            Reason::Unauthenticated,
            "send `authorization: Bearer KEY` with a workspace's key",
        )
    })
}

/// Returns the tokens of the prompt and of the expected answer; zeros if the
/// caller sent no token counts.
fn expected_tokens(head: &Head) -> (u64, u64) {
    let Some((prompt, max_output)) = head.tokens else {
        return (0, 0);
    };
    let expected = head.expected_output.unwrap_or(max_output);
    (prompt, expected.clamp(1, max_output.max(1)))
}

fn hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(part);
        hasher.update(&[0]);
    }
    hasher.digest()
}

/// Returns a hash that is equal when the same caller sends the same request
/// again.
#[must_use]
pub fn fingerprint(parts: &Parts, head: &Head, body: &Bytes) -> id::Fingerprint {
    let key = head.key.as_deref().unwrap_or_default();
    let target = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    id::Fingerprint::of_request(hash(&[
        parts.method.as_str().as_bytes(),
        target.as_bytes(),
        key.as_bytes(),
        body,
    ]))
}

/// Returns the headers of a request that are forwarded: without hop-by-hop
/// headers and `Expect`.
#[must_use]
pub fn end_to_end_headers(mut headers: HeaderMap) -> HeaderMap {
    strip_hop_by_hop(&mut headers);
    headers.remove(EXPECT);
    headers
}

//! The steps that serve one request.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use dottereltally::{
    body::Body, clock::Clock, dispatch::strip_hop, filter, pool::Pool, problem::Reason,
    shutdown::Phase,
};
use dottereltally_lib::{
    budget::Budget,
    crash,
    gate::{Ask, Choice, Flow, Outcome},
    id,
    plan::Plan,
    quarantine::Verdict,
    quota::Ledger,
    refusal,
    route::{Repeat, Route},
    time,
};
use http::{
    HeaderMap, HeaderValue, Response, StatusCode,
    header::{CONNECTION, EXPECT, HOST, TRANSFER_ENCODING},
    request::Parts,
};
use tokio::{sync::watch, time::timeout};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    admission::{self, Place},
    attempt::{self, Attempt, Template},
    dialect::{Dialect, Head},
    metrics::Metrics,
    refusal::Refused,
    relay::Relay,
};

/// When to come back to a node without a plan.
const PLAN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Connections that are tried for one request before it is given up.
const MAX_UNREACHABLE: u32 = 6;
/// Time before a limit of the caller at which the answer must be on its way.
const ANSWER_MARGIN: Duration = Duration::from_millis(10);

/// What the steps work with.
pub struct Chain<D> {
    /// The clock of the node.
    pub clock: Clock,
    /// How heads are written.
    pub dialect: D,
    /// The plan in force.
    pub plan: watch::Receiver<Option<Arc<Plan>>>,
    /// The gate before the endpoints.
    pub admission: admission::Handle,
    /// Connections to the endpoints.
    pub upstream: Pool,
    /// Quotas of the workspaces.
    pub ledger: Mutex<Ledger>,
    /// Budget of repeated sends.
    pub budget: Mutex<Budget>,
    /// What is known of requests that crash endpoints.
    pub crashes: Mutex<crash::Watch>,
    /// The counters.
    pub metrics: Metrics,
    /// Phases of a shutdown.
    pub phase: Phase,
}

/// A request that may be sent to endpoints.
pub struct Job {
    /// What the log calls it.
    pub correlation: String,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that serves it.
    pub service: id::Service,
    /// The caller's workspace.
    pub workspace: Option<id::Workspace>,
    /// Its tier.
    pub tier: id::Tier,
    /// Tokens of its prompt and of its expected answer.
    pub tokens: (u64, u64),
    /// When it came in.
    pub received: time::Instant,
    /// When its answer is of no more use.
    pub deadline: time::Instant,
    /// When the caller gives up without a first byte.
    pub abandoned: time::Instant,
    /// Hash of its content.
    pub fingerprint: id::Fingerprint,
    /// What is sent to endpoints.
    pub template: Template,
}

impl Job {
    /// Returns what the gate needs to know.
    #[must_use]
    pub fn ask(&self, avoid: &[id::Endpoint]) -> Ask {
        Ask {
            service: self.service.clone(),
            tier: self.tier,
            class: self.route.tier,
            prompt: self.tokens.0,
            output: self.tokens.1,
            pause: self.route.pause,
            due: self.received + self.route.objective,
            first_by: self.abandoned,
            deadline: self.deadline,
            avoid: avoid.to_vec(),
        }
    }
}

/// How far a request got, for the final log line.
#[derive(Default)]
pub struct Progress {
    /// Endpoints that it was sent to.
    pub avoid: Vec<id::Endpoint>,
    /// Sends that arrived or may have.
    pub sends: u32,
    /// Whether an endpoint may have run it.
    pub may_have_run: bool,
    unreachable: u32,
    /// Whether a unit of the budget was taken for the next send.
    granted: bool,
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
        // behind it; nothing more is read from its connection.
        let chunked = parts.headers.contains_key(TRANSFER_ENCODING);
        let (mut response, close) = match self.dialect.read(&parts.headers) {
            Ok(head) => {
                let correlation = head.correlation.clone();
                let outcome = Arc::clone(&self).run(received, head, parts, body).await;
                match outcome {
                    Ok(response) => (response, false),
                    Err(refused) => {
                        self.tell_refusal(received, &correlation, &refused);
                        let response = refused.response(&self.dialect, &correlation);
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
                self.tell_refusal(received, "", &refused);
                (refused.response(&self.dialect, ""), true)
            }
        };
        if chunked || close {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    fn tell_refusal(&self, received: time::Instant, correlation: &str, refused: &Refused) {
        let problem = &refused.problem;
        self.metrics.refused(problem.reason(), problem.status());
        tracing::info!(
            id = correlation,
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

    async fn run<B>(
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

    /// Passes a request through the steps before it is sent.
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
            return Err(refused.after(PLAN_RETRY_AFTER).closing());
        };
        filter::check_head(&parts, plan.limits.head).map_err(unread)?;
        let host = host(&parts.headers)?;
        let route = plan.routes.find(host, parts.uri.path()).ok_or_else(|| {
            Refused::unsent(
                StatusCode::NOT_FOUND,
                Reason::NoCall,
                "no route matches; check host and path",
            )
        })?;
        let workspace = workspace(&plan, route, &head)?;
        let reading = filter::collect(&mut body, plan.limits.body);
        let Ok(body) = timeout(plan.limits.receive, reading).await else {
            let refused = Refused::unsent(
                StatusCode::REQUEST_TIMEOUT,
                Reason::SlowSender,
                "the body did not arrive in time; send the request again",
            );
            return Err(refused.closing());
        };
        let body = body.map_err(unread)?;
        let service = route.service(hash(&[head.correlation.as_bytes()]));
        let service = service.ok_or_else(|| {
            let refused = Refused::unsent(
                StatusCode::SERVICE_UNAVAILABLE,
                Reason::Core(refusal::Reason::NoEndpoint),
                "the route leads to no service; give one of its targets a weight",
            );
            refused.after(PLAN_RETRY_AFTER)
        })?;
        let fingerprint = fingerprint(&parts, &head, &body);
        self.check_fingerprint(fingerprint)?;
        let tier = self.charge(&plan, route, workspace.as_ref(), &head)?;
        let limit = head
            .remaining
            .map_or(route.timeout, |remaining| remaining.min(route.timeout));
        let deadline = received + limit - ANSWER_MARGIN;
        let patience = route.patience.unwrap_or(limit);
        Ok(Job {
            correlation: head.correlation.clone(),
            route: Arc::clone(route),
            service: service.clone(),
            workspace: workspace.clone(),
            tier,
            tokens: expected_tokens(&head),
            received,
            deadline,
            abandoned: deadline.min(received + patience - ANSWER_MARGIN),
            fingerprint,
            template: Template::new(parts, body, head, workspace, plan.workspaces.is_some()),
        })
    }

    /// Refuses requests that crash endpoints.
    fn check_fingerprint(&self, fingerprint: id::Fingerprint) -> Result<(), Refused> {
        let verdict = lock(&self.crashes).verdict(self.clock.now(), fingerprint);
        if verdict != Verdict::Confirmed {
            return Ok(());
        }
        Err(Refused::core(refusal::Refusal {
            reason: refusal::Reason::Quarantine,
            retry_after: Duration::from_secs(10),
        }))
    }

    /// Counts a request against its workspace's quota; returns its tier.
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
            let admitted = lock(&self.ledger).admit(now, name, quota, cost);
            if let Err(exhausted) = admitted {
                tracing::info!(
                    id = head.correlation,
                    workspace = %name,
                    cost,
                    level = exhausted.level,
                    fresh = exhausted.fresh,
                    share = exhausted.share,
                    silent = exhausted.silent,
                    rate = quota.rate,
                    "quota used up"
                );
                return Err(Refused::core(refusal::Refusal {
                    reason: refusal::Reason::Limit,
                    retry_after: exhausted.retry_after,
                }));
            }
        }
        Ok(settings.tier.unwrap_or(route.tier))
    }

    /// Sends a request to endpoints until one answers.
    async fn send(self: Arc<Self>, job: Job) -> Result<Response<Body>, Refused> {
        let mut progress = Progress::default();
        let attempts = job.route.attempts.max(1);
        let mut last = None;
        while progress.sends < attempts && progress.unreachable < MAX_UNREACHABLE {
            if progress.sends > 0 && !self.may_repeat(&job, &mut progress) {
                break;
            }
            let (choice, place) = match self.admit(&job, &progress).await {
                Ok(admitted) => admitted,
                Err(refused) => {
                    last = Some(Fallback::better(last, refused.into()));
                    break;
                }
            };
            if progress.sends == 0 {
                lock(&self.budget).earn(self.clock.now(), &job.service);
            }
            let attempt = attempt::send(&self, &job, &choice, None, place).await;
            match self.judge(&job, &choice, &mut progress, attempt) {
                Next::Answer(whole) => {
                    return Ok(Response::from_parts(whole.parts, Body::full(whole.body)));
                }
                Next::Stream(stream) => {
                    return Ok(Relay::new(self, job, progress, choice, *stream).response());
                }
                Next::Again(fallback) => last = Some(Fallback::better(last, fallback)),
                Next::Never(refused) => return Err(refused),
            }
        }
        match last {
            Some(Fallback::Answer(choice, whole)) => {
                self.answered(
                    &job,
                    &choice,
                    &progress,
                    whole.parts.status,
                    Flow::default(),
                );
                Ok(Response::from_parts(whole.parts, Body::full(whole.body)))
            }
            Some(Fallback::Refused(refused)) => Err(refused),
            None => Err(unreachable_endpoints(progress.may_have_run)),
        }
    }

    /// Returns whether a request that was sent may be sent again; takes one
    /// unit of the budget for the next send.
    pub fn may_repeat(&self, job: &Job, progress: &mut Progress) -> bool {
        if progress.may_have_run && job.route.repeat == Repeat::Never {
            return false;
        }
        // An endpoint that could not be reached has not used the unit.
        if progress.granted {
            return true;
        }
        let granted = lock(&self.budget).spend(self.clock.now(), &job.service);
        progress.granted = granted;
        if !granted {
            self.metrics.budget_exhausted.inc();
            tracing::info!(
                id = job.correlation,
                service = %job.service,
                sends = progress.sends,
                "no repeat: the budget is used up"
            );
        }
        granted
    }

    /// Waits for an endpoint.
    async fn admit(&self, job: &Job, progress: &Progress) -> Result<(Choice, Place), Refused> {
        let admitted = self.admission.admit(job.ask(&progress.avoid)).await;
        admitted.map_err(|refusal| {
            if !progress.may_have_run {
                return Refused::core(refusal);
            }
            Refused::lost(
                StatusCode::BAD_GATEWAY,
                Reason::Broken,
                "the endpoint failed and no other is free in time; send the request again",
            )
        })
    }

    /// Records that the connection of a request broke.
    pub fn broke(&self, job: &Job, endpoint: &id::Endpoint) {
        lock(&self.crashes).broke(self.clock.now(), endpoint, job.fingerprint);
    }

    /// Records that an endpoint can't be reached.
    pub fn died(&self, endpoint: &id::Endpoint) {
        let suspects = lock(&self.crashes).died(self.clock.now(), endpoint);
        if suspects > 0 {
            tracing::info!(%endpoint, suspects, "endpoint died with requests in flight");
        }
    }

    /// Decides what follows from an attempt.
    fn judge(&self, job: &Job, choice: &Choice, progress: &mut Progress, attempt: Attempt) -> Next {
        if let Some(failure) = attempt.failure() {
            self.metrics.attempt_failed(failure);
            tracing::info!(
                id = job.correlation,
                endpoint = %choice.endpoint,
                address = choice.address,
                failure,
                cause = attempt.cause(),
                sends = progress.sends + 1,
                "attempt failed"
            );
        }
        match attempt {
            Attempt::Unsent { place, .. } => {
                place.end(Outcome::Unreachable);
                self.died(&choice.endpoint);
                progress.unreachable += 1;
                progress.avoid.push(choice.endpoint.clone());
                Next::Again(unreachable_endpoints(progress.may_have_run).into())
            }
            Attempt::Rejected { place, status } => {
                place.end(attempt::rejection(status));
                progress.sent(choice);
                Next::Again(rejected(progress.may_have_run).into())
            }
            Attempt::Broken { place, .. } => {
                place.end(Outcome::Broken);
                self.broke(job, &choice.endpoint);
                progress.sent(choice);
                progress.may_have_run = true;
                let refused = Refused::lost(
                    StatusCode::BAD_GATEWAY,
                    Reason::Broken,
                    "the connection to the endpoint broke; send the request again if it is idempotent",
                );
                Next::Again(refused.into())
            }
            Attempt::Expired { place } => {
                place.end(Outcome::Cancelled);
                progress.sent(choice);
                Next::Never(Refused::lost(
                    StatusCode::GATEWAY_TIMEOUT,
                    Reason::DeadlinePassed,
                    "the deadline passed before the answer came; allow more time",
                ))
            }
            Attempt::Failed { place, whole } => {
                place.end(Outcome::Failed);
                progress.sent(choice);
                progress.may_have_run = true;
                if job.route.repeat == Repeat::Whole {
                    return Next::Again(Fallback::Answer(choice.clone(), whole));
                }
                self.answered(job, choice, progress, whole.parts.status, Flow::default());
                Next::Answer(whole)
            }
            Attempt::Whole { place, whole } => {
                place.end(Outcome::Answered(Flow::default()));
                progress.sent(choice);
                self.answered(job, choice, progress, whole.parts.status, Flow::default());
                Next::Answer(whole)
            }
            Attempt::Stream(stream) => {
                progress.sent(choice);
                progress.may_have_run = true;
                Next::Stream(stream)
            }
        }
    }

    /// Tells that a request was answered by an endpoint.
    pub fn answered(
        &self,
        job: &Job,
        choice: &Choice,
        progress: &Progress,
        status: StatusCode,
        flow: Flow,
    ) {
        let now = self.clock.now();
        lock(&self.crashes).answered(now, job.fingerprint);
        let took = now.since(job.received);
        self.metrics.answered(job.tier, status, took);
        tracing::info!(
            id = job.correlation,
            route = %job.route.name,
            workspace = job.workspace.as_ref().map(id::Workspace::as_str),
            endpoint = %choice.endpoint,
            status = status.as_u16(),
            sends = progress.sends,
            events = flow.events,
            pause_ms = millis(flow.pause),
            took_ms = millis(took),
            "request answered"
        );
    }
}

impl Progress {
    /// Records that a request was or may have been handed to an endpoint.
    pub fn sent(&mut self, choice: &Choice) {
        self.sends += 1;
        self.granted = false;
        self.avoid.push(choice.endpoint.clone());
    }
}

/// What the caller gets if no further attempt is made.
enum Fallback {
    /// This refusal.
    Refused(Refused),
    /// The error that this endpoint answered with.
    Answer(Choice, Box<attempt::Whole>),
}

impl Fallback {
    /// Returns the newer one, unless only the older one is an endpoint's
    /// answer.
    fn better(older: Option<Self>, newer: Self) -> Self {
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

/// What follows from an attempt.
enum Next {
    /// This whole answer.
    Answer(Box<attempt::Whole>),
    /// This stream.
    Stream(Box<attempt::Stream>),
    /// Another attempt, or this if none is left.
    Again(Fallback),
    /// This refusal.
    Never(Refused),
}

/// Locks a mutex; a panic elsewhere leaves its content usable.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns a time in whole milliseconds for the log.
#[must_use]
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn unread(problem: dottereltally::problem::Problem) -> Refused {
    Refused {
        problem,
        retry_after: None,
        close: true,
    }
}

fn unreachable_endpoints(may_have_run: bool) -> Refused {
    if may_have_run {
        return Refused::lost(
            StatusCode::BAD_GATEWAY,
            Reason::Broken,
            "the endpoint failed; send the request again if it is idempotent",
        );
    }
    Refused::core(refusal::Refusal {
        reason: refusal::Reason::NoEndpoint,
        retry_after: PLAN_RETRY_AFTER,
    })
}

fn rejected(may_have_run: bool) -> Refused {
    if may_have_run {
        return unreachable_endpoints(true);
    }
    Refused::core(refusal::Refusal {
        reason: refusal::Reason::Overload,
        retry_after: PLAN_RETRY_AFTER,
    })
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

/// Finds the caller's workspace.
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

/// Returns the tokens of the prompt and of the expected answer.
fn expected_tokens(head: &Head) -> (u64, u64) {
    let Some((prompt, most)) = head.tokens else {
        return (0, 0);
    };
    let expected = head.expected.unwrap_or(most);
    (prompt, expected.clamp(1, most.max(1)))
}

fn hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(part);
        hasher.update(&[0]);
    }
    hasher.digest()
}

/// Returns a hash that is equal when the same caller sends the same again.
fn fingerprint(parts: &Parts, head: &Head, body: &Bytes) -> id::Fingerprint {
    let key = head.key.as_deref().unwrap_or_default();
    let target = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    id::Fingerprint(hash(&[
        parts.method.as_str().as_bytes(),
        target.as_bytes(),
        key.as_bytes(),
        body,
    ]))
}

/// Returns the headers of a request that concern its endpoint.
#[must_use]
pub fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    strip_hop(&mut headers);
    headers.remove(EXPECT);
    headers
}

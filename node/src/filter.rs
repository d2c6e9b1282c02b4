//! The chain of filters that serves one request.
//!
//! The filters, in order: authenticate, classify, limit, claim, admit, dispatch,
//! answer.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use dottereltally_lib::{
    configuration, id,
    request::{Received, Request},
};
use dottereltally_store::{buffer, ingress};
use http::{HeaderValue, Response, StatusCode, header::HeaderMap, request::Parts};
use http_body_util::BodyExt;
use tokio::time::timeout;

use crate::{
    answer, authenticate,
    body::Body,
    classify::{self, Class},
    clock::Clock,
    dispatch::{self, Context, Error, Unclaimed},
    dispatcher::{Handle, Resolve},
    idempotency::{self, Keeper},
    limit::{Limiter, Permit},
    linger::Linger,
    metrics::Metrics,
    problem::{Problem, Reason},
    rules::{self, Rules},
    settings::Limits,
    upstream::Client,
};

/// `retry-after` of a body for which there is no memory: bodies are complete, or their time
/// limit ends, within some seconds.
pub const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `retry-after` of a node without a configuration.
const CONFIGURATION_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Parts of the node that the filters use.
pub struct Chain<D, U, K> {
    /// The node's name.
    pub node: id::Node,
    /// Limits on callers and their requests.
    pub limits: Limits,
    /// The clock of the node.
    pub clock: Clock,
    /// The rules in force.
    pub rules: rules::Receiver,
    /// Counts the requests of each workspace.
    pub limiter: Limiter,
    /// Handle of the decision core.
    pub dispatcher: D,
    /// Looks up the addresses of endpoints.
    pub resolve: Resolve,
    /// Connections to the endpoints.
    pub upstream: U,
    /// Memory for answers that are buffered.
    pub answers: buffer::Pool,
    /// Memory for the bodies of requests.
    pub bodies: ingress::Pool,
    /// Acquires the claims of idempotency keys.
    pub keeper: K,
    /// The counters.
    pub metrics: Metrics,
    /// The number of the next request.
    pub next_request: AtomicU64,
}

/// A refusal, with the tier of the request if it is known.
struct Refused {
    tier: Option<id::Tier>,
    problem: Problem,
    /// Whether the body was not read to its end.
    is_unread: bool,
}

impl Refused {
    /// Refuses a request whose body was not read to its end.
    fn unread(problem: Problem) -> Self {
        Self {
            is_unread: true,
            ..Self::from(problem)
        }
    }
}

impl From<Problem> for Refused {
    fn from(problem: Problem) -> Self {
        Self {
            tier: None,
            problem,
            is_unread: false,
        }
    }
}

/// A request that has passed the filters before the claim.
struct Accepted {
    request: Request<Received>,
    class: Class,
    parts: Parts,
    body: Bytes,
    permit: Arc<Permit>,
}

impl<D, U, K> Chain<D, U, K>
where
    D: Handle + Unpin,
    U: Client,
    K: Keeper,
{
    /// Serves one request.
    pub async fn serve<B>(self: Arc<Self>, request: http::Request<B>) -> Response<Body>
    where
        B: http_body::Body<Data = Bytes> + Unpin + Send,
    {
        let id = id::Request(self.next_request.fetch_add(1, Ordering::Relaxed));
        let outcome = match self.accept(id, request).await {
            Ok(accepted) => Arc::clone(&self).run(accepted).await,
            Err(refused) => Err(refused),
        };
        match outcome {
            Ok(response) => response,
            Err(refused) => {
                let reason = refused.problem.reason();
                if !reason.is_after_dispatch() {
                    self.metrics.refused(refused.tier, reason);
                }
                let mut response = refused.problem.response(Some(id));
                if refused.is_unread {
                    response.extensions_mut().insert(Linger);
                }
                response
            }
        }
    }

    /// Reads a request and runs the filters that come before the claim.
    async fn accept<B>(
        &self,
        id: id::Request,
        request: http::Request<B>,
    ) -> Result<Accepted, Refused>
    where
        B: http_body::Body<Data = Bytes> + Unpin,
    {
        let received = self.clock.now();
        let (parts, mut body) = request.into_parts();
        // An earlier attempt with the same key may have run.
        let run_unknown = |problem: Problem| {
            if parts.headers.contains_key(idempotency::KEY_HEADER) {
                problem.run_unknown()
            } else {
                problem
            }
        };
        check_head(&parts, self.limits.head).map_err(run_unknown)?;
        let rules = self.rules().map_err(run_unknown)?;
        let workspace = authenticate::workspace(&rules, &parts.headers).map_err(run_unknown)?;
        let candidates =
            classify::candidates(&rules, &parts.method, &parts.uri).map_err(run_unknown)?;
        let run_unknown = |problem: Problem| {
            if candidates.all_idempotent() {
                problem
            } else {
                run_unknown(problem)
            }
        };
        let limits = &self.limits;
        let reading = read_body(&mut body, &self.bodies, limits.body, limits.body_timeout);
        let body = reading
            .await
            .map_err(run_unknown)
            .map_err(Refused::unread)?;
        let limit = rules.configuration.workspaces.get(&workspace);
        let limit = limit.and_then(|workspace| workspace.limit);
        let class = candidates
            .classify(&rules, workspace, &parts, &body, received)
            .map_err(run_unknown)?;
        let profile = Arc::clone(&class.profile);
        let permit = self.limiter.acquire(&profile.workspace, limit);
        let permit = permit.map_err(|problem| Refused {
            tier: Some(profile.tier),
            problem: if profile.idempotent {
                problem
            } else {
                run_unknown(problem)
            },
            is_unread: false,
        })?;
        Ok(Accepted {
            request: Request::new(id, profile),
            class,
            parts,
            body,
            permit: Arc::new(permit),
        })
    }

    /// Claims the key if the call needs it, then admits and dispatches the request
    /// and returns the response.
    async fn run(self: Arc<Self>, accepted: Accepted) -> Result<Response<Body>, Refused> {
        let Accepted {
            request,
            class,
            parts,
            body,
            permit,
        } = accepted;
        let id = request.id();
        let context = Context {
            permit,
            allowance: class.allowance,
        };
        let tier = Some(class.profile.tier);
        let refuse = |problem| Refused {
            tier,
            ..Refused::from(problem)
        };
        let key = idempotency::key(&parts.headers).map_err(refuse)?;
        let message = dispatch::message(parts, body, self.correlation_id(id));
        if class.profile.idempotent || (key.is_none() && class.unkeyed) {
            let claimed = request.claim();
            let running = dispatch::run(&self, claimed, Unclaimed, message, &context).await;
            let (running, _) = running.map_err(|error| refuse(problem(error)))?;
            if class.kind == configuration::Kind::Plain || is_streamed(&running.response) {
                return Ok(answer::forward(running, id));
            }
            let buffered = answer::buffer(running, &self.answers, self.limits.body, id).await;
            return buffered
                .map(|response| response.map(Body::full))
                .map_err(refuse);
        }
        let Some(key) = key else {
            let problem = Problem::not_run(
                &request.abandon(),
                StatusCode::BAD_REQUEST,
                Reason::NoKey,
                "the call is not idempotent; send it with an `idempotency-key` of its own",
            );
            return Err(refuse(problem));
        };
        // Spawned so that the call completes and its response is stored for replay
        // even if the caller disconnects.
        let running = tokio::spawn(idempotency::run(self, request, key, message, context));
        match running.await {
            Ok(outcome) => outcome.map_err(refuse),
            Err(_) => Err(refuse(dispatch::failure(Reason::Broken))),
        }
    }

    /// Returns the rules in force, or the refusal of a node without any.
    fn rules(&self) -> Result<Arc<Rules>, Problem> {
        self.rules.borrow().clone().ok_or_else(|| {
            Problem::before_dispatch(
                StatusCode::SERVICE_UNAVAILABLE,
                Reason::NoConfiguration,
                "this node has no configuration yet; send the request again",
            )
            .retry_after(CONFIGURATION_RETRY_AFTER)
        })
    }

    /// Returns an identifier of the request that is unique among the nodes.
    fn correlation_id(&self, id: id::Request) -> HeaderValue {
        let value = format!("{}-{id}", self.node);
        HeaderValue::try_from(value).unwrap_or_else(|_| HeaderValue::from(id.0))
    }
}

/// Returns the problem for a failed call that needs no claim, so that
/// [`Error::ClaimExpired`] does not occur.
fn problem(error: Error<Unclaimed>) -> Problem {
    match error {
        Error::Refused(refused, _) => Problem::refused(&refused.proof, refused.refusal),
        Error::ClaimExpired => dispatch::failure(Reason::Claimed),
        Error::Failed(problem) => problem,
    }
}

fn is_streamed<B>(response: &Response<B>) -> bool {
    answer::is_event_stream(response.headers())
}

/// Reads a whole body of at most `limit` bytes into a pool within a time limit.
///
/// # Errors
///
/// Fails if the body is incomplete, larger than the limit or late, or if there is no memory
/// for it.
pub async fn read_body<B>(
    body: &mut B,
    pool: &ingress::Pool,
    limit: usize,
    time_limit: Duration,
) -> Result<Bytes, Problem>
where
    B: http_body::Body<Data = Bytes> + Unpin,
{
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let mut content = pool.body(limit);
    content
        .check_length(body.size_hint().lower())
        .map_err(refusal)?;
    match timeout(time_limit, collect(body, &mut content)).await {
        Ok(outcome) => outcome?,
        Err(_) if content.is_waiting() => return Err(refusal(ingress::Refused::Capacity)),
        Err(_) => {
            return Err(Problem::before_dispatch(
                StatusCode::REQUEST_TIMEOUT,
                Reason::SlowSender,
                "the body did not arrive in time; send the request again",
            ));
        }
    }
    content.finish().map_err(refusal)
}

/// Reads a body to its end.
async fn collect<B>(body: &mut B, content: &mut ingress::Body) -> Result<(), Problem>
where
    B: http_body::Body<Data = Bytes> + Unpin,
{
    loop {
        let frame = tokio::select! {
            biased;
            () = content.refused() => return Err(refusal(ingress::Refused::Capacity)),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else {
            return Ok(());
        };
        let Ok(frame) = frame else {
            return Err(Problem::before_dispatch(
                StatusCode::BAD_REQUEST,
                Reason::Malformed,
                "the body broke off; send the request again",
            ));
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        content.append(&data).await.map_err(refusal)?;
    }
}

/// Returns the refusal of a body that was not read to its end.
fn refusal(refused: ingress::Refused) -> Problem {
    let (status, reason) = match refused {
        ingress::Refused::Limit(_) | ingress::Refused::Parts => {
            (StatusCode::PAYLOAD_TOO_LARGE, Reason::TooLarge)
        }
        ingress::Refused::Capacity => (StatusCode::SERVICE_UNAVAILABLE, Reason::NoMemory),
    };
    let problem = Problem::before_dispatch(status, reason, refused.to_string());
    match refused {
        ingress::Refused::Capacity => problem.retry_after(MEMORY_RETRY_AFTER),
        _ => problem,
    }
}

/// Checks that a request's head, written as HTTP/1.1, has at most `limit` bytes.
///
/// # Errors
///
/// Fails if the head is larger than the limit.
pub fn check_head(parts: &Parts, limit: usize) -> Result<(), Problem> {
    let target = parts
        .uri
        .path_and_query()
        .map_or(1, |target| target.as_str().len());
    let size = parts.method.as_str().len() + target + headers_size(&parts.headers);
    if size <= limit {
        return Ok(());
    }
    Err(Problem::before_dispatch(
        StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        Reason::TooLarge,
        format!("the head is over {limit} bytes; send fewer or shorter headers"),
    ))
}

fn headers_size(headers: &HeaderMap) -> usize {
    let mut size = 0;
    for (name, value) in headers {
        size += name.as_str().len() + value.len() + 4;
    }
    size
}

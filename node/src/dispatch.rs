//! Filter: sends an admitted request to its endpoint, at most once.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use dottereltally_lib::{
    event::{Event, Outcome},
    request::{Admitted, Claimed, Request},
};
use http::{
    HeaderMap, HeaderName, HeaderValue, Response, StatusCode,
    header::{
        ACCEPT_ENCODING, AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST,
        PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
    },
    request::Parts,
};
use http_body::Frame;
use http_body_util::{BodyExt, Full};
use tokio::time::{Instant, timeout_at};

use crate::{
    claim, classify,
    dispatcher::{Handle, Refused},
    filter::Chain,
    limit::Permit,
    problem::{Problem, Reason},
    stream::Limits,
    tracker::Tracker,
    upstream::{Broken, Client, Failure, Message, Reuse},
};

/// Header that correlates a response with its request.
pub const CORRELATION_HEADER: &str = "x-request-id";

/// Hop-by-hop headers (RFC 9110), which are not forwarded.
const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Request headers of the caller that are not forwarded to the endpoint; some of
/// them are set to new values.
const NOT_FORWARDED: [HeaderName; 8] = [
    AUTHORIZATION,
    ACCEPT_ENCODING,
    CONTENT_LENGTH,
    EXPECT,
    HOST,
    HeaderName::from_static(CORRELATION_HEADER),
    HeaderName::from_static(classify::TIER_HEADER),
    HeaderName::from_static(classify::DEADLINE_HEADER),
];

/// A dispatched request whose response has begun.
pub struct Running<B, D: Handle> {
    /// The head of the response and the rest of its body.
    pub response: Response<B>,
    /// The first frame of the body; none if the body is empty.
    pub first: Option<Frame<Bytes>>,
    /// Reports the progress and the end of the request.
    pub tracker: Tracker<D>,
    /// Time limits of the response.
    pub limits: Limits,
}

/// Properties of a request that all its dispatch attempts share.
#[derive(Debug)]
pub struct Context {
    /// Counts the request against the limit of its workspace.
    pub permit: Arc<Permit>,
    /// Time by which the inactivity limit is extended, for endpoints that send
    /// nothing until the whole response is computed.
    pub allowance: Duration,
}

/// Permission to send a call to an endpoint; each attempt consumes it.
pub trait Claim: Send {
    /// The claim after it was consumed.
    type Consumed: Send;

    /// Consumes the claim; returns none if it may have expired.
    fn consume(self) -> Option<Self::Consumed>;

    /// Restores the claim after an attempt that sent nothing, which the
    /// returned message proves.
    fn restore(consumed: Self::Consumed, unsent: &Message) -> Self;
}

/// Placeholder for the claim of a call that needs none.
#[derive(Clone, Copy, Debug)]
pub struct Unclaimed;

impl Claim for Unclaimed {
    type Consumed = Self;

    fn consume(self) -> Option<Self> {
        Some(self)
    }

    fn restore(consumed: Self, _unsent: &Message) -> Self {
        consumed
    }
}

impl Claim for claim::Held {
    type Consumed = claim::Dispatched;

    fn consume(self) -> Option<claim::Dispatched> {
        self.dispatch().ok()
    }

    fn restore(consumed: claim::Dispatched, unsent: &Message) -> Self {
        consumed.undo(unsent)
    }
}

/// Why a request got no response.
pub enum Error<C> {
    /// The core refused the request; nothing was sent.
    Refused(Refused, C),
    /// The claim may have expired; nothing was sent.
    ClaimExpired,
    /// The attempt failed; an endpoint may have run the request.
    Failed(Problem),
}

/// Removes the hop-by-hop headers, those named by `connection` included.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let mut named = Vec::new();
    for value in headers.get_all(CONNECTION) {
        for name in value.to_str().unwrap_or_default().split(',') {
            if let Ok(name) = name.trim().parse::<HeaderName>() {
                named.push(name);
            }
        }
    }
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Builds the request to the endpoint from the caller's request.
#[must_use]
pub fn message(mut parts: Parts, body: Bytes, correlation: HeaderValue) -> Message {
    strip_hop_by_hop(&mut parts.headers);
    for name in &NOT_FORWARDED {
        parts.headers.remove(name);
    }
    parts.headers.insert(CORRELATION_HEADER, correlation);
    let target = parts.uri.path_and_query().cloned();
    parts.uri = target.map_or_else(http::Uri::default, http::Uri::from);
    parts.version = http::Version::HTTP_11;
    parts.extensions.clear();
    Message::from_parts(parts, Full::new(body))
}

/// Waits for an endpoint and sends the request to it; repeats this while an
/// attempt has sent nothing.
///
/// # Errors
///
/// Fails if the core refuses the request, the claim may have expired or the
/// attempt fails before the response begins.
pub async fn run<D: Handle, U: Client, K, C: Claim>(
    chain: &Chain<D, U, K>,
    request: Request<Claimed>,
    mut claim: C,
    mut message: Message,
    context: &Context,
) -> Result<(Running<U::Body, D>, C::Consumed), Error<C>> {
    let mut admission = chain.dispatcher.admit(request).await;
    loop {
        let admitted = match admission {
            Ok(admitted) => admitted,
            Err(refused) => return Err(Error::Refused(refused, claim)),
        };
        let unsent = match attempt(chain, admitted, claim, message, context).await? {
            Attempt::Running(running, consumed) => return Ok((running, consumed)),
            Attempt::Unsent(unsent) => unsent,
        };
        claim = unsent.claim;
        message = unsent.message;
        admission = chain.dispatcher.readmit(unsent.request).await;
    }
}

/// Result of one attempt that did not fail.
enum Attempt<B, D: Handle, C: Claim> {
    Running(Running<B, D>, C::Consumed),
    Unsent(Unsent<C>),
}

/// A request of which nothing was sent, to be admitted again.
struct Unsent<C> {
    request: Request<Claimed>,
    claim: C,
    message: Message,
}

/// Makes the one attempt to send the request that its admission allows.
async fn attempt<D: Handle, U: Client, K, C: Claim>(
    chain: &Chain<D, U, K>,
    admitted: Request<Admitted>,
    claim: C,
    mut message: Message,
    context: &Context,
) -> Result<Attempt<U::Body, D, C>, Error<C>> {
    let Some(address) = (chain.resolve)(admitted.endpoint()) else {
        return Ok(Attempt::Unsent(Unsent {
            request: admitted.requeue(),
            claim,
            message,
        }));
    };
    if let Ok(host) = HeaderValue::from_str(&address) {
        message.headers_mut().insert(HOST, host);
    }
    let correlation = message.headers().get(CORRELATION_HEADER).cloned();
    let reuse = if admitted.profile().idempotent {
        Reuse::Idle
    } else {
        Reuse::Never
    };
    let Some(consumed) = claim.consume() else {
        chain
            .dispatcher
            .send(Event::Ended(admitted.id(), Outcome::Cancelled));
        return Err(Error::ClaimExpired);
    };
    let dispatched = admitted.dispatch();
    let mut tracker = Tracker::new(
        &dispatched,
        chain.dispatcher.clone(),
        chain.metrics.clone(),
        chain.clock,
        Arc::clone(&context.permit),
    );
    let limits = Limits {
        inactivity: chain.limits.inactivity + context.allowance,
        deadline: Instant::now() + tracker.remaining(),
    };
    let sending = chain.upstream.send(&address, message, reuse);
    let response = match timeout_at(limits.next_timeout(Instant::now()), sending).await {
        Ok(Ok(response)) => response,
        Ok(Err(Failure::Unsent { message, .. })) => {
            tracker.unsent();
            return Ok(Attempt::Unsent(Unsent {
                request: dispatched.undo(&*message),
                claim: C::restore(consumed, &message),
                message: *message,
            }));
        }
        Ok(Err(Failure::Broken(cause))) => return Err(broken(tracker, &cause)),
        Err(_) => return Err(timed_out(tracker, &limits)),
    };
    let echo = response.headers().get(CORRELATION_HEADER);
    if echo.is_some() && echo != correlation.as_ref() {
        return Err(mismatched(tracker));
    }
    let (parts, mut body) = response.into_parts();
    let first = match timeout_at(limits.next_timeout(Instant::now()), body.frame()).await {
        Ok(Some(Ok(frame))) => Some(frame),
        Ok(Some(Err(cause))) => return Err(broken(tracker, &cause)),
        Ok(None) => None,
        Err(_) => return Err(timed_out(tracker, &limits)),
    };
    tracker.start();
    let running = Running {
        response: Response::from_parts(parts, body),
        first,
        tracker,
        limits,
    };
    Ok(Attempt::Running(running, consumed))
}

/// Ends a request whose connection broke.
fn broken<D: Handle, C>(tracker: Tracker<D>, cause: &Broken) -> Error<C> {
    tracing::info!(request = %tracker.id(), %cause, "answer broke");
    tracker.broken();
    Error::Failed(failure(Reason::Broken))
}

/// Ends a request that reached its deadline or the inactivity limit.
fn timed_out<D: Handle, C>(tracker: Tracker<D>, limits: &Limits) -> Error<C> {
    let reason = limits.timeout_reason(Instant::now());
    match reason {
        Reason::DeadlinePassed => tracker.expired(),
        _ => tracker.stalled(),
    }
    Error::Failed(failure(reason))
}

/// Ends a request whose response carries the correlation header of another
/// request.
fn mismatched<D: Handle, C>(tracker: Tracker<D>) -> Error<C> {
    tracker.mismatched();
    Error::Failed(failure(Reason::Crossed))
}

/// Returns the problem for a request that failed after its dispatch; an endpoint
/// may have run it.
#[must_use]
pub fn failure(reason: Reason) -> Problem {
    let (status, detail) = match reason {
        Reason::DeadlinePassed => (
            StatusCode::GATEWAY_TIMEOUT,
            "the deadline passed before the answer came; allow more time",
        ),
        Reason::Stalled => (
            StatusCode::GATEWAY_TIMEOUT,
            "the endpoint fell silent; send the request again if it is idempotent",
        ),
        Reason::Crossed => (
            StatusCode::BAD_GATEWAY,
            "the endpoint answered another request; send this one again if it is idempotent",
        ),
        Reason::AnswerTooLarge => (
            StatusCode::BAD_GATEWAY,
            "the answer is larger than can be kept; ask for less, raise `limits.body`, or send the request again if it is idempotent",
        ),
        _ => (
            StatusCode::BAD_GATEWAY,
            "the connection to the endpoint broke; send the request again if it is idempotent",
        ),
    };
    Problem::may_have_run(status, reason, detail)
}

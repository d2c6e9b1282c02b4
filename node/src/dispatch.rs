//! Filter: hands an admitted request to its endpoint, at most once.

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
    flight::Flight,
    limit::Permit,
    problem::{Problem, Reason},
    stream::Limits,
    upstream::{Client, Failure, Message, Reuse},
};

/// Header that ties an answer to its request.
pub const CORRELATION: &str = "x-request-id";

/// Headers that end at this hop.
const HOP: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Headers of a request that endpoints don't get from the caller.
const OWN: [HeaderName; 8] = [
    AUTHORIZATION,
    ACCEPT_ENCODING,
    CONTENT_LENGTH,
    EXPECT,
    HOST,
    HeaderName::from_static(CORRELATION),
    HeaderName::from_static(classify::TIER),
    HeaderName::from_static(classify::DEADLINE),
];

/// An answer that has begun.
pub struct Running<B, D: Handle> {
    /// The answer's head and the rest of its body.
    pub response: Response<B>,
    /// The first frame of its body; none if it has no body.
    pub first: Option<Frame<Bytes>>,
    /// The request's course.
    pub flight: Flight<D>,
    /// Limits of the answer.
    pub limits: Limits,
}

/// What stays the same over the attempts to hand a request over.
#[derive(Debug)]
pub struct Job {
    /// The request's place in this node.
    pub permit: Arc<Permit>,
    /// Time that the endpoint may be silent beyond the inactivity limit,
    /// because it sends nothing before its whole answer is computed.
    pub allowance: Duration,
}

/// The right to run a call, which every hand-over spends.
pub trait Right: Send {
    /// The right after it was spent.
    type Spent: Send;

    /// Spends the right; none if it may have lapsed.
    fn spend(self) -> Option<Self::Spent>;

    /// Restores the right, because nothing was handed over.
    fn restore(spent: Self::Spent, unsent: &Message) -> Self;
}

/// The right to run a call that needs no claim.
#[derive(Clone, Copy, Debug)]
pub struct Free;

impl Right for Free {
    type Spent = Self;

    fn spend(self) -> Option<Self> {
        Some(self)
    }

    fn restore(spent: Self, _unsent: &Message) -> Self {
        spent
    }
}

impl Right for claim::Held {
    type Spent = claim::Dispatched;

    fn spend(self) -> Option<claim::Dispatched> {
        self.dispatch().ok()
    }

    fn restore(spent: claim::Dispatched, unsent: &Message) -> Self {
        spent.undo(unsent)
    }
}

/// Why there is no answer.
pub enum Ended<R> {
    /// The core refused; nothing was handed over.
    Refused(Refused, R),
    /// The right may have lapsed; nothing was handed over.
    Lapsed,
    /// An endpoint may have run the request.
    Lost(Problem),
}

/// Removes the headers that end at this hop.
pub fn strip_hop(headers: &mut HeaderMap) {
    let mut named = Vec::new();
    for value in headers.get_all(CONNECTION) {
        for name in value.to_str().unwrap_or_default().split(',') {
            if let Ok(name) = name.trim().parse::<HeaderName>() {
                named.push(name);
            }
        }
    }
    for name in named.iter().chain(&HOP) {
        headers.remove(name);
    }
}

/// Builds the message for an endpoint from a caller's request.
#[must_use]
pub fn message(mut parts: Parts, body: Bytes, correlation: HeaderValue) -> Message {
    strip_hop(&mut parts.headers);
    for name in &OWN {
        parts.headers.remove(name);
    }
    parts.headers.insert(CORRELATION, correlation);
    let target = parts.uri.path_and_query().cloned();
    parts.uri = target.map_or_else(http::Uri::default, http::Uri::from);
    parts.version = http::Version::HTTP_11;
    parts.extensions.clear();
    Message::from_parts(parts, Full::new(body))
}

/// Waits for an endpoint and hands the request to it.
///
/// # Errors
///
/// Fails if the core refuses, the right has lapsed or the endpoint gives no
/// answer.
pub async fn run<D: Handle, U: Client, K, R: Right>(
    chain: &Chain<D, U, K>,
    request: Request<Claimed>,
    mut right: R,
    mut message: Message,
    job: &Job,
) -> Result<(Running<U::Body, D>, R::Spent), Ended<R>> {
    let mut admission = chain.dispatcher.admit(request).await;
    loop {
        let admitted = match admission {
            Ok(admitted) => admitted,
            Err(refused) => return Err(Ended::Refused(refused, right)),
        };
        let unsent = match attempt(chain, admitted, right, message, job).await? {
            Attempt::Running(running, spent) => return Ok((running, spent)),
            Attempt::Unsent(unsent) => unsent,
        };
        right = unsent.right;
        message = unsent.message;
        admission = chain.dispatcher.readmit(unsent.request).await;
    }
}

enum Attempt<B, D: Handle, R: Right> {
    Running(Running<B, D>, R::Spent),
    Unsent(Unsent<R>),
}

/// A request of which nothing was handed over.
struct Unsent<R> {
    request: Request<Claimed>,
    right: R,
    message: Message,
}

/// Makes the one attempt that the admission allows.
async fn attempt<D: Handle, U: Client, K, R: Right>(
    chain: &Chain<D, U, K>,
    admitted: Request<Admitted>,
    right: R,
    mut message: Message,
    job: &Job,
) -> Result<Attempt<U::Body, D, R>, Ended<R>> {
    let Some(address) = (chain.resolve)(admitted.endpoint()) else {
        return Ok(Attempt::Unsent(Unsent {
            request: admitted.requeue(),
            right,
            message,
        }));
    };
    if let Ok(host) = HeaderValue::from_str(&address) {
        message.headers_mut().insert(HOST, host);
    }
    let correlation = message.headers().get(CORRELATION).cloned();
    let reuse = if admitted.profile().idempotent {
        Reuse::Idle
    } else {
        Reuse::Never
    };
    let Some(spent) = right.spend() else {
        chain
            .dispatcher
            .tell(Event::Ended(admitted.id(), Outcome::Cancelled));
        return Err(Ended::Lapsed);
    };
    let dispatched = admitted.dispatch();
    let mut flight = Flight::new(
        &dispatched,
        chain.dispatcher.clone(),
        chain.metrics.clone(),
        chain.clock,
        Arc::clone(&job.permit),
    );
    let limits = Limits {
        inactivity: chain.limits.inactivity + job.allowance,
        deadline: Instant::now() + flight.remaining(),
    };
    let sending = chain.upstream.send(&address, message, reuse);
    let response = match timeout_at(limits.next(Instant::now()), sending).await {
        Ok(Ok(response)) => response,
        Ok(Err(Failure::Unsent { message, .. })) => {
            flight.unsent();
            return Ok(Attempt::Unsent(Unsent {
                request: dispatched.undo(&*message),
                right: R::restore(spent, &message),
                message: *message,
            }));
        }
        Ok(Err(Failure::Broken(_))) => return Err(broken(flight)),
        Err(_) => return Err(silent(flight, &limits)),
    };
    let echo = response.headers().get(CORRELATION);
    if echo.is_some() && echo != correlation.as_ref() {
        return Err(crossed(flight));
    }
    let (parts, mut body) = response.into_parts();
    let first = match timeout_at(limits.next(Instant::now()), body.frame()).await {
        Ok(Some(Ok(frame))) => Some(frame),
        Ok(Some(Err(_))) => return Err(broken(flight)),
        Ok(None) => None,
        Err(_) => return Err(silent(flight, &limits)),
    };
    flight.start();
    let running = Running {
        response: Response::from_parts(parts, body),
        first,
        flight,
        limits,
    };
    Ok(Attempt::Running(running, spent))
}

fn broken<D: Handle, R>(flight: Flight<D>) -> Ended<R> {
    flight.broken();
    Ended::Lost(lost(Reason::Broken))
}

fn silent<D: Handle, R>(flight: Flight<D>, limits: &Limits) -> Ended<R> {
    let reason = limits.reason(Instant::now());
    match reason {
        Reason::DeadlinePassed => flight.expired(),
        _ => flight.stalled(),
    }
    Ended::Lost(lost(reason))
}

/// Discards the answer to another request.
fn crossed<D: Handle, R>(flight: Flight<D>) -> Ended<R> {
    flight.crossed();
    Ended::Lost(lost(Reason::Crossed))
}

/// Returns the failure of a request that an endpoint may have run.
#[must_use]
pub fn lost(reason: Reason) -> Problem {
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
            "the answer is over the limit that can be kept; ask for less or raise `limits.body`",
        ),
        _ => (
            StatusCode::BAD_GATEWAY,
            "the connection to the endpoint broke; send the request again if it is idempotent",
        ),
    };
    Problem::may_have_run(status, reason, detail)
}

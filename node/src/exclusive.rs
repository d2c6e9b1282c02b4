//! Filter: runs a non-idempotent call under the claim of its idempotency key.

use std::{future::Future, sync::Arc, time::Duration};

use bytes::Bytes;
use dottereltally_lib::{
    id,
    request::{Received, Request},
    time,
};
use http::{HeaderMap, HeaderValue, Response, StatusCode, header::CONTENT_TYPE};

use crate::{
    answer,
    body::Body,
    dispatch::{self, Ended},
    dispatcher::Handle,
    filter::Chain,
    limit::Permit,
    peer,
    problem::{Problem, Reason},
    server::REQUEST,
    upstream::{Client, Message},
};

/// Header that recognises a call that is sent again.
pub const KEY: &str = "idempotency-key";
/// Longest idempotency key, bytes.
const MAX_KEY_BYTES: usize = 256;
/// When to ask again for the answer of an attempt that runs.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What a claim is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scope {
    /// The caller's workspace.
    pub workspace: id::Workspace,
    /// The service.
    pub service: id::Service,
    /// The caller's idempotency key.
    pub key: String,
}

/// Why the right to run a call was not acquired.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lost {
    /// An earlier attempt has ended with this answer.
    Kept(peer::Response),
    /// Another attempt runs, or it may have run and its answer is lost.
    Busy,
    /// The key was used for another request.
    Mismatch,
    /// The key-value service can't be asked.
    Away,
}

/// Grants the right to run a call.
pub trait Keeper: Clone + Send + Sync + 'static {
    /// The right to run one call.
    type Held: Held;

    /// Acquires the right to run a call.
    ///
    /// # Errors
    ///
    /// Fails if another attempt had it or that is not known.
    fn acquire(
        &self,
        scope: Scope,
        fingerprint: id::Fingerprint,
        deadline: time::Instant,
    ) -> impl Future<Output = Result<Self::Held, Lost>> + Send;
}

/// The right to run one call.
pub trait Held: Send + 'static {
    /// Gives the right back; returns whether that is certain.
    fn release(self) -> impl Future<Output = bool> + Send;

    /// Keeps the answer for attempts with the same key.
    fn complete(self, response: peer::Response);

    /// Notes that the call may have run and its answer is lost.
    fn lose(self);
}

/// Returns the idempotency key of a request.
///
/// # Errors
///
/// Fails with 400 if it is unusable.
pub fn key(headers: &HeaderMap) -> Result<Option<String>, Problem> {
    let Some(value) = headers.get(KEY) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => Ok(Some(key.to_owned())),
        _ => Err(Problem::unread(
            StatusCode::BAD_REQUEST,
            Reason::Malformed,
            format!("`{KEY}` must be 1 to {MAX_KEY_BYTES} visible ASCII characters; correct it"),
        )),
    }
}

/// Runs a call whose key must be claimed first.
///
/// # Errors
///
/// Fails if the claim is lost, the core refuses or the answer is lost.
pub async fn run<D: Handle, U: Client, K: Keeper>(
    chain: Arc<Chain<D, U, K>>,
    request: Request<Received>,
    key: String,
    message: Message,
    permit: Arc<Permit>,
) -> Result<Response<Body>, Problem> {
    let id = request.id();
    let profile = Arc::clone(request.profile());
    let scope = Scope {
        workspace: profile.workspace.clone(),
        service: profile.service.clone(),
        key,
    };
    let acquiring = chain
        .keeper
        .acquire(scope, profile.fingerprint, profile.deadline);
    let held = match acquiring.await {
        Ok(held) => held,
        Err(Lost::Kept(response)) => {
            chain.metrics.replayed();
            return Ok(replay(response, id));
        }
        Err(lost) => return Err(explain(&lost)),
    };
    let running = match dispatch::run(&chain, request.claim(), message, &permit).await {
        Ok(running) => running,
        Err(Ended::Refused(refused)) => {
            let problem = Problem::refused(&refused.proof, refused.refusal);
            return Err(if held.release().await {
                problem
            } else {
                problem.unproved()
            });
        }
        Err(Ended::Lost(problem)) => {
            held.lose();
            return Err(problem);
        }
    };
    match answer::read_whole(running, chain.limits.body, id).await {
        Ok(response) => {
            held.complete(keep(&response));
            Ok(response.map(Body::full))
        }
        Err(problem) => {
            held.lose();
            Err(problem)
        }
    }
}

fn keep(response: &Response<Bytes>) -> peer::Response {
    let content_type = response.headers().get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    peer::Response {
        status: response.status().as_u16(),
        content_type: content_type.unwrap_or_default().to_owned(),
        body: response.body().to_vec(),
    }
}

fn replay(kept: peer::Response, request: id::Request) -> Response<Body> {
    let mut response = Response::new(Body::full(Bytes::from(kept.body)));
    *response.status_mut() = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    headers.insert(REQUEST, HeaderValue::from(request.0));
    if let Ok(value) = HeaderValue::try_from(kept.content_type)
        && !value.is_empty()
    {
        headers.insert(CONTENT_TYPE, value);
    }
    response
}

fn explain(lost: &Lost) -> Problem {
    match lost {
        Lost::Mismatch => Problem::may_have_run(
            StatusCode::UNPROCESSABLE_ENTITY,
            Reason::KeyMismatch,
            "the idempotency key was used for another request; use a new key for a new request",
        ),
        Lost::Away => Problem::may_have_run(
            StatusCode::SERVICE_UNAVAILABLE,
            Reason::Platform,
            "the key-value service can't be asked whether the call ran; send it again with the same key",
        )
        .retry_after(RETRY_AFTER),
        Lost::Kept(_) | Lost::Busy => Problem::may_have_run(
            StatusCode::CONFLICT,
            Reason::Claimed,
            "another attempt with the key runs or its answer is lost; send the call again with the same key, or ask the service whether it ran",
        )
        .retry_after(RETRY_AFTER),
    }
}

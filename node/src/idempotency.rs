//! Filter: runs a non-idempotent call while holding the claim of its
//! idempotency key.

use std::{future::Future, sync::Arc, time::Duration};

use bytes::Bytes;
use dottereltally_lib::{
    id,
    request::{Received, Request},
};
use dottereltally_store::kv::Store;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header::CONTENT_TYPE};
use tokio::time::Instant;

use crate::{
    answer,
    body::Body,
    claim::{self, Held, Rejection, Scope},
    dispatch::{self, Context, Error},
    dispatcher::Handle,
    filter::Chain,
    peer::{self, Peers},
    problem::{Problem, Reason},
    server::REQUEST_HEADER,
    upstream::{Client, Message},
};

/// Request header by which a repeated call is recognised.
pub const KEY_HEADER: &str = "idempotency-key";
/// Maximum length of an idempotency key, bytes.
const MAX_KEY_BYTES: usize = 256;
/// `retry-after` if another attempt may still be running.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Acquires claims.
pub trait Keeper: Clone + Send + Sync + 'static {
    /// Acquires the claim of a call.
    ///
    /// # Errors
    ///
    /// Fails with the state of the other attempt if one holds or held the
    /// claim, or if that is unknown.
    fn acquire(
        &self,
        scope: Scope,
        fingerprint: id::Fingerprint,
        deadline: Instant,
    ) -> impl Future<Output = Result<Held, Rejection>> + Send;
}

impl<S: Store, P: Peers> Keeper for claim::Keeper<S, P> {
    async fn acquire(
        &self,
        scope: Scope,
        fingerprint: id::Fingerprint,
        deadline: Instant,
    ) -> Result<Held, Rejection> {
        claim::Keeper::acquire(self, scope, fingerprint, deadline).await
    }
}

/// Returns the idempotency key of a request.
///
/// # Errors
///
/// Fails with 400 if it is invalid or given more than once.
pub fn key(headers: &HeaderMap) -> Result<Option<String>, Problem> {
    let mut values = headers.get_all(KEY_HEADER).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(key) if (1..=MAX_KEY_BYTES).contains(&key.len()) && values.next().is_none() => {
            Ok(Some(key.to_owned()))
        }
        _ => Err(Problem::may_have_run(
            StatusCode::BAD_REQUEST,
            Reason::Malformed,
            format!(
                "`{KEY_HEADER}` must be sent once, with 1 to {MAX_KEY_BYTES} visible ASCII characters; correct it"
            ),
        )),
    }
}

/// Claims the key of a call, runs the call and stores its response for replay.
///
/// # Errors
///
/// Fails if the claim is not acquired or expires before dispatch, the core
/// refuses the request, or there is no complete response within the size limit.
pub async fn run<D: Handle, U: Client, K: Keeper>(
    chain: Arc<Chain<D, U, K>>,
    request: Request<Received>,
    key: String,
    message: Message,
    context: Context,
) -> Result<Response<Body>, Problem> {
    let id = request.id();
    let profile = Arc::clone(request.profile());
    let scope = Scope {
        workspace: profile.workspace.clone(),
        service: profile.service.clone(),
        key,
    };
    let deadline = Instant::now() + profile.remaining(chain.clock.now());
    let acquiring = chain.keeper.acquire(scope, profile.fingerprint, deadline);
    let held = match acquiring.await {
        Ok(held) => held,
        Err(Rejection::Replay(response)) => return Ok(replay(response, id)),
        Err(rejection) => return Err(claim_problem(&rejection)),
    };
    let running = dispatch::run(&chain, request.claim(), held, message, &context).await;
    let (running, dispatched) = match running {
        Ok(running) => running,
        Err(Error::Refused(refused, held)) => {
            let problem = Problem::refused(&refused.proof, refused.refusal);
            return Err(match held.release().await {
                Ok(()) => problem,
                Err(_) => problem.run_unknown(),
            });
        }
        Err(Error::ClaimExpired) => return Err(claim_expired()),
        Err(Error::Failed(problem)) => return Err(problem),
    };
    let response = answer::buffer(running, &chain.answers, chain.limits.body, id).await?;
    dispatched.complete(to_stored(&response));
    Ok(response.map(Body::full))
}

fn claim_expired() -> Problem {
    Problem::may_have_run(
        StatusCode::CONFLICT,
        Reason::Claimed,
        "the claim was held for too long to rely on it; send the call again with the same key",
    )
    .retry_after(RETRY_AFTER)
}

/// Converts a response to the form that is stored for replay.
fn to_stored(response: &Response<Bytes>) -> peer::Response {
    let content_type = response.headers().get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    peer::Response {
        status: response.status().as_u16(),
        content_type: content_type.unwrap_or_default().to_owned(),
        body: response.body().to_vec(),
    }
}

/// Builds the response to a repeated call from the stored one.
fn replay(stored: peer::Response, request: id::Request) -> Response<Body> {
    let mut response = Response::new(Body::full(Bytes::from(stored.body)));
    *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    headers.insert(REQUEST_HEADER, HeaderValue::from(request.0));
    if let Ok(value) = HeaderValue::try_from(stored.content_type)
        && !value.is_empty()
    {
        headers.insert(CONTENT_TYPE, value);
    }
    response
}

/// Returns the problem for a call whose claim was not acquired.
fn claim_problem(rejection: &Rejection) -> Problem {
    let (status, reason, delay) = match rejection {
        Rejection::Mismatch => (StatusCode::UNPROCESSABLE_ENTITY, Reason::KeyMismatch, None),
        Rejection::Unavailable { retry_after } => (
            StatusCode::SERVICE_UNAVAILABLE,
            Reason::Platform,
            Some(*retry_after),
        ),
        Rejection::Running { retry_after } => {
            (StatusCode::CONFLICT, Reason::Claimed, Some(*retry_after))
        }
        Rejection::Unknown { retry_after } => (StatusCode::CONFLICT, Reason::Claimed, *retry_after),
        Rejection::Replay(_) => (StatusCode::CONFLICT, Reason::Claimed, Some(RETRY_AFTER)),
    };
    let problem = Problem::may_have_run(status, reason, rejection.to_string());
    match delay {
        Some(delay) => problem.retry_after(delay),
        None => problem,
    }
}

//! Filter: runs a non-idempotent call under the claim of its idempotency key.

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
    claim::{self, Held, Lost, Scope},
    dispatch::{self, Ended, Job},
    dispatcher::Handle,
    filter::Chain,
    peer::{self, Peers},
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

/// Takes claims.
pub trait Keeper: Clone + Send + Sync + 'static {
    /// Takes the claim of a call, or returns what became of the attempt that
    /// holds it.
    ///
    /// # Errors
    ///
    /// Fails if another attempt holds or held it or that is not known.
    fn acquire(
        &self,
        scope: Scope,
        fingerprint: id::Fingerprint,
        deadline: Instant,
    ) -> impl Future<Output = Result<Held, Lost>> + Send;
}

impl<S: Store, P: Peers> Keeper for claim::Keeper<S, P> {
    async fn acquire(
        &self,
        scope: Scope,
        fingerprint: id::Fingerprint,
        deadline: Instant,
    ) -> Result<Held, Lost> {
        claim::Keeper::acquire(self, scope, fingerprint, deadline).await
    }
}

/// Returns the idempotency key of a request.
///
/// # Errors
///
/// Fails with 400 if it is unusable.
pub fn key(headers: &HeaderMap) -> Result<Option<String>, Problem> {
    let mut values = headers.get_all(KEY).iter();
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
                "`{KEY}` must be sent once, with 1 to {MAX_KEY_BYTES} visible ASCII characters; correct it"
            ),
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
    job: Job,
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
        Err(Lost::Replay(response)) => return Ok(replay(response, id)),
        Err(lost) => return Err(explain(&lost)),
    };
    let running = dispatch::run(&chain, request.claim(), held, message, &job).await;
    let (running, spent) = match running {
        Ok(running) => running,
        Err(Ended::Refused(refused, held)) => {
            let problem = Problem::refused(&refused.proof, refused.refusal);
            return Err(match held.release().await {
                Ok(()) => problem,
                Err(_) => problem.unproved(),
            });
        }
        Err(Ended::Lapsed) => return Err(lapsed()),
        Err(Ended::Lost(problem)) => return Err(problem),
    };
    let response = answer::read_whole(running, chain.limits.body, id).await?;
    spent.complete(keep(&response));
    Ok(response.map(Body::full))
}

fn lapsed() -> Problem {
    Problem::may_have_run(
        StatusCode::CONFLICT,
        Reason::Claimed,
        "the claim was held for too long to rely on it; send the call again with the same key",
    )
    .retry_after(RETRY_AFTER)
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

/// Returns the refusal of a call whose claim was lost.
fn explain(lost: &Lost) -> Problem {
    let (status, reason, delay) = match lost {
        Lost::Mismatch => (StatusCode::UNPROCESSABLE_ENTITY, Reason::KeyMismatch, None),
        Lost::Away { retry_after } => (
            StatusCode::SERVICE_UNAVAILABLE,
            Reason::Platform,
            Some(*retry_after),
        ),
        Lost::Running { retry_after } => {
            (StatusCode::CONFLICT, Reason::Claimed, Some(*retry_after))
        }
        Lost::Unknown { retry_after } => (StatusCode::CONFLICT, Reason::Claimed, *retry_after),
        Lost::Replay(_) => (StatusCode::CONFLICT, Reason::Claimed, Some(RETRY_AFTER)),
    };
    let problem = Problem::may_have_run(status, reason, lost.to_string());
    match delay {
        Some(delay) => problem.retry_after(delay),
        None => problem,
    }
}

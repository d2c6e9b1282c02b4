//! Sends a request to one endpoint.

use std::time::Duration;

use bytes::Bytes;
use dottereltally::{
    answer::is_event_stream,
    dispatch::strip_hop_by_hop,
    pool,
    upstream::{Client, Failure, Message, Reuse},
};
use dottereltally_lib::{
    dispatcher::{Choice, Outcome},
    id,
    route::{Retry, Route},
};
use http::{
    HeaderMap, Method, Request, Response, StatusCode, Uri, Version,
    header::{CONTENT_ENCODING, CONTENT_LENGTH},
    request, response,
};
use http_body_util::{BodyExt, Full, Limited};
use tokio::time::{Instant, timeout_at};

use crate::{
    admission::Permit,
    chain::{Chain, Job, end_to_end_headers},
    crashes::Flight,
    dialect::{Dialect, Forward, Head},
    events::{Batch, Splitter},
};

/// Largest answer that is buffered.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Added to three times the expected time to the first event; a resumable
/// stream that takes longer is sent to another endpoint.
const FIRST_EVENT_SLACK: Duration = Duration::from_millis(900);

/// The parts of a request that are the same for every endpoint.
pub struct Template {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    head: Head,
    workspace: Option<id::Workspace>,
    keys_required: bool,
}

impl Template {
    /// Builds a template from a caller's request; `keys_required` is true if
    /// callers need keys.
    #[must_use]
    pub fn new(
        parts: request::Parts,
        body: Bytes,
        head: Head,
        workspace: Option<id::Workspace>,
        keys_required: bool,
    ) -> Self {
        let mut headers = end_to_end_headers(parts.headers);
        headers.remove(CONTENT_LENGTH);
        let target = parts.uri.path_and_query().cloned();
        Self {
            method: parts.method,
            uri: target.map_or_else(Uri::default, Uri::from),
            headers,
            body,
            head,
            workspace,
            keys_required,
        }
    }

    /// Returns the id of the last event that the caller already has.
    #[must_use]
    pub fn last_event_id(&self) -> Option<u64> {
        self.head.last_event_id
    }

    /// Builds the message to an endpoint; a resumed stream continues
    /// after `last_event_id`.
    fn message(
        &self,
        dialect: &impl Dialect,
        endpoint: &id::Endpoint,
        remaining: Duration,
        last_event_id: Option<u64>,
    ) -> Message {
        let forward = Forward {
            remaining,
            endpoint,
            workspace: self.workspace.as_ref(),
            keys_required: self.keys_required,
            last_event_id: last_event_id.or(self.head.last_event_id),
        };
        let mut message = Request::new(Full::new(self.body.clone()));
        *message.method_mut() = self.method.clone();
        *message.uri_mut() = self.uri.clone();
        *message.version_mut() = Version::HTTP_11;
        *message.headers_mut() = dialect.forward(&self.headers, &forward);
        message
    }
}

/// An answer that was read to its end.
pub struct Buffered {
    /// Its status and headers.
    pub parts: response::Parts,
    /// Its body.
    pub body: Bytes,
}

/// A stream whose first events have arrived.
pub struct Stream {
    /// Its status and headers.
    pub parts: response::Parts,
    /// The first events.
    pub first: Batch,
    /// The rest of the stream.
    pub body: pool::Body,
    /// Splits the stream into events; buffers the start of an unfinished one.
    pub splitter: Splitter,
    /// The permit, not yet ended.
    pub permit: Permit,
}

/// The result of a send.
pub enum Attempt {
    /// The endpoint could not be reached; nothing was sent.
    Unsent {
        /// The permit, not yet ended.
        permit: Permit,
        /// What went wrong.
        cause: String,
    },
    /// The endpoint reported that it did not run the request.
    Rejected {
        /// The permit, not yet ended.
        permit: Permit,
        /// The status of its answer.
        status: StatusCode,
    },
    /// The endpoint may have run the request but gave no usable answer.
    Broken {
        /// The permit, not yet ended.
        permit: Permit,
        /// What went wrong.
        cause: String,
    },
    /// The deadline passed.
    Expired {
        /// The permit, not yet ended.
        permit: Permit,
    },
    /// The endpoint answered with a server error.
    Failed {
        /// The permit, not yet ended.
        permit: Permit,
        /// Its answer.
        answer: Box<Buffered>,
    },
    /// The endpoint gave any other complete answer.
    Answered {
        /// The permit, not yet ended.
        permit: Permit,
        /// Its answer.
        answer: Box<Buffered>,
    },
    /// The endpoint started a stream.
    Stream(Box<Stream>),
}

impl Attempt {
    /// Returns the name of the failure in metrics and the log, if it is one.
    #[must_use]
    pub fn failure(&self) -> Option<&'static str> {
        match self {
            Self::Unsent { .. } => Some("unreachable"),
            Self::Rejected { .. } => Some("rejected"),
            Self::Broken { .. } => Some("broken"),
            Self::Expired { .. } => Some("expired"),
            Self::Failed { .. } => Some("failed"),
            Self::Answered { .. } | Self::Stream(_) => None,
        }
    }

    /// Returns what went wrong, for the log.
    #[must_use]
    pub fn cause(&self) -> &str {
        match self {
            Self::Unsent { cause, .. } | Self::Broken { cause, .. } => cause,
            Self::Rejected { status, .. } => status.canonical_reason().unwrap_or_default(),
            Self::Failed { answer, .. } => {
                answer.parts.status.canonical_reason().unwrap_or_default()
            }
            Self::Expired { .. } | Self::Answered { .. } | Self::Stream(_) => "",
        }
    }
}

/// Returns the outcome of a rejection with this status, for the dispatcher.
#[must_use]
pub fn rejection_outcome(status: StatusCode) -> Outcome {
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Outcome::Misdirected;
    }
    Outcome::Rejected
}

/// Sends a request to the chosen endpoint and waits for its complete answer, or
/// for the first events of its stream.
pub async fn send<D: Dialect>(
    chain: &Chain<D>,
    job: &Job,
    choice: &Choice,
    last_event_id: Option<u64>,
    permit: Permit,
    flight: &Flight,
) -> Attempt {
    let now = chain.clock.now();
    let remaining = job.deadline.since(now);
    tracing::info!(
        id = job.correlation_id,
        route = %job.route.name,
        service = %job.service,
        tier = job.tier.0,
        workspace = job.workspace.as_ref().map(id::Workspace::as_str),
        prompt = job.tokens.0,
        output = job.tokens.1,
        endpoint = %choice.endpoint,
        version = choice.version.as_ref().map(id::Version::as_str),
        own = choice.own_requests,
        others = choice.other_requests,
        places = choice.capacity,
        waiting = choice.waiting,
        delegated = permit.is_delegated(),
        expected_ms = crate::chain::millis(choice.expected_first_byte),
        waited_ms = crate::chain::millis(now.since(job.received)),
        left_ms = crate::chain::millis(remaining),
        after = last_event_id,
        "request sent"
    );
    let message = job
        .template
        .message(&chain.dialect, &choice.endpoint, remaining, last_event_id);
    let deadline = Instant::now() + remaining;
    let first_event_deadline = match first_event_timeout(&job.route, choice) {
        Some(first) => deadline.min(Instant::now() + first),
        None => deadline,
    };
    let sending = chain.upstream.send(&choice.address, message, Reuse::Idle);
    let response = match timeout_at(first_event_deadline, sending).await {
        Ok(Ok(response)) => response,
        Ok(Err(Failure::Unsent { cause, .. })) => return Attempt::Unsent { permit, cause },
        Ok(Err(Failure::Broken(broken))) => {
            let cause = broken.cause;
            return Attempt::Broken { permit, cause };
        }
        Err(_) => return first_event_overdue(permit, deadline),
    };
    flight.record_heard();
    read_answer(
        chain,
        job,
        choice,
        response,
        permit,
        (first_event_deadline, deadline),
    )
    .await
}

/// Returns the time limit for the first event of a stream that may be resumed
/// at another endpoint; `None` for other requests.
fn first_event_timeout(route: &Route, choice: &Choice) -> Option<Duration> {
    let resumable = route.retry == Retry::Resume && route.attempts > 1;
    resumable.then(|| choice.expected_first_byte * 3 + FIRST_EVENT_SLACK)
}

/// Returns the result of an attempt whose first event did not arrive in time:
/// `Expired` if the request's deadline passed, otherwise `Broken`, after which
/// another endpoint may be tried.
fn first_event_overdue(permit: Permit, deadline: Instant) -> Attempt {
    if Instant::now() >= deadline {
        return Attempt::Expired { permit };
    }
    let cause = "no first event in the expected time".to_owned();
    Attempt::Broken { permit, cause }
}

async fn read_answer<D: Dialect>(
    chain: &Chain<D>,
    job: &Job,
    choice: &Choice,
    response: Response<pool::Body>,
    permit: Permit,
    (first_event_deadline, deadline): (Instant, Instant),
) -> Attempt {
    let (mut parts, body) = response.into_parts();
    let head = chain.dialect.read_answer(&parts.headers);
    if let Some((running, waiting)) = head.load {
        chain.admission.apply(|dispatcher, now| {
            dispatcher.record_endpoint_load(now, &choice.endpoint, running, waiting);
            Vec::new()
        });
    }
    if head.not_run || parts.status == StatusCode::MISDIRECTED_REQUEST {
        let status = parts.status;
        return Attempt::Rejected { permit, status };
    }
    let broken = |permit, cause: &str| Attempt::Broken {
        permit,
        cause: cause.to_owned(),
    };
    if head.correlation_id.as_deref() != Some(job.correlation_id.as_str()) {
        return broken(permit, "the answer belongs to another request");
    }
    let success = parts.status.is_success();
    if success && !head.sealed {
        return broken(permit, "the answer is not sealed by the endpoint");
    }
    if parts.headers.contains_key(CONTENT_ENCODING) {
        return broken(permit, "the answer has a content encoding");
    }
    strip_hop_by_hop(&mut parts.headers);
    if success && job.route.streaming && is_event_stream(&parts.headers) {
        parts.headers.remove(CONTENT_LENGTH);
        let attempt =
            read_first_events(parts, body, permit, (first_event_deadline, deadline)).await;
        return check_version(chain, job, choice, attempt);
    }
    let receiving = Limited::new(body, MAX_ANSWER_BYTES).collect();
    let body = match timeout_at(deadline, receiving).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => {
            let cause = error.to_string();
            return Attempt::Broken { permit, cause };
        }
        Err(_) => return Attempt::Expired { permit },
    };
    let answer = Box::new(Buffered { parts, body });
    if answer.parts.status.is_server_error() {
        return Attempt::Failed { permit, answer };
    }
    Attempt::Answered { permit, answer }
}

/// Returns a stream as broken if it continues one that another version began: the
/// endpoint may have started again with another version since it was chosen.
fn check_version<D: Dialect>(
    chain: &Chain<D>,
    job: &Job,
    choice: &Choice,
    attempt: Attempt,
) -> Attempt {
    let Attempt::Stream(stream) = attempt else {
        return attempt;
    };
    let listed = chain.listed_version(&choice.endpoint);
    if job.version.is_none() || job.version == listed {
        return Attempt::Stream(stream);
    }
    let listed = listed.unwrap_or_default();
    Attempt::Broken {
        permit: stream.permit,
        cause: format!("the endpoint is listed with version `{listed}` now"),
    }
}

async fn read_first_events(
    parts: response::Parts,
    mut body: pool::Body,
    permit: Permit,
    (first_event_deadline, deadline): (Instant, Instant),
) -> Attempt {
    let mut splitter = Splitter::default();
    loop {
        let frame = match timeout_at(first_event_deadline, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => {
                let cause = error.cause;
                return Attempt::Broken { permit, cause };
            }
            Ok(None) => {
                let cause = "the stream ended before its first event".to_owned();
                return Attempt::Broken { permit, cause };
            }
            Err(_) => return first_event_overdue(permit, deadline),
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        match splitter.feed(data) {
            Ok(Some(first)) => {
                permit.record_first_byte();
                return Attempt::Stream(Box::new(Stream {
                    parts,
                    first,
                    body,
                    splitter,
                    permit,
                }));
            }
            Ok(None) => {}
            Err(error) => {
                let cause = error.to_string();
                return Attempt::Broken { permit, cause };
            }
        }
    }
}

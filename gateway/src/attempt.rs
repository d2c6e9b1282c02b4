//! Sends a request to one endpoint.

use std::{pin::pin, time::Duration};

use bytes::Bytes;
use derive_more::From;
use dottereltally::{
    answer::is_event_stream,
    dispatch::strip_hop_by_hop,
    pool,
    upstream::{Failure, Message},
};
use dottereltally_lib::{
    dispatcher::{Choice, Outcome, Timing},
    id,
    notice::Notice,
};
use dottereltally_store::{buffer, inbound::MAX_INTERIM_ANSWERS};
use http::{
    HeaderMap, Method, Request, Response, StatusCode, Uri, Version,
    header::{CONTENT_ENCODING, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING},
    request, response,
};
use http_body::Body as _;
use http_body_util::{BodyExt, Full};
use tokio::{
    sync::mpsc,
    time::{Instant, timeout_at},
};

use crate::{
    chain::Chain,
    dialect::{Dialect, Forward, Head},
    events::{Batch, Splitter},
    job::Job,
    paths::Paths,
};

/// Largest answer that is buffered.
const MAX_ANSWER_BYTES: usize = 16 << 20;

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
    /// Whether its end showed in other ways than by the end of the connection.
    pub is_delimited: bool,
}

impl Buffered {
    /// Returns whether it is a success that is complete only if its endpoint lives.
    #[must_use]
    pub fn is_unconfirmed_success(&self) -> bool {
        !self.is_delimited && self.parts.status.is_success()
    }
}

/// A stream whose first events have arrived.
pub struct Stream {
    /// Its status and headers.
    pub parts: response::Parts,
    /// The first events.
    pub first: Batch,
    /// The rest of the stream.
    pub body: pool::Body,
    /// Whether its end shows in other ways than by the end of the connection.
    pub is_delimited: bool,
    /// Splits the stream into events; buffers the start of an unfinished one.
    pub splitter: Splitter,
}

/// The result of a send.
#[derive(From)]
pub enum Attempt {
    /// The endpoint started a stream.
    Stream(Box<Stream>),
    /// The attempt ended without a stream.
    Ended(End),
}

/// How an attempt ended that started no stream.
pub enum End {
    /// The endpoint could not be reached; nothing was sent.
    Unsent {
        /// What went wrong.
        cause: String,
    },
    /// The endpoint reported that it did not run the request.
    Rejected {
        /// The status of its answer.
        status: StatusCode,
    },
    /// The endpoint may have run the request but gave no usable answer.
    Broken {
        /// What went wrong.
        cause: String,
    },
    /// The deadline passed.
    Expired,
    /// The endpoint answered with a server error.
    Failed {
        /// Its answer.
        answer: Box<Buffered>,
    },
    /// The endpoint gave any other complete answer.
    Answered {
        /// Its answer.
        answer: Box<Buffered>,
    },
}

impl End {
    /// Returns the name of the failure in metrics and the log, if it is one.
    #[must_use]
    pub fn failure(&self) -> Option<&'static str> {
        match self {
            Self::Unsent { .. } => Some("unreachable"),
            Self::Rejected { .. } => Some("rejected"),
            Self::Broken { .. } => Some("broken"),
            Self::Expired => Some("expired"),
            Self::Failed { .. } => Some("failed"),
            Self::Answered { .. } => None,
        }
    }

    /// Returns the attempt as a failure if its answer is of no use.
    #[must_use]
    pub fn into_failure(self) -> Self {
        match self {
            Self::Answered { answer } => Self::Failed { answer },
            other => other,
        }
    }

    /// Returns how the attempt ended, for the dispatcher.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Unsent { .. } => Outcome::Unreachable,
            Self::Rejected { status } if *status == StatusCode::MISDIRECTED_REQUEST => {
                Outcome::Misdirected
            }
            Self::Rejected { .. } => Outcome::Rejected,
            Self::Broken { .. } => Outcome::Broken,
            Self::Expired => Outcome::Cancelled,
            Self::Failed { .. } => Outcome::Failed,
            Self::Answered { .. } => Outcome::Answered(Timing::default()),
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
            Self::Expired | Self::Answered { .. } => "",
        }
    }
}

/// Sends a request to the chosen endpoint and waits for its complete answer, or
/// for the first events of its stream; a resumed stream continues after
/// `last_event_id`.
///
/// Dropping the future cancels the request at the endpoint.
pub async fn send<D: Dialect>(
    chain: &Chain<D>,
    job: &Job,
    choice: Choice,
    is_delegated: bool,
    connection: pool::Ready,
    last_event_id: Option<u64>,
) -> Attempt {
    let now = chain.clock.now();
    let end = chain
        .end()
        .map_or(job.deadline, |end| end.min(job.deadline));
    let remaining = end.since(now);
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
        delegated = is_delegated,
        expected_ms = crate::logging::millis(choice.expected_first_byte),
        waited_ms = crate::logging::millis(now.since(job.received)),
        left_ms = crate::logging::millis(remaining),
        after = last_event_id,
        via = Paths::carrier(&connection),
        "request sent"
    );
    let message = job
        .template
        .message(&chain.dialect, &choice.endpoint, remaining, last_event_id);
    let (heads, interim) = mpsc::channel(MAX_INTERIM_ANSWERS);
    let interim = Interim(interim);
    let deadline = Instant::now() + remaining;
    let is_direct = Paths::carrier(&connection).is_none();
    let sending = connection.send_watched(message, move |status, headers| {
        // The request may have ended in the meantime.
        let _ended = heads.try_send((status, headers.clone()));
    });
    let sending = interim.record_until(chain, &choice, sending);
    let response = match timeout_at(deadline, sending).await {
        Ok(Ok(response)) => response,
        Ok(Err(Failure::Unsent { cause, .. })) => return End::Unsent { cause }.into(),
        Ok(Err(Failure::Broken(broken))) => {
            let cause = broken.cause;
            return End::Broken { cause }.into();
        }
        Err(_) => return End::Expired.into(),
    };
    if is_direct {
        chain.paths.record_direct();
    }
    chain
        .crashes
        .record_heard(&choice.endpoint, &choice.data_centre);
    let last_event_id = last_event_id.or(job.template.last_event_id());
    read_answer(chain, job, &choice, response, last_event_id, deadline).await
}

/// Returns whether an answer comes from the endpoint that the request was sent to, and
/// not from another one at its address.
fn is_from(endpoint: &id::Endpoint, status: StatusCode, named: Option<&id::Endpoint>) -> bool {
    status != StatusCode::MISDIRECTED_REQUEST && named.is_none_or(|named| named == endpoint)
}

/// The interim answers to one request.
struct Interim(mpsc::Receiver<(StatusCode, HeaderMap)>);

impl Interim {
    /// Records what the endpoint says in interim answers until `answering` ends.
    async fn record_until<D: Dialect, T>(
        mut self,
        chain: &Chain<D>,
        choice: &Choice,
        answering: impl Future<Output = T>,
    ) -> T {
        let mut answering = pin!(answering);
        loop {
            tokio::select! {
                biased;
                Some((status, headers)) = self.0.recv() => {
                    let head = chain.dialect.read_answer(status, &headers);
                    let is_own = is_from(&choice.endpoint, status, head.endpoint.as_ref());
                    // Only the final answer shows what the endpoint does not say any more.
                    if is_own && head.notice != Notice::default() {
                        chain.record_notice(&choice.endpoint, &head.notice);
                    }
                }
                answer = &mut answering => return answer,
            }
        }
    }
}

async fn read_answer<D: Dialect>(
    chain: &Chain<D>,
    job: &Job,
    choice: &Choice,
    response: Response<pool::Body>,
    last_event_id: Option<u64>,
    deadline: Instant,
) -> Attempt {
    let (mut parts, body) = response.into_parts();
    let head = chain.dialect.read_answer(parts.status, &parts.headers);
    let broken = |cause: &str| {
        End::Broken {
            cause: cause.to_owned(),
        }
        .into()
    };
    // An endpoint may write an answer twice, the second time in place of the next one.
    // Dropping the body closes the connection.
    if head.correlation_id.as_deref() != Some(job.correlation_id.as_str()) {
        return broken("the answer belongs to another request");
    }
    chain.record_limit(&choice.endpoint, head.limit);
    if is_from(&choice.endpoint, parts.status, head.endpoint.as_ref()) {
        chain.record_notice(&choice.endpoint, &head.notice);
    }
    chain.record_load(&choice.endpoint, head.load);
    if head.not_run || parts.status == StatusCode::MISDIRECTED_REQUEST {
        let status = parts.status;
        return End::Rejected { status }.into();
    }
    let success = parts.status.is_success();
    if success && !head.sealed {
        return broken("the answer is not sealed by the endpoint");
    }
    if parts.headers.contains_key(CONTENT_ENCODING) {
        return broken("the answer has a content encoding");
    }
    let is_delimited = is_delimited(&parts.headers, &body);
    strip_hop_by_hop(&mut parts.headers);
    if success && job.route.streaming && is_event_stream(&parts.headers) {
        parts.headers.remove(CONTENT_LENGTH);
        let splitter = Splitter::new(&chain.answers);
        let reading = read_first_events(parts, body, splitter, last_event_id, deadline);
        let mut attempt = reading.await;
        if let Attempt::Stream(stream) = &mut attempt {
            stream.is_delimited = is_delimited;
        }
        return check_version(chain, job, choice, attempt);
    }
    let buffer = buffer::Answer::new(chain.answers.reserve(MAX_ANSWER_BYTES));
    let body = match timeout_at(deadline, read_body(body, buffer)).await {
        Ok(Ok(body)) => body,
        Ok(Err(cause)) => return End::Broken { cause }.into(),
        Err(_) => return End::Expired.into(),
    };
    let answer = Box::new(Buffered {
        parts,
        body,
        is_delimited,
    });
    if answer.parts.status.is_server_error() {
        return End::Failed { answer }.into();
    }
    End::Answered { answer }.into()
}

/// Returns whether the end of a body shows in other ways than by the end of its
/// connection, which also ends if the endpoint dies.
fn is_delimited(headers: &HeaderMap, body: &pool::Body) -> bool {
    headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING)
        || body.is_end_stream()
}

/// Reads a whole body; fails with the cause if it breaks or is too large.
async fn read_body(mut body: pool::Body, mut buffer: buffer::Answer) -> Result<Bytes, String> {
    let full = |error: buffer::Full| error.to_string();
    buffer
        .check_length(body.size_hint().lower())
        .map_err(full)?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| error.to_string())?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        buffer.append(data).map_err(full)?;
    }
    Ok(buffer.finish())
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
    let cause = format!("the endpoint is listed with version `{listed}` now");
    End::Broken { cause }.into()
}

async fn read_first_events(
    parts: response::Parts,
    mut body: pool::Body,
    mut splitter: Splitter,
    last_event_id: Option<u64>,
    deadline: Instant,
) -> Attempt {
    loop {
        let frame = match timeout_at(deadline, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => {
                let cause = error.cause;
                return End::Broken { cause }.into();
            }
            Ok(None) => {
                let cause = "the stream ended before its first event".to_owned();
                return End::Broken { cause }.into();
            }
            Err(_) => return End::Expired.into(),
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        match splitter.feed(data) {
            Ok(Some(first)) => {
                if let Some(last) = last_event_id
                    && let Err(error) = first.check_resumes(last)
                {
                    let cause = error.to_string();
                    return End::Broken { cause }.into();
                }
                return Attempt::Stream(Box::new(Stream {
                    parts,
                    first,
                    body,
                    splitter,
                    is_delimited: false,
                }));
            }
            Ok(None) => {}
            Err(error) => {
                let cause = error.to_string();
                return End::Broken { cause }.into();
            }
        }
    }
}

/// Returns the headers of a request that are forwarded: without hop-by-hop
/// headers and `Expect`.
#[must_use]
pub fn end_to_end_headers(mut headers: HeaderMap) -> HeaderMap {
    strip_hop_by_hop(&mut headers);
    headers.remove(EXPECT);
    headers
}

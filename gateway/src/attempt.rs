//! One send of a request to one endpoint.

use std::time::Duration;

use bytes::Bytes;
use dottereltally::{
    answer::is_event_stream,
    dispatch::strip_hop,
    pool::Answer,
    upstream::{Client, Failure, Message, Reuse},
};
use dottereltally_lib::{
    gate::{Choice, Outcome},
    id,
    route::{Repeat, Route},
};
use http::{
    HeaderMap, Method, Request, Response, StatusCode, Uri, Version,
    header::{CONTENT_ENCODING, CONTENT_LENGTH},
    request, response,
};
use http_body_util::{BodyExt, Full, Limited};
use tokio::time::{Instant, timeout_at};

use crate::{
    admission::Place,
    chain::{Chain, Job, end_to_end},
    dialect::{Dialect, Forward, Head},
    events::{Batch, Splitter},
};

/// Longest whole answer that is kept, bytes.
const ANSWER_LIMIT: usize = 16 << 20;

/// Time for a first event beyond the expected one, after which a stream that
/// may be resumed is given to another endpoint.
const FIRST_SLACK: Duration = Duration::from_millis(900);

/// What is sent to endpoints, whichever it is.
pub struct Template {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    head: Head,
    workspace: Option<id::Workspace>,
    keyed: bool,
}

impl Template {
    /// Builds a template from a caller's request.
    #[must_use]
    pub fn new(
        parts: request::Parts,
        body: Bytes,
        head: Head,
        workspace: Option<id::Workspace>,
        keyed: bool,
    ) -> Self {
        let mut headers = end_to_end(parts.headers);
        headers.remove(CONTENT_LENGTH);
        let target = parts.uri.path_and_query().cloned();
        Self {
            method: parts.method,
            uri: target.map_or_else(Uri::default, Uri::from),
            headers,
            body,
            head,
            workspace,
            keyed,
        }
    }

    /// Returns the last event that the caller said it has.
    #[must_use]
    pub fn after(&self) -> Option<u64> {
        self.head.after
    }

    fn message(
        &self,
        dialect: &impl Dialect,
        endpoint: &id::Endpoint,
        remaining: Duration,
        after: Option<u64>,
    ) -> Message {
        let forward = Forward {
            remaining,
            endpoint,
            workspace: self.workspace.as_ref(),
            keyed: self.keyed,
            after: after.or(self.head.after),
        };
        let mut message = Request::new(Full::new(self.body.clone()));
        *message.method_mut() = self.method.clone();
        *message.uri_mut() = self.uri.clone();
        *message.version_mut() = Version::HTTP_11;
        *message.headers_mut() = dialect.forward(&self.headers, &forward);
        message
    }
}

/// A whole answer.
pub struct Whole {
    /// Its head.
    pub parts: response::Parts,
    /// Its body.
    pub body: Bytes,
}

/// A stream of which the first events have come.
pub struct Stream {
    /// Its head.
    pub parts: response::Parts,
    /// The first events.
    pub first: Batch,
    /// What follows.
    pub body: Answer,
    /// Cuts it into events.
    pub splitter: Splitter,
    /// The place at the endpoint.
    pub place: Place,
}

/// What became of a send.
pub enum Attempt {
    /// Nothing was handed over.
    Unsent {
        /// The place at the endpoint.
        place: Place,
        /// What the connection said.
        cause: String,
    },
    /// The endpoint says that it did not run it.
    Rejected {
        /// The place at the endpoint.
        place: Place,
        /// Its status.
        status: StatusCode,
    },
    /// The endpoint may have run it and gave no usable answer.
    Broken {
        /// The place at the endpoint.
        place: Place,
        /// What went wrong.
        cause: String,
    },
    /// The time was over.
    Expired {
        /// The place at the endpoint.
        place: Place,
    },
    /// The endpoint failed and says so.
    Failed {
        /// The place at the endpoint.
        place: Place,
        /// Its answer.
        whole: Box<Whole>,
    },
    /// The endpoint answered.
    Whole {
        /// The place at the endpoint.
        place: Place,
        /// Its answer.
        whole: Box<Whole>,
    },
    /// The endpoint began a stream.
    Stream(Box<Stream>),
}

impl Attempt {
    /// Returns the name of the failure, if it is one.
    #[must_use]
    pub fn failure(&self) -> Option<&'static str> {
        match self {
            Self::Unsent { .. } => Some("unreachable"),
            Self::Rejected { .. } => Some("rejected"),
            Self::Broken { .. } => Some("broken"),
            Self::Expired { .. } => Some("expired"),
            Self::Failed { .. } => Some("failed"),
            Self::Whole { .. } | Self::Stream(_) => None,
        }
    }

    /// Returns what went wrong.
    #[must_use]
    pub fn cause(&self) -> &str {
        match self {
            Self::Unsent { cause, .. } | Self::Broken { cause, .. } => cause,
            Self::Rejected { status, .. } => status.canonical_reason().unwrap_or_default(),
            Self::Failed { whole, .. } => whole.parts.status.canonical_reason().unwrap_or_default(),
            Self::Expired { .. } | Self::Whole { .. } | Self::Stream(_) => "",
        }
    }
}

/// Returns what a rejection says of the endpoint.
#[must_use]
pub fn rejection(status: StatusCode) -> Outcome {
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Outcome::Misdirected;
    }
    Outcome::Rejected
}

/// Sends a request to the chosen endpoint and waits for its answer, or for
/// the first events of its stream.
pub async fn send<D: Dialect>(
    chain: &Chain<D>,
    job: &Job,
    choice: &Choice,
    after: Option<u64>,
    place: Place,
) -> Attempt {
    let now = chain.clock.now();
    let remaining = job.deadline.since(now);
    tracing::info!(
        id = job.correlation,
        route = %job.route.name,
        service = %job.service,
        tier = job.tier.0,
        workspace = job.workspace.as_ref().map(id::Workspace::as_str),
        prompt = job.tokens.0,
        output = job.tokens.1,
        endpoint = %choice.endpoint,
        own = choice.own,
        others = choice.others,
        places = choice.places,
        waiting = choice.waiting,
        delegated = place.is_delegated(),
        expected_ms = crate::chain::millis(choice.first),
        waited_ms = crate::chain::millis(now.since(job.received)),
        left_ms = crate::chain::millis(remaining),
        after,
        "request sent"
    );
    let message = job
        .template
        .message(&chain.dialect, &choice.endpoint, remaining, after);
    let end = Instant::now() + remaining;
    let limit = match first_limit(&job.route, choice) {
        Some(first) => end.min(Instant::now() + first),
        None => end,
    };
    let sending = chain.upstream.send(&choice.address, message, Reuse::Idle);
    let response = match timeout_at(limit, sending).await {
        Ok(Ok(response)) => response,
        Ok(Err(Failure::Unsent { cause, .. })) => return Attempt::Unsent { place, cause },
        Ok(Err(Failure::Broken(broken))) => {
            let cause = broken.cause;
            return Attempt::Broken { place, cause };
        }
        Err(_) => return silent(place, end),
    };
    receive(chain, job, choice, response, place, (limit, end)).await
}

/// Returns the time for the first event of a stream that may go on elsewhere.
fn first_limit(route: &Route, choice: &Choice) -> Option<Duration> {
    let resumable = route.repeat == Repeat::Resume && route.attempts > 1;
    resumable.then(|| choice.first * 3 + FIRST_SLACK)
}

fn silent(place: Place, end: Instant) -> Attempt {
    if Instant::now() >= end {
        return Attempt::Expired { place };
    }
    let cause = "no first event in the expected time".to_owned();
    Attempt::Broken { place, cause }
}

async fn receive<D: Dialect>(
    chain: &Chain<D>,
    job: &Job,
    choice: &Choice,
    response: Response<Answer>,
    place: Place,
    (limit, end): (Instant, Instant),
) -> Attempt {
    let (mut parts, body) = response.into_parts();
    let answer = chain.dialect.answer(&parts.headers);
    if let Some((running, waiting)) = answer.load {
        chain.admission.apply(|gate, now| {
            gate.report(now, &choice.endpoint, running, waiting);
            Vec::new()
        });
    }
    if answer.not_run || parts.status == StatusCode::MISDIRECTED_REQUEST {
        let status = parts.status;
        return Attempt::Rejected { place, status };
    }
    let broken = |place, cause: &str| Attempt::Broken {
        place,
        cause: cause.to_owned(),
    };
    if answer.correlation.as_deref() != Some(job.correlation.as_str()) {
        return broken(place, "the answer belongs to another request");
    }
    let success = parts.status.is_success();
    if success && !answer.sealed {
        return broken(place, "the answer is not sealed by the endpoint");
    }
    if parts.headers.contains_key(CONTENT_ENCODING) {
        return broken(place, "the answer is encoded on the way");
    }
    strip_hop(&mut parts.headers);
    if success && job.route.streaming && is_event_stream(&parts.headers) {
        parts.headers.remove(CONTENT_LENGTH);
        return first_events(parts, body, place, (limit, end)).await;
    }
    let reading = Limited::new(body, ANSWER_LIMIT).collect();
    let body = match timeout_at(end, reading).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => {
            let cause = error.to_string();
            return Attempt::Broken { place, cause };
        }
        Err(_) => return Attempt::Expired { place },
    };
    let whole = Box::new(Whole { parts, body });
    if whole.parts.status.is_server_error() {
        return Attempt::Failed { place, whole };
    }
    Attempt::Whole { place, whole }
}

async fn first_events(
    parts: response::Parts,
    mut body: Answer,
    place: Place,
    (limit, end): (Instant, Instant),
) -> Attempt {
    let mut splitter = Splitter::default();
    loop {
        let frame = match timeout_at(limit, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => {
                let cause = error.cause;
                return Attempt::Broken { place, cause };
            }
            Ok(None) => {
                let cause = "the stream ended before its first event".to_owned();
                return Attempt::Broken { place, cause };
            }
            Err(_) => return silent(place, end),
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        match splitter.feed(data) {
            Ok(Some(first)) => {
                place.start();
                return Attempt::Stream(Box::new(Stream {
                    parts,
                    first,
                    body,
                    splitter,
                    place,
                }));
            }
            Ok(None) => {}
            Err(error) => {
                let cause = error.to_string();
                return Attempt::Broken { place, cause };
            }
        }
    }
}

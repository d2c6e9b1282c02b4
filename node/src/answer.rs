//! Filter: gives the endpoint's answer to the caller.

use bytes::{Bytes, BytesMut};
use dottereltally_lib::{id, size::Tokens};
use http::{
    HeaderMap, HeaderValue, Response,
    header::{CONTENT_LENGTH, CONTENT_TYPE},
    response::Parts,
};
use http_body_util::BodyExt;
use tokio::time::{Instant, timeout_at};

use crate::{
    body::Body,
    dispatch::{CORRELATION, Running, lost, strip_hop},
    dispatcher::Handle,
    problem::{Problem, Reason},
    server::REQUEST,
    sse,
    stream::Forward,
    upstream::Broken,
};

/// Header by which engines report their load.
pub const LOAD: &str = "endpoint-load-metrics";

const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Returns whether the answer is a stream of server-sent events.
#[must_use]
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get(CONTENT_TYPE);
    kind.is_some_and(|kind| kind.as_bytes().starts_with(EVENT_STREAM))
}

/// Passes the answer on as it comes.
#[must_use]
pub fn pass_on<B, D>(running: Running<B, D>, request: id::Request) -> Response<Body>
where
    B: http_body::Body<Data = Bytes, Error = Broken> + Send + Unpin + 'static,
    D: Handle + Unpin,
{
    let (mut parts, body) = running.response.into_parts();
    let is_stream = is_event_stream(&parts.headers);
    clean(&mut parts, request);
    if is_stream {
        parts.headers.remove(CONTENT_LENGTH);
    }
    let mut flight = running.flight;
    flight.judge(parts.status);
    let forward = Forward::new(body, flight, running.first, is_stream, running.limits);
    Response::from_parts(parts, Body::stream(forward))
}

/// Reads the whole answer before any of it is passed on.
///
/// # Errors
///
/// Fails if the answer does not come whole or is longer than `limit` bytes.
pub async fn read_whole<B, D>(
    running: Running<B, D>,
    limit: usize,
    request: id::Request,
) -> Result<Response<Bytes>, Problem>
where
    B: http_body::Body<Data = Bytes, Error = Broken> + Unpin,
    D: Handle,
{
    let Running {
        response,
        mut first,
        mut flight,
        limits,
    } = running;
    let (mut parts, mut body) = response.into_parts();
    flight.judge(parts.status);
    let mut content = BytesMut::new();
    loop {
        let frame = match first.take() {
            Some(frame) => frame,
            None => match timeout_at(limits.next(Instant::now()), body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) => break,
                Ok(Some(Err(_))) => {
                    flight.broken();
                    return Err(lost(Reason::Broken));
                }
                Err(_) => {
                    let reason = limits.reason(Instant::now());
                    match reason {
                        Reason::DeadlinePassed => flight.expired(),
                        _ => flight.stalled(),
                    }
                    return Err(lost(reason));
                }
            },
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if content.len() + data.len() > limit {
            return Err(lost(Reason::AnswerTooLarge));
        }
        content.extend_from_slice(&data);
    }
    let content = content.freeze();
    if is_event_stream(&parts.headers) && !ends_whole(&content) {
        flight.broken();
        return Err(lost(Reason::Broken));
    }
    let usage = usage(&parts, &content);
    flight.answered(Tokens(usage.cached), Tokens(usage.output));
    clean(&mut parts, request);
    parts
        .headers
        .insert(CONTENT_LENGTH, HeaderValue::from(content.len()));
    Ok(Response::from_parts(parts, content))
}

fn ends_whole(content: &[u8]) -> bool {
    let mut scanner = sse::Scanner::default();
    scanner.feed(content);
    scanner.is_done()
}

/// Returns the usage that the answer tells, zero if it tells none.
fn usage(parts: &Parts, content: &[u8]) -> sse::Usage {
    if !is_event_stream(&parts.headers) {
        return sse::Usage::parse(content).unwrap_or_default();
    }
    let mut scanner = sse::Scanner::default();
    scanner.feed(content);
    scanner.usage().unwrap_or_default()
}

fn clean(parts: &mut Parts, request: id::Request) {
    strip_hop(&mut parts.headers);
    for name in [CORRELATION, LOAD, REQUEST] {
        parts.headers.remove(name);
    }
    parts.headers.insert(REQUEST, HeaderValue::from(request.0));
}

//! Filter: returns the endpoint's response to the caller, streamed or buffered.

use bytes::Bytes;
use dottereltally_lib::{id, size::Tokens};
use dottereltally_store::buffer;
use http::{
    HeaderMap, HeaderValue, Response,
    header::{CONTENT_LENGTH, CONTENT_TYPE},
    response::Parts,
};
use http_body_util::BodyExt;
use tokio::time::{Instant, timeout_at};

use crate::{
    body::Body,
    dispatch::{CORRELATION_HEADER, Running, failure, strip_hop_by_hop},
    dispatcher::Handle,
    problem::{Problem, Reason},
    server::REQUEST_HEADER,
    sse,
    stream::Forward,
    tracker::Tracker,
    upstream::Broken,
};

/// Response header in which engines report their load.
pub const LOAD_HEADER: &str = "endpoint-load-metrics";

/// Start of the content type of a stream of server-sent events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Returns whether the response is a stream of server-sent events.
#[must_use]
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE);
    content_type.is_some_and(|value| value.as_bytes().starts_with(EVENT_STREAM))
}

/// Streams the response to the caller as it arrives.
#[must_use]
pub fn forward<B, D>(running: Running<B, D>, request: id::Request) -> Response<Body>
where
    B: http_body::Body<Data = Bytes, Error = Broken> + Send + Unpin + 'static,
    D: Handle + Unpin,
{
    let (mut parts, body) = running.response.into_parts();
    let is_stream = is_event_stream(&parts.headers);
    rewrite_headers(&mut parts, request);
    if is_stream {
        parts.headers.remove(CONTENT_LENGTH);
    }
    let mut tracker = running.tracker;
    tracker.record_status(parts.status);
    let body = Forward::new(body, tracker, running.first, is_stream, running.limits);
    Response::from_parts(parts, Body::stream(body))
}

/// Buffers the whole response in this memory before any of it is sent to the
/// caller.
///
/// # Errors
///
/// Fails if the response is incomplete, or its body longer than `limit` bytes or
/// than the memory allows.
pub async fn buffer<B, D>(
    running: Running<B, D>,
    memory: &buffer::Pool,
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
        mut tracker,
        limits,
    } = running;
    let (mut parts, mut body) = response.into_parts();
    tracker.record_status(parts.status);
    let mut content = buffer::Answer::new(memory.reserve(limit));
    if let Err(full) = content.check_length(body.size_hint().lower()) {
        return Err(too_large(tracker, full));
    }
    loop {
        let frame = match first.take() {
            Some(frame) => frame,
            None => match timeout_at(limits.next_timeout(Instant::now()), body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) => break,
                Ok(Some(Err(broken))) => {
                    tracing::info!(request = %request, cause = %broken, "answer broke");
                    tracker.broken();
                    return Err(failure(Reason::Broken));
                }
                Err(_) => {
                    let reason = limits.timeout_reason(Instant::now());
                    match reason {
                        Reason::DeadlinePassed => tracker.expired(),
                        _ => tracker.stalled(),
                    }
                    return Err(failure(reason));
                }
            },
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if let Err(full) = content.append(&data) {
            return Err(too_large(tracker, full));
        }
    }
    let content = content.finish();
    if is_event_stream(&parts.headers) && !is_complete_stream(&content) {
        tracker.broken();
        return Err(failure(Reason::Broken));
    }
    let usage = usage(&parts, &content);
    tracker.completed(Tokens(usage.cached), Tokens(usage.output));
    rewrite_headers(&mut parts, request);
    parts
        .headers
        .insert(CONTENT_LENGTH, HeaderValue::from(content.len()));
    Ok(Response::from_parts(parts, content))
}

/// Ends a request whose response can't be buffered.
fn too_large<D: Handle>(tracker: Tracker<D>, full: buffer::Full) -> Problem {
    tracing::info!(request = %tracker.id(), cause = %full, "answer too large");
    tracker.too_large();
    failure(Reason::AnswerTooLarge)
}

/// Returns whether an event stream contains its final `[DONE]` event.
fn is_complete_stream(content: &[u8]) -> bool {
    let mut scanner = sse::Scanner::default();
    scanner.feed(content);
    scanner.is_done()
}

/// Returns the token usage that the response reports, zero if it reports none.
fn usage(parts: &Parts, content: &[u8]) -> sse::Usage {
    if !is_event_stream(&parts.headers) {
        return sse::Usage::parse(content).unwrap_or_default();
    }
    let mut scanner = sse::Scanner::default();
    scanner.feed(content);
    scanner.usage().unwrap_or_default()
}

/// Removes headers that must not reach the caller and adds the request header.
fn rewrite_headers(parts: &mut Parts, request: id::Request) {
    strip_hop_by_hop(&mut parts.headers);
    for name in [CORRELATION_HEADER, LOAD_HEADER, REQUEST_HEADER] {
        parts.headers.remove(name);
    }
    parts
        .headers
        .insert(REQUEST_HEADER, HeaderValue::from(request.0));
}

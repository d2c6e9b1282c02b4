//! Endpoints that send bytes without end to the daemon's connections and to its
//! observer.

mod chain;
mod common;

use std::{sync::Arc, time::Duration};

use chain::{Harness, Head, Script, Step, chat, request};
use common::{Dispatcher, Events, wait_for};
use dottereltally::{
    hosts,
    observer::{self, Metrics, probe},
    pool::Pool,
    upstream::{Client, Failure, Message, Reuse},
};
use dottereltally_lib::{
    endpoint::{Record, Standing},
    event::{Event, Outcome},
};
use dottereltally_store::host::Snapshot;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    sync::{mpsc, watch},
    time::timeout,
};

/// Guards against a test that waits for ever.
const PATIENCE: Duration = Duration::from_mins(1);

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// What an endpoint sends: a start, and a part again and again until the client
/// closes the connection.
#[derive(Clone, Debug)]
struct Flood {
    start: &'static str,
    part: String,
}

fn endless(start: &'static str, part: &str) -> Flood {
    Flood {
        start,
        part: part.repeat(16_384 / part.len()),
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// An endpoint that answers one path without end and others with an empty load
/// page.
struct Endpoint {
    address: String,
    closed: mpsc::UnboundedReceiver<()>,
}

impl Endpoint {
    async fn start(path: &'static str, flood: Flood) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let (sender, closed) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (flood, sender) = (flood.clone(), sender.clone());
                tokio::spawn(async move {
                    let mut request = [0; 4096];
                    let length = stream.read(&mut request).await.unwrap_or_default();
                    let line = format!("GET {path}");
                    if !request[..length].starts_with(line.as_bytes()) {
                        let page = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
                        let _written = stream.write_all(page.as_bytes()).await;
                        return;
                    }
                    let _written = stream.write_all(flood.start.as_bytes()).await;
                    while stream.write_all(flood.part.as_bytes()).await.is_ok() {}
                    let _sent = sender.send(());
                });
            }
        });
        Self { address, closed }
    }

    async fn wait_for_close(&mut self) {
        let closed = timeout(PATIENCE, self.closed.recv()).await;
        closed.expect("the connection is closed");
    }
}

fn message() -> Message {
    let request = Request::get("/x").header("host", "endpoint");
    request.body(Full::default()).expect("a request")
}

#[rstest]
#[case::reason(endless("HTTP/1.1 200 ", "x"), "head is too large")]
#[case::header_value(endless("HTTP/1.1 200 OK\r\na: ", "x"), "head is too large")]
#[case::header_count(endless("HTTP/1.1 200 OK\r\n", "a: b\r\n"), "head is too large")]
#[case::interim_answers(
    endless("", "HTTP/1.1 100 Continue\r\n\r\n"),
    "interim answers to one request"
)]
#[tokio::test]
async fn a_head_without_end_breaks_its_connection(#[case] flood: Flood, #[case] cause: &str) {
    let mut endpoint = Endpoint::start("/x", flood).await;
    let pool = Pool::default();
    let sending = pool.send(&endpoint.address, message(), Reuse::Idle);
    let failure = timeout(PATIENCE, sending).await.expect("a failure");
    let Err(Failure::Broken(broken)) = failure else {
        panic!("{failure:?}");
    };
    assert!(broken.cause.contains(cause), "{broken}");
    endpoint.wait_for_close().await;
}

#[rstest]
#[case::chunk_size(endless(CHUNKED, "0"), "without a part of an answer")]
#[case::chunk_extension(
    endless("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;a=", "x"),
    "extensions"
)]
#[case::small_chunks(endless(CHUNKED, "1\r\nx\r\n"), "parts of an answer with a few bytes")]
#[case::trailers(
    endless(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        "a: b\r\n"
    ),
    "trailers"
)]
#[tokio::test]
async fn a_body_without_content_breaks_its_connection(#[case] flood: Flood, #[case] cause: &str) {
    let mut endpoint = Endpoint::start("/x", flood).await;
    let pool = Pool::default();
    let response = pool.send(&endpoint.address, message(), Reuse::Idle).await;
    let body = response.expect("a head").into_body();
    let read = timeout(PATIENCE, body.collect()).await.expect("an end");
    let broken = read.expect_err("a broken body");
    assert!(broken.cause.contains(cause), "{broken}");
    endpoint.wait_for_close().await;
}

#[rstest]
#[case::head(endless("HTTP/1.1 200 OK\r\na: ", "x"))]
#[case::interim_answers(endless("", "HTTP/1.1 100 Continue\r\n\r\n"))]
#[case::body(endless("HTTP/1.1 200 OK\r\n\r\n", "x"))]
#[case::chunk_size(endless(CHUNKED, "0"))]
#[tokio::test]
async fn a_load_page_without_end_is_a_failure_and_closes_the_connection(#[case] flood: Flood) {
    let mut endpoint = Endpoint::start("/load", flood).await;
    assert!(!probe(&endpoint.address).await);
    endpoint.wait_for_close().await;
}

/// Starts an observer of one endpoint.
fn observe(endpoint: &Endpoint) -> (Events, Metrics, watch::Sender<Option<Arc<Snapshot>>>) {
    let record = Record {
        id: "tally-1".into(),
        address: endpoint.address.clone(),
        service: "tally-llm".into(),
        data_centre: "plovdiv".into(),
        standing: Standing::Live,
        version: None,
        capacity: None,
    };
    let snapshot = Snapshot {
        entries: Vec::new(),
        endpoints: vec![record],
    };
    let (host_list, hosts): (_, hosts::Receiver) = watch::channel(Some(Arc::new(snapshot)));
    let (dispatcher, events) = Dispatcher::new();
    let metrics = Metrics::default();
    observer::spawn("plovdiv".into(), hosts, dispatcher, metrics.clone());
    (events, metrics, host_list)
}

/// A stream of cache events that holds anything but valid events is opened anew.
#[rstest]
#[case::event(endless(CHUNKED, &chunk("data: x")))]
#[case::comments(endless(CHUNKED, &chunk(": x\n\n")))]
#[case::nonsense(endless(CHUNKED, &chunk("id: 1\ndata: nonsense\n\n")))]
#[case::repeated(endless(CHUNKED, &chunk("id: 1\ndata: {\"cleared\": true}\n\n")))]
#[tokio::test]
async fn a_stream_without_valid_cache_events_is_closed(#[case] flood: Flood) {
    let mut endpoint = Endpoint::start("/cache/events", flood).await;
    let (events, metrics, _host_list) = observe(&endpoint);
    endpoint.wait_for_close().await;
    wait_for(&events, |event| matches!(event, Event::Reported(..))).await;
    assert!(metrics.streams.get() >= 1);
}

/// Returns a request whose answer is buffered.
fn completion() -> Request<Full<bytes::Bytes>> {
    let body = r#"{"model": "tally-7b", "max_tokens": 4, "messages": [{"role": "user", "content": "hi"}]}"#;
    request("POST", "/v1/chat/completions", body)
}

/// The endpoint is at fault, so the answer is not counted as one that its caller
/// left.
#[tokio::test]
async fn an_answer_over_the_limit_counts_as_a_failure_of_its_endpoint() {
    let steps = vec![Step::Data("0123456789abcdef0123456789abcdef"); 4096 / 32 + 1];
    let harness = Harness::new(Vec::new(), vec![Script::Respond(Head::json(200), steps)]);
    let reply = harness.send(completion()).await;
    assert_eq!(reply.status, StatusCode::BAD_GATEWAY, "{}", reply.text);
    assert_eq!(reply.member("run"), "may-have-run");
    harness.endpoints.cancelled.notified().await;
    assert_eq!(harness.outcomes(), [Outcome::Broken]);
    let metrics = harness.metrics();
    assert!(
        metrics.contains("result=\"answer-too-large\"} 1"),
        "{metrics}"
    );
}

/// Bytes that hold no event do not keep a stream alive until its deadline.
#[rstest]
#[case::comments(": xxxxxxxxxxxxxxxxxxxxxxxxxxxxx\n\n")]
#[case::event("data: xxxxxxxxxxxxxxxxxxxxxxxxxx")]
#[tokio::test]
async fn a_stream_without_events_is_cut(#[case] part: &'static str) {
    let mut steps = vec![Step::Data(part); (4 << 20) / part.len() + 2];
    steps.push(Step::Stall);
    let script = Script::Respond(Head::event_stream(), steps);
    let harness = Harness::new(Vec::new(), vec![script]);
    let reply = timeout(PATIENCE, harness.send(chat())).await;
    let reply = reply.expect("an end");
    assert!(!reply.complete);
    assert!(reply.text.contains("\"error\""));
    assert_eq!(harness.outcomes(), [Outcome::Broken]);
}

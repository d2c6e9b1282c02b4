//! Tests of the HTTP server for callers: limits, truncated responses and graceful
//! shutdown.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use dottereltally::{
    body::{Body, Truncated},
    connections::Connections,
    server::{self, Limits},
};
use futures_util::stream::{self, StreamExt};
use http::{Request, Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, Empty, StreamBody};
use hyper::{
    body::Incoming,
    client::conn::{http1, http2},
};
use hyper_util::rt::{TokioExecutor, TokioIo};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{Notify, mpsc, watch},
    task::JoinHandle,
};

const LIMITS: Limits = Limits {
    head: 16 * 1024,
    head_timeout: Duration::from_millis(100),
    write_timeout: Duration::from_millis(100),
};

/// Size of one frame of an endless response.
const FRAME_BYTES: usize = 64 * 1024;

/// A running server whose handler the test observes and controls.
struct Server {
    address: SocketAddr,
    /// Starts a graceful shutdown.
    drain: watch::Sender<bool>,
    /// Ends with the server.
    serving: JoinHandle<()>,
    /// Gets a message for each request that reaches the handler.
    entered: mpsc::UnboundedReceiver<()>,
    /// Lets the handler respond to a request for `/gated`.
    gate: std::sync::Arc<Notify>,
    /// Gets a message for each response that is dropped.
    dropped: mpsc::UnboundedReceiver<()>,
}

/// Sends a message when it is dropped.
struct Guard(mpsc::UnboundedSender<()>);

impl Drop for Guard {
    fn drop(&mut self) {
        let _ = self.0.send(());
    }
}

/// Returns the response to a request for this path.
fn respond(path: &str, guard: Guard) -> Response<Body> {
    let frame = Bytes::from(vec![b'x'; FRAME_BYTES]);
    match path {
        "/endless" => {
            let frames = stream::repeat(frame).map(move |frame| {
                let _ = &guard;
                Ok::<_, Truncated>(Frame::data(frame))
            });
            Response::new(Body::stream(StreamBody::new(frames)))
        }
        "/panic" => panic!("a handler fails"),
        "/panic-in-body" => {
            let frames = stream::iter([0, 1]).map(|number| {
                assert!(number == 0, "a body fails");
                Ok::<_, Truncated>(Frame::data(Bytes::from_static(b"part")))
            });
            Response::new(Body::stream(StreamBody::new(frames)))
        }
        "/cut" => {
            let frames = [Ok(Frame::data(Bytes::from_static(b"part"))), Err(Truncated)];
            Response::new(Body::stream(StreamBody::new(stream::iter(frames))))
        }
        _ => Response::new(Body::full(Bytes::from_static(b"whole"))),
    }
}

impl Server {
    async fn start() -> Self {
        Self::start_bounded(Connections::unbounded()).await
    }

    async fn start_bounded(bound: Connections) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let drain = watch::Sender::new(false);
        let (entering, entered) = mpsc::unbounded_channel();
        let (dropping, dropped) = mpsc::unbounded_channel();
        let gate = std::sync::Arc::new(Notify::new());
        let handler_gate = gate.clone();
        let handler = move |request: Request<Incoming>| {
            let (entering, gate) = (entering.clone(), handler_gate.clone());
            let guard = Guard(dropping.clone());
            async move {
                let _ = entering.send(());
                if request.uri().path() == "/gated" {
                    gate.notified().await;
                }
                respond(request.uri().path(), guard)
            }
        };
        let serving = server::serve_bounded(listener, LIMITS, bound, drain.subscribe(), handler);
        Self {
            address,
            serving: tokio::spawn(serving),
            drain,
            entered,
            gate,
            dropped,
        }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address)
            .await
            .expect("a connection")
    }
}

fn request(path: &str) -> Request<Empty<Bytes>> {
    Request::get(format!("http://node{path}"))
        .header("host", "node")
        .body(Empty::new())
        .expect("a request")
}

/// Sends a request on a connection of its own.
async fn send(stream: TcpStream, version: u8, path: &str) -> hyper::Result<Response<Incoming>> {
    let stream = TokioIo::new(stream);
    if version == 1 {
        let (mut sender, connection) = http1::handshake(stream).await?;
        tokio::spawn(connection);
        return sender.send_request(request(path)).await;
    }
    let (mut sender, connection) = http2::handshake(TokioExecutor::new(), stream).await?;
    tokio::spawn(connection);
    sender.send_request(request(path)).await
}

#[rstest]
#[tokio::test]
async fn serves_both_http_versions(#[values(1, 2)] version: u8) {
    let server = Server::start().await;
    let response = send(server.connect().await, version, "/").await;
    let response = response.expect("a response");
    assert_eq!(response.status(), StatusCode::OK);
    let body = response
        .into_body()
        .collect()
        .await
        .expect("a complete body");
    assert_eq!(body.to_bytes(), "whole");
}

#[rstest]
#[tokio::test]
async fn a_truncated_response_is_not_taken_as_complete(#[values(1, 2)] version: u8) {
    let server = Server::start().await;
    let response = send(server.connect().await, version, "/cut").await;
    // The connection may end before the head is sent.
    let Ok(response) = response else {
        return;
    };
    assert!(response.into_body().collect().await.is_err());
}

#[rstest]
#[tokio::test]
async fn a_draining_server_finishes_a_request_in_flight(#[values(1, 2)] version: u8) {
    let mut server = Server::start().await;
    let sending = tokio::spawn(send(server.connect().await, version, "/gated"));
    server
        .entered
        .recv()
        .await
        .expect("the request reaches the handler");
    server.drain.send_replace(true);
    while TcpStream::connect(server.address).await.is_ok() {
        tokio::task::yield_now().await;
    }
    assert!(!server.serving.is_finished());
    server.gate.notify_one();
    let response = sending.await.expect("no panic").expect("a response");
    let body = response
        .into_body()
        .collect()
        .await
        .expect("a complete body");
    assert_eq!(body.to_bytes(), "whole");
    server.serving.await.expect("serving ends");
}

#[tokio::test]
async fn a_draining_server_closes_idle_connections() {
    let server = Server::start().await;
    let (mut sender, connection) = http1::handshake(TokioIo::new(server.connect().await))
        .await
        .expect("a connection");
    let connection = tokio::spawn(connection);
    let response = sender.send_request(request("/")).await.expect("a response");
    response
        .into_body()
        .collect()
        .await
        .expect("a complete body");
    server.drain.send_replace(true);
    server.serving.await.expect("serving ends");
    let _ = connection.await.expect("no panic");
    assert!(sender.is_closed());
}

#[rstest]
#[case::nothing("")]
#[case::half_a_preface("PRI * HT")]
#[case::half_a_head("GET / HTTP/1.1\r\nhost: no")]
#[tokio::test]
async fn a_slow_sender_is_disconnected(#[case] start: &str) {
    let server = Server::start().await;
    let mut stream = server.connect().await;
    stream
        .write_all(start.as_bytes())
        .await
        .expect("the request is written");
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest).await;
    assert!(!rest.starts_with(b"HTTP/1.1 200"));
}

#[tokio::test]
async fn an_oversized_head_is_refused() {
    let server = Server::start().await;
    let mut stream = server.connect().await;
    let head = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "x".repeat(64 * 1024));
    let _ = stream.write_all(head.as_bytes()).await;
    let mut start = [0; 12];
    stream.read_exact(&mut start).await.expect("a response");
    assert_eq!(&start, b"HTTP/1.1 431");
}

#[tokio::test]
async fn a_caller_that_does_not_read_is_disconnected() {
    let mut server = Server::start().await;
    let mut stream = server.connect().await;
    let head = "GET /endless HTTP/1.1\r\nhost: node\r\n\r\n";
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the request is written");
    server
        .dropped
        .recv()
        .await
        .expect("the response is dropped");
}

/// Guards against a connection that closes without an answer as the handler of a
/// request that was read has failed.
#[rstest]
#[tokio::test]
async fn a_request_whose_handler_panics_is_answered(#[values(1, 2)] version: u8) {
    let server = Server::start().await;
    let response = send(server.connect().await, version, "/panic").await;
    let response = response.expect("a response");
    assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
    let body = response.into_body().collect().await.expect("a whole body");
    let body = String::from_utf8(body.to_bytes().to_vec()).expect("text");
    assert!(body.contains("may-have-run"), "{body}");
}

/// Guards against other requests of a connection that end with the one whose body
/// failed, and against a cut body that looks complete.
#[rstest]
#[tokio::test]
async fn a_body_that_panics_is_visibly_cut(#[values(1, 2)] version: u8) {
    let server = Server::start().await;
    let response = send(server.connect().await, version, "/panic-in-body").await;
    if let Ok(response) = response {
        assert!(response.into_body().collect().await.is_err());
    }
    let response = send(server.connect().await, version, "/whole").await;
    assert_eq!(response.expect("a response").status(), StatusCode::OK);
}

/// Descriptors of which one connection is for callers.
const DESCRIPTORS_FOR_ONE: usize = 202;

/// Guards against a bound that ends a request under way, or that does not hold while all
/// connections are busy.
#[rstest]
#[tokio::test]
async fn a_connection_over_the_bound_is_closed_if_the_others_are_busy(#[values(1, 2)] version: u8) {
    let mut server = Server::start_bounded(Connections::for_descriptors(DESCRIPTORS_FOR_ONE)).await;
    let busy = tokio::spawn(send(server.connect().await, version, "/gated"));
    server.entered.recv().await.expect("a request");
    let mut refused = server.connect().await;
    // The connection may be reset.
    let read = refused.read(&mut [0]).await.unwrap_or_default();
    assert_eq!(read, 0);
    server.gate.notify_one();
    let response = busy.await.expect("no panic").expect("a response");
    let body = response.into_body().collect().await.expect("a whole body");
    assert_eq!(body.to_bytes(), "whole");
}

/// Guards against idle connections that keep new ones out.
#[tokio::test]
async fn an_idle_connection_is_closed_for_a_new_one() {
    let server = Server::start_bounded(Connections::for_descriptors(DESCRIPTORS_FOR_ONE)).await;
    let mut idle = server.connect().await;
    idle.write_all(b"GET / HTTP/1.1\r\nhost: node\r\n\r\n")
        .await
        .expect("a request is sent");
    let mut answer = Vec::new();
    while !answer.ends_with(b"whole") {
        idle.read_buf(&mut answer).await.expect("an answer");
    }
    let response = send(server.connect().await, 1, "/").await;
    assert_eq!(response.expect("a response").status(), StatusCode::OK);
    // The connection may be reset.
    let read = idle.read(&mut [0]).await.unwrap_or_default();
    assert_eq!(read, 0);
}

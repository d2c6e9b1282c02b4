//! Tests of the connection pool: which connections are reused, and which
//! failures prove that nothing was sent.

use std::net::SocketAddr;

use bytes::Bytes;
use dottereltally::{
    pool::Pool,
    upstream::{Client, Failure, Message, Reuse},
};
use http::Request;
use http_body_util::{BodyExt, Full};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
};

const COMPLETE_RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const TRUNCATED_RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nok";

/// What an endpoint observes.
#[derive(Debug, PartialEq, Eq)]
enum Event {
    /// A connection was opened.
    Opened,
    /// The head of a request was received.
    Request,
    /// The connection was closed by the client.
    Closed,
}

/// A fake endpoint that gives the same response to every request.
struct Endpoint {
    address: String,
    events: mpsc::UnboundedReceiver<Event>,
}

impl Endpoint {
    async fn start(response: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let (sender, events) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, response, sender.clone()));
            }
        });
        Self { address, events }
    }

    async fn next(&mut self) -> Event {
        self.events.recv().await.expect("the endpoint runs")
    }
}

/// Answers each request on a connection; an empty response closes it.
async fn serve(mut stream: TcpStream, response: &str, events: mpsc::UnboundedSender<Event>) {
    let _ = events.send(Event::Opened);
    let mut head = Vec::new();
    loop {
        let mut byte = [0];
        if stream.read_exact(&mut byte).await.is_err() {
            let _ = events.send(Event::Closed);
            return;
        }
        head.push(byte[0]);
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        head.clear();
        let _ = events.send(Event::Request);
        if response.is_empty() || stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn message() -> Message {
    Request::get("/x")
        .header("host", "endpoint")
        .body(Full::default())
        .expect("a request")
}

async fn get(pool: &Pool, address: &str, reuse: Reuse) -> Bytes {
    let response = pool
        .send(address, message(), reuse)
        .await
        .expect("the head of a response");
    let body = response
        .into_body()
        .collect()
        .await
        .expect("a complete body");
    body.to_bytes()
}

#[tokio::test]
async fn reuses_a_connection_whose_response_was_read_to_its_end() {
    let mut endpoint = Endpoint::start(COMPLETE_RESPONSE).await;
    let pool = Pool::default();
    for _ in 0..2 {
        assert_eq!(get(&pool, &endpoint.address, Reuse::Idle).await, "ok");
    }
    assert_eq!(endpoint.next().await, Event::Opened);
    assert_eq!(endpoint.next().await, Event::Request);
    assert_eq!(endpoint.next().await, Event::Request);
}

#[tokio::test]
async fn opens_a_new_connection_if_reuse_is_forbidden() {
    let mut endpoint = Endpoint::start(COMPLETE_RESPONSE).await;
    let pool = Pool::default();
    get(&pool, &endpoint.address, Reuse::Idle).await;
    get(&pool, &endpoint.address, Reuse::Never).await;
    assert_eq!(endpoint.next().await, Event::Opened);
    assert_eq!(endpoint.next().await, Event::Request);
    assert_eq!(endpoint.next().await, Event::Opened);
    assert_eq!(endpoint.next().await, Event::Request);
}

#[tokio::test]
async fn closes_a_connection_whose_response_was_dropped() {
    let mut endpoint = Endpoint::start(TRUNCATED_RESPONSE).await;
    let pool = Pool::default();
    let response = pool.send(&endpoint.address, message(), Reuse::Idle).await;
    let mut body = response.expect("the head of a response").into_body();
    let frame = body.frame().await.expect("a frame").expect("data");
    assert_eq!(frame.into_data().expect("data"), "ok");
    drop(body);
    assert_eq!(endpoint.next().await, Event::Opened);
    assert_eq!(endpoint.next().await, Event::Request);
    assert_eq!(endpoint.next().await, Event::Closed);
}

#[tokio::test]
async fn closes_the_connection_of_a_cancelled_request() {
    let mut endpoint = Endpoint::start("HTTP/1.1 ").await;
    let pool = Pool::default();
    let address = endpoint.address.clone();
    let sending =
        tokio::spawn(async move { pool.send(&address, message(), Reuse::Idle).await.is_ok() });
    assert_eq!(endpoint.next().await, Event::Opened);
    assert_eq!(endpoint.next().await, Event::Request);
    sending.abort();
    assert_eq!(endpoint.next().await, Event::Closed);
}

#[rstest]
#[case(Reuse::Idle)]
#[case(Reuse::Never)]
#[tokio::test]
async fn returns_the_message_if_nothing_listens(#[case] reuse: Reuse) {
    let free = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address: SocketAddr = free.local_addr().expect("an address");
    drop(free);
    let failure = Pool::default()
        .send(&address.to_string(), message(), reuse)
        .await
        .expect_err("nobody listens");
    let Failure::Unsent { message, .. } = failure else {
        panic!("{failure}");
    };
    assert_eq!(message.uri(), "/x");
}

#[tokio::test]
async fn does_not_report_a_request_as_unsent_that_was_read() {
    let endpoint = Endpoint::start("").await;
    let failure = Pool::default()
        .send(&endpoint.address, message(), Reuse::Idle)
        .await
        .expect_err("the endpoint ends the connection");
    assert!(matches!(failure, Failure::Broken(_)), "{failure}");
}

#[tokio::test]
async fn reports_a_truncated_response() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut buffer = [0; 1024];
        let read = stream.read(&mut buffer).await.expect("a request");
        assert!(read > 0);
        stream
            .write_all(TRUNCATED_RESPONSE.as_bytes())
            .await
            .expect("the response is written");
    });
    let response = Pool::default().send(&address, message(), Reuse::Idle).await;
    let body = response.expect("the head of a response").into_body();
    assert!(body.collect().await.is_err());
}

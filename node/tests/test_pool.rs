//! Connections to endpoints: what is reused, and what proves that nothing
//! was handed over.

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

const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const HALF: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nok";

/// What an endpoint saw, in order.
#[derive(Debug, PartialEq, Eq)]
enum Seen {
    /// A connection was opened.
    Opened,
    /// A request's head came.
    Request,
    /// The connection was closed by the other side.
    Closed,
}

/// An endpoint that gives one answer to every request.
struct Endpoint {
    address: String,
    seen: mpsc::UnboundedReceiver<Seen>,
}

impl Endpoint {
    async fn start(answer: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let (sender, seen) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, answer, sender.clone()));
            }
        });
        Self { address, seen }
    }

    async fn next(&mut self) -> Seen {
        self.seen.recv().await.expect("the endpoint runs")
    }
}

/// Answers each request on a connection; an empty answer ends it.
async fn serve(mut stream: TcpStream, answer: &str, seen: mpsc::UnboundedSender<Seen>) {
    let _ = seen.send(Seen::Opened);
    let mut head = Vec::new();
    loop {
        let mut byte = [0];
        if stream.read_exact(&mut byte).await.is_err() {
            let _ = seen.send(Seen::Closed);
            return;
        }
        head.push(byte[0]);
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        head.clear();
        let _ = seen.send(Seen::Request);
        if answer.is_empty() || stream.write_all(answer.as_bytes()).await.is_err() {
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
    let response = pool.send(address, message(), reuse).await.expect("a head");
    let body = response.into_body().collect().await.expect("a body");
    body.to_bytes()
}

#[tokio::test]
async fn reuses_a_connection_whose_answer_was_read_to_its_end() {
    let mut endpoint = Endpoint::start(WHOLE).await;
    let pool = Pool::default();
    for _ in 0..2 {
        assert_eq!(get(&pool, &endpoint.address, Reuse::Idle).await, "ok");
    }
    assert_eq!(endpoint.next().await, Seen::Opened);
    assert_eq!(endpoint.next().await, Seen::Request);
    assert_eq!(endpoint.next().await, Seen::Request);
}

#[tokio::test]
async fn opens_a_connection_for_what_may_not_be_repeated() {
    let mut endpoint = Endpoint::start(WHOLE).await;
    let pool = Pool::default();
    get(&pool, &endpoint.address, Reuse::Idle).await;
    get(&pool, &endpoint.address, Reuse::Never).await;
    assert_eq!(endpoint.next().await, Seen::Opened);
    assert_eq!(endpoint.next().await, Seen::Request);
    assert_eq!(endpoint.next().await, Seen::Opened);
    assert_eq!(endpoint.next().await, Seen::Request);
}

#[tokio::test]
async fn closes_a_connection_whose_answer_was_dropped() {
    let mut endpoint = Endpoint::start(HALF).await;
    let pool = Pool::default();
    let response = pool.send(&endpoint.address, message(), Reuse::Idle).await;
    let mut body = response.expect("a head").into_body();
    let frame = body.frame().await.expect("a frame").expect("data");
    assert_eq!(frame.into_data().expect("data"), "ok");
    drop(body);
    assert_eq!(endpoint.next().await, Seen::Opened);
    assert_eq!(endpoint.next().await, Seen::Request);
    assert_eq!(endpoint.next().await, Seen::Closed);
}

#[tokio::test]
async fn closes_the_connection_of_a_request_that_is_given_up() {
    let mut endpoint = Endpoint::start("HTTP/1.1 ").await;
    let pool = Pool::default();
    let address = endpoint.address.clone();
    let sending =
        tokio::spawn(async move { pool.send(&address, message(), Reuse::Idle).await.is_ok() });
    assert_eq!(endpoint.next().await, Seen::Opened);
    assert_eq!(endpoint.next().await, Seen::Request);
    sending.abort();
    assert_eq!(endpoint.next().await, Seen::Closed);
}

#[rstest]
#[case(Reuse::Idle)]
#[case(Reuse::Never)]
#[tokio::test]
async fn hands_the_message_back_if_nobody_listens(#[case] reuse: Reuse) {
    let free = TcpListener::bind("127.0.0.1:0").await.expect("a port");
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
async fn does_not_call_a_request_unsent_that_was_read() {
    let endpoint = Endpoint::start("").await;
    let failure = Pool::default()
        .send(&endpoint.address, message(), Reuse::Idle)
        .await
        .expect_err("the endpoint ends the connection");
    assert!(matches!(failure, Failure::Broken(_)), "{failure}");
}

#[tokio::test]
async fn tells_an_answer_that_ends_early() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut buffer = [0; 1024];
        let read = stream.read(&mut buffer).await.expect("a request");
        assert!(read > 0);
        stream.write_all(HALF.as_bytes()).await.expect("room");
    });
    let response = Pool::default().send(&address, message(), Reuse::Idle).await;
    let body = response.expect("a head").into_body();
    assert!(body.collect().await.is_err());
}

//! Byte streams to endpoints that another node passes on.

mod common;

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use common::{Gateway, record};
use dottereltally::pool::Pool;
use dottereltally_gateway::tunnel::{self, Server, Tunnel};
use http_body_util::{BodyExt, Full};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::sleep,
};

/// An endpoint that the test plays, and a node that passes connections on to it.
struct Fixture {
    endpoint: TcpListener,
    carrier: String,
    is_open: Arc<AtomicBool>,
    serving: JoinHandle<()>,
    server: Server,
}

impl Fixture {
    async fn start() -> Self {
        let endpoint = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut listed = record(0, &common::Endpoint::unreachable().await, None);
        listed.address = endpoint.local_addr().unwrap().to_string();
        let gateway = Gateway::start_with(None, vec![listed]).await;
        let is_open = Arc::new(AtomicBool::new(true));
        let open = Arc::clone(&is_open);
        let server = Server {
            is_open: Arc::new(move || open.load(Ordering::Relaxed)),
            ..Server::new(&gateway.chain)
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let carrier = listener.local_addr().unwrap().to_string();
        let accepting = server.clone();
        let serving = tokio::spawn(async move {
            let (stream, _) = listener.accept().await.unwrap();
            assert!(tunnel::is_tunnel(&stream).await.unwrap());
            accepting.serve(stream).await;
        });
        Self {
            endpoint,
            carrier,
            is_open,
            serving,
            server,
        }
    }

    async fn open(&self) -> (Tunnel, TcpStream) {
        let address = self.endpoint.local_addr().unwrap().to_string();
        let tunnel = tunnel::open(&self.carrier, "n", &address).await.unwrap();
        let (stream, _) = self.endpoint.accept().await.unwrap();
        (tunnel, stream)
    }
}

#[tokio::test]
async fn bytes_pass_unchanged_and_the_end_is_seen() {
    let fixture = Fixture::start().await;
    let (mut tunnel, mut endpoint) = fixture.open().await;
    tunnel.write_all(b"question").await.unwrap();
    let mut question = [0; 8];
    endpoint.read_exact(&mut question).await.unwrap();
    assert_eq!(&question, b"question");
    let answer = vec![7; 300_000];
    let written = answer.clone();
    tokio::spawn(async move { endpoint.write_all(&written).await });
    let mut received = Vec::new();
    tunnel.read_to_end(&mut received).await.unwrap();
    assert_eq!(received, answer);
}

/// Guards against an answer that ends with its connection and seems complete, although
/// the endpoint broke off.
#[tokio::test]
async fn a_reset_of_the_endpoint_is_an_error() {
    let fixture = Fixture::start().await;
    let (mut tunnel, mut endpoint) = fixture.open().await;
    endpoint.write_all(b"part").await.unwrap();
    let mut part = [0; 4];
    tunnel.read_exact(&mut part).await.unwrap();
    endpoint.set_zero_linger().unwrap();
    drop(endpoint);
    let error = tunnel.read_u8().await.unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
}

/// Guards against MIXED: the endpoint answers while the request is being sent to it, and
/// resets the connection. The node that passes the bytes on may see that first as it writes,
/// after which a read ends without an error.
#[rstest]
#[tokio::test]
async fn an_answer_that_is_reset_during_an_upload_is_not_complete(
    #[values(0, 1, 5, 50)] reset_ms: u64,
) {
    for _ in 0..25 {
        let fixture = Fixture::start().await;
        let (tunnel, mut endpoint) = fixture.open().await;
        tokio::spawn(async move {
            let mut start = [0; 1024];
            let _read = endpoint.read(&mut start).await;
            let answer = b"HTTP/1.1 200 OK\r\n\r\npart of the answer";
            endpoint.write_all(answer).await.unwrap();
            sleep(Duration::from_millis(reset_ms)).await;
            endpoint.set_zero_linger().unwrap();
        });
        let ready = Pool::default().adopt("endpoint", tunnel).await.unwrap();
        let request = http::Request::post("/x").header("host", "endpoint");
        let request = request.body(Full::from(vec![7; 4_000_000])).unwrap();
        let Ok(response) = ready.send(request).await else {
            continue;
        };
        let read = response.into_body().collect().await;
        assert!(read.is_err(), "taken for complete: {read:?}");
    }
}

/// Guards against the same where the node that passes the bytes on ends.
#[tokio::test]
async fn the_end_of_the_other_node_is_an_error() {
    let fixture = Fixture::start().await;
    let (mut tunnel, mut endpoint) = fixture.open().await;
    endpoint.write_all(b"part").await.unwrap();
    let mut part = [0; 4];
    tunnel.read_exact(&mut part).await.unwrap();
    fixture.serving.abort();
    let error = tunnel.read_u8().await.unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
}

/// A caller that leaves cancels its request at the endpoint.
#[tokio::test]
async fn the_endpoint_sees_that_the_first_node_closes() {
    let fixture = Fixture::start().await;
    let (tunnel, mut endpoint) = fixture.open().await;
    assert_eq!(fixture.server.count.load(Ordering::Relaxed), 1);
    drop(tunnel);
    let mut rest = Vec::new();
    endpoint.read_to_end(&mut rest).await.unwrap();
    while fixture.server.count.load(Ordering::Relaxed) > 0 {
        sleep(Duration::from_millis(1)).await;
    }
}

#[tokio::test]
async fn a_node_that_shuts_down_takes_no_new_tunnels() {
    let fixture = Fixture::start().await;
    fixture.is_open.store(false, Ordering::Relaxed);
    let address = fixture.endpoint.local_addr().unwrap().to_string();
    let opened = tunnel::open(&fixture.carrier, "n", &address).await;
    let error = opened.err().unwrap();
    assert_eq!(error.kind(), io::ErrorKind::HostUnreachable);
}

/// Other addresses than those of endpoints are not connected to.
#[tokio::test]
async fn an_address_that_is_not_listed_is_refused() {
    let fixture = Fixture::start().await;
    let other = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = other.local_addr().unwrap().to_string();
    let opened = tunnel::open(&fixture.carrier, "n", &address).await;
    assert!(opened.is_err());
}

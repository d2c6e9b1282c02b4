//! Memory and descriptors of a daemon process under callers that send many large bodies.
//!
//! The cases check only that the process lives, that its memory and descriptors stay
//! under a bound, and that an ordinary request is answered afterwards. They run one after
//! the other.

use std::{convert::Infallible, time::Duration};

use bytes::Bytes;
use dottereltally_testutils::{
    fixture::{DEMO_KEY, Fixture},
    wait::eventually,
};
use eyre::Result;
use futures_util::{StreamExt, stream};
use http::Request;
use http_body::Frame;
use http_body_util::StreamBody;
use hyper::client::conn::http2::{self, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo};
use rstest::rstest;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    sync::Mutex,
    task::JoinSet,
    time::{sleep, timeout},
};

/// Memory of the smallest host, bytes.
const HOST_BYTES: u64 = 110_000_000;

/// Callers at once: their bodies are larger than the memory of the smallest host.
const CALLERS: usize = 32;

/// Requests at once on an HTTP/2 connection.
const STREAMS: usize = 8;

/// The limit of a body that nodes have if their settings name none.
const BODY_BYTES: usize = 4 << 20;

/// Descriptors of the process beside one for each caller: connections to endpoints, the
/// platform and other nodes, listeners, and those of the runtime.
const OTHER_DESCRIPTORS: usize = 64;

/// Time for which a caller tries to send; a caller that is not read any more stays open.
const SEND_TIME: Duration = Duration::from_secs(6);

/// Time after that in which the process reads what the sockets hold.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Content of a large and of a small part of a body, bytes.
const LARGE_PART: usize = 64 * 1024;
const SMALL_PART: usize = 256;

/// The cases run one after the other, as load of one would count in another.
static ALONE: Mutex<()> = Mutex::const_new(());

/// How a caller sends its body, which it never ends.
#[derive(Clone, Copy, Debug)]
enum Shape {
    /// Announces the largest body and stops one byte short of its end.
    Short,
    /// Sends the largest body in chunks of this size.
    Chunks(usize),
    /// Announces and sends twice the largest body.
    OverAnnounced,
    /// Sends twice the largest body in chunks.
    OverChunked,
    /// Sends the largest body in HTTP/2 frames of this size.
    Http2(usize),
}

const SHAPES: [Shape; 6] = [
    Shape::Short,
    Shape::Chunks(LARGE_PART),
    Shape::OverAnnounced,
    Shape::OverChunked,
    Shape::Http2(LARGE_PART),
    Shape::Chunks(SMALL_PART),
];

/// What keeps a caller's connection open.
#[expect(dead_code, reason = "dropped at the end only")]
enum Open {
    Http1(TcpStream),
    Http2(JoinSet<()>),
}

impl Shape {
    /// Sends one body with HTTP/1.1, or as many as one connection carries with HTTP/2.
    async fn send(self, address: String, number: usize) -> Option<Open> {
        let stream = TcpStream::connect(address).await.ok()?;
        if let Self::Http2(part) = self {
            return send_http2(stream, part, number).await;
        }
        send_http1(self, stream, number).await
    }
}

async fn send_http1(shape: Shape, mut stream: TcpStream, number: usize) -> Option<Open> {
    let (total, part) = match shape {
        Shape::Short => (BODY_BYTES, LARGE_PART),
        Shape::Chunks(part) | Shape::Http2(part) => (BODY_BYTES, part),
        Shape::OverAnnounced | Shape::OverChunked => (2 * BODY_BYTES, LARGE_PART),
    };
    let bytes = "x".repeat(part);
    let is_chunked = matches!(shape, Shape::Chunks(_) | Shape::OverChunked);
    let (framing, bytes) = if is_chunked {
        let chunk = format!("{part:x}\r\n{bytes}\r\n");
        ("transfer-encoding: chunked".to_owned(), chunk)
    } else {
        (format!("content-length: {total}"), bytes)
    };
    let head = format!(
        "POST /payments HTTP/1.1\r\nhost: node\r\nauthorization: Bearer {DEMO_KEY}\r\n\
         idempotency-key: large-{number}\r\n{framing}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    let count = total / part;
    for sent in 1..=count {
        let is_short = matches!(shape, Shape::Short) && sent == count;
        let length = bytes.len() - usize::from(is_short);
        let written = stream.write_all(&bytes.as_bytes()[..length]).await;
        if written.is_err() {
            break;
        }
    }
    Some(Open::Http1(stream))
}

async fn send_http2(stream: TcpStream, part: usize, number: usize) -> Option<Open> {
    let connecting = http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (sender, connection) = connecting.await.ok()?;
    let mut running = JoinSet::new();
    running.spawn(async move {
        let _ended = connection.await;
    });
    for stream in 0..STREAMS {
        running.spawn(send_stream(sender.clone(), part, number * STREAMS + stream));
    }
    sleep(SEND_TIME / 2).await;
    Some(Open::Http2(running))
}

type Content = StreamBody<stream::BoxStream<'static, Result<Frame<Bytes>, Infallible>>>;

async fn send_stream(mut sender: SendRequest<Content>, part: usize, number: usize) {
    let bytes = Bytes::from(vec![b'x'; part]);
    let parts = stream::repeat(bytes).take(BODY_BYTES / part);
    let parts = parts.map(|bytes| Ok(Frame::data(bytes)));
    let request = Request::post("http://node/payments")
        .header("authorization", format!("Bearer {DEMO_KEY}"))
        .header("idempotency-key", format!("large-{number}"))
        .body(StreamBody::new(parts.chain(stream::pending()).boxed()));
    if let Ok(request) = request {
        let _answer = sender.send_request(request).await;
    }
}

/// Guards against a process that ends out of memory as many callers send large bodies.
#[rstest]
#[case::short(&[Shape::Short], CALLERS)]
#[case::large_chunks(&[Shape::Chunks(LARGE_PART)], CALLERS)]
#[case::small_chunks(&[Shape::Chunks(SMALL_PART)], CALLERS)]
#[case::over_announced(&[Shape::OverAnnounced], CALLERS)]
#[case::over_chunked(&[Shape::OverChunked], CALLERS)]
#[case::http2(&[Shape::Http2(LARGE_PART)], CALLERS / STREAMS)]
#[case::http2_small_frames(&[Shape::Http2(SMALL_PART)], CALLERS / STREAMS)]
#[case::mix(&SHAPES, CALLERS)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_crowd_with_large_bodies_fits_into_the_smallest_host(
    #[case] shapes: &[Shape],
    #[case] connections: usize,
) -> Result<()> {
    let _alone = ALONE.lock().await;
    let mut deployment = Fixture::single().start().await?;
    let node = "entry-1";
    let address = deployment.caller_address(node)?;
    let idle = deployment.node_process(node)?.peak_memory()?;
    let mut callers = JoinSet::new();
    for (number, shape) in shapes.iter().cycle().take(connections).enumerate() {
        let sending = shape.send(address.clone(), number);
        callers.spawn(async { timeout(SEND_TIME, sending).await.ok().flatten() });
    }
    let open = callers.join_all().await;
    sleep(SETTLE_TIME).await;
    let process = deployment.node_process(node)?;
    assert!(process.is_running(), "the process ended");
    let peak = process.peak_memory()?;
    let descriptors = process.descriptors()?;
    println!("{shapes:?}: {idle} bytes before, {peak} at the peak; {descriptors} descriptors");
    assert!(peak < HOST_BYTES, "{peak} bytes at the peak");
    let most = CALLERS + OTHER_DESCRIPTORS;
    assert!(descriptors < most, "{descriptors} descriptors");
    eventually("an ordinary request is served afterwards", async || {
        let answer = deployment.pay(node, "usual").ok()?.fetch().await.ok()?;
        answer.status.is_success().then_some(())
    })
    .await?;
    drop(open);
    let process = deployment.node_process(node)?;
    assert!(process.is_running(), "the process ended");
    let peak = process.peak_memory()?;
    assert!(peak < HOST_BYTES, "{peak} bytes at the peak");
    Ok(())
}

//! Servers that send bytes without end to the clients of outside systems.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use dottereltally_store::{
    buffer::{Answer, Full, Pool},
    etcd::Store,
    http::{Client, Deadlines, Error},
    inbound::{self, MAX_INTERIM_ANSWERS},
    kv::{Revision, Store as _, Watch as _},
};
use eyre::Result;
use http::Request;
use http_body_util::Full as FullBody;
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, duplex},
    net::TcpListener,
    sync::mpsc,
    time::timeout,
};

/// Guards against a test that waits for ever.
const PATIENCE: Duration = Duration::from_mins(1);

/// Time limit of a call, longer than any test needs.
const CALL_TIMEOUT: Duration = Duration::from_secs(40);

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// A server that sends a start and then a part again and again until the client
/// closes the connection.
struct Server {
    address: String,
    closed: mpsc::UnboundedReceiver<()>,
}

impl Server {
    async fn start(start: &str, part: &str) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string();
        let (sender, closed) = mpsc::unbounded_channel();
        let (start, part) = (
            start.to_owned(),
            part.repeat(16_384_usize.div_ceil(part.len())),
        );
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (start, part, sender) = (start.clone(), part.clone(), sender.clone());
                tokio::spawn(async move {
                    let mut request = [0; 4096];
                    let _read = stream.read(&mut request).await;
                    let _written = stream.write_all(start.as_bytes()).await;
                    while stream.write_all(part.as_bytes()).await.is_ok() {}
                    let _sent = sender.send(());
                });
            }
        });
        Ok(Self { address, closed })
    }

    async fn wait_for_close(&mut self) {
        let closed = timeout(PATIENCE, self.closed.recv()).await;
        closed.expect("the client closes the connection");
    }
}

fn request() -> Result<Request<FullBody<Bytes>>> {
    let request = Request::get("/x").header("host", "store");
    Ok(request.body(FullBody::default())?)
}

#[rstest]
#[case::reason("HTTP/1.1 200 ", "x", "head is too large")]
#[case::header_value("HTTP/1.1 200 OK\r\na: ", "x", "head is too large")]
#[case::header_count("HTTP/1.1 200 OK\r\n", "a: b\r\n", "head is too large")]
#[case::interim_answers("", "HTTP/1.1 100 Continue\r\n\r\n", "interim answers to one request")]
#[case::declared_length(
    "HTTP/1.1 200 OK\r\ncontent-length: 1000000000\r\n\r\n",
    "x",
    "larger than"
)]
#[case::no_length("HTTP/1.1 200 OK\r\n\r\n", "x", "larger than")]
#[case::chunk_size(CHUNKED, "0", "without a part of an answer")]
#[case::small_chunks(CHUNKED, "1\r\nx\r\n", "parts of an answer with a few bytes")]
#[tokio::test]
async fn a_call_fails_before_its_deadline_and_closes_the_connection(
    #[case] start: &str,
    #[case] part: &str,
    #[case] cause: &str,
) -> Result<()> {
    let mut server = Server::start(start, part).await?;
    let client = Client::new(server.address.clone());
    let call = client
        .call(&request()?, Deadlines::after(CALL_TIMEOUT))
        .await;
    let Err(Error::Lost(text)) = call else {
        panic!("{call:?}");
    };
    assert!(text.contains(cause), "{text}");
    server.wait_for_close().await;
    Ok(())
}

#[rstest]
#[case::head("HTTP/1.1 200 OK\r\na: ", "x")]
#[case::body(CHUNKED, "0")]
#[tokio::test]
async fn a_stream_fails_and_closes_the_connection(
    #[case] start: &str,
    #[case] part: &str,
) -> Result<()> {
    let mut server = Server::start(start, part).await?;
    let client = Client::new(server.address.clone());
    let opened = client
        .stream(request()?, Deadlines::after(CALL_TIMEOUT))
        .await;
    if let Ok(mut stream) = opened {
        assert!(stream.next().await.is_err());
    }
    server.wait_for_close().await;
    Ok(())
}

/// A watch of one key.
#[rstest]
#[case::line("x", "too long")]
#[case::blank_lines("\n", "without a change")]
#[case::messages("{\"result\": {}}\n", "without a change")]
#[tokio::test]
async fn a_watch_without_changes_fails_and_closes_the_connection(
    #[case] part: &str,
    #[case] cause: &str,
) -> Result<()> {
    let part = part.repeat(4096);
    let part = format!("{:x}\r\n{part}\r\n", part.len());
    let mut server = Server::start(CHUNKED, &part).await?;
    let store = Store::new(vec![server.address.clone()], CALL_TIMEOUT);
    let mut watch = store.watch("k", Revision(1)).await?;
    let failure = timeout(PATIENCE, watch.next())
        .await?
        .expect_err("no change");
    assert!(failure.to_string().contains(cause), "{failure}");
    drop(watch);
    server.wait_for_close().await;
    Ok(())
}

#[test]
fn one_answer_may_take_most_of_the_memory() {
    let pool = Pool::new(24);
    let mut answer = Answer::new(pool.reserve(16));
    assert!(answer.append(&[1; 16]).is_ok());
    assert_eq!(answer.append(&[1]), Err(Full::Limit(16)));
}

#[test]
fn many_answers_without_end_leave_room_for_others() {
    let pool = Pool::new(100_000);
    let mut endless = Vec::new();
    for _ in 0..100 {
        endless.push(Answer::new(pool.reserve(50_000)));
    }
    while !endless.is_empty() {
        endless.retain_mut(|answer| answer.append(&[1; 10]).is_ok());
        let mut other = Answer::new(pool.reserve(50_000));
        let appended = other.append(&[1; 300]);
        assert!(appended.is_ok(), "{} bytes are used", pool.used());
    }
    assert_eq!(pool.used(), 0);
}

#[rstest]
#[case(0)]
#[case(1)]
#[case(65_535)]
#[case(65_536)]
#[case(300_000)]
fn a_complete_answer_holds_its_memory_until_it_is_dropped(#[case] length: usize) {
    let pool = Pool::default();
    let mut answer = Answer::new(pool.reserve(1 << 20));
    let bytes: Vec<u8> = (0..length)
        .map(|number| u8::try_from(number % 251).unwrap_or_default())
        .collect();
    for part in bytes.chunks(7_001) {
        answer.append(part).expect("memory");
    }
    let complete = answer.finish();
    assert_eq!(complete, bytes);
    assert_eq!(pool.used(), length);
    let clone = complete.clone();
    drop(complete);
    assert_eq!(pool.used(), length);
    drop(clone);
    assert_eq!(pool.used(), 0);
}

#[test]
fn a_declared_length_over_the_limit_is_refused_at_once() {
    let answer = Answer::new(Pool::default().reserve(10));
    assert!(answer.check_length(10).is_ok());
    assert_eq!(answer.check_length(11), Err(Full::Limit(10)));
}

/// Guards against interim answers without end, each of which costs far more time and memory
/// than its bytes (LOST): few are read, and the connection is closed.
#[tokio::test]
async fn few_interim_answers_are_read() -> Result<()> {
    const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n";
    // One read of the client takes at most this much.
    const READ_BYTES: usize = 8 * 1024;
    let (client, mut server) = duplex(READ_BYTES);
    let sent = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&sent);
    let sending = tokio::spawn(async move {
        let mut request = [0; 4096];
        let _read = server.read(&mut request).await;
        while server.write_all(INTERIM.as_bytes()).await.is_ok() {
            counted.fetch_add(1, Ordering::Relaxed);
        }
    });
    let (mut sender, connection, progress) = inbound::handshake(client).await?;
    tokio::spawn(connection);
    let mut request = Request::get("/").body(FullBody::new(Bytes::new()))?;
    let handled = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&handled);
    progress.watch(&mut request, move |_, _| {
        counted.fetch_add(1, Ordering::Relaxed);
    });
    let answer = timeout(PATIENCE, sender.send_request(request)).await?;
    assert!(answer.is_err());
    timeout(PATIENCE, sending).await??;
    assert_eq!(handled.load(Ordering::Relaxed), MAX_INTERIM_ANSWERS);
    let bound = MAX_INTERIM_ANSWERS + 3 * READ_BYTES / INTERIM.len();
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent <= bound, "{sent} interim answers were taken");
    Ok(())
}

/// Interim answers below the bound are passed on, and the answer after them is read; each
/// request on a connection has its own count.
#[tokio::test]
async fn an_answer_after_many_interim_ones_is_read() -> Result<()> {
    let (client, mut server) = duplex(64 * 1024);
    tokio::spawn(async move {
        let mut request = [0; 4096];
        while server.read(&mut request).await.is_ok_and(|read| read > 0) {
            let mut answer = "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(MAX_INTERIM_ANSWERS);
            answer += "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            let _written = server.write_all(answer.as_bytes()).await;
        }
    });
    let (mut sender, connection, progress) = inbound::handshake(client).await?;
    tokio::spawn(connection);
    for _ in 0..3 {
        let mut request = Request::get("/").body(FullBody::new(Bytes::new()))?;
        progress.watch(&mut request, |_, _| {});
        sender.ready().await?;
        let answer = timeout(PATIENCE, sender.send_request(request)).await??;
        assert_eq!(answer.status(), 200);
    }
    Ok(())
}

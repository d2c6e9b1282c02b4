//! Endpoints that answer while a body is still being sent to them, and reset the connection,
//! or whose answers have no valid status.

use std::{sync::Arc, time::Duration};

use dottereltally::{
    pool::Pool,
    upstream::{Client, Message, Reuse},
};
use http::Request;
use http_body_util::{BodyExt, Full};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::{sleep, timeout},
};

/// Guards against a test that waits for ever.
const PATIENCE: Duration = Duration::from_mins(1);

/// Part of the body of an answer.
const PART: &str = "part of the answer";

/// Starts an endpoint that reads the beginning of each request, sends these pieces of an
/// answer with a pause between them, waits and resets the connection.
async fn start(pieces: Vec<String>, pause: Duration, reset_after: Duration) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let pieces = Arc::new(pieces);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let pieces = Arc::clone(&pieces);
            tokio::spawn(async move {
                let mut start = [0; 1024];
                let _read = stream.read(&mut start).await;
                for piece in pieces.iter() {
                    let _written = stream.write_all(piece.as_bytes()).await;
                    sleep(pause).await;
                }
                sleep(reset_after).await;
                let _reset = stream.set_zero_linger();
            });
        }
    });
    address
}

fn upload(bytes: usize) -> Message {
    let request = Request::post("/x").header("host", "endpoint");
    request.body(Full::from(vec![7; bytes])).expect("a request")
}

/// Guards against MIXED: an answer without a length ends with its connection, and one that is
/// reset while the request is being sent must not look complete.
#[rstest]
#[case::at_once(vec![format!("HTTP/1.1 200 OK\r\n\r\n{PART}")])]
#[case::head_in_pieces(vec![
    "HTTP/1.1 2".to_owned(), "00 OK\r\nx-a: b\r\n".to_owned(), format!("\r\n{PART}"),
])]
#[case::closing(vec![format!("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{PART}")])]
#[case::old(vec![format!("HTTP/1.0 200 OK\r\n\r\n{PART}")])]
#[case::in_two_parts(vec![format!("HTTP/1.1 200 OK\r\n\r\n{PART}"), PART.to_owned()])]
#[tokio::test]
async fn an_answer_that_is_reset_during_an_upload_is_not_complete(
    #[case] pieces: Vec<String>,
    #[values(100_000, 8_000_000)] bytes: usize,
    #[values(0, 1, 20)] pause_ms: u64,
    #[values(0, 1, 5, 50, 300)] reset_ms: u64,
) {
    let pause = Duration::from_millis(pause_ms);
    let address = start(pieces, pause, Duration::from_millis(reset_ms)).await;
    for _ in 0..5 {
        let pool = Pool::default();
        let sending = pool.send(&address, upload(bytes), Reuse::Idle);
        let Ok(response) = timeout(PATIENCE, sending).await.expect("an end") else {
            continue;
        };
        let read = timeout(PATIENCE, response.into_body().collect()).await;
        let read = read.expect("an end");
        assert!(read.is_err(), "taken for complete: {read:?}");
    }
}

/// Guards against MIXED: what has no status of a final answer is none.
#[rstest]
#[tokio::test]
async fn an_answer_without_a_valid_status_is_none(
    #[values("000", "099", "101", "600", "999", "20", "2000", "-20", "2x0")] status: &str,
) {
    let answer = format!("HTTP/1.1 {status} X\r\ncontent-length: 2\r\n\r\nok");
    let address = start(vec![answer], Duration::ZERO, Duration::from_millis(50)).await;
    let pool = Pool::default();
    let sending = pool.send(&address, upload(10), Reuse::Idle);
    let sent = timeout(PATIENCE, sending).await.expect("an end");
    assert!(sent.is_err(), "taken for an answer: {sent:?}");
}

//! Answers that arrive slowly, or stop arriving.

use std::time::Duration;

use bytes::Bytes;
use dottereltally_lib::size;
use dottereltally_store::{
    http::{Answer, Client, Deadlines, Error},
    transfer::{Expired, Intake, Pace, Timer},
};
use eyre::Result;
use http::Request;
use http_body_util::Full;
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::{Instant, advance, sleep, timeout},
};

/// Guards against a test that waits for ever.
const PATIENCE: Duration = Duration::from_mins(1);

const LIMIT: Duration = Duration::from_millis(700);

/// Bytes that a link of 10 Mbit/s carries in a millisecond.
const LINK: u64 = 1_250;

/// An answer as it arrives on a paused clock.
struct Arrival {
    /// Bytes that arrive in a millisecond.
    rate: u64,
    /// Bytes after which nothing more arrives.
    stops_at: u64,
    length: u64,
}

impl Arrival {
    /// Returns the time that a call took, and how it ended.
    async fn receive(&self) -> (Duration, Result<(), Expired>) {
        let start = Instant::now();
        let mut timer = Timer::new(start + LIMIT, Pace::default());
        let mut received = 0;
        loop {
            advance(Duration::from_millis(1)).await;
            received = (received + self.rate).min(self.stops_at);
            if received >= self.length {
                return (start.elapsed(), Ok(()));
            }
            if Instant::now() < timer.next_check() {
                continue;
            }
            if let Err(expired) = timer.check(size::Bytes(received)) {
                return (start.elapsed(), Err(expired));
            }
        }
    }
}

/// Guards against CONFIG behind a slow link: an answer that takes longer than the time limit
/// of its call is received as long as it arrives.
#[rstest]
#[case::at_full_speed(LINK, 2_170_000)]
#[case::beside_requests(LINK / 4, 2_170_000)]
#[case::largest(LINK, 16 << 20)]
#[tokio::test(start_paused = true)]
async fn an_answer_that_arrives_outlives_its_deadline(#[case] rate: u64, #[case] length: u64) {
    let arrival = Arrival {
        rate,
        stops_at: u64::MAX,
        length,
    };
    let (took, result) = arrival.receive().await;
    assert_eq!(result, Ok(()));
    assert!(took > LIMIT, "{took:?}");
}

/// Guards against a host that is given up later than before answers could outlive their
/// deadline.
#[rstest]
#[case::silent(LINK, 0)]
#[case::a_byte_now_and_then(1, u64::MAX)]
#[case::stops_early(LINK, 300_000)]
#[tokio::test(start_paused = true)]
async fn an_answer_that_does_not_arrive_ends_at_its_deadline(
    #[case] rate: u64,
    #[case] stops_at: u64,
) {
    let arrival = Arrival {
        rate,
        stops_at,
        length: 2_170_000,
    };
    let (took, result) = arrival.receive().await;
    assert!(matches!(result, Err(Expired::Slow { .. })), "{result:?}");
    assert_eq!(took, LIMIT);
}

/// Guards against calls that stay open for ever: one whose answer stops in the middle, or goes
/// on without end, is given up.
#[rstest]
#[case::stops_in_the_middle(LINK, 1_100_000, Duration::from_millis(1_750))]
#[case::stops_before_its_end(LINK, 2_169_999, Duration::from_millis(2_450))]
#[case::without_end(30, u64::MAX, LIMIT + Duration::from_millis(30_100))]
#[tokio::test(start_paused = true)]
async fn every_answer_ends(#[case] rate: u64, #[case] stops_at: u64, #[case] longest: Duration) {
    let arrival = Arrival {
        rate,
        stops_at,
        length: 2_170_000,
    };
    let (took, result) = arrival.receive().await;
    assert!(result.is_err());
    assert!(took <= longest, "{took:?}");
}

/// A server that declares an answer and sends a part of it now and then.
async fn serve(parts: usize, part: usize, pause: Duration, length: usize) -> Result<Client> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let client = Client::new(listener.local_addr()?.to_string());
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await?;
        let mut request = [0; 4096];
        let _read = stream.read(&mut request).await?;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).await?;
        for _ in 0..parts {
            stream.write_all(&vec![b'x'; part]).await?;
            sleep(pause).await;
        }
        // The client closes the connection.
        stream.read(&mut request).await
    });
    Ok(client)
}

async fn call(client: &Client, pace: Pace, intake: &Intake) -> Result<Result<Answer, Error>> {
    let request = Request::get("/x").header("host", "store");
    let request = request.body(Full::<Bytes>::default())?;
    let deadlines = Deadlines {
        pace,
        ..Deadlines::after(Duration::from_millis(500))
    };
    let call = client.call_with(&request, deadlines, intake);
    Ok(timeout(PATIENCE, call).await?)
}

/// Guards against CONFIG behind a slow link, with a real connection.
#[tokio::test]
async fn a_call_receives_an_answer_that_takes_longer_than_its_limit() -> Result<()> {
    let pace = Pace {
        window: Duration::from_secs(5),
        least: size::Bytes(1),
    };
    let client = serve(8, 50_000, Duration::from_millis(100), 400_000).await?;
    let intake = Intake::default();
    let answer = call(&client, pace, &intake).await??;
    assert_eq!(answer.body.len(), 400_000);
    assert_eq!(intake.received(), size::Bytes(400_000));
    assert_eq!(intake.declared(), Some(size::Bytes(400_000)));
    Ok(())
}

/// Guards against answers that grow without bound while they are taken: one that is larger
/// than its intake is not read any further, whether its length is declared or not.
#[rstest]
#[case::declared("content-length: 400000\r\n\r\n", 0)]
#[case::not_declared("\r\n", 100_000)]
#[tokio::test]
async fn an_answer_that_is_larger_than_its_intake_is_not_read(
    #[case] head: &str,
    #[case] least: u64,
) -> Result<()> {
    const MOST: size::Bytes = size::Bytes(100_000);
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let client = Client::new(listener.local_addr()?.to_string());
    let head = format!("HTTP/1.1 200 OK\r\n{head}");
    let serving = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await?;
        let mut request = [0; 4096];
        let _read = stream.read(&mut request).await?;
        stream.write_all(head.as_bytes()).await?;
        // Ends when the client closes the connection.
        while stream.write_all(&[b'x'; 1000]).await.is_ok() {}
        std::io::Result::Ok(())
    });
    let intake = Intake::up_to(MOST);
    let result = call(&client, Pace::default(), &intake).await?;
    assert!(
        matches!(result, Err(Error::Oversized { most, .. }) if most == MOST),
        "{result:?}"
    );
    assert!(intake.received() >= size::Bytes(least));
    assert!(intake.received() <= size::Bytes(MOST.0 + (64 << 10)));
    timeout(PATIENCE, serving).await???;
    Ok(())
}

/// Guards against calls that wait for a host that stopped sending, and against causes that
/// don't tell how much it sent.
#[rstest]
#[case::silent(0, 0, 0)]
#[case::stopped(1, 50_000, 50_000)]
#[tokio::test]
async fn a_call_whose_answer_stops_fails_and_says_how_much_came(
    #[case] parts: usize,
    #[case] part: usize,
    #[case] received: u64,
) -> Result<()> {
    let client = serve(parts, part, Duration::ZERO, 400_000).await?;
    let intake = Intake::default();
    let result = call(&client, Pace::default(), &intake).await?;
    let Err(Error::Lost(cause)) = result else {
        panic!("{result:?}");
    };
    assert!(
        cause.contains(&size::Bytes(received).to_string()),
        "{cause}"
    );
    assert_eq!(intake.received(), size::Bytes(received));
    Ok(())
}

//! Reads the streams of cache events of endpoints.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use dottereltally_lib::{
    endpoint::{Cache, Change, Record},
    event::Event,
    id,
};
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use rand::Rng;
use serde::Deserialize;
use tokio::time::{sleep, timeout};

use crate::{
    dispatcher,
    observer::{Metrics, load},
};

/// Path of the cache events, starting at the oldest that the endpoint keeps.
const PATH: &str = "/cache/events?from=0";
/// Delay before a stream is reopened; doubles with each failure to open it.
const MIN_REOPEN_DELAY: Duration = Duration::from_millis(500);
/// Longest delay before a stream is reopened.
const MAX_REOPEN_DELAY: Duration = Duration::from_secs(30);
/// Delay before an endpoint that offered no cache events is asked again.
const ABSENT_DELAY: Duration = Duration::from_mins(1);
/// Time limit for the head of the response.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a byte after which a stream is reopened.
const INACTIVITY_TIMEOUT: Duration = Duration::from_mins(1);
/// Longest event, bytes.
const MAX_EVENT_BYTES: usize = 4096;

/// The `data` field of one event on the wire.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Data {
    Stored(String),
    Removed(String),
    Cleared(bool),
}

/// Why an event is invalid.
#[derive(Debug, thiserror::Error)]
enum Error {
    /// Its prefix is not a hexadecimal hash.
    #[error("the prefix is not hexadecimal: {0}; check the endpoint's version")]
    Prefix(#[from] std::num::ParseIntError),
    /// Its `cleared` field is `false`.
    #[error("`cleared` must be true; check the endpoint's version")]
    Cleared,
}

impl TryFrom<Data> for Change {
    type Error = Error;

    fn try_from(data: Data) -> Result<Self, Self::Error> {
        match data {
            Data::Stored(prefix) => Ok(Self::Stored(parse_prefix(&prefix)?)),
            Data::Removed(prefix) => Ok(Self::Removed(parse_prefix(&prefix)?)),
            Data::Cleared(true) => Ok(Self::Cleared),
            Data::Cleared(false) => Err(Error::Cleared),
        }
    }
}

fn parse_prefix(text: &str) -> Result<id::Prefix, std::num::ParseIntError> {
    u64::from_str_radix(text, 16).map(id::Prefix)
}

/// How a stream ended.
enum End {
    /// The endpoint offers no cache events.
    Absent,
    /// The stream could not be opened.
    Failed,
    /// The stream was open, but broke off, was inactive for too long or sent an
    /// overlong event.
    Broken,
}

/// Assigns sequence numbers to the events of one endpoint across its streams.
///
/// The endpoint's own sequence starts over when the endpoint restarts, and a
/// stream that broke off does not show whether that happened. Each stream is
/// therefore read from the oldest event that the endpoint keeps, preceded by a
/// synthetic [`Change::Cleared`]. The assigned numbers never decrease, and a
/// gap in the endpoint's numbers appears as a gap in them.
#[derive(Debug, Default)]
struct Numbering {
    /// Number assigned last.
    last: u64,
    /// Endpoint's number of the last event in the current stream.
    received: Option<u64>,
}

impl Numbering {
    /// Starts a new stream; returns the synthetic event that precedes it, none
    /// for the first stream.
    fn restart(&mut self) -> Option<Cache> {
        self.received = None;
        if self.last == 0 {
            return None;
        }
        self.last += 1;
        Some(Cache {
            sequence: self.last,
            change: Change::Cleared,
        })
    }

    /// Assigns a number to an event; none if the event is not newer than the
    /// last one. The second value is true if events are missing before it.
    fn number(&mut self, event: &Cache) -> Option<(Cache, bool)> {
        let step = match self.received {
            None => 1,
            Some(received) if event.sequence > received => event.sequence - received,
            Some(_) => return None,
        };
        self.received = Some(event.sequence);
        self.last = self.last.saturating_add(step);
        let cache = Cache {
            sequence: self.last,
            change: event.change,
        };
        Some((cache, step > 1))
    }
}

/// Reads the cache events of one endpoint, stream after stream; never returns.
pub(super) async fn follow(record: Record, dispatcher: impl dispatcher::Handle, metrics: Metrics) {
    let mut numbering = Numbering::default();
    let mut reopen_delay = MIN_REOPEN_DELAY;
    loop {
        let end = read(&record, &mut numbering, &dispatcher, &metrics).await;
        let delay = match end {
            End::Absent => ABSENT_DELAY,
            End::Broken => MIN_REOPEN_DELAY,
            End::Failed => reopen_delay,
        };
        reopen_delay = match end {
            End::Failed => (reopen_delay * 2).min(MAX_REOPEN_DELAY),
            End::Absent | End::Broken => MIN_REOPEN_DELAY,
        };
        let jitter = rand::rng().random_range(0.5..1.0);
        sleep(delay.mul_f64(jitter)).await;
    }
}

/// Reads one stream until it ends.
async fn read(
    record: &Record,
    numbering: &mut Numbering,
    dispatcher: &impl dispatcher::Handle,
    metrics: &Metrics,
) -> End {
    let (connection, mut body) = match open(&record.address).await {
        Ok(open) => open,
        Err(end) => return end,
    };
    metrics.streams.inc();
    if let Some(cleared) = numbering.restart() {
        dispatcher.send(Event::Cached(record.id.clone(), cleared));
    }
    let mut buffer = BytesMut::new();
    loop {
        let Ok(Some(Ok(frame))) = timeout(INACTIVITY_TIMEOUT, body.frame()).await else {
            return End::Broken;
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        buffer.extend_from_slice(&data);
        while let Some(event) = split_event(&mut buffer) {
            let Some((cache, gap)) = parse(&event).and_then(|event| numbering.number(&event))
            else {
                continue;
            };
            // Only valid events count, so that a stream of anything else ends.
            connection.record(event.len());
            metrics.events.inc();
            metrics.gaps.inc_by(u64::from(gap));
            dispatcher.send(Event::Cached(record.id.clone(), cache));
        }
        if buffer.len() > MAX_EVENT_BYTES {
            return End::Broken;
        }
    }
}

async fn open(address: &str) -> Result<(load::Connection, Incoming), End> {
    let connection = load::Connection::open(address).await;
    let mut connection = connection.map_err(|_| End::Failed)?;
    let response = timeout(HEAD_TIMEOUT, connection.get(address, PATH))
        .await
        .map_err(|_| End::Failed)?
        .map_err(|_| End::Failed)?;
    match response.status() {
        StatusCode::OK => Ok((connection, response.into_body())),
        StatusCode::NOT_FOUND => Err(End::Absent),
        _ => Err(End::Failed),
    }
}

/// Removes one complete event from the front of the buffer.
fn split_event(buffer: &mut BytesMut) -> Option<Bytes> {
    let end = buffer.windows(2).position(|pair| pair == b"\n\n")?;
    let event = buffer.split_to(end + 2);
    Some(event.freeze())
}

/// Parses one event; none for a comment or an event of another kind.
fn parse(event: &[u8]) -> Option<Cache> {
    let text = std::str::from_utf8(event).ok()?;
    let mut sequence = None;
    let mut change = None;
    for line in text.lines() {
        if let Some(id) = line.strip_prefix("id:") {
            sequence = id.trim().parse().ok();
        } else if let Some(data) = line.strip_prefix("data:") {
            let data: Data = serde_json::from_str(data.trim()).ok()?;
            change = Change::try_from(data).ok();
        }
    }
    Some(Cache {
        sequence: sequence?,
        change: change?,
    })
}

//! Follows the cache events of endpoints.

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

/// First pause before a stream is opened again; doubles with each failure.
const MIN_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause before a stream is opened again.
const MAX_PAUSE: Duration = Duration::from_secs(30);
/// Pause for an endpoint that has no cache events.
const ABSENT_PAUSE: Duration = Duration::from_mins(1);
/// Time for the head of the answer.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a byte after which a stream is opened anew.
const INACTIVITY: Duration = Duration::from_mins(1);
/// Bytes of the longest event.
const MAX_EVENT: usize = 4096;

/// Data of one event on the wire.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Data {
    Stored(String),
    Removed(String),
    Cleared(bool),
}

/// Why an event can't be used.
#[derive(Debug, thiserror::Error)]
enum Unusable {
    /// Its prefix is not a hash.
    #[error("the prefix is not hexadecimal: {0}; check the endpoint's version")]
    Prefix(#[from] std::num::ParseIntError),
    /// It says `false`.
    #[error("`cleared` must be true; check the endpoint's version")]
    Cleared,
}

impl TryFrom<Data> for Change {
    type Error = Unusable;

    fn try_from(data: Data) -> Result<Self, Self::Error> {
        match data {
            Data::Stored(prefix) => Ok(Self::Stored(parse_prefix(&prefix)?)),
            Data::Removed(prefix) => Ok(Self::Removed(parse_prefix(&prefix)?)),
            Data::Cleared(true) => Ok(Self::Cleared),
            Data::Cleared(false) => Err(Unusable::Cleared),
        }
    }
}

fn parse_prefix(text: &str) -> Result<id::Prefix, std::num::ParseIntError> {
    u64::from_str_radix(text, 16).map(id::Prefix)
}

/// How a stream ended.
enum End {
    /// The endpoint has no cache events.
    Absent,
    /// It could not be opened.
    Failed,
    /// It was open and broke off, fell silent or became unreadable.
    Broken,
}

/// Follows the events of one endpoint until the task is dropped.
pub(super) async fn follow(record: Record, dispatcher: impl dispatcher::Handle, metrics: Metrics) {
    let mut next = 0;
    let mut pause = MIN_PAUSE;
    loop {
        let end = read(&record, &mut next, &dispatcher, &metrics).await;
        let wait = match end {
            End::Absent => ABSENT_PAUSE,
            End::Broken => MIN_PAUSE,
            End::Failed => pause,
        };
        pause = match end {
            End::Failed => (pause * 2).min(MAX_PAUSE),
            End::Absent | End::Broken => MIN_PAUSE,
        };
        let jitter = rand::rng().random_range(0.5..1.0);
        sleep(wait.mul_f64(jitter)).await;
    }
}

/// Reads one stream to its end; `next` is the number of the event that is
/// expected, zero before the first.
async fn read(
    record: &Record,
    next: &mut u64,
    dispatcher: &impl dispatcher::Handle,
    metrics: &Metrics,
) -> End {
    let mut body = match open(&record.address, *next).await {
        Ok(body) => body,
        Err(end) => return end,
    };
    metrics.streams.inc();
    let mut buffer = BytesMut::new();
    loop {
        let Ok(Some(Ok(frame))) = timeout(INACTIVITY, body.frame()).await else {
            return End::Broken;
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        buffer.extend_from_slice(&data);
        while let Some(event) = split_event(&mut buffer) {
            let Some(cache) = parse(&event) else {
                continue;
            };
            metrics.events.inc();
            if *next != 0 && cache.sequence != *next {
                metrics.gaps.inc();
            }
            *next = cache.sequence + 1;
            dispatcher.tell(Event::Cached(record.id.clone(), cache));
        }
        if buffer.len() > MAX_EVENT {
            return End::Broken;
        }
    }
}

async fn open(address: &str, next: u64) -> Result<Incoming, End> {
    let mut sender = load::open(address).await.map_err(|_| End::Failed)?;
    let request = load::get(address, &format!("/cache/events?from={next}"));
    let response = timeout(HEAD_TIMEOUT, sender.send_request(request))
        .await
        .map_err(|_| End::Failed)?
        .map_err(|_| End::Failed)?;
    match response.status() {
        StatusCode::OK => Ok(response.into_body()),
        StatusCode::NOT_FOUND => Err(End::Absent),
        _ => Err(End::Failed),
    }
}

/// Takes one whole event off the front of the buffer.
fn split_event(buffer: &mut BytesMut) -> Option<Bytes> {
    let end = buffer.windows(2).position(|pair| pair == b"\n\n")?;
    let event = buffer.split_to(end + 2);
    Some(event.freeze())
}

/// Reads one event; none for a comment or an event of another kind.
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

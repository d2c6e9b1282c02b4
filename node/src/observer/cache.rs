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

/// Path of the cache events, from the first that the endpoint keeps.
const PATH: &str = "/cache/events?from=0";
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

/// Numbers the events of one endpoint across its streams.
///
/// The endpoint's own numbers start again when it restarts, and a stream that
/// broke off does not tell whether it did. Each stream is therefore read from
/// the first event that the endpoint keeps, behind a synthetic
/// [`Change::Cleared`]; the numbers passed on never go back, and a gap in the
/// endpoint's numbers is a gap in them.
#[derive(Debug, Default)]
struct Numbering {
    last: u64,
    number: Option<u64>,
}

impl Numbering {
    /// Starts a stream; returns the event to be passed on first, if any.
    fn restart(&mut self) -> Option<Cache> {
        self.number = None;
        if self.last == 0 {
            return None;
        }
        self.last += 1;
        Some(Cache {
            sequence: self.last,
            change: Change::Cleared,
        })
    }

    /// Numbers an event; none if it comes late. The second value tells
    /// whether events are missing before it.
    fn number(&mut self, event: &Cache) -> Option<(Cache, bool)> {
        let step = match self.number {
            None => 1,
            Some(number) if event.sequence > number => event.sequence - number,
            Some(_) => return None,
        };
        self.number = Some(event.sequence);
        self.last = self.last.saturating_add(step);
        let cache = Cache {
            sequence: self.last,
            change: event.change,
        };
        Some((cache, step > 1))
    }
}

/// Follows the events of one endpoint until the task is dropped.
pub(super) async fn follow(record: Record, dispatcher: impl dispatcher::Handle, metrics: Metrics) {
    let mut numbering = Numbering::default();
    let mut pause = MIN_PAUSE;
    loop {
        let end = read(&record, &mut numbering, &dispatcher, &metrics).await;
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

/// Reads one stream to its end.
async fn read(
    record: &Record,
    numbering: &mut Numbering,
    dispatcher: &impl dispatcher::Handle,
    metrics: &Metrics,
) -> End {
    let mut body = match open(&record.address).await {
        Ok(body) => body,
        Err(end) => return end,
    };
    metrics.streams.inc();
    if let Some(cleared) = numbering.restart() {
        dispatcher.tell(Event::Cached(record.id.clone(), cleared));
    }
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
            let Some((cache, gap)) = parse(&event).and_then(|event| numbering.number(&event))
            else {
                continue;
            };
            metrics.events.inc();
            metrics.gaps.inc_by(u64::from(gap));
            dispatcher.tell(Event::Cached(record.id.clone(), cache));
        }
        if buffer.len() > MAX_EVENT {
            return End::Broken;
        }
    }
}

async fn open(address: &str) -> Result<Incoming, End> {
    let mut sender = load::open(address).await.map_err(|_| End::Failed)?;
    let request = load::get(address, PATH);
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

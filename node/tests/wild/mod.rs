//! Endpoints that fail at random and keep a ledger of what they were handed.

use std::{
    collections::BTreeMap,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use dottereltally::{
    dispatch::CORRELATION,
    upstream::{Broken, Client, Failure, Message, Reuse},
};
use http::{HeaderValue, Response, header::CONTENT_TYPE};
use http_body::Frame;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::time::{Sleep, sleep};

/// Correlation value of a request that was never sent.
const OTHER: &str = "entry-1-other";
/// Longest pause between two frames, milliseconds.
const MAX_PAUSE_MS: u64 = 150;
/// Most events of a stream.
const MAX_EVENTS: u64 = 30;

/// A request that an endpoint was handed.
#[derive(Clone, Debug)]
pub struct Handed {
    /// Position among all that happened.
    pub order: u64,
    /// The caller's idempotency key, if any.
    pub key: Option<String>,
}

/// What happened, in order.
#[derive(Debug, Default)]
pub struct Ledger {
    order: u64,
    /// Requests that were handed over, by correlation value.
    pub handed: BTreeMap<String, Vec<Handed>>,
    /// How often each kind of fate was met.
    pub fates: BTreeMap<&'static str, u64>,
}

impl Ledger {
    /// Returns the position of something that happens now.
    pub fn tick(&mut self) -> u64 {
        self.order += 1;
        self.order
    }
}

/// The endpoints; clones share them.
#[derive(Clone)]
pub struct Endpoints {
    rng: Arc<Mutex<SmallRng>>,
    /// What they were handed.
    pub ledger: Arc<Mutex<Ledger>>,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Unsent,
    Broken,
    Silent,
    Crossed,
    Cut,
    Stalled,
    Whole,
}

impl Endpoints {
    /// Builds endpoints that draw their faults from this seed.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: Arc::new(Mutex::new(SmallRng::seed_from_u64(seed))),
            ledger: Arc::default(),
        }
    }

    fn fate(&self) -> (Fate, u64, u64) {
        let mut rng = self.rng.lock().expect("unpoisoned");
        let fate = match rng.random_range(0..100) {
            0..8 => Fate::Unsent,
            8..12 => Fate::Broken,
            12..14 => Fate::Silent,
            14..17 => Fate::Crossed,
            17..22 => Fate::Cut,
            22..24 => Fate::Stalled,
            _ => Fate::Whole,
        };
        (fate, rng.random_range(1..=MAX_EVENTS), rng.random())
    }

    fn record(&self, fate: Fate, message: &Message, correlation: &str) {
        let mut ledger = self.ledger.lock().expect("unpoisoned");
        let name = match fate {
            Fate::Unsent => "unsent",
            Fate::Broken => "broken",
            Fate::Silent => "silent",
            Fate::Crossed => "crossed",
            Fate::Cut => "cut",
            Fate::Stalled => "stalled",
            Fate::Whole => "whole",
        };
        *ledger.fates.entry(name).or_default() += 1;
        if let Fate::Unsent = fate {
            return;
        }
        let order = ledger.tick();
        let key = message.headers().get("idempotency-key");
        let key = key.map(|key| key.to_str().expect("text").to_owned());
        ledger
            .handed
            .entry(correlation.to_owned())
            .or_default()
            .push(Handed { order, key });
    }
}

impl Client for Endpoints {
    type Body = WildBody;

    async fn send(
        &self,
        _address: &str,
        message: Message,
        _reuse: Reuse,
    ) -> Result<Response<WildBody>, Failure> {
        let (fate, events, seed) = self.fate();
        let echo = message.headers()[CORRELATION].clone();
        let correlation = echo.to_str().expect("text").to_owned();
        self.record(fate, &message, &correlation);
        sleep(Duration::from_millis(seed % 20)).await;
        match fate {
            Fate::Unsent => {
                return Err(Failure::Unsent {
                    message: Box::new(message),
                    cause: "refused".to_owned(),
                });
            }
            Fate::Broken => {
                return Err(Failure::Broken(Broken {
                    cause: "reset".to_owned(),
                }));
            }
            Fate::Silent => return std::future::pending().await,
            _ => {}
        }
        let streamed = message.uri().path().starts_with("/v1/");
        let origin = match fate {
            Fate::Crossed => OTHER,
            _ => &correlation,
        };
        let body = WildBody {
            fate,
            frames: frames(origin, streamed, events),
            next: 0,
            rng: SmallRng::seed_from_u64(seed),
            pause: None,
        };
        let mut response = Response::new(body);
        let kind = if streamed {
            "text/event-stream"
        } else {
            "application/json"
        };
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(kind));
        let echo = match fate {
            Fate::Crossed => HeaderValue::from_static(OTHER),
            _ => echo,
        };
        headers.insert(CORRELATION, echo);
        Ok(response)
    }
}

fn frames(correlation: &str, streamed: bool, events: u64) -> Vec<String> {
    if !streamed {
        let middle = format!("\"id\": \"{correlation}\"");
        return vec!["{".to_owned(), middle, "}".to_owned()];
    }
    let mut frames = Vec::new();
    for event in 0..events {
        frames.push(format!(
            "data: {{\"id\": \"{correlation}\", \"n\": {event}}}\n\n"
        ));
    }
    frames.push(format!(
        "data: {{\"id\": \"{correlation}\", \"usage\": {{\"completion_tokens\": {events}}}}}\n\n"
    ));
    frames.push("data: [DONE]\n\n".to_owned());
    frames
}

/// Body of an answer that comes with pauses.
pub struct WildBody {
    fate: Fate,
    frames: Vec<String>,
    next: usize,
    rng: SmallRng,
    pause: Option<Pin<Box<Sleep>>>,
}

impl http_body::Body for WildBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(context));
        }
        let span = Duration::from_millis(self.rng.random_range(0..MAX_PAUSE_MS));
        self.pause = Some(Box::pin(sleep(span)));
        let last = self.next + 1 == self.frames.len();
        match self.fate {
            Fate::Cut if last => {
                return Poll::Ready(Some(Err(Broken {
                    cause: "reset".to_owned(),
                })));
            }
            Fate::Stalled if last => return Poll::Pending,
            _ => {}
        }
        let Some(frame) = self.frames.get(self.next) else {
            return Poll::Ready(None);
        };
        let frame = Frame::data(Bytes::from(frame.clone()));
        self.next += 1;
        Poll::Ready(Some(Ok(frame)))
    }
}

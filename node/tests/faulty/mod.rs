//! Endpoints that fail at random and record the requests that they receive.

use std::{
    collections::BTreeMap,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use dottereltally::{
    dispatch::CORRELATION_HEADER,
    upstream::{Broken, Client, Failure, Message, Reuse},
};
use http::{HeaderValue, Response, header::CONTENT_TYPE};
use http_body::Frame;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::time::{Sleep, sleep};

/// Correlation value that belongs to no request of the test.
const FOREIGN_CORRELATION: &str = "entry-1-other";
/// Upper bound of the pause between two frames, in milliseconds.
const MAX_PAUSE_MS: u64 = 150;
/// Largest number of events of a stream, without its usage and end events.
const MAX_STREAM_EVENTS: u64 = 30;

/// A request that reached an endpoint.
#[derive(Clone, Debug)]
pub struct Delivery {
    /// Position in the order of the history.
    pub order: u64,
    /// The caller's idempotency key, if any.
    pub key: Option<String>,
}

/// Record of the requests that reached endpoints, in order.
#[derive(Debug, Default)]
pub struct History {
    order: u64,
    /// Requests that reached an endpoint, by correlation value.
    pub deliveries: BTreeMap<String, Vec<Delivery>>,
    /// How often each behaviour was drawn.
    pub behaviours: BTreeMap<&'static str, u64>,
}

impl History {
    /// Returns the next position in the order.
    pub fn tick(&mut self) -> u64 {
        self.order += 1;
        self.order
    }
}

/// All endpoints of a test; clones share their state.
#[derive(Clone)]
pub struct Endpoints {
    rng: Arc<Mutex<SmallRng>>,
    /// Record of the requests that reached the endpoints.
    pub history: Arc<Mutex<History>>,
}

/// How an endpoint treats a request.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    /// The connection is refused, so that nothing is sent.
    Unsent,
    /// The connection breaks before the head of the response.
    Broken,
    /// The endpoint never responds.
    Silent,
    /// The response carries the correlation value of another request.
    Crossed,
    /// The connection breaks in place of the last frame.
    Cut,
    /// The last frame never comes.
    Stalled,
    /// The response is complete.
    Whole,
}

impl Endpoints {
    /// Builds endpoints whose faults are drawn with this seed.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: Arc::new(Mutex::new(SmallRng::seed_from_u64(seed))),
            history: Arc::default(),
        }
    }

    /// Draws the behaviour towards a request, the number of events of the response
    /// if it is streamed, and a seed for its delays.
    fn draw(&self) -> (Behaviour, u64, u64) {
        let mut rng = self.rng.lock().expect("unpoisoned");
        let behaviour = match rng.random_range(0..100) {
            0..8 => Behaviour::Unsent,
            8..12 => Behaviour::Broken,
            12..14 => Behaviour::Silent,
            14..17 => Behaviour::Crossed,
            17..22 => Behaviour::Cut,
            22..24 => Behaviour::Stalled,
            _ => Behaviour::Whole,
        };
        (
            behaviour,
            rng.random_range(1..=MAX_STREAM_EVENTS),
            rng.random(),
        )
    }

    /// Records the behaviour and, unless nothing was sent, the delivered request.
    fn record(&self, behaviour: Behaviour, message: &Message, correlation: &str) {
        let mut history = self.history.lock().expect("unpoisoned");
        let name = match behaviour {
            Behaviour::Unsent => "unsent",
            Behaviour::Broken => "broken",
            Behaviour::Silent => "silent",
            Behaviour::Crossed => "crossed",
            Behaviour::Cut => "cut",
            Behaviour::Stalled => "stalled",
            Behaviour::Whole => "whole",
        };
        *history.behaviours.entry(name).or_default() += 1;
        if let Behaviour::Unsent = behaviour {
            return;
        }
        let order = history.tick();
        let key = message.headers().get("idempotency-key");
        let key = key.map(|key| key.to_str().expect("text").to_owned());
        history
            .deliveries
            .entry(correlation.to_owned())
            .or_default()
            .push(Delivery { order, key });
    }
}

impl Client for Endpoints {
    type Body = Body;

    async fn send(
        &self,
        _address: &str,
        message: Message,
        _reuse: Reuse,
    ) -> Result<Response<Body>, Failure> {
        let (behaviour, events, seed) = self.draw();
        let echo = message.headers()[CORRELATION_HEADER].clone();
        let correlation = echo.to_str().expect("text").to_owned();
        self.record(behaviour, &message, &correlation);
        sleep(Duration::from_millis(seed % 20)).await;
        match behaviour {
            Behaviour::Unsent => {
                return Err(Failure::Unsent {
                    message: Box::new(message),
                    cause: "refused".to_owned(),
                });
            }
            Behaviour::Broken => {
                return Err(Failure::Broken(Broken {
                    cause: "reset".to_owned(),
                }));
            }
            Behaviour::Silent => return std::future::pending().await,
            _ => {}
        }
        let streamed = message.uri().path().starts_with("/v1/");
        let body_correlation = match behaviour {
            Behaviour::Crossed => FOREIGN_CORRELATION,
            _ => &correlation,
        };
        let body = Body {
            behaviour,
            frames: frames(body_correlation, streamed, events),
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
        let echo = match behaviour {
            Behaviour::Crossed => HeaderValue::from_static(FOREIGN_CORRELATION),
            _ => echo,
        };
        headers.insert(CORRELATION_HEADER, echo);
        Ok(response)
    }
}

/// Returns the frames of a response that carries this correlation value.
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

/// Body of a response, with random pauses between its frames.
pub struct Body {
    behaviour: Behaviour,
    frames: Vec<String>,
    next: usize,
    rng: SmallRng,
    pause: Option<Pin<Box<Sleep>>>,
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(context));
        }
        let duration = Duration::from_millis(self.rng.random_range(0..MAX_PAUSE_MS));
        self.pause = Some(Box::pin(sleep(duration)));
        let last = self.next + 1 == self.frames.len();
        match self.behaviour {
            Behaviour::Cut if last => {
                return Poll::Ready(Some(Err(Broken {
                    cause: "reset".to_owned(),
                })));
            }
            Behaviour::Stalled if last => return Poll::Pending,
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

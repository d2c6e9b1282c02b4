//! Stand-in of a model engine: continuous batching with a prefix cache.

mod batch;
mod cache;
pub mod format;

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::{
    sync::{mpsc, watch},
    time::sleep,
};

use self::{
    batch::{Batch, Event, Sequence},
    format::{Completion, Shape},
};
use crate::server::{
    Abort, Answer, Body, Service, Switches, json_answer, lock, problem, read_json,
};

/// Time between two steps of an engine that has nothing to do.
const IDLE_STEP: Duration = Duration::from_millis(5);
/// Number of requests that are remembered for the control page.
const MAX_REMEMBERED: usize = 4096;
/// Exit code of a crash.
const CRASH_EXIT_CODE: i32 = 70;

/// Point at which a connection is closed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Death {
    /// Never.
    #[default]
    None,
    /// Before the request starts.
    Before,
    /// After it started, before the first byte of the answer.
    During,
    /// After the first bytes of the answer.
    After,
}

/// What can be switched.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Positions {
    /// Models and adapters that are loaded; none accepts any name.
    pub models: Vec<String>,
    /// Prompt tokens computed per second.
    pub prefill_rate: f64,
    /// Time of a decoding step.
    pub decode_ms: f64,
    /// Number of requests that run at a time.
    pub max_batch: usize,
    /// Number of blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Age that reported load can have.
    pub lag_ms: u64,
    /// Factor by which every step is slowed down.
    pub straggle: f64,
    /// Stops all progress until it is cleared; callers that leave are noticed.
    pub hold: bool,
    /// Text in a prompt that ends the process, if any.
    pub crash_marker: String,
    /// Point at which connections are closed.
    pub die: Death,
    /// Number of the next requests that it applies to.
    pub die_next: u64,
    /// Number of the next streams that end early and without `[DONE]`.
    pub cut_next: u64,
    /// Echoes another `x-request-id` than the request's.
    pub wrong_echo: bool,
    /// Number of the next cache events that are left out.
    pub event_gap_next: u64,
    /// Says on the load page and in the load header that the engine leaves.
    pub leaving: bool,
}

impl Default for Positions {
    fn default() -> Self {
        Self {
            models: Vec::new(),
            prefill_rate: 20_000.0,
            decode_ms: 2.0,
            max_batch: 32,
            cache_blocks: 4096,
            lag_ms: 100,
            straggle: 1.0,
            hold: false,
            crash_marker: String::new(),
            die: Death::None,
            die_next: 0,
            cut_next: 0,
            wrong_echo: false,
            event_gap_next: 0,
            leaving: false,
        }
    }
}

/// The model engine.
#[derive(Debug)]
pub struct Engine {
    switches: Switches<Positions>,
    batch: Mutex<Batch>,
    load: Mutex<Option<(Instant, batch::Load)>>,
    requests: Mutex<VecDeque<Value>>,
    events: watch::Sender<u64>,
}

impl Engine {
    /// Starts the batch; to be called inside a runtime.
    #[must_use]
    pub fn start() -> Arc<Self> {
        let engine = Arc::new(Self {
            switches: Switches::default(),
            batch: Mutex::default(),
            load: Mutex::default(),
            requests: Mutex::default(),
            events: watch::Sender::new(0),
        });
        let weak = Arc::downgrade(&engine);
        tokio::spawn(async move {
            while let Some(engine) = weak.upgrade() {
                let span = engine.step();
                drop(engine);
                sleep(span).await;
            }
        });
        engine
    }

    /// Runs one step of the batch and returns the time that it takes.
    fn step(&self) -> Duration {
        let positions = self.switches.get();
        let mut batch = lock(&self.batch);
        let span = batch.step(&positions);
        let gap = batch.cache.take_gap();
        self.events.send_replace(batch.cache.last_event());
        drop(batch);
        if gap > 0 {
            self.switches
                .modify(|at| at.event_gap_next = at.event_gap_next.saturating_sub(gap));
        }
        span.unwrap_or(IDLE_STEP)
    }

    /// Returns the load as it was at most the lag ago.
    fn reported(&self, positions: &Positions) -> Value {
        let lag = Duration::from_millis(positions.lag_ms);
        let mut load = lock(&self.load);
        let now = Instant::now();
        let fresh = load
            .filter(|(taken, _)| now.duration_since(*taken) < lag)
            .unwrap_or_else(|| (now, lock(&self.batch).load()));
        *load = Some(fresh);
        let batch::Load {
            running,
            waiting,
            tokens,
        } = fresh.1;
        json!({"running": running, "waiting": waiting, "tokens": tokens})
    }

    fn load_page(&self) -> Value {
        let positions = self.switches.get();
        let mut load = self.reported(&positions);
        load["models"] = json!(positions.models);
        load["state"] = json!(if positions.leaving { "leaving" } else { "live" });
        load
    }

    fn load_header(&self, positions: &Positions) -> HeaderValue {
        let mut metrics = self.reported(positions);
        metrics["leaving"] = json!(u8::from(positions.leaving));
        let text = format!("JSON {}", json!({"named_metrics": metrics}));
        HeaderValue::from_str(&text).expect("JSON of numbers is a valid header")
    }

    fn remember(&self, id: &str, completion: &Completion) {
        let mut requests = lock(&self.requests);
        if requests.len() == MAX_REMEMBERED {
            requests.pop_front();
        }
        requests.push_back(json!({
            "id": id,
            "model": completion.model,
            "prompt": format::digest(&completion.prompt()),
        }));
    }

    async fn complete(&self, shape: Shape, request: Request<Incoming>) -> Answer {
        let echo = request.headers().get("x-request-id").cloned();
        let id = echo
            .as_ref()
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        let completion: Completion = match read_json(request).await {
            Ok(completion) => completion,
            Err(answer) => return Ok(answer),
        };
        self.remember(&id, &completion);
        let positions = self.switches.get();
        if !positions.models.is_empty() && !positions.models.contains(&completion.model) {
            return Ok(problem(StatusCode::NOT_FOUND, "this model is not loaded"));
        }
        let death = self.switches.modify(take_death);
        if death == Death::Before {
            return Err(Abort);
        }
        let (sender, mut events) = mpsc::unbounded_channel();
        lock(&self.batch).enqueue(Sequence::new(&completion, sender));
        if death == Death::During {
            events.recv().await;
            return Err(Abort);
        }
        let mut answer = if completion.stream {
            let cut = self.switches.modify(take_cut);
            stream_answer(shape, completion, events, death, cut).await
        } else {
            plain_answer(shape, &completion, events, death).await?
        };
        let headers = answer.headers_mut();
        headers.insert("endpoint-load-metrics", self.load_header(&positions));
        if positions.wrong_echo {
            headers.insert("x-request-id", HeaderValue::from_static("another-1"));
        } else if let Some(echo) = echo {
            headers.insert("x-request-id", echo);
        }
        Ok(answer)
    }

    fn cache_events(self: Arc<Self>, query: &str) -> Response<Body> {
        let mut from = 1;
        for pair in query.split('&') {
            if let Some(number) = pair.strip_prefix("from=") {
                from = number.parse().unwrap_or(1);
            }
        }
        let state = (self.events.subscribe(), from, self);
        let frames = stream::unfold(state, |(mut last, from, engine)| async move {
            last.wait_for(|last| *last >= from).await.ok()?;
            let (text, next) = lock(&engine.batch).cache.events(from);
            let frame = Ok(Frame::data(Bytes::from(text)));
            Some((frame, (last, next, engine)))
        });
        event_stream(StreamBody::new(frames).boxed_unsync())
    }
}

fn take_death(positions: &mut Positions) -> Death {
    if positions.die_next == 0 {
        return Death::None;
    }
    positions.die_next -= 1;
    positions.die
}

fn take_cut(positions: &mut Positions) -> bool {
    let any = positions.cut_next > 0;
    positions.cut_next = positions.cut_next.saturating_sub(1);
    any
}

fn event_stream(body: Body) -> Response<Body> {
    let mut answer = Response::new(body);
    answer.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    answer
}

/// Answers with server-sent events; the head waits for the first token.
async fn stream_answer(
    shape: Shape,
    completion: Completion,
    mut events: mpsc::UnboundedReceiver<Event>,
    death: Death,
    cut: bool,
) -> Response<Body> {
    let first = loop {
        match events.recv().await {
            Some(Event::Started) => {}
            other => break other,
        }
    };
    let state = (events, first, completion, false);
    let texts = stream::unfold(
        state,
        move |(mut events, first, completion, over)| async move {
            if over {
                return None;
            }
            let event = match first {
                Some(event) => event,
                None => events.recv().await?,
            };
            let over = cut || matches!(event, Event::Done(_));
            let text = match event {
                Event::Started => String::new(),
                Event::Token(text) => format::chunk(shape, &completion, &text),
                Event::Done(usage) => format::last_chunk(shape, &completion, &usage),
            };
            Some((text, (events, None, completion, over)))
        },
    );
    let frames = texts.map(|text| Ok(Frame::data(Bytes::from(text))));
    let body = if death == Death::After {
        let aborted = stream::once(async { Err(Abort) });
        StreamBody::new(frames.take(1).chain(aborted)).boxed_unsync()
    } else {
        StreamBody::new(frames).boxed_unsync()
    };
    event_stream(body)
}

/// Answers with one JSON document.
async fn plain_answer(
    shape: Shape,
    completion: &Completion,
    mut events: mpsc::UnboundedReceiver<Event>,
    death: Death,
) -> Answer {
    let mut text = String::new();
    let usage = loop {
        match events.recv().await {
            Some(Event::Started) => {}
            Some(Event::Token(token)) => text.push_str(&token),
            Some(Event::Done(usage)) => break usage,
            None => return Err(Abort),
        }
    };
    let whole = format::whole(shape, completion, &text, &usage);
    if death != Death::After {
        return Ok(json_answer(StatusCode::OK, &whole));
    }
    let half = whole.to_string().split_off(whole.to_string().len() / 2);
    let frames = [Ok(Frame::data(Bytes::from(half))), Err(Abort)];
    let body = StreamBody::new(stream::iter(frames)).boxed_unsync();
    Ok(Response::new(body))
}

impl Service for Engine {
    type Switches = Positions;

    fn switches(&self) -> &Switches<Positions> {
        &self.switches
    }

    fn counts(&self) -> Value {
        let mut counts = lock(&self.batch).counts();
        counts["requests"] = json!(*lock(&self.requests));
        counts
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        match request.uri().path() {
            "/load" => Ok(json_answer(StatusCode::OK, &self.load_page())),
            "/cache/events" => {
                let query = request.uri().query().unwrap_or_default().to_owned();
                Ok(self.cache_events(&query))
            }
            "/v1/chat/completions" => self.complete(Shape::Chat, request).await,
            "/v1/completions" => self.complete(Shape::Text, request).await,
            _ => Ok(problem(StatusCode::NOT_FOUND, "an engine has no such path")),
        }
    }
}

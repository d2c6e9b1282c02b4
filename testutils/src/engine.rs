//! Stand-in for a model engine: continuous batching with a prefix cache.

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
    format::{Api, Completion},
};
use crate::server::{
    Abort, Body, Handled, Observable, Service, error_response, json_response, lock, read_json,
};

/// Time between two steps of an engine that has no work.
const IDLE_STEP_INTERVAL: Duration = Duration::from_millis(5);
/// Number of most recent requests that the control page lists.
const MAX_LISTED_REQUESTS: usize = 4096;
/// Exit code of the process when a prompt contains the crash marker.
const CRASH_EXIT_CODE: i32 = 70;

/// Point at which the connection of a request is closed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AbortPoint {
    /// Never.
    #[default]
    None,
    /// Before the request starts.
    Before,
    /// After it started, before the first byte of the response.
    During,
    /// After the first bytes of the response.
    After,
}

/// Values that the control page reads and sets.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Controls {
    /// Models and adapters that are loaded; if empty, any name is accepted.
    pub models: Vec<String>,
    /// Prompt tokens that are computed per second.
    pub prefill_rate: f64,
    /// Duration of a decoding step in milliseconds.
    pub decode_ms: f64,
    /// Maximum number of requests that run at the same time.
    pub max_batch: usize,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Maximum age of the reported load in milliseconds.
    pub lag_ms: u64,
    /// Factor by which the duration of every step is multiplied.
    pub straggle: f64,
    /// While set, nothing is computed, but cancelled requests are still dropped.
    pub hold: bool,
    /// Text that ends the process if a prompt contains it; empty for none.
    pub crash_marker: String,
    /// Point at which connections are closed, for the next `die_next` requests.
    pub die: AbortPoint,
    /// Number of upcoming requests whose connection is closed.
    pub die_next: u64,
    /// Number of upcoming streams that end after the first token, without
    /// `[DONE]`.
    pub cut_next: u64,
    /// Whether responses have a different `x-request-id` than their request.
    pub wrong_echo: bool,
    /// Number of upcoming cache events that are not sent; their numbers are not
    /// used again, so that readers see a gap.
    pub event_gap_next: u64,
    /// Whether the load page and the load header report that the engine is
    /// leaving.
    pub leaving: bool,
}

impl Default for Controls {
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
            die: AbortPoint::None,
            die_next: 0,
            cut_next: 0,
            wrong_echo: false,
            event_gap_next: 0,
            leaving: false,
        }
    }
}

/// The stand-in for a model engine.
#[derive(Debug)]
pub struct Engine {
    controls: Observable<Controls>,
    batch: Mutex<Batch>,
    /// The load that was reported last, and when it was measured.
    load: Mutex<Option<(Instant, batch::Load)>>,
    /// The most recent requests, for the control page.
    requests: Mutex<VecDeque<Value>>,
    /// Number of the last cache event.
    last_event: watch::Sender<u64>,
}

impl Engine {
    /// Spawns the task that runs the batch; must be called inside a Tokio runtime.
    #[must_use]
    pub fn start() -> Arc<Self> {
        let engine = Arc::new(Self {
            controls: Observable::default(),
            batch: Mutex::default(),
            load: Mutex::default(),
            requests: Mutex::default(),
            last_event: watch::Sender::new(0),
        });
        let weak = Arc::downgrade(&engine);
        tokio::spawn(async move {
            while let Some(engine) = weak.upgrade() {
                let duration = engine.step();
                drop(engine);
                sleep(duration).await;
            }
        });
        engine
    }

    /// Runs one step of the batch and returns the time until the next step.
    fn step(&self) -> Duration {
        let controls = self.controls.get();
        let mut batch = lock(&self.batch);
        let duration = batch.step(&controls);
        let skipped = batch.cache.take_skipped();
        self.last_event.send_replace(batch.cache.last_event());
        drop(batch);
        if skipped > 0 {
            self.controls
                .modify(|c| c.event_gap_next = c.event_gap_next.saturating_sub(skipped));
        }
        duration.unwrap_or(IDLE_STEP_INTERVAL)
    }

    /// Returns the load, which may be up to `lag_ms` old.
    fn reported_load(&self, controls: &Controls) -> Value {
        let lag = Duration::from_millis(controls.lag_ms);
        let mut load = lock(&self.load);
        let now = Instant::now();
        let report = load
            .filter(|(measured, _)| now.duration_since(*measured) < lag)
            .unwrap_or_else(|| (now, lock(&self.batch).load()));
        *load = Some(report);
        let batch::Load {
            running,
            waiting,
            tokens,
        } = report.1;
        json!({"running": running, "waiting": waiting, "tokens": tokens})
    }

    fn load_page(&self) -> Value {
        let controls = self.controls.get();
        let mut load = self.reported_load(&controls);
        load["models"] = json!(controls.models);
        load["state"] = json!(if controls.leaving { "leaving" } else { "live" });
        load
    }

    fn load_header(&self, controls: &Controls) -> HeaderValue {
        let mut metrics = self.reported_load(controls);
        metrics["leaving"] = json!(u8::from(controls.leaving));
        let text = format!("JSON {}", json!({"named_metrics": metrics}));
        HeaderValue::from_str(&text).expect("JSON of numbers is a valid header")
    }

    /// Adds a request to the list on the control page.
    fn list_request(&self, id: &str, completion: &Completion) {
        let mut requests = lock(&self.requests);
        if requests.len() == MAX_LISTED_REQUESTS {
            requests.pop_front();
        }
        requests.push_back(json!({
            "id": id,
            "model": completion.model,
            "prompt": format::digest(&completion.prompt()),
        }));
    }

    /// Handles a completion request.
    async fn complete(&self, api: Api, request: Request<Incoming>) -> Handled {
        let request_id = request.headers().get("x-request-id").cloned();
        let id = request_id
            .as_ref()
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        let completion: Completion = match read_json(request).await {
            Ok(completion) => completion,
            Err(response) => return Ok(response),
        };
        self.list_request(&id, &completion);
        let controls = self.controls.get();
        if !controls.models.is_empty() && !controls.models.contains(&completion.model) {
            return Ok(error_response(
                StatusCode::NOT_FOUND,
                "this model is not loaded",
            ));
        }
        let abort_point = self.controls.modify(take_abort_point);
        if abort_point == AbortPoint::Before {
            return Err(Abort);
        }
        let (sender, mut events) = mpsc::unbounded_channel();
        lock(&self.batch).enqueue(Sequence::new(&completion, sender));
        if abort_point == AbortPoint::During {
            events.recv().await;
            return Err(Abort);
        }
        let mut response = if completion.stream {
            let cut = self.controls.modify(take_cut);
            stream_response(api, completion, events, abort_point, cut).await
        } else {
            buffered_response(api, &completion, events, abort_point).await?
        };
        let headers = response.headers_mut();
        headers.insert("endpoint-load-metrics", self.load_header(&controls));
        if controls.wrong_echo {
            headers.insert("x-request-id", HeaderValue::from_static("another-1"));
        } else if let Some(request_id) = request_id {
            headers.insert("x-request-id", request_id);
        }
        Ok(response)
    }

    /// Streams the cache events from the number `from` in the query on, or from
    /// the first one; the stream stays open for later events.
    fn cache_events(self: Arc<Self>, query: &str) -> Response<Body> {
        let mut from = 1;
        for pair in query.split('&') {
            if let Some(number) = pair.strip_prefix("from=") {
                from = number.parse().unwrap_or(1);
            }
        }
        let state = (self.last_event.subscribe(), from, self);
        let frames = stream::unfold(state, |(mut last, from, engine)| async move {
            last.wait_for(|last| *last >= from).await.ok()?;
            let (text, next) = lock(&engine.batch).cache.events(from);
            let frame = Ok(Frame::data(Bytes::from(text)));
            Some((frame, (last, next, engine)))
        });
        event_stream(StreamBody::new(frames).boxed_unsync())
    }
}

/// Returns the point at which the next request's connection is closed, and
/// counts `die_next` down.
fn take_abort_point(controls: &mut Controls) -> AbortPoint {
    if controls.die_next == 0 {
        return AbortPoint::None;
    }
    controls.die_next -= 1;
    controls.die
}

/// Returns whether the next stream ends early, and counts `cut_next` down.
fn take_cut(controls: &mut Controls) -> bool {
    let any = controls.cut_next > 0;
    controls.cut_next = controls.cut_next.saturating_sub(1);
    any
}

fn event_stream(body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    response
}

/// Builds a response of server-sent events; waits for the first token before
/// it returns the head. If `cut` is set, the stream ends after that token,
/// without `[DONE]`.
async fn stream_response(
    api: Api,
    completion: Completion,
    mut events: mpsc::UnboundedReceiver<Event>,
    abort_point: AbortPoint,
    cut: bool,
) -> Response<Body> {
    let first = loop {
        match events.recv().await {
            Some(Event::Started) => {}
            first => break first,
        }
    };
    let state = (events, first, completion, false);
    let texts = stream::unfold(
        state,
        move |(mut events, first, completion, finished)| async move {
            if finished {
                return None;
            }
            let event = match first {
                Some(event) => event,
                None => events.recv().await?,
            };
            let finished = cut || matches!(event, Event::Done(_));
            let text = match event {
                Event::Started => String::new(),
                Event::Token(text) => format::chunk(api, &completion, &text),
                Event::Done(usage) => format::last_chunk(api, &completion, &usage),
            };
            Some((text, (events, None, completion, finished)))
        },
    );
    let frames = texts.map(|text| Ok(Frame::data(Bytes::from(text))));
    let body = if abort_point == AbortPoint::After {
        let aborted = stream::once(async { Err(Abort) });
        StreamBody::new(frames.take(1).chain(aborted)).boxed_unsync()
    } else {
        StreamBody::new(frames).boxed_unsync()
    };
    event_stream(body)
}

/// Waits for the last token, then builds a response of one JSON document.
async fn buffered_response(
    api: Api,
    completion: &Completion,
    mut events: mpsc::UnboundedReceiver<Event>,
    abort_point: AbortPoint,
) -> Handled {
    let mut text = String::new();
    let usage = loop {
        match events.recv().await {
            Some(Event::Started) => {}
            Some(Event::Token(token)) => text.push_str(&token),
            Some(Event::Done(usage)) => break usage,
            None => return Err(Abort),
        }
    };
    let document = format::response(api, completion, &text, &usage);
    if abort_point != AbortPoint::After {
        return Ok(json_response(StatusCode::OK, &document));
    }
    let half = document
        .to_string()
        .split_off(document.to_string().len() / 2);
    let frames = [Ok(Frame::data(Bytes::from(half))), Err(Abort)];
    let body = StreamBody::new(stream::iter(frames)).boxed_unsync();
    Ok(Response::new(body))
}

impl Service for Engine {
    type Controls = Controls;

    fn controls(&self) -> &Observable<Controls> {
        &self.controls
    }

    fn counts(&self) -> Value {
        let mut counts = lock(&self.batch).counts();
        counts["requests"] = json!(*lock(&self.requests));
        counts
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Handled {
        match request.uri().path() {
            "/load" => Ok(json_response(StatusCode::OK, &self.load_page())),
            "/cache/events" => {
                let query = request.uri().query().unwrap_or_default().to_owned();
                Ok(self.cache_events(&query))
            }
            "/v1/chat/completions" => self.complete(Api::Chat, request).await,
            "/v1/completions" => self.complete(Api::Text, request).await,
            _ => Ok(error_response(
                StatusCode::NOT_FOUND,
                "an engine has no such path",
            )),
        }
    }
}

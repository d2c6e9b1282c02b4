//! A filter chain over fakes of the dispatcher, the endpoints and the key-value
//! service.

#![allow(dead_code, reason = "each test binary uses a subset")]

use std::{
    collections::VecDeque,
    convert::Infallible,
    pin::Pin,
    sync::{Arc, Mutex, atomic::AtomicU64},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use dottereltally::{
    body::Body,
    claim,
    clock::Clock,
    dispatch::CORRELATION_HEADER,
    dispatcher::{Handle, Refused},
    filter::Chain,
    limit::Limiter,
    metrics::Metrics,
    peer::{Error, Peers, Status},
    replay::Attempts,
    rules::Rules,
    settings::Limits,
    upstream::{Broken, Client, Failure, Message, Reuse},
};
use dottereltally_lib::{
    configuration::Configuration,
    event::{Event, Message as Admission, Outcome},
    id, refusal,
    request::{Admitted, Claimed, Request},
};
use dottereltally_store::{buffer, ingress, layout, memory::Store};
use http::{Response, StatusCode, header::CONTENT_TYPE};
use http_body::Frame;
use http_body_util::{BodyExt, Full};
use prometheus_client::{encoding::text, registry::Registry};
use serde_json::Value;
use tokio::sync::{Notify, watch};

/// Bearer key of the workspace `demo`.
pub const KEY: &str = "demo-key";
/// Bearer key of the workspace `small`, which is limited to one request at a time.
pub const SMALL_KEY: &str = "small-key";

/// Configuration of the tests, in YAML; `SMALL` stands for the digest of
/// [`SMALL_KEY`].
const CONFIGURATION: &str = "
tiers: [gate, dispute, tag]
services:
  tally-llm: {kind: model, models: [tally-7b], adapters: [disputes], window: 40000}
  yard-app: {kind: plain, window: 16}
calls:
  chat: {service: tally-llm, method: POST, path: /v1/chat/completions, tier: dispute, deadline: 60s, idempotent: true}
  gate-chat: {service: tally-llm, method: POST, path: /v1/chat/completions, model: disputes, tier: gate, deadline: 20s, idempotent: true}
  pay: {service: yard-app, method: POST, path: /payments, tier: gate, deadline: 10s, idempotent: false}
  log: {service: yard-app, method: POST, path: /log, tier: tag, deadline: 10s, idempotent: false, unkeyed: allow}
  tickets: {service: yard-app, method: GET, path: \"/tickets/*\", tier: dispute, deadline: 5s, idempotent: true}
workspaces:
  demo: {keys: [\"sha256:c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c\"], share: 1}
  small: {keys: [\"sha256:SMALL\"], share: 1, limit: 1}
";

/// Admission decision of the fake dispatcher.
#[derive(Clone, Debug)]
pub enum Decision {
    /// Admits the request to the endpoint of this name.
    Admit(&'static str),
    /// Refuses the request.
    Refuse(refusal::Reason),
    /// Never decides.
    Wait,
}

/// A dispatcher that returns scripted decisions and records its events.
///
/// After the last scripted decision it admits every request to `tally-1`.
#[derive(Clone)]
pub struct Dispatcher {
    decisions: Arc<Mutex<VecDeque<Decision>>>,
    events: Arc<watch::Sender<Vec<Event>>>,
}

impl Dispatcher {
    fn next_decision(&self) -> Decision {
        let next = self.decisions.lock().expect("unpoisoned").pop_front();
        next.unwrap_or(Decision::Admit("tally-1"))
    }

    async fn decide(&self, request: Request<Claimed>) -> Result<Request<Admitted>, Refused> {
        match self.next_decision() {
            Decision::Admit(endpoint) => Ok(request.admit(id::Endpoint::from(endpoint))),
            Decision::Refuse(reason) => Err(Refused {
                refusal: refusal::Refusal {
                    reason,
                    retry_after: Duration::from_millis(1500),
                },
                proof: request.abandon(),
            }),
            Decision::Wait => std::future::pending().await,
        }
    }
}

impl Handle for Dispatcher {
    fn send(&self, event: Event) {
        self.events.send_modify(|events| events.push(event));
    }

    async fn admit(&self, request: Request<Claimed>) -> Result<Request<Admitted>, Refused> {
        self.decide(request).await
    }

    async fn readmit(&self, request: Request<Claimed>) -> Result<Request<Admitted>, Refused> {
        self.send(Event::Unsent(request.id()));
        self.decide(request).await
    }
}

/// One step of sending a response body.
#[derive(Clone, Debug)]
pub enum Step {
    /// Sends these bytes.
    Data(&'static str),
    /// Breaks the connection.
    Disconnect,
    /// Sends nothing more and keeps the connection open.
    Stall,
    /// Sends nothing until notified.
    WaitFor(Arc<Notify>),
}

/// How an endpoint handles one request.
#[derive(Clone, Debug)]
pub enum Script {
    /// The endpoint can't be reached; nothing is sent.
    Unsent,
    /// The connection breaks before the response head.
    Broken,
    /// The endpoint never responds.
    Silent,
    /// The endpoint responds.
    Respond(Head, Vec<Step>),
}

/// Head of a response.
#[derive(Clone, Debug)]
pub struct Head {
    /// Status code.
    pub status: u16,
    /// Content type.
    pub content_type: &'static str,
    /// Correlation value; that of the request if `None`.
    pub correlation: Option<&'static str>,
}

impl Head {
    /// Returns the head of a JSON response.
    pub fn json(status: u16) -> Self {
        Self {
            status,
            content_type: "application/json",
            correlation: None,
        }
    }

    /// Returns the head of an event stream.
    pub fn event_stream() -> Self {
        Self {
            content_type: "text/event-stream",
            ..Self::json(200)
        }
    }
}

/// A request that was sent to an endpoint.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Address of the endpoint.
    pub address: String,
    /// The request.
    pub message: Message,
    /// Which connections the request was allowed to use.
    pub reuse: Reuse,
}

/// Endpoints that handle requests as scripted, one script per request.
#[derive(Clone, Default)]
pub struct Endpoints {
    scripts: Arc<Mutex<VecDeque<Script>>>,
    /// Requests that were sent, in order.
    pub sent: Arc<Mutex<Vec<Sent>>>,
    /// Notified when a response body is dropped before its end.
    pub cancelled: Arc<Notify>,
}

impl Client for Endpoints {
    type Body = ScriptBody;

    async fn send(
        &self,
        address: &str,
        message: Message,
        reuse: Reuse,
    ) -> Result<Response<ScriptBody>, Failure> {
        let script = self.scripts.lock().expect("unpoisoned").pop_front();
        let script = script.expect("no script is left for this request");
        if let Script::Unsent = script {
            return Err(Failure::Unsent {
                message: Box::new(message),
                cause: "refused".to_owned(),
            });
        }
        let request_correlation = message.headers().get(CORRELATION_HEADER).cloned();
        self.sent.lock().expect("unpoisoned").push(Sent {
            address: address.to_owned(),
            message,
            reuse,
        });
        let (head, steps) = match script {
            Script::Respond(head, steps) => (head, steps),
            Script::Silent => return std::future::pending().await,
            Script::Broken | Script::Unsent => {
                return Err(Failure::Broken(Broken {
                    cause: "reset".to_owned(),
                }));
            }
        };
        let body = ScriptBody {
            steps: steps.into(),
            waiting: None,
            cancelled: Arc::clone(&self.cancelled),
            ended: false,
        };
        let mut response = Response::new(body);
        *response.status_mut() = StatusCode::from_u16(head.status).expect("a status");
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, head.content_type.parse().expect("a value"));
        let correlation = head
            .correlation
            .map(|correlation| correlation.parse().expect("a value"))
            .or(request_correlation);
        headers.insert(
            CORRELATION_HEADER,
            correlation.expect("a correlation value"),
        );
        Ok(response)
    }
}

/// Body of a scripted response.
pub struct ScriptBody {
    /// Steps that are still to be taken.
    steps: VecDeque<Step>,
    /// Pending step [`Step::WaitFor`], if any.
    waiting: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
    /// Notified if the body is dropped before its end.
    cancelled: Arc<Notify>,
    ended: bool,
}

impl http_body::Body for ScriptBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        if let Some(waiting) = &mut self.waiting {
            if waiting.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
            self.waiting = None;
        }
        match self.steps.pop_front() {
            Some(Step::Data(data)) => Poll::Ready(Some(Ok(Frame::data(Bytes::from(data))))),
            Some(Step::Disconnect) => Poll::Ready(Some(Err(Broken {
                cause: "reset".to_owned(),
            }))),
            Some(Step::Stall) => {
                self.steps.push_front(Step::Stall);
                Poll::Pending
            }
            Some(Step::WaitFor(notify)) => {
                self.waiting = Some(Box::pin(async move { notify.notified().await }));
                self.poll_frame(context)
            }
            None => {
                self.ended = true;
                Poll::Ready(None)
            }
        }
    }
}

impl Drop for ScriptBody {
    fn drop(&mut self) {
        if !self.ended {
            self.cancelled.notify_one();
        }
    }
}

/// The peers of a node that runs alone.
#[derive(Clone, Copy, Debug)]
pub struct NoPeers;

impl Peers for NoPeers {
    async fn attempt_status(&self, node: &id::Node, _: &str, _: &str) -> Result<Status, Error> {
        Err(Error::NotLive(node.clone()))
    }

    async fn configuration(&self, _: id::Generation) -> Option<layout::Configuration> {
        None
    }

    fn send(&self, _: &id::Node, _: Admission) {}
}

type Keeper = claim::Keeper<Store, NoPeers>;

/// A filter chain and its fakes.
pub struct Harness {
    /// The chain.
    pub chain: Arc<Chain<Dispatcher, Endpoints, Keeper>>,
    /// The endpoints.
    pub endpoints: Endpoints,
    /// The key-value service.
    pub store: Store,
    dispatcher: Dispatcher,
    registry: Registry,
}

/// A response as its caller received it.
#[derive(Debug)]
pub struct Reply {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: http::HeaderMap,
    /// The part of the body that was received.
    pub text: String,
    /// Whether the body ended without an error.
    pub complete: bool,
}

impl Reply {
    /// Returns a string member of a problem body, empty if it is absent.
    pub fn member(&self, name: &str) -> String {
        let json: Value = serde_json::from_str(&self.text).expect("a problem body");
        json[name].as_str().unwrap_or_default().to_owned()
    }
}

/// Returns the configuration of the tests.
pub fn configuration() -> Configuration {
    let small = dottereltally_testutils::deployment::hash_bearer_key(SMALL_KEY);
    let text = CONFIGURATION.replace("sha256:SMALL", &small);
    text.parse().expect("a valid configuration")
}

impl Harness {
    /// Builds a chain with scripted decisions and endpoints.
    pub fn new(decisions: Vec<Decision>, scripts: Vec<Script>) -> Self {
        let rules = Rules::new(id::Generation(1), Arc::new(configuration()));
        Self::with_rules(Some(rules), decisions, scripts)
    }

    /// Builds a chain with these rules in force.
    pub fn with_rules(
        rules: Option<Rules>,
        decisions: Vec<Decision>,
        scripts: Vec<Script>,
    ) -> Self {
        let dispatcher = Dispatcher {
            decisions: Arc::new(Mutex::new(decisions.into())),
            events: Arc::new(watch::Sender::new(Vec::new())),
        };
        let endpoints = Endpoints {
            scripts: Arc::new(Mutex::new(scripts.into())),
            ..Endpoints::default()
        };
        let store = Store::default();
        let node = id::Node::from("entry-1");
        let keeper = claim::Keeper::start(
            node.clone(),
            store.clone(),
            NoPeers,
            Attempts::default(),
            claim::Limits::default(),
        );
        let metrics = Metrics::default();
        let mut registry = Registry::default();
        metrics.register(&mut registry);
        let limits = Limits {
            body: 4096,
            ..Limits::default()
        };
        let chain = Chain {
            node,
            limits,
            clock: Clock::start(),
            rules: watch::channel(rules.map(Arc::new)).1,
            limiter: Limiter::default(),
            dispatcher: dispatcher.clone(),
            resolve: Arc::new(|endpoint| Some(format!("{endpoint}:80"))),
            upstream: endpoints.clone(),
            answers: buffer::Pool::default(),
            bodies: ingress::Pool::default(),
            keeper,
            metrics,
            next_request: AtomicU64::new(7),
        };
        Self {
            chain: Arc::new(chain),
            endpoints,
            store,
            dispatcher,
            registry,
        }
    }

    /// Sends a request and reads the response to its end.
    pub async fn send(&self, request: http::Request<Full<Bytes>>) -> Reply {
        read(Arc::clone(&self.chain).serve(request).await).await
    }

    /// Returns the events that the dispatcher received.
    pub fn events(&self) -> Vec<Event> {
        self.dispatcher.events.borrow().clone()
    }

    /// Returns the outcomes that were reported to the dispatcher.
    pub fn outcomes(&self) -> Vec<Outcome> {
        let mut outcomes = Vec::new();
        for event in self.events() {
            if let Event::Ended(_, outcome) = event {
                outcomes.push(outcome);
            }
        }
        outcomes
    }

    /// Waits until the end of a request was reported to the dispatcher.
    pub async fn wait_ended(&self) {
        let mut events = self.dispatcher.events.subscribe();
        let ended = |event: &Event| matches!(event, Event::Ended(..));
        events
            .wait_for(|events| events.iter().any(ended))
            .await
            .expect("the dispatcher is alive");
    }

    /// Returns the requests that were sent to endpoints.
    pub fn sent(&self) -> Vec<Sent> {
        self.endpoints.sent.lock().expect("unpoisoned").clone()
    }

    /// Returns the metrics in text format.
    pub fn metrics(&self) -> String {
        let mut content = String::new();
        text::encode(&mut content, &self.registry).expect("metrics encode");
        content
    }
}

/// Reads a response to its end.
pub async fn read(response: Response<Body>) -> Reply {
    let (parts, mut body) = response.into_parts();
    let mut content = Vec::new();
    let mut complete = true;
    while let Some(frame) = body.frame().await {
        match frame.map(Frame::into_data) {
            Ok(Ok(data)) => content.extend_from_slice(&data),
            Ok(Err(_)) => {}
            Err(_) => {
                complete = false;
                break;
            }
        }
    }
    Reply {
        status: parts.status,
        headers: parts.headers,
        text: String::from_utf8(content).expect("text"),
        complete,
    }
}

/// Builds a request with the bearer key of the workspace `demo`.
pub fn request(method: &str, path: &str, body: &str) -> http::Request<Full<Bytes>> {
    http::Request::builder()
        .method(method)
        .uri(path)
        .header("authorization", format!("Bearer {KEY}"))
        .body(Full::new(Bytes::from(body.to_owned())))
        .expect("a request")
}

/// Sets a header of a request.
pub fn with_header<B>(
    mut request: http::Request<B>,
    name: &'static str,
    value: &str,
) -> http::Request<B> {
    let value = value.parse().expect("a header value");
    request.headers_mut().insert(name, value);
    request
}

/// Builds a request for a streamed completion.
pub fn chat() -> http::Request<Full<Bytes>> {
    request(
        "POST",
        "/v1/chat/completions",
        r#"{"model": "tally-7b", "stream": true, "max_tokens": 9, "messages": [{"role": "user", "content": "12345678"}]}"#,
    )
}

/// Builds a payment with an idempotency key.
pub fn payment(key: &str) -> http::Request<Full<Bytes>> {
    let request = request("POST", "/payments", r#"{"amount": 120}"#);
    with_header(request, "idempotency-key", key)
}

/// A body that never yields data and never ends.
pub struct PendingBody;

impl http_body::Body for PendingBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Pending
    }
}

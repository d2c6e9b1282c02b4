//! A filter chain over fakes of the core, the endpoints and the platform.

#![allow(dead_code, reason = "each test program uses a part")]

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
    dispatch::CORRELATION,
    dispatcher::{Handle, Refused},
    filter::Chain,
    limit::Table,
    metrics::Metrics,
    peer::{Answer, Error, Peers},
    replay::Attempts,
    rules::Rules,
    settings::Limits,
    upstream::{Broken, Client, Failure, Message, Reuse},
};
use dottereltally_lib::{
    event::{Event, Message as Admission, Outcome},
    id, refusal,
    request::{Admitted, Claimed, Request},
    text::Text,
};
use dottereltally_store::{layout, memory::Store};
use http::{Response, StatusCode, header::CONTENT_TYPE};
use http_body::Frame;
use http_body_util::{BodyExt, Full};
use prometheus_client::{encoding::text, registry::Registry};
use serde_json::Value;
use tokio::sync::{Notify, watch};

/// Bearer key of the workspace `demo`.
pub const KEY: &str = "demo-key";
/// Bearer key of the workspace `small`, which may have one request.
pub const SMALL_KEY: &str = "small-key";

const TEXT: &str = "
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

/// What the fake core decides.
#[derive(Clone, Debug)]
pub enum Decision {
    /// Hand the request to the endpoint of this name.
    Admit(&'static str),
    /// Refuse it.
    Refuse(refusal::Reason),
    /// Let it wait.
    Wait,
}

/// A core that decides by a script.
#[derive(Clone)]
pub struct Core {
    decisions: Arc<Mutex<VecDeque<Decision>>>,
    events: Arc<watch::Sender<Vec<Event>>>,
}

impl Core {
    fn decide(&self) -> Decision {
        let next = self.decisions.lock().expect("unpoisoned").pop_front();
        next.unwrap_or(Decision::Admit("tally-1"))
    }

    async fn answer(&self, request: Request<Claimed>) -> Result<Request<Admitted>, Refused> {
        match self.decide() {
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

impl Handle for Core {
    fn tell(&self, event: Event) {
        self.events.send_modify(|events| events.push(event));
    }

    async fn admit(&self, request: Request<Claimed>) -> Result<Request<Admitted>, Refused> {
        self.answer(request).await
    }

    async fn readmit(&self, request: Request<Claimed>) -> Result<Request<Admitted>, Refused> {
        self.tell(Event::Unsent(request.id()));
        self.answer(request).await
    }
}

/// One piece of an answer's body.
#[derive(Clone, Debug)]
pub enum Step {
    /// These bytes.
    Data(&'static str),
    /// The connection breaks.
    Break,
    /// Nothing more comes, and the connection stays.
    Silence,
    /// Nothing comes until somebody notifies.
    Gate(Arc<Notify>),
}

/// What an endpoint does with a request.
#[derive(Clone, Debug)]
pub enum Script {
    /// It can't be reached.
    Unsent,
    /// The connection breaks before the head.
    Broken,
    /// Nothing comes.
    Silent,
    /// It answers.
    Answer(Head, Vec<Step>),
}

/// Head of an answer.
#[derive(Clone, Debug)]
pub struct Head {
    /// Status.
    pub status: u16,
    /// Content type.
    pub kind: &'static str,
    /// Correlation value, if not the request's.
    pub echo: Option<&'static str>,
}

impl Head {
    /// Returns the head of a JSON answer.
    pub fn json(status: u16) -> Self {
        Self {
            status,
            kind: "application/json",
            echo: None,
        }
    }

    /// Returns the head of a stream of events.
    pub fn events() -> Self {
        Self {
            kind: "text/event-stream",
            ..Self::json(200)
        }
    }
}

/// A request that was handed over.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Where to.
    pub address: String,
    /// The message.
    pub message: Message,
    /// The connection that it might use.
    pub reuse: Reuse,
}

/// Endpoints that answer by a script.
#[derive(Clone, Default)]
pub struct Endpoints {
    scripts: Arc<Mutex<VecDeque<Script>>>,
    /// Requests that were handed over, in order.
    pub sent: Arc<Mutex<Vec<Sent>>>,
    /// Notified when an answer is dropped before its end.
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
        let script = script.expect("no endpoint expects another request");
        if let Script::Unsent = script {
            return Err(Failure::Unsent {
                message: Box::new(message),
                cause: "refused".to_owned(),
            });
        }
        let echo = message.headers().get(CORRELATION).cloned();
        self.sent.lock().expect("unpoisoned").push(Sent {
            address: address.to_owned(),
            message,
            reuse,
        });
        let (head, steps) = match script {
            Script::Answer(head, steps) => (head, steps),
            Script::Silent => return std::future::pending().await,
            Script::Broken | Script::Unsent => {
                return Err(Failure::Broken(Broken {
                    cause: "reset".to_owned(),
                }));
            }
        };
        let body = ScriptBody {
            steps: steps.into(),
            gate: None,
            cancelled: Arc::clone(&self.cancelled),
            ended: false,
        };
        let mut response = Response::new(body);
        *response.status_mut() = StatusCode::from_u16(head.status).expect("a status");
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, head.kind.parse().expect("a value"));
        let echo = head
            .echo
            .map(|echo| echo.parse().expect("a value"))
            .or(echo);
        headers.insert(CORRELATION, echo.expect("a correlation value"));
        Ok(response)
    }
}

/// Body of a scripted answer.
pub struct ScriptBody {
    steps: VecDeque<Step>,
    gate: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
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
        if let Some(gate) = &mut self.gate {
            if gate.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
            self.gate = None;
        }
        match self.steps.pop_front() {
            Some(Step::Data(data)) => Poll::Ready(Some(Ok(Frame::data(Bytes::from(data))))),
            Some(Step::Break) => Poll::Ready(Some(Err(Broken {
                cause: "reset".to_owned(),
            }))),
            Some(Step::Silence) => {
                self.steps.push_front(Step::Silence);
                Poll::Pending
            }
            Some(Step::Gate(notify)) => {
                self.gate = Some(Box::pin(async move { notify.notified().await }));
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

/// A node without peers.
#[derive(Clone, Copy, Debug)]
pub struct Alone;

impl Peers for Alone {
    async fn answer(&self, node: &id::Node, _: &str, _: &str) -> Result<Answer, Error> {
        Err(Error::NotLive(node.clone()))
    }

    async fn configuration(&self, _: id::Generation) -> Option<layout::Configuration> {
        None
    }

    fn send(&self, _: &id::Node, _: Admission) {}
}

type Keeper = claim::Keeper<Store, Alone>;

/// A chain and its fakes.
pub struct Bench {
    /// The chain.
    pub chain: Arc<Chain<Core, Endpoints, Keeper>>,
    /// The endpoints.
    pub endpoints: Endpoints,
    /// The key-value service.
    pub store: Store,
    core: Core,
    registry: Registry,
}

/// An answer as its caller saw it.
#[derive(Debug)]
pub struct Seen {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: http::HeaderMap,
    /// What came of its body.
    pub text: String,
    /// Whether it ended as a whole.
    pub whole: bool,
}

impl Seen {
    /// Returns a member of a problem body.
    pub fn member(&self, name: &str) -> String {
        let json: Value = serde_json::from_str(&self.text).expect("a problem body");
        json[name].as_str().unwrap_or_default().to_owned()
    }
}

/// Returns the text of the tests.
pub fn text() -> Text {
    let small = dottereltally_testutils::deployment::hash(SMALL_KEY);
    let text = TEXT.replace("sha256:SMALL", &small);
    text.parse().expect("a valid text")
}

impl Bench {
    /// Builds a chain whose core and endpoints follow scripts.
    pub fn new(decisions: Vec<Decision>, scripts: Vec<Script>) -> Self {
        let rules = Rules::new(id::Generation(1), Arc::new(text()));
        Self::with_rules(Some(rules), decisions, scripts)
    }

    /// Builds a chain with these rules in force.
    pub fn with_rules(
        rules: Option<Rules>,
        decisions: Vec<Decision>,
        scripts: Vec<Script>,
    ) -> Self {
        let core = Core {
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
            Alone,
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
            places: Table::default(),
            dispatcher: core.clone(),
            resolve: Arc::new(|endpoint| Some(format!("{endpoint}:80"))),
            upstream: endpoints.clone(),
            keeper,
            metrics,
            next: AtomicU64::new(7),
        };
        Self {
            chain: Arc::new(chain),
            endpoints,
            store,
            core,
            registry,
        }
    }

    /// Sends a request and reads its answer to the end.
    pub async fn send(&self, request: http::Request<Full<Bytes>>) -> Seen {
        read(Arc::clone(&self.chain).serve(request).await).await
    }

    /// Returns the events that the core was told.
    pub fn events(&self) -> Vec<Event> {
        self.core.events.borrow().clone()
    }

    /// Returns how the requests ended for the core.
    pub fn outcomes(&self) -> Vec<Outcome> {
        let mut outcomes = Vec::new();
        for event in self.events() {
            if let Event::Ended(_, outcome) = event {
                outcomes.push(outcome);
            }
        }
        outcomes
    }

    /// Waits until a request has ended for the core.
    pub async fn ended(&self) {
        let mut events = self.core.events.subscribe();
        let ended = |event: &Event| matches!(event, Event::Ended(..));
        events
            .wait_for(|events| events.iter().any(ended))
            .await
            .expect("the core stays");
    }

    /// Returns the requests that were handed over.
    pub fn sent(&self) -> Vec<Sent> {
        self.endpoints.sent.lock().expect("unpoisoned").clone()
    }

    /// Returns the metrics' text.
    pub fn metrics(&self) -> String {
        let mut content = String::new();
        text::encode(&mut content, &self.registry).expect("metrics encode");
        content
    }
}

/// Reads an answer to its end.
pub async fn read(response: Response<Body>) -> Seen {
    let (parts, mut body) = response.into_parts();
    let mut content = Vec::new();
    let mut whole = true;
    while let Some(frame) = body.frame().await {
        match frame.map(Frame::into_data) {
            Ok(Ok(data)) => content.extend_from_slice(&data),
            Ok(Err(_)) => {}
            Err(_) => {
                whole = false;
                break;
            }
        }
    }
    Seen {
        status: parts.status,
        headers: parts.headers,
        text: String::from_utf8(content).expect("text"),
        whole,
    }
}

/// Builds a request with the key of `demo`.
pub fn request(method: &str, path: &str, body: &str) -> http::Request<Full<Bytes>> {
    http::Request::builder()
        .method(method)
        .uri(path)
        .header("authorization", format!("Bearer {KEY}"))
        .body(Full::new(Bytes::from(body.to_owned())))
        .expect("a request")
}

/// Sets a header of a request.
pub fn with<B>(mut request: http::Request<B>, name: &'static str, value: &str) -> http::Request<B> {
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
    with(request, "idempotency-key", key)
}

/// A body that never ends.
pub struct Endless;

impl http_body::Body for Endless {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Pending
    }
}

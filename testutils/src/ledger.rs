//! Stand-in of a plain service, which records what it ran.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use http::{HeaderMap, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::server::{Abort, Answer, Service, Switches, json_answer, lock, problem};

/// When a connection is closed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Death {
    /// Never.
    #[default]
    None,
    /// Before the request runs.
    Before,
    /// After it ran, in place of the answer.
    After,
}

/// What can be switched.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Positions {
    /// When a connection is closed.
    pub die: Death,
    /// Keeps the answers of requests that ran until it is cleared.
    pub hold: bool,
    /// Says on the load page that the endpoint leaves.
    pub leaving: bool,
    /// Status of the answers, zero for 200.
    pub status: u16,
}

/// What was run.
#[derive(Debug, Default, Serialize)]
struct Runs {
    received: u64,
    total: u64,
    running: u64,
    by_key: BTreeMap<String, u64>,
    by_request: BTreeMap<String, u64>,
}

/// The plain service.
#[derive(Debug, Default)]
pub struct Ledger {
    switches: Switches<Positions>,
    runs: Mutex<Runs>,
}

/// Ends a run also if the caller leaves before the answer.
struct Running<'a>(&'a Mutex<Runs>);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        lock(self.0).running -= 1;
    }
}

impl Ledger {
    fn load(&self) -> Value {
        let state = if self.switches.get().leaving {
            "leaving"
        } else {
            "live"
        };
        let running = lock(&self.runs).running;
        json!({"running": running, "waiting": 0, "tokens": 0, "models": [], "state": state})
    }

    /// Records a run and returns its number for its idempotency key.
    fn run(&self, headers: &HeaderMap) -> (Running<'_>, u64) {
        let mut runs = lock(&self.runs);
        runs.total += 1;
        runs.running += 1;
        if let Some(request) = text(headers, "x-request-id") {
            *runs.by_request.entry(request).or_default() += 1;
        }
        let mut count = 0;
        if let Some(key) = text(headers, "idempotency-key") {
            let times = runs.by_key.entry(key).or_default();
            *times += 1;
            count = *times;
        }
        (Running(&self.runs), count)
    }

    async fn answer(&self, request: Request<Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(|_| Abort)?.to_bytes();
        lock(&self.runs).received += 1;
        if self.switches.get().die == Death::Before {
            return Err(Abort);
        }
        let (_running, count) = self.run(&head.headers);
        self.switches.wait_for(|positions| !positions.hold).await;
        let positions = self.switches.get();
        if positions.die == Death::After {
            return Err(Abort);
        }
        let status = StatusCode::from_u16(positions.status).unwrap_or(StatusCode::OK);
        let value = json!({
            "path": head.uri.path(),
            "run": count,
            "key": text(&head.headers, "idempotency-key"),
            "body": String::from_utf8_lossy(&body),
        });
        let mut answer = json_answer(status, &value);
        if let Some(id) = head.headers.get("x-request-id") {
            answer.headers_mut().insert("x-request-id", id.clone());
        }
        Ok(answer)
    }
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

impl Service for Ledger {
    type Switches = Positions;

    fn switches(&self) -> &Switches<Positions> {
        &self.switches
    }

    fn counts(&self) -> Value {
        let runs = lock(&self.runs);
        serde_json::to_value(&*runs).unwrap_or_default()
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        match request.uri().path() {
            "/load" => Ok(json_answer(StatusCode::OK, &self.load())),
            "/cache/events" => Ok(problem(StatusCode::NOT_FOUND, "a plain service has none")),
            _ => self.answer(request).await,
        }
    }
}

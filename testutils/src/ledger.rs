//! Stand-in for a plain service, which is one that serves no models, such as a
//! payment ledger. It counts how often it executed each request and
//! idempotency key.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use http::{HeaderMap, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::server::{Abort, Handled, Observable, Service, error_response, json_response, lock};

/// Point at which the connection of a request is closed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AbortPoint {
    /// Never.
    #[default]
    None,
    /// Before the request is executed.
    Before,
    /// After it was executed, in place of the response.
    After,
}

/// Values that the control page reads and sets.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Controls {
    /// Point at which the connection of each request is closed.
    pub die: AbortPoint,
    /// While set, responses to requests that were executed are held back.
    pub hold: bool,
    /// Whether the load page reports that the endpoint is leaving.
    pub leaving: bool,
    /// Status code of the responses; 200 if this is not a valid code, such as 0.
    pub status: u16,
}

/// Counters of the requests.
#[derive(Debug, Default, Serialize)]
struct Counts {
    /// Requests that arrived, executed or not.
    received: u64,
    /// Requests that were executed.
    total: u64,
    /// Requests that were executed, but whose response is still pending.
    running: u64,
    /// Executions by idempotency key.
    by_key: BTreeMap<String, u64>,
    /// Executions by request ID.
    by_request: BTreeMap<String, u64>,
}

/// The plain service.
#[derive(Debug, Default)]
pub struct Ledger {
    controls: Observable<Controls>,
    counts: Mutex<Counts>,
}

/// Counts a request as running until it is dropped, which also happens if the
/// client disconnects before the response.
struct RunGuard<'a>(&'a Mutex<Counts>);

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        lock(self.0).running -= 1;
    }
}

impl Ledger {
    fn load_page(&self) -> Value {
        let state = if self.controls.get().leaving {
            "leaving"
        } else {
            "live"
        };
        let running = lock(&self.counts).running;
        json!({"running": running, "waiting": 0, "tokens": 0, "models": [], "state": state})
    }

    /// Counts an execution; returns how many there were with its idempotency key.
    fn start_run(&self, headers: &HeaderMap) -> (RunGuard<'_>, u64) {
        let mut counts = lock(&self.counts);
        counts.total += 1;
        counts.running += 1;
        if let Some(request) = header_text(headers, "x-request-id") {
            *counts.by_request.entry(request).or_default() += 1;
        }
        let mut runs_of_key = 0;
        if let Some(key) = header_text(headers, "idempotency-key") {
            let runs = counts.by_key.entry(key).or_default();
            *runs += 1;
            runs_of_key = *runs;
        }
        (RunGuard(&self.counts), runs_of_key)
    }

    /// Executes a request and echoes it in the response.
    async fn execute(&self, request: Request<Incoming>) -> Handled {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(|_| Abort)?.to_bytes();
        lock(&self.counts).received += 1;
        if self.controls.get().die == AbortPoint::Before {
            return Err(Abort);
        }
        let (_guard, runs_of_key) = self.start_run(&head.headers);
        self.controls.wait_for(|controls| !controls.hold).await;
        let controls = self.controls.get();
        if controls.die == AbortPoint::After {
            return Err(Abort);
        }
        let status = StatusCode::from_u16(controls.status).unwrap_or(StatusCode::OK);
        let value = json!({
            "path": head.uri.path(),
            "run": runs_of_key,
            "key": header_text(&head.headers, "idempotency-key"),
            "body": String::from_utf8_lossy(&body),
        });
        let mut response = json_response(status, &value);
        if let Some(id) = head.headers.get("x-request-id") {
            response.headers_mut().insert("x-request-id", id.clone());
        }
        Ok(response)
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

impl Service for Ledger {
    type Controls = Controls;

    fn controls(&self) -> &Observable<Controls> {
        &self.controls
    }

    fn counts(&self) -> Value {
        let counts = lock(&self.counts);
        serde_json::to_value(&*counts).unwrap_or_default()
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Handled {
        match request.uri().path() {
            "/load" => Ok(json_response(StatusCode::OK, &self.load_page())),
            "/cache/events" => Ok(error_response(
                StatusCode::NOT_FOUND,
                "a plain service has none",
            )),
            _ => self.execute(request).await,
        }
    }
}

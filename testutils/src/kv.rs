//! Stand-in for the key-value service: the JSON gateway of etcd v3.

mod store;
mod wire;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::{Value, json};
use tokio::{sync::watch, time::sleep};

use self::store::{Error, Store};
use crate::server::{Abort, Body, Handled, Observable, Service, json_response, lock, read_json};

/// Time between two checks for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Values that the control page reads and sets.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Controls {
    /// Number of upcoming transactions with writes that take effect but whose
    /// connection is closed before the response.
    pub lose_answers: u64,
    /// Number of upcoming transactions whose connection is closed before they
    /// run.
    pub lose_requests: u64,
    /// While set, transactions wait before they run.
    pub hold_before: bool,
    /// While set, responses to transactions that ran are held back.
    pub hold_after: bool,
    /// While set, watches stay open but send no events.
    pub watch_silent: bool,
    /// Number of revisions by which range reads and read-only transactions are
    /// out of date.
    pub stale_by: i64,
}

/// The stand-in for the key-value service.
#[derive(Debug)]
pub struct Kv {
    controls: Observable<Controls>,
    store: Mutex<Store>,
    /// The store's revision; its changes wake the watches.
    revision: watch::Sender<i64>,
    /// Number of calls by path.
    calls: Mutex<BTreeMap<String, u64>>,
}

impl Kv {
    /// Creates an empty store and spawns the task that expires its leases; must
    /// be called inside a Tokio runtime.
    #[must_use]
    pub fn start() -> Arc<Self> {
        let kv = Arc::new(Self {
            controls: Observable::default(),
            store: Mutex::new(Store::default()),
            revision: watch::Sender::new(1),
            calls: Mutex::default(),
        });
        let weak = Arc::downgrade(&kv);
        tokio::spawn(async move {
            while let Some(kv) = weak.upgrade() {
                kv.with_store(Store::expire);
                drop(kv);
                sleep(LEASE_CHECK_INTERVAL).await;
            }
        });
        kv
    }

    /// Runs `operation` on the store and wakes the watches if its revision
    /// changed.
    fn with_store<T>(&self, operation: impl FnOnce(&mut Store) -> T) -> T {
        let mut store = lock(&self.store);
        let result = operation(&mut store);
        let revision = store.revision();
        self.revision
            .send_if_modified(|published| std::mem::replace(published, revision) != revision);
        result
    }

    fn count_call(&self, path: &str) {
        *lock(&self.calls).entry(path.to_owned()).or_default() += 1;
    }

    /// Parses the request's body, runs it on the store and encodes the result.
    async fn call<Q: DeserializeOwned>(
        &self,
        request: Request<Incoming>,
        run: impl FnOnce(&mut Store, &Q) -> Result<Value, Error>,
    ) -> Response<Body> {
        let query = match read_json(request).await {
            Ok(query) => query,
            Err(response) => return response,
        };
        to_response(self.with_store(|store| run(store, &query)))
    }

    async fn transact(&self, request: Request<Incoming>) -> Handled {
        let query: wire::Transaction = match read_json(request).await {
            Ok(query) => query,
            Err(response) => return Ok(response),
        };
        self.controls
            .wait_for(|controls| !controls.hold_before)
            .await;
        if self
            .controls
            .modify(|controls| count_down(&mut controls.lose_requests))
        {
            return Err(Abort);
        }
        let has_writes = query.has_writes();
        let stale_by = self.controls.get().stale_by;
        let result = if has_writes || stale_by == 0 {
            self.with_store(|store| store.transact(&query))
        } else {
            lock(&self.store).snapshot(stale_by).transact(&query)
        };
        self.controls
            .wait_for(|controls| !controls.hold_after)
            .await;
        if has_writes
            && self
                .controls
                .modify(|controls| count_down(&mut controls.lose_answers))
        {
            return Err(Abort);
        }
        Ok(to_response(result))
    }

    /// Streams one JSON line per batch of changes, as etcd does.
    async fn watch(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let query: wire::Watch = match read_json(request).await {
            Ok(query) => query,
            Err(response) => return response,
        };
        let create = query.create_request;
        let revision = lock(&self.store).revision();
        let next = if create.start_revision.0 > 0 {
            create.start_revision.0
        } else {
            revision + 1
        };
        let created = json!({"result": {"header": wire::header(revision), "created": true}});
        let state = (self.revision.subscribe(), next, self, create);
        let updates = stream::unfold(state, |(mut revision, mut next, kv, create)| async move {
            loop {
                kv.controls
                    .wait_for(|controls| !controls.watch_silent)
                    .await;
                let seen = *revision.borrow_and_update();
                let events = lock(&kv.store).events(&create, next);
                next = next.max(seen + 1);
                if !events.is_empty() {
                    let result = json!({"header": wire::header(seen), "events": events});
                    return Some((json!({"result": result}), (revision, next, kv, create)));
                }
                if revision.changed().await.is_err() {
                    return None;
                }
            }
        });
        let lines = stream::once(async { created }).chain(updates);
        let frames = lines.map(|line| Ok(Frame::data(Bytes::from(format!("{line}\n")))));
        Response::new(StreamBody::new(frames).boxed_unsync())
    }
}

/// Decrements a counter that is above zero; returns whether it was above zero.
const fn count_down(remaining: &mut u64) -> bool {
    let any = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    any
}

fn to_response(result: Result<Value, Error>) -> Response<Body> {
    match result {
        Ok(value) => json_response(StatusCode::OK, &value),
        Err(error) => {
            let value =
                json!({"error": error.message, "code": error.code, "message": error.message});
            let status = match error.code {
                store::NOT_FOUND => StatusCode::NOT_FOUND,
                _ => StatusCode::BAD_REQUEST,
            };
            json_response(status, &value)
        }
    }
}

impl Service for Kv {
    type Controls = Controls;

    fn controls(&self) -> &Observable<Controls> {
        &self.controls
    }

    fn counts(&self) -> Value {
        json!({"calls": *lock(&self.calls), "revision": lock(&self.store).revision()})
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Handled {
        let path = request.uri().path().to_owned();
        self.count_call(path.trim_start_matches("/v3/"));
        match path.as_str() {
            "/v3/kv/range" => {
                let stale_by = self.controls.get().stale_by;
                let run = |store: &mut Store, query: &wire::Range| {
                    if stale_by == 0 {
                        return Ok(store.range(query));
                    }
                    Ok(store.snapshot(stale_by).range(query))
                };
                Ok(self.call(request, run).await)
            }
            "/v3/kv/put" => Ok(self.call(request, Store::put).await),
            "/v3/kv/deleterange" => Ok(self
                .call(request, |store, query| Ok(store.delete(query)))
                .await),
            "/v3/kv/txn" => self.transact(request).await,
            "/v3/lease/grant" => Ok(self
                .call(request, |store, query| Ok(store.grant(query)))
                .await),
            "/v3/lease/keepalive" => Ok(self
                .call(request, |store, query| Ok(store.renew(query)))
                .await),
            "/v3/lease/revoke" | "/v3/kv/lease/revoke" => {
                Ok(self.call(request, Store::revoke).await)
            }
            "/v3/watch" => Ok(self.watch(request).await),
            _ => Ok(to_response(Err(Error {
                code: store::NOT_FOUND,
                message: "Not Found",
            }))),
        }
    }
}

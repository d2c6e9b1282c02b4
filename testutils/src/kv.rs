//! Stand-in of the key-value service: the JSON gateway of etcd v3.

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

use self::store::{Fault, Store};
use crate::server::{Abort, Answer, Body, Service, Switches, json_answer, lock, read_json};

/// Time between two looks for lapsed leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// What can be switched.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Positions {
    /// Number of the next transactions with writes whose answers are lost
    /// after they took effect.
    pub lose_answers: u64,
    /// Number of the next transactions that are closed before they run.
    pub lose_requests: u64,
    /// Keeps transactions from running until it is cleared.
    pub hold_before: bool,
    /// Keeps the answers of transactions that ran until it is cleared.
    pub hold_after: bool,
    /// Keeps watches open but reports nothing.
    pub watch_silent: bool,
    /// Number of revisions by which calls that write nothing lie behind.
    pub stale_by: i64,
}

/// The key-value service.
#[derive(Debug)]
pub struct Kv {
    switches: Switches<Positions>,
    store: Mutex<Store>,
    revision: watch::Sender<i64>,
    calls: Mutex<BTreeMap<String, u64>>,
}

impl Kv {
    /// Starts the lapse of leases; to be called inside a runtime.
    #[must_use]
    pub fn start() -> Arc<Self> {
        let kv = Arc::new(Self {
            switches: Switches::default(),
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

    /// Runs a step on the store and wakes the watches if it changed.
    fn with_store<T>(&self, step: impl FnOnce(&mut Store) -> T) -> T {
        let mut store = lock(&self.store);
        let result = step(&mut store);
        let revision = store.revision();
        self.revision
            .send_if_modified(|known| std::mem::replace(known, revision) != revision);
        result
    }

    fn count(&self, kind: &str) {
        *lock(&self.calls).entry(kind.to_owned()).or_default() += 1;
    }

    /// Reads the request's body, runs it and encodes the result.
    async fn call<Q: DeserializeOwned>(
        &self,
        request: Request<Incoming>,
        run: impl FnOnce(&mut Store, &Q) -> Result<Value, Fault>,
    ) -> Response<Body> {
        let query = match read_json(request).await {
            Ok(query) => query,
            Err(answer) => return answer,
        };
        encode(self.with_store(|store| run(store, &query)))
    }

    async fn transact(&self, request: Request<Incoming>) -> Answer {
        let query: wire::Transaction = match read_json(request).await {
            Ok(query) => query,
            Err(answer) => return Ok(answer),
        };
        self.switches
            .wait_for(|positions| !positions.hold_before)
            .await;
        if self.switches.modify(|at| take(&mut at.lose_requests)) {
            return Err(Abort);
        }
        let writes = query.writes();
        let stale_by = self.switches.get().stale_by;
        let result = if writes || stale_by == 0 {
            self.with_store(|store| store.transact(&query))
        } else {
            lock(&self.store).before(stale_by).transact(&query)
        };
        self.switches
            .wait_for(|positions| !positions.hold_after)
            .await;
        if writes && self.switches.modify(|at| take(&mut at.lose_answers)) {
            return Err(Abort);
        }
        Ok(encode(result))
    }

    async fn watch(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let query: wire::Watch = match read_json(request).await {
            Ok(query) => query,
            Err(answer) => return answer,
        };
        let create = query.create_request;
        let revision = lock(&self.store).revision();
        let next = if create.start_revision.0 > 0 {
            create.start_revision.0
        } else {
            revision + 1
        };
        let first = json!({"result": {"header": wire::header(revision), "created": true}});
        let state = (self.revision.subscribe(), next, self, create);
        let changes = stream::unfold(state, |(mut revision, mut next, kv, create)| async move {
            loop {
                kv.switches.wait_for(|at| !at.watch_silent).await;
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
        let lines = stream::once(async { first }).chain(changes);
        let frames = lines.map(|line| Ok(Frame::data(Bytes::from(format!("{line}\n")))));
        Response::new(StreamBody::new(frames).boxed_unsync())
    }
}

/// Counts down and returns whether there was something left.
const fn take(left: &mut u64) -> bool {
    let any = *left > 0;
    *left = left.saturating_sub(1);
    any
}

fn encode(result: Result<Value, Fault>) -> Response<Body> {
    match result {
        Ok(value) => json_answer(StatusCode::OK, &value),
        Err(fault) => {
            let value =
                json!({"error": fault.message, "code": fault.code, "message": fault.message});
            let status = match fault.code {
                store::NOT_FOUND => StatusCode::NOT_FOUND,
                _ => StatusCode::BAD_REQUEST,
            };
            json_answer(status, &value)
        }
    }
}

impl Service for Kv {
    type Switches = Positions;

    fn switches(&self) -> &Switches<Positions> {
        &self.switches
    }

    fn counts(&self) -> Value {
        json!({"calls": *lock(&self.calls), "revision": lock(&self.store).revision()})
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        self.count(path.trim_start_matches("/v3/"));
        match path.as_str() {
            "/v3/kv/range" => {
                let stale_by = self.switches.get().stale_by;
                let run = |store: &mut Store, query: &wire::Range| {
                    if stale_by == 0 {
                        return Ok(store.range(query));
                    }
                    Ok(store.before(stale_by).range(query))
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
            _ => Ok(encode(Err(Fault {
                code: store::NOT_FOUND,
                message: "Not Found",
            }))),
        }
    }
}

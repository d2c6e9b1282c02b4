//! The listener that all stand-ins share, with the faults of a connection.

mod gate;

use std::{
    future::{Future, pending},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use eyre::{Result, WrapErr};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::{Value, json};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};

use self::gate::Gate;

/// Time between two attempts to listen again on an address.
const LISTEN_RETRY: Duration = Duration::from_millis(20);

/// The connection is closed without an answer, or in the middle of one.
#[derive(Clone, Copy, Debug)]
pub struct Abort;

impl std::fmt::Display for Abort {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the stand-in closes the connection; clear its fault switch")
    }
}

impl std::error::Error for Abort {}

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, Abort>;

/// Answer of a stand-in.
pub type Answer = Result<Response<Body>, Abort>;

/// Which connections never carry another byte.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Silence {
    /// None further; those that fell silent before stay so.
    #[default]
    None,
    /// Those open at the moment of the switch.
    Existing,
    /// Those open and every new one.
    All,
}

/// Faults that every stand-in has.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Refuses connections and closes those that are open.
    pub down: bool,
    /// Delay before a request is looked at.
    pub slow_ms: u64,
    /// Which connections never carry another byte.
    pub silent: Silence,
}

/// A stand-in.
pub trait Service: Send + Sync + 'static {
    /// Its own switches.
    type Switches: Clone + Default + Serialize + DeserializeOwned + Send + Sync;

    /// Returns its switches.
    fn switches(&self) -> &Switches<Self::Switches>;

    /// Returns what it has counted.
    fn counts(&self) -> Value;

    /// Answers a request.
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> impl Future<Output = Answer> + Send;
}

/// Switches that can be changed while requests are served.
#[derive(Debug)]
pub struct Switches<S>(watch::Sender<S>);

impl<S: Default> Default for Switches<S> {
    fn default() -> Self {
        Self(watch::Sender::new(S::default()))
    }
}

impl<S: Clone + Serialize + DeserializeOwned> Switches<S> {
    /// Returns the present position.
    #[must_use]
    pub fn get(&self) -> S {
        self.0.borrow().clone()
    }

    /// Changes the position.
    pub fn modify<T: Default>(&self, change: impl FnOnce(&mut S) -> T) -> T {
        let mut result = None;
        self.0
            .send_modify(|switches| result = Some(change(switches)));
        result.unwrap_or_default()
    }

    /// Waits until the position satisfies the condition.
    pub async fn wait_for(&self, condition: impl FnMut(&S) -> bool) {
        let mut position = self.0.subscribe();
        // The sender lives as long as `self`, so that this can't fail.
        let _ = position.wait_for(condition).await;
    }

    fn merge(&self, change: &Value) -> serde_json::Result<()> {
        let merged = merged(&self.get(), change)?;
        self.0.send_replace(merged);
        Ok(())
    }
}

/// Overlays the members of `change` that `S` knows.
fn merged<S: Serialize + DeserializeOwned>(present: &S, change: &Value) -> serde_json::Result<S> {
    let mut whole = serde_json::to_value(present)?;
    if let (Some(members), Some(change)) = (whole.as_object_mut(), change.as_object()) {
        for (name, value) in change {
            if members.contains_key(name) {
                members.insert(name.clone(), value.clone());
            }
        }
    }
    serde_json::from_value(whole)
}

/// Locks a mutex whose data stay valid when a holder panics.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Where a stand-in listens.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Addresses {
    /// Address of its service.
    pub address: SocketAddr,
    /// Address that takes `/control` whatever the faults are.
    pub control: SocketAddr,
}

struct Shared<S> {
    service: Arc<S>,
    faults: watch::Sender<Faults>,
    accepted: AtomicU64,
    silent_below: Arc<AtomicU64>,
}

/// Starts a stand-in inside this process; it ends with the runtime.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn start<S: Service>(service: Arc<S>, listen: SocketAddr) -> Result<Addresses> {
    let listener = TcpListener::bind(listen)
        .await
        .wrap_err_with(|| format!("can't listen on {listen}; choose another `--listen`"))?;
    let control = TcpListener::bind((listen.ip(), 0)).await?;
    let addresses = Addresses {
        address: listener.local_addr()?,
        control: control.local_addr()?,
    };
    let shared = Arc::new(Shared {
        service,
        faults: watch::Sender::new(Faults::default()),
        accepted: AtomicU64::new(0),
        silent_below: Arc::new(AtomicU64::new(0)),
    });
    tokio::spawn(accept_control(control, Arc::clone(&shared)));
    tokio::spawn(accept(listener, shared));
    Ok(addresses)
}

/// Starts a stand-in, prints its addresses and serves for good.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn run<S: Service>(service: Arc<S>, listen: SocketAddr) -> Result<()> {
    let addresses = start(service, listen).await?;
    println!("{}", serde_json::to_string(&addresses)?);
    pending().await
}

async fn accept_control<S: Service>(listener: TcpListener, shared: Arc<Shared<S>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let serve = service_fn(move |request| control(Arc::clone(&shared), request));
            let _ = auto::Builder::new(TokioExecutor::new())
                .serve_connection(TokioIo::new(stream), serve)
                .await;
        });
    }
}

async fn accept<S: Service>(mut listener: TcpListener, shared: Arc<Shared<S>>) {
    let address = listener.local_addr().expect("a listener has an address");
    let mut faults = shared.faults.subscribe();
    loop {
        tokio::select! {
            () = accept_all(&listener, &shared) => {}
            _ = faults.wait_for(|faults| faults.down) => {}
        }
        drop(listener);
        let _ = faults.wait_for(|faults| !faults.down).await;
        listener = listen_again(address).await;
    }
}

async fn accept_all<S: Service>(listener: &TcpListener, shared: &Arc<Shared<S>>) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, Arc::clone(shared)));
        }
    }
}

async fn listen_again(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => sleep(LISTEN_RETRY).await,
        }
    }
}

async fn serve<S: Service>(stream: TcpStream, shared: Arc<Shared<S>>) {
    let number = shared.accepted.fetch_add(1, Ordering::SeqCst);
    if shared.faults.borrow().silent == Silence::All {
        shared.silent_below.fetch_max(number + 1, Ordering::SeqCst);
    }
    let _ = stream.set_nodelay(true);
    let gate = Gate::new(stream, number, Arc::clone(&shared.silent_below));
    let mut faults = shared.faults.subscribe();
    let serve = service_fn(move |request| handle(Arc::clone(&shared), request));
    let builder = auto::Builder::new(TokioExecutor::new());
    let connection = builder.serve_connection(TokioIo::new(gate), serve);
    tokio::select! {
        _ = connection => {}
        _ = faults.wait_for(|faults| faults.down) => {}
    }
}

async fn handle<S: Service>(shared: Arc<Shared<S>>, request: Request<Incoming>) -> Answer {
    if request.uri().path() == "/control" {
        return control(shared, request).await;
    }
    let slow = Duration::from_millis(shared.faults.borrow().slow_ms);
    if !slow.is_zero() {
        sleep(slow).await;
    }
    Arc::clone(&shared.service).handle(request).await
}

async fn control<S: Service>(shared: Arc<Shared<S>>, request: Request<Incoming>) -> Answer {
    if request.method() == Method::PUT {
        let change: Value = match read_json(request).await {
            Ok(change) => change,
            Err(answer) => return Ok(answer),
        };
        if let Err(cause) = change_switches(&shared, &change) {
            return Ok(problem(StatusCode::BAD_REQUEST, &cause.to_string()));
        }
    }
    let mut whole = json!({"counts": shared.service.counts()});
    for part in [
        serde_json::to_value(&*shared.faults.borrow()),
        serde_json::to_value(shared.service.switches().get()),
    ] {
        let Ok(Value::Object(part)) = part else {
            continue;
        };
        for (name, value) in part {
            whole[name] = value;
        }
    }
    Ok(json_answer(StatusCode::OK, &whole))
}

fn change_switches<S: Service>(shared: &Shared<S>, change: &Value) -> serde_json::Result<()> {
    let faults = merged(&*shared.faults.borrow(), change)?;
    shared.service.switches().merge(change)?;
    if faults.silent != Silence::None && change.get("silent").is_some() {
        let accepted = shared.accepted.load(Ordering::SeqCst);
        shared.silent_below.fetch_max(accepted, Ordering::SeqCst);
    }
    shared.faults.send_replace(faults);
    Ok(())
}

/// Reads a JSON body.
///
/// # Errors
///
/// Fails with the answer to give.
pub async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, Response<Body>> {
    let body = match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(cause) => return Err(problem(StatusCode::BAD_REQUEST, &cause.to_string())),
    };
    serde_json::from_slice(&body)
        .map_err(|cause| problem(StatusCode::BAD_REQUEST, &cause.to_string()))
}

/// Wraps bytes as a body.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Builds an answer with a JSON body.
#[must_use]
pub fn json_answer(status: StatusCode, value: &Value) -> Response<Body> {
    let mut answer = Response::new(full(value.to_string()));
    *answer.status_mut() = status;
    answer.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    answer
}

/// Builds an answer that says what is wrong with the request.
#[must_use]
pub fn problem(status: StatusCode, detail: &str) -> Response<Body> {
    json_answer(status, &json!({"error": detail}))
}

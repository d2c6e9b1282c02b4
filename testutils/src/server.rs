//! The HTTP server that all stand-ins share, its control page and the
//! connection faults that it can inject.

mod connection;

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

use self::connection::Connection;

/// Time between two attempts to listen again on an address.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Error that makes the server close the connection without a response, or in
/// the middle of one.
#[derive(Clone, Copy, Debug)]
pub struct Abort;

impl std::fmt::Display for Abort {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection closed by a fault that is set on the stand-in's control page")
    }
}

impl std::error::Error for Abort {}

/// Body of a response.
pub type Body = UnsyncBoxBody<Bytes, Abort>;

/// Result of handling a request: a response, or an abort of the connection.
pub type Handled = Result<Response<Body>, Abort>;

/// Which connections are stalled, so that they never carry another byte.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Silence {
    /// No further connections; those that are already stalled remain so.
    #[default]
    None,
    /// Those that are open when this value is set.
    Existing,
    /// Those that are open when this value is set, and every later one.
    All,
}

/// Connection faults that every stand-in can inject.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Whether connections are refused, and open ones closed.
    pub down: bool,
    /// Delay before a request is handled, in milliseconds.
    pub slow_ms: u64,
    /// Which connections are stalled.
    pub silent: Silence,
}

/// The behavior of a stand-in behind the shared server.
pub trait Service: Send + Sync + 'static {
    /// Values that the control page reads and sets, besides [`Faults`].
    type Controls: Clone + Default + Serialize + DeserializeOwned + Send + Sync;

    /// Returns its controls.
    fn controls(&self) -> &Observable<Self::Controls>;

    /// Returns its counters, for the control page.
    fn counts(&self) -> Value;

    /// Handles a request.
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> impl Future<Output = Handled> + Send;
}

/// A value that can be changed, and waited for, while requests are served.
#[derive(Debug)]
pub struct Observable<S>(watch::Sender<S>);

impl<S: Default> Default for Observable<S> {
    fn default() -> Self {
        Self(watch::Sender::new(S::default()))
    }
}

impl<S: Clone + Serialize + DeserializeOwned> Observable<S> {
    /// Returns a copy of the current value.
    #[must_use]
    pub fn get(&self) -> S {
        self.0.borrow().clone()
    }

    /// Changes the value and returns what `change` returns.
    pub fn modify<T: Default>(&self, change: impl FnOnce(&mut S) -> T) -> T {
        let mut result = None;
        self.0.send_modify(|value| result = Some(change(value)));
        result.unwrap_or_default()
    }

    /// Waits until the value satisfies the condition.
    pub async fn wait_for(&self, condition: impl FnMut(&S) -> bool) {
        let mut receiver = self.0.subscribe();
        // Fails only if the sender is dropped, but `self` owns the sender.
        let _ = receiver.wait_for(condition).await;
    }

    /// Overwrites the fields that `change` contains.
    fn merge(&self, change: &Value) -> serde_json::Result<()> {
        let merged = merged(&self.get(), change)?;
        self.0.send_replace(merged);
        Ok(())
    }
}

/// Overwrites fields of `current` with those of `change`; fields that `S` does
/// not have are ignored.
fn merged<S: Serialize + DeserializeOwned>(current: &S, change: &Value) -> serde_json::Result<S> {
    let mut merged = serde_json::to_value(current)?;
    if let (Some(fields), Some(change)) = (merged.as_object_mut(), change.as_object()) {
        for (name, value) in change {
            if fields.contains_key(name) {
                fields.insert(name.clone(), value.clone());
            }
        }
    }
    serde_json::from_value(merged)
}

/// Locks a mutex, ignoring poisoning: its data stay valid if a holder panics.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Addresses that a stand-in listens on.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Addresses {
    /// Address of the service.
    pub address: SocketAddr,
    /// Address that serves `/control` and is not subject to [`Faults`].
    pub control: SocketAddr,
}

/// State that all connections of a stand-in share.
struct Shared<S> {
    service: Arc<S>,
    faults: watch::Sender<Faults>,
    /// Number of accepted connections; connections are numbered from 0.
    accepted: AtomicU64,
    /// Connections with a number below this one are stalled.
    silent_below: Arc<AtomicU64>,
}

/// Starts a stand-in inside this process; it stops with the runtime.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn start<S: Service>(service: Arc<S>, listen: SocketAddr) -> Result<Addresses> {
    let listener = TcpListener::bind(listen).await.wrap_err_with(|| {
        format!("can't listen on {listen}; choose another address with `--listen`")
    })?;
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

/// Starts a stand-in, prints its addresses as one line of JSON and serves
/// until the process ends.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn run<S: Service>(service: Arc<S>, listen: SocketAddr) -> Result<()> {
    let addresses = start(service, listen).await?;
    println!("{}", serde_json::to_string(&addresses)?);
    pending().await
}

/// Serves the control page on its own address, on any path.
async fn accept_control<S: Service>(listener: TcpListener, shared: Arc<Shared<S>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let serve = service_fn(move |request| control_page(Arc::clone(&shared), request));
            let _ = auto::Builder::new(TokioExecutor::new())
                .serve_connection(TokioIo::new(stream), serve)
                .await;
        });
    }
}

/// Serves connections; closes the listener while the fault `down` is set, so
/// that connections are refused.
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

/// Binds an address again; retries until it succeeds.
async fn listen_again(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => sleep(LISTEN_RETRY_INTERVAL).await,
        }
    }
}

/// Serves one connection until it ends or the fault `down` is set.
async fn serve<S: Service>(stream: TcpStream, shared: Arc<Shared<S>>) {
    let number = shared.accepted.fetch_add(1, Ordering::SeqCst);
    if shared.faults.borrow().silent == Silence::All {
        shared.silent_below.fetch_max(number + 1, Ordering::SeqCst);
    }
    let _ = stream.set_nodelay(true);
    let stream = Connection::new(stream, number, Arc::clone(&shared.silent_below));
    let mut faults = shared.faults.subscribe();
    let serve = service_fn(move |request| handle(Arc::clone(&shared), request));
    let builder = auto::Builder::new(TokioExecutor::new());
    let connection = builder.serve_connection(TokioIo::new(stream), serve);
    tokio::select! {
        _ = connection => {}
        _ = faults.wait_for(|faults| faults.down) => {}
    }
}

/// Handles one request; the fault `slow_ms` delays all but those for the
/// control page.
async fn handle<S: Service>(shared: Arc<Shared<S>>, request: Request<Incoming>) -> Handled {
    if request.uri().path() == "/control" {
        return control_page(shared, request).await;
    }
    let delay = Duration::from_millis(shared.faults.borrow().slow_ms);
    if !delay.is_zero() {
        sleep(delay).await;
    }
    Arc::clone(&shared.service).handle(request).await
}

/// Serves the control page: `PUT` changes controls and faults, and every
/// method returns them together with the counters.
async fn control_page<S: Service>(shared: Arc<Shared<S>>, request: Request<Incoming>) -> Handled {
    if request.method() == Method::PUT {
        let change: Value = match read_json(request).await {
            Ok(change) => change,
            Err(response) => return Ok(response),
        };
        if let Err(error) = set_controls(&shared, &change) {
            return Ok(error_response(StatusCode::BAD_REQUEST, &error.to_string()));
        }
    }
    let mut page = json!({"counts": shared.service.counts()});
    for section in [
        serde_json::to_value(&*shared.faults.borrow()),
        serde_json::to_value(shared.service.controls().get()),
    ] {
        let Ok(Value::Object(section)) = section else {
            continue;
        };
        for (name, value) in section {
            page[name] = value;
        }
    }
    Ok(json_response(StatusCode::OK, &page))
}

/// Applies a change of faults and controls; setting `silent` also stalls the
/// open connections.
fn set_controls<S: Service>(shared: &Shared<S>, change: &Value) -> serde_json::Result<()> {
    let faults = merged(&*shared.faults.borrow(), change)?;
    shared.service.controls().merge(change)?;
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
/// Fails with the response to return if the body is not such JSON.
pub async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, Response<Body>> {
    let body = match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return Err(error_response(StatusCode::BAD_REQUEST, &error.to_string())),
    };
    serde_json::from_slice(&body)
        .map_err(|error| error_response(StatusCode::BAD_REQUEST, &error.to_string()))
}

/// Wraps bytes in a body.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Builds a response with a JSON body.
#[must_use]
pub fn json_response(status: StatusCode, value: &Value) -> Response<Body> {
    let mut response = Response::new(full_body(value.to_string()));
    *response.status_mut() = status;
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    response
}

/// Builds an error response whose JSON body contains `detail`.
#[must_use]
pub fn error_response(status: StatusCode, detail: &str) -> Response<Body> {
    json_response(status, &json!({"error": detail}))
}

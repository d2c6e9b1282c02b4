//! Accepts connections and serves HTTP/1.1 and HTTP/2 on them.

use std::{
    convert::Infallible,
    future::{self, Future},
    io,
    net::SocketAddr,
    panic::AssertUnwindSafe,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use futures_util::FutureExt;
use http::{HeaderValue, Request, Response, StatusCode, Version, header::CONNECTION};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{JoinError, JoinSet},
    time::sleep,
};

use crate::{
    body::Body,
    connections::{self, Connections, Session},
    linger::{self, Linger},
    problem::{Problem, Reason},
    write_timeout::WriteTimeout,
};

/// Response header with the identifier of the request at this node.
pub const REQUEST_HEADER: &str = "dottereltally-request";

/// Delay before accepting again after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time between two pings on an HTTP/2 connection, and the time limit of the
/// reply.
const HTTP2_PING_INTERVAL: Duration = Duration::from_secs(20);
/// Bytes that a caller may send on one HTTP/2 request, and on all requests of a connection,
/// before the node has taken them: as much as a HTTP/1.1 connection may hold in its read
/// buffer and in the part that is handed over.
const HTTP2_STREAM_WINDOW: u32 = 128 * 1024;
const HTTP2_CONNECTION_WINDOW: u32 = 256 * 1024;
/// Maximum number of concurrent requests on one HTTP/2 connection.
const MAX_HTTP2_STREAMS: u32 = 256;

/// Limits of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of a request's head, bytes. A larger head is refused, one of
    /// more than twice the size ends the connection.
    pub head: usize,
    /// Time for a request's head to arrive.
    pub head_timeout: Duration,
    /// Time without progress after which the connection of a caller that does
    /// not read its response is closed.
    pub write_timeout: Duration,
}

/// Accepts connections until `draining` becomes true, then serves the open
/// ones until they have ended.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: Limits,
    draining: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    serve_bounded(
        listener,
        limits,
        Connections::unbounded(),
        draining,
        handler,
    )
    .await;
}

/// Like [`serve`], within a bound on connections.
pub async fn serve_bounded<H, F>(
    listener: TcpListener,
    limits: Limits,
    bound: Connections,
    mut draining: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            biased;
            () = drained(&mut draining) => break,
            Some(ended) = connections.join_next() => log_panic(ended),
            accepted = accept(&listener, &bound) => match accepted {
                Ok((stream, _)) => {
                    let Some(session) = bound.admit() else {
                        continue;
                    };
                    let serving = serve_connection(stream, session, limits, draining.clone(), handler.clone());
                    connections.spawn(serving);
                }
                Err(error) => {
                    tracing::warn!(%error, "connection not accepted: retrying");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
        }
    }
    drop(listener);
    while let Some(ended) = connections.join_next().await {
        log_panic(ended);
    }
}

/// Accepts a connection once those that were closed for others have ended.
async fn accept(
    listener: &TcpListener,
    bound: &Connections,
) -> io::Result<(TcpStream, SocketAddr)> {
    bound.settled().await;
    listener.accept().await
}

/// Logs a connection that ended in a panic, as the body of one of its responses failed.
fn log_panic(ended: Result<(), JoinError>) {
    if let Err(error) = ended {
        tracing::error!(%error, "connection ended by a panic: report the panic");
    }
}

/// Returns the response of a handler; if it panics, a response that promises nothing.
async fn answer(handling: impl Future<Output = Response<Body>>) -> Response<Body> {
    match AssertUnwindSafe(handling).catch_unwind().await {
        Ok(response) => response,
        Err(_panic) => {
            tracing::error!("request answered with 502: its handler panicked; report the panic");
            let problem = Problem::may_have_run(
                StatusCode::BAD_GATEWAY,
                Reason::Internal,
                "this host failed at the request; send it again if it is idempotent",
            );
            problem.response(None)
        }
    }
}

/// Waits until the server must accept no more requests.
async fn drained(draining: &mut watch::Receiver<bool>) {
    let _ = draining.wait_for(|draining| *draining).await;
}

/// Serves a connection; closes it if no request arrives within the head timeout.
async fn serve_connection<H, F>(
    stream: TcpStream,
    session: Session,
    limits: Limits,
    mut draining: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    // Dropped after the stream, so that its descriptor is free when the bound says so.
    let session = Arc::new(session);
    let of_requests = Arc::clone(&session);
    let _ = stream.set_nodelay(true);
    let builder = builder(limits);
    let request_seen = Arc::new(AtomicBool::new(false));
    let marker = Arc::clone(&request_seen);
    let unread = linger::Mark::default();
    let mark = unread.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        marker.store(true, Ordering::Relaxed);
        let (handler, unread) = (handler.clone(), unread.clone());
        let session = Arc::clone(&of_requests);
        let exchange = session.begin();
        async move {
            let Some(exchange) = exchange else {
                // The connection is closed with this request unanswered and not run.
                return future::pending().await;
            };
            let is_http1 = request.version() < Version::HTTP_2;
            if !is_http1 {
                // The rest of an ended response may still wait for the caller's window.
                session.keep();
            }
            let mut response = answer(async { handler(request).await }).await;
            if response.extensions_mut().remove::<Linger>().is_some() && is_http1 {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
                unread.set();
                // Its caller may still have to read the response while the rest is discarded.
                session.keep();
            }
            response.body_mut().set_exchange(exchange);
            Ok::<_, Infallible>(response)
        }
    });
    let stream = WriteTimeout::new(stream, limits.write_timeout);
    let stream = connections::Stream::new(stream, Arc::clone(&session));
    let stream = TokioIo::new(linger::Stream::new(stream, mark));
    let mut serving = pin!(builder.serve_connection(stream, service));
    let mut first_request_timeout = pin!(sleep(limits.head_timeout));
    let mut first_request_checked = false;
    let mut closing = false;
    loop {
        tokio::select! {
            _ = serving.as_mut() => return,
            () = session.evicted() => return,
            () = &mut first_request_timeout, if !first_request_checked => {
                first_request_checked = true;
                if !request_seen.load(Ordering::Relaxed) {
                    return;
                }
            }
            () = drained(&mut draining), if !closing => {
                closing = true;
                serving.as_mut().graceful_shutdown();
            }
        }
    }
}

fn builder(limits: Limits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    let max_head = limits.head.saturating_mul(2);
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(max_head);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(max_head).unwrap_or(u32::MAX))
        .max_concurrent_streams(MAX_HTTP2_STREAMS)
        .initial_stream_window_size(HTTP2_STREAM_WINDOW)
        .initial_connection_window_size(HTTP2_CONNECTION_WINDOW)
        .keep_alive_interval(HTTP2_PING_INTERVAL)
        .keep_alive_timeout(HTTP2_PING_INTERVAL);
    builder
}

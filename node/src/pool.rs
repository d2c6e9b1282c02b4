//! Pool of HTTP/1.1 connections to endpoints, each with one request at a time.

use std::{
    collections::HashMap,
    io,
    ops::RangeInclusive,
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::Bytes;
use dottereltally_store::inbound::{self, Progress};
use http::{HeaderMap, Response, StatusCode};
use http_body::{Frame, SizeHint};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1::SendRequest};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
    task::JoinHandle,
    time::timeout,
};

use crate::upstream::{Broken, Client, Failure, Message, Reuse};

/// Unanswered keep-alive probes after which a connection is closed.
const KEEPALIVE_RETRIES: u32 = 3;
/// Time limit for an idle connection to become ready for the next request.
const READY_TIMEOUT: Duration = Duration::from_millis(10);
/// Fraction of the endpoint's keep-alive timeout for which an idle connection is
/// reused; a request sent later could meet the endpoint closing the connection.
const KEEP_ALIVE_FRACTION: f64 = 0.6;
/// Header in which an endpoint states how long it keeps idle connections open.
const KEEP_ALIVE_HEADER: &str = "keep-alive";
/// Statuses of final answers. Interim ones are handled before, and no connection is upgraded.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// Maximum number of idle connections per endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 64;

/// Time limits of connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time to open a connection.
    pub connect: Duration,
    /// Time without traffic after which the kernel sends a keep-alive probe.
    pub keepalive_time: Duration,
    /// Time between two keep-alive probes.
    pub keepalive_interval: Duration,
    /// Time for sent data to be acknowledged, after which the kernel closes the
    /// connection.
    pub user_timeout: Duration,
    /// Time for which an idle connection is reused; shorter if its endpoint
    /// announces a shorter keep-alive timeout.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            keepalive_time: Duration::from_secs(5),
            keepalive_interval: Duration::from_secs(2),
            user_timeout: Duration::from_secs(10),
            idle: Duration::from_secs(5),
        }
    }
}

/// Client that keeps idle connections by address; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    limits: Limits,
    idle: Arc<Mutex<HashMap<String, Vec<Idle>>>>,
}

/// An idle connection and the time until which it is reused.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    expires: Instant,
}

/// An open connection and the task that drives it; dropping it closes the
/// socket.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    progress: Progress,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    async fn open(address: &str, limits: &Limits) -> io::Result<Self> {
        Self::over(dial(address, limits).await?).await
    }

    /// Uses an open byte stream.
    async fn over<S>(stream: S) -> io::Result<Self>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let handshake = inbound::handshake(stream);
        let (sender, connection, progress) = handshake.await.map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            progress,
            task,
        })
    }

    async fn is_usable(&mut self) -> bool {
        matches!(
            timeout(READY_TIMEOUT, self.sender.ready()).await,
            Ok(Ok(()))
        )
    }
}

/// Opens a TCP connection to `address`, `ip:port`.
///
/// # Errors
///
/// Fails if it can't be opened in time.
pub async fn dial(address: &str, limits: &Limits) -> io::Result<TcpStream> {
    let connect = TcpStream::connect(address);
    let stream = timeout(limits.connect, connect).await??;
    stream.set_nodelay(true)?;
    set_keepalive(&stream, limits)?;
    Ok(stream)
}

/// Lets the kernel close a connection whose other side no longer answers, for
/// example because the network has dropped the connection's state.
///
/// # Errors
///
/// Fails if the connection is already closed.
pub fn set_keepalive(stream: &TcpStream, limits: &Limits) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(limits.keepalive_time)
        .with_interval(limits.keepalive_interval)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(limits.user_timeout))
}

impl Pool {
    /// Builds a pool without connections.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            idle: Arc::default(),
        }
    }

    /// Removes and returns the most recently used idle connection that is usable.
    async fn take(&self, address: &str) -> Option<Connection> {
        loop {
            let idle = self.pop(address)?;
            if idle.expires <= Instant::now() {
                continue;
            }
            let mut connection = idle.connection;
            if connection.is_usable().await {
                return Some(connection);
            }
        }
    }

    fn pop(&self, address: &str) -> Option<Idle> {
        let mut pool = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = pool.get_mut(address)?;
        let idle = list.pop();
        if list.is_empty() {
            pool.remove(address);
        }
        idle
    }

    /// Keeps a connection as idle for the given time, if it is still open.
    fn put(&self, address: String, connection: Connection, idle: Duration) {
        if connection.sender.is_closed() || idle.is_zero() {
            return;
        }
        let now = Instant::now();
        let expires = now + idle;
        let mut pool = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = pool.entry(address).or_default();
        list.retain(|idle| idle.expires > now);
        if list.len() < MAX_IDLE_PER_ENDPOINT {
            list.push(Idle {
                connection,
                expires,
            });
        }
    }

    /// Takes an idle connection to an endpoint, or opens one.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint can't be reached.
    pub async fn connect(&self, address: &str, reuse: Reuse) -> io::Result<Ready> {
        let idle = match reuse {
            Reuse::Idle => self.take(address).await,
            Reuse::Never => None,
        };
        let connection = match idle {
            Some(connection) => connection,
            None => Connection::open(address, &self.limits).await?,
        };
        Ok(self.ready(address, connection))
    }

    /// Takes an idle connection that is kept under `key`, if there is one.
    pub async fn take_idle(&self, key: &str) -> Option<Ready> {
        let connection = self.take(key).await?;
        Some(self.ready(key, connection))
    }

    /// Uses an open byte stream, which is kept under `key` while it is idle.
    ///
    /// # Errors
    ///
    /// Fails if the stream can't be used.
    pub async fn adopt<S>(&self, key: &str, stream: S) -> io::Result<Ready>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let connection = Connection::over(stream).await?;
        Ok(self.ready(key, connection))
    }

    fn ready(&self, key: &str, connection: Connection) -> Ready {
        Ready {
            pool: self.clone(),
            address: key.to_owned(),
            connection,
        }
    }
}

/// An open connection that is used for one request.
#[derive(Debug)]
pub struct Ready {
    pool: Pool,
    address: String,
    connection: Connection,
}

impl Ready {
    /// Returns the key under which the connection is kept while it is idle.
    #[must_use]
    pub fn key(&self) -> &str {
        &self.address
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// Dropping the future cancels the request.
    ///
    /// # Errors
    ///
    /// Fails with [`Failure::Unsent`] only if nothing was sent.
    pub async fn send(self, message: Message) -> Result<Response<Body>, Failure> {
        self.send_watched(message, |_, _| {}).await
    }

    /// Sends a request like [`Self::send`]; the heads of interim answers are passed to
    /// `handle`.
    ///
    /// # Errors
    ///
    /// Fails with [`Failure::Unsent`] only if nothing was sent.
    pub async fn send_watched(
        mut self,
        mut message: Message,
        handle: impl Fn(StatusCode, &HeaderMap) + Send + Sync + 'static,
    ) -> Result<Response<Body>, Failure> {
        self.connection.progress.watch(&mut message, handle);
        let response = match self.connection.sender.try_send_request(message).await {
            Ok(response) => response,
            Err(mut error) => {
                let cause = inbound::cause(error.error());
                return Err(match error.take_message() {
                    Some(message) => Failure::Unsent {
                        message: Box::new(message),
                        cause,
                    },
                    None => Failure::Broken(Broken { cause }),
                });
            }
        };
        check_status(response.status()).map_err(Failure::Broken)?;
        let longest_idle = self.pool.limits.idle;
        let idle = keep_alive_timeout(response.headers()).map_or(longest_idle, |timeout| {
            longest_idle.min(timeout.mul_f64(KEEP_ALIVE_FRACTION))
        });
        let lease = Lease {
            pool: self.pool,
            address: self.address,
            connection: self.connection,
            idle,
        };
        Ok(response.map(|body| Body {
            body,
            lease: Some(lease),
        }))
    }
}

/// Checks that an answer has the status of a final answer.
///
/// # Errors
///
/// Fails if it has another one, so that its end is not known either.
fn check_status(status: StatusCode) -> Result<(), Broken> {
    if FINAL_STATUSES.contains(&status.as_u16()) {
        return Ok(());
    }
    Err(Broken {
        cause: format!(
            "the answer has the status {}, which is not final",
            status.as_str()
        ),
    })
}

impl Client for Pool {
    type Body = Body;

    async fn send(
        &self,
        address: &str,
        message: Message,
        reuse: Reuse,
    ) -> Result<Response<Body>, Failure> {
        match self.connect(address, reuse).await {
            Ok(ready) => ready.send(message).await,
            Err(error) => Err(Failure::Unsent {
                message: Box::new(message),
                cause: error.to_string(),
            }),
        }
    }
}

/// Returns the `timeout` parameter of the keep-alive header.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE_HEADER)?.to_str().ok()?;
    for parameter in value.split(',') {
        let Some(seconds) = parameter.trim().strip_prefix("timeout=") else {
            continue;
        };
        return seconds.trim().parse().ok().map(Duration::from_secs);
    }
    None
}

/// A connection in use, with what is needed to return it to the pool.
#[derive(Debug)]
struct Lease {
    pool: Pool,
    address: String,
    connection: Connection,
    idle: Duration,
}

/// Body of a response; returns its connection to the pool when it ends.
#[derive(Debug)]
pub struct Body {
    body: Incoming,
    lease: Option<Lease>,
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(context) else {
            return Poll::Pending;
        };
        match frame {
            Some(Ok(frame)) => {
                if let (Some(lease), Some(data)) = (&self.lease, frame.data_ref()) {
                    lease.connection.progress.record(data.len());
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => {
                self.lease = None;
                let cause = inbound::cause(&error);
                Poll::Ready(Some(Err(Broken { cause })))
            }
            None => {
                if let Some(lease) = self.lease.take() {
                    lease.pool.put(lease.address, lease.connection, lease.idle);
                }
                Poll::Ready(None)
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

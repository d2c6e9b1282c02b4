//! Connections to endpoints, one request at a time on each.

use std::{
    collections::HashMap,
    io,
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Response};
use http_body::{Frame, SizeHint};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

use crate::upstream::{Broken, Client, Failure, Message, Reuse};

/// Unanswered probes that end a connection.
const KEEPALIVE_RETRIES: u32 = 3;
/// Time for a returned connection to become ready for the next request.
const READY_TIMEOUT: Duration = Duration::from_millis(10);
/// Part of the time that an endpoint keeps idle connections in which they are
/// used again; a request must not meet the end of its connection.
const KEPT_PART: f64 = 0.6;
/// Header by which an endpoint tells how long it keeps idle connections.
const KEEP_ALIVE: &str = "keep-alive";
/// Idle connections kept for one endpoint.
const MAX_IDLE: usize = 64;

/// Time limits of connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// For a connection to be made.
    pub connect: Duration,
    /// Without traffic, after which the host probes a connection.
    pub probe: Duration,
    /// Between two such probes.
    pub probe_interval: Duration,
    /// For data to be acknowledged.
    pub unacknowledged: Duration,
    /// Without a request, after which a connection is not used any more,
    /// unless its endpoint says that it closes earlier.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            probe: Duration::from_secs(5),
            probe_interval: Duration::from_secs(2),
            unacknowledged: Duration::from_secs(10),
            idle: Duration::from_secs(5),
        }
    }
}

/// Client with a pool of idle connections by address.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    limits: Limits,
    idle: Arc<Mutex<HashMap<String, Vec<Idle>>>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// An open connection; dropping it closes the socket.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    async fn open(address: &str, limits: &Limits) -> io::Result<Self> {
        let connect = TcpStream::connect(address);
        let stream = timeout(limits.connect, connect).await??;
        stream.set_nodelay(true)?;
        watch(&stream, limits)?;
        let handshake = http1::handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self { sender, task })
    }

    async fn is_usable(&mut self) -> bool {
        matches!(
            timeout(READY_TIMEOUT, self.sender.ready()).await,
            Ok(Ok(()))
        )
    }
}

/// Lets the host end a connection that the network has lost track of.
///
/// # Errors
///
/// Fails if the connection is already closed.
pub fn watch(stream: &TcpStream, limits: &Limits) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(limits.probe)
        .with_interval(limits.probe_interval)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(limits.unacknowledged))
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

    /// Takes the idle connection that was used last.
    async fn take(&self, address: &str) -> Option<Connection> {
        loop {
            let idle = self.pop(address)?;
            if idle.until <= Instant::now() {
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

    fn put(&self, address: String, connection: Connection, idle: Duration) {
        if connection.sender.is_closed() || idle.is_zero() {
            return;
        }
        let now = Instant::now();
        let until = now + idle;
        let mut pool = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = pool.entry(address).or_default();
        list.retain(|idle| idle.until > now);
        if list.len() < MAX_IDLE {
            list.push(Idle { connection, until });
        }
    }

    async fn connection(&self, address: &str, reuse: Reuse) -> io::Result<Connection> {
        if reuse == Reuse::Idle
            && let Some(connection) = self.take(address).await
        {
            return Ok(connection);
        }
        Connection::open(address, &self.limits).await
    }
}

impl Client for Pool {
    type Body = Answer;

    async fn send(
        &self,
        address: &str,
        message: Message,
        reuse: Reuse,
    ) -> Result<Response<Answer>, Failure> {
        let mut connection = match self.connection(address, reuse).await {
            Ok(connection) => connection,
            Err(error) => {
                return Err(Failure::Unsent {
                    message: Box::new(message),
                    cause: error.to_string(),
                });
            }
        };
        let response = match connection.sender.try_send_request(message).await {
            Ok(response) => response,
            Err(mut error) => {
                let cause = error.error().to_string();
                return Err(match error.take_message() {
                    Some(message) => Failure::Unsent {
                        message: Box::new(message),
                        cause,
                    },
                    None => Failure::Broken(Broken { cause }),
                });
            }
        };
        let idle = kept(response.headers()).map_or(self.limits.idle, |kept| {
            self.limits.idle.min(kept.mul_f64(KEPT_PART))
        });
        let lease = Lease {
            pool: self.clone(),
            address: address.to_owned(),
            connection,
            idle,
        };
        Ok(response.map(|body| Answer {
            body,
            lease: Some(lease),
        }))
    }
}

/// Returns how long an endpoint says that it keeps an idle connection.
fn kept(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    for parameter in value.split(',') {
        let Some(seconds) = parameter.trim().strip_prefix("timeout=") else {
            continue;
        };
        return seconds.trim().parse().ok().map(Duration::from_secs);
    }
    None
}

/// A connection in use and how it is kept afterwards.
#[derive(Debug)]
struct Lease {
    pool: Pool,
    address: String,
    connection: Connection,
    idle: Duration,
}

/// Body of an answer; returns its connection to the pool at its end.
#[derive(Debug)]
pub struct Answer {
    body: Incoming,
    lease: Option<Lease>,
}

impl http_body::Body for Answer {
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
            Some(Ok(frame)) => Poll::Ready(Some(Ok(frame))),
            Some(Err(error)) => {
                self.lease = None;
                let cause = error.to_string();
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

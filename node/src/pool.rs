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
use http::Response;
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

/// Time for a connection to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a connection without traffic is probed by the host.
const KEEPALIVE_TIME: Duration = Duration::from_secs(5);
/// Time between two such probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Unanswered probes that end a connection.
const KEEPALIVE_RETRIES: u32 = 3;
/// Time of unacknowledged data that ends a connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for a returned connection to become ready for the next request.
const READY_TIMEOUT: Duration = Duration::from_millis(10);
/// Time after which an idle connection is not used any more.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Idle connections kept for one endpoint.
const MAX_IDLE: usize = 64;

/// Client with a pool of idle connections by address.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    idle: Arc<Mutex<HashMap<String, Vec<Idle>>>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
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
    async fn open(address: &str) -> io::Result<Self> {
        let connect = TcpStream::connect(address);
        let stream = timeout(CONNECT_TIMEOUT, connect).await??;
        stream.set_nodelay(true)?;
        watch(&stream)?;
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
fn watch(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

impl Pool {
    /// Takes the idle connection that was used last.
    async fn take(&self, address: &str) -> Option<Connection> {
        loop {
            let idle = self.pop(address)?;
            if idle.since.elapsed() >= IDLE_TIMEOUT {
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

    fn put(&self, address: String, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let since = Instant::now();
        let mut pool = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = pool.entry(address).or_default();
        list.retain(|idle| since.duration_since(idle.since) < IDLE_TIMEOUT);
        if list.len() < MAX_IDLE {
            list.push(Idle { connection, since });
        }
    }

    async fn connection(&self, address: &str, reuse: Reuse) -> io::Result<Connection> {
        if reuse == Reuse::Idle
            && let Some(connection) = self.take(address).await
        {
            return Ok(connection);
        }
        Connection::open(address).await
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
        Ok(response.map(|body| Answer {
            body,
            lease: Some((self.clone(), address.to_owned(), connection)),
        }))
    }
}

/// Body of an answer; returns its connection to the pool at its end.
#[derive(Debug)]
pub struct Answer {
    body: Incoming,
    lease: Option<(Pool, String, Connection)>,
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
                if let Some((pool, address, connection)) = self.lease.take() {
                    pool.put(address, connection);
                }
                Poll::Ready(None)
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

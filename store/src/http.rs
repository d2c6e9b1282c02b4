//! HTTP/1.1 client for the platform's services: one address, kept connections.
//!
//! A connection on which an answer failed to come is closed together with all
//! idle ones, as they may have gone silent in the same way.

use std::{
    io,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::AbortHandle, time};

/// Number of idle connections that are kept.
const IDLE_LIMIT: usize = 8;

/// Time for which an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Size of an answer at the most, bytes.
const ANSWER_LIMIT: usize = 16 << 20;

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Nothing was handed over.
    #[error("not sent: {0}")]
    Unsent(String),
    /// The call was handed over and has no answer.
    #[error("no answer: {0}")]
    Lost(String),
}

/// Until when a call waits.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// For the connection.
    pub connect: time::Instant,
    /// For the whole answer.
    pub answer: time::Instant,
}

impl Limit {
    /// Builds a limit that is the same for the connection and the answer.
    #[must_use]
    pub fn of(span: Duration) -> Self {
        let end = time::Instant::now() + span;
        Self {
            connect: end,
            answer: end,
        }
    }
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
}

/// One open connection; dropping it closes it.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    async fn open(address: &str) -> Result<Self, Error> {
        let unsent = |error: io::Error| Error::Unsent(error.to_string());
        let stream = TcpStream::connect(address).await.map_err(unsent)?;
        stream.set_nodelay(true).map_err(unsent)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| Error::Unsent(error.to_string()))?;
        let task = tokio::spawn(async move {
            let _closed = connection.await;
        });
        Ok(Self {
            sender,
            task: task.abort_handle(),
        })
    }

    async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Error> {
        self.sender
            .ready()
            .await
            .map_err(|error| Error::Unsent(error.to_string()))?;
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let cause = error.into_error().to_string();
                if unsent {
                    return Err(Error::Unsent(cause));
                }
                Err(Error::Lost(cause))
            }
        }
    }

    async fn exchange(&mut self, request: Request<Full<Bytes>>) -> Result<Answer, Error> {
        let response = self.send(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), ANSWER_LIMIT)
            .collect()
            .await
            .map_err(|error| Error::Lost(error.to_string()))?;
        Ok(Answer {
            status,
            body: body.to_bytes(),
        })
    }
}

/// An answer whose body goes on; dropping it closes its connection.
pub struct Stream {
    body: Incoming,
    status: StatusCode,
    _connection: Connection,
}

impl Stream {
    /// Returns the status.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// Returns the next bytes, none at the end.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|error| Error::Lost(error.to_string()))?;
            if let Ok(bytes) = frame.into_data() {
                return Ok(Some(bytes));
            }
        }
        Ok(None)
    }
}

/// An idle connection and the moment from which it was idle.
struct Idle {
    connection: Connection,
    since: time::Instant,
}

/// Closes the idle connections of a client unless a call is answered, also if
/// the call is dropped.
struct Doubt<'a>(Option<&'a Client>);

impl<'a> Doubt<'a> {
    fn of(client: &'a Client) -> Self {
        Self(Some(client))
    }

    fn dispel(&mut self) {
        self.0 = None;
    }
}

impl Drop for Doubt<'_> {
    fn drop(&mut self) {
        if let Some(client) = self.0 {
            client.lock().clear();
        }
    }
}

/// Client of one address.
pub struct Client {
    address: String,
    idle: Mutex<Vec<Idle>>,
}

impl Client {
    /// Builds a client of `ip:port`; nothing is opened yet.
    #[must_use]
    pub fn new(address: String) -> Self {
        Self {
            address,
            idle: Mutex::default(),
        }
    }

    /// Returns the address.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Sends a request and waits for its whole answer.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Unsent`] only if nothing was handed over.
    pub async fn call(
        &self,
        request: &Request<Full<Bytes>>,
        limit: Limit,
    ) -> Result<Answer, Error> {
        let mut doubt = Doubt::of(self);
        loop {
            let idle = self.take();
            let reused = idle.is_some();
            let mut connection = match idle {
                Some(connection) => connection,
                None => self.open(limit.connect).await?,
            };
            let exchange = connection.exchange(request.clone());
            let result = time::timeout_at(limit.answer, exchange)
                .await
                .unwrap_or_else(|_| Err(Error::Lost("time limit".to_owned())));
            match result {
                Ok(answer) => {
                    doubt.dispel();
                    self.keep(connection);
                    return Ok(answer);
                }
                Err(Error::Unsent(_)) if reused => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Sends a request on a connection of its own and waits for the head of
    /// its answer.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Unsent`] only if nothing was handed over.
    pub async fn stream(
        &self,
        request: Request<Full<Bytes>>,
        limit: Limit,
    ) -> Result<Stream, Error> {
        let mut connection = self.open(limit.connect).await?;
        let response = time::timeout_at(limit.answer, connection.send(request))
            .await
            .unwrap_or_else(|_| Err(Error::Lost("time limit".to_owned())))?;
        Ok(Stream {
            status: response.status(),
            body: response.into_body(),
            _connection: connection,
        })
    }

    async fn open(&self, deadline: time::Instant) -> Result<Connection, Error> {
        time::timeout_at(deadline, Connection::open(&self.address))
            .await
            .unwrap_or_else(|_| Err(Error::Unsent("time limit of the connection".to_owned())))
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take(&self) -> Option<Connection> {
        let mut idle = self.lock();
        while let Some(candidate) = idle.pop() {
            if candidate.since.elapsed() > IDLE_TIMEOUT || candidate.connection.sender.is_closed() {
                continue;
            }
            return Some(candidate.connection);
        }
        None
    }

    fn keep(&self, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.lock();
        if idle.len() < IDLE_LIMIT {
            idle.push(Idle {
                connection,
                since: time::Instant::now(),
            });
        }
    }
}

//! HTTP/1.1 client for the platform's services, with a pool of connections to
//! one address.
//!
//! If a call gets no answer, its connection is closed together with all idle
//! ones, as they may be half-open for the same reason.

use std::{
    io,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use dottereltally_lib::size;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::{Body as _, Incoming},
    client::conn::http1::SendRequest,
};
use tokio::{net::TcpStream, task::AbortHandle, time};

use crate::{
    buffer,
    inbound::{self, Progress},
    transfer::{Intake, Pace, Timer},
};

/// Maximum number of idle connections that are kept.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Time for which an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum size of an answer's body, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Error of a call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The request was not sent.
    #[error("not sent: {0}")]
    Unsent(String),
    /// The request was or may have been sent, but was not answered.
    #[error("no answer: {0}")]
    Lost(String),
    /// The answer is larger than its [`Intake`] takes.
    #[error("the answer has {size} or more, and {most} are taken")]
    Oversized {
        /// Its size as far as it is known.
        size: size::Bytes,
        /// What is taken.
        most: size::Bytes,
    },
}

/// Deadlines of a call.
#[derive(Clone, Copy, Debug)]
pub struct Deadlines {
    /// For opening a connection.
    pub connect: time::Instant,
    /// For the complete answer, or for the head of a [`Stream`]. An answer of which enough
    /// arrives is waited for beyond it.
    pub answer: time::Instant,
    /// What is enough.
    pub pace: Pace,
}

impl Deadlines {
    /// Builds deadlines that are both `timeout` from now.
    #[must_use]
    pub fn after(timeout: Duration) -> Self {
        let deadline = time::Instant::now() + timeout;
        Self {
            connect: deadline,
            answer: deadline,
            pace: Pace::default(),
        }
    }
}

/// An answer with its complete body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// One open connection; dropping it closes it.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    progress: Progress,
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
        let (sender, connection, progress) = inbound::handshake(stream)
            .await
            .map_err(|error| Error::Unsent(inbound::cause(&error)))?;
        let task = tokio::spawn(async move {
            let _closed = connection.await;
        });
        Ok(Self {
            sender,
            progress,
            task: task.abort_handle(),
        })
    }

    async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        self.sender
            .ready()
            .await
            .map_err(|error| Error::Unsent(inbound::cause(&error)))?;
        self.progress.watch(&mut request, |_, _| {});
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let cause = inbound::cause(&error.into_error());
                if unsent {
                    return Err(Error::Unsent(cause));
                }
                Err(Error::Lost(cause))
            }
        }
    }

    async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        memory: &buffer::Pool,
        deadlines: Deadlines,
        intake: &Intake,
    ) -> Result<Answer, Error> {
        let full = |error: buffer::Full| Error::Lost(error.to_string());
        let mut timer = Timer::new(deadlines.answer, deadlines.pace);
        let before = intake.received();
        let response = time::timeout_at(deadlines.answer, self.send(request))
            .await
            .unwrap_or_else(|_| Err(Error::Lost("timed out".to_owned())))?;
        let (head, mut body) = response.into_parts();
        let mut answer = buffer::Answer::new(memory.reserve(MAX_ANSWER_BYTES));
        answer
            .check_length(body.size_hint().lower())
            .map_err(full)?;
        if let Some(length) = body.size_hint().exact() {
            let length = size::Bytes(length);
            intake.declare(length);
            check_size(length, intake)?;
        }
        loop {
            let Ok(frame) = time::timeout_at(timer.next_check(), body.frame()).await else {
                let received = intake.received().saturating_sub(before);
                timer
                    .check(received)
                    .map_err(|error| Error::Lost(error.to_string()))?;
                continue;
            };
            let Some(frame) = frame else {
                break;
            };
            let frame = frame.map_err(|error| Error::Lost(inbound::cause(&error)))?;
            let Ok(part) = frame.into_data() else {
                continue;
            };
            self.progress.record(part.len());
            intake.record(size::Bytes::from(part.len()));
            check_size(intake.received().saturating_sub(before), intake)?;
            answer.append(&part).map_err(full)?;
        }
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body: answer.finish(),
        })
    }
}

/// Checks what is known of the size of an answer.
fn check_size(size: size::Bytes, intake: &Intake) -> Result<(), Error> {
    match intake.exceeded_by(size) {
        Some(most) => Err(Error::Oversized { size, most }),
        None => Ok(()),
    }
}

/// An answer whose body is read as it arrives; dropping it closes its
/// connection.
pub struct Stream {
    body: Incoming,
    status: StatusCode,
    connection: Connection,
}

impl Stream {
    /// Returns the status.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// Returns the next bytes, or `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|error| Error::Lost(inbound::cause(&error)))?;
            if let Ok(bytes) = frame.into_data() {
                self.connection.progress.record(bytes.len());
                return Ok(Some(bytes));
            }
        }
        Ok(None)
    }
}

/// An idle connection.
struct Idle {
    connection: Connection,
    /// When the connection became idle.
    since: time::Instant,
}

/// Guard of a call that closes the idle connections of its client on drop,
/// unless it was disarmed because an answer arrived. A call that is cancelled by
/// dropping its future also drops the guard.
struct IdleGuard<'a>(Option<&'a Client>);

impl<'a> IdleGuard<'a> {
    fn new(client: &'a Client) -> Self {
        Self(Some(client))
    }

    fn disarm(&mut self) {
        self.0 = None;
    }
}

impl Drop for IdleGuard<'_> {
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
    memory: buffer::Pool,
}

impl Client {
    /// Builds a client of `ip:port`; connections are opened by the first calls.
    #[must_use]
    pub fn new(address: String) -> Self {
        Self {
            address,
            idle: Mutex::default(),
            memory: buffer::Pool::default(),
        }
    }

    /// Returns the address.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Sends a request and waits for the complete answer.
    ///
    /// A request that could not be sent on an idle connection is tried again
    /// on another one.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Unsent`] only if the request was not sent.
    pub async fn call(
        &self,
        request: &Request<Full<Bytes>>,
        deadlines: Deadlines,
    ) -> Result<Answer, Error> {
        self.call_with(request, deadlines, &Intake::default()).await
    }

    /// Does the same as [`Self::call`], takes as much of the answer as the intake says, and
    /// records there what arrives.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Unsent`] only if the request was not sent, and with
    /// [`Error::Oversized`] if the answer is larger than is taken.
    pub async fn call_with(
        &self,
        request: &Request<Full<Bytes>>,
        deadlines: Deadlines,
        intake: &Intake,
    ) -> Result<Answer, Error> {
        let mut guard = IdleGuard::new(self);
        loop {
            let idle = self.take_idle();
            let reused = idle.is_some();
            let mut connection = match idle {
                Some(connection) => connection,
                None => self.open(deadlines.connect).await?,
            };
            let request = request.clone();
            let exchange = connection.exchange(request, &self.memory, deadlines, intake);
            match exchange.await {
                Ok(answer) => {
                    guard.disarm();
                    self.keep_idle(connection);
                    return Ok(answer);
                }
                Err(Error::Unsent(_)) if reused => {}
                Err(error @ Error::Oversized { .. }) => {
                    // The other connections are sound.
                    guard.disarm();
                    return Err(error);
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Sends a request on a new connection and waits for the head of the
    /// answer.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Unsent`] only if the request was not sent.
    pub async fn stream(
        &self,
        request: Request<Full<Bytes>>,
        deadlines: Deadlines,
    ) -> Result<Stream, Error> {
        let mut connection = self.open(deadlines.connect).await?;
        let response = time::timeout_at(deadlines.answer, connection.send(request))
            .await
            .unwrap_or_else(|_| Err(Error::Lost("timed out".to_owned())))?;
        Ok(Stream {
            status: response.status(),
            body: response.into_body(),
            connection,
        })
    }

    async fn open(&self, deadline: time::Instant) -> Result<Connection, Error> {
        time::timeout_at(deadline, Connection::open(&self.address))
            .await
            .unwrap_or_else(|_| Err(Error::Unsent("timed out while connecting".to_owned())))
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.lock();
        while let Some(candidate) = idle.pop() {
            if candidate.since.elapsed() > IDLE_TIMEOUT || candidate.connection.sender.is_closed() {
                continue;
            }
            return Some(candidate.connection);
        }
        None
    }

    fn keep_idle(&self, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.lock();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(Idle {
                connection,
                since: time::Instant::now(),
            });
        }
    }
}

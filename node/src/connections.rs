//! Bounds the connections of callers, so that the process keeps descriptors for its files
//! and for connections to endpoints, the store and other nodes.
//!
//! When the bound is reached, the connection that has been idle longest is closed for a new
//! one. A connection with a request under way, or with a response that is not written
//! whole, is never closed; if there are only such ones, the new connection is closed unread.

use std::{
    collections::BTreeMap,
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue},
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    sync::Notify,
};

/// Descriptors of a host whose settings state none: the smallest host of the users.
pub const DEFAULT_DESCRIPTORS: usize = 2870;

/// Descriptors that are left to files, listeners, the store and other nodes.
pub const RESERVED_DESCRIPTORS: usize = 200;

/// Callers get the other descriptors divided by this: each request may need a connection to
/// an endpoint beside that of its caller.
const SHARE_DIVISOR: usize = 2;

/// Least time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Why a connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
enum Cause {
    /// It was idle, and a new one needed its place.
    Idle,
    /// It was new, and no other one was idle.
    Refused,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Labels {
    cause: Cause,
}

/// The connections of callers; clones share them.
#[derive(Clone, Debug)]
pub struct Connections(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    capacity: usize,
    state: Mutex<State>,
    /// Notified when a connection has ended.
    ended: Notify,
    open: Gauge,
    closed: Family<Labels, Counter>,
}

#[derive(Debug, Default)]
struct State {
    /// Number of times that a connection became idle so far: their order is that in time.
    sequence: u64,
    open: usize,
    idle: BTreeMap<u64, Arc<Notify>>,
    last_line: Option<Instant>,
    closed_since: u64,
}

impl Connections {
    /// Builds the bound of a process with this number of descriptors.
    #[must_use]
    pub fn for_descriptors(descriptors: usize) -> Self {
        let callers = descriptors.saturating_sub(RESERVED_DESCRIPTORS) / SHARE_DIVISOR;
        Self::new(callers.max(1))
    }

    /// Builds a bound that is never reached, for servers that callers do not use.
    #[must_use]
    pub fn unbounded() -> Self {
        Self::new(usize::MAX)
    }

    fn new(capacity: usize) -> Self {
        Self(Arc::new(Inner {
            capacity,
            state: Mutex::default(),
            ended: Notify::new(),
            open: Gauge::default(),
            closed: Family::default(),
        }))
    }

    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "caller_connections",
            "Connections of callers",
            self.0.open.clone(),
        );
        registry.register(
            "caller_connections_closed",
            "Connections of callers that were closed at the bound, by cause",
            self.0.closed.clone(),
        );
    }

    /// Admits a new connection, for which an idle one may be closed; `None` if it must be
    /// closed itself.
    pub(crate) fn admit(&self) -> Option<Session> {
        let mut state = self.lock();
        if state.open >= self.0.capacity {
            let cause = if let Some((_, evicted)) = state.idle.pop_first() {
                evicted.notify_one();
                Cause::Idle
            } else {
                Cause::Refused
            };
            self.0.closed.get_or_create(&Labels { cause }).inc();
            state.log_closed(self.0.capacity);
            if cause == Cause::Refused {
                return None;
            }
        }
        state.open += 1;
        self.0.open.inc();
        let eviction = Arc::<Notify>::default();
        let since = state.set_idle(&eviction);
        drop(state);
        Some(Session {
            connections: self.clone(),
            eviction,
            activity: Mutex::new(Activity::Idle(since)),
        })
    }

    /// Waits until the connections that were closed for new ones have ended.
    pub(crate) async fn settled(&self) {
        loop {
            let ended = self.0.ended.notified();
            if self.lock().open <= self.0.capacity {
                return;
            }
            ended.await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn set_idle(&mut self, eviction: &Arc<Notify>) -> u64 {
        self.sequence += 1;
        self.idle.insert(self.sequence, Arc::clone(eviction));
        self.sequence
    }

    fn log_closed(&mut self, capacity: usize) {
        self.closed_since += 1;
        let now = Instant::now();
        let is_due = |last| now.duration_since(last) >= LOG_INTERVAL;
        if self.last_line.is_none_or(is_due) {
            tracing::warn!(
                count = self.closed_since,
                capacity,
                "connections of callers closed: their bound is reached; look for callers that \
                 keep connections open"
            );
            self.last_line = Some(now);
            self.closed_since = 0;
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Activity {
    /// Without a request, since this number in the order.
    Idle(u64),
    /// With this number of requests under way.
    Busy(usize),
    /// The last response ended and may not be written whole.
    Unwritten,
    /// Never closed for another one.
    Kept,
}

/// An admitted connection; dropping it frees its place.
#[derive(Debug)]
pub(crate) struct Session {
    connections: Connections,
    eviction: Arc<Notify>,
    activity: Mutex<Activity>,
}

impl Session {
    /// Waits until the connection must be closed for another one.
    pub(crate) async fn evicted(&self) {
        self.eviction.notified().await;
    }

    /// Records the start of a request; `None` if the connection is being closed, so that the
    /// request must not run.
    pub(crate) fn begin(self: &Arc<Self>) -> Option<Exchange> {
        let mut activity = self.activity();
        let running = match *activity {
            Activity::Idle(since) => {
                self.connections.lock().idle.remove(&since)?;
                0
            }
            Activity::Busy(running) => running,
            Activity::Unwritten => 0,
            Activity::Kept => return Some(Exchange(Arc::clone(self))),
        };
        *activity = Activity::Busy(running + 1);
        Some(Exchange(Arc::clone(self)))
    }

    /// Excludes the connection, which has a request under way, from being closed for another
    /// one.
    pub(crate) fn keep(&self) {
        *self.activity() = Activity::Kept;
    }

    fn finish(&self) {
        let mut activity = self.activity();
        if let Activity::Busy(running) = *activity {
            *activity = match running {
                0 | 1 => Activity::Unwritten,
                _ => Activity::Busy(running - 1),
            };
        }
    }

    /// Records that all that was written has left the process.
    fn flushed(&self) {
        let mut activity = self.activity();
        if matches!(*activity, Activity::Unwritten) {
            let since = self.connections.lock().set_idle(&self.eviction);
            *activity = Activity::Idle(since);
        }
    }

    fn activity(&self) -> MutexGuard<'_, Activity> {
        self.activity.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        let activity = *self.activity();
        let mut state = self.connections.lock();
        if let Activity::Idle(since) = activity {
            state.idle.remove(&since);
        }
        state.open -= 1;
        drop(state);
        self.connections.0.open.dec();
        self.connections.0.ended.notify_waiters();
    }
}

/// A request under way until the end of its response's body.
#[derive(Debug)]
pub(crate) struct Exchange(Arc<Session>);

impl Drop for Exchange {
    fn drop(&mut self) {
        self.0.finish();
    }
}

/// A stream that tells its session when a response is written whole.
pub(crate) struct Stream<T> {
    inner: T,
    session: Arc<Session>,
}

impl<T> Stream<T> {
    pub(crate) fn new(inner: T, session: Arc<Session>) -> Self {
        Self { inner, session }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Stream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Stream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.inner).poll_flush(context))?;
        self.session.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}

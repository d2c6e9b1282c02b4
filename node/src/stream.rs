//! Streams an endpoint's response to the caller as it arrives.

use std::{
    future::Future,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use dottereltally_lib::size::Tokens;
use http_body::{Body, Frame, SizeHint};
use tokio::{
    task::AbortHandle,
    time::{Instant, Sleep, sleep, sleep_until},
};

use crate::{
    body::Truncated, dispatcher::Handle, problem::Reason, sse, tracker::Tracker, upstream::Broken,
};

/// Time to send the final error event of a truncated stream before the
/// connection is aborted.
const ABORT_DELAY: Duration = Duration::from_millis(50);

/// Most bytes of a stream without a data event; comments are none.
const MAX_BYTES_WITHOUT_EVENT: usize = 4 << 20;

/// Time limits of one response.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time without a byte after which the response counts as stalled.
    pub inactivity: Duration,
    /// Time at which the request is cancelled.
    pub deadline: Instant,
}

impl Limits {
    /// Returns when to stop waiting for the next byte, given the time of the last.
    #[must_use]
    pub fn next_timeout(&self, last_byte: Instant) -> Instant {
        (last_byte + self.inactivity).min(self.deadline)
    }

    /// Returns the reason for a timeout at `now`.
    #[must_use]
    pub fn timeout_reason(&self, now: Instant) -> Reason {
        if now >= self.deadline {
            Reason::DeadlinePassed
        } else {
            Reason::Stalled
        }
    }
}

/// Body that forwards a response from an endpoint to the caller.
///
/// A separate task cancels the request at the deadline, because this body is not
/// polled while the caller does not read.
pub struct Forward<B, D: Handle> {
    state: State,
    source: Source<B, D>,
    watchdog: AbortHandle,
    first: Option<Frame<Bytes>>,
    scanner: Option<sse::Scanner>,
    limits: Limits,
    last_byte: Instant,
    timer: Pin<Box<Sleep>>,
}

/// The response from the endpoint; empty once it has ended or was cancelled.
struct Source<B, D: Handle>(Arc<Mutex<Option<Open<B, D>>>>);

/// A response that has not ended.
struct Open<B, D: Handle> {
    body: B,
    tracker: Tracker<D>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    /// Frames are forwarded.
    Open,
    /// The error event was sent; the connection is aborted after a delay.
    Aborting,
    /// No more frames follow.
    Ended,
}

impl<B, D: Handle> Source<B, D> {
    fn lock(&self) -> MutexGuard<'_, Option<Open<B, D>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the open response, so that only the taker ends it.
    fn take(&self) -> Option<Open<B, D>> {
        self.lock().take()
    }
}

impl<B, D> Forward<B, D>
where
    B: Body<Data = Bytes, Error = Broken> + Send + Unpin + 'static,
    D: Handle,
{
    /// Starts to forward a response; `first` is its first frame if that was
    /// already read, `is_event_stream` whether it is a stream of server-sent
    /// events.
    pub fn new(
        body: B,
        tracker: Tracker<D>,
        first: Option<Frame<Bytes>>,
        is_event_stream: bool,
        limits: Limits,
    ) -> Self {
        let last_byte = Instant::now();
        let open = Some(Open { body, tracker });
        let source = Source(Arc::new(Mutex::new(open)));
        let watched = Source(Arc::clone(&source.0));
        let watchdog = tokio::spawn(async move {
            sleep_until(limits.deadline).await;
            if let Some(open) = watched.take() {
                open.tracker.expired();
            }
        });
        Self {
            state: State::Open,
            source,
            watchdog: watchdog.abort_handle(),
            first,
            scanner: is_event_stream.then(sse::Scanner::default),
            limits,
            last_byte,
            timer: Box::pin(sleep_until(limits.next_timeout(last_byte))),
        }
    }

    fn poll_upstream(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<Option<Frame<Bytes>>, Reason>> {
        if let Some(frame) = self.first.take() {
            return Poll::Ready(Ok(Some(frame)));
        }
        let polled = match self.source.lock().as_mut() {
            Some(open) => Pin::new(&mut open.body).poll_frame(context),
            None => return Poll::Ready(Err(Reason::DeadlinePassed)),
        };
        if let Poll::Ready(frame) = polled {
            return Poll::Ready(match frame {
                Some(Ok(frame)) => Ok(Some(frame)),
                Some(Err(cause)) => {
                    tracing::info!(%cause, "answer broke");
                    Err(Reason::Broken)
                }
                None => Ok(None),
            });
        }
        loop {
            ready!(self.timer.as_mut().poll(context));
            let now = Instant::now();
            let limit = self.limits.next_timeout(self.last_byte);
            if now >= limit {
                return Poll::Ready(Err(self.limits.timeout_reason(now)));
            }
            self.timer.as_mut().reset(limit);
        }
    }

    /// Records a frame that is forwarded.
    fn record(&mut self, frame: &Frame<Bytes>) {
        let Some(data) = frame.data_ref() else {
            return;
        };
        self.last_byte = Instant::now();
        // Each data event counts as one output token.
        let tokens = self.scanner.as_mut().map(|scanner| scanner.feed(data));
        let mut source = self.source.lock();
        let Some(open) = source.as_mut() else {
            return;
        };
        open.tracker.start();
        open.tracker.progress(tokens.unwrap_or_default());
    }

    /// Returns whether too much of an event stream holds no event.
    fn is_without_event(&self) -> bool {
        let scanner = self.scanner.as_ref();
        scanner.is_some_and(|scanner| scanner.bytes_since_event() > MAX_BYTES_WITHOUT_EVENT)
    }

    /// Ends the response as the endpoint ended it; an event stream without its
    /// final event is truncated.
    fn finish(&mut self) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        let scanner = self.scanner.as_ref();
        if scanner.is_some_and(|scanner| !scanner.is_done()) {
            return self.truncate(Reason::Broken);
        }
        let usage = scanner.and_then(sse::Scanner::usage);
        // Without reported usage, each data event counts as one output token.
        let usage = usage.unwrap_or(sse::Usage {
            cached: 0,
            output: scanner.map_or(0, sse::Scanner::events),
        });
        let Some(open) = self.source.take() else {
            return self.truncate(Reason::DeadlinePassed);
        };
        open.tracker
            .completed(Tokens(usage.cached), Tokens(usage.output));
        self.state = State::Ended;
        Poll::Ready(None)
    }

    /// Ends the response early, in a way that the caller can detect.
    fn truncate(&mut self, reason: Reason) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        if let Some(open) = self.source.take() {
            drop(open.body);
            match reason {
                Reason::DeadlinePassed => open.tracker.expired(),
                Reason::Stalled => open.tracker.stalled(),
                _ => open.tracker.broken(),
            }
        }
        if self.scanner.is_none() {
            self.state = State::Ended;
            return Poll::Ready(Some(Err(Truncated)));
        }
        self.state = State::Aborting;
        self.timer = Box::pin(sleep(ABORT_DELAY));
        Poll::Ready(Some(Ok(Frame::data(error_event(reason)))))
    }
}

impl<B, D: Handle> Drop for Forward<B, D> {
    fn drop(&mut self) {
        self.watchdog.abort();
        drop(self.source.take());
    }
}

impl<B, D> Body for Forward<B, D>
where
    B: Body<Data = Bytes, Error = Broken> + Send + Unpin + 'static,
    D: Handle + Unpin,
{
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        let this = self.get_mut();
        match this.state {
            State::Open => {}
            State::Aborting => {
                ready!(this.timer.as_mut().poll(context));
                this.state = State::Ended;
                return Poll::Ready(Some(Err(Truncated)));
            }
            State::Ended => return Poll::Ready(None),
        }
        match ready!(this.poll_upstream(context)) {
            Ok(Some(frame)) => {
                this.record(&frame);
                if this.is_without_event() {
                    tracing::info!(
                        cause = "the stream has no event in too many bytes; check the endpoint",
                        "answer broke"
                    );
                    return this.truncate(Reason::Broken);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Ok(None) => this.finish(),
            Err(reason) => this.truncate(reason),
        }
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}

/// Returns the final event of a truncated stream.
///
/// It starts with line feeds, which end an event that was truncated in its
/// middle.
fn error_event(reason: Reason) -> Bytes {
    let event = format!(
        "\n\ndata: {{\"error\": {{\"type\": \"{reason}\", \"message\": \"the answer was cut short; what came is not whole\", \"run\": \"may-have-run\"}}}}\n\n"
    );
    Bytes::from(event)
}

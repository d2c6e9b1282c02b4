//! Passes an endpoint's answer on to the caller as it comes.

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
    body::Cut, dispatcher::Handle, flight::Flight, problem::Reason, sse, upstream::Broken,
};

/// Time for the last event of a cut stream to leave before the connection is
/// aborted.
const ABORT_DELAY: Duration = Duration::from_millis(50);

/// Limits of one answer.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time without a byte after which the answer counts as stalled.
    pub inactivity: Duration,
    /// When the answer is of no more use.
    pub deadline: Instant,
}

impl Limits {
    /// Returns when to stop waiting for the next byte.
    #[must_use]
    pub fn next(&self, last: Instant) -> Instant {
        (last + self.inactivity).min(self.deadline)
    }

    /// Returns why the wait that ended at `now` ended.
    #[must_use]
    pub fn reason(&self, now: Instant) -> Reason {
        if now >= self.deadline {
            Reason::DeadlinePassed
        } else {
            Reason::Stalled
        }
    }
}

/// An answer on its way from an endpoint to the caller.
///
/// A task of its own cancels it at the deadline, because this body is not
/// polled while the caller does not read.
pub struct Forward<B, D: Handle> {
    state: State,
    source: Source<B, D>,
    watchdog: AbortHandle,
    first: Option<Frame<Bytes>>,
    scanner: Option<sse::Scanner>,
    limits: Limits,
    last: Instant,
    timer: Pin<Box<Sleep>>,
}

/// Where the answer comes from; empty once it has ended or was cancelled.
struct Source<B, D: Handle>(Arc<Mutex<Option<Open<B, D>>>>);

struct Open<B, D: Handle> {
    body: B,
    flight: Flight<D>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Open,
    Aborting,
    Ended,
}

impl<B, D: Handle> Source<B, D> {
    fn lock(&self) -> MutexGuard<'_, Option<Open<B, D>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes what is open, so that nobody else ends it.
    fn take(&self) -> Option<Open<B, D>> {
        self.lock().take()
    }
}

impl<B, D> Forward<B, D>
where
    B: Body<Data = Bytes, Error = Broken> + Send + Unpin + 'static,
    D: Handle,
{
    /// Starts with the first frame, if it was already read; `events` tells
    /// whether the answer is a stream of server-sent events.
    pub fn new(
        body: B,
        flight: Flight<D>,
        first: Option<Frame<Bytes>>,
        events: bool,
        limits: Limits,
    ) -> Self {
        let last = Instant::now();
        let open = Some(Open { body, flight });
        let source = Source(Arc::new(Mutex::new(open)));
        let watched = Source(Arc::clone(&source.0));
        let watchdog = tokio::spawn(async move {
            sleep_until(limits.deadline).await;
            if let Some(open) = watched.take() {
                open.flight.expired();
            }
        });
        Self {
            state: State::Open,
            source,
            watchdog: watchdog.abort_handle(),
            first,
            scanner: events.then(sse::Scanner::default),
            limits,
            last,
            timer: Box::pin(sleep_until(limits.next(last))),
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
                Some(Err(_)) => Err(Reason::Broken),
                None => Ok(None),
            });
        }
        loop {
            ready!(self.timer.as_mut().poll(context));
            let now = Instant::now();
            let limit = self.limits.next(self.last);
            if now >= limit {
                return Poll::Ready(Err(self.limits.reason(now)));
            }
            self.timer.as_mut().reset(limit);
        }
    }

    /// Notes a frame that is passed on.
    fn observe(&mut self, frame: &Frame<Bytes>) {
        let Some(data) = frame.data_ref() else {
            return;
        };
        self.last = Instant::now();
        let tokens = self.scanner.as_mut().map(|scanner| scanner.feed(data));
        let mut source = self.source.lock();
        let Some(open) = source.as_mut() else {
            return;
        };
        open.flight.start();
        open.flight.progress(tokens.unwrap_or_default());
    }

    /// Ends the answer where the endpoint ended it.
    fn finish(&mut self) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let scanner = self.scanner.as_ref();
        if scanner.is_some_and(|scanner| !scanner.is_done()) {
            return self.cut(Reason::Broken);
        }
        let usage = scanner.and_then(sse::Scanner::usage);
        let usage = usage.unwrap_or(sse::Usage {
            cached: 0,
            output: scanner.map_or(0, sse::Scanner::events),
        });
        let Some(open) = self.source.take() else {
            return self.cut(Reason::DeadlinePassed);
        };
        open.flight
            .answered(Tokens(usage.cached), Tokens(usage.output));
        self.state = State::Ended;
        Poll::Ready(None)
    }

    /// Ends the answer before its end, in a way that the caller can tell.
    fn cut(&mut self, reason: Reason) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        if let Some(open) = self.source.take() {
            drop(open.body);
            match reason {
                Reason::DeadlinePassed => open.flight.expired(),
                Reason::Stalled => open.flight.stalled(),
                _ => open.flight.broken(),
            }
        }
        if self.scanner.is_none() {
            self.state = State::Ended;
            return Poll::Ready(Some(Err(Cut)));
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
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let this = self.get_mut();
        match this.state {
            State::Open => {}
            State::Aborting => {
                ready!(this.timer.as_mut().poll(context));
                this.state = State::Ended;
                return Poll::Ready(Some(Err(Cut)));
            }
            State::Ended => return Poll::Ready(None),
        }
        match ready!(this.poll_upstream(context)) {
            Ok(Some(frame)) => {
                this.observe(&frame);
                Poll::Ready(Some(Ok(frame)))
            }
            Ok(None) => this.finish(),
            Err(reason) => this.cut(reason),
        }
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}

/// Returns the last event of a stream that was cut short.
///
/// The line feeds before it end an event that was cut in its middle.
fn error_event(reason: Reason) -> Bytes {
    let event = format!(
        "\n\ndata: {{\"error\": {{\"type\": \"{reason}\", \"message\": \"the answer was cut short; what came is not whole\", \"run\": \"may-have-run\"}}}}\n\n"
    );
    Bytes::from(event)
}

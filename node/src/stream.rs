//! Passes an endpoint's answer on to the caller as it comes.

use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use dottereltally_lib::size::Tokens;
use http_body::{Body, Frame, SizeHint};
use tokio::time::{Instant, Sleep, sleep, sleep_until};

use crate::{
    body::Cut,
    dispatcher::Handle,
    flight::{Flight, NEWS_DELAY},
    problem::Reason,
    sse,
    upstream::Broken,
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
pub struct Forward<B, D: Handle> {
    state: State<B, D>,
    first: Option<Frame<Bytes>>,
    scanner: Option<sse::Scanner>,
    limits: Limits,
    last: Instant,
    timer: Pin<Box<Sleep>>,
}

enum State<B, D: Handle> {
    Open { body: B, flight: Flight<D> },
    Held(Reason),
    Aborting,
    Ended,
}

impl<B, D> Forward<B, D>
where
    B: Body<Data = Bytes, Error = Broken> + Unpin,
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
        Self {
            state: State::Open { body, flight },
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
        let State::Open { body, .. } = &mut self.state else {
            return Poll::Ready(Ok(None));
        };
        if let Poll::Ready(frame) = Pin::new(body).poll_frame(context) {
            return Poll::Ready(match frame {
                Some(Ok(_)) if Instant::now() >= self.limits.deadline => {
                    Err(Reason::DeadlinePassed)
                }
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
        let State::Open { flight, .. } = &mut self.state else {
            return;
        };
        let Some(data) = frame.data_ref() else {
            return;
        };
        self.last = Instant::now();
        flight.start();
        if let Some(scanner) = &mut self.scanner {
            flight.progress(scanner.feed(data));
        }
    }

    /// Ends the answer where the endpoint ended it.
    fn finish(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        if self
            .scanner
            .as_ref()
            .is_some_and(|scanner| !scanner.is_done())
        {
            return self.cut(Reason::Broken, context);
        }
        let state = std::mem::replace(&mut self.state, State::Ended);
        if let State::Open { flight, .. } = state {
            let events = self.scanner.as_ref().map_or(0, sse::Scanner::events);
            let usage = self.scanner.as_ref().and_then(sse::Scanner::usage);
            let usage = usage.unwrap_or(sse::Usage {
                cached: 0,
                output: events,
            });
            flight.answered(Tokens(usage.cached), Tokens(usage.output));
        }
        Poll::Ready(None)
    }

    /// Ends the answer before its end, in a way that the caller can tell.
    fn cut(
        &mut self,
        reason: Reason,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let state = std::mem::replace(&mut self.state, State::Held(reason));
        if let State::Open { body, flight } = state {
            drop(body);
            match reason {
                Reason::DeadlinePassed => flight.expired(),
                Reason::Stalled => flight.stalled(),
                _ => flight.broken(),
            }
        }
        let delay = match reason {
            Reason::Broken => NEWS_DELAY,
            _ => Duration::ZERO,
        };
        self.timer = Box::pin(sleep(delay));
        self.poll_held(reason, context)
    }

    /// Tells the caller that the answer was cut once the delay is over.
    fn poll_held(
        &mut self,
        reason: Reason,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        ready!(self.timer.as_mut().poll(context));
        if self.scanner.is_none() {
            self.state = State::Ended;
            return Poll::Ready(Some(Err(Cut)));
        }
        self.state = State::Aborting;
        self.timer = Box::pin(sleep(ABORT_DELAY));
        Poll::Ready(Some(Ok(Frame::data(error_event(reason)))))
    }
}

impl<B, D> Body for Forward<B, D>
where
    B: Body<Data = Bytes, Error = Broken> + Unpin,
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
            State::Open { .. } => {}
            State::Held(reason) => return this.poll_held(reason, context),
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
            Ok(None) => this.finish(context),
            Err(reason) => this.cut(reason, context),
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

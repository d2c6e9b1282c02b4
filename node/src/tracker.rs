//! Tracks a dispatched request until it ends.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use dottereltally_lib::{
    event::{Event, Outcome},
    id,
    request::{Dispatched, Profile, Request},
    size::Tokens,
};
use http::StatusCode;

use crate::{
    clock::Clock,
    dispatcher::Handle,
    limit::Permit,
    metrics::{Completion, Metrics},
};

/// Minimum time between two reports of progress to the core.
const REPORT_PERIOD: Duration = Duration::from_millis(200);

/// Reports the progress and the end of a dispatched request to the core and to
/// the metrics; dropping it reports that the caller left.
pub struct Tracker<D: Handle> {
    request: id::Request,
    profile: Arc<Profile>,
    dispatcher: D,
    metrics: Metrics,
    clock: Clock,
    _permit: Arc<Permit>,
    status_class: StatusClass,
    started: bool,
    ended: bool,
    unreported_tokens: u64,
    last_report: Instant,
}

/// Outcome of the request according to the status of its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StatusClass {
    Served,
    Rejected,
    Failed,
}

impl<D: Handle> Tracker<D> {
    /// Starts to track a request that is about to be sent.
    #[must_use]
    pub fn new(
        request: &Request<Dispatched>,
        dispatcher: D,
        metrics: Metrics,
        clock: Clock,
        permit: Arc<Permit>,
    ) -> Self {
        metrics.dispatched();
        Self {
            request: request.id(),
            profile: Arc::clone(request.profile()),
            dispatcher,
            metrics,
            clock,
            _permit: permit,
            status_class: StatusClass::Served,
            started: false,
            ended: false,
            unreported_tokens: 0,
            last_report: Instant::now(),
        }
    }

    /// Returns the identifier of the request.
    #[must_use]
    pub fn id(&self) -> id::Request {
        self.request
    }

    /// Returns the time left until the deadline.
    #[must_use]
    pub fn remaining(&self) -> Duration {
        self.profile.remaining(self.clock.now())
    }

    /// Reports the first byte of the response.
    pub fn start(&mut self) {
        if self.started {
            return;
        }
        self.started = true;
        let delay = self.clock.now().since(self.profile.received);
        self.metrics.started(self.profile.tier, delay);
        self.dispatcher.send(Event::Started(self.request));
    }

    /// Adds output tokens and reports them, at most once per [`REPORT_PERIOD`].
    pub fn progress(&mut self, tokens: u64) {
        self.unreported_tokens += tokens;
        if self.unreported_tokens == 0 || self.last_report.elapsed() < REPORT_PERIOD {
            return;
        }
        self.last_report = Instant::now();
        let tokens = Tokens(std::mem::take(&mut self.unreported_tokens));
        self.dispatcher
            .send(Event::Progressed(self.request, tokens));
    }

    /// Records the status of the response.
    pub fn record_status(&mut self, status: StatusCode) {
        self.status_class = match status {
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                StatusClass::Rejected
            }
            status if status.is_server_error() => StatusClass::Failed,
            _ => StatusClass::Served,
        };
    }

    /// Reports that the whole response was sent on to the caller.
    pub fn completed(self, cached: Tokens, output: Tokens) {
        let late = self.clock.now() > self.profile.deadline;
        let answered = Outcome::Answered { cached, output };
        match self.status_class {
            StatusClass::Rejected => self.end(Outcome::Rejected, Completion::Rejected),
            StatusClass::Failed => self.end(answered, Completion::Failed),
            StatusClass::Served if late => self.end(answered, Completion::Late),
            StatusClass::Served => self.end(answered, Completion::Whole),
        }
    }

    /// Reports that the deadline passed and the request is cancelled.
    pub fn expired(self) {
        self.end(Outcome::Cancelled, Completion::Expired);
    }

    /// Reports that the connection broke.
    pub fn broken(self) {
        self.end(Outcome::Broken, Completion::Broken);
    }

    /// Reports that the response was larger than can be kept; the endpoint may send
    /// bytes without end.
    pub fn too_large(self) {
        self.end(Outcome::Broken, Completion::TooLarge);
    }

    /// Reports that the endpoint stopped responding.
    pub fn stalled(self) {
        self.end(Outcome::Stalled, Completion::Stalled);
    }

    /// Ends without a report to the core, because nothing was sent.
    pub fn unsent(mut self) {
        self.ended = true;
        self.metrics.unsent();
    }

    /// Reports that the endpoint sent the response to another request.
    ///
    /// The core receives [`Outcome::Stalled`]: the fault is in the connection, so
    /// that a probe on a new one decides whether the endpoint is usable.
    pub fn mismatched(self) {
        self.end(Outcome::Stalled, Completion::Crossed);
    }

    fn end(mut self, outcome: Outcome, result: Completion) {
        self.report(outcome, result);
    }

    fn report(&mut self, outcome: Outcome, result: Completion) {
        if self.ended {
            return;
        }
        self.ended = true;
        let cached = match outcome {
            Outcome::Answered { cached, .. } => cached,
            _ => Tokens(0),
        };
        self.metrics.ended(&self.profile, result, cached);
        self.dispatcher.send(Event::Ended(self.request, outcome));
    }
}

impl<D: Handle> Drop for Tracker<D> {
    fn drop(&mut self) {
        self.report(Outcome::Cancelled, Completion::Cancelled);
    }
}

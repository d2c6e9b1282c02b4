//! A dispatched request from the hand-over to its end.

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
    metrics::{Metrics, Result},
};

/// Time between two reports of progress to the core.
const REPORT_PERIOD: Duration = Duration::from_millis(200);

/// Reports a dispatched request's course; dropping it reports that the
/// caller left.
pub struct Flight<D: Handle> {
    request: id::Request,
    profile: Arc<Profile>,
    dispatcher: D,
    metrics: Metrics,
    clock: Clock,
    _permit: Arc<Permit>,
    verdict: Verdict,
    started: bool,
    ended: bool,
    unreported: u64,
    reported: Instant,
}

/// What the answer's status says of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Served,
    Rejected,
    Failed,
}

impl<D: Handle> Flight<D> {
    /// Starts with a request whose hand-over begins.
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
            verdict: Verdict::Served,
            started: false,
            ended: false,
            unreported: 0,
            reported: Instant::now(),
        }
    }

    /// Returns the attempt's number.
    #[must_use]
    pub fn id(&self) -> id::Request {
        self.request
    }

    /// Returns the time left until the deadline.
    #[must_use]
    pub fn remaining(&self) -> Duration {
        self.profile.remaining(self.clock.now())
    }

    /// Reports the first byte of the answer.
    pub fn start(&mut self) {
        if self.started {
            return;
        }
        self.started = true;
        let delay = self.clock.now().since(self.profile.received);
        self.metrics.started(self.profile.tier, delay);
        self.dispatcher.tell(Event::Started(self.request));
    }

    /// Reports tokens, at most once a period.
    pub fn progress(&mut self, tokens: u64) {
        self.unreported += tokens;
        if self.unreported == 0 || self.reported.elapsed() < REPORT_PERIOD {
            return;
        }
        self.reported = Instant::now();
        let tokens = Tokens(std::mem::take(&mut self.unreported));
        self.dispatcher
            .tell(Event::Progressed(self.request, tokens));
    }

    /// Notes the answer's status.
    pub fn judge(&mut self, status: StatusCode) {
        self.verdict = match status {
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Verdict::Rejected,
            status if status.is_server_error() => Verdict::Failed,
            _ => Verdict::Served,
        };
    }

    /// Reports that the whole answer was passed on.
    pub fn answered(self, cached: Tokens, output: Tokens) {
        let late = self.clock.now() > self.profile.deadline;
        let answered = Outcome::Answered { cached, output };
        match self.verdict {
            Verdict::Rejected => self.end(Outcome::Rejected, Result::Rejected),
            Verdict::Failed => self.end(answered, Result::Failed),
            Verdict::Served if late => self.end(answered, Result::Late),
            Verdict::Served => self.end(answered, Result::Whole),
        }
    }

    /// Reports that the deadline passed and the request is cancelled.
    pub fn expired(self) {
        self.end(Outcome::Cancelled, Result::Expired);
    }

    /// Reports that the connection broke.
    pub fn broken(self) {
        self.end(Outcome::Broken, Result::Broken);
    }

    /// Reports that the endpoint fell silent.
    pub fn stalled(self) {
        self.end(Outcome::Stalled, Result::Stalled);
    }

    /// Ends without a report, because nothing was handed over.
    pub fn unsent(mut self) {
        self.ended = true;
        self.metrics.unsent();
    }

    /// Reports that the endpoint answered another request; the connection is
    /// at fault, which a probe on a new one settles.
    pub fn crossed(self) {
        self.end(Outcome::Stalled, Result::Crossed);
    }

    fn end(mut self, outcome: Outcome, result: Result) {
        self.report(outcome, result);
    }

    fn report(&mut self, outcome: Outcome, result: Result) {
        if self.ended {
            return;
        }
        self.ended = true;
        let cached = match outcome {
            Outcome::Answered { cached, .. } => cached,
            _ => Tokens(0),
        };
        self.metrics.ended(&self.profile, result, cached);
        self.dispatcher.tell(Event::Ended(self.request, outcome));
    }
}

impl<D: Handle> Drop for Flight<D> {
    fn drop(&mut self) {
        self.report(Outcome::Cancelled, Result::Cancelled);
    }
}

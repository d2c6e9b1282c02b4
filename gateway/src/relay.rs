//! Relays a stream to the caller event by event, and resumes it at another
//! endpoint where the route allows that.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use dottereltally::{
    body::{Body, Truncated},
    pool,
};
use dottereltally_lib::{
    dispatcher::{Choice, Outcome, Timing},
    id,
    route::Retry,
};
use futures_util::stream;
use http::{Response, response};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use tokio::time::{Instant, timeout_at};

use crate::{
    admission::Permit,
    attempt::{self, Attempt, Stream},
    chain::{Chain, Job, Progress, millis},
    crashes::Flight,
    dialect::Dialect,
    events::{Batch, Splitter},
    metrics::Obstacle,
};

/// Time without an event after which a stream is resumed at another endpoint;
/// callers give up after two seconds at the earliest.
const STALL_TIMEOUT: Duration = Duration::from_millis(1200);

/// A stream that is relayed to the caller.
pub struct Relay<D> {
    chain: Arc<Chain<D>>,
    /// The request; its version is that of the endpoint that began the stream.
    job: Job,
    /// The endpoint that began the stream, until the stream is resumed elsewhere;
    /// `None` if another answer to the caller began it.
    origin: Option<id::Endpoint>,
    progress: Progress,
    choice: Choice,
    /// `None` while the stream has no endpoint: it is being resumed, or ended.
    upstream: Option<Upstream>,
    /// Status and headers of the answer; taken when it is returned.
    parts: Option<response::Parts>,
    /// Events that arrived but were not relayed yet.
    pending: Option<Batch>,
    /// Id of the last event that the caller has; `None` if no event had one.
    last_event_id: Option<u64>,
    /// Events that were relayed.
    events: u64,
    /// Deadline of the request.
    deadline: Instant,
}

/// The endpoint's side of a stream; dropping it cancels the request there.
struct Upstream {
    body: pool::Body,
    splitter: Splitter,
    permit: Permit,
    flight: Flight,
    timing: Timing,
    /// When its last event arrived.
    last_event_at: Instant,
}

/// What an endpoint sent next.
enum Received {
    Events(Batch),
    /// The stream ended after a complete event.
    End,
    /// The stream broke or stalled, for this cause.
    Broken(String),
    /// The deadline of the request passed.
    Expired,
}

impl Upstream {
    /// Waits for the next complete events until `event_deadline`; `deadline` is that
    /// of the request.
    async fn next(&mut self, event_deadline: Instant, deadline: Instant) -> Received {
        loop {
            let frame = match timeout_at(event_deadline, self.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return Received::Broken(error.cause),
                Ok(None) if self.splitter.is_empty() => return Received::End,
                Ok(None) => return Received::Broken("the stream ended within an event".to_owned()),
                Err(_) if Instant::now() >= deadline => return Received::Expired,
                Err(_) => return Received::Broken("no event in the expected time".to_owned()),
            };
            let Some(data) = frame.data_ref() else {
                continue;
            };
            match self.splitter.feed(data) {
                Ok(Some(batch)) => return Received::Events(batch),
                Ok(None) => {}
                Err(error) => return Received::Broken(error.to_string()),
            }
        }
    }
}

impl<D: Dialect> Relay<D> {
    /// Starts to relay a stream whose first events have arrived.
    #[must_use]
    pub fn new(
        chain: Arc<Chain<D>>,
        mut job: Job,
        progress: Progress,
        choice: Choice,
        stream: Stream,
        flight: Flight,
    ) -> Self {
        let deadline = Instant::now() + job.deadline.since(chain.clock.now());
        let last_event_id = job.template.last_event_id();
        let waited = chain.clock.now().since(job.received);
        chain.metrics.first_event(job.tier, waited);
        let origin = job.version.is_none().then(|| choice.endpoint.clone());
        if origin.is_some() && chain.listed_version(&choice.endpoint) == choice.version {
            job.version.clone_from(&choice.version);
        }
        chain.remember_origin(&job, &choice);
        tracing::info!(
            id = job.correlation_id,
            endpoint = %choice.endpoint,
            version = job.version.as_ref().map(id::Version::as_str),
            first_ms = millis(waited),
            "stream began"
        );
        Self {
            chain,
            job,
            origin,
            progress,
            choice,
            upstream: Some(Upstream {
                body: stream.body,
                splitter: stream.splitter,
                permit: stream.permit,
                flight,
                timing: Timing::default(),
                last_event_at: Instant::now(),
            }),
            parts: Some(stream.parts),
            pending: Some(stream.first),
            last_event_id,
            events: 0,
            deadline,
        }
    }

    /// Returns the answer for the caller.
    #[must_use]
    pub fn response(mut self) -> Response<Body> {
        let head = match self.parts.take() {
            Some(parts) => Response::from_parts(parts, ()),
            None => Response::new(()),
        };
        let frames = stream::unfold(Some(self), |relay| async {
            let mut relay = relay?;
            match relay.next().await {
                Some(Ok(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
                Some(Err(cut)) => Some((Err(cut), None)),
                None => None,
            }
        });
        head.map(|()| Body::stream(StreamBody::new(Box::pin(frames))))
    }

    /// Returns the next events, an error if the stream is cut, `None` at its end.
    async fn next(&mut self) -> Option<Result<Bytes, Truncated>> {
        if let Some(batch) = self.pending.take() {
            return Some(self.forward(batch).map_err(|cause| self.cut(&cause)));
        }
        loop {
            let event_deadline = self.next_event_deadline();
            let upstream = self.upstream.as_mut()?;
            let cause = match upstream.next(event_deadline, self.deadline).await {
                Received::Events(batch) => match self.forward(batch) {
                    Ok(bytes) => return Some(Ok(bytes)),
                    Err(cause) => cause,
                },
                Received::End => {
                    self.finish();
                    return None;
                }
                Received::Expired => {
                    let cut = self.cut("the time limit of the route or the caller was reached");
                    return Some(Err(cut));
                }
                Received::Broken(cause) => cause,
            };
            if !self.resume(&cause).await {
                return Some(Err(self.cut(&cause)));
            }
            if let Some(batch) = self.pending.take() {
                return Some(self.forward(batch).map_err(|cause| self.cut(&cause)));
            }
        }
    }

    /// Returns when the next event must have arrived.
    fn next_event_deadline(&self) -> Instant {
        if self.can_resume() {
            return self.deadline.min(Instant::now() + STALL_TIMEOUT);
        }
        self.deadline
    }

    fn can_resume(&self) -> bool {
        self.job.route.retry == Retry::Resume
            && self.progress.sends < self.job.route.attempts
            && (self.last_event_id.is_some() || self.events == 0)
            && self.certain_version().is_some()
    }

    /// Returns the version that began the stream; `None` if it is unknown, or if the
    /// endpoint that began it is listed with another one now, which it may have run
    /// before.
    fn certain_version(&self) -> Option<&id::Version> {
        let version = self.job.version.as_ref()?;
        let Some(origin) = &self.origin else {
            return Some(version);
        };
        let listed = self.chain.listed_version(origin);
        listed
            .is_none_or(|listed| listed == *version)
            .then_some(version)
    }

    /// Checks that events follow those that were relayed, and returns their bytes;
    /// fails with the cause if events are missing or repeated.
    fn forward(&mut self, batch: Batch) -> Result<Bytes, String> {
        if let (Some(last), Some(first)) = (self.last_event_id, batch.first_id)
            && first != last + 1
        {
            return Err(format!("event {first} came after event {last}"));
        }
        self.events += batch.events;
        if let Some(upstream) = &mut self.upstream {
            let now = Instant::now();
            upstream.flight.record_heard();
            upstream.timing.events += batch.events;
            upstream.timing.longest_pause = upstream
                .timing
                .longest_pause
                .max(now - upstream.last_event_at);
            upstream.last_event_at = now;
        }
        self.last_event_id = batch.last_id.or(self.last_event_id);
        Ok(batch.bytes)
    }

    /// Records why a stream that may be resumed is not.
    fn record_not_resumed(&self, obstacle: Obstacle) {
        self.chain.metrics.not_resumed(obstacle);
        tracing::info!(
            id = self.job.correlation_id,
            endpoint = %self.choice.endpoint,
            version = self.job.version.as_ref().map(id::Version::as_str),
            after = self.last_event_id,
            cause = %obstacle,
            "stream is not resumed"
        );
    }

    /// Resumes the stream at another endpoint; false if that is not possible.
    async fn resume(&mut self, cause: &str) -> bool {
        if self.job.route.retry == Retry::Resume && self.certain_version().is_none() {
            self.record_not_resumed(Obstacle::UnknownVersion);
        }
        if let Some(upstream) = self.upstream.take() {
            upstream.permit.end(Outcome::Broken);
        }
        let chain = Arc::clone(&self.chain);
        while self.can_resume() && chain.acquire_retry(&self.job, &mut self.progress) {
            let mut request = self.job.request(&self.progress.tried);
            let now = chain.clock.now();
            request.first_byte_due = now;
            request.caller_leaves_at = request.deadline;
            let (choice, permit) = match chain.admission.admit(request).await {
                Ok(admitted) => admitted,
                Err(refusal) => {
                    self.record_not_resumed(refusal.reason.into());
                    return false;
                }
            };
            let Ok(flight) = chain.start_flight(&self.job, &choice, &self.progress) else {
                return false;
            };
            tracing::info!(
                id = self.job.correlation_id,
                from = %self.choice.endpoint,
                to = %choice.endpoint,
                version = self.job.version.as_ref().map(id::Version::as_str),
                after = self.last_event_id,
                cause,
                "stream is resumed at another endpoint"
            );
            chain.metrics.resumed.inc();
            let after = self.last_event_id;
            let attempt = attempt::send(&chain, &self.job, &choice, after, permit, &flight).await;
            let (permit, outcome) = match attempt {
                Attempt::Stream(stream) => {
                    self.progress.record_send(&choice);
                    self.choice = choice;
                    self.origin = None;
                    self.upstream = Some(Upstream {
                        body: stream.body,
                        splitter: stream.splitter,
                        permit: stream.permit,
                        flight,
                        timing: Timing::default(),
                        last_event_at: Instant::now(),
                    });
                    self.pending = Some(stream.first);
                    return true;
                }
                Attempt::Unsent { permit, .. } => {
                    permit.end(Outcome::Unreachable);
                    flight.finish();
                    self.progress.tried.push(choice.endpoint);
                    continue;
                }
                Attempt::Rejected { permit, status } => {
                    flight.finish();
                    (permit, attempt::rejection_outcome(status))
                }
                Attempt::Broken { permit, .. } => (permit, Outcome::Broken),
                Attempt::Expired { permit } => (permit, Outcome::Cancelled),
                Attempt::Failed { permit, .. } | Attempt::Answered { permit, .. } => {
                    flight.finish();
                    (permit, Outcome::Failed)
                }
            };
            permit.end(outcome);
            self.progress.record_send(&choice);
            self.choice = choice;
        }
        false
    }

    /// Records that the stream ended and was relayed completely.
    fn finish(&mut self) {
        let Some(upstream) = self.upstream.take() else {
            return;
        };
        let timing = upstream.timing;
        upstream.permit.end(Outcome::Answered(timing));
        upstream.flight.finish();
        self.chain.crashes.record_answered(self.job.fingerprint);
        self.chain.record_answer(
            &self.job,
            &self.choice,
            &self.progress,
            http::StatusCode::OK,
            timing,
        );
    }

    /// Cuts the stream, so that the caller can distinguish it from a complete
    /// one.
    fn cut(&mut self, cause: &str) -> Truncated {
        self.upstream = None;
        self.chain.metrics.cut.inc();
        tracing::info!(
            id = self.job.correlation_id,
            route = %self.job.route.name,
            endpoint = %self.choice.endpoint,
            events = self.events,
            sends = self.progress.sends,
            cause,
            "stream cut"
        );
        Truncated
    }
}

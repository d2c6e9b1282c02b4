//! Passes a stream on event by event, and goes on at another endpoint where
//! the route allows it.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use dottereltally::{
    body::{Body, Cut},
    pool::Answer,
};
use dottereltally_lib::{
    gate::{Choice, Flow, Outcome},
    route::Repeat,
};
use futures_util::stream;
use http::{Response, response};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use tokio::time::{Instant, timeout_at};

use crate::{
    admission::Place,
    attempt::{self, Attempt, Stream},
    chain::{Chain, Job, Progress, millis},
    dialect::Dialect,
    events::{Batch, Splitter},
};

/// Time without an event after which a stream goes on elsewhere; callers
/// leave after two seconds at the earliest.
const SILENCE: Duration = Duration::from_millis(1200);

/// A stream on its way to the caller.
pub struct Relay<D> {
    chain: Arc<Chain<D>>,
    job: Job,
    progress: Progress,
    choice: Choice,
    source: Option<Source>,
    parts: Option<response::Parts>,
    first: Option<Batch>,
    last: Option<u64>,
    events: u64,
    end: Instant,
}

/// The endpoint's side of a stream; dropping it cancels the request there.
struct Source {
    body: Answer,
    splitter: Splitter,
    place: Place,
    flow: Flow,
    /// When its last event came.
    last: Instant,
}

/// What came next from an endpoint.
enum Next {
    Events(Batch),
    End,
    Broken(String),
    Expired,
}

impl Source {
    async fn next(&mut self, limit: Instant, end: Instant) -> Next {
        loop {
            let frame = match timeout_at(limit, self.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return Next::Broken(error.cause),
                Ok(None) if self.splitter.is_empty() => return Next::End,
                Ok(None) => return Next::Broken("the stream ended within an event".to_owned()),
                Err(_) if Instant::now() >= end => return Next::Expired,
                Err(_) => return Next::Broken("no event in the expected time".to_owned()),
            };
            let Some(data) = frame.data_ref() else {
                continue;
            };
            match self.splitter.feed(data) {
                Ok(Some(batch)) => return Next::Events(batch),
                Ok(None) => {}
                Err(error) => return Next::Broken(error.to_string()),
            }
        }
    }
}

impl<D: Dialect> Relay<D> {
    /// Takes over a stream.
    #[must_use]
    pub fn new(
        chain: Arc<Chain<D>>,
        job: Job,
        progress: Progress,
        choice: Choice,
        stream: Stream,
    ) -> Self {
        let end = Instant::now() + job.deadline.since(chain.clock.now());
        let last = job.template.after();
        let waited = chain.clock.now().since(job.received);
        chain.metrics.first_event(job.tier, waited);
        tracing::info!(
            id = job.correlation,
            endpoint = %choice.endpoint,
            first_ms = millis(waited),
            "stream began"
        );
        Self {
            chain,
            job,
            progress,
            choice,
            source: Some(Source {
                body: stream.body,
                splitter: stream.splitter,
                place: stream.place,
                flow: Flow::default(),
                last: Instant::now(),
            }),
            parts: Some(stream.parts),
            first: Some(stream.first),
            last,
            events: 0,
            end,
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

    /// Returns the next events, an error if the stream breaks off, none at its
    /// end.
    async fn next(&mut self) -> Option<Result<Bytes, Cut>> {
        if let Some(batch) = self.first.take() {
            return Some(self.pass(batch).map_err(|cause| self.cut(&cause)));
        }
        loop {
            let limit = self.limit();
            let source = self.source.as_mut()?;
            let cause = match source.next(limit, self.end).await {
                Next::Events(batch) => match self.pass(batch) {
                    Ok(bytes) => return Some(Ok(bytes)),
                    Err(cause) => cause,
                },
                Next::End => {
                    self.finish();
                    return None;
                }
                Next::Expired => {
                    let cut = self.cut("the time limit of the route or the caller was reached");
                    return Some(Err(cut));
                }
                Next::Broken(cause) => cause,
            };
            if !self.resume(&cause).await {
                return Some(Err(self.cut(&cause)));
            }
            if let Some(batch) = self.first.take() {
                return Some(self.pass(batch).map_err(|cause| self.cut(&cause)));
            }
        }
    }

    /// Returns when the next event must have come.
    fn limit(&self) -> Instant {
        if self.can_resume() {
            return self.end.min(Instant::now() + SILENCE);
        }
        self.end
    }

    fn can_resume(&self) -> bool {
        self.job.route.repeat == Repeat::Resume
            && self.progress.sends < self.job.route.attempts
            && (self.last.is_some() || self.events == 0)
    }

    /// Checks that events follow those that were passed on.
    fn pass(&mut self, batch: Batch) -> Result<Bytes, String> {
        if let (Some(last), Some(first)) = (self.last, batch.first)
            && first != last + 1
        {
            return Err(format!("event {first} came after event {last}"));
        }
        self.events += batch.events;
        if let Some(source) = &mut self.source {
            let now = Instant::now();
            source.flow.events += batch.events;
            source.flow.pause = source.flow.pause.max(now - source.last);
            source.last = now;
        }
        self.last = batch.last.or(self.last);
        Ok(batch.bytes)
    }

    /// Goes on at another endpoint; false if that is not possible.
    async fn resume(&mut self, cause: &str) -> bool {
        if let Some(source) = self.source.take() {
            source.place.end(Outcome::Broken);
            self.chain.broke(&self.job, &self.choice.endpoint);
        }
        let chain = Arc::clone(&self.chain);
        while self.can_resume() && chain.may_repeat(&self.job, &mut self.progress) {
            let mut ask = self.job.ask(&self.progress.avoid);
            let now = chain.clock.now();
            ask.due = now;
            ask.first_by = ask.deadline;
            let Ok((choice, place)) = chain.admission.admit(ask).await else {
                return false;
            };
            tracing::info!(
                id = self.job.correlation,
                from = %self.choice.endpoint,
                to = %choice.endpoint,
                after = self.last,
                cause,
                "stream goes on elsewhere"
            );
            chain.metrics.resumed.inc();
            let attempt = attempt::send(&chain, &self.job, &choice, self.last, place).await;
            let (place, outcome) = match attempt {
                Attempt::Stream(stream) => {
                    self.progress.sent(&choice);
                    self.choice = choice;
                    self.source = Some(Source {
                        body: stream.body,
                        splitter: stream.splitter,
                        place: stream.place,
                        flow: Flow::default(),
                        last: Instant::now(),
                    });
                    self.first = Some(stream.first);
                    return true;
                }
                Attempt::Unsent { place, .. } => {
                    place.end(Outcome::Unreachable);
                    chain.died(&choice.endpoint);
                    self.progress.avoid.push(choice.endpoint);
                    continue;
                }
                Attempt::Rejected { place, status } => (place, attempt::rejection(status)),
                Attempt::Broken { place, .. } => {
                    chain.broke(&self.job, &choice.endpoint);
                    (place, Outcome::Broken)
                }
                Attempt::Expired { place } => (place, Outcome::Cancelled),
                Attempt::Failed { place, .. } | Attempt::Whole { place, .. } => {
                    (place, Outcome::Failed)
                }
            };
            place.end(outcome);
            self.progress.sent(&choice);
            self.choice = choice;
        }
        false
    }

    /// Ends a stream that came whole.
    fn finish(&mut self) {
        let Some(source) = self.source.take() else {
            return;
        };
        let flow = source.flow;
        source.place.end(Outcome::Answered(flow));
        self.chain.answered(
            &self.job,
            &self.choice,
            &self.progress,
            http::StatusCode::OK,
            flow,
        );
    }

    /// Breaks a stream off, so that the caller can tell.
    fn cut(&mut self, cause: &str) -> Cut {
        self.source = None;
        self.chain.metrics.cut.inc();
        tracing::info!(
            id = self.job.correlation,
            route = %self.job.route.name,
            endpoint = %self.choice.endpoint,
            events = self.events,
            sends = self.progress.sends,
            cause,
            "stream cut"
        );
        Cut
    }
}

//! Relays a stream to the caller event by event, and resumes it at another
//! endpoint where the route allows that.

use std::{
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

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
    attempt::{self, Attempt, Stream},
    chain::Chain,
    dialect::Dialect,
    events::{Batch, Splitter},
    job::{Job, Progress},
    logging::millis,
    search::{Dispatch, Event, Obstacle, Place, Search, Signal},
};

/// Time without an event after which another endpoint is sought for a stream; callers
/// give up after two seconds at the earliest.
const STALL_TIMEOUT: Duration = Duration::from_millis(1200);

/// Why a stream whose endpoint was silent is resumed.
const SILENT: &str = "no event in the expected time";

/// A stream that is relayed to the caller.
pub struct Relay<D> {
    chain: Arc<Chain<D>>,
    /// The request; its version is that of the endpoint that began the stream.
    job: Arc<Job>,
    /// The endpoint that began the stream, until the stream is resumed elsewhere;
    /// `None` if another answer to the caller began it.
    origin: Option<id::Endpoint>,
    /// Whether it is certain that the listed process of that endpoint began the stream.
    is_origin_certain: Arc<AtomicBool>,
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
    /// Whether its end shows in other ways than by the end of the connection.
    is_delimited: bool,
    place: Place,
    timing: Timing,
    /// When its last event arrived.
    last_event_at: Instant,
}

/// What an endpoint sent next.
enum Received {
    Events(Batch),
    /// The stream ended after a complete event.
    End,
    /// The stream broke, for this cause.
    Broken(String),
    /// The deadline of the request passed.
    Expired,
}

impl Signal for Received {
    fn is_progress(&self) -> bool {
        matches!(self, Self::Events(_) | Self::End)
    }

    fn is_failure(&self) -> bool {
        matches!(self, Self::Broken(_))
    }
}

impl Upstream {
    fn new(stream: attempt::Stream, place: Place) -> (Self, Batch) {
        let upstream = Self {
            body: stream.body,
            splitter: stream.splitter,
            is_delimited: stream.is_delimited,
            place,
            timing: Timing::default(),
            last_event_at: Instant::now(),
        };
        (upstream, stream.first)
    }
}

/// Waits for the next complete events of a stream; `deadline` is that of the request.
async fn receive(body: &mut pool::Body, splitter: &mut Splitter, deadline: Instant) -> Received {
    loop {
        let frame = match timeout_at(deadline, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => return Received::Broken(error.cause),
            Ok(None) if splitter.is_empty() => {
                return splitter.take_rest().map_or(Received::End, Received::Events);
            }
            Ok(None) => return Received::Broken("the stream ended within an event".to_owned()),
            Err(_) => return Received::Expired,
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        match splitter.feed(data) {
            Ok(Some(batch)) => return Received::Events(batch),
            Ok(None) => {}
            Err(error) => return Received::Broken(error.to_string()),
        }
    }
}

/// Remembers where a stream began once the endpoint has told that it is the listed process.
async fn confirm_origin<D: Dialect>(
    chain: Arc<Chain<D>>,
    job: Arc<Job>,
    choice: Choice,
    is_certain: Arc<AtomicBool>,
) {
    let is_confirmed = chain.confirm_process(&choice.endpoint).await.is_ok();
    // The directory may have been read since, and list another process now.
    if !is_confirmed || chain.listed_version(&choice.endpoint) != job.version {
        return;
    }
    is_certain.store(true, Ordering::Relaxed);
    chain.remember_origin(&job, &choice);
}

impl<D: Dialect> Relay<D> {
    /// Starts to relay a stream whose first events have arrived.
    #[must_use]
    pub fn new(
        chain: Arc<Chain<D>>,
        mut job: Job,
        progress: Progress,
        stream: Stream,
        place: Place,
    ) -> Self {
        let deadline = Instant::now() + job.deadline.since(chain.clock.now());
        let last_event_id = job.template.last_event_id();
        let waited = chain.clock.now().since(job.received);
        chain.metrics.first_event(job.tier, waited);
        let choice = place.choice.clone();
        let origin = job.version.is_none().then(|| choice.endpoint.clone());
        if origin.is_some() && chain.listed_version(&choice.endpoint) == choice.version {
            job.version.clone_from(&choice.version);
        }
        let view_age = chain.view.age();
        tracing::info!(
            id = job.correlation_id,
            endpoint = %choice.endpoint,
            version = job.version.as_ref().map(id::Version::as_str),
            born = chain.listed_start(&choice.endpoint),
            view_age_ms = view_age.map(millis),
            first_ms = millis(waited),
            "stream began"
        );
        let parts = Some(stream.parts.clone());
        let (upstream, first) = Upstream::new(stream, place);
        let job = Arc::new(job);
        let is_current = chain.is_current(view_age);
        let is_origin_certain = Arc::new(AtomicBool::new(is_current));
        if is_current {
            chain.remember_origin(&job, &choice);
        } else if origin.is_some() && job.route.retry == Retry::Resume && job.version.is_some() {
            let confirming = confirm_origin(
                Arc::clone(&chain),
                Arc::clone(&job),
                choice.clone(),
                Arc::clone(&is_origin_certain),
            );
            tokio::spawn(confirming);
        }
        Self {
            chain,
            job,
            origin,
            is_origin_certain,
            progress,
            choice,
            upstream: Some(upstream),
            parts,
            pending: Some(first),
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

    /// Returns the next events, an error if the stream is cut, `None` at its end. A stream
    /// that outlasts this node is cut, so that its caller resumes it elsewhere.
    async fn next(&mut self) -> Option<Result<Bytes, Truncated>> {
        let phase = self.chain.phase.clone();
        tokio::select! {
            biased;
            next = self.next_events() => next,
            () = phase.ended() => Some(Err(self.cut("this node shuts down"))),
        }
    }

    /// Returns the next events as [`Self::next`] does, while this node runs.
    async fn next_events(&mut self) -> Option<Result<Bytes, Truncated>> {
        if let Some(batch) = self.pending.take() {
            return Some(self.forward(batch).map_err(|cause| self.cut(&cause)));
        }
        loop {
            let (chain, job) = (Arc::clone(&self.chain), Arc::clone(&self.job));
            let search = Search::resuming(&chain, &job, self.last_event_id);
            let silence = self.can_resume().then_some(STALL_TIMEOUT);
            let upstream = self.upstream.as_mut()?;
            let next = receive(&mut upstream.body, &mut upstream.splitter, self.deadline);
            let endpoint = &upstream.place.choice.endpoint;
            let event = search
                .watch(&mut self.progress, endpoint, pin!(next), silence)
                .await;
            let (outcome, cause, sent) = match event {
                Event::Heard(Received::Events(batch)) => match self.forward(batch) {
                    Ok(bytes) => return Some(Ok(bytes)),
                    Err(cause) => (Outcome::Broken, cause, None),
                },
                Event::Heard(Received::End) => {
                    self.finish();
                    return None;
                }
                Event::Heard(Received::Expired) => {
                    let cut = self.cut("the time limit of the route or the caller was reached");
                    return Some(Err(cut));
                }
                Event::Heard(Received::Broken(cause)) => (Outcome::Broken, cause, None),
                Event::Replaced { by, lost } => match lost {
                    Some(Received::Broken(cause)) => (Outcome::Broken, cause, Some(*by)),
                    _ => (Outcome::Silent, SILENT.to_owned(), Some(*by)),
                },
            };
            if let Some(upstream) = self.upstream.take() {
                upstream.place.lose(outcome);
            }
            if !self.resume(&search, &cause, sent).await {
                return Some(Err(self.cut(&cause)));
            }
            if let Some(batch) = self.pending.take() {
                return Some(self.forward(batch).map_err(|cause| self.cut(&cause)));
            }
        }
    }

    fn can_resume(&self) -> bool {
        self.job.route.retry == Retry::Resume
            && self.progress.allows_send(&self.job)
            && (self.last_event_id.is_some() || self.events == 0)
            && self.certain_version().is_some()
    }

    /// Returns the version that began the stream; `None` if it is unknown, if it is not
    /// certain which process of its endpoint began it, or if that endpoint is listed with
    /// another one now, which it may have run before.
    fn certain_version(&self) -> Option<&id::Version> {
        let version = self.job.version.as_ref()?;
        let Some(origin) = &self.origin else {
            return Some(version);
        };
        if !self.is_origin_certain.load(Ordering::Relaxed) {
            return None;
        }
        let listed = self.chain.listed_version(origin);
        listed
            .is_none_or(|listed| listed == *version)
            .then_some(version)
    }

    /// Checks that events follow those that were relayed, and returns their bytes;
    /// fails with the cause if events are missing or repeated.
    fn forward(&mut self, batch: Batch) -> Result<Bytes, String> {
        let gap = batch.check_follows(self.last_event_id);
        gap.map_err(|gap| gap.to_string())?;
        self.events += batch.events;
        if let Some(upstream) = &mut self.upstream {
            let now = Instant::now();
            upstream.place.record_heard();
            self.chain.paths.record_heard();
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
    fn record_not_resumed(&self, obstacle: &Obstacle) {
        self.chain.metrics.not_resumed(obstacle.name());
        tracing::info!(
            id = self.job.correlation_id,
            endpoint = %self.choice.endpoint,
            version = self.job.version.as_ref().map(id::Version::as_str),
            after = self.last_event_id,
            cause = %obstacle,
            "stream is not resumed"
        );
    }

    /// Resumes the stream at another endpoint, where it may have been `sent` already;
    /// returns false if that is not possible.
    async fn resume<'a>(
        &mut self,
        search: &Search<'a, D>,
        cause: &str,
        mut sent: Option<Dispatch<'a>>,
    ) -> bool {
        let from = self.choice.endpoint.clone();
        let is_uncertain = self.certain_version().is_none();
        if sent.is_none() && self.job.route.retry == Retry::Resume && is_uncertain {
            self.record_not_resumed(&Obstacle::UnknownVersion);
            return false;
        }
        loop {
            let next = match sent.take() {
                Some(sent) => sent,
                None if !self.can_resume() => return false,
                None => match search.find(&self.progress).await {
                    Ok(found) => search.send(found, &mut self.progress),
                    Err(obstacle) => {
                        let is_final = !matches!(obstacle, Obstacle::Unreachable { .. });
                        if is_final {
                            self.record_not_resumed(&obstacle);
                            return false;
                        }
                        self.progress.record_obstacle(obstacle);
                        continue;
                    }
                },
            };
            let (place, attempt) = search.deliver(next, &mut self.progress).await;
            self.choice = place.choice.clone();
            let stream = match attempt {
                Attempt::Stream(stream) => stream,
                Attempt::Ended(end) => {
                    let failure = end.into_failure();
                    place.settle(&self.chain, &self.job, &mut self.progress, &failure);
                    continue;
                }
            };
            self.chain.metrics.resumed.inc();
            tracing::info!(
                id = self.job.correlation_id,
                from = %from,
                to = %self.choice.endpoint,
                version = self.job.version.as_ref().map(id::Version::as_str),
                born = self.chain.listed_start(&self.choice.endpoint),
                view_age_ms = self.chain.view.age().map(millis),
                after = self.last_event_id,
                cause,
                "stream is resumed at another endpoint"
            );
            self.origin = None;
            let (upstream, first) = Upstream::new(*stream, place);
            self.upstream = Some(upstream);
            self.pending = Some(first);
            return true;
        }
    }

    /// Records that the stream ended and was relayed completely.
    fn finish(&mut self) {
        let Some(upstream) = self.upstream.take() else {
            return;
        };
        let timing = upstream.timing;
        let outcome = Outcome::Answered(timing);
        if upstream.is_delimited {
            upstream.place.finish(outcome);
            self.chain.crashes.record_answered(&self.job.subject, true);
        } else {
            upstream.place.finish_unconfirmed(outcome);
        }
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

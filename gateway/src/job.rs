//! An accepted request, and how far it got.

use std::sync::Arc;

use dottereltally_lib::{
    crash::Subject,
    dispatcher::{self, Choice},
    id,
    rollout::Filter,
    route::{Retry, Route},
    time,
};

use crate::{attempt::Template, rollout, search::Obstacle};

/// Failed connection attempts after which a request is abandoned.
const MAX_CONNECT_FAILURES: u32 = 6;

/// An accepted request: routed, and charged against its quota.
pub struct Job {
    /// Identifies the caller's attempt; the `id` of its log lines.
    pub correlation_id: String,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that serves it.
    pub service: id::Service,
    /// The caller's workspace; `None` where no key is needed.
    pub workspace: Option<id::Workspace>,
    /// Its tier.
    pub tier: id::Tier,
    /// Tokens of its prompt and of its expected answer; zeros if the caller sent
    /// no token counts.
    pub tokens: (u64, u64),
    /// When it was received.
    pub received: time::Instant,
    /// When its answer is no longer of use.
    pub deadline: time::Instant,
    /// When the caller gives up without a first byte.
    pub first_byte_deadline: time::Instant,
    /// What may crash endpoints: the request, or a part of its prompt.
    pub subject: Subject,
    /// The software version that began the stream that it continues; `None` if
    /// any version may serve it.
    pub version: Option<id::Version>,
    /// Drawn when it was accepted, uniform in [0, 1): decides which versions may serve it
    /// while a roll-out runs.
    pub sample: f64,
    /// The message to endpoints, whichever is chosen.
    pub template: Template,
}

impl Job {
    /// Returns what the dispatcher needs to know to choose an endpoint;
    /// `excluded` lists those that were tried before, and `filter` names the versions that
    /// may serve it now.
    #[must_use]
    pub fn request(&self, excluded: &[id::Endpoint], filter: Filter) -> dispatcher::Request {
        dispatcher::Request {
            service: self.service.clone(),
            route: self.route.name.clone(),
            tier: self.tier,
            class: self.route.tier,
            prompt: self.tokens.0,
            expected_output: self.tokens.1,
            max_pause: self.route.pause,
            first_byte_due: self.received + self.route.objective,
            caller_leaves_at: self.first_byte_deadline,
            deadline: self.deadline,
            excluded: excluded.to_vec(),
            version: self.version.clone(),
            resumable: self.route.retry == Retry::Resume,
            workspace: self.workspace.clone(),
            fingerprint: Some(self.subject.request),
            version_filter: filter,
        }
    }

    /// Returns what decides which versions may serve it while a roll-out runs.
    #[must_use]
    pub fn rollout_request(&self) -> rollout::Request<'_> {
        rollout::Request {
            service: &self.service,
            route: &self.route.name,
            sample: self.sample,
            version: self.version.as_ref(),
            deadline: self.deadline,
            prompt: self.tokens.0,
        }
    }
}

/// How far a request got: decides about retries and is logged at the end.
#[derive(Default)]
pub struct Progress {
    /// Endpoints that were tried, also those that could not be reached.
    pub tried: Vec<id::Endpoint>,
    /// Sends that reached an endpoint or may have.
    pub sends: u32,
    /// Whether an endpoint may have run it.
    pub may_have_run: bool,
    connect_failures: u32,
}

impl Progress {
    /// Returns whether a request may be sent to a further endpoint.
    #[must_use]
    pub fn allows_send(&self, job: &Job) -> bool {
        self.sends < job.route.attempts.max(1) && self.connect_failures < MAX_CONNECT_FAILURES
    }

    /// Records a send that reaches an endpoint or may reach it.
    pub fn record_send(&mut self, choice: &Choice) {
        self.sends += 1;
        self.tried.push(choice.endpoint.clone());
    }

    /// Records that the last send did not reach its endpoint.
    pub fn withdraw_send(&mut self) {
        self.sends = self.sends.saturating_sub(1);
        self.connect_failures += 1;
    }

    /// Records that a request could not be sent; an endpoint that can't be reached is
    /// not tried again.
    pub fn record_obstacle(&mut self, obstacle: Obstacle) {
        if let Obstacle::Unreachable { endpoint, .. } = obstacle {
            self.connect_failures += 1;
            self.tried.push(endpoint);
        }
    }
}

//! The states of a request, encoded as types.
//!
//! The states are `Received → Claimed → Admitted → Dispatched`. Each transition
//! consumes the previous value, so that a second dispatch does not compile, and
//! a refusal that says "not run" can only be built from a state before
//! [`Dispatched`].

use std::{sync::Arc, time::Duration};

use crate::{id, size, time};

/// The properties of a request that the decision core uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Profile {
    /// The configured call that it matched.
    pub call: id::Call,
    /// The service that must serve it.
    pub service: id::Service,
    /// The model or adapter that it names, if any.
    pub model: Option<id::Model>,
    /// The caller's workspace.
    pub workspace: id::Workspace,
    /// Its tier.
    pub tier: id::Tier,
    /// When it was received.
    pub received: time::Instant,
    /// Time after which its answer is useless.
    pub deadline: time::Instant,
    /// Estimated tokens of its prompt.
    pub prompt: size::Tokens,
    /// Most tokens of its answer.
    pub output: size::Tokens,
    /// Hashes of its prompt's leading blocks, shortest prefix first.
    pub prefixes: Vec<id::Prefix>,
    /// Hash of its content, which identifies repeats of it.
    pub fingerprint: id::Fingerprint,
    /// Whether it can be run twice safely.
    pub idempotent: bool,
}

impl Profile {
    /// Returns the most tokens that the request can occupy in a model engine.
    #[must_use]
    pub fn cost(&self) -> size::Tokens {
        self.prompt + self.output
    }

    /// Returns the time left until the deadline.
    #[must_use]
    pub fn remaining(&self, now: time::Instant) -> Duration {
        self.deadline.since(now)
    }
}

/// The request was received and classified.
#[derive(Debug)]
pub struct Received;

/// This node holds the claim to run the request, or the request needs none.
#[derive(Debug)]
pub struct Claimed;

/// An endpoint was assigned.
#[derive(Debug)]
pub struct Admitted {
    endpoint: id::Endpoint,
}

/// Bytes may have been sent to the endpoint.
#[derive(Debug)]
pub struct Dispatched {
    endpoint: id::Endpoint,
}

mod sealed {
    /// States in which nothing was sent to an endpoint.
    pub trait Undispatched {}
    impl Undispatched for super::Received {}
    impl Undispatched for super::Claimed {}
    impl Undispatched for super::Admitted {}
}

/// A request in the state `S`.
#[derive(Debug)]
pub struct Request<S> {
    id: id::Request,
    profile: Arc<Profile>,
    state: S,
}

impl<S> Request<S> {
    /// Returns the identifier of this attempt.
    #[must_use]
    pub fn id(&self) -> id::Request {
        self.id
    }

    /// Returns the properties that the decision core uses.
    #[must_use]
    pub fn profile(&self) -> &Arc<Profile> {
        &self.profile
    }

    /// Changes the state.
    fn with_state<T>(self, state: T) -> Request<T> {
        Request {
            id: self.id,
            profile: self.profile,
            state,
        }
    }
}

impl<S: sealed::Undispatched> Request<S> {
    /// Gives the request up and returns the proof that it was not dispatched.
    #[must_use]
    pub fn abandon(self) -> NotRun {
        NotRun { request: self.id }
    }
}

impl Request<Received> {
    /// Creates a request that was received and classified.
    #[must_use]
    pub fn new(id: id::Request, profile: Arc<Profile>) -> Self {
        Self {
            id,
            profile,
            state: Received,
        }
    }

    /// Records that this node holds the claim to run the request, or that the
    /// request needs none.
    #[must_use]
    pub fn claim(self) -> Request<Claimed> {
        self.with_state(Claimed)
    }
}

impl Request<Claimed> {
    /// Records the endpoint that the request is assigned to.
    #[must_use]
    pub fn admit(self, endpoint: id::Endpoint) -> Request<Admitted> {
        self.with_state(Admitted { endpoint })
    }
}

impl Request<Admitted> {
    /// Returns the assigned endpoint.
    #[must_use]
    pub fn endpoint(&self) -> &id::Endpoint {
        &self.state.endpoint
    }

    /// Takes back the assignment after a failure that sent nothing, so that the
    /// request can be queued again.
    #[must_use]
    pub fn requeue(self) -> Request<Claimed> {
        self.with_state(Claimed)
    }

    /// Records that bytes may be sent to the endpoint from here on.
    #[must_use]
    pub fn dispatch(self) -> Request<Dispatched> {
        let endpoint = self.state.endpoint.clone();
        self.with_state(Dispatched { endpoint })
    }
}

impl Request<Dispatched> {
    /// Returns the endpoint that the request was sent to.
    #[must_use]
    pub fn endpoint(&self) -> &id::Endpoint {
        &self.state.endpoint
    }

    /// Takes the dispatch back because the client library returned the complete
    /// message, which proves that nothing was sent.
    #[must_use]
    pub fn undo<M>(self, _unsent: &M) -> Request<Claimed> {
        self.with_state(Claimed)
    }
}

/// Proof that a request was abandoned before anything was sent to an endpoint.
#[derive(Debug)]
pub struct NotRun {
    request: id::Request,
}

impl NotRun {
    /// Returns the identifier of the attempt that was abandoned.
    #[must_use]
    pub fn request(&self) -> id::Request {
        self.request
    }
}

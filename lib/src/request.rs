//! The life of a request as a typestate.
//!
//! `Received → Claimed → Admitted → Dispatched`. Each step consumes the value
//! before it, so that a second dispatch does not compile, and a refusal that
//! says "not run" can be built only from a state before [`Dispatched`].

use std::{sync::Arc, time::Duration};

use crate::{id, size, time};

/// What the decision core needs to know of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Profile {
    /// The call of the operators' text that it matched.
    pub call: id::Call,
    /// The service that must serve it.
    pub service: id::Service,
    /// The model or adapter that it names, if any.
    pub model: Option<id::Model>,
    /// The caller's workspace.
    pub workspace: id::Workspace,
    /// Its tier.
    pub tier: id::Tier,
    /// When it came in.
    pub received: time::Instant,
    /// When its answer is of no more use.
    pub deadline: time::Instant,
    /// Tokens of its prompt, estimated.
    pub prompt: size::Tokens,
    /// Tokens of its answer, at the most.
    pub output: size::Tokens,
    /// Hashes of its prompt's leading blocks, shortest prefix first.
    pub prefixes: Vec<id::Prefix>,
    /// Hash of its content.
    pub fingerprint: id::Fingerprint,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
}

impl Profile {
    /// Returns the tokens that the request can occupy in an engine.
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

/// The request was read and classified.
#[derive(Debug)]
pub struct Received;

/// The right to run the request is held, or it needs none.
#[derive(Debug)]
pub struct Claimed;

/// An endpoint has been assigned.
#[derive(Debug)]
pub struct Admitted {
    endpoint: id::Endpoint,
}

/// Bytes may have been handed to the endpoint.
#[derive(Debug)]
pub struct Dispatched {
    endpoint: id::Endpoint,
}

mod sealed {
    /// States before anything was handed to an endpoint.
    pub trait Undispatched {}
    impl Undispatched for super::Received {}
    impl Undispatched for super::Claimed {}
    impl Undispatched for super::Admitted {}
}

/// A request in one state of its life.
#[derive(Debug)]
pub struct Request<S> {
    id: id::Request,
    profile: Arc<Profile>,
    state: S,
}

impl<S> Request<S> {
    /// Returns the attempt's identifier.
    #[must_use]
    pub fn id(&self) -> id::Request {
        self.id
    }

    /// Returns what the decision core knows of the request.
    #[must_use]
    pub fn profile(&self) -> &Arc<Profile> {
        &self.profile
    }

    fn step<T>(self, state: T) -> Request<T> {
        Request {
            id: self.id,
            profile: self.profile,
            state,
        }
    }
}

impl<S: sealed::Undispatched> Request<S> {
    /// Ends the request with the proof that it was not dispatched.
    #[must_use]
    pub fn abandon(self) -> NotRun {
        NotRun { request: self.id }
    }
}

impl Request<Received> {
    /// Starts a request's life.
    #[must_use]
    pub fn new(id: id::Request, profile: Arc<Profile>) -> Self {
        Self {
            id,
            profile,
            state: Received,
        }
    }

    /// Records that the right to run the request is held.
    #[must_use]
    pub fn claim(self) -> Request<Claimed> {
        self.step(Claimed)
    }
}

impl Request<Claimed> {
    /// Records the endpoint that was assigned.
    #[must_use]
    pub fn admit(self, endpoint: id::Endpoint) -> Request<Admitted> {
        self.step(Admitted { endpoint })
    }
}

impl Request<Admitted> {
    /// Returns the assigned endpoint.
    #[must_use]
    pub fn endpoint(&self) -> &id::Endpoint {
        &self.state.endpoint
    }

    /// Returns to the queue after a failure that handed over nothing.
    #[must_use]
    pub fn requeue(self) -> Request<Claimed> {
        self.step(Claimed)
    }

    /// Records that bytes may be handed over from here on.
    #[must_use]
    pub fn dispatch(self) -> Request<Dispatched> {
        let endpoint = self.state.endpoint.clone();
        self.step(Dispatched { endpoint })
    }
}

impl Request<Dispatched> {
    /// Returns the endpoint that got the request.
    #[must_use]
    pub fn endpoint(&self) -> &id::Endpoint {
        &self.state.endpoint
    }

    /// Takes the dispatch back because the client library returned the whole
    /// message, which proves that nothing was handed over.
    #[must_use]
    pub fn undo<M>(self, _unsent: &M) -> Request<Claimed> {
        self.step(Claimed)
    }
}

/// Proof that a request was given up before anything was handed over.
#[derive(Debug)]
pub struct NotRun {
    request: id::Request,
}

impl NotRun {
    /// Returns the attempt that was given up.
    #[must_use]
    pub fn request(&self) -> id::Request {
        self.request
    }
}

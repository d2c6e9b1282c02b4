//! Requests that wait and requests that run.

use std::sync::Arc;

use crate::{fair, fleet, id, request, text, time};

/// A request that waits for an endpoint.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// What is known of it.
    pub profile: Arc<request::Profile>,
    /// What stands behind its service.
    pub kind: text::Kind,
    /// Tokens that it can occupy in an endpoint.
    pub cost: u64,
    /// Tokens to be computed for it: what no cache is known to hold of its
    /// prompt, and its answer.
    pub work: u64,
    /// Its expected length of an answer in tokens.
    pub output: u64,
    /// Its workspace's share.
    pub share: u32,
    /// When an endpoint must have it at the latest.
    pub due: time::Instant,
    /// Endpoints that it was not handed to.
    pub avoided: Vec<id::Endpoint>,
}

impl Waiting {
    /// Returns the request as the queue sees it.
    #[must_use]
    pub fn item(&self, request: id::Request) -> fair::Item {
        fair::Item {
            id: request,
            workspace: self.profile.workspace.clone(),
            share: self.share,
            deadline: self.due,
            cost: self.work,
        }
    }
}

/// A request that was admitted to an endpoint.
#[derive(Clone, Debug)]
pub struct Flight {
    /// What it was while it waited.
    pub waiting: Waiting,
    /// Its endpoint.
    pub slot: fleet::Slot,
    /// Its cost in tokens at the endpoint.
    pub cost: u64,
    /// When it was admitted.
    pub admitted: time::Instant,
    /// When the first byte came.
    pub started: Option<time::Instant>,
    /// Prompt tokens that the endpoint's cache is not known to hold.
    pub uncached: u64,
    /// Tokens that came since `measured`.
    pub received: u64,
    /// Since when the speed is measured.
    pub measured: time::Instant,
}

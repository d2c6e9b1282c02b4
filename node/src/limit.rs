//! Filter: limits the concurrent requests of a workspace at this node.

use std::{
    collections::{HashMap, hash_map::Entry},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use dottereltally_lib::id;
use http::StatusCode;
use tokio::sync::watch;

use crate::problem::{Problem, Reason};

/// `retry-after` of a request beyond the limit of its workspace.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Counts the requests in this node by workspace; clones share the counts.
#[derive(Clone, Debug)]
pub struct Limiter {
    counts: Arc<Mutex<HashMap<id::Workspace, u32>>>,
    total: Arc<watch::Sender<usize>>,
}

/// Counts one request against the limit of its workspace until it is dropped.
#[derive(Debug)]
pub struct Permit {
    limiter: Limiter,
    workspace: id::Workspace,
}

impl Default for Limiter {
    fn default() -> Self {
        Self {
            counts: Arc::default(),
            total: Arc::new(watch::Sender::new(0)),
        }
    }
}

impl Limiter {
    /// Counts a request until the returned permit is dropped.
    ///
    /// # Errors
    ///
    /// Fails with 429 if the workspace has reached its limit.
    pub fn acquire(
        &self,
        workspace: &id::Workspace,
        limit: Option<u32>,
    ) -> Result<Permit, Problem> {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let count = counts.entry(workspace.clone()).or_default();
        if limit.is_some_and(|limit| *count >= limit) {
            let detail = "the workspace has reached its limit of requests at a time; send the request again when others have ended";
            let problem = Problem::before_dispatch(
                StatusCode::TOO_MANY_REQUESTS,
                Reason::Core(dottereltally_lib::refusal::Reason::Limit),
                detail,
            );
            return Err(problem.retry_after(RETRY_AFTER));
        }
        *count += 1;
        drop(counts);
        self.total.send_modify(|total| *total += 1);
        Ok(Permit {
            limiter: self.clone(),
            workspace: workspace.clone(),
        })
    }

    /// Returns the number of requests in this node.
    #[must_use]
    pub fn total(&self) -> usize {
        *self.total.borrow()
    }

    /// Waits until this node has no requests.
    pub async fn wait_idle(&self) {
        let mut total = self.total.subscribe();
        let _ = total.wait_for(|total| *total == 0).await;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut counts = self
            .limiter
            .counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Entry::Occupied(mut entry) = counts.entry(self.workspace.clone()) {
            *entry.get_mut() -= 1;
            if *entry.get() == 0 {
                entry.remove();
            }
        }
        drop(counts);
        self.limiter.total.send_modify(|total| *total -= 1);
    }
}

//! Filter: bounds the requests that a workspace has in this node.

use std::{
    collections::{HashMap, hash_map::Entry},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use dottereltally_lib::id;
use http::StatusCode;
use tokio::sync::watch;

use crate::problem::{Problem, Reason};

/// When a workspace over its limit should come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Requests that are in this node, by workspace.
#[derive(Clone, Debug)]
pub struct Table {
    counts: Arc<Mutex<HashMap<id::Workspace, u32>>>,
    total: Arc<watch::Sender<usize>>,
}

/// The place of one request; dropping it gives the place back.
#[derive(Debug)]
pub struct Permit {
    table: Table,
    workspace: id::Workspace,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            counts: Arc::default(),
            total: Arc::new(watch::Sender::new(0)),
        }
    }
}

impl Table {
    /// Takes a place for a request.
    ///
    /// # Errors
    ///
    /// Fails with 429 if the workspace has reached its limit.
    pub fn enter(&self, workspace: &id::Workspace, limit: Option<u32>) -> Result<Permit, Problem> {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let count = counts.entry(workspace.clone()).or_default();
        if limit.is_some_and(|limit| *count >= limit) {
            let detail = "the workspace has reached its limit of requests at a time; send the request again when others have ended";
            let problem = Problem::unread(
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
            table: self.clone(),
            workspace: workspace.clone(),
        })
    }

    /// Returns the number of requests in this node.
    #[must_use]
    pub fn total(&self) -> usize {
        *self.total.borrow()
    }

    /// Waits until no request is in this node.
    pub async fn idle(&self) {
        let mut total = self.total.subscribe();
        let _ = total.wait_for(|total| *total == 0).await;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut counts = self
            .table
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
        self.table.total.send_modify(|total| *total -= 1);
    }
}

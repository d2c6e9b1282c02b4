//! Use of a contended service by workspaces.
//!
//! When not all requests can be admitted, the workspace furthest above its equal share loses
//! first. One that is alone is at its equal share, whatever it uses.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use crate::{id, time};

/// Time constant of the recent use; bursts last 5 to 10 s.
const TIME_CONSTANT: Duration = Duration::from_secs(5);

/// Use, in seconds of work, below which a workspace is forgotten.
const MIN_USE_SECS: f64 = 0.01;

/// Most workspaces remembered for a service; the others count as unused.
const MAX_WORKSPACES: usize = 4096;

/// Multiple of the mean use of the others up to which a workspace loses nothing. With 4.0, the
/// heavy workspace of `test_overload` loses more than the others gain.
const TOLERATED_RATIO: f64 = 5.0;

/// Use of all workspaces that used something lately or wait.
#[derive(Clone, Copy, Debug)]
pub(super) struct Total {
    /// Recent use, in seconds of work.
    work: f64,
    workspaces: u32,
}

/// Work sent for each workspace; requests without one belong to one unnamed workspace.
#[derive(Clone, Debug, Default)]
pub(super) struct Usage {
    /// Decaying sum of the work, in seconds, as of a time.
    sums: HashMap<Option<id::Workspace>, (f64, time::Instant)>,
}

fn decayed((sum, at): (f64, time::Instant), now: time::Instant) -> f64 {
    sum * (-now.since(at).as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
}

impl Usage {
    /// Records work that is sent for a workspace.
    pub(super) fn record(
        &mut self,
        now: time::Instant,
        workspace: Option<&id::Workspace>,
        work: f64,
    ) {
        let workspace = workspace.cloned();
        if let Some(known) = self.sums.get_mut(&workspace) {
            *known = (decayed(*known, now) + work, now);
            return;
        }
        if self.sums.len() >= MAX_WORKSPACES {
            self.sums
                .retain(|_, known| decayed(*known, now) >= MIN_USE_SECS);
        }
        if self.sums.len() < MAX_WORKSPACES {
            self.sums.insert(workspace, (work, now));
        }
    }

    /// Forgets workspaces that used nothing lately, and returns the use of the others; `waiting`
    /// are those that have queued requests.
    pub(super) fn total(
        &mut self,
        now: time::Instant,
        waiting: &HashSet<Option<&id::Workspace>>,
    ) -> Total {
        self.sums
            .retain(|_, known| decayed(*known, now) >= MIN_USE_SECS);
        let work = self.sums.values().map(|known| decayed(*known, now)).sum();
        let mut workspaces = u32::try_from(self.sums.len()).unwrap_or(u32::MAX);
        for workspace in waiting {
            if !self.sums.contains_key(&workspace.cloned()) {
                workspaces += 1;
            }
        }
        Total { work, workspaces }
    }

    /// Returns how far a workspace is above its equal share: its use as a multiple of the mean
    /// use of the others, and zero if it is not far above or alone.
    pub(super) fn excess(
        &self,
        now: time::Instant,
        workspace: Option<&id::Workspace>,
        total: Total,
    ) -> f64 {
        let others = total.workspaces.saturating_sub(1);
        let Some(known) = self.sums.get(&workspace.cloned()) else {
            return 0.0;
        };
        if others == 0 {
            return 0.0;
        }
        let used = decayed(*known, now);
        let mean = (total.work - used).max(0.0) / f64::from(others);
        let ratio = used / mean.max(MIN_USE_SECS);
        if ratio > TOLERATED_RATIO { ratio } else { 0.0 }
    }
}

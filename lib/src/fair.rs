//! Weighted fair queueing between workspaces, measured in tokens.
//!
//! This is start-time fair queueing: the virtual start time of a workspace
//! advances by the tokens of each request served, divided by the workspace's
//! share. The workspace with the earliest start time is served next; within a
//! workspace the earliest deadline goes first. Every operation takes logarithmic
//! time.

use std::collections::{BTreeMap, BTreeSet};

use crate::{id, time};

/// Units of virtual time that one token takes at a share of one.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1 << 20;

/// The properties of a waiting request that decide its order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The request.
    pub id: id::Request,
    /// Its workspace.
    pub workspace: id::Workspace,
    /// Fair-share weight of the workspace; it gets service in proportion.
    pub share: u32,
    /// Deadline by which it is ordered within its workspace.
    pub deadline: time::Instant,
    /// Its cost in tokens.
    pub cost: u64,
}

/// The backlog and virtual start time of one workspace.
#[derive(Clone, Debug, Default)]
struct Flow {
    share: u64,
    virtual_start: u64,
    /// Cost of the waiting requests.
    tokens: u64,
    /// Cost in tokens of each waiting request, earliest deadline first.
    items: BTreeMap<(time::Instant, id::Request), u64>,
}

impl Flow {
    /// Returns the virtual time that serving all waiting requests takes.
    fn relative_backlog(&self) -> u64 {
        self.tokens.saturating_mul(VIRTUAL_TIME_PER_TOKEN) / self.share.max(1)
    }
}

/// A queue that serves workspaces in proportion to their shares.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Latest virtual start time of the requests served so far.
    virtual_time: u64,
    /// Cost of all waiting requests.
    tokens: u64,
    /// Sum of the shares of the workspaces with waiting requests.
    active_shares: u64,
    len: usize,
    flows: BTreeMap<id::Workspace, Flow>,
    /// Workspaces with waiting requests, by virtual start time.
    by_start: BTreeSet<(u64, id::Workspace)>,
    /// Workspaces without waiting requests, by virtual start time.
    idle_by_start: BTreeSet<(u64, id::Workspace)>,
    /// Workspaces with waiting requests, by backlog relative to the share.
    by_backlog: BTreeSet<(u64, id::Workspace)>,
}

impl Queue {
    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the cost of all waiting requests in tokens.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Adds a request.
    pub fn push(&mut self, item: &Item) {
        let mut flow = self.remove_flow(&item.workspace);
        if flow.items.is_empty() {
            flow.virtual_start = flow.virtual_start.max(self.virtual_time);
        }
        flow.share = u64::from(item.share.max(1));
        flow.tokens += item.cost;
        flow.items.insert((item.deadline, item.id), item.cost);
        self.tokens += item.cost;
        self.len += 1;
        self.insert_flow(item.workspace.clone(), flow);
    }

    /// Returns the request to be served next.
    #[must_use]
    pub fn peek(&self) -> Option<id::Request> {
        let (_, workspace) = self.by_start.first()?;
        let flow = self.flows.get(workspace)?;
        flow.items.first_key_value().map(|(&(_, id), _)| id)
    }

    /// Removes the request to be served next and charges its workspace.
    pub fn pop(&mut self) -> Option<id::Request> {
        let (virtual_start, workspace) = self.by_start.first()?.clone();
        let mut flow = self.remove_flow(&workspace);
        self.virtual_time = self.virtual_time.max(virtual_start);
        let popped = flow.items.pop_first();
        if let Some(((_, _), cost)) = popped {
            flow.virtual_start += cost.saturating_mul(VIRTUAL_TIME_PER_TOKEN) / flow.share.max(1);
            flow.tokens -= cost;
            self.tokens -= cost;
            self.len -= 1;
        }
        self.insert_flow(workspace, flow);
        self.drop_idle();
        popped.map(|((_, id), _)| id)
    }

    /// Removes a request without charging its workspace; returns whether it waited.
    pub fn remove(&mut self, item: &Item) -> bool {
        let mut flow = self.remove_flow(&item.workspace);
        let removed = flow.items.remove(&(item.deadline, item.id));
        if let Some(cost) = removed {
            flow.tokens -= cost;
            self.tokens -= cost;
            self.len -= 1;
        }
        self.insert_flow(item.workspace.clone(), flow);
        self.drop_idle();
        removed.is_some()
    }

    /// Returns the request to evict first: the one with the latest deadline in
    /// the workspace with the largest backlog relative to its share.
    #[must_use]
    pub fn victim(&self) -> Option<id::Request> {
        let (_, workspace) = self.by_backlog.last()?;
        let flow = self.flows.get(workspace)?;
        flow.items.last_key_value().map(|(&(_, id), _)| id)
    }

    /// Returns an upper bound of the tokens that are served before a new request
    /// of this workspace.
    #[must_use]
    pub fn tokens_ahead(&self, workspace: &id::Workspace, share: u32) -> u64 {
        let share = u64::from(share.max(1));
        let (workspace_tokens, shares) = match self.flows.get(workspace) {
            Some(flow) if !flow.items.is_empty() => (flow.tokens, self.active_shares),
            _ => (0, self.active_shares + share),
        };
        let tokens = u128::from(workspace_tokens) * u128::from(shares) / u128::from(share);
        u64::try_from(tokens).unwrap_or(u64::MAX).min(self.tokens)
    }

    /// Returns the number of workspaces for which a virtual start time is kept.
    #[must_use]
    pub fn tracked_workspaces(&self) -> usize {
        self.flows.len()
    }

    /// Removes a workspace from the indexes, so that it can be changed.
    fn remove_flow(&mut self, workspace: &id::Workspace) -> Flow {
        let Some(flow) = self.flows.remove(workspace) else {
            return Flow::default();
        };
        let key = (flow.virtual_start, workspace.clone());
        if flow.items.is_empty() {
            self.idle_by_start.remove(&key);
        } else {
            self.by_start.remove(&key);
            self.by_backlog.remove(&(flow.relative_backlog(), key.1));
            self.active_shares -= flow.share;
        }
        flow
    }

    /// Inserts a workspace into the indexes.
    fn insert_flow(&mut self, workspace: id::Workspace, flow: Flow) {
        if flow.items.is_empty() {
            self.idle_by_start
                .insert((flow.virtual_start, workspace.clone()));
        } else {
            self.by_start
                .insert((flow.virtual_start, workspace.clone()));
            self.by_backlog
                .insert((flow.relative_backlog(), workspace.clone()));
            self.active_shares += flow.share;
        }
        self.flows.insert(workspace, flow);
    }

    /// Drops idle workspaces whose start time has passed: one that returns
    /// starts at the current virtual time anyway.
    fn drop_idle(&mut self) {
        if self.is_empty() {
            *self = Self::default();
            return;
        }
        while let Some((virtual_start, _)) = self.idle_by_start.first() {
            if *virtual_start > self.virtual_time {
                return;
            }
            if let Some((_, workspace)) = self.idle_by_start.pop_first() {
                self.flows.remove(&workspace);
            }
        }
    }
}

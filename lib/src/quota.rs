//! Quotas of workspaces, for all nodes together.
//!
//! Every node keeps its own copy of each workspace's token bucket and takes
//! off what the others say they admitted. As long as the rest covers what they
//! may have admitted since, a node admits freely; after that it uses only its
//! part of the rest between two messages, by its part of the demand, so that
//! several nodes do not use the same units.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    id,
    plan::{Quota, Unit},
    time,
};

/// Part of the demand that is taken as equal between the nodes, so that a
/// node without recent demand can admit a first request.
const EQUAL_PART: f64 = 0.2;

/// Time over which demand is averaged.
const DEMAND_SPAN: Duration = Duration::from_secs(3);

/// Time without a message after which a node is taken to use its whole part.
const SILENCE: Duration = Duration::from_millis(1500);

/// Part of the bucket that a node which knows nothing of the past starts with;
/// the rest may have been used before.
const INITIAL_PART: f64 = 0.1;

/// Time after which a node has heard what the others use.
const SETTLED: Duration = Duration::from_secs(5);

/// Part of the rate below which a workspace's demand leaves its bucket full.
const UNDER_PART: f64 = 0.8;

/// Part of the tolerated excess that is used; the rest covers what nodes admit
/// before they hear of each other.
const EXCESS_PART: f64 = 0.5;

/// Part of the tolerated part that the rate takes.
const STEADY_PART: f64 = 0.2;

/// Part of the burst that the bucket takes at the least.
const LEAST_BUCKET: f64 = 0.5;

/// Part of the bucket that must be left for a request larger than it.
const LARGE_PART: f64 = 0.5;

/// Shortest and longest time that a refused caller is told to stay away.
const WAIT: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// What operators tolerate beyond a quota.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tolerance {
    /// Part of rate and burst.
    pub part: f64,
    /// Units beyond that, in each window.
    pub excess: f64,
    /// The window; zero if a quota is a plain bucket.
    pub window: Duration,
}

impl Tolerance {
    /// Returns the rate and the size of a workspace's bucket.
    ///
    /// A workspace that asks for more all the time gets in each window what
    /// rate and burst give it, and a little of what is tolerated; the bucket
    /// takes the rest.
    fn bucket(&self, quota: &Quota) -> (f64, f64) {
        if self.window.is_zero() {
            return (quota.rate, quota.burst);
        }
        let window = self.window.as_secs_f64();
        let steady = (quota.rate + quota.burst / window) * (1.0 + self.part * STEADY_PART);
        let excess = match quota.unit {
            Unit::Tokens { .. } => self.excess * EXCESS_PART,
            Unit::Requests => 0.0,
        };
        let whole = (quota.rate * window + quota.burst) * (1.0 + self.part) + excess;
        let size = (whole - steady * window).max(quota.burst * LEAST_BUCKET);
        ((whole - size) / window, size)
    }
}

/// What one node tells the others about one workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Units admitted since the node's process started.
    pub admitted: f64,
    /// Units asked for a second, admitted or not.
    pub demand: f64,
}

/// Why a request was not admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exhausted {
    /// Units that are left to all nodes.
    pub level: f64,
    /// Units that this node used since it told the others.
    pub fresh: f64,
    /// This node's part of what is left.
    pub share: f64,
    /// Part of the rate that is left to nodes which are not heard.
    pub silent: f64,
    /// Time after which units may be free again.
    pub retry_after: Duration,
}

/// Use of one workspace at this node, and its copy of the bucket.
#[derive(Clone, Debug, Default)]
struct Account {
    /// Units that are left; below zero after a large request.
    level: Option<f64>,
    refilled: time::Instant,
    /// Rate and size, as they were used last.
    bucket: (f64, f64),
    own: Usage,
    measured: time::Instant,
    /// Units admitted since the others were told.
    fresh: f64,
}

impl Account {
    fn decay(&mut self, now: time::Instant) {
        let idle = now.since(self.measured).as_secs_f64();
        self.own.demand *= (-idle / DEMAND_SPAN.as_secs_f64()).exp();
        self.measured = now;
    }

    /// Brings the bucket up to date; `silent` is the part of the rate that is
    /// left to nodes which are not heard.
    fn refill(&mut self, now: time::Instant, silent: f64, initial: f64) -> f64 {
        let idle = now.since(self.refilled).as_secs_f64();
        self.refilled = now;
        let (rate, size) = self.bucket;
        let level = match self.level {
            Some(level) => level + rate * (1.0 - silent).max(0.0) * idle,
            None => size * initial,
        };
        let level = level.min(size);
        self.level = Some(level);
        level
    }

    /// Takes off what another node admitted; a bucket that was not used yet
    /// starts low instead.
    fn take_off(&mut self, now: time::Instant, units: f64) {
        if self.level.is_some() {
            self.level = Some(self.refill(now, 0.0, 0.0) - units);
        }
    }
}

/// What another node last said.
#[derive(Clone, Debug, Default)]
struct Peer {
    incarnation: u64,
    heard: time::Instant,
    /// Whether it was not heard for so long that its part is left to it.
    silent: bool,
    usage: BTreeMap<id::Workspace, Usage>,
}

/// The quotas as one node sees them.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    tolerance: Tolerance,
    /// When other nodes were first known.
    started: Option<time::Instant>,
    accounts: BTreeMap<id::Workspace, Account>,
    peers: BTreeMap<id::Node, Peer>,
}

impl Ledger {
    /// Builds the ledger of a node that knows of no other.
    #[must_use]
    pub fn new(tolerance: Tolerance) -> Self {
        Self {
            tolerance,
            ..Self::default()
        }
    }

    /// Takes over a changed tolerance.
    pub fn agree(&mut self, tolerance: Tolerance) {
        self.tolerance = tolerance;
    }

    /// Takes over which other nodes there are.
    pub fn join(&mut self, now: time::Instant, nodes: &[id::Node]) {
        self.started.get_or_insert(now);
        let nodes: BTreeSet<&id::Node> = nodes.iter().collect();
        self.peers.retain(|node, _| nodes.contains(node));
        for node in nodes {
            if !self.peers.contains_key(node) {
                let peer = Peer {
                    heard: now,
                    ..Peer::default()
                };
                self.peers.insert(node.clone(), peer);
            }
        }
    }

    /// Takes over what another node says; `incarnation` differs between two
    /// processes of it.
    pub fn hear(
        &mut self,
        now: time::Instant,
        node: &id::Node,
        incarnation: u64,
        usage: BTreeMap<id::Workspace, Usage>,
    ) {
        let left = self.left_to(now, node);
        let peer = self.peers.entry(node.clone()).or_default();
        let known = peer.incarnation == incarnation;
        // The first message of a process that is not known may be old.
        let first = peer.incarnation == 0;
        for (workspace, told) in &usage {
            let before = match peer.usage.get(workspace) {
                Some(before) if known => before.admitted,
                _ if first => told.admitted,
                _ => 0.0,
            };
            let account = self.accounts.entry(workspace.clone()).or_default();
            let left = left.get(workspace).copied().unwrap_or_default();
            account.take_off(now, (told.admitted - before - left).max(0.0));
        }
        peer.incarnation = incarnation;
        peer.heard = now;
        peer.silent = false;
        peer.usage = usage;
    }

    /// Returns what was left to a silent node since it was heard.
    fn left_to(&self, now: time::Instant, node: &id::Node) -> BTreeMap<id::Workspace, f64> {
        let mut left = BTreeMap::new();
        let Some(peer) = self.peers.get(node).filter(|peer| peer.silent) else {
            return left;
        };
        let span = now.since(peer.heard).as_secs_f64();
        for (workspace, account) in &self.accounts {
            let share = self.share(workspace, peer, account.own.demand);
            left.insert(workspace.clone(), account.bucket.0 * share * span);
        }
        left
    }

    /// Takes off what nodes that became silent may have used meanwhile.
    fn watch_silence(&mut self, now: time::Instant) {
        let mut silent = Vec::new();
        for (name, peer) in &mut self.peers {
            if !peer.silent && now.since(peer.heard) > SILENCE {
                peer.silent = true;
                silent.push(name.clone());
            }
        }
        for name in silent {
            for (workspace, units) in self.left_to(now, &name) {
                if let Some(account) = self.accounts.get_mut(&workspace) {
                    account.take_off(now, units);
                }
            }
        }
    }

    /// Returns what this node tells the others from here on.
    pub fn usage(&mut self, now: time::Instant) -> BTreeMap<id::Workspace, Usage> {
        self.watch_silence(now);
        let mut usage = BTreeMap::new();
        for (name, account) in &mut self.accounts {
            account.decay(now);
            account.fresh = 0.0;
            usage.insert(name.clone(), account.own);
        }
        usage
    }

    /// Admits a request of this many units.
    ///
    /// # Errors
    ///
    /// Fails with what the refusal is based on.
    pub fn admit(
        &mut self,
        now: time::Instant,
        workspace: &id::Workspace,
        quota: &Quota,
        cost: u64,
    ) -> Result<(), Exhausted> {
        #[expect(clippy::cast_precision_loss, reason = "requests are small")]
        let cost = cost as f64;
        let account = self.accounts.entry(workspace.clone()).or_default();
        account.decay(now);
        account.own.demand += cost / DEMAND_SPAN.as_secs_f64();
        let demand = account.own.demand;
        let (share, silent) = self.shares(workspace, demand);
        let unheard = self.unheard(now, workspace);
        let bucket = self.tolerance.bucket(quota);
        let initial = self.initial(now, workspace, bucket.0);
        let account = self.accounts.entry(workspace.clone()).or_default();
        account.bucket = bucket;
        let level = account.refill(now, silent, initial);
        // What was used since the others were told is off the level already.
        let left = level + account.fresh;
        let enough = level - unheard >= cost;
        let due = level >= cost.min(bucket.1 * LARGE_PART) && account.fresh < left * share;
        if !enough && !due {
            let missing = (cost - level).max(0.0) / bucket.0.max(1.0);
            let wait = Duration::try_from_secs_f64(missing).unwrap_or(WAIT.1);
            return Err(Exhausted {
                level,
                fresh: account.fresh,
                share,
                silent,
                retry_after: wait.clamp(WAIT.0, WAIT.1),
            });
        }
        account.level = Some(level - cost);
        account.fresh += cost;
        account.own.admitted += cost;
        Ok(())
    }

    /// Returns the part of a bucket that is there when this node uses it for
    /// the first time.
    fn initial(&self, now: time::Instant, workspace: &id::Workspace, rate: f64) -> f64 {
        let known = self.started.is_some_and(|start| now.since(start) > SETTLED);
        let (demand, _) = self.demand(workspace, 0.0);
        if known && demand < rate * UNDER_PART {
            return 1.0;
        }
        INITIAL_PART
    }

    /// Returns what the others may have admitted since they were heard.
    fn unheard(&self, now: time::Instant, workspace: &id::Workspace) -> f64 {
        let mut units = 0.0;
        for peer in self.peers.values() {
            if peer.silent {
                continue;
            }
            units += peer.demand(workspace) * now.since(peer.heard).as_secs_f64();
        }
        units
    }

    /// Returns this node's part of the demand, and the part of nodes that are
    /// not heard.
    fn shares(&self, workspace: &id::Workspace, own: f64) -> (f64, f64) {
        let mut silent = 0.0;
        for peer in self.peers.values() {
            if peer.silent {
                silent += self.share(workspace, peer, own);
            }
        }
        let (total, nodes) = self.demand(workspace, own);
        (part(own, total, nodes), silent)
    }

    /// Returns another node's part of the demand; `own` is this node's.
    fn share(&self, workspace: &id::Workspace, peer: &Peer, own: f64) -> f64 {
        let (total, nodes) = self.demand(workspace, own);
        part(peer.demand(workspace), total, nodes)
    }

    /// Returns the demand of all nodes, and their number.
    fn demand(&self, workspace: &id::Workspace, own: f64) -> (f64, f64) {
        let others = self.peers.values().map(|peer| peer.demand(workspace));
        let nodes = u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX);
        (own + others.sum::<f64>(), f64::from(nodes))
    }
}

impl Peer {
    fn demand(&self, workspace: &id::Workspace) -> f64 {
        self.usage.get(workspace).map_or(0.0, |usage| usage.demand)
    }
}

/// Returns the part of the rate for this demand.
fn part(demand: f64, total: f64, nodes: f64) -> f64 {
    let part = (demand / total.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0);
    EQUAL_PART / nodes + (1.0 - EQUAL_PART) * part
}

//! Workspace quotas, enforced by all nodes together.
//!
//! Every node keeps a copy of each workspace's token bucket and deducts what
//! the other nodes report as admitted. While the remaining units cover what the
//! others may have admitted since their last reports, a node admits freely.
//! Beyond that it uses, between two reports, no more than its share of the
//! remaining units, in proportion to its part of the demand, so that nodes do
//! not use the same units twice.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use xxhash_rust::xxh3;

use crate::{
    id,
    plan::{Quota, Unit},
    time,
};

/// Time for which a node's unused part of the rate is kept.
const CREDIT_TIME: Duration = Duration::from_secs(1);

/// Fraction of each share that is split equally between the nodes, so that a
/// node without recent demand can admit a first request.
const EQUAL_FRACTION: f64 = 0.2;

/// Time constant of the averaged demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(3);

/// Time without a report after which a node is assumed to use its whole share.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Fraction of the bucket that a node without knowledge of the past starts
/// with; the rest may already have been used.
const COLD_START_FRACTION: f64 = 0.1;

/// Time after which a node has received the usage of the other nodes.
const SETTLING_TIME: Duration = Duration::from_secs(5);

/// Fraction of the rate below which a workspace's demand leaves its bucket
/// full.
const LOW_DEMAND_FRACTION: f64 = 0.8;

/// Fraction of the tolerated excess that is used; the rest covers what nodes
/// admit before they receive each other's reports.
const USED_EXCESS_FRACTION: f64 = 0.5;

/// Fraction of the relative tolerance that is added to the rate.
const RATE_TOLERANCE_FRACTION: f64 = 0.2;

/// Minimum size of the bucket, as a fraction of the burst.
const MIN_BUCKET_FRACTION: f64 = 0.5;

/// Fraction of the bucket that must be available for a request larger than
/// that.
const LARGE_REQUEST_FRACTION: f64 = 0.5;

/// Minimum and maximum `retry_after` of a refusal.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// Use beyond a quota that operators tolerate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tolerance {
    /// Tolerated excess as a fraction of rate and burst.
    pub fraction: f64,
    /// Further tolerated units in each window.
    pub excess: f64,
    /// Length of the window over which use is measured. If it is zero, a quota is
    /// a plain token bucket without tolerance.
    pub window: Duration,
}

impl Tolerance {
    /// Returns the rate, in units per second, and the size of a workspace's bucket.
    ///
    /// A workspace with constant excess demand gets in each window what rate
    /// and burst allow, plus a small part of the tolerance; the bucket's size
    /// takes up the rest.
    fn rate_and_size(&self, quota: &Quota) -> (f64, f64) {
        if self.window.is_zero() {
            return (quota.rate, quota.burst);
        }
        let window = self.window.as_secs_f64();
        let sustained =
            (quota.rate + quota.burst / window) * (1.0 + self.fraction * RATE_TOLERANCE_FRACTION);
        let excess = match quota.unit {
            Unit::Tokens { .. } => self.excess * USED_EXCESS_FRACTION,
            Unit::Requests => 0.0,
        };
        let window_total = (quota.rate * window + quota.burst) * (1.0 + self.fraction) + excess;
        let size = (window_total - sustained * window).max(quota.burst * MIN_BUCKET_FRACTION);
        ((window_total - size) / window, size)
    }
}

/// Use of one workspace at one node, as reported to the others.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Units admitted since the node's process started.
    pub admitted: f64,
    /// Requested units per second, whether admitted or not.
    pub demand: f64,
}

/// Figures on which the refusal of a request is based.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exhausted {
    /// Units left for all nodes.
    pub level: f64,
    /// Units that this node admitted since its last report to the others.
    pub unreported: f64,
    /// This node's share of the remaining units, as a fraction.
    pub share: f64,
    /// Fraction of the rate reserved for nodes whose reports have stopped.
    pub silent_share: f64,
    /// Time after which units may be available again.
    pub retry_after: Duration,
}

/// This node's copy of one workspace's token bucket, and its own use of it.
#[derive(Clone, Debug, Default)]
struct Bucket {
    /// Remaining units, negative after a large request; `None` until this node
    /// first uses the bucket.
    level: Option<f64>,
    refilled: time::Instant,
    /// Units per second and size, as of the last request.
    rate_and_size: (f64, f64),
    own_usage: Usage,
    demand_updated: time::Instant,
    /// Units admitted since the last report to the others.
    unreported: f64,
    /// This node's part of the rate that it has not used; `None` until it is needed.
    credit: Option<f64>,
    credit_updated: time::Instant,
}

impl Bucket {
    /// Decays the averaged demand to the present.
    fn decay(&mut self, now: time::Instant) {
        let idle = now.since(self.demand_updated).as_secs_f64();
        self.own_usage.demand *= (-idle / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();
        self.demand_updated = now;
    }

    /// Refills the bucket for the time since the last refill and returns its
    /// level. `silent` is the fraction of the rate reserved for silent nodes,
    /// `initial` the fraction of the size that an unused bucket starts with.
    fn refill(&mut self, now: time::Instant, silent: f64, initial: f64) -> f64 {
        let idle = now.since(self.refilled).as_secs_f64();
        self.refilled = now;
        let (rate, size) = self.rate_and_size;
        let level = match self.level {
            Some(level) => level + rate * (1.0 - silent).max(0.0) * idle,
            None => size * initial,
        };
        let level = level.min(size);
        self.level = Some(level);
        level
    }

    /// Adds this node's `share` of the rate since the last call to its credit, and returns
    /// it. A credit is opened with a debt of `part` of `cost`, so that nodes that open
    /// theirs together don't spend them at the same time.
    fn accrue_credit(&mut self, now: time::Instant, share: f64, cost: f64, part: f64) -> f64 {
        let idle = now.since(self.credit_updated).as_secs_f64();
        self.credit_updated = now;
        // The more was used beyond the quota, the less is added. A sharp limit would make
        // all nodes wait and then go on at the same time.
        let (rate, size) = self.rate_and_size;
        let level = self.level.unwrap_or_default();
        let own_rate = rate * share * (1.0 + level / size.max(1.0)).clamp(0.0, 1.0);
        let credit = match self.credit {
            Some(credit) => credit + own_rate * idle,
            None => -cost * part,
        };
        let credit = credit.min(own_rate * CREDIT_TIME.as_secs_f64());
        self.credit = Some(credit);
        credit
    }

    /// Deducts what another node admitted. A bucket that this node has not used
    /// yet stays unchanged: its initial level allows for such use (see
    /// [`Limiter::initial_fraction`]).
    fn deduct(&mut self, now: time::Instant, units: f64) {
        if self.level.is_some() {
            self.level = Some(self.refill(now, 0.0, 0.0) - units);
        }
    }
}

/// The last report of another node.
#[derive(Clone, Debug, Default)]
struct Peer {
    /// Identifies the node's process; zero until its first report.
    incarnation: u64,
    /// When its last report arrived, or when the node was first listed.
    last_report_at: time::Instant,
    /// Whether its reports have stopped for so long that its share is reserved.
    silent: bool,
    /// Whether it reports on nodes of this data centre.
    is_local: bool,
    usage: BTreeMap<id::Workspace, Usage>,
    /// Units that it reported since its first report here.
    received: BTreeMap<id::Workspace, f64>,
}

/// One node's view of all quotas.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    tolerance: Tolerance,
    /// Time at which the list of nodes was first set.
    started: Option<time::Instant>,
    buckets: BTreeMap<id::Workspace, Bucket>,
    peers: BTreeMap<id::Node, Peer>,
    /// Nodes that share the quotas, if not each of them reports here.
    node_count: Option<usize>,
    /// Age of what a report contains when it arrives.
    report_age: Duration,
    /// Differs between the nodes, so that they don't use their credits together.
    seed: u64,
    /// Units that peers reported which report here no more, those of this data centre
    /// first.
    retired: [BTreeMap<id::Workspace, f64>; 2],
}

/// The nodes on whose usage a report is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Coverage {
    /// Nodes of this data centre.
    Local,
    /// Nodes of another data centre.
    Remote,
    /// All other nodes; it is not passed on.
    Fleet,
}

/// Whose usage is summed up for a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Audience<'a> {
    /// Another data centre: the usage of the nodes of this one.
    DataCentre,
    /// A node of this data centre: the usage of all others.
    Node(&'a id::Node),
}

impl Limiter {
    /// Creates the limiter of a node that knows no other nodes.
    #[must_use]
    pub fn new(tolerance: Tolerance) -> Self {
        Self {
            tolerance,
            ..Self::default()
        }
    }

    /// Replaces the tolerance.
    pub fn set_tolerance(&mut self, tolerance: Tolerance) {
        self.tolerance = tolerance;
    }

    /// Sets the other nodes of the cluster.
    pub fn set_peers(&mut self, now: time::Instant, nodes: &[id::Node]) {
        self.started.get_or_insert(now);
        let nodes: BTreeSet<&id::Node> = nodes.iter().collect();
        self.peers.retain(|node, _| nodes.contains(node));
        for node in nodes {
            if !self.peers.contains_key(node) {
                let peer = Peer {
                    last_report_at: now,
                    ..Peer::default()
                };
                self.peers.insert(node.clone(), peer);
            }
        }
    }

    /// Sets the peers that report here, on themselves or on other nodes as well, and the
    /// number of all nodes; `age` is that of what a report contains when it arrives. A single new reporter takes the place of those before: until
    /// its first report, the demand that they reported is taken as its own.
    pub fn set_reporters(
        &mut self,
        now: time::Instant,
        nodes: &[id::Node],
        node_count: usize,
        age: Duration,
    ) {
        self.node_count = Some(node_count);
        self.report_age = age;
        let mut inherited = None;
        if let [reporter] = nodes
            && !self.peers.contains_key(reporter)
        {
            let mut usage: BTreeMap<id::Workspace, Usage> = BTreeMap::new();
            for peer in self.peers.values() {
                for (workspace, reported) in &peer.usage {
                    usage.entry(workspace.clone()).or_default().demand += reported.demand;
                }
            }
            inherited = Some((reporter.clone(), usage));
        }
        let kept: BTreeSet<&id::Node> = nodes.iter().collect();
        for (name, peer) in &self.peers {
            if kept.contains(name) {
                continue;
            }
            let retired = &mut self.retired[usize::from(!peer.is_local)];
            for (workspace, units) in &peer.received {
                *retired.entry(workspace.clone()).or_default() += units;
            }
        }
        self.set_peers(now, nodes);
        if let Some((name, usage)) = inherited
            && let Some(peer) = self.peers.get_mut(&name)
        {
            peer.usage = usage;
        }
    }

    /// Sets a number that differs between the nodes.
    pub fn set_seed(&mut self, seed: u64) {
        self.seed = seed;
    }

    /// Makes each of the listed peers report for itself again.
    pub fn set_all_reporting(&mut self) {
        self.node_count = None;
        self.report_age = Duration::ZERO;
    }

    /// Returns the summed usage for a report to others. What is admitted grows only, as
    /// long as this process lives.
    #[must_use]
    pub fn summed_usage(&self, audience: Audience<'_>) -> BTreeMap<id::Workspace, Usage> {
        let mut sums: BTreeMap<id::Workspace, Usage> = BTreeMap::new();
        for (workspace, bucket) in &self.buckets {
            sums.insert(workspace.clone(), bucket.own_usage);
        }
        let includes_remote = audience != Audience::DataCentre;
        for (retired, is_included) in self.retired.iter().zip([true, includes_remote]) {
            for (workspace, units) in retired.iter().filter(|_| is_included) {
                sums.entry(workspace.clone()).or_default().admitted += units;
            }
        }
        for (name, peer) in &self.peers {
            if Audience::Node(name) == audience || !(peer.is_local || includes_remote) {
                continue;
            }
            for (workspace, units) in &peer.received {
                sums.entry(workspace.clone()).or_default().admitted += units;
            }
            for (workspace, usage) in &peer.usage {
                sums.entry(workspace.clone()).or_default().demand += usage.demand;
            }
        }
        sums
    }

    /// Applies another node's report on itself. `incarnation` differs between processes
    /// of the same node.
    pub fn record_peer_usage(
        &mut self,
        now: time::Instant,
        node: &id::Node,
        incarnation: u64,
        usage: BTreeMap<id::Workspace, Usage>,
    ) {
        self.record_report(now, node, incarnation, Coverage::Local, usage);
    }

    /// Applies a report on the nodes that it covers.
    pub fn record_report(
        &mut self,
        now: time::Instant,
        node: &id::Node,
        incarnation: u64,
        coverage: Coverage,
        usage: BTreeMap<id::Workspace, Usage>,
    ) {
        let reserved = self.reserved_for(now, node);
        let peer = self.peers.entry(node.clone()).or_default();
        let same_process = peer.incarnation == incarnation;
        // The first report from a node may cover units that were admitted long
        // ago.
        let first_report = peer.incarnation == 0;
        for (workspace, reported) in &usage {
            let before = match peer.usage.get(workspace) {
                Some(before) if same_process => before.admitted,
                // A reporter that took the place of others may have admitted since.
                Some(before) if first_report => {
                    let gap = now.since(peer.last_report_at).as_secs_f64();
                    (reported.admitted - before.demand * gap).max(0.0)
                }
                _ if first_report => reported.admitted,
                _ => 0.0,
            };
            let units = (reported.admitted - before).max(0.0);
            if coverage != Coverage::Fleet {
                *peer.received.entry(workspace.clone()).or_default() += units;
            }
            let bucket = self.buckets.entry(workspace.clone()).or_default();
            let reserved = reserved.get(workspace).copied().unwrap_or_default();
            bucket.deduct(now, (units - reserved).max(0.0));
        }
        peer.is_local = coverage != Coverage::Remote;
        peer.incarnation = incarnation;
        peer.last_report_at = now;
        peer.silent = false;
        peer.usage = usage;
    }

    /// Returns the units reserved for a node since its last report, by workspace;
    /// none unless the node is silent.
    fn reserved_for(&self, now: time::Instant, node: &id::Node) -> BTreeMap<id::Workspace, f64> {
        let mut reserved = BTreeMap::new();
        let Some(peer) = self.peers.get(node).filter(|peer| peer.silent) else {
            return reserved;
        };
        let span = now.since(peer.last_report_at).as_secs_f64();
        for (workspace, bucket) in &self.buckets {
            let share = self.share(workspace, peer, bucket.own_usage.demand);
            reserved.insert(workspace.clone(), bucket.rate_and_size.0 * share * span);
        }
        reserved
    }

    /// Marks nodes whose reports have stopped as silent and deducts what they
    /// may have used since their last report.
    fn mark_silent_peers(&mut self, now: time::Instant) {
        let mut silent = Vec::new();
        for (name, peer) in &mut self.peers {
            if !peer.silent && now.since(peer.last_report_at) > SILENCE_TIMEOUT {
                peer.silent = true;
                silent.push(name.clone());
            }
        }
        for name in silent {
            for (workspace, units) in self.reserved_for(now, &name) {
                if let Some(bucket) = self.buckets.get_mut(&workspace) {
                    bucket.deduct(now, units);
                }
            }
        }
    }

    /// Returns this node's usage for the next report to the others.
    pub fn take_usage(&mut self, now: time::Instant) -> BTreeMap<id::Workspace, Usage> {
        self.mark_silent_peers(now);
        let mut usage = BTreeMap::new();
        for (name, bucket) in &mut self.buckets {
            bucket.decay(now);
            bucket.unreported = 0.0;
            usage.insert(name.clone(), bucket.own_usage);
        }
        usage
    }

    /// Admits a request of this many units.
    ///
    /// # Errors
    ///
    /// Fails with the figures on which the refusal is based.
    pub fn admit(
        &mut self,
        now: time::Instant,
        workspace: &id::Workspace,
        quota: &Quota,
        cost: u64,
    ) -> Result<(), Exhausted> {
        #[expect(clippy::cast_precision_loss, reason = "requests are small")]
        let cost = cost as f64;
        let bucket = self.buckets.entry(workspace.clone()).or_default();
        bucket.decay(now);
        bucket.own_usage.demand += cost / DEMAND_TIME_CONSTANT.as_secs_f64();
        let demand = bucket.own_usage.demand;
        let (share, silent) = self.shares(workspace, demand);
        let peer_admissions = self.unreported_by_peers(now, workspace);
        let rate_and_size = self.tolerance.rate_and_size(quota);
        let initial = self.initial_fraction(now, workspace, rate_and_size.0);
        let is_relayed = self.node_count.is_some();
        let part = fraction(xxh3::xxh3_64_with_seed(
            workspace.as_str().as_bytes(),
            self.seed,
        ));
        let bucket = self.buckets.entry(workspace.clone()).or_default();
        bucket.rate_and_size = rate_and_size;
        let level = bucket.refill(now, silent, initial);
        // `level` no longer contains what was admitted since the last report.
        let level_at_report = level + bucket.unreported;
        let covered = level - peer_admissions >= cost;
        let is_left = level >= cost.min(rate_and_size.1 * LARGE_REQUEST_FRACTION);
        let within_share = if is_relayed {
            // Hundreds of nodes may admit one request each before they learn of each
            // other's, so that each keeps to its part of the rate.
            bucket.accrue_credit(now, share, cost, part) > 0.0
        } else {
            is_left && bucket.unreported < level_at_report * share
        };
        if !covered && !within_share {
            let missing = (cost - level).max(0.0) / rate_and_size.0.max(1.0);
            let wait = Duration::try_from_secs_f64(missing).unwrap_or(RETRY_AFTER.1);
            return Err(Exhausted {
                level,
                unreported: bucket.unreported,
                share,
                silent_share: silent,
                retry_after: wait.clamp(RETRY_AFTER.0, RETRY_AFTER.1),
            });
        }
        if let Some(credit) = &mut bucket.credit
            && !covered
        {
            *credit -= cost;
        }
        bucket.level = Some(level - cost);
        bucket.unreported += cost;
        bucket.own_usage.admitted += cost;
        Ok(())
    }

    /// Returns the fraction of the bucket that is available when this node
    /// first uses it.
    fn initial_fraction(&self, now: time::Instant, workspace: &id::Workspace, rate: f64) -> f64 {
        let settled = self
            .started
            .is_some_and(|start| now.since(start) > SETTLING_TIME);
        let (demand, _) = self.demand(workspace, 0.0);
        if settled && demand < rate * LOW_DEMAND_FRACTION {
            return 1.0;
        }
        COLD_START_FRACTION
    }

    /// Returns the units that the other nodes may have admitted since their
    /// last reports.
    fn unreported_by_peers(&self, now: time::Instant, workspace: &id::Workspace) -> f64 {
        let mut units = 0.0;
        for peer in self.peers.values() {
            if peer.silent {
                continue;
            }
            let age = now.since(peer.last_report_at) + self.report_age;
            units += peer.demand(workspace) * age.as_secs_f64();
        }
        units
    }

    /// Returns this node's share and the sum of the silent nodes' shares;
    /// `own_demand` is this node's demand.
    fn shares(&self, workspace: &id::Workspace, own_demand: f64) -> (f64, f64) {
        let mut silent = 0.0;
        for peer in self.peers.values() {
            if peer.silent {
                silent += self.share(workspace, peer, own_demand);
            }
        }
        let (total, nodes) = self.demand(workspace, own_demand);
        (demand_share(own_demand, total, nodes), silent)
    }

    /// Returns another node's share; `own_demand` is this node's demand.
    fn share(&self, workspace: &id::Workspace, peer: &Peer, own_demand: f64) -> f64 {
        let (total, nodes) = self.demand(workspace, own_demand);
        demand_share(peer.demand(workspace), total, nodes)
    }

    /// Returns the demand of all nodes, in units per second, and their number.
    fn demand(&self, workspace: &id::Workspace, own_demand: f64) -> (f64, f64) {
        let others = self.peers.values().map(|peer| peer.demand(workspace));
        let nodes = self.node_count.unwrap_or(self.peers.len() + 1).max(1);
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
        (own_demand + others.sum::<f64>(), f64::from(nodes))
    }
}

impl Peer {
    fn demand(&self, workspace: &id::Workspace) -> f64 {
        self.usage.get(workspace).map_or(0.0, |usage| usage.demand)
    }
}

/// Converts a hash to a number from zero to one.
#[expect(clippy::cast_precision_loss, reason = "a random part")]
fn fraction(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}

/// Returns the share of a node with this demand: a part that is equal for all
/// nodes and a part in proportion to the demand.
pub(crate) fn demand_share(demand: f64, total: f64, nodes: f64) -> f64 {
    let part = (demand / total.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0);
    EQUAL_FRACTION / nodes + (1.0 - EQUAL_FRACTION) * part
}

//! Quotas of workspaces over a sliding window, for all nodes together.
//!
//! Nodes tell each other what they admitted in the window. Between two such
//! messages a node uses only its part of what is left, by its part of the
//! demand, so that several nodes do not use the same rest.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::{id, plan::Quota, time};

/// Parts that the window is counted in; a finer count frees units sooner.
const PARTS: u32 = 32;

/// Part of the demand that is taken as equal between the nodes, so that a
/// node without recent demand can admit a first request.
const EQUAL_PART: f64 = 0.2;

/// Time over which demand is averaged.
const DEMAND_SPAN: Duration = Duration::from_secs(3);

/// Time without a message after which a node is taken to use its whole part.
const SILENCE: Duration = Duration::from_millis(1500);

/// Longest time that a refused caller is told to stay away.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// What one node tells the others about one workspace.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Usage {
    /// Units admitted in the window.
    pub admitted: f64,
    /// Units asked for a second, admitted or not.
    pub demand: f64,
}

/// Use of one workspace at this node.
#[derive(Clone, Debug, Default)]
struct Account {
    parts: VecDeque<(u64, f64)>,
    demand: f64,
    measured: time::Instant,
    /// Units admitted since the others were told.
    fresh: f64,
}

impl Account {
    fn admitted(&self) -> f64 {
        self.parts.iter().map(|(_, units)| units).sum()
    }

    fn expire(&mut self, part: u64) {
        while let Some(&(first, _)) = self.parts.front() {
            if first + u64::from(PARTS) >= part {
                return;
            }
            self.parts.pop_front();
        }
    }

    fn decay(&mut self, now: time::Instant) {
        let idle = now.since(self.measured).as_secs_f64();
        self.demand *= (-idle / DEMAND_SPAN.as_secs_f64()).exp();
        self.measured = now;
    }
}

/// What another node last said.
#[derive(Clone, Debug, Default)]
struct Peer {
    heard: time::Instant,
    usage: BTreeMap<id::Workspace, Usage>,
}

/// The quotas as one node sees them.
#[derive(Clone, Debug)]
pub struct Ledger {
    window: Duration,
    accounts: BTreeMap<id::Workspace, Account>,
    peers: BTreeMap<id::Node, Peer>,
}

impl Ledger {
    /// Builds a ledger over a sliding window.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            accounts: BTreeMap::new(),
            peers: BTreeMap::new(),
        }
    }

    /// Takes over which other nodes there are.
    pub fn join(&mut self, now: time::Instant, nodes: &[id::Node]) {
        self.peers.retain(|node, _| nodes.contains(node));
        for node in nodes {
            let unheard = Peer {
                heard: now,
                usage: BTreeMap::new(),
            };
            self.peers.entry(node.clone()).or_insert(unheard);
        }
    }

    /// Takes over what another node says.
    pub fn hear(
        &mut self,
        now: time::Instant,
        node: &id::Node,
        usage: BTreeMap<id::Workspace, Usage>,
    ) {
        let peer = self.peers.entry(node.clone()).or_default();
        peer.heard = now;
        peer.usage = usage;
    }

    /// Returns what this node tells the others from here on.
    pub fn usage(&mut self, now: time::Instant) -> BTreeMap<id::Workspace, Usage> {
        let part = self.part(now);
        let mut usage = BTreeMap::new();
        for (name, account) in &mut self.accounts {
            account.expire(part);
            account.decay(now);
            account.fresh = 0.0;
            let told = Usage {
                admitted: account.admitted(),
                demand: account.demand,
            };
            usage.insert(name.clone(), told);
        }
        usage
    }

    /// Admits a request of this many units.
    ///
    /// # Errors
    ///
    /// Fails with the time after which units may be free again.
    pub fn admit(
        &mut self,
        now: time::Instant,
        workspace: &id::Workspace,
        quota: &Quota,
        cost: u64,
    ) -> Result<(), Duration> {
        #[expect(clippy::cast_precision_loss, reason = "requests are small")]
        let cost = cost as f64;
        let part = self.part(now);
        let span = DEMAND_SPAN.as_secs_f64();
        let account = self.accounts.entry(workspace.clone()).or_default();
        account.expire(part);
        account.decay(now);
        account.demand += cost / span;
        let own = Usage {
            admitted: account.admitted(),
            demand: account.demand,
        };
        let limit = quota.rate * self.window.as_secs_f64() + quota.burst;
        let (others, share) = self.others(now, workspace, &own, limit);
        let account = self.accounts.entry(workspace.clone()).or_default();
        let left = limit - own.admitted - others + account.fresh;
        if account.fresh >= left * share || own.admitted + others + cost > limit {
            let wait = (cost / quota.rate.max(1.0)).max(0.1);
            return Err(Duration::from_secs_f64(wait).min(MAX_WAIT));
        }
        account.fresh += cost;
        match account.parts.back_mut() {
            Some((last, units)) if *last == part => *units += cost,
            _ => account.parts.push_back((part, cost)),
        }
        Ok(())
    }

    /// Returns what the other nodes use, and this node's part of the demand.
    fn others(
        &self,
        now: time::Instant,
        workspace: &id::Workspace,
        own: &Usage,
        limit: f64,
    ) -> (f64, f64) {
        let nodes = f64::from(u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX));
        let unknown = Usage::default();
        let mut demand = own.demand;
        for peer in self.peers.values() {
            demand += peer.usage.get(workspace).unwrap_or(&unknown).demand;
        }
        let demand = demand.max(f64::MIN_POSITIVE);
        let share =
            |part: f64| EQUAL_PART / nodes + (1.0 - EQUAL_PART) * (part / demand).clamp(0.0, 1.0);
        let mut used = 0.0;
        for peer in self.peers.values() {
            let usage = peer.usage.get(workspace).unwrap_or(&unknown);
            if now.since(peer.heard) > SILENCE {
                used += usage.admitted.max(limit * share(usage.demand));
            } else {
                used += usage.admitted;
            }
        }
        (used, share(own.demand))
    }

    fn part(&self, now: time::Instant) -> u64 {
        let length = (self.window / PARTS).as_micros().max(1);
        u64::try_from(u128::from(now.as_micros()) / length).unwrap_or(u64::MAX)
    }
}

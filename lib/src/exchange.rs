//! Which nodes exchange heartbeats, and how often.
//!
//! In a small fleet each node sends heartbeats to all others. In a large one a node sends
//! them to a few *relays* of its data centre, the nodes that rank first there. The first
//! live one is the coordinator: it sums up what it receives, reports that to the relays
//! of the other data centres, and sends each node of its own one report on all others.
//! What a node sends and receives then does not grow with the fleet. A node that receives
//! nothing from relays, or a node that does not know this exchange, sends to all others again.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use derive_more::Display;

use crate::{era::Era, id};

/// Version of this exchange.
pub const VERSION: u16 = 1;

/// Relays of one data centre.
pub const RELAYS: usize = 3;

/// Shortest time between two heartbeats to a node of the same data centre, and to one of
/// another data centre, where traffic costs more.
const MIN_INTERVAL: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(200));

/// Time between two heartbeats from one coordinator to another: each carries the load of
/// its data centre on the endpoints that they share.
const COORDINATOR_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two heartbeats from a coordinator to the other relays of a data centre,
/// which may replace its coordinator.
const STANDBY_INTERVAL: Duration = Duration::from_millis(500);

/// Most heartbeats a second that a node sends to its own data centre, and to all others
/// together, or that a relay receives from its nodes; in a larger fleet the interval to
/// each node grows.
const MAX_PER_SECOND: u32 = 50;

/// Other nodes of the same data centre, and of all others, up to which each node sends
/// heartbeats to all.
const MESH_SIZE: (usize, usize) = (6, 12);

/// Whose use of quotas a heartbeat reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// That of the sender.
    #[default]
    Node,
    /// That of the nodes of its data centre.
    DataCentre,
    /// That of all nodes but the receiver.
    Fleet,
}

impl From<Scope> for u8 {
    fn from(scope: Scope) -> Self {
        match scope {
            Scope::Node => 0,
            Scope::DataCentre => 1,
            Scope::Fleet => 2,
        }
    }
}

impl From<u8> for Scope {
    /// A scope of a later version is treated as that of the sender alone.
    fn from(value: u8) -> Self {
        match value {
            1 => Self::DataCentre,
            2 => Self::Fleet,
            _ => Self::Node,
        }
    }
}

/// What a node last read from the source of the directory. A node with the same digest
/// need not read it by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct View {
    /// Hash of what matters of the directory.
    pub digest: u64,
    /// Number of the last read, counted by the process.
    pub number: u64,
    /// Time since that read was sent.
    pub age: Duration,
    /// Era of the source in that read.
    pub era: Era,
}

/// A node as the exchange sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: id::Node,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Whether its heartbeats stopped, or never came.
    pub is_silent: bool,
    /// Whether it is known not to know this exchange.
    pub is_older: bool,
}

/// Heartbeats to one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Time between two of them.
    pub interval: Duration,
    /// Whose usage they report.
    pub scope: Scope,
}

/// A node's part in the exchange.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum Role {
    /// It sends to all nodes, and each of them to it.
    #[default]
    #[display("mesh")]
    Mesh,
    /// It reports to the relays and receives the coordinator's report.
    #[display("leaf")]
    Leaf,
    /// It may replace the coordinator.
    #[display("standby")]
    Standby,
    /// It sums up its data centre.
    #[display("coordinator")]
    Coordinator,
}

/// To whom one node sends heartbeats.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// The node's part.
    pub role: Role,
    /// The nodes to which it sends.
    pub targets: BTreeMap<id::Node, Target>,
    /// The nodes from which it expects heartbeats, with the time between two of them.
    pub sources: BTreeMap<id::Node, Duration>,
}

/// Returns the time between two heartbeats to, or from, each of `nodes` nodes.
fn interval(shortest: Duration, nodes: usize) -> Duration {
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
    shortest.max(Duration::from_secs(1) * nodes / MAX_PER_SECOND)
}

/// Plans the exchange of the node `own`. `members` are all other nodes, those of each data
/// centre in the order in which they become coordinator; `rank` is the place of `own`
/// among those of its data centre. `coordinators` are the nodes that are known to decide.
#[must_use]
pub fn plan(
    own: (&id::Node, &id::DataCentre),
    rank: usize,
    members: &[Member],
    coordinators: &BTreeSet<id::Node>,
) -> Plan {
    let (local, remote): (Vec<&Member>, Vec<&Member>) = members
        .iter()
        .partition(|member| member.data_centre == *own.1);
    let is_small = local.len() <= MESH_SIZE.0 && remote.len() <= MESH_SIZE.1;
    let before = local.iter().take(rank);
    let is_first = before.clone().all(|member| member.is_silent);
    let live_before = before.filter(|member| !member.is_silent).count();
    let mut relays = local.iter().filter(|member| !member.is_silent);
    let has_relay = is_first || relays.clone().take(RELAYS).next().is_some();
    if is_small || !has_relay || members.iter().any(|member| member.is_older) {
        return mesh(own.0, &local, &remote, coordinators);
    }
    let mut plan = Plan::default();
    let local_interval = interval(MIN_INTERVAL.0, local.len());
    if live_before >= RELAYS {
        plan.role = Role::Leaf;
        for relay in relays.by_ref().take(RELAYS) {
            plan.add(&relay.name, local_interval, Scope::Node);
            plan.sources.insert(relay.name.clone(), local_interval);
        }
        return plan;
    }
    plan.role = if is_first {
        Role::Coordinator
    } else {
        Role::Standby
    };
    let scope = if is_first { Scope::Fleet } else { Scope::Node };
    for member in &local {
        plan.add(&member.name, local_interval, scope);
        plan.sources.insert(member.name.clone(), local_interval);
    }
    let mut by_data_centre: BTreeMap<&id::DataCentre, Vec<&Member>> = BTreeMap::new();
    for member in remote {
        by_data_centre
            .entry(&member.data_centre)
            .or_default()
            .push(member);
    }
    for remote in by_data_centre.values() {
        // The first one is always included: after a cut, both sides find each other by it.
        let live = remote.iter().skip(1).filter(|member| !member.is_silent);
        let relays = remote.iter().take(1).chain(live).take(RELAYS);
        let presumed = relays.clone().find(|member| !member.is_silent);
        for relay in relays {
            let is_coordinator = presumed.is_some_and(|presumed| presumed.name == relay.name);
            let interval = if is_coordinator {
                COORDINATOR_INTERVAL
            } else {
                STANDBY_INTERVAL
            };
            if is_first {
                plan.add(&relay.name, interval, Scope::DataCentre);
            }
            if is_coordinator {
                plan.sources.insert(relay.name.clone(), STANDBY_INTERVAL);
            }
        }
    }
    plan
}

impl Plan {
    /// Returns the longest time between two heartbeats to a node: what a report over relays
    /// contains is that old on arrival.
    #[must_use]
    pub fn longest_interval(&self) -> Duration {
        let intervals = self.targets.values().map(|target| target.interval);
        intervals.max().unwrap_or_default()
    }

    fn add(&mut self, name: &id::Node, interval: Duration, scope: Scope) {
        self.targets
            .insert(name.clone(), Target { interval, scope });
    }
}

/// Plans heartbeats to all other nodes.
fn mesh(
    own: &id::Node,
    local: &[&Member],
    remote: &[&Member],
    coordinators: &BTreeSet<id::Node>,
) -> Plan {
    let mut plan = Plan::default();
    let is_coordinator = coordinators.contains(own);
    let groups = [(local, MIN_INTERVAL.0), (remote, MIN_INTERVAL.1)];
    for (group, shortest) in groups {
        let usual = interval(shortest, group.len());
        for member in group {
            let interval = if is_coordinator && coordinators.contains(&member.name) {
                COORDINATOR_INTERVAL
            } else {
                usual
            };
            plan.add(&member.name, interval, Scope::Node);
            plan.sources.insert(member.name.clone(), usual);
        }
    }
    plan
}

//! Who sends heartbeats to whom.

use std::{collections::BTreeSet, time::Duration};

use dottereltally_lib::{
    exchange::{Member, Plan, RELAYS, Role, Scope, plan},
    id,
};
use rstest::rstest;

/// Data centres of the fleets in these tests.
const DATA_CENTRES: usize = 5;

/// Time within which a fact must be known to all nodes of a fleet of 350.
const LONGEST_AGE: Duration = Duration::from_secs(3);

/// Most heartbeats a second that a node without a special part sends and receives.
const MOST_AT_LEAF: f64 = 5.0;

/// Most heartbeats a second that a coordinator sends or receives; as many as each node
/// sent and received before.
const MOST_AT_COORDINATOR: f64 = 125.0;

struct Fleet {
    /// All nodes, those of each data centre in the order of their rank.
    nodes: Vec<Member>,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let mut nodes = Vec::new();
        for data_centre in 0..DATA_CENTRES {
            for number in 0..count / DATA_CENTRES {
                nodes.push(Member {
                    name: id::Node::from(format!("n{data_centre}-{number:03}")),
                    data_centre: id::DataCentre::from(format!("dc{data_centre}")),
                    is_silent: false,
                    is_older: false,
                });
            }
        }
        Self { nodes }
    }

    fn index(&self, name: &str) -> usize {
        let mut nodes = self.nodes.iter();
        nodes.position(|node| node.name.as_str() == name).unwrap()
    }

    /// Returns the plan of a node that knows all others.
    fn plan(&self, index: usize) -> Plan {
        let own = &self.nodes[index];
        let before = self.nodes[..index].iter();
        let rank = before.filter(|node| node.data_centre == own.data_centre);
        let mut others = self.nodes.clone();
        others.remove(index);
        let id = (&own.name, &own.data_centre);
        plan(id, rank.count(), &others, &BTreeSet::new())
    }

    /// Returns the longest time in which a fact of a node reaches another one, if each
    /// heartbeat is received.
    fn age(&self, from: usize, to: usize) -> Duration {
        let coordinator = |index: usize| {
            let data_centre = &self.nodes[index].data_centre;
            let nodes = self.nodes.iter();
            let mut ranked = nodes.filter(|node| node.data_centre == *data_centre);
            self.index(ranked.next().unwrap().name.as_str())
        };
        let mut path = vec![from, coordinator(from), coordinator(to), to];
        path.dedup();
        let hops = path.windows(2);
        hops.map(|hop| self.plan(hop[0]).targets[&self.nodes[hop[1]].name].interval)
            .sum()
    }
}

fn per_second<'a>(intervals: impl Iterator<Item = &'a Duration>) -> f64 {
    intervals.map(|interval| 1.0 / interval.as_secs_f64()).sum()
}

/// In a small fleet, each node sends to all others.
#[test]
fn a_small_fleet_uses_no_relays() {
    let mut fleet = Fleet::new(10);
    fleet.nodes.truncate(8);
    let planned = fleet.plan(3);
    assert_eq!(planned.role, Role::Mesh);
    assert_eq!(planned.targets.len(), 7);
    assert!(
        planned
            .targets
            .values()
            .all(|target| target.scope == Scope::Node)
    );
}

/// Load of hundreds of nodes: what a node sends and receives does not grow with the fleet,
/// a coordinator does no more than each node did before, and facts are young.
#[rstest]
#[case(60)]
#[case(295)]
#[case(350)]
fn what_a_node_sends_does_not_grow_with_the_fleet(#[case] count: usize) {
    let fleet = Fleet::new(count);
    let mut received = vec![0.0; fleet.nodes.len()];
    let mut sent = Vec::new();
    let mut roles = Vec::new();
    for index in 0..fleet.nodes.len() {
        let planned = fleet.plan(index);
        sent.push(per_second(
            planned.targets.values().map(|target| &target.interval),
        ));
        for (name, target) in &planned.targets {
            received[fleet.index(name.as_str())] += 1.0 / target.interval.as_secs_f64();
        }
        roles.push(planned.role);
    }
    let mut most = [(0.0, 0.0); 2];
    for (index, role) in roles.iter().enumerate() {
        let (limit, most) = match role {
            Role::Leaf => (MOST_AT_LEAF, &mut most[0]),
            Role::Coordinator | Role::Standby => (MOST_AT_COORDINATOR, &mut most[1]),
            Role::Mesh => panic!("{count} nodes need relays"),
        };
        most.0 = f64::max(most.0, sent[index]);
        most.1 = f64::max(most.1, received[index]);
        // In a data centre of few nodes, the shortest interval sets the number.
        if count >= 295 {
            assert!(sent[index] <= limit, "{} sent by a {role}", sent[index]);
            assert!(
                received[index] <= limit,
                "{} received by a {role}",
                received[index]
            );
        }
    }
    let coordinators = roles.iter().filter(|role| **role == Role::Coordinator);
    assert_eq!(coordinators.count(), DATA_CENTRES);
    let last = fleet.nodes.len() - 1;
    let age = fleet.age(count / DATA_CENTRES - 1, last);
    println!(
        "{count} nodes: leaf {:?}, relay {:?} a second, oldest fact {age:?}",
        most[0], most[1]
    );
    assert!(age <= LONGEST_AGE, "{age:?}");
}

/// The next node by rank takes over from a coordinator that is silent.
#[test]
fn the_next_node_replaces_a_silent_coordinator() {
    let mut fleet = Fleet::new(60);
    assert_eq!(fleet.plan(0).role, Role::Coordinator);
    assert_eq!(fleet.plan(1).role, Role::Standby);
    assert_eq!(fleet.plan(RELAYS).role, Role::Leaf);
    fleet.nodes[0].is_silent = true;
    assert_eq!(fleet.plan(1).role, Role::Coordinator);
    assert_eq!(fleet.plan(RELAYS).role, Role::Standby);
    let leaf = fleet.plan(8);
    assert!(!leaf.targets.contains_key(&fleet.nodes[0].name));
    assert!(leaf.targets.contains_key(&fleet.nodes[RELAYS].name));
    // Another data centre still sends to the first one, which may come back.
    let far = fleet.plan(12);
    assert!(far.targets.contains_key(&fleet.nodes[0].name));
}

/// Nodes that receive nothing from relays, and nodes beside an older version, send to all others.
#[rstest]
#[case::no_relay(true, false)]
#[case::older_version(false, true)]
fn without_relays_each_node_sends_to_all(#[case] is_silent: bool, #[case] is_older: bool) {
    let mut fleet = Fleet::new(60);
    for node in &mut fleet.nodes[..11] {
        node.is_silent = is_silent;
    }
    fleet.nodes[20].is_older = is_older;
    let own = 11;
    let mut planned = fleet.plan(own);
    if is_silent {
        // The node itself ranks last, so that it is the only one left.
        assert_eq!(planned.role, Role::Coordinator);
        fleet.nodes[0].is_older = true;
        planned = fleet.plan(own);
    }
    assert_eq!(planned.role, Role::Mesh);
    assert_eq!(planned.targets.len(), fleet.nodes.len() - 1);
}

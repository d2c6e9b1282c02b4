//! Nodes agree on which of them are live, also after crashes, pauses, partitions
//! and loss of messages.

mod cluster;

use std::time::Duration;

use cluster::{Cluster, Network, scenario};
use dottereltally_lib::{
    id,
    membership::{
        Effect, Membership, Settings,
        heartbeat::{Heartbeat, Member, State},
    },
    time::Instant,
};
use rstest::rstest;

/// Seeds of the short randomised run.
const SEEDS: std::ops::Range<u64> = 0..40;

#[rstest]
fn nodes_agree_after_random_faults() {
    for seed in SEEDS {
        if let Err(failure) = scenario::run(Settings::default(), seed) {
            panic!("seed {seed}: {failure}");
        }
    }
}

#[rstest]
#[case(2)]
#[case(8)]
#[case(50)]
fn a_killed_node_is_dropped_everywhere(#[case] nodes: usize) {
    let mut cluster = agreed_cluster(nodes);
    cluster.kill(0);
    let took = cluster.run_until(scenario::DROP_LIMIT, |cluster| cluster.is_dropped(0));
    assert!(took.is_some(), "seed 1");
}

#[rstest]
#[case(8)]
#[case(50)]
fn a_leaving_node_is_dropped_everywhere(#[case] nodes: usize) {
    let mut cluster = agreed_cluster(nodes);
    cluster.leave(0);
    let took = cluster.run_until(scenario::LEAVE_LIMIT, |cluster| cluster.is_dropped(0));
    assert!(took.is_some(), "seed 1");
}

#[rstest]
#[case(8)]
#[case(50)]
fn a_generation_reaches_every_node(#[case] nodes: usize) {
    let mut cluster = agreed_cluster(nodes);
    cluster.configure(0, 1);
    let took = cluster.run_until(scenario::DISSEMINATION_LIMIT, |cluster| {
        cluster.is_configured(1)
    });
    assert!(took.is_some(), "seed 1");
}

#[rstest]
fn a_paused_node_does_not_drop_the_others() {
    let mut cluster = agreed_cluster(8);
    cluster.pause(0);
    cluster.run(Duration::from_secs(20));
    cluster.resume(0);
    assert!(
        cluster
            .run_until(scenario::AGREE_LIMIT, Cluster::agrees)
            .is_some(),
        "seed 1"
    );
    assert_eq!(cluster.counts.false_drops, 0, "seed 1");
}

#[rstest]
fn a_node_paused_beyond_the_retention_time_discards_its_table() {
    let mut cluster = agreed_cluster(8);
    cluster.pause(0);
    cluster.run(Settings::default().retention * 2);
    cluster.kill(7);
    cluster.resume(0);
    assert!(
        cluster
            .run_until(scenario::AGREE_LIMIT, Cluster::agrees)
            .is_some(),
        "seed 1"
    );
    // The resumed node discarded the six running nodes with its table; no other
    // node dropped a live one.
    assert_eq!(cluster.counts.false_drops, 6, "seed 1");
}

#[rstest]
fn a_partitioned_data_centre_keeps_its_own_nodes_and_rejoins() {
    let mut cluster = agreed_cluster(9);
    cluster.partition(&["plovdiv"]);
    assert!(
        cluster
            .run_until(scenario::AGREE_LIMIT, Cluster::agrees)
            .is_some(),
        "seed 1"
    );
    cluster.run(Duration::from_mins(5));
    cluster.partition(&[]);
    assert!(
        cluster
            .run_until(scenario::AGREE_LIMIT, Cluster::agrees)
            .is_some(),
        "seed 1"
    );
    assert_eq!(cluster.counts.false_drops, 0, "seed 1");
}

#[rstest]
fn a_lossy_network_causes_no_false_drops() {
    let mut cluster = agreed_cluster(8);
    cluster.network = Network {
        loss: 0.02,
        duplicate: 0.02,
        late: 0.02,
        delay: 1..20,
    };
    cluster.run(Duration::from_mins(10));
    assert_eq!(cluster.counts.false_drops, 0, "seed 1");
}

/// Returns a cluster of seed 1 whose nodes agree.
fn agreed_cluster(nodes: usize) -> Cluster {
    let mut cluster = Cluster::start(nodes, Settings::default(), 1);
    let took = cluster.run_until(scenario::AGREE_LIMIT, Cluster::agrees);
    assert!(took.is_some(), "seed 1");
    cluster
}

/// Returns the member record of a node.
fn member(name: &str, state: State) -> Member {
    Member {
        node: name.into(),
        data_centre: "plovdiv".into(),
        address: format!("{name}:1"),
        incarnation: 1,
        version: 0,
        state,
    }
}

/// Returns a heartbeat with updates about other nodes.
fn heartbeat(sender: &str, members: Vec<Member>) -> Heartbeat {
    Heartbeat {
        sender: member(sender, State::Alive),
        generation: id::Generation(0),
        digest: 0,
        full_state: false,
        members,
        fingerprints: Vec::new(),
    }
}

/// Returns the membership of node a, which knows b and c, and its current time.
fn membership_of_three() -> (Membership, Instant) {
    let now = Instant::default() + Duration::from_mins(1);
    let local = member("a", State::Alive);
    let mut membership = Membership::new(Settings::default(), local, now, 1);
    membership.handle_request(now, &heartbeat("b", vec![member("c", State::Alive)]));
    (membership, now)
}

/// Returns whether a membership sees a node as live.
fn is_live(membership: &Membership, name: &str) -> bool {
    let members = membership.members();
    members.iter().any(|member| member.node.as_str() == name)
}

#[rstest]
fn a_pause_restarts_the_suspicion_timeout() {
    let (mut membership, now) = membership_of_three();
    membership.handle_request(now, &heartbeat("b", vec![member("c", State::Suspect)]));
    let later = now + Duration::from_mins(1);
    membership.tick(later);
    assert!(is_live(&membership, "c"));
    let mut time = later;
    for _ in 0..10 {
        time += Duration::from_millis(500);
        membership.tick(time);
    }
    assert!(!is_live(&membership, "c"));
}

#[rstest]
fn a_node_dropped_elsewhere_is_contacted_and_can_refute() {
    let (mut membership, now) = membership_of_three();
    membership.handle_request(now, &heartbeat("b", vec![member("c", State::Dropped)]));
    assert!(is_live(&membership, "c"));
    let sent = membership.tick(now).into_iter().any(|effect| match effect {
        Effect::Exchange {
            node, heartbeat, ..
        } => node.as_str() == "c" && heartbeat.members.contains(&member("c", State::Dropped)),
        _ => false,
    });
    assert!(sent);
}

#[rstest]
fn a_peer_with_another_digest_gets_the_full_state_once_no_updates_are_queued() {
    let (mut membership, now) = membership_of_three();
    let mut time = now;
    let mut sent = false;
    for _ in 0..60 {
        time += Duration::from_millis(500);
        let (answer, _) = membership.handle_request(time, &heartbeat("b", Vec::new()));
        sent |= answer.full_state && answer.members.contains(&member("c", State::Alive));
    }
    assert!(sent);
}

//! Memberships agree on who is live, whatever the network does in between.

mod fleet;

use std::time::Duration;

use dottereltally_lib::{
    id,
    membership::{
        Effect, Membership, Settings,
        beat::{Beat, Member, State},
    },
    time::Instant,
};
use fleet::{Fleet, Network, scenario};
use rstest::rstest;

/// Seeds of the short randomised run.
const SEEDS: std::ops::Range<u64> = 0..40;

#[rstest]
fn nodes_agree_after_random_faults() {
    for seed in SEEDS {
        if let Err(what) = scenario::run(Settings::default(), seed) {
            panic!("seed {seed}: {what}");
        }
    }
}

#[rstest]
#[case(2)]
#[case(8)]
#[case(50)]
fn a_killed_node_is_dropped_everywhere(#[case] nodes: usize) {
    let mut fleet = agreed(nodes);
    fleet.kill(0);
    let took = fleet.run_until(scenario::DROP_LIMIT, |fleet| fleet.is_dropped(0));
    assert!(took.is_some(), "seed 1");
}

#[rstest]
#[case(8)]
#[case(50)]
fn a_leaving_node_is_dropped_everywhere(#[case] nodes: usize) {
    let mut fleet = agreed(nodes);
    fleet.leave(0);
    let took = fleet.run_until(scenario::LEAVE_LIMIT, |fleet| fleet.is_dropped(0));
    assert!(took.is_some(), "seed 1");
}

#[rstest]
#[case(8)]
#[case(50)]
fn a_generation_reaches_every_node(#[case] nodes: usize) {
    let mut fleet = agreed(nodes);
    fleet.configure(0, 1);
    let took = fleet.run_until(scenario::NEWS_LIMIT, |fleet| fleet.is_configured(1));
    assert!(took.is_some(), "seed 1");
}

#[rstest]
fn a_paused_node_finds_the_others_still_live() {
    let mut fleet = agreed(8);
    fleet.pause(0);
    fleet.run(Duration::from_secs(20));
    fleet.resume(0);
    assert!(
        fleet
            .run_until(scenario::AGREE_LIMIT, Fleet::agrees)
            .is_some(),
        "seed 1"
    );
    assert_eq!(fleet.counts.false_drops, 0, "seed 1");
}

#[rstest]
fn a_node_paused_beyond_the_retention_starts_anew() {
    let mut fleet = agreed(8);
    fleet.pause(0);
    fleet.run(Settings::default().retention * 2);
    fleet.kill(7);
    fleet.resume(0);
    assert!(
        fleet
            .run_until(scenario::AGREE_LIMIT, Fleet::agrees)
            .is_some(),
        "seed 1"
    );
    // Its own forgetting of the six that run; nobody else dropped anybody.
    assert_eq!(fleet.counts.false_drops, 6, "seed 1");
}

#[rstest]
fn a_data_centre_that_is_cut_off_keeps_its_own_nodes_and_joins_again() {
    let mut fleet = agreed(9);
    fleet.cut(&["plovdiv"]);
    assert!(
        fleet
            .run_until(scenario::AGREE_LIMIT, Fleet::agrees)
            .is_some(),
        "seed 1"
    );
    fleet.run(Duration::from_mins(5));
    fleet.cut(&[]);
    assert!(
        fleet
            .run_until(scenario::AGREE_LIMIT, Fleet::agrees)
            .is_some(),
        "seed 1"
    );
    assert_eq!(fleet.counts.false_drops, 0, "seed 1");
}

#[rstest]
fn a_lossy_network_drops_nobody() {
    let mut fleet = agreed(8);
    fleet.network = Network {
        loss: 0.02,
        duplicate: 0.02,
        late: 0.02,
        delay: 1..20,
    };
    fleet.run(Duration::from_mins(10));
    assert_eq!(fleet.counts.false_drops, 0, "seed 1");
}

/// Returns nodes that agree, drawn from seed 1.
fn agreed(nodes: usize) -> Fleet {
    let mut fleet = Fleet::start(nodes, Settings::default(), 1);
    let took = fleet.run_until(scenario::AGREE_LIMIT, Fleet::agrees);
    assert!(took.is_some(), "seed 1");
    fleet
}

/// Returns what a node says of itself.
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

/// Returns a beat that tells of other nodes.
fn beat(sender: &str, members: Vec<Member>) -> Beat {
    Beat {
        sender: member(sender, State::Alive),
        generation: id::Generation(0),
        digest: 0,
        whole: false,
        members,
        suspects: Vec::new(),
    }
}

/// Returns a membership of node a that knows b and c, and the moment.
fn three() -> (Membership, Instant) {
    let now = Instant::default() + Duration::from_mins(1);
    let own = member("a", State::Alive);
    let mut membership = Membership::new(Settings::default(), own, now, 1);
    membership.request(now, &beat("b", vec![member("c", State::Alive)]));
    (membership, now)
}

/// Returns whether a node is among the live.
fn is_live(membership: &Membership, name: &str) -> bool {
    let members = membership.members();
    members.iter().any(|member| member.node.as_str() == name)
}

#[rstest]
fn a_pause_does_not_count_as_time_to_refute() {
    let (mut membership, now) = three();
    membership.request(now, &beat("b", vec![member("c", State::Suspect)]));
    let later = now + Duration::from_mins(1);
    membership.tick(later);
    assert!(is_live(&membership, "c"));
    let mut moment = later;
    for _ in 0..10 {
        moment += Duration::from_millis(500);
        membership.tick(moment);
    }
    assert!(!is_live(&membership, "c"));
}

#[rstest]
fn a_node_dropped_elsewhere_is_tried_and_told() {
    let (mut membership, now) = three();
    membership.request(now, &beat("b", vec![member("c", State::Dropped)]));
    assert!(is_live(&membership, "c"));
    let told = membership.tick(now).into_iter().any(|effect| match effect {
        Effect::Exchange { node, beat, .. } => {
            node.as_str() == "c" && beat.members.contains(&member("c", State::Dropped))
        }
        _ => false,
    });
    assert!(told);
}

#[rstest]
fn a_peer_that_knows_less_is_told_everything_once_no_news_are_left() {
    let (mut membership, now) = three();
    let mut moment = now;
    let mut told = false;
    for _ in 0..60 {
        moment += Duration::from_millis(500);
        let (answer, _) = membership.request(moment, &beat("b", Vec::new()));
        told |= answer.whole && answer.members.contains(&member("c", State::Alive));
    }
    assert!(told);
}

//! Memberships agree on who is live, whatever the network does in between.

mod fleet;

use std::time::Duration;

use dottereltally_lib::membership::Settings;
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

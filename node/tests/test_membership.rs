//! Nodes on loopback find each other, lose each other and pass updates on.

mod common;

use std::time::Duration;

use common::{Fleet, wait_for};
use dottereltally_lib::{event::Event, id};
use rstest::rstest;

#[rstest]
#[tokio::test]
async fn nodes_of_the_host_list_find_each_other() {
    let fleet = Fleet::start(&["a", "b", "c"]).await;
    for node in fleet.nodes() {
        node.wait_members(&["a", "b", "c"]).await;
    }
}

#[rstest]
#[tokio::test]
async fn a_node_that_leaves_is_dropped_by_its_own_word() {
    let mut fleet = Fleet::start(&["a", "b", "c"]).await;
    for node in fleet.nodes() {
        node.wait_members(&["a", "b", "c"]).await;
    }
    // A suspicion could not drop it: none ever expires here.
    fleet.node("c").membership.leave().await;
    for name in ["a", "b"] {
        fleet.node(name).wait_members(&["a", "b"]).await;
    }
    fleet.stop("c");
}

#[rstest]
#[tokio::test]
async fn a_killed_node_is_dropped_and_its_successor_joins() {
    let mut fleet = Fleet::start_with(&["a", "b", "c"], common::hasty()).await;
    for node in fleet.nodes() {
        node.wait_members(&["a", "b", "c"]).await;
    }
    fleet.stop("c");
    for name in ["a", "b"] {
        fleet.node(name).wait_members(&["a", "b"]).await;
    }
    fleet.add("c").await;
    for node in fleet.nodes() {
        node.wait_members(&["a", "b", "c"]).await;
    }
}

#[rstest]
#[tokio::test]
async fn fingerprints_reach_every_node() {
    let fleet = Fleet::start(&["a", "b", "c"]).await;
    for node in fleet.nodes() {
        node.wait_members(&["a", "b", "c"]).await;
    }
    let fingerprint = id::Fingerprint(7);
    let valid = Duration::from_mins(5);
    fleet.node("a").membership.quarantine(fingerprint, valid);
    for name in ["b", "c"] {
        let events = &fleet.node(name).events;
        wait_for(events, |event| match event {
            Event::Suspected(list) => list.iter().any(|(found, _)| *found == fingerprint),
            _ => false,
        })
        .await;
    }
}

#[rstest]
#[tokio::test]
async fn a_higher_generation_is_noticed_and_fetched() {
    let fleet = Fleet::start(&["a", "b", "c"]).await;
    fleet.node("a").service.set_generation(5);
    for name in ["b", "c"] {
        fleet.node(name).service.wait_generation(5).await;
    }
}

#[rstest]
#[tokio::test]
async fn a_node_whose_own_entry_is_missing_joins_all_the_same() {
    let mut fleet = Fleet::start(&["a", "b"]).await;
    fleet.add_unlisted("c").await;
    for node in fleet.nodes() {
        node.wait_members(&["a", "b", "c"]).await;
    }
}

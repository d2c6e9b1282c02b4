//! Nodes on loopback join, leave, detect failures and spread updates.

mod common;

use std::time::Duration;

use common::{Cluster, wait_for};
use dottereltally_lib::{event::Event, id};
use rstest::rstest;

#[rstest]
#[tokio::test]
async fn nodes_of_the_host_list_join() {
    let cluster = Cluster::start(&["a", "b", "c"]).await;
    for node in cluster.nodes() {
        node.wait_for_members(&["a", "b", "c"]).await;
    }
}

#[rstest]
#[tokio::test]
async fn a_node_that_announces_its_leave_is_removed_without_suspicion() {
    let mut cluster = Cluster::start(&["a", "b", "c"]).await;
    for node in cluster.nodes() {
        node.wait_for_members(&["a", "b", "c"]).await;
    }
    // No suspicion expires here, so that only the announcement can remove it.
    cluster.node("c").membership.leave().await;
    for name in ["a", "b"] {
        cluster.node(name).wait_for_members(&["a", "b"]).await;
    }
    cluster.stop("c");
}

#[rstest]
#[tokio::test]
async fn a_killed_node_is_removed_and_its_replacement_joins() {
    let mut cluster = Cluster::start_with(&["a", "b", "c"], common::short_suspicion()).await;
    for node in cluster.nodes() {
        node.wait_for_members(&["a", "b", "c"]).await;
    }
    cluster.stop("c");
    for name in ["a", "b"] {
        cluster.node(name).wait_for_members(&["a", "b"]).await;
    }
    cluster.add("c").await;
    for node in cluster.nodes() {
        node.wait_for_members(&["a", "b", "c"]).await;
    }
}

#[rstest]
#[tokio::test]
async fn quarantined_fingerprints_reach_every_node() {
    let cluster = Cluster::start(&["a", "b", "c"]).await;
    for node in cluster.nodes() {
        node.wait_for_members(&["a", "b", "c"]).await;
    }
    let fingerprint = id::Fingerprint(7);
    let valid = Duration::from_mins(5);
    cluster.node("a").membership.quarantine(fingerprint, valid);
    for name in ["b", "c"] {
        let events = &cluster.node(name).events;
        wait_for(events, |event| match event {
            Event::Suspected(list) => list.iter().any(|(found, _)| *found == fingerprint),
            _ => false,
        })
        .await;
    }
}

#[rstest]
#[tokio::test]
async fn a_higher_generation_is_detected_and_fetched() {
    let cluster = Cluster::start(&["a", "b", "c"]).await;
    cluster.node("a").service.set_generation(5);
    for name in ["b", "c"] {
        cluster.node(name).service.wait_for_generation(5).await;
    }
}

#[rstest]
#[tokio::test]
async fn a_node_that_is_not_in_the_host_list_joins_anyway() {
    let mut cluster = Cluster::start(&["a", "b"]).await;
    cluster.add_unlisted("c").await;
    for node in cluster.nodes() {
        node.wait_for_members(&["a", "b", "c"]).await;
    }
}

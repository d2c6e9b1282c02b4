//! Endpoints of a node while the source of its directory is restored from a copy.

mod common;

use std::time::Duration;

use common::directory::{Away, Directory, Follower};
use dottereltally_lib::endpoint::Standing;
use rstest::rstest;
use tokio::time::{Instant, sleep};

/// Time after the return from which a node knows what its source knows.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time after the return within which endpoints write again what the copy lacks.
const RENEWAL_TIME: Duration = Duration::from_secs(1);

/// Time after which an endpoint that was given up would have been noticed.
const LONG: Duration = Duration::from_secs(6);

/// Guards against endpoints that are given up for good as their descriptions have lower
/// revisions than before the restoration (CONFIG).
#[rstest]
#[case::of_the_copy(false)]
#[case::written_again(true)]
#[tokio::test(start_paused = true)]
async fn an_endpoint_that_is_listed_again_is_used(#[case] is_lost: bool) {
    let directory = Directory::with_eras();
    directory.write("other", Standing::Live, 1);
    if is_lost {
        directory.take_copy();
    }
    for _ in 0..5 {
        directory.write("other", Standing::Live, 1);
    }
    directory.write("started", Standing::Live, 1);
    if !is_lost {
        directory.take_copy();
    }
    let follower = Follower::settled(&directory).await;
    let known = directory.revision();
    directory.restore_after_absence(|_| {}).await;
    sleep(RENEWAL_TIME).await;
    assert!(follower.uses("started"), "given up before it could write");
    if is_lost {
        directory.write("started", Standing::Live, 1);
        assert!(directory.revision() < known, "a lower revision");
    }
    sleep(LONG).await;
    assert!(follower.uses("started") && follower.uses("other"));
}

/// Guards against DRAIN: endpoints that left after the copy was taken, and that the copy
/// shows as ready, get no requests, also after two restorations.
#[rstest]
#[case::drained(true, 1)]
#[case::drained_twice(true, 2)]
#[case::removed(false, 1)]
#[case::removed_twice(false, 2)]
#[tokio::test(start_paused = true)]
async fn an_endpoint_that_left_is_not_used_again(
    #[case] is_drained: bool,
    #[case] restorations: u32,
) {
    let directory = Directory::with_eras();
    directory.write_numbered("leaves", Standing::Live, 1, 1);
    directory.write("stays", Standing::Live, 1);
    directory.take_copy();
    let follower = Follower::settled(&directory).await;
    assert!(follower.uses("leaves"));
    if is_drained {
        directory.write_numbered("leaves", Standing::Leaving, 1, 2);
    } else {
        directory.remove("leaves");
    }
    sleep(CONTACT_TIME).await;
    for _ in 0..restorations {
        directory.restore_after_absence(|_| {}).await;
        for _ in 0..60 {
            sleep(Duration::from_millis(100)).await;
            assert!(!follower.uses("leaves"));
            assert!(follower.uses("stays"));
        }
    }
    // A later process with its name is another matter.
    directory.write_numbered("leaves", Standing::Live, 2, 1);
    sleep(CONTACT_TIME).await;
    assert!(follower.uses("leaves"));
}

/// A process whose description was removed, as it could not renew it, is used again once it
/// wrote it again in a later era.
#[tokio::test(start_paused = true)]
async fn a_process_that_writes_again_in_a_later_era_is_used() {
    let directory = Directory::with_eras();
    directory.write("stays", Standing::Live, 1);
    directory.write("lapses", Standing::Live, 1);
    directory.take_copy();
    let follower = Follower::settled(&directory).await;
    directory.remove("lapses");
    sleep(CONTACT_TIME).await;
    assert!(!follower.uses("lapses"));
    directory.restore_after_absence(|_| {}).await;
    sleep(CONTACT_TIME).await;
    assert!(!follower.uses("lapses"), "the copy shows it");
    directory.write("lapses", Standing::Live, 1);
    directory.write("lapses", Standing::Live, 1);
    sleep(CONTACT_TIME).await;
    assert!(follower.uses("lapses"));
}

/// Nodes that read different eras exchange what they read: a node that has not read the new
/// one yet neither takes away nor brings back what the other one knows.
#[tokio::test(start_paused = true)]
async fn reports_of_nodes_in_different_eras_are_not_mixed_up() {
    let paths = [Directory::with_eras(), Directory::with_eras()];
    for path in &paths {
        path.write_numbered("leaves", Standing::Live, 1, 1);
        path.take_copy();
        path.write_numbered("started", Standing::Live, 1, 1);
    }
    let nodes = [
        Follower::settled(&paths[0]).await,
        Follower::settled(&paths[1]).await,
    ];
    let exchange = async |span: Duration| {
        let end = Instant::now() + span;
        while Instant::now() < end {
            for (node, other) in [(0, 1), (1, 0)] {
                nodes[node]
                    .view
                    .record_listings(&nodes[other].view.listings());
            }
            sleep(Duration::from_millis(100)).await;
        }
    };
    for path in &paths {
        path.remove("leaves");
        for _ in 0..4 {
            path.write_numbered("other", Standing::Live, 1, 1);
        }
    }
    exchange(CONTACT_TIME).await;
    // The second node is cut from before the restoration until after it.
    paths[1].set_away(Some(Away::Silent));
    paths[1].restore();
    paths[0].restore_after_absence(|_| {}).await;
    // The endpoint writes late: the first node gives it up before.
    exchange(CONTACT_TIME).await;
    for path in &paths {
        path.write_numbered("started", Standing::Live, 1, 1);
    }
    exchange(CONTACT_TIME).await;
    for node in &nodes {
        assert!(!node.uses("leaves"));
        assert!(node.uses("started"));
    }
    paths[1].set_away(None);
    exchange(LONG).await;
    for node in &nodes {
        assert!(!node.uses("leaves"));
        assert!(node.uses("started"));
    }
}

//! Nodes behind slow links that missed versions of a large entry of the directory.

mod common;

use std::time::Duration;

use common::directory::{Away, Directory, Follower};
use dottereltally_lib::{endpoint::Standing, size};
use rstest::rstest;
use tokio::time::{Instant, sleep};

/// Time after an outage from which a node must know what its source knows, beyond the time
/// that its link takes for the directory.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time for which the source turns the nodes away.
const OUTAGE: Duration = Duration::from_secs(9);

/// Time in which an answer that arrived is applied.
const MARGIN: Duration = Duration::from_millis(100);

/// What a link of 10 Mbit/s carries in 10 ms.
const LINK: size::Bytes = size::Bytes(12_500);

/// Size of a configuration of some thousand routes.
const LARGE: size::Bytes = size::Bytes(430_000);

/// Returns the time that a link takes.
fn time_on_link(bytes: size::Bytes, link: size::Bytes) -> Duration {
    let intervals = u32::try_from(bytes.0.div_ceil(link.0)).unwrap();
    Duration::from_millis(10) * intervals
}

/// A directory with a large entry, and a node that follows it.
async fn with_large_entry(bytes: size::Bytes, link: size::Bytes) -> (Directory, Follower) {
    let directory = Directory::default();
    directory.set_link(link);
    directory.set_size("large", bytes);
    directory.write("large", Standing::Live, 1);
    directory.write("withdrawn", Standing::Live, 1);
    let follower = Follower::start(&directory).await;
    sleep(CONTACT_TIME + time_on_link(bytes, link)).await;
    assert!(follower.uses("withdrawn"));
    (directory, follower)
}

/// Writes versions of the large entry for a time; an endpoint is withdrawn with the first.
async fn write_versions(directory: &Directory, versions: u32, span: Duration) {
    let interval = span / versions;
    for version in 0..versions {
        directory.write_numbered("large", Standing::Live, 1, u64::from(version) + 2);
        if version == 0 {
            directory.remove("withdrawn");
        }
        sleep(interval).await;
    }
}

/// Waits until the node no longer uses the endpoint that was withdrawn; returns how long that
/// took.
async fn time_until_withdrawn(follower: &Follower) -> Duration {
    let start = Instant::now();
    while follower.uses("withdrawn") && start.elapsed() < Duration::from_mins(1) {
        sleep(Duration::from_millis(10)).await;
    }
    start.elapsed()
}

/// Guards against CONFIG at a node that was turned away while versions of a large
/// configuration were written: it catches up in the time that one version takes, however many
/// it missed.
#[rstest]
#[case::one_version(LARGE, LINK, 1)]
#[case::five_versions(LARGE, LINK, 5)]
#[case::twenty_versions(LARGE, LINK, 20)]
#[case::several_times_as_large(size::Bytes(LARGE.0 * 4), LINK, 5)]
#[case::beside_its_own_requests(LARGE, size::Bytes(LINK.0 / 4), 5)]
#[tokio::test(start_paused = true)]
async fn a_node_that_was_turned_away_catches_up(
    #[case] bytes: size::Bytes,
    #[case] link: size::Bytes,
    #[case] versions: u32,
) {
    for away in [Away::Silent, Away::Refused] {
        let (directory, follower) = with_large_entry(bytes, link).await;
        directory.set_away(Some(away));
        write_versions(&directory, versions, OUTAGE).await;
        directory.set_away(None);
        let took = time_until_withdrawn(&follower).await;
        let bound = CONTACT_TIME + time_on_link(bytes, link);
        assert!(
            took <= bound,
            "{away:?}: {took:?}, and {bound:?} are allowed"
        );
    }
}

/// Guards against CONFIG at a node that is in touch all the while: versions that are written
/// faster than its link carries them don't keep it from the newest one.
#[tokio::test(start_paused = true)]
async fn versions_that_go_on_coming_do_not_hold_up_a_node() {
    const SPAN: Duration = Duration::from_secs(30);
    const VERSIONS: u32 = 600;
    let (directory, follower) = with_large_entry(LARGE, LINK).await;
    let writing = tokio::spawn(async move {
        write_versions(&directory, VERSIONS, SPAN).await;
    });
    let mut oldest = Duration::ZERO;
    while !writing.is_finished() {
        sleep(Duration::from_millis(50)).await;
        let read = follower.view.announcement().unwrap();
        oldest = oldest.max(read.age);
    }
    assert!(!follower.uses("withdrawn"));
    assert!(oldest <= CONTACT_TIME, "{oldest:?}");
}

/// Guards against a second call beside one whose answer arrives, which takes half of the link.
#[tokio::test(start_paused = true)]
async fn a_call_whose_answer_arrives_is_not_repeated() {
    let bytes = size::Bytes(LARGE.0 * 4);
    let directory = Directory::default();
    directory.set_link(LINK);
    directory.set_size("large", bytes);
    directory.write("large", Standing::Live, 1);
    let follower = Follower::start(&directory).await;
    sleep(time_on_link(bytes, LINK) + MARGIN).await;
    assert!(follower.uses("large"));
    assert!(directory.received() <= size::Bytes(bytes.0 + LINK.0));
}

/// Guards against a node that waits for an answer that stopped in the middle.
#[rstest]
#[case::before_its_first_byte(size::Bytes(0))]
#[case::early(size::Bytes(100_000))]
#[case::before_its_last_byte(size::Bytes(LARGE.0 - 1))]
#[tokio::test(start_paused = true)]
async fn an_answer_that_stops_is_asked_for_again(#[case] bytes: size::Bytes) {
    for answers in 1..=2 {
        let (directory, follower) = with_large_entry(LARGE, LINK).await;
        directory.set_away(Some(Away::Refused));
        write_versions(&directory, 5, OUTAGE).await;
        directory.stall_answers(bytes, answers);
        directory.set_away(None);
        let took = time_until_withdrawn(&follower).await;
        let bound = CONTACT_TIME + time_on_link(LARGE, LINK);
        assert!(took <= bound, "{answers} answers stopped: {took:?}");
    }
}

/// Guards against a source that is overloaded when it takes back many nodes: each of them asks
/// for little more than the directory, in few calls.
#[rstest]
#[case::usual(27)]
#[case::target(122)]
#[tokio::test(start_paused = true)]
async fn nodes_that_come_back_together_read_the_directory_once(#[case] nodes: usize) {
    const SPAN: Duration = Duration::from_secs(4);
    let (directory, _follower) = with_large_entry(LARGE, LINK).await;
    let mut paths = Vec::new();
    let mut followers = Vec::new();
    for _ in 0..nodes {
        let path = directory.for_another_node();
        followers.push(Follower::start(&path).await);
        paths.push(path);
    }
    sleep(CONTACT_TIME).await;
    directory.set_away(Some(Away::Refused));
    write_versions(&directory, 5, OUTAGE).await;
    let mut before = Vec::new();
    for path in &paths {
        before.push((path.received(), path.calls_on_link()));
    }
    directory.set_away(None);
    sleep(SPAN).await;
    for (path, (received, calls)) in paths.iter().zip(before) {
        let received = path.received().saturating_sub(received);
        assert!(received <= size::Bytes(LARGE.0 * 3 / 2), "{received}");
        let calls = path.calls_on_link() - calls;
        assert!(calls <= 8, "{calls} calls in {SPAN:?}");
    }
    for follower in &followers {
        assert!(!follower.uses("withdrawn"));
    }
}

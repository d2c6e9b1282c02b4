//! Which nodes need not read the directory's source, as their coordinator does.

use std::time::Duration;

use dottereltally::clock::Clock;
use dottereltally_gateway::{listing::REPORT_TIME, view::Handle};
use dottereltally_lib::{era::Era, exchange::View, id};
use rstest::rstest;
use tokio::time::{Instant, advance, timeout};

/// Process of the coordinator.
const PROCESS: u64 = 7;

fn handle(digest: u64) -> Handle {
    let handle = Handle::new(Clock::start());
    handle.record_read(handle.uptime(), Era::from(1), digest);
    handle
}

fn view(digest: u64, number: u64, age: Duration) -> View {
    View {
        digest,
        number,
        age,
        era: Era::from(1),
    }
}

/// A node that has what the coordinator read is as recent as that read.
#[tokio::test(start_paused = true)]
async fn an_equal_view_is_confirmed_as_of_the_coordinators_read() {
    advance(Duration::from_mins(1)).await;
    let handle = handle(1);
    let age = Duration::from_millis(400);
    handle.apply(PROCESS, &view(1, 1, age));
    assert_eq!(handle.confirmed(), Some(Instant::now() - age));
}

#[tokio::test(start_paused = true)]
async fn another_view_confirms_nothing() {
    let handle = handle(1);
    handle.apply(PROCESS, &view(2, 1, Duration::ZERO));
    assert_eq!(handle.confirmed(), None);
}

/// Guards against a coordinator that was suspended, or that no longer reads: its old read
/// does not become younger.
#[tokio::test(start_paused = true)]
async fn a_read_counts_once_however_often_it_is_announced() {
    let handle = handle(1);
    handle.apply(PROCESS, &view(1, 1, Duration::ZERO));
    let confirmed = handle.confirmed();
    advance(Duration::from_secs(5)).await;
    handle.apply(PROCESS, &view(1, 1, Duration::ZERO));
    assert_eq!(handle.confirmed(), confirmed);
    handle.apply(PROCESS, &view(1, 2, Duration::ZERO));
    assert!(handle.confirmed() > confirmed);
    // Another process counts its reads anew.
    advance(Duration::from_secs(5)).await;
    handle.apply(PROCESS + 1, &view(1, 1, Duration::ZERO));
    assert_eq!(handle.confirmed(), Some(Instant::now()));
}

/// A node without recent announcements reads and probes by itself.
#[tokio::test(start_paused = true)]
async fn a_silent_coordinator_is_not_relied_on() {
    let handle = handle(1);
    assert!(!handle.has_reader());
    handle.apply(PROCESS, &view(1, 1, Duration::ZERO));
    assert!(handle.has_reader());
    advance(Duration::from_secs(4)).await;
    assert!(!handle.has_reader());
}

/// A node waits for a read that is younger than its own failure.
#[tokio::test(start_paused = true)]
async fn only_a_later_read_shows_that_the_source_is_back() {
    advance(Duration::from_mins(1)).await;
    let handle = handle(1);
    let failed = Instant::now();
    handle.apply(PROCESS, &view(1, 1, Duration::from_secs(1)));
    let waiting = timeout(Duration::from_secs(1), handle.wait_for_read(failed));
    assert!(waiting.await.is_err());
    let announced = async {
        tokio::task::yield_now().await;
        handle.apply(PROCESS, &view(2, 2, Duration::from_millis(300)));
    };
    let (read_at, ()) = tokio::join!(handle.wait_for_read(failed), announced);
    assert_eq!(read_at, Instant::now() - Duration::from_millis(300));
}

/// Drain time of the endpoints: what was read is certain for as long.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Hears a node that goes on reading the source, four times a second.
async fn hear(handle: &Handle, process: u64, number: &mut u64, span: Duration) {
    let node = id::Node::from("reader");
    for _ in 0..span.as_millis() / 250 {
        *number += 1;
        handle.record_alive();
        let read = view(2, *number, Duration::from_millis(400));
        handle.record_witness(&node, process, &read, true);
        advance(Duration::from_millis(250)).await;
    }
}

/// Returns the age of the view of a node whose own last read was sent at a time. The uptime of
/// the machine goes on in real time.
fn age_after(handle: &Handle, read_at: Instant) -> Duration {
    let sent = handle.uptime().saturating_sub(read_at.elapsed());
    handle.record_read(sent, Era::from(1), 1);
    handle.age().unwrap()
}

/// What interrupts the reports of a witness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Interruption {
    None,
    /// A report without the older changes.
    Truncated,
    /// It is not heard for longer than it reports a change.
    Silence,
    /// Its process ends, and another one reads only what is there then.
    Restart,
    /// The source is restored from a copy.
    Restoration,
}

/// Guards against ORDER at a node that can't read the source and relies on another node, of
/// whose reports it may have missed some.
#[rstest]
#[case::none(Interruption::None, true)]
#[case::truncated(Interruption::Truncated, false)]
#[case::silence(Interruption::Silence, false)]
#[case::restart(Interruption::Restart, false)]
#[case::restoration(Interruption::Restoration, false)]
#[tokio::test(start_paused = true)]
async fn a_view_is_as_recent_as_that_of_a_witness(
    #[case] interruption: Interruption,
    #[case] expected: bool,
) {
    advance(Duration::from_mins(1)).await;
    let handle = Handle::new(Clock::start());
    let mut number = 0;
    hear(&handle, PROCESS, &mut number, Duration::from_secs(2)).await;
    let read_at = Instant::now();
    hear(&handle, PROCESS, &mut number, Duration::from_secs(10)).await;
    let node = id::Node::from("reader");
    let mut process = PROCESS;
    match interruption {
        Interruption::None => {}
        Interruption::Truncated => {
            handle.record_witness(&node, process, &view(2, number, Duration::ZERO), false);
        }
        Interruption::Silence => advance(REPORT_TIME).await,
        Interruption::Restart => process += 1,
        Interruption::Restoration => {
            let restored = View {
                era: Era::from(2),
                ..view(2, number, Duration::ZERO)
            };
            handle.record_witness(&node, process, &restored, true);
        }
    }
    hear(&handle, process, &mut number, Duration::from_secs(2)).await;
    let age = age_after(&handle, read_at);
    assert_eq!(age <= DRAIN_TIME, expected, "{age:?}");
}

/// Guards against ORDER at a node that relies on one that began to read after it: what changed
/// in between is not reported.
#[tokio::test(start_paused = true)]
async fn a_node_that_began_to_read_later_is_no_witness() {
    advance(Duration::from_mins(1)).await;
    let handle = Handle::new(Clock::start());
    let read_at = Instant::now();
    advance(Duration::from_secs(5)).await;
    let mut number = 0;
    hear(&handle, PROCESS, &mut number, Duration::from_secs(10)).await;
    assert!(age_after(&handle, read_at) > DRAIN_TIME);
}

/// Guards against ORDER after a suspension of this process: what arrived during it states its age
/// as of then, and neither a witness nor the coordinator counts as recent for it.
#[tokio::test(start_paused = true)]
async fn what_waited_during_a_suspension_is_not_recent() {
    advance(Duration::from_mins(1)).await;
    let handle = Handle::new(Clock::start());
    let mut number = 0;
    hear(&handle, PROCESS, &mut number, Duration::from_secs(2)).await;
    let read_at = Instant::now();
    hear(&handle, PROCESS, &mut number, Duration::from_secs(5)).await;
    assert!(age_after(&handle, read_at) <= DRAIN_TIME);
    advance(Duration::from_secs(10)).await;
    let node = id::Node::from("reader");
    for _ in 0..2 {
        number += 1;
        let waited = view(1, number, Duration::ZERO);
        handle.record_witness(&node, PROCESS, &waited, true);
        handle.apply(PROCESS, &waited);
        assert!(age_after(&handle, read_at) > DRAIN_TIME);
        handle.record_alive();
    }
    assert_eq!(handle.confirmed(), None);
}

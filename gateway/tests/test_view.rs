//! Which nodes need not read the directory's source, as their coordinator does.

use std::time::Duration;

use dottereltally::clock::Clock;
use dottereltally_gateway::view::Handle;
use dottereltally_lib::{era::Era, exchange::View};
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

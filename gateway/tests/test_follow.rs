//! A node's view of the endpoints while its source is away, and after that.

mod common;

use std::time::Duration;

use common::directory::{Away, Directory, Follower};
use dottereltally_lib::{endpoint::Standing, era::Era, exchange::View};
use rstest::rstest;
use tokio::time::{Instant, sleep, sleep_until};

/// Time after an outage from which a node must know what its source knows.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Longest time after an endpoint said that it leaves until it gets no more requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Shortest outage in which descriptions expire.
const EXPIRY_TIME: Duration = Duration::from_secs(2);

/// Time after the return of the source at which the last endpoint that lives writes its
/// description again.
const LAST_RENEWAL: Duration = Duration::from_millis(1900);

/// Difference between two lengths of an outage that are tried.
const STEP: Duration = Duration::from_millis(70);

/// Number of lengths that are tried.
const STEPS: u32 = 40;

async fn with_two_endpoints() -> (Directory, Follower) {
    with_two_endpoints_in(Directory::default()).await
}

async fn with_two_endpoints_in(directory: Directory) -> (Directory, Follower) {
    directory.write("leaves", Standing::Live, 1);
    directory.write("lives", Standing::Live, 1);
    let follower = Follower::start(&directory).await;
    sleep(Duration::from_secs(3)).await;
    assert!(follower.uses("leaves") && follower.uses("lives"));
    (directory, follower)
}

/// Guards against DRAIN after an outage: an endpoint whose description is gone when the
/// source returns is used no longer than until the node counts as in touch again, and one
/// that writes its description again in time is never given up.
#[rstest]
#[case::silent(Away::Silent, Duration::from_secs(8))]
#[case::refused(Away::Refused, Duration::from_secs(8))]
#[case::silent_for_a_moment(Away::Silent, Duration::from_millis(500))]
#[case::refused_for_a_moment(Away::Refused, Duration::from_millis(500))]
#[tokio::test(start_paused = true)]
async fn an_endpoint_that_left_during_an_outage_is_given_up_in_time(
    #[case] away: Away,
    #[case] shortest: Duration,
) {
    for step in 0..STEPS {
        let length = shortest + STEP * step;
        let (directory, follower) = with_two_endpoints().await;
        directory.set_away(Some(away));
        sleep(length / 2).await;
        directory.remove("leaves");
        let lapses = length >= EXPIRY_TIME;
        if lapses {
            directory.remove("lives");
        }
        sleep(length / 2).await;
        directory.set_away(None);
        let returned = Instant::now();
        sleep(LAST_RENEWAL).await;
        assert!(follower.uses("lives"), "given up after {length:?}");
        if lapses {
            directory.write("lives", Standing::Live, 1);
        }
        sleep_until(returned + CONTACT_TIME).await;
        assert!(
            !follower.uses("leaves"),
            "still used {CONTACT_TIME:?} after an outage of {length:?}"
        );
        sleep(Duration::from_secs(1)).await;
        assert!(follower.uses("lives"), "given up after {length:?}");
    }
}

/// Guards against DRAIN after a call that was cut: an endpoint that leaves while the
/// follower reads the directory again is used no longer than the bound allows.
#[rstest]
#[case::at_once(0)]
#[case::before_the_next_read(50)]
#[case::after_the_next_read(900)]
#[tokio::test(start_paused = true)]
async fn a_cut_call_does_not_delay_leaving(#[case] leaves_ms: u64) {
    for phase in 0..20 {
        let (directory, follower) = with_two_endpoints().await;
        sleep(Duration::from_millis(phase * 50)).await;
        directory.cut();
        sleep(Duration::from_millis(leaves_ms)).await;
        directory.remove("leaves");
        sleep(DRAIN_TIME).await;
        assert!(!follower.uses("leaves"), "phase {phase}");
        assert!(follower.uses("lives"), "phase {phase}");
    }
}

/// Returns the time until a node gives up the endpoint that leaves.
async fn time_until_given_up(follower: &Follower) -> Duration {
    let start = Instant::now();
    while follower.uses("leaves") {
        sleep(Duration::from_millis(10)).await;
    }
    start.elapsed()
}

/// Guards against DRAIN where a call is never answered while the source serves all others: it is
/// no outage, so an endpoint whose description is removed meanwhile is used no longer than the
/// bound allows.
#[rstest]
#[case::one_call(1)]
#[case::and_those_made_in_its_place(3)]
#[tokio::test(start_paused = true)]
async fn lost_calls_do_not_delay_leaving(#[case] calls: u32) {
    let mut longest = Duration::ZERO;
    for step in 0..STEPS {
        let (directory, follower) = with_two_endpoints().await;
        directory.lose_calls(calls);
        sleep(STEP * step / 2).await;
        directory.remove("leaves");
        longest = longest.max(time_until_given_up(&follower).await);
        assert!(follower.uses("lives"), "step {step}");
    }
    assert!(longest <= DRAIN_TIME, "used for {longest:?}");
}

/// Guards against DRAIN after a cut that is shorter than a call waits: an endpoint that left is
/// used no longer than until the node counts as in touch again, whenever the cut began.
#[tokio::test(start_paused = true)]
async fn a_short_cut_does_not_delay_leaving() {
    let mut longest = Duration::ZERO;
    for phase in 0..20 {
        for length in [50, 200, 500, 900, 1300] {
            let (directory, follower) = with_two_endpoints().await;
            sleep(Duration::from_millis(phase * 50)).await;
            directory.set_away(Some(Away::Silent));
            sleep(Duration::from_millis(length)).await;
            directory.remove("leaves");
            directory.set_away(None);
            longest = longest.max(time_until_given_up(&follower).await);
            assert!(follower.uses("lives"), "phase {phase}, {length} ms");
        }
    }
    assert!(longest <= CONTACT_TIME, "used for {longest:?}");
}

/// Guards against CONFIG and DRAIN where calls in a row are never answered while the source serves
/// all others: a change is known in the time that the bounds allow for it.
#[tokio::test(start_paused = true)]
async fn lost_calls_do_not_delay_changes() {
    for step in 0..STEPS {
        let (directory, follower) = with_two_endpoints().await;
        directory.lose_calls(2);
        sleep(STEP * step / 2).await;
        directory.write("joins", Standing::Live, 1);
        sleep(DRAIN_TIME).await;
        assert!(follower.uses("joins"), "step {step}");
    }
}

/// Guards against CONFIG and DRAIN where answers take longer than a call is expected to: they are
/// read, and are no outage.
#[tokio::test(start_paused = true)]
async fn slow_answers_are_read() {
    const LATENCY: Duration = Duration::from_millis(1200);
    for step in 0..STEPS {
        let (directory, follower) = with_two_endpoints().await;
        directory.set_latency(LATENCY);
        sleep(Duration::from_secs(3) + STEP / 2 * step).await;
        directory.write("joins", Standing::Live, 1);
        directory.remove("leaves");
        sleep(DRAIN_TIME + LATENCY).await;
        assert!(follower.uses("joins"), "not used in step {step}");
        assert!(!follower.uses("leaves"), "still used in step {step}");
        assert!(follower.uses("lives"), "given up in step {step}");
    }
}

/// Guards against DRAIN where calls go on to fail after the source returned: the time for
/// renewals does not begin anew with each of them.
#[rstest]
#[case::silent(Away::Silent)]
#[case::refused(Away::Refused)]
#[tokio::test(start_paused = true)]
async fn calls_that_fail_after_the_return_do_not_delay_leaving(#[case] away: Away) {
    for step in 0..STEPS {
        let length = Duration::from_secs(8) + STEP * step;
        let (directory, follower) = with_two_endpoints().await;
        directory.set_away(Some(away));
        sleep(length / 2).await;
        directory.remove("leaves");
        sleep(length / 2).await;
        directory.fail_calls(1 + step % 3);
        directory.set_away(None);
        sleep(CONTACT_TIME).await;
        assert!(
            !follower.uses("leaves"),
            "still used {CONTACT_TIME:?} after an outage of {length:?}"
        );
        assert!(follower.uses("lives"), "given up after {length:?}");
    }
}

/// Guards against DRAIN where the random pauses between calls that fail after the return add
/// up: the source is read when the time for renewals is over, whatever pauses were drawn.
#[rstest]
#[case::silent(Away::Silent)]
#[case::refused(Away::Refused)]
#[tokio::test(start_paused = true)]
async fn long_pauses_after_the_return_do_not_delay_leaving(#[case] away: Away) {
    const LENGTH: Duration = Duration::from_secs(8);
    const RUNS: u32 = 400;
    for run in 0..RUNS {
        let (directory, follower) = with_two_endpoints().await;
        directory.set_away(Some(away));
        sleep(LENGTH / 2).await;
        directory.remove("leaves");
        sleep(LENGTH / 2).await;
        directory.fail_calls(3);
        directory.set_away(None);
        sleep(CONTACT_TIME).await;
        assert!(!follower.uses("leaves"), "run {run}");
        assert!(follower.uses("lives"), "run {run}");
    }
}

/// Guards against DRAIN at a node whose own path to the source is cut, while its coordinator
/// goes on reading: what the coordinator reads is not taken for the return of that path.
#[tokio::test(start_paused = true)]
async fn a_coordinator_that_reads_does_not_delay_leaving() {
    const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(400);
    for step in 0..STEPS {
        let length = Duration::from_secs(8) + STEP * step;
        let (directory, follower) = with_two_endpoints().await;
        let view = follower.view.clone();
        let announcing = tokio::spawn(async move {
            for number in 1.. {
                let (digest, age) = (0, Duration::ZERO);
                view.apply(
                    1,
                    &View {
                        digest,
                        number,
                        age,
                        era: Era::default(),
                    },
                );
                sleep(ANNOUNCEMENT_INTERVAL).await;
            }
        });
        directory.set_away(Some(Away::Silent));
        sleep(length / 2).await;
        directory.remove("leaves");
        sleep(length / 2).await;
        directory.set_away(None);
        sleep(CONTACT_TIME).await;
        assert!(
            !follower.uses("leaves"),
            "still used {CONTACT_TIME:?} after an outage of {length:?}"
        );
        assert!(follower.uses("lives"), "given up after {length:?}");
        announcing.abort();
    }
}

/// Guards against DRAIN at a node whose coordinator ends during an outage: the node finds out
/// itself when the source returns.
#[tokio::test(start_paused = true)]
async fn a_coordinator_that_ends_in_an_outage_does_not_delay_leaving() {
    const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(400);
    for step in 0..STEPS {
        let length = Duration::from_secs(5) + STEP * step;
        let (directory, follower) = with_two_endpoints().await;
        let announce = |number| {
            let view = View {
                digest: 0,
                number,
                age: Duration::ZERO,
                era: Era::default(),
            };
            follower.view.apply(1, &view);
        };
        announce(1);
        directory.set_away(Some(Away::Silent));
        let start = Instant::now();
        while start.elapsed() + ANNOUNCEMENT_INTERVAL < length {
            // It goes on to announce its last read.
            announce(1);
            sleep(ANNOUNCEMENT_INTERVAL).await;
        }
        directory.remove("leaves");
        sleep_until(start + length).await;
        directory.set_away(None);
        sleep(CONTACT_TIME).await;
        assert!(
            !follower.uses("leaves"),
            "still used {CONTACT_TIME:?} after an outage of {length:?}"
        );
        assert!(follower.uses("lives"), "given up after {length:?}");
    }
}

/// Guards against an endpoint that lives and is given up after an outage: the call is lost that
/// would have shown its description, which it wrote again in time.
#[tokio::test(start_paused = true)]
async fn a_read_that_is_lost_after_an_outage_does_not_end_endpoints() {
    for step in 0..STEPS {
        let (directory, follower) = with_two_endpoints().await;
        directory.set_away(Some(Away::Silent));
        sleep(Duration::from_secs(4)).await;
        directory.remove("leaves");
        directory.remove("lives");
        directory.set_away(None);
        let returned = Instant::now();
        let lost_at = returned + Duration::from_secs(1) + STEP / 2 * step;
        let written_at = returned + LAST_RENEWAL;
        sleep_until(lost_at.min(written_at)).await;
        if lost_at < written_at {
            directory.lose_calls(1);
        }
        sleep_until(written_at).await;
        directory.write("lives", Standing::Live, 1);
        if lost_at >= written_at {
            sleep_until(lost_at).await;
            directory.lose_calls(1);
        }
        while returned.elapsed() < CONTACT_TIME {
            assert!(follower.uses("lives"), "given up in step {step}");
            sleep(Duration::from_millis(10)).await;
        }
        assert!(!follower.uses("leaves"), "still used in step {step}");
    }
}

/// A node and its view of the directory; each node has its own path to it.
struct Nodes {
    directories: [Directory; 2],
    followers: [Follower; 2],
}

impl Nodes {
    async fn start() -> Self {
        Self::start_in([Directory::default(), Directory::default()]).await
    }

    /// Starts nodes whose source tells the revision of each description.
    async fn start_with_revisions() -> Self {
        Self::start_in([Directory::with_eras(), Directory::with_eras()]).await
    }

    async fn start_in([first, second]: [Directory; 2]) -> Self {
        let (first, first_follower) = with_two_endpoints_in(first).await;
        let (second, second_follower) = with_two_endpoints_in(second).await;
        Self {
            directories: [first, second],
            followers: [first_follower, second_follower],
        }
    }

    fn write(&self, name: &str, started_ms: u64) {
        for directory in &self.directories {
            directory.write(name, Standing::Live, started_ms);
        }
    }

    fn remove(&self, name: &str) {
        for directory in &self.directories {
            directory.remove(name);
        }
    }

    /// Checks that the next process of an endpoint is used by the node that reads its
    /// description, and that the one before is not used by the other node.
    fn assert_only_the_next_is_used(&self) {
        let [reader, cut] = &self.followers;
        assert!(reader.uses("leaves") && reader.uses("lives"));
        assert!(!cut.uses("leaves") && cut.uses("lives"));
    }

    /// Lets time pass while the nodes exchange heartbeats.
    async fn exchange(&self, span: Duration) {
        let start = Instant::now();
        while start.elapsed() < span {
            let [first, second] = &self.followers;
            first.view.record_listings(&second.view.listings());
            second.view.record_listings(&first.view.listings());
            sleep(Duration::from_millis(100)).await;
        }
    }
}

/// Guards against DRAIN at a node that can't read the source: it learns from another node
/// which endpoints left, and which are back, while its own path is cut.
#[tokio::test(start_paused = true)]
async fn a_node_that_is_cut_learns_from_others_who_left() {
    let nodes = Nodes::start().await;
    let [reader, cut] = &nodes.followers;
    nodes.directories[1].set_away(Some(Away::Silent));
    nodes.exchange(Duration::from_secs(5)).await;
    nodes.remove("leaves");
    nodes.exchange(DRAIN_TIME).await;
    assert!(!reader.uses("leaves") && !cut.uses("leaves"), "it left");
    assert!(
        reader.uses("lives") && cut.uses("lives"),
        "it did not leave"
    );
    // Its description expired, and it wrote it again.
    nodes.remove("lives");
    nodes.exchange(DRAIN_TIME).await;
    assert!(!cut.uses("lives"));
    nodes.write("lives", 1);
    nodes.exchange(DRAIN_TIME).await;
    assert!(reader.uses("lives") && cut.uses("lives"), "it is back");
    nodes.directories[1].set_away(None);
    nodes.exchange(CONTACT_TIME).await;
    assert!(!cut.uses("leaves") && cut.uses("lives"));
}

/// A node whose view is older than the other's does not take endpoints away that are listed
/// there, and a later process of an endpoint that left is used.
#[tokio::test(start_paused = true)]
async fn a_later_process_of_an_endpoint_is_used_again() {
    let nodes = Nodes::start().await;
    let [reader, cut] = &nodes.followers;
    nodes.remove("leaves");
    sleep(DRAIN_TIME).await;
    nodes.directories[1].set_away(Some(Away::Silent));
    nodes.exchange(Duration::from_secs(3)).await;
    nodes.write("leaves", 2);
    nodes.exchange(DRAIN_TIME).await;
    assert!(reader.uses("leaves"));
    nodes.directories[1].set_away(None);
    nodes.exchange(CONTACT_TIME).await;
    assert!(reader.uses("leaves") && cut.uses("leaves"));
}

/// How the process of an endpoint is followed by the next one under the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Replacement {
    /// It says that it leaves, and its description is removed.
    Planned,
    /// Its description is removed.
    Removed,
    /// Its description is overwritten by the next process.
    Overwritten,
}

/// Guards against ORDER at a node that can't read the source: a process that ended, whose version
/// it knows, is not used again when the next one is listed under the same id.
#[rstest]
#[case::planned(Replacement::Planned)]
#[case::removed(Replacement::Removed)]
#[case::overwritten(Replacement::Overwritten)]
#[tokio::test(start_paused = true)]
async fn a_node_that_is_cut_does_not_use_an_ended_process(#[case] replacement: Replacement) {
    let nodes = Nodes::start().await;
    let cut = &nodes.followers[1];
    nodes.directories[1].set_away(Some(Away::Silent));
    nodes.exchange(Duration::from_secs(5)).await;
    if replacement == Replacement::Planned {
        for directory in &nodes.directories {
            directory.write("leaves", Standing::Leaving, 1);
        }
        nodes.exchange(DRAIN_TIME).await;
    }
    if replacement != Replacement::Overwritten {
        nodes.remove("leaves");
        nodes.exchange(DRAIN_TIME).await;
        assert!(!cut.uses("leaves"), "it left");
    }
    nodes.write("leaves", 2);
    nodes.exchange(DRAIN_TIME).await;
    for _ in 0..20 {
        nodes.exchange(Duration::from_millis(200)).await;
        nodes.assert_only_the_next_is_used();
    }
    nodes.directories[1].set_away(None);
    nodes.exchange(CONTACT_TIME).await;
    assert!(cut.uses("leaves") && cut.uses("lives"), "the next process");
}

/// The clock by which the next process of an endpoint tells when it started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StartClock {
    /// It goes forward.
    Forward,
    /// It was set back since the process before started.
    SetBack,
}

/// Replaces the process of an endpoint while nothing passes between the nodes.
async fn replace_unheard(nodes: &Nodes, replacement: Replacement, started_ms: u64) {
    if replacement == Replacement::Planned {
        for directory in &nodes.directories {
            directory.write("leaves", Standing::Leaving, 1);
        }
        sleep(DRAIN_TIME).await;
    }
    if replacement != Replacement::Overwritten {
        nodes.remove("leaves");
        sleep(Duration::from_millis(1400)).await;
    }
    nodes.write("leaves", started_ms);
    sleep(DRAIN_TIME).await;
}

/// Guards against ORDER at a node that can't read the source and hears only of the next process
/// of an endpoint: nothing passed between the nodes while the one before left.
#[rstest]
#[case::planned(Replacement::Planned)]
#[case::removed(Replacement::Removed)]
#[case::overwritten(Replacement::Overwritten)]
#[tokio::test(start_paused = true)]
async fn a_process_has_ended_if_only_the_next_one_is_heard_of(#[case] replacement: Replacement) {
    let nodes = Nodes::start_with_revisions().await;
    let cut = &nodes.followers[1];
    nodes.directories[1].set_away(Some(Away::Silent));
    sleep(Duration::from_secs(5)).await;
    replace_unheard(&nodes, replacement, 2).await;
    nodes.exchange(Duration::from_secs(1)).await;
    nodes.assert_only_the_next_is_used();
    nodes.directories[1].set_away(None);
    nodes.exchange(CONTACT_TIME).await;
    assert!(cut.uses("leaves") && cut.uses("lives"), "the next process");
}

/// Guards against ORDER at a node that can't read the source and knows of an earlier replacement:
/// it hears only that the process after the one that it uses is listed.
#[rstest]
#[case::planned(Replacement::Planned)]
#[case::removed(Replacement::Removed)]
#[case::overwritten(Replacement::Overwritten)]
#[tokio::test(start_paused = true)]
async fn a_process_has_ended_if_the_one_before_was_replaced_too(#[case] replacement: Replacement) {
    let nodes = Nodes::start_with_revisions().await;
    let [reader, cut] = &nodes.followers;
    nodes.remove("leaves");
    nodes.exchange(DRAIN_TIME).await;
    nodes.write("leaves", 2);
    nodes.exchange(DRAIN_TIME).await;
    assert!(reader.uses("leaves") && cut.uses("leaves"));
    nodes.directories[1].set_away(Some(Away::Silent));
    sleep(Duration::from_secs(5)).await;
    replace_unheard(&nodes, replacement, 3).await;
    nodes.exchange(Duration::from_secs(1)).await;
    nodes.assert_only_the_next_is_used();
}

/// Guards against ORDER at a node that can't read the source: a process that ended is not used
/// again when the next ones are listed and leave, whatever start times they name.
#[rstest]
#[case::removed(Replacement::Removed, StartClock::Forward)]
#[case::removed_and_set_back(Replacement::Removed, StartClock::SetBack)]
#[case::overwritten(Replacement::Overwritten, StartClock::Forward)]
#[case::overwritten_and_set_back(Replacement::Overwritten, StartClock::SetBack)]
#[tokio::test(start_paused = true)]
async fn a_process_stays_ended_through_later_replacements(
    #[case] replacement: Replacement,
    #[case] clock: StartClock,
    #[values(true, false)] is_heard: bool,
) {
    let nodes = Nodes::start_with_revisions().await;
    let cut = &nodes.followers[1];
    nodes.write("leaves", 100);
    nodes.exchange(DRAIN_TIME).await;
    nodes.directories[1].set_away(Some(Away::Silent));
    nodes.exchange(Duration::from_secs(5)).await;
    for number in 1..=3 {
        let started_ms = match clock {
            StartClock::Forward => 100 + number,
            StartClock::SetBack => 100 - number,
        };
        if is_heard {
            if replacement == Replacement::Removed {
                nodes.remove("leaves");
                nodes.exchange(DRAIN_TIME).await;
            }
            nodes.write("leaves", started_ms);
        } else {
            replace_unheard(&nodes, replacement, started_ms).await;
        }
        nodes.exchange(DRAIN_TIME).await;
        nodes.assert_only_the_next_is_used();
    }
    nodes.directories[1].set_away(None);
    nodes.exchange(CONTACT_TIME).await;
    assert!(cut.uses("leaves") && cut.uses("lives"), "the last process");
}

/// Guards against ORDER at a node that can't read the source for longer than reports are
/// remembered: a process that ended is not used again.
#[tokio::test(start_paused = true)]
async fn a_process_stays_ended_in_a_long_outage() {
    let nodes = Nodes::start_with_revisions().await;
    let [_, cut] = &nodes.followers;
    nodes.directories[1].set_away(Some(Away::Refused));
    nodes.exchange(Duration::from_secs(5)).await;
    nodes.remove("leaves");
    nodes.exchange(DRAIN_TIME).await;
    assert!(!cut.uses("leaves"), "it left");
    for _ in 0..4 {
        sleep(Duration::from_mins(5)).await;
        assert!(!cut.uses("leaves") && cut.uses("lives"));
    }
    // Another change, after which the node publishes its endpoints anew.
    nodes.remove("lives");
    nodes.exchange(DRAIN_TIME).await;
    assert!(!cut.uses("leaves") && !cut.uses("lives"));
}

/// Guards against an endpoint that lives and is given up by a node that has read its description:
/// another node reads only a later one of the same process, after that of the one before.
#[rstest]
#[case::forward(StartClock::Forward)]
#[case::set_back(StartClock::SetBack)]
#[tokio::test(start_paused = true)]
async fn a_process_that_others_learn_of_late_is_not_given_up(#[case] clock: StartClock) {
    let nodes = Nodes::start_with_revisions().await;
    let [late, cut] = &nodes.followers;
    nodes.write("leaves", 100);
    nodes.exchange(DRAIN_TIME).await;
    let next = match clock {
        StartClock::Forward => 101,
        StartClock::SetBack => 99,
    };
    nodes.directories[0].set_away(Some(Away::Silent));
    sleep(Duration::from_secs(3)).await;
    nodes.write("leaves", next);
    sleep(DRAIN_TIME).await;
    nodes.directories[1].set_away(Some(Away::Silent));
    sleep(Duration::from_secs(3)).await;
    nodes.write("leaves", next);
    nodes.directories[0].cut();
    nodes.directories[0].set_away(None);
    for _ in 0..30 {
        nodes.exchange(Duration::from_millis(100)).await;
        assert!(cut.uses("leaves") && cut.uses("lives"));
    }
    assert!(late.uses("leaves") && late.uses("lives"));
}

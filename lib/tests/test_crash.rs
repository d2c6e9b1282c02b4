//! Detection of requests that crash endpoints.

use dottereltally_lib::{
    crash::{Attempt, Detector, Finding},
    id,
    quarantine::Verdict,
    time,
};
use rstest::rstest;

const REQUEST: id::Fingerprint = id::Fingerprint(7);

fn at(millis: u64) -> time::Instant {
    time::Instant::from_micros(millis * 1000)
}

fn endpoint(name: &str) -> id::Endpoint {
    id::Endpoint::from(name)
}

fn data_centre() -> id::DataCentre {
    id::DataCentre::from("dc")
}

fn start(detector: &mut Detector, millis: u64, name: &str) -> Attempt {
    let started = detector.start(at(millis), REQUEST, &endpoint(name));
    started.expect("the request may be sent")
}

/// Loses the request at an endpoint; the examination 500 ms later has this finding.
fn lose(detector: &mut Detector, millis: u64, name: &str, finding: Finding) {
    let attempt = start(detector, millis, name);
    assert!(detector.lose(at(millis + 100), attempt));
    let (_, again) =
        detector.conclude(at(millis + 600), &endpoint(name), at(millis + 100), finding);
    assert!(!again);
}

/// Sends the request to an endpoint that it crashes.
fn crash(detector: &mut Detector, millis: u64, name: &str) {
    lose(detector, millis, name, Finding::Dead);
}

/// Passes the suspicions of one node to another, as often as needed.
fn share(from: &mut Detector, to: &mut Detector, millis: u64) {
    for round in 0..8 {
        for mark in from.marks_to_share(at(millis + round)) {
            to.apply_mark(at(millis + round), mark);
        }
    }
}

#[test]
fn two_dead_endpoints_confirm_the_request() {
    let mut detector = Detector::default();
    crash(&mut detector, 1000, "a");
    assert_eq!(detector.verdict(at(2000), REQUEST), Verdict::Suspect);
    crash(&mut detector, 3000, "b");
    assert_eq!(detector.verdict(at(4000), REQUEST), Verdict::Confirmed);
}

#[test]
fn one_endpoint_found_dead_twice_does_not_confirm() {
    let mut detector = Detector::default();
    crash(&mut detector, 1000, "a");
    crash(&mut detector, 3000, "a");
    assert_ne!(detector.verdict(at(4000), REQUEST), Verdict::Confirmed);
}

#[rstest]
#[case(Finding::Alive)]
#[case(Finding::Unreachable)]
#[case(Finding::Leaving)]
fn a_loss_alone_is_no_death(#[case] finding: Finding) {
    let mut detector = Detector::default();
    for (number, name) in ["a", "b", "c", "d"].into_iter().enumerate() {
        lose(&mut detector, 1000 * number as u64, name, finding);
    }
    assert_eq!(detector.verdict(at(5000), REQUEST), Verdict::Clear);
}

#[test]
fn marks_sent_to_another_node_confirm_there_too() {
    let mut detector = Detector::default();
    crash(&mut detector, 1000, "a");
    crash(&mut detector, 2000, "b");
    let mut other = Detector::default();
    share(&mut detector, &mut other, 2700);
    assert_eq!(other.verdict(at(2800), REQUEST), Verdict::Confirmed);
}

/// Guards against nodes that never learn of a crashing request, because they were
/// cut off, paused or not yet started when it was found.
#[test]
fn a_node_that_starts_a_minute_later_learns_of_a_crashing_request() {
    let mut detector = Detector::default();
    for (number, name) in ["a", "b", "c"].into_iter().enumerate() {
        let mut finder = Detector::default();
        crash(&mut finder, 1000 + number as u64, name);
        share(&mut finder, &mut detector, 1700);
    }
    let mut late = Detector::default();
    share(&mut detector, &mut late, 61_000);
    assert_eq!(late.verdict(at(61_100), REQUEST), Verdict::Confirmed);
}

/// Guards against deaths that count only at the node that found them.
#[test]
fn deaths_found_by_different_nodes_at_once_add_up() {
    let mut one = Detector::default();
    let mut other = Detector::default();
    crash(&mut one, 1000, "a");
    crash(&mut other, 1000, "b");
    share(&mut one, &mut other, 1700);
    assert_eq!(other.verdict(at(1800), REQUEST), Verdict::Confirmed);
}

#[test]
fn an_answered_suspect_is_cleared() {
    let mut detector = Detector::default();
    crash(&mut detector, 1000, "a");
    detector.clear(at(2000), REQUEST);
    assert_eq!(detector.verdict(at(3000), REQUEST), Verdict::Clear);
}

#[test]
fn a_clearance_reaches_the_other_nodes() {
    let mut one = Detector::default();
    let mut other = Detector::default();
    crash(&mut one, 1000, "a");
    share(&mut one, &mut other, 1700);
    assert_eq!(other.verdict(at(1800), REQUEST), Verdict::Suspect);
    one.clear(at(2000), REQUEST);
    share(&mut one, &mut other, 2100);
    assert_eq!(other.verdict(at(2200), REQUEST), Verdict::Clear);
}

/// A node that missed a clearance reports the suspicion again, long after the
/// clearance was news.
#[test]
fn a_missed_clearance_is_repeated() {
    let mut one = Detector::default();
    let mut other = Detector::default();
    crash(&mut one, 1000, "a");
    crash(&mut one, 1700, "b");
    share(&mut one, &mut other, 2400);
    one.clear(at(2500), REQUEST);
    share(&mut other, &mut one, 60_000);
    assert_eq!(one.verdict(at(60_100), REQUEST), Verdict::Clear);
    share(&mut one, &mut other, 60_100);
    assert_eq!(other.verdict(at(60_200), REQUEST), Verdict::Clear);
}

#[test]
fn two_silent_endpoints_do_not_confirm_but_three_do() {
    let mut detector = Detector::default();
    lose(&mut detector, 1000, "a", Finding::Silent);
    lose(&mut detector, 2000, "b", Finding::Silent);
    assert_eq!(detector.verdict(at(3000), REQUEST), Verdict::Suspect);
    lose(&mut detector, 3000, "c", Finding::Silent);
    assert_eq!(detector.verdict(at(4000), REQUEST), Verdict::Confirmed);
}

/// A request that was at two deaths by chance is served again after half a minute;
/// one that crashes a third endpoint then is not.
#[test]
fn two_deaths_refuse_for_a_short_time_and_three_for_long() {
    let mut detector = Detector::default();
    crash(&mut detector, 1000, "a");
    crash(&mut detector, 2000, "b");
    assert_eq!(detector.verdict(at(30_000), REQUEST), Verdict::Confirmed);
    assert_eq!(detector.verdict(at(33_000), REQUEST), Verdict::Suspect);
    crash(&mut detector, 33_000, "c");
    assert_eq!(detector.verdict(at(500_000), REQUEST), Verdict::Confirmed);
}

#[test]
fn a_suspect_runs_once_at_a_time() {
    let mut detector = Detector::default();
    crash(&mut detector, 1000, "a");
    let first = start(&mut detector, 2000, "b");
    let second = detector.start(at(2000), REQUEST, &endpoint("c"));
    assert_eq!(second.err(), Some(Verdict::Suspect));
    detector.finish(&first);
    assert!(detector.start(at(2100), REQUEST, &endpoint("c")).is_ok());
}

/// Guards against a retry that crashes one more endpoint before the death of the
/// last one is known.
#[test]
fn a_suspect_waits_for_the_examination_of_its_last_endpoint() {
    let mut detector = Detector::default();
    crash(&mut detector, 1000, "a");
    let attempt = start(&mut detector, 2000, "b");
    detector.lose(at(2100), attempt);
    let retried = detector.start(at(2110), REQUEST, &endpoint("c"));
    assert_eq!(retried.err(), Some(Verdict::Suspect));
    detector.conclude(at(2200), &endpoint("b"), at(2100), Finding::Alive);
    assert!(detector.start(at(2300), REQUEST, &endpoint("c")).is_ok());
}

/// Guards against a death that goes uncounted as the endpoint is back at once: the
/// examination already reaches its next process.
#[rstest]
#[case::same_name(true)]
#[case::same_address(false)]
fn an_endpoint_that_restarted_in_time_has_died(#[case] same_name: bool) {
    let mut detector = Detector::default();
    for (number, name) in ["a", "b"].into_iter().enumerate() {
        let millis = 1000 * (number as u64 + 1);
        detector.record_started(at(0), &endpoint(name), 1);
        lose(&mut detector, millis, name, Finding::Alive);
        let changes = if same_name {
            detector.record_started(at(millis + 900), &endpoint(name), 2)
        } else {
            detector.record_replaced(at(millis + 900), &endpoint(name))
        };
        assert_eq!(changes.len(), 1);
    }
    assert_eq!(detector.verdict(at(4000), REQUEST), Verdict::Confirmed);
}

/// A request that was answered elsewhere did not end the endpoint that lost it.
#[test]
fn an_answer_settles_the_losses_before_it() {
    let mut detector = Detector::default();
    let attempt = start(&mut detector, 1000, "a");
    detector.lose(at(1100), attempt);
    detector.clear(at(1200), REQUEST);
    detector.conclude(at(1300), &endpoint("a"), at(1100), Finding::Dead);
    assert_eq!(detector.verdict(at(1400), REQUEST), Verdict::Clear);
}

/// A request that was lost as its endpoint left is not suspected when another
/// endpoint takes over the address.
#[test]
fn a_planned_end_settles_the_losses_before_it() {
    let mut detector = Detector::default();
    lose(&mut detector, 1000, "a", Finding::Leaving);
    assert!(
        detector
            .record_replaced(at(3000), &endpoint("a"))
            .is_empty()
    );
    assert_eq!(detector.verdict(at(3100), REQUEST), Verdict::Clear);
}

/// A loss is evidence for a while only.
#[test]
fn a_restart_long_after_a_loss_is_unrelated() {
    let mut detector = Detector::default();
    detector.record_started(at(0), &endpoint("a"), 1);
    lose(&mut detector, 1000, "a", Finding::Alive);
    detector.maintain(at(20_000));
    let changes = detector.record_started(at(20_000), &endpoint("a"), 2);
    assert!(changes.is_empty());
}

/// Each process of an endpoint dies once.
#[test]
fn an_endpoint_that_keeps_its_name_counts_for_each_process() {
    let mut detector = Detector::default();
    detector.record_started(at(0), &endpoint("a"), 1);
    crash(&mut detector, 1000, "a");
    detector.record_started(at(2000), &endpoint("a"), 2);
    crash(&mut detector, 3000, "a");
    assert_eq!(detector.verdict(at(4000), REQUEST), Verdict::Confirmed);
}

#[test]
fn an_endpoint_that_is_heard_later_had_not_died() {
    let mut detector = Detector::default();
    crash(&mut detector, 1000, "a");
    crash(&mut detector, 2000, "b");
    for name in ["a", "b"] {
        detector.record_heard(at(4000), &endpoint(name), &data_centre());
    }
    // The directory may still name a process that has started since.
    assert_eq!(detector.verdict(at(4100), REQUEST), Verdict::Confirmed);
    for name in ["a", "b"] {
        let changes = detector.record_heard(at(9000), &endpoint(name), &data_centre());
        assert_eq!(changes.len(), 1);
    }
    assert_eq!(detector.verdict(at(9100), REQUEST), Verdict::Clear);
}

/// While the directory can't be read, a restart goes unnoticed.
#[test]
fn an_endpoint_heard_in_an_outage_of_the_directory_may_be_another_process() {
    let mut detector = Detector::default();
    crash(&mut detector, 1000, "a");
    detector.set_directory_available(at(1500), false);
    detector.record_heard(at(9000), &endpoint("a"), &data_centre());
    detector.set_directory_available(at(9500), true);
    detector.record_heard(at(10_000), &endpoint("a"), &data_centre());
    assert_eq!(detector.verdict(at(10_100), REQUEST), Verdict::Suspect);
    detector.record_heard(at(15_000), &endpoint("a"), &data_centre());
    assert_eq!(detector.verdict(at(15_100), REQUEST), Verdict::Clear);
}

/// A process that was dead when the request was sent to it did not run it.
#[test]
fn a_request_sent_after_a_death_did_not_cause_it() {
    let mut detector = Detector::default();
    let other = id::Fingerprint(8);
    let attempt = detector.start(at(1000), other, &endpoint("a")).unwrap();
    detector.lose(at(1100), attempt);
    detector.conclude(at(1200), &endpoint("a"), at(1100), Finding::Dead);
    crash(&mut detector, 1300, "a");
    assert_eq!(detector.verdict(at(2000), other), Verdict::Suspect);
    assert_eq!(detector.verdict(at(2000), REQUEST), Verdict::Clear);
}

/// A loss during an examination is not covered by its result.
#[test]
fn a_loss_after_the_endpoint_was_found_alive_is_examined_as_well() {
    let mut detector = Detector::default();
    let first = start(&mut detector, 1000, "a");
    let second = start(&mut detector, 1000, "a");
    assert!(detector.lose(at(1100), first));
    assert!(!detector.lose(at(1150), second), "it is being examined");
    let (_, again) = detector.conclude(at(1200), &endpoint("a"), at(1100), Finding::Alive);
    assert!(again);
    let (changes, again) = detector.conclude(at(1300), &endpoint("a"), at(1200), Finding::Dead);
    assert!(!again);
    assert_eq!(changes.len(), 1);
}

#[test]
fn an_examination_is_asked_for_once_at_a_time() {
    let mut detector = Detector::default();
    let first = start(&mut detector, 1000, "a");
    let second = start(&mut detector, 1000, "a");
    assert!(detector.lose(at(1100), first));
    assert!(!detector.lose(at(1100), second));
    detector.conclude(at(1200), &endpoint("a"), at(1100), Finding::Alive);
    let third = start(&mut detector, 1300, "a");
    assert!(detector.lose(at(1400), third));
}

/// A suspicion expires although nodes go on reporting it to each other.
#[test]
fn a_suspicion_expires_everywhere() {
    let mut nodes = [Detector::default(), Detector::default()];
    for (number, name) in ["a", "b", "c"].into_iter().enumerate() {
        let millis = 1000 + 700 * number as u64;
        lose(&mut nodes[0], millis, name, Finding::Silent);
    }
    let [one, other] = &mut nodes;
    for second in 3..620 {
        share(one, other, second * 1000);
        share(other, one, second * 1000 + 50);
    }
    assert_eq!(one.verdict(at(620_000), REQUEST), Verdict::Clear);
    assert_eq!(other.verdict(at(620_000), REQUEST), Verdict::Clear);
}

/// One report stays within the size of a datagram, and what it leaves out follows.
#[test]
fn reports_are_bounded_and_name_every_crashing_request_in_turn() {
    let mut detector = Detector::default();
    for number in 0..100 {
        let request = id::Fingerprint(number);
        for name in ["a", "b"] {
            let name = endpoint(&format!("{name}{number}"));
            let attempt = detector.start(at(1000), request, &name).unwrap();
            detector.lose(at(1000), attempt);
            detector.conclude(at(1000), &name, at(1000), Finding::Dead);
        }
    }
    let mut late = Detector::default();
    for report in 0..60 {
        let marks = detector.marks_to_share(at(20_000 + report));
        assert!(marks.len() <= 32);
        for mark in marks {
            late.apply_mark(at(20_000 + report), mark);
        }
    }
    for number in 0..100 {
        let verdict = late.verdict(at(20_100), id::Fingerprint(number));
        assert_eq!(verdict, Verdict::Confirmed, "request {number}");
    }
}

#[test]
fn evidence_is_bounded_and_what_is_dropped_is_counted() {
    let mut detector = Detector::default();
    for number in 0..5000 {
        let request = id::Fingerprint(number);
        let attempt = detector.start(at(1000), request, &endpoint("a")).unwrap();
        detector.lose(at(1000), attempt);
    }
    assert_eq!(detector.maintain(at(1050)), 4000);
    assert_eq!(detector.maintain(at(1050)), 0);
    detector.conclude(at(1100), &endpoint("a"), at(1000), Finding::Dead);
    // The newest losses are kept.
    let verdict = detector.verdict(at(1200), id::Fingerprint(4999));
    assert_eq!(verdict, Verdict::Suspect);
    assert_eq!(
        detector.verdict(at(1200), id::Fingerprint(0)),
        Verdict::Clear
    );
}

//! Detection of requests that crash endpoints.

use std::time::Duration;

use dottereltally_lib::{crash::Detector, id, quarantine::Verdict, time};

const REQUEST: id::Fingerprint = id::Fingerprint(7);

fn at(millis: u64) -> time::Instant {
    time::Instant::from_micros(millis * 1000)
}

fn endpoint(name: &str) -> id::Endpoint {
    id::Endpoint::from(name)
}

/// Breaks the request's connection to an endpoint, which is found dead 500 ms
/// later.
fn crash(detector: &mut Detector, millis: u64, name: &str) {
    detector.record_broken(at(millis), &endpoint(name), REQUEST);
    detector.record_death(at(millis + 500), &endpoint(name));
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

#[test]
fn a_broken_connection_alone_is_no_death() {
    let mut detector = Detector::default();
    detector.record_broken(at(0), &endpoint("a"), REQUEST);
    assert!(detector.record_death(at(5000), &endpoint("a")).is_empty());
    assert_eq!(detector.verdict(at(5000), REQUEST), Verdict::Clear);
}

#[test]
fn marks_sent_to_another_node_confirm_there_too() {
    let mut detector = Detector::default();
    crash(&mut detector, 1000, "a");
    crash(&mut detector, 2000, "b");
    let mut other = Detector::default();
    for (mark, valid) in detector.marks_to_share(at(2600)) {
        other.apply_mark(at(2600), mark, valid);
    }
    assert_eq!(other.verdict(at(2700), REQUEST), Verdict::Confirmed);
    assert!(
        detector
            .marks_to_share(at(2600) + Duration::from_mins(1))
            .is_empty()
    );
}

#[test]
fn an_answered_suspect_is_cleared() {
    let mut detector = Detector::default();
    crash(&mut detector, 1000, "a");
    detector.record_answered(at(2000), REQUEST);
    assert_eq!(detector.verdict(at(3000), REQUEST), Verdict::Clear);
}

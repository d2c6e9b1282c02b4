//! Detection of requests that crash endpoints.

use std::time::Duration;

use dottereltally_lib::{crash::Watch, id, quarantine::Verdict, time};

const REQUEST: id::Fingerprint = id::Fingerprint(7);

fn at(millis: u64) -> time::Instant {
    time::Instant::from_micros(millis * 1000)
}

fn endpoint(name: &str) -> id::Endpoint {
    id::Endpoint::from(name)
}

fn crash(watch: &mut Watch, millis: u64, name: &str) {
    watch.broke(at(millis), &endpoint(name), REQUEST);
    watch.died(at(millis + 500), &endpoint(name));
}

#[test]
fn two_endpoints_dead_with_the_request_confirm_it() {
    let mut watch = Watch::default();
    crash(&mut watch, 1000, "a");
    assert_eq!(watch.verdict(at(2000), REQUEST), Verdict::Suspect);
    crash(&mut watch, 3000, "b");
    assert_eq!(watch.verdict(at(4000), REQUEST), Verdict::Confirmed);
}

#[test]
fn one_endpoint_found_dead_twice_confirms_nothing() {
    let mut watch = Watch::default();
    crash(&mut watch, 1000, "a");
    crash(&mut watch, 3000, "a");
    assert_ne!(watch.verdict(at(4000), REQUEST), Verdict::Confirmed);
}

#[test]
fn a_broken_connection_alone_is_no_death() {
    let mut watch = Watch::default();
    watch.broke(at(0), &endpoint("a"), REQUEST);
    assert_eq!(watch.died(at(5000), &endpoint("a")), 0);
    assert_eq!(watch.verdict(at(5000), REQUEST), Verdict::Clear);
}

#[test]
fn marks_told_to_another_node_confirm_there_too() {
    let mut watch = Watch::default();
    crash(&mut watch, 1000, "a");
    crash(&mut watch, 2000, "b");
    let mut other = Watch::default();
    for (mark, valid) in watch.fresh(at(2600)) {
        other.hear(at(2600), mark, valid);
    }
    assert_eq!(other.verdict(at(2700), REQUEST), Verdict::Confirmed);
    assert!(watch.fresh(at(2600) + Duration::from_mins(1)).is_empty());
}

#[test]
fn an_answered_suspect_is_cleared() {
    let mut watch = Watch::default();
    crash(&mut watch, 1000, "a");
    watch.answered(at(2000), REQUEST);
    assert_eq!(watch.verdict(at(3000), REQUEST), Verdict::Clear);
}

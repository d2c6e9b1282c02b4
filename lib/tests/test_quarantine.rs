//! Requests that crash endpoints, and those that only ran at the same time.

mod support;

use std::{collections::BTreeSet, time::Duration};

use dottereltally_lib::{
    balance::Policy,
    effect::Effect,
    event::{Event, Outcome},
    id::{Fingerprint, Prefix, Request},
    quarantine::{MARK_TTL, Marks, Verdict},
    refusal::Reason,
    request::Profile,
    scheduler::Scheduler,
    size::Tokens,
};
use support::{admitted, arrive, at, core, profile, refused};

fn with_fingerprint(tier: u8, fingerprint: u64) -> Profile {
    Profile {
        fingerprint: Fingerprint(fingerprint),
        ..profile(tier, 100, 100)
    }
}

/// Breaks the connections of these requests and reports their endpoint dead;
/// returns the marks that the death adds.
fn kill_endpoint(
    core: &mut Scheduler,
    now: u64,
    endpoint: &str,
    requests: &[u64],
) -> Vec<Fingerprint> {
    for request in requests {
        core.handle(at(now), Event::Ended(Request(*request), Outcome::Broken));
    }
    let mut marks = Vec::new();
    for effect in core.handle(at(now), Event::Probed(endpoint.into(), false)) {
        if let Effect::Quarantine(mark) = effect {
            marks.push(mark);
        }
    }
    marks
}

fn answer(core: &mut Scheduler, now: u64, request: u64) -> Vec<Effect> {
    let outcome = Outcome::Answered {
        cached: Tokens(0),
        output: Tokens(10),
    };
    core.handle(at(now), Event::Ended(Request(request), outcome))
}

fn share_marks(core: &mut Scheduler, now: u64, marks: &[Fingerprint]) {
    let marks = marks.iter().map(|mark| (*mark, MARK_TTL)).collect();
    core.handle(at(now), Event::Suspected(marks));
}

#[test]
fn second_death_confirms() {
    let mut marks = Marks::default();
    let crashing = Fingerprint(7);
    marks.record_death(at(0), crashing, &"e0".into());
    assert_eq!(marks.verdict(at(1), crashing), Verdict::Suspect);
    marks.record_death(at(2), crashing, &"e1".into());
    assert_eq!(marks.verdict(at(3), crashing), Verdict::Confirmed);
    let later = at(4) + MARK_TTL;
    assert_eq!(marks.verdict(later, crashing), Verdict::Clear);
}

#[test]
fn same_death_seen_by_two_nodes_counts_once() {
    let (mut one, mut two) = (Marks::default(), Marks::default());
    for mark in one.record_death(at(0), Fingerprint(7), &"e0".into()) {
        two.add(at(1), mark, Duration::from_mins(1));
    }
    two.record_death(at(2), Fingerprint(7), &"e0".into());
    assert_eq!(two.verdict(at(3), Fingerprint(7)), Verdict::Suspect);
}

#[test]
fn crashing_request_is_refused_at_every_node_after_two_deaths() {
    let mut one = core(Policy::TwoChoices, 10_000, 4);
    let mut two = core(Policy::TwoChoices, 10_000, 4);
    let first = admitted(&arrive(&mut one, 0, 1, with_fingerprint(0, 7)), 1).expect("admitted");
    let marks = kill_endpoint(&mut one, 10, first.as_str(), &[1]);
    assert!(!marks.is_empty());
    share_marks(&mut two, 20, &marks);
    two.handle(at(20), Event::Probed(first.clone(), false));
    let second = admitted(&arrive(&mut two, 6000, 1, with_fingerprint(0, 7)), 1)
        .expect("a suspect runs once more");
    assert_ne!(first, second);
    let marks = kill_endpoint(&mut two, 6010, second.as_str(), &[1]);
    let effects = arrive(&mut two, 6020, 2, with_fingerprint(0, 7));
    assert_eq!(refused(&effects, 2).expect("refused").0, Reason::Quarantine);
    share_marks(&mut one, 6030, &marks);
    let effects = arrive(&mut one, 6040, 2, with_fingerprint(0, 7));
    assert_eq!(refused(&effects, 2).expect("refused").0, Reason::Quarantine);
}

#[test]
fn harmless_request_in_flight_at_a_crash_is_served_when_sent_again() {
    let mut core = core(Policy::TwoChoices, 10_000, 1);
    arrive(&mut core, 0, 1, with_fingerprint(0, 7));
    arrive(&mut core, 0, 2, with_fingerprint(0, 8));
    kill_endpoint(&mut core, 10, "e0", &[1, 2]);
    core.handle(at(1000), Event::Probed("e0".into(), true));
    assert!(admitted(&arrive(&mut core, 2000, 3, with_fingerprint(0, 8)), 3).is_some());
    assert!(
        arrive(&mut core, 2001, 4, with_fingerprint(0, 9)).is_empty(),
        "a suspect runs alone"
    );
    let effects = answer(&mut core, 2100, 3);
    assert!(admitted(&effects, 4).is_some());
    assert!(
        admitted(&arrive(&mut core, 2200, 5, with_fingerprint(0, 8)), 5).is_some(),
        "an answered suspect is cleared"
    );
}

#[test]
fn suspect_waits_for_an_empty_endpoint_without_blocking_others() {
    let mut core = core(Policy::TwoChoices, 10_000, 3);
    let dead = admitted(&arrive(&mut core, 0, 1, with_fingerprint(0, 7)), 1).expect("admitted");
    kill_endpoint(&mut core, 10, dead.as_str(), &[1]);
    for request in 10..30 {
        assert!(
            admitted(
                &arrive(&mut core, 20, request, with_fingerprint(0, 100 + request)),
                request
            )
            .is_some()
        );
    }
    assert!(arrive(&mut core, 30, 40, with_fingerprint(0, 7)).is_empty());
    for request in 50..60 {
        assert!(
            admitted(
                &arrive(&mut core, 40, request, with_fingerprint(0, 100 + request)),
                request
            )
            .is_some()
        );
    }
    let mut isolated = None;
    for request in (10..30).chain(50..60) {
        isolated = isolated.or(admitted(&answer(&mut core, 1300, request), 40));
    }
    assert!(isolated.is_some());
}

#[test]
fn many_deaths_at_once_are_ascribed_to_the_network() {
    let mut core = core(Policy::TwoChoices, 10_000, 6);
    let mut marks = Vec::new();
    for number in 0..6 {
        let effects = core.handle(at(0), Event::Probed(format!("e{number}").into(), true));
        assert!(effects.is_empty());
    }
    let mut running = Vec::new();
    for request in 0..30 {
        let effects = arrive(&mut core, 0, request, with_fingerprint(0, 100 + request));
        running.push((admitted(&effects, request).expect("admitted"), request));
    }
    for number in 0..6 {
        let name = format!("e{number}");
        let requests: Vec<u64> = running
            .iter()
            .filter(|(endpoint, _)| endpoint.as_str() == name)
            .map(|(_, request)| *request)
            .collect();
        marks.push(kill_endpoint(&mut core, 10, &name, &requests).len());
    }
    assert_eq!(marks[2..].iter().sum::<usize>(), 0, "{marks:?}");
}

/// One node holds a suspect back until the second node's mark of another death
/// confirms it. The caller had sent the request again to the second node, which
/// admitted it before the marks of the first death arrived.
#[test]
fn waiting_suspect_is_refused_once_confirmed() {
    let mut one = core(Policy::TwoChoices, 10_000, 4);
    let mut two = core(Policy::TwoChoices, 10_000, 4);
    let sent = |now: u64| Profile {
        received: at(now),
        ..with_fingerprint(0, 7)
    };
    let first = admitted(&arrive(&mut one, 0, 1, sent(0)), 1).expect("admitted");
    two.handle(at(0), Event::Probed(first.clone(), false));
    let second = admitted(&arrive(&mut two, 1, 1, sent(1)), 1).expect("admitted");
    assert_ne!(first, second);
    let marks = kill_endpoint(&mut one, 10, first.as_str(), &[1]);
    let effects = arrive(&mut one, 11, 2, sent(11));
    assert!(effects.is_empty(), "{effects:?}");
    assert!(one.handle(at(200), Event::Tick).is_empty());
    share_marks(&mut two, 200, &marks);
    let marks = kill_endpoint(&mut two, 210, second.as_str(), &[1]);
    let marks = marks.iter().map(|mark| (*mark, MARK_TTL)).collect();
    let effects = one.handle(at(220), Event::Suspected(marks));
    assert_eq!(refused(&effects, 2).expect("refused").0, Reason::Quarantine);
}

/// A suspect waits for other nodes' marks; if none confirms it, it runs.
#[test]
fn unconfirmed_suspect_runs_after_its_wait() {
    let mut core = core(Policy::TwoChoices, 10_000, 4);
    let first = admitted(&arrive(&mut core, 0, 1, with_fingerprint(0, 7)), 1).expect("admitted");
    kill_endpoint(&mut core, 10, first.as_str(), &[1]);
    let again = Profile {
        received: at(20),
        ..with_fingerprint(0, 7)
    };
    assert!(arrive(&mut core, 20, 2, again).is_empty());
    let mut endpoint = None;
    for now in (70..=2000).step_by(50) {
        endpoint = endpoint.or(admitted(&core.handle(at(now), Event::Tick), 2));
    }
    assert!(endpoint.is_some());
}

/// Guards against a crashing request that is taken for a victim of the network, as
/// other endpoints die at the same time.
#[test]
fn a_request_at_three_of_many_deaths_is_refused() {
    let mut core = core(Policy::RoundRobin, 10_000, 6);
    let mut running = Vec::new();
    for request in 0..6 {
        let fingerprint = if request < 2 { 100 + request } else { 7 };
        let effects = arrive(&mut core, 0, request, with_fingerprint(0, fingerprint));
        let endpoint = admitted(&effects, request).expect("admitted");
        running.push((endpoint, request));
    }
    let endpoints: BTreeSet<_> = running.iter().map(|(endpoint, _)| endpoint).collect();
    assert_eq!(endpoints.len(), 6, "one request at each endpoint");
    for (endpoint, request) in &running {
        core.handle(at(5), Event::Probed(endpoint.clone(), true));
        kill_endpoint(&mut core, 10 + request, endpoint.as_str(), &[*request]);
    }
    for (endpoint, _) in &running {
        core.handle(at(2000), Event::Probed(endpoint.clone(), true));
    }
    let effects = arrive(&mut core, 2100, 10, with_fingerprint(0, 7));
    assert_eq!(
        refused(&effects, 10).expect("refused").0,
        Reason::Quarantine
    );
    for fingerprint in [100, 101] {
        let effects = arrive(
            &mut core,
            2200,
            fingerprint,
            with_fingerprint(0, fingerprint),
        );
        assert!(
            refused(&effects, fingerprint).is_none(),
            "a victim is served"
        );
    }
}

/// Guards against deaths that count only at the node that saw them: each of two
/// nodes sees one, and neither knew of the other's at the time.
#[test]
fn deaths_seen_by_two_nodes_at_once_add_up() {
    let mut one = core(Policy::TwoChoices, 10_000, 4);
    let mut two = core(Policy::TwoChoices, 10_000, 4);
    let first = admitted(&arrive(&mut one, 0, 1, with_fingerprint(0, 7)), 1).expect("admitted");
    two.handle(at(0), Event::Probed(first.clone(), false));
    let second = admitted(&arrive(&mut two, 1, 1, with_fingerprint(0, 7)), 1).expect("admitted");
    assert_ne!(first, second);
    let marks_of_one = kill_endpoint(&mut one, 10, first.as_str(), &[1]);
    let marks_of_two = kill_endpoint(&mut two, 10, second.as_str(), &[1]);
    share_marks(&mut one, 200, &marks_of_two);
    share_marks(&mut two, 200, &marks_of_one);
    for node in [&mut one, &mut two] {
        let effects = arrive(node, 300, 2, with_fingerprint(0, 7));
        assert_eq!(refused(&effects, 2).expect("refused").0, Reason::Quarantine);
    }
}

/// Guards against BUDGET: requests that are unlike each other, but share a leading part of
/// their prompts that crashes endpoints, are refused after five deaths.
#[test]
#[ignore = "known red: BUDGET, the daemon recognises whole requests only"]
fn requests_with_a_leading_part_that_crashes_endpoints_are_refused() {
    const KNOWN_DEATHS: u64 = 5;
    const MOST_LATER: u64 = 3;
    let mut core = core(Policy::TwoChoices, 10_000, 12);
    let mut later = 0;
    for number in 0..11 {
        let crashing = Profile {
            prefixes: vec![Prefix(1), Prefix(2), Prefix(100 + number)],
            ..with_fingerprint(0, 1000 + number)
        };
        let now = number * 6000;
        let effects = arrive(&mut core, now, number, crashing);
        let Some(endpoint) = admitted(&effects, number) else {
            continue;
        };
        kill_endpoint(&mut core, now + 10, endpoint.as_str(), &[number]);
        later += u64::from(number >= KNOWN_DEATHS);
    }
    assert!(later <= MOST_LATER, "{later} were sent after five deaths");
}

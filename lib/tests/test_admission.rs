//! Queueing, refusal and the order of admission.

mod support;

use dottereltally_lib::{
    balance::Policy,
    effect::Effect,
    endpoint::Standing,
    event::{Event, Outcome},
    id,
    refusal::Reason,
    scheduler::{Scheduler, Settings},
    size::Tokens,
};
use support::{admitted, arrive, at, core, load, profile, record, refused};

fn answered(request: u64) -> Event {
    let outcome = Outcome::Answered {
        cached: Tokens(0),
        output: Tokens(100),
    };
    Event::Ended(id::Request(request), outcome)
}

#[test]
fn request_without_configuration_is_refused_at_once() {
    let mut core = Scheduler::new(Settings::default());
    let effects = arrive(&mut core, 0, 1, profile(0, 10, 10));
    let (reason, retry) = refused(&effects, 1).expect("refused");
    assert_eq!(reason, Reason::NoEndpoint);
    assert!(!retry.is_zero());
}

#[test]
fn request_without_endpoint_is_refused_at_once() {
    let mut core = core(Policy::TwoChoices, 1000, 0);
    let effects = arrive(&mut core, 0, 1, profile(0, 10, 10));
    assert_eq!(refused(&effects, 1).expect("refused").0, Reason::NoEndpoint);
}

#[test]
fn request_is_admitted_while_there_is_room() {
    let mut core = core(Policy::TwoChoices, 1000, 1);
    let effects = arrive(&mut core, 0, 1, profile(0, 400, 100));
    assert_eq!(admitted(&effects, 1), Some("e0".into()));
    assert!(admitted(&arrive(&mut core, 0, 2, profile(1, 400, 100)), 2).is_some());
    assert!(arrive(&mut core, 0, 3, profile(1, 400, 100)).is_empty());
    let effects = core.handle(at(1), answered(1));
    assert!(admitted(&effects, 3).is_some());
}

#[test]
fn waiting_requests_are_admitted_by_tier() {
    let mut core = core(Policy::TwoChoices, 1000, 1);
    arrive(&mut core, 0, 1, profile(0, 900, 100));
    arrive(&mut core, 0, 2, profile(3, 900, 100));
    arrive(&mut core, 0, 3, profile(1, 900, 100));
    arrive(&mut core, 0, 4, profile(2, 900, 100));
    let mut order = Vec::new();
    for request in [1, 3, 4] {
        for effect in core.handle(at(1), answered(request)) {
            if let Effect::Admit(id, _) = effect {
                order.push(id.0);
            }
        }
    }
    assert_eq!(order, [3, 4, 2]);
}

#[test]
fn lower_tiers_leave_room_and_do_not_keep_higher_ones_waiting() {
    let mut core = core(Policy::TwoChoices, 1000, 1);
    assert!(admitted(&arrive(&mut core, 0, 1, profile(3, 700, 100)), 1).is_some());
    assert!(arrive(&mut core, 0, 2, profile(3, 50, 50)).is_empty());
    assert!(admitted(&arrive(&mut core, 0, 3, profile(1, 900, 100)), 3).is_some());
    assert!(arrive(&mut core, 0, 4, profile(1, 100, 100)).is_empty());
    assert!(admitted(&arrive(&mut core, 0, 5, profile(0, 1100, 300)), 5).is_some());
    assert!(arrive(&mut core, 0, 6, profile(0, 100, 100)).is_empty());
    assert!(arrive(&mut core, 0, 7, profile(2, 10, 10)).is_empty());
}

#[test]
fn of_two_endpoints_the_less_loaded_is_chosen() {
    let mut core = core(Policy::TwoChoices, 1000, 2);
    core.handle(at(0), Event::Reported("e0".into(), load(500)));
    assert_eq!(
        admitted(&arrive(&mut core, 0, 1, profile(0, 200, 100)), 1),
        Some("e1".into())
    );
    assert_eq!(
        admitted(&arrive(&mut core, 0, 2, profile(0, 200, 100)), 2),
        Some("e1".into())
    );
    assert_eq!(
        admitted(&arrive(&mut core, 0, 3, profile(0, 200, 100)), 3),
        Some("e0".into())
    );
}

#[test]
fn fixed_share_divides_the_window_between_nodes() {
    let mut core = core(Policy::Shares, 8000, 1);
    let members = (0..8).map(|node| (format!("n{node}").as_str().into(), "a".into()));
    core.handle(at(0), Event::Members(members.collect()));
    assert!(admitted(&arrive(&mut core, 0, 1, profile(1, 900, 100)), 1).is_some());
    assert!(arrive(&mut core, 0, 2, profile(1, 900, 100)).is_empty());
}

#[test]
fn unsent_request_goes_to_another_endpoint() {
    let mut core = core(Policy::TwoChoices, 1000, 2);
    let first = admitted(&arrive(&mut core, 0, 1, profile(0, 10, 10)), 1).expect("admitted");
    let effects = core.handle(at(1), Event::Unsent(id::Request(1)));
    let second = admitted(&effects, 1).expect("admitted again");
    assert_ne!(first, second);
    assert!(effects.contains(&Effect::Probe(first.clone())));
    let effects = core.handle(at(2), Event::Unsent(id::Request(1)));
    assert_eq!(refused(&effects, 1).expect("refused").0, Reason::NoEndpoint);
}

#[test]
fn leaving_endpoint_gets_no_new_request() {
    let mut core = core(Policy::TwoChoices, 100_000, 2);
    let mut leaving = record("e0", "llm");
    leaving.standing = Standing::Leaving;
    core.handle(at(0), Event::Listed(vec![leaving, record("e1", "llm")]));
    for request in 0..20 {
        let effects = arrive(&mut core, 0, request, profile(0, 10, 10));
        assert_eq!(admitted(&effects, request), Some("e1".into()));
    }
}

#[test]
fn endpoint_that_reports_leaving_gets_no_new_request() {
    let mut core = core(Policy::TwoChoices, 100_000, 2);
    let mut leaving = load(0);
    leaving.standing = Standing::Leaving;
    core.handle(at(0), Event::Reported("e1".into(), leaving));
    for request in 0..20 {
        let effects = arrive(&mut core, 0, request, profile(0, 10, 10));
        assert_eq!(admitted(&effects, request), Some("e0".into()));
    }
}

#[test]
fn request_goes_to_an_endpoint_with_its_model() {
    let mut core = core(Policy::TwoChoices, 100_000, 2);
    let mut other = load(0);
    other.models.insert("m1".into());
    core.handle(at(0), Event::Reported("e0".into(), other));
    let mut wanted = profile(0, 10, 10);
    wanted.model = Some("m2".into());
    for request in 0..20 {
        let effects = arrive(&mut core, 0, request, wanted.clone());
        assert_eq!(admitted(&effects, request), Some("e1".into()));
    }
}

#[test]
fn withdrawn_request_is_not_admitted() {
    let mut core = core(Policy::TwoChoices, 1000, 1);
    arrive(&mut core, 0, 1, profile(0, 900, 100));
    arrive(&mut core, 0, 2, profile(0, 900, 100));
    core.handle(at(1), Event::Withdrawn(id::Request(2)));
    assert!(core.handle(at(2), answered(1)).is_empty());
    assert_eq!((core.waiting(), core.running()), (0, 0));
}

#[test]
fn waiting_request_is_refused_once_its_deadline_has_passed() {
    let mut core = core(Policy::TwoChoices, 1000, 1);
    arrive(&mut core, 0, 1, profile(0, 900, 100));
    let mut late = profile(1, 900, 100);
    late.deadline = at(500);
    arrive(&mut core, 0, 2, late);
    assert!(core.handle(at(400), Event::Tick).is_empty());
    let effects = core.handle(at(500), Event::Tick);
    assert_eq!(refused(&effects, 2).expect("refused").0, Reason::Deadline);
}

#[test]
fn draining_node_queues_no_new_request() {
    let mut core = core(Policy::TwoChoices, 1000, 1);
    core.handle(at(0), Event::Draining);
    assert!(admitted(&arrive(&mut core, 0, 1, profile(0, 900, 100)), 1).is_some());
    let effects = arrive(&mut core, 0, 2, profile(1, 900, 100));
    assert_eq!(refused(&effects, 2).expect("refused").0, Reason::Shutdown);
}

#[test]
fn dead_endpoint_is_used_again_once_it_answers_a_probe() {
    let mut core = core(Policy::TwoChoices, 1000, 1);
    arrive(&mut core, 0, 1, profile(0, 10, 10));
    let ended = Event::Ended(id::Request(1), Outcome::Broken);
    let effects = core.handle(at(10), ended);
    let [Effect::Quarantine(_), Effect::Probe(probed)] = &effects[..] else {
        panic!("{effects:?}");
    };
    assert_eq!(probed.as_str(), "e0");
    assert!(arrive(&mut core, 20, 2, profile(0, 10, 10)).is_empty());
    let effects = core.handle(at(30), Event::Probed("e0".into(), false));
    assert_eq!(refused(&effects, 2).expect("refused").0, Reason::NoEndpoint);
    let effects = core.handle(at(1100), Event::Tick);
    assert_eq!(effects, [Effect::Probe("e0".into())]);
    core.handle(at(1110), Event::Probed("e0".into(), true));
    let other = dottereltally_lib::request::Profile {
        fingerprint: id::Fingerprint(99),
        ..profile(0, 10, 10)
    };
    assert!(admitted(&arrive(&mut core, 1120, 3, other), 3).is_some());
}

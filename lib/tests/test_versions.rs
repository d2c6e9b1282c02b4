//! Requests that only endpoints of one software version may serve.

use std::time::Duration;

use dottereltally_lib::{
    dispatcher::{Dispatcher, Effect, Outcome, Request, Settings},
    endpoint::{Record, Standing},
    id,
    refusal::Reason,
    rollout::Filter,
    time,
};
use rstest::rstest;

const CAPACITY: u32 = 2;

fn at(millis: u64) -> time::Instant {
    time::Instant::from_micros(millis * 1000)
}

fn record(name: &str, version: &str) -> Record {
    Record {
        id: id::Endpoint::from(name),
        address: "127.0.0.1:1".to_owned(),
        service: id::Service::from("model"),
        data_centre: id::DataCentre::from("dc"),
        standing: Standing::Live,
        capacity: Some(CAPACITY),
        version: Some(id::Version::from(version)),
    }
}

/// Returns a request of this tier; a version binds it to endpoints of that version.
fn request(tier: u8, version: Option<&str>) -> Request {
    let now = at(0);
    Request {
        service: id::Service::from("model"),
        route: id::Route::from("r"),
        tier: id::Tier(tier),
        class: id::Tier(0),
        prompt: 100,
        expected_output: 60,
        max_pause: None,
        first_byte_due: now + Duration::from_secs(10),
        caller_leaves_at: now + Duration::from_mins(1),
        deadline: now + Duration::from_mins(1),
        excluded: Vec::new(),
        version: version.map(id::Version::from),
        resumable: false,
        workspace: None,
        fingerprint: None,
        version_filter: Filter::Any,
    }
}

/// Returns a request whose stream may be resumed.
fn stream() -> Request {
    Request {
        resumable: true,
        ..request(0, None)
    }
}

/// Returns an endpoint of another data centre.
fn remote(name: &str, version: &str) -> Record {
    Record {
        data_centre: id::DataCentre::from("far"),
        ..record(name, version)
    }
}

fn dispatcher(records: Vec<Record>) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(Settings {
        data_centre: id::DataCentre::from("dc"),
        seed: 1,
    });
    assert!(dispatcher.set_endpoints(at(0), records).is_empty());
    dispatcher
}

/// Returns the endpoints to which requests are sent, in order.
fn sent(effects: &[Effect]) -> Vec<(u64, &str)> {
    let mut sent = Vec::new();
    for effect in effects {
        if let Effect::Send(id, choice) = effect {
            sent.push((id.0, choice.endpoint.as_str()));
        }
    }
    sent
}

/// Returns the requests that are refused, with the reason.
fn refused(effects: &[Effect]) -> Vec<(u64, Reason)> {
    let mut refused = Vec::new();
    for effect in effects {
        if let Effect::Refuse(id, refusal) = effect {
            refused.push((id.0, refusal.reason));
        }
    }
    refused
}

/// Guards against a stream that goes on at another version.
#[test]
fn a_bound_request_is_sent_only_to_its_version() {
    let mut records = vec![record("old", "v1")];
    for number in 0..5 {
        records.push(record(&format!("new{number}"), "v2"));
    }
    let mut dispatcher = dispatcher(records);
    for number in 0..50 {
        let id = id::Request(number);
        let effects = dispatcher.submit(at(number), id, request(0, Some("v1")));
        assert_eq!(sent(&effects), [(number, "old")]);
        dispatcher.finish(at(number), id, Outcome::Cancelled);
    }
}

/// Guards against a stream that goes on at another version, or is cut, while the
/// endpoints of its own are full.
#[test]
fn a_bound_request_waits_while_its_version_is_full() {
    let mut dispatcher = dispatcher(vec![record("old", "v1"), record("new", "v2")]);
    for number in 0..2 {
        let id = id::Request(number);
        let effects = dispatcher.submit(at(0), id, request(0, Some("v1")));
        assert_eq!(sent(&effects), [(number, "old")]);
    }
    let effects = dispatcher.submit(at(1), id::Request(2), request(0, Some("v1")));
    assert!(effects.is_empty(), "{effects:?}");
    let effects = dispatcher.finish(at(2), id::Request(0), Outcome::Cancelled);
    assert_eq!(sent(&effects), [(2, "old")]);
}

/// Guards against a stream that is held, or goes on at another version, when no
/// endpoint of its own is left.
#[rstest]
#[case::not_listed(|_: &mut Record, _: &mut Request| {})]
#[case::leaving(|record: &mut Record, _: &mut Request| {
    record.version = Some(id::Version::from("v1"));
    record.standing = Standing::Leaving;
})]
#[case::unknown(|record: &mut Record, _: &mut Request| record.version = None)]
#[case::tried(|record: &mut Record, request: &mut Request| {
    record.version = Some(id::Version::from("v1"));
    request.excluded.push(record.id.clone());
})]
#[case::of_another_service(|record: &mut Record, _: &mut Request| {
    record.version = Some(id::Version::from("v1"));
    record.service = id::Service::from("other");
})]
fn a_bound_request_without_an_endpoint_is_refused_at_once(
    #[case] change: fn(&mut Record, &mut Request),
) {
    let mut records = vec![record("a", "v2"), record("b", "v2")];
    let mut request = request(0, Some("v1"));
    change(&mut records[0], &mut request);
    let mut dispatcher = dispatcher(records);
    let effects = dispatcher.submit(at(0), id::Request(1), request);
    assert_eq!(refused(&effects), [(1, Reason::NoEndpoint)], "{effects:?}");
}

/// Guards against a stream that is held after the last endpoint of its version has
/// left.
#[rstest]
#[case::removed(None)]
#[case::leaving(Some((Standing::Leaving, "v1")))]
#[case::of_another_version_now(Some((Standing::Live, "v2")))]
fn a_queued_request_is_refused_when_its_last_endpoint_leaves(
    #[case] change: Option<(Standing, &str)>,
) {
    let mut dispatcher = dispatcher(vec![record("old", "v1"), record("new", "v2")]);
    for number in 0..3 {
        dispatcher.submit(at(0), id::Request(number), request(0, Some("v1")));
    }
    let mut records = vec![record("new", "v2")];
    if let Some((standing, version)) = change {
        let mut record = record("old", version);
        record.standing = standing;
        records.push(record);
    }
    let effects = dispatcher.set_endpoints(at(1), records);
    assert_eq!(refused(&effects), [(2, Reason::NoEndpoint)], "{effects:?}");
}

/// Guards against a stream that is held while the only endpoint of its version can't
/// be reached for longer and longer.
#[test]
fn a_bound_request_does_not_wait_for_an_endpoint_that_stays_unreachable() {
    let mut dispatcher = dispatcher(vec![record("old", "v1"), record("new", "v2")]);
    let mut now = at(0);
    for number in 0..3 {
        let effects = dispatcher.submit(now, id::Request(number), request(0, Some("v1")));
        assert_eq!(sent(&effects), [(number, "old")]);
        dispatcher.finish(now, id::Request(number), Outcome::Unreachable);
        now += Duration::from_secs(2);
    }
    dispatcher.submit(now, id::Request(3), request(0, Some("v1")));
    dispatcher.finish(now, id::Request(3), Outcome::Unreachable);
    let effects = dispatcher.submit(now, id::Request(4), request(0, Some("v1")));
    assert_eq!(refused(&effects), [(4, Reason::NoEndpoint)], "{effects:?}");
}

/// Guards against streams of a version without room, which hold up all requests
/// behind them.
#[rstest]
#[case::full(None)]
#[case::the_one_with_room_was_tried(Some("idle"))]
fn bound_requests_that_wait_do_not_block_the_others(#[case] tried: Option<&str>) {
    let mut records = vec![record("old", "v1"), record("new", "v2")];
    if let Some(name) = tried {
        records.push(record(name, "v1"));
    }
    let mut dispatcher = dispatcher(records);
    for number in 0..40 {
        let mut request = request(0, Some("v1"));
        request.excluded.extend(tried.map(id::Endpoint::from));
        dispatcher.submit(at(0), id::Request(number), request);
    }
    assert_eq!(dispatcher.running(), 2);
    let effects = dispatcher.submit(at(1), id::Request(50), request(1, Some("v2")));
    assert_eq!(sent(&effects), [(50, "new")]);
    let effects = dispatcher.submit(at(1), id::Request(51), request(1, None));
    assert_eq!(sent(&effects).len(), 1, "{effects:?}");
}

/// Guards against the use of a coordinator's choice that this node knows to have
/// another version.
#[test]
fn a_choice_of_another_version_is_not_adopted() {
    let mut dispatcher = dispatcher(vec![record("old", "v1")]);
    let name = id::Endpoint::from("old");
    let mut adopt = |number, version| {
        let id = id::Request(number);
        dispatcher.adopt(at(0), id, request(0, Some(version)), &name, true)
    };
    assert!(!adopt(1, "v2"));
    assert!(adopt(2, "v1"));
}

/// Guards against streams that begin at a version of which no other endpoint is left
/// to go on at.
#[rstest]
#[case::replaced(record("old", "v1"))]
#[case::of_unknown_version(Record { version: None, ..record("old", "v1") })]
fn streams_do_not_begin_at_a_version_that_is_nearly_gone(#[case] last: Record) {
    let mut dispatcher = dispatcher(vec![last, remote("new0", "v2"), remote("new1", "v2")]);
    let mut began_at_last = 0;
    // Half of the slots are in use at a time.
    for number in 0..200 {
        let now = at(number * 20);
        let id = id::Request(number);
        let effects = dispatcher.submit(now, id, stream());
        began_at_last += u32::from(sent(&effects) == [(number, "old")]);
        if let Some(earlier) = number.checked_sub(2) {
            dispatcher.finish(now, id::Request(earlier), Outcome::Cancelled);
        }
    }
    assert_eq!(began_at_last, 0);
}

#[test]
fn a_version_that_is_nearly_gone_is_used_when_the_others_are_full() {
    let records = vec![
        record("old", "v1"),
        remote("new0", "v2"),
        remote("new1", "v2"),
    ];
    let mut dispatcher = dispatcher(records);
    let mut began_at_last = 0;
    for number in 0..6 {
        let effects = dispatcher.submit(at(0), id::Request(number), stream());
        assert_eq!(sent(&effects).len(), 1);
        began_at_last += u32::from(sent(&effects) == [(number, "old")]);
    }
    assert_eq!(began_at_last, CAPACITY);
}

#[rstest]
#[case::not_resumable(request(0, None), vec![remote("b", "v2"), remote("c", "v2")])]
#[case::none_has_more(stream(), vec![remote("b", "v2")])]
#[case::two_are_left(stream(), vec![remote("b", "v1"), remote("c", "v2"), remote("d", "v2"), remote("e", "v2")])]
#[case::others_leave(stream(), vec![
    Record { standing: Standing::Leaving, ..remote("b", "v2") },
    Record { standing: Standing::Leaving, ..remote("c", "v2") },
])]
fn a_nearby_endpoint_is_chosen_unless_its_version_is_nearly_gone(
    #[case] request: Request,
    #[case] others: Vec<Record>,
) {
    let mut records = vec![record("a", "v1")];
    records.extend(others);
    let mut dispatcher = dispatcher(records);
    let effects = dispatcher.submit(at(0), id::Request(1), request);
    assert_eq!(sent(&effects), [(1, "a")]);
}

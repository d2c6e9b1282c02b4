//! Streams at a node that has not read its directory for long: which process answers at an
//! endpoint is found out before they go on.

mod common;

use std::time::Duration;

use common::{
    Endpoint, Gateway, Step, event, events, header, is_complete, plan, record, status, stream_end,
    stream_head,
};
use dottereltally_lib::{endpoint::Standing, id, origin::Origin, plan::Plan};
use rstest::rstest;

/// Start of the processes that are listed.
const LISTED: u64 = 7;

/// Start of a process that took the place of a listed one.
const NEXT: u64 = 8;

/// Returns a plan whose service consists of engines, which report their processes.
fn engine_plan(is_engine: bool) -> Plan {
    let mut plan = plan();
    for service in plan.services.values_mut() {
        service.engine = is_engine;
    }
    plan
}

/// Starts a node that does not read its directory, in which all processes are of version `v1`.
async fn out_of_touch(is_engine: bool, endpoints: &[&Endpoint]) -> Gateway {
    let mut records = Vec::new();
    for (number, endpoint) in endpoints.iter().enumerate() {
        records.push(record(number, endpoint, Some("v1")));
    }
    let names: Vec<id::Endpoint> = records.iter().map(|record| record.id.clone()).collect();
    let gateway = Gateway::start_out_of_touch(engine_plan(is_engine), records).await;
    gateway.chain.admission.apply(|dispatcher, now| {
        for name in &names {
            dispatcher.record_started(now, name, LISTED);
        }
        Vec::new()
    });
    gateway
}

/// Streams `d1`, and breaks once the node had time to ask which process began the stream.
fn broken() -> Vec<Step> {
    let pause = Step::Pause(Duration::from_millis(300));
    vec![stream_head(), event(1), pause, Step::Close]
}

/// Goes on with `d2` after `d1`.
fn rest() -> Vec<Step> {
    vec![stream_head(), event(2), stream_end()]
}

/// Guards against ORDER: a stream goes on only at an endpoint whose listed process still answers
/// there, although the directory lists all of them with the version that began it.
#[tokio::test]
async fn a_stream_goes_on_at_a_process_that_is_listed() {
    let first = Endpoint::start_engine(vec![broken()], LISTED).await;
    let mut replaced = Vec::new();
    for _ in 0..3 {
        replaced.push(Endpoint::start_engine(vec![rest()], NEXT).await);
    }
    let same = Endpoint::start_engine(vec![rest()], LISTED).await;
    let mut endpoints = vec![&first];
    endpoints.extend(&replaced);
    endpoints.push(&same);
    let gateway = out_of_touch(true, &endpoints).await;
    let answer = gateway.get("/stream/x", "").await;
    assert_eq!(events(&answer), ["d1", "d2"]);
    assert!(is_complete(&answer));
    for endpoint in &replaced {
        assert!(endpoint.requests().is_empty(), "it went on at another one");
    }
    for found in gateway.chain.view.take_found() {
        assert_eq!((found.listed_ms, found.started_ms), (LISTED, NEXT));
    }
    assert_eq!(header(&same.requests()[0], "x-after").as_deref(), Some("1"));
    assert_eq!(gateway.chain.origins.remembered(), 1);
}

/// Guards against ORDER: a stream is cut visibly, and other nodes are told nothing of it, if it is
/// not certain which process began it, or if none can be certain of its version.
#[rstest]
#[case::begun_by_another(true, NEXT, LISTED)]
#[case::all_replaced(true, LISTED, NEXT)]
#[case::without_reports(false, LISTED, LISTED)]
#[tokio::test]
async fn a_stream_without_a_certain_version_is_cut(
    #[case] is_engine: bool,
    #[case] first_start: u64,
    #[case] other_start: u64,
) {
    let first = Endpoint::start_engine(vec![broken()], first_start).await;
    let other = Endpoint::start_engine(vec![rest()], other_start).await;
    let gateway = out_of_touch(is_engine, &[&first, &other]).await;
    let answer = gateway.get("/stream/x", "").await;
    assert_eq!(events(&answer), ["d1"]);
    assert!(!is_complete(&answer));
    assert!(other.requests().is_empty(), "it went on");
    let is_origin_certain = is_engine && first_start == LISTED;
    let remembered = usize::from(is_origin_certain);
    assert_eq!(gateway.chain.origins.remembered(), remembered);
}

/// Guards against ORDER where a caller resumes its stream at a node that has not read its
/// directory: it is sent to another node, at once.
#[rstest]
#[case::replaced(true, "\"no-endpoint\"")]
#[case::without_reports(false, "\"unknown-version\"")]
#[tokio::test]
async fn a_caller_that_resumes_is_sent_to_another_node(
    #[case] is_engine: bool,
    #[case] reason: &str,
) {
    let replaced = Endpoint::start_engine(vec![rest()], NEXT).await;
    let gateway = out_of_touch(is_engine, &[&replaced]).await;
    let origin = Origin {
        version: id::Version::from("v1"),
        endpoint: id::Endpoint::from("gone"),
    };
    gateway.chain.origins.remember("zero", &origin);
    let headers = "x-after: 1\r\nx-resumes: zero\r\n";
    let answer = gateway.get("/stream/x", headers).await;
    assert_eq!(status(&answer), 503, "{answer}");
    assert!(answer.contains(reason), "{answer}");
    assert!(header(&answer, "retry-after").is_some());
    assert!(replaced.requests().is_empty());
}

/// Guards against DRAIN: a process that is found in place of the listed one and says that it leaves
/// gets no requests, also once its start is known.
#[tokio::test]
async fn a_process_that_is_found_to_leave_is_not_used() {
    let first = Endpoint::start_engine(vec![broken()], LISTED).await;
    let leaving = Endpoint::start_leaving_engine(NEXT).await;
    let gateway = out_of_touch(true, &[&first, &leaving]).await;
    let answer = gateway.get("/stream/x", "").await;
    assert!(!is_complete(&answer), "{answer}");
    let standing = |name: &id::Endpoint| {
        let admission = &gateway.chain.admission;
        admission.read(|dispatcher| dispatcher.standing(name))
    };
    let found = gateway.chain.view.take_found();
    let [found] = found.as_slice() else {
        panic!("one was asked and found to be another: {found:?}");
    };
    assert_eq!(standing(&found.endpoint), Some(Standing::Leaving));
    gateway.chain.admission.apply(|dispatcher, now| {
        dispatcher.record_started(now, &found.endpoint, found.started_ms);
        Vec::new()
    });
    assert_eq!(standing(&found.endpoint), Some(Standing::Leaving));
}

/// A stream that does not break is not affected: requests go to endpoints as before.
#[rstest]
#[case::engine(true)]
#[case::without_reports(false)]
#[tokio::test]
async fn a_new_stream_is_served_by_any_process(#[case] is_engine: bool) {
    let whole = vec![stream_head(), event(1), event(2), stream_end()];
    let replaced = Endpoint::start_engine(vec![whole], NEXT).await;
    let gateway = out_of_touch(is_engine, &[&replaced]).await;
    let answer = gateway.get("/stream/x", "").await;
    assert_eq!(events(&answer), ["d1", "d2"]);
    assert!(is_complete(&answer));
}

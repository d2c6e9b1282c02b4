//! Streams beside endpoints of several software versions.

mod common;

use std::{sync::Arc, time::Duration};

use common::{
    Endpoint, Gateway, Step, chunk, event, events, header, is_complete, plan, record, status,
    stream_end, stream_head,
};
use dottereltally_lib::{
    endpoint::{Record, Standing},
    id,
    plan::Plan,
    route::Retry,
};
use prometheus_client::{encoding::text::encode, registry::Registry};
use rstest::rstest;
use tokio::{sync::Notify, time::sleep};

/// Returns a plan whose streams may take an hour, so that a stream that is held is
/// not cut by its deadline.
fn patient_plan() -> Plan {
    let mut route = common::route("/stream/", Retry::Resume, 3);
    route.timeout = Duration::from_hours(1);
    Plan {
        routes: [route].into_iter().collect(),
        ..plan()
    }
}

/// Returns the list's entries of endpoints with these versions.
fn records(endpoints: &[(&Endpoint, Option<&str>)]) -> Vec<Record> {
    let mut records = Vec::new();
    for (number, (endpoint, version)) in endpoints.iter().enumerate() {
        records.push(record(number, endpoint, *version));
    }
    records
}

async fn gateway(endpoints: &[(&Endpoint, Option<&str>)]) -> Gateway {
    Gateway::start_with(Some(patient_plan()), records(endpoints)).await
}

/// Replaces the gateway's list of endpoints.
fn list(gateway: &Gateway, records: Vec<Record>) {
    let admission = &gateway.chain.admission;
    admission.apply(|dispatcher, now| dispatcher.set_endpoints(now, records));
}

/// Returns the answer to a stream that begins at the first of these endpoints: only
/// that one is listed until it has the request, and it waits for the others with its
/// first step.
async fn get_from_first(
    script: Vec<Step>,
    version: Option<&str>,
    others: &[(&Endpoint, Option<&str>)],
) -> (String, Gateway) {
    let ready = Arc::new(Notify::new());
    let mut steps = vec![Step::Wait(Arc::clone(&ready))];
    steps.extend(script);
    let first = Endpoint::start(vec![steps]).await;
    let gateway = gateway(&[(&first, version)]).await;
    let change = async {
        while first.requests().is_empty() {
            sleep(Duration::from_millis(1)).await;
        }
        let mut endpoints = vec![(&first, version)];
        endpoints.extend_from_slice(others);
        list(&gateway, records(&endpoints));
        ready.notify_one();
    };
    let (answer, ()) = tokio::join!(gateway.get("/stream/x", ""), change);
    assert_eq!(header(&first.requests()[0], "x-after"), None);
    (answer, gateway)
}

/// Returns the metrics of the gateway as text.
fn metrics(gateway: &Gateway) -> String {
    let mut registry = Registry::default();
    gateway.chain.metrics.register(&mut registry);
    let mut text = String::new();
    encode(&mut text, &registry).unwrap();
    text
}

/// Streams `d1` and breaks.
fn broken() -> Vec<Step> {
    vec![stream_head(), event(1), Step::Close]
}

/// Goes on with `d2` after `d1`.
fn rest() -> Vec<Step> {
    vec![stream_head(), event(2), stream_end()]
}

/// Guards against a stream that holds events of two software versions because the
/// endpoint that takes it up after a break may have any.
#[tokio::test]
async fn a_broken_stream_goes_on_at_the_version_that_began_it() {
    let first = Endpoint::start(vec![broken()]).await;
    let mut others = Vec::new();
    for _ in 0..5 {
        others.push(Endpoint::start(vec![rest()]).await);
    }
    let same = Endpoint::start(vec![rest()]).await;
    let mut endpoints = vec![(&first, Some("v1"))];
    endpoints.extend(others.iter().map(|other| (other, Some("v2"))));
    endpoints.push((&same, Some("v1")));
    let gateway = gateway(&endpoints).await;
    let answer = gateway.get("/stream/x", "").await;
    assert_eq!(events(&answer), ["d1", "d2"]);
    assert!(is_complete(&answer));
    for other in &others {
        assert!(other.requests().is_empty(), "it went on at another version");
    }
    let resumed = &same.requests()[0];
    assert_eq!(header(resumed, "x-after").as_deref(), Some("1"));
}

/// Guards against a stream that is bound to an endpoint from which the caller got
/// nothing.
#[tokio::test]
async fn an_endpoint_that_sent_no_event_binds_nothing() {
    let silent = vec![stream_head(), Step::Close];
    let group = Endpoint::start_group(2, vec![broken(), rest()]).await;
    let others = [(&group[0], Some("v2")), (&group[1], Some("v2"))];
    let (answer, _gateway) = get_from_first(silent, Some("v1"), &others).await;
    assert_eq!(events(&answer), ["d1", "d2"]);
    assert!(is_complete(&answer));
}

/// Guards against a stream that goes on at another version, or is held, when no
/// endpoint of its own is left.
#[rstest]
#[case::none_listed(Some("v2"), Standing::Live)]
#[case::the_last_one_leaves(Some("v1"), Standing::Leaving)]
#[case::a_version_is_unknown(None, Standing::Live)]
#[tokio::test]
async fn a_stream_without_an_endpoint_of_its_version_is_cut_at_once(
    #[case] version: Option<&str>,
    #[case] standing: Standing,
) {
    let first = Endpoint::start(vec![broken()]).await;
    let other = Endpoint::start(vec![rest()]).await;
    let mut records = records(&[(&first, Some("v1")), (&other, version)]);
    records[1].standing = standing;
    let gateway = Gateway::start_with(Some(patient_plan()), records).await;
    let answer = gateway.get("/stream/x", "").await;
    assert_eq!(events(&answer), ["d1"]);
    assert!(!is_complete(&answer));
    assert!(other.requests().is_empty());
    let metrics = metrics(&gateway);
    assert!(
        metrics.contains("not_resumed_total{cause=\"NoEndpoint\"} 1"),
        "{metrics}"
    );
}

/// Guards against a stream that is resumed although the version of the endpoint that
/// began it is unknown.
#[rstest]
#[case::another_is_known(Some("v1"))]
#[case::none_is_known(None)]
#[tokio::test]
async fn a_stream_that_began_at_an_unknown_version_is_not_resumed(#[case] other: Option<&str>) {
    let second = Endpoint::start(vec![rest()]).await;
    let (answer, gateway) = get_from_first(broken(), None, &[(&second, other)]).await;
    assert_eq!(events(&answer), ["d1"]);
    assert!(!is_complete(&answer));
    assert!(second.requests().is_empty());
    let metrics = metrics(&gateway);
    assert!(
        metrics.contains("not_resumed_total{cause=\"UnknownVersion\"} 1"),
        "{metrics}"
    );
}

#[rstest]
#[case::other(Some("v1"), Some("v2"))]
#[case::unknown(None, Some("v2"))]
#[tokio::test]
async fn a_request_of_which_no_event_was_relayed_goes_to_any_version(
    #[case] first_version: Option<&str>,
    #[case] second_version: Option<&str>,
) {
    let silent = vec![stream_head(), Step::Close];
    let whole = vec![stream_head(), event(1), stream_end()];
    let second = Endpoint::start(vec![whole]).await;
    let others = [(&second, second_version)];
    let (answer, _gateway) = get_from_first(silent, first_version, &others).await;
    assert_eq!(status(&answer), 200);
    assert_eq!(events(&answer), ["d1"]);
    assert!(is_complete(&answer));
}

/// Waits until the gateway has relayed the first event of a stream.
async fn wait_for_first_event(gateway: &Gateway) {
    while !metrics(gateway).contains("first_event_seconds_count{tier=\"0\"} 1") {
        sleep(Duration::from_millis(1)).await;
    }
}

/// Guards against a stream that is taken for one of the old version because the
/// directory was behind when it began.
#[rstest]
#[case::before_the_first_event(true)]
#[case::after_the_first_event(false)]
#[tokio::test]
async fn a_stream_is_cut_if_the_version_of_its_endpoint_changed(#[case] before: bool) {
    let (ready, end) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let script = vec![
        Step::Wait(Arc::clone(&ready)),
        stream_head(),
        event(1),
        Step::Wait(Arc::clone(&end)),
        Step::Close,
    ];
    let first = Endpoint::start(vec![script]).await;
    let same = Endpoint::start(vec![rest()]).await;
    let gateway = gateway(&[(&first, Some("v1")), (&same, Some("v1"))]).await;
    let changed = records(&[(&first, Some("v2")), (&same, Some("v1"))]);
    let answer = gateway.get("/stream/x", "");
    let change = async {
        while first.requests().is_empty() {
            sleep(Duration::from_millis(1)).await;
        }
        if before {
            list(&gateway, changed.clone());
        }
        ready.notify_one();
        wait_for_first_event(&gateway).await;
        list(&gateway, changed);
        end.notify_one();
    };
    let (answer, ()) = tokio::join!(answer, change);
    assert_eq!(events(&answer), ["d1"]);
    assert!(!is_complete(&answer));
    assert!(same.requests().is_empty());
    let metrics = metrics(&gateway);
    assert!(
        metrics.contains("not_resumed_total{cause=\"UnknownVersion\"} 1"),
        "{metrics}"
    );
}

/// Guards against a stream that is cut because the endpoint that began it, and
/// broke, has started again with another version.
#[tokio::test]
async fn a_stream_that_was_resumed_keeps_its_version_when_its_first_endpoint_changes() {
    let (ready, end) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let first = Endpoint::start(vec![broken()]).await;
    let second = vec![
        Step::Wait(Arc::clone(&ready)),
        stream_head(),
        event(2),
        Step::Wait(Arc::clone(&end)),
        Step::Close,
    ];
    let third = vec![stream_head(), event(3), stream_end()];
    let group = Endpoint::start_group(2, vec![second, third]).await;
    let versions = |first_version| {
        records(&[
            (&first, Some(first_version)),
            (&group[0], Some("v1")),
            (&group[1], Some("v1")),
        ])
    };
    let gateway = Gateway::start_with(Some(patient_plan()), versions("v1")).await;
    let answer = gateway.get("/stream/x", "");
    let change = async {
        while group.iter().all(|endpoint| endpoint.requests().is_empty()) {
            sleep(Duration::from_millis(1)).await;
        }
        list(&gateway, versions("v2"));
        ready.notify_one();
        end.notify_one();
    };
    let (answer, ()) = tokio::join!(answer, change);
    assert_eq!(events(&answer), ["d1", "d2", "d3"]);
    assert!(is_complete(&answer));
}

/// Guards against events of another version from an endpoint that started again
/// between its choice and its first event.
#[tokio::test]
async fn a_resumed_stream_gets_no_event_of_an_endpoint_that_changed_its_version() {
    let ready = Arc::new(Notify::new());
    let first = Endpoint::start(vec![broken()]).await;
    let changed = vec![
        Step::Wait(Arc::clone(&ready)),
        stream_head(),
        chunk("id: 2\ndata: other\n\n"),
        Step::Hang,
    ];
    let group = Endpoint::start_group(2, vec![changed, rest()]).await;
    let endpoints = [
        (&first, Some("v1")),
        (&group[0], Some("v1")),
        (&group[1], Some("v1")),
    ];
    let gateway = gateway(&endpoints).await;
    let answer = gateway.get("/stream/x", "");
    let change = async {
        let chosen = loop {
            let mut names = group.iter();
            if let Some(chosen) = names.position(|endpoint| !endpoint.requests().is_empty()) {
                break chosen;
            }
            sleep(Duration::from_millis(1)).await;
        };
        let mut records = records(&endpoints);
        records[chosen + 1].version = Some(id::Version::from("v2"));
        list(&gateway, records);
        ready.notify_one();
    };
    let (answer, ()) = tokio::join!(answer, change);
    assert_eq!(events(&answer), ["d1", "d2"]);
    assert!(is_complete(&answer));
}

//! Requests that crash the endpoints they run on, through whole gateways.

mod common;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use common::{
    Endpoint, Gateway, Step, answer_with,
    cluster::Cluster,
    event, events,
    fragile::{End, Fleet, Return},
    is_complete, plan, status, stream_head,
};
use dottereltally_gateway::{acceptance, dialect::Head};
use dottereltally_lib::{
    id,
    quarantine::Verdict,
    suspicion::{Kind, Mark},
};
use rstest::rstest;
use tokio::{
    sync::Notify,
    task::JoinSet,
    time::{sleep, timeout},
};

/// Endpoints that a crashing request may end: three, and the three retries that
/// the users' rules allow after the third.
const MOST_ENDED: usize = 6;

/// Endpoints return under another id.
const BACK: Return = Return {
    after: Some(Duration::from_millis(2500)),
    same_id: false,
};

/// Guards against a crashing request that was sent without end, as its deaths
/// were only counted where the same node happened to connect again.
#[rstest]
#[case::closed_safe(End::Close, "/safe/fatal", "x-left: 400\r\n")]
#[case::reset_safe(End::Reset, "/safe/fatal", "x-left: 400\r\n")]
#[case::part_safe(End::AfterPart, "/safe/fatal", "x-left: 400\r\n")]
#[case::closed_once(End::Close, "/once/fatal", "x-left: 400\r\n")]
#[case::closed_stream(End::Close, "/stream/fatal", "x-left: 400\r\n")]
#[case::closed_stream_once(End::Close, "/stream-once/fatal", "x-left: 400\r\n")]
#[case::silent_safe(End::Silent, "/safe/fatal", "x-left: 300\r\n")]
#[case::silent_once(End::Silent, "/once/fatal", "x-left: 300\r\n")]
#[case::silent_stream(End::Silent, "/stream/fatal", "x-left: 2500\r\n")]
#[case::silent_stream_once(End::Silent, "/stream-once/fatal", "x-left: 300\r\n")]
#[tokio::test]
async fn a_request_that_crashes_endpoints_is_soon_refused(
    #[case] end: End,
    #[case] path: &str,
    #[case] headers: &str,
) {
    let fleet = Fleet::start(24, end, BACK).await;
    let gateway = Gateway::start(Some(plan()), &[]).await;
    fleet.list_at(&gateway.chain);
    let mut last = String::new();
    for _ in 0..12 {
        last = gateway.get(path, headers).await;
        sleep(Duration::from_millis(600)).await;
    }
    let ended = fleet.ended();
    assert!(ended <= MOST_ENDED, "{ended} endpoints ended: {last}");
    assert!(last.contains("quarantine"), "the last answer was {last}");
    assert_eq!(status(&last), 503);
}

/// The same with endpoints that are back at once, late or never, under the same or
/// another id.
#[rstest]
#[case::soon_as_another(Some(300), false)]
#[case::soon_as_the_same(Some(300), true)]
#[case::late_as_the_same(Some(3000), true)]
#[case::never(None, false)]
#[tokio::test]
async fn a_crashing_request_is_refused_however_its_endpoints_return(
    #[case] after: Option<u64>,
    #[case] same_id: bool,
    #[values(End::Close, End::Silent)] end: End,
) {
    let after = after.map(Duration::from_millis);
    let fleet = Fleet::start(24, end, Return { after, same_id }).await;
    let gateway = Gateway::start(Some(plan()), &[]).await;
    fleet.list_at(&gateway.chain);
    let mut last = String::new();
    for _ in 0..10 {
        last = gateway.get("/safe/fatal", "x-left: 300\r\n").await;
        sleep(Duration::from_millis(600)).await;
    }
    let ended = fleet.ended();
    assert!(ended <= MOST_ENDED, "{ended} endpoints ended: {last}");
    assert!(last.contains("quarantine"), "the last answer was {last}");
}

/// Guards against a crashing request that each node has to find out about by
/// itself, a node that started after it was found included.
#[tokio::test]
async fn a_crashing_request_is_refused_by_every_node() {
    let mut cluster = Cluster::start(3).await;
    let fleet = Fleet::start(24, End::Close, BACK).await;
    for gateway in &cluster.gateways {
        fleet.list_at(&gateway.chain);
    }
    for _ in 0..4 {
        for gateway in &cluster.gateways {
            gateway.get("/safe/fatal", "").await;
            sleep(Duration::from_millis(300)).await;
        }
    }
    let ended = fleet.ended();
    assert!(ended <= MOST_ENDED, "{ended} endpoints ended");
    cluster.add().await;
    let late = cluster.gateways.last().unwrap();
    fleet.list_at(&late.chain);
    let fingerprint = fingerprint_of("/safe/fatal");
    wait_until_confirmed(late, fingerprint).await;
    assert!(late.get("/safe/fatal", "").await.contains("quarantine"));
    assert_eq!(fleet.ended(), ended);
}

/// Copies that several nodes send at the same moment can't be held back, but those
/// that come afterwards are.
#[tokio::test]
async fn a_crashing_request_through_several_nodes_at_once_is_soon_refused() {
    let cluster = Cluster::start(3).await;
    let fleet = Fleet::start(24, End::Close, BACK).await;
    let mut first = JoinSet::new();
    for gateway in &cluster.gateways {
        fleet.list_at(&gateway.chain);
        let address = gateway.address;
        first.spawn(async move { common::get(address, "/safe/fatal", "").await });
    }
    first.join_all().await;
    for gateway in &cluster.gateways {
        wait_until_confirmed(gateway, fingerprint_of("/safe/fatal")).await;
    }
    let ended = fleet.ended();
    for gateway in &cluster.gateways {
        let answer = gateway.get("/safe/fatal", "").await;
        assert!(answer.contains("quarantine"), "{answer}");
    }
    assert_eq!(fleet.ended(), ended);
}

/// A caller that leaves before the end of an endpoint is noticed does not hide it.
#[tokio::test]
async fn a_crashing_request_is_refused_though_its_callers_leave() {
    let fleet = Fleet::start(24, End::Silent, BACK).await;
    let gateway = Gateway::start(Some(plan()), &[]).await;
    fleet.list_at(&gateway.chain);
    for _ in 0..10 {
        let calling = gateway.get("/once/fatal", "");
        let _left = timeout(Duration::from_millis(200), calling).await;
        sleep(Duration::from_millis(500)).await;
    }
    let ended = fleet.ended();
    assert!(ended <= MOST_ENDED, "{ended} endpoints ended");
}

/// Guards against a verdict that is read on arrival only: a request that is found
/// out while it runs is neither retried nor resumed.
#[rstest]
#[case::whole("/safe/x")]
#[case::stream("/stream/x")]
#[tokio::test]
async fn a_request_found_out_while_it_runs_is_not_sent_again(#[case] path: &str) {
    let release = Arc::<Notify>::default();
    let steps = if path.contains("stream") {
        let wait = Step::Wait(Arc::clone(&release));
        vec![stream_head(), event(1), wait, Step::Close]
    } else {
        vec![Step::Wait(Arc::clone(&release)), answer_with(500, "oops")]
    };
    let endpoint = Endpoint::start(vec![steps]).await;
    let other = Endpoint::start(Vec::new()).await;
    let gateway = Gateway::start(Some(plan()), &[&endpoint, &other]).await;
    let address = gateway.address;
    let wanted = path.to_owned();
    let calling = tokio::spawn(async move { common::get(address, &wanted, "").await });
    while endpoint.requests().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    let fingerprint = fingerprint_of(path);
    for incarnation in 0..3 {
        let mark = Mark {
            fingerprint,
            incarnation: id::Incarnation(incarnation),
            kind: Kind::Died,
            valid: Duration::from_mins(1),
        };
        let node = id::Node::from("n");
        let data_centre = id::DataCentre::from("dc");
        gateway
            .chain
            .crashes
            .apply_marks(&node, &data_centre, &[mark]);
    }
    release.notify_one();
    let answer = calling.await.unwrap();
    if path.contains("stream") {
        assert_eq!(events(&answer), ["d1"]);
        assert!(!is_complete(&answer));
    } else {
        assert_eq!(status(&answer), 500, "the endpoint's own answer");
    }
    let sent = other.requests();
    assert!(
        !sent.iter().any(|request| request.contains(path)),
        "{sent:?}"
    );
}

/// An endpoint that loses answers, but lives, makes no request suspect.
#[tokio::test]
async fn a_request_whose_answers_are_lost_is_not_refused() {
    let fleet = Fleet::start(8, End::Close, BACK).await;
    let gateway = Gateway::start(Some(plan()), &[]).await;
    fleet.list_at(&gateway.chain);
    for _ in 0..12 {
        let answer = gateway.get("/safe/unanswered", "").await;
        assert_eq!(status(&answer), 502, "{answer}");
        assert!(!answer.contains("quarantine"), "{answer}");
    }
    assert_eq!(
        verdict(&gateway, fingerprint_of("/safe/unanswered")),
        Verdict::Clear
    );
}

/// A data centre that falls silent as a whole, or ends as a whole, makes no request
/// suspect for long that is served elsewhere.
#[rstest]
#[case::silent(End::Silent)]
#[case::closed(End::Close)]
#[tokio::test]
async fn requests_of_a_lost_data_centre_are_served_elsewhere(#[case] end: End) {
    let back = Return {
        after: None,
        same_id: false,
    };
    let fleet = Fleet::start(12, end, back).await;
    let gateway = Gateway::start(Some(plan()), &[]).await;
    fleet.list_at(&gateway.chain);
    // Opens connections that the loss of the data centre breaks.
    for _ in 0..12 {
        assert_eq!(status(&gateway.get("/safe/x", "").await), 200);
    }
    fleet.end_data_centre("far").await;
    for _ in 0..40 {
        let answer = gateway.get("/safe/x", "x-left: 300\r\n").await;
        assert!(!answer.contains("quarantine"), "{answer}");
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(status(&gateway.get("/safe/x", "").await), 200);
}

/// Endpoints that leave and end with requests that they still run make no request
/// suspect.
#[tokio::test]
async fn the_end_of_a_leaving_endpoint_is_no_crash() {
    let fleet = Fleet::start(4, End::Close, BACK).await;
    let gateway = Gateway::start(Some(plan()), &[]).await;
    fleet.list_at(&gateway.chain);
    let address = gateway.address;
    let mut calling = JoinSet::new();
    for _ in 0..3 {
        calling.spawn(async move { common::get(address, "/once/slow", "").await });
    }
    while fleet.held() < 3 {
        sleep(Duration::from_millis(5)).await;
    }
    fleet.drain();
    fleet.end_data_centre("dc").await;
    fleet.end_data_centre("far").await;
    for answer in calling.join_all().await {
        assert_eq!(status(&answer), 502, "{answer}");
    }
    while gateway
        .chain
        .crashes
        .read(|detector, _| detector.examinations())
        > 0
    {
        sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(
        verdict(&gateway, fingerprint_of("/once/slow")),
        Verdict::Clear
    );
}

/// Returns the fingerprint of a `GET` request without key and body.
fn fingerprint_of(path: &str) -> id::Fingerprint {
    let parts = http::Request::get(path).body(()).unwrap().into_parts().0;
    acceptance::fingerprint(&parts, &Head::default(), &Bytes::new())
}

/// Returns what a node knows about a request.
fn verdict(gateway: &Gateway, fingerprint: id::Fingerprint) -> Verdict {
    let crashes = &gateway.chain.crashes;
    crashes.read(|detector, now| detector.verdict(now, fingerprint))
}

/// Waits until a node refuses a request.
async fn wait_until_confirmed(gateway: &Gateway, fingerprint: id::Fingerprint) {
    let waiting = async {
        while verdict(gateway, fingerprint) != Verdict::Confirmed {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(Duration::from_secs(30), waiting)
        .await
        .expect("the node learns of the crashing request");
}

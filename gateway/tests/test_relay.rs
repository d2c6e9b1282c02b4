//! Streams that are relayed, resumed and cut.

mod common;

use common::{
    Endpoint, Gateway, Step, chunk, event, events, header, is_complete, plan, status, stream_end,
    stream_head,
};
use dottereltally_lib::{id, origin::Origin};
use rstest::rstest;

#[tokio::test]
async fn a_stream_is_relayed_completely() {
    let script = vec![vec![stream_head(), event(1), event(2), stream_end()]];
    let endpoint = Endpoint::start(script).await;
    let gateway = Gateway::start(Some(plan()), &[&endpoint]).await;
    let answer = gateway.get("/stream/x", "").await;
    assert_eq!(status(&answer), 200);
    assert_eq!(events(&answer), ["d1", "d2"]);
    assert!(is_complete(&answer));
}

#[rstest]
#[case::between_events(vec![stream_head(), event(1), event(2), Step::Close])]
#[case::within_an_event(vec![stream_head(), event(1), event(2), chunk("id: 3\nda"), Step::Close])]
#[case::ended_within_an_event(vec![stream_head(), event(1), event(2), chunk("id: 3\nda"), stream_end()])]
#[case::with_a_gap(vec![stream_head(), event(1), event(2), event(4), Step::Close])]
#[case::with_a_repetition(vec![stream_head(), event(1), event(2), event(2), Step::Close])]
#[tokio::test]
async fn a_broken_stream_is_resumed_at_another_endpoint(#[case] steps: Vec<Step>) {
    let broken = Endpoint::start(vec![steps]).await;
    let script = vec![vec![stream_head(), event(3), event(4), stream_end()]];
    let healthy = Endpoint::start(script).await;
    let gateway = Gateway::start(Some(plan()), &[&broken, &healthy]).await;
    let answer = gateway.get("/stream/x", "").await;
    assert_eq!(events(&answer), ["d1", "d2", "d3", "d4"]);
    assert!(is_complete(&answer));
    let resumed = &healthy.requests()[0];
    assert_eq!(header(resumed, "x-after").as_deref(), Some("2"));
    assert_eq!(header(resumed, "x-id").as_deref(), Some("one"));
}

#[tokio::test]
async fn a_stream_that_may_not_be_resumed_is_cut_visibly() {
    let script = vec![vec![stream_head(), event(1), Step::Close]];
    let broken = Endpoint::start(script).await;
    let healthy = Endpoint::start(Vec::new()).await;
    let gateway = Gateway::start(Some(plan()), &[&broken, &healthy]).await;
    let answer = gateway.get("/stream-once/x", "").await;
    assert_eq!(events(&answer), ["d1"]);
    assert!(!is_complete(&answer));
    assert!(healthy.requests().is_empty());
}

#[tokio::test]
async fn a_stream_that_breaks_before_its_first_event_fails_with_a_status() {
    let script = vec![vec![stream_head(), Step::Close]];
    let broken = Endpoint::start(script).await;
    let gateway = Gateway::start(Some(plan()), &[&broken]).await;
    let answer = gateway.get("/stream-once/x", "").await;
    assert_eq!(status(&answer), 502);
    assert!(answer.contains("may-have-run"));
}

#[tokio::test]
async fn events_after_a_gap_at_a_second_endpoint_are_not_relayed() {
    let broken = Endpoint::start(vec![vec![stream_head(), event(1), Step::Close]]).await;
    let skipping = vec![vec![stream_head(), event(5), stream_end()]; 3];
    let skipping = Endpoint::start(skipping).await;
    let gateway = Gateway::start(Some(plan()), &[&broken, &skipping]).await;
    let answer = gateway.get("/stream/x", "").await;
    assert_eq!(events(&answer), ["d1"]);
    assert!(!is_complete(&answer));
}

#[tokio::test]
async fn a_caller_that_resumes_gets_the_following_events() {
    let script = vec![vec![stream_head(), event(8), stream_end()]];
    let endpoint = Endpoint::start(script).await;
    let gateway = Gateway::start(Some(plan()), &[&endpoint]).await;
    // The stream must have begun: its version is needed.
    let origin = Origin {
        version: id::Version::from("v1"),
        endpoint: id::Endpoint::from("e0"),
    };
    gateway.chain.origins.remember("first", &origin);
    let headers = "x-after: 7\r\nx-resumes: first\r\n";
    let answer = gateway.get("/stream/x", headers).await;
    assert_eq!(events(&answer), ["d8"]);
    let request = &endpoint.requests()[0];
    assert_eq!(header(request, "x-after").as_deref(), Some("7"));
    assert_eq!(header(request, "x-resumes").as_deref(), Some("first"));
}

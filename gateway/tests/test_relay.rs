//! Streams that are relayed, resumed and cut.

mod common;

use common::{
    Endpoint, Gateway, Step, answer_with, chunk, event, events, header, is_complete, plan, route,
    status, stream_end, stream_head,
};
use dottereltally_lib::{id, origin::Origin, plan::Plan, route::Retry};
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

/// Returns a plan whose streams may be sent to four endpoints.
fn four_attempts() -> Plan {
    Plan {
        routes: [route("/stream/", Retry::Resume, 4)].into_iter().collect(),
        ..plan()
    }
}

/// Guards against ORDER: what the next endpoint sends before an event that follows the last
/// one reaches no caller, and a further endpoint goes on with the stream.
#[rstest]
#[case::head_as_text(chunk("HTTP/1.1 500 X\r\ncontent-type: text/plain\r\n\r\n"))]
#[case::error_as_text(chunk("oops\n\n"))]
#[case::error_without_an_id(chunk("event: error\ndata: oops\n\n"))]
#[case::error_with_an_id_that_is_no_number(chunk("id: x\ndata: oops\n\n"))]
#[case::in_one_part_with_the_next_event(chunk("data: oops\n\nid: 3\ndata: d3\n\n"))]
#[case::repeated_event(event(2))]
#[tokio::test]
async fn a_resumed_stream_goes_on_with_the_next_event_or_elsewhere(#[case] first: Step) {
    let begun = vec![stream_head(), event(1), event(2), Step::Close];
    let broken = Endpoint::start(vec![begun]).await;
    let faulty = vec![stream_head(), first, event(3), event(4), stream_end()];
    let rest = vec![stream_head(), event(3), event(4), stream_end()];
    let others = Endpoint::start_group(2, vec![faulty, rest]).await;
    let gateway = Gateway::start(Some(four_attempts()), &[&broken, &others[0], &others[1]]).await;
    let answer = gateway.get("/stream/x", "").await;
    assert_eq!(events(&answer), ["d1", "d2", "d3", "d4"]);
    assert!(!answer.contains("oops") && !answer.contains("HTTP/1.1 500"));
    assert!(is_complete(&answer));
}

/// Guards against ORDER and MIXED: answers that are no streams reach no caller in the middle
/// of one, and two of them do not end it while a further endpoint is sound.
#[rstest]
#[case::failure(answer_with(500, "oops"))]
#[case::failure_without_a_promise(answer_with(503, "oops"))]
#[case::unknown_path(answer_with(404, "oops"))]
#[case::success_that_is_no_stream(answer_with(200, "oops"))]
#[case::refusal(Step::Send(
    "HTTP/1.1 503 X\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n".to_owned()
))]
#[case::other_request(Step::Send(
    "HTTP/1.1 503 X\r\nx-id: other\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n".to_owned()
))]
#[case::end_at_once(Step::Close)]
#[tokio::test]
async fn a_stream_goes_on_after_two_answers_that_are_no_streams(#[case] faulty: Step) {
    let begun = vec![stream_head(), event(1), event(2), Step::Close];
    let broken = Endpoint::start(vec![begun]).await;
    let rest = vec![stream_head(), event(3), event(4), stream_end()];
    let script = vec![vec![faulty.clone()], vec![faulty], rest];
    let others = Endpoint::start_group(3, script).await;
    let mut endpoints = vec![&broken];
    endpoints.extend(&others);
    let gateway = Gateway::start(Some(four_attempts()), &endpoints).await;
    let answer = gateway.get("/stream/x", "").await;
    assert_eq!(events(&answer), ["d1", "d2", "d3", "d4"]);
    assert!(is_complete(&answer));
}

//! Endpoints that write an earlier refusal once more, as if it were the answer to the next
//! request.

mod common;

use common::{Endpoint, Gateway, Step, answer_with, plan, status};
use rstest::rstest;

/// Returns the refusal of another request, which names a limit of no requests.
fn refusal(status: u16, id: &str) -> Step {
    Step::Send(format!(
        "HTTP/1.1 {status} X\r\n{id}x-not-run: 1\r\nx-limit: 0\r\ncontent-length: 0\r\n\r\n"
    ))
}

/// Starts a gateway whose first endpoint answers with these steps.
async fn start(steps: Vec<Step>) -> (Gateway, Endpoint, Endpoint) {
    let faulty = Endpoint::start(vec![steps]).await;
    let healthy = Endpoint::start(Vec::new()).await;
    let gateway = Gateway::start(Some(plan()), &[&faulty, &healthy]).await;
    (gateway, faulty, healthy)
}

/// Guards against TWICE and REFUSED: the refusal of another request, or of none, does not
/// show that this one did not run.
#[rstest]
#[case::of_another_request(503, "x-id: earlier\r\n")]
#[case::of_no_request(503, "")]
#[case::misdirected_of_another_request(421, "x-id: earlier\r\n")]
#[case::misdirected_of_no_request(421, "")]
#[case::of_two_requests(503, "x-id: earlier\r\nx-id: {id}\r\n")]
#[tokio::test]
async fn the_refusal_of_another_request_is_not_believed(#[case] code: u16, #[case] id: &str) {
    let steps = vec![refusal(code, id), answer_with(200, "late")];
    let (gateway, faulty, healthy) = start(steps).await;
    let answer = gateway.get("/once/x", "").await;
    assert_eq!(status(&answer), 502, "the endpoint may run it");
    assert!(answer.contains("may-have-run"));
    assert_eq!(faulty.requests().len(), 1);
    assert_eq!(healthy.requests().len(), 0, "it is not sent again");
    let limited = gateway
        .chain
        .admission
        .read(dottereltally_lib::dispatcher::Dispatcher::limited_endpoints);
    assert_eq!(limited, 0, "its limit is not believed either");
}

/// What may be repeated is sent to another endpoint, and the answer that comes late on the
/// connection reaches nobody.
#[tokio::test]
async fn requests_after_the_refusal_of_another_one_get_their_own_answers() {
    let steps = vec![refusal(503, "x-id: earlier\r\n"), answer_with(200, "late")];
    let (gateway, _faulty, _healthy) = start(steps).await;
    for _ in 0..5 {
        let answer = gateway.get("/safe/x", "").await;
        assert_eq!(status(&answer), 200);
        assert!(answer.ends_with("usual"), "{answer}");
    }
}

/// The refusal of the request itself is believed.
#[tokio::test]
async fn the_refusal_of_a_request_is_believed() {
    let (gateway, _faulty, healthy) = start(vec![refusal(503, "x-id: {id}\r\n")]).await;
    assert_eq!(status(&gateway.get("/once/x", "").await), 200);
    assert_eq!(healthy.requests().len(), 1);
}

//! Tests of problem responses.

use std::time::Duration;

use dottereltally::problem::{Problem, Reason};
use dottereltally_lib::id;
use http::StatusCode;
use http_body_util::BodyExt;
use rstest::rstest;
use serde_json::{Value, json};

#[tokio::test]
async fn has_the_members_of_rfc_9457() {
    let problem = Problem::may_have_run(StatusCode::BAD_GATEWAY, Reason::Broken, "look at it");
    let response = problem.response(Some(id::Request(3)));
    assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
    assert_eq!(
        response.headers()["content-type"],
        "application/problem+json"
    );
    assert_eq!(response.headers()["dottereltally-request"], "3");
    assert!(!response.headers().contains_key("retry-after"));
    let body = response
        .into_body()
        .collect()
        .await
        .expect("a complete body");
    let body: Value = serde_json::from_slice(&body.to_bytes()).expect("a JSON body");
    let expected = json!({
        "type": "about:blank",
        "title": "Bad Gateway",
        "status": 502,
        "detail": "look at it",
        "reason": "broken",
        "run": "may-have-run",
    });
    assert_eq!(body, expected);
}

#[rstest]
#[case(Duration::ZERO, "1")]
#[case(Duration::from_millis(1), "1")]
#[case(Duration::from_secs(2), "2")]
#[case(Duration::from_millis(2001), "3")]
fn rounds_retry_after_up_to_whole_seconds(#[case] delay: Duration, #[case] expected: &str) {
    let problem = Problem::before_dispatch(StatusCode::SERVICE_UNAVAILABLE, Reason::Platform, "");
    let response = problem.retry_after(delay).response(None);
    assert_eq!(response.headers()["retry-after"], expected);
}

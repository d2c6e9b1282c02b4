//! Problem bodies.

use std::time::Duration;

use dottereltally::problem::{Problem, Reason};
use dottereltally_lib::id;
use http::StatusCode;
use http_body_util::BodyExt;
use rstest::rstest;
use serde_json::{Value, json};

#[tokio::test]
async fn carries_what_rfc_9457_asks_for() {
    let problem = Problem::may_have_run(StatusCode::BAD_GATEWAY, Reason::Broken, "look at it");
    let response = problem.response(Some(id::Request(3)));
    assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
    assert_eq!(
        response.headers()["content-type"],
        "application/problem+json"
    );
    assert_eq!(response.headers()["dottereltally-request"], "3");
    assert!(!response.headers().contains_key("retry-after"));
    let body = response.into_body().collect().await.expect("whole");
    let body: Value = serde_json::from_slice(&body.to_bytes()).expect("JSON");
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
fn tells_whole_seconds_rounded_up(#[case] delay: Duration, #[case] expected: &str) {
    let problem = Problem::unread(StatusCode::SERVICE_UNAVAILABLE, Reason::Platform, "");
    let response = problem.retry_after(delay).response(None);
    assert_eq!(response.headers()["retry-after"], expected);
}

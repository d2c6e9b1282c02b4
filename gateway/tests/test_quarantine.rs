//! Requests that crash the endpoints they run on, through whole gateways.

mod common;

use std::time::Duration;

use common::{
    Gateway,
    fragile::{End, Fleet, Return},
    plan, status,
};
use rstest::rstest;
use tokio::time::sleep;

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
#[ignore = "known red: issue 18"]
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

//! Serving requests, also with endpoints that misbehave.

mod common;

use std::{sync::Arc, time::Duration};

use common::{
    Endpoint, Gateway, Step, answer_with, header, plan, read_message, route, status, with_keys,
};
use dottereltally_lib::{budget::Limits, id, route::Retry};
use rstest::rstest;
use tokio::{io::AsyncWriteExt, net::TcpStream, sync::Notify, time::timeout};

#[tokio::test]
async fn an_answer_is_forwarded_unchanged() {
    let endpoint = Endpoint::start(vec![vec![answer_with(404, "nothing here")]]).await;
    let gateway = Gateway::start(Some(plan()), &[&endpoint]).await;
    let answer = gateway
        .get("/safe/x?y=1", "x-other: kept\r\nx-left: 900\r\n")
        .await;
    assert_eq!(status(&answer), 404);
    assert!(answer.ends_with("nothing here"));
    assert_eq!(header(&answer, "x-seal").as_deref(), Some("s"));
    let request = &endpoint.requests()[0];
    assert!(request.starts_with("GET /safe/x?y=1 HTTP/1.1\r\n"));
    assert_eq!(header(request, "host").as_deref(), Some("a.example"));
    assert_eq!(header(request, "x-other").as_deref(), Some("kept"));
    assert_eq!(header(request, "x-expected").as_deref(), Some("e0"));
    let left: u64 = header(request, "x-left").unwrap().parse().unwrap();
    assert!(left <= 900, "{left} of 900 ms are left");
}

#[rstest]
#[case::other_request("HTTP/1.1 200 X\r\nx-id: other\r\nx-seal: s\r\ncontent-length: 1\r\n\r\nx")]
#[case::unsealed("HTTP/1.1 200 X\r\nx-id: {id}\r\ncontent-length: 1\r\n\r\nx")]
#[case::truncated("HTTP/1.1 200 X\r\nx-id: {id}\r\nx-seal: s\r\ncontent-length: 9\r\n\r\nx")]
#[case::not_http("this is no answer\r\n\r\n")]
#[case::empty("")]
#[case::encoded(
    "HTTP/1.1 200 X\r\nx-id: {id}\r\nx-seal: s\r\ncontent-encoding: gzip\r\ncontent-length: 1\r\n\r\nx"
)]
#[tokio::test]
async fn an_invalid_answer_does_not_reach_the_caller(#[case] bytes: &str) {
    let script = vec![vec![Step::Send(bytes.to_owned()), Step::Close]];
    let broken = Endpoint::start(script.clone()).await;
    let healthy = Endpoint::start(Vec::new()).await;
    let gateway = Gateway::start(Some(plan()), &[&broken, &healthy]).await;
    let answer = gateway.get("/safe/x", "").await;
    assert_eq!(status(&answer), 200, "a safe request is retried");
    assert!(answer.ends_with("usual"));

    let broken = Endpoint::start(script).await;
    let gateway = Gateway::start(Some(plan()), &[&broken, &healthy]).await;
    let answer = gateway.get("/once/x", "").await;
    assert_eq!(status(&answer), 502, "the endpoint may have run it");
    assert!(answer.contains("may-have-run"));
    assert_eq!(healthy.requests().len(), 1, "it is not retried");
}

#[rstest]
#[case("/safe/x", 200)]
#[case("/once/x", 200)]
#[tokio::test]
async fn a_rejected_request_is_sent_to_another_endpoint(#[case] path: &str, #[case] expected: u16) {
    let reject = "HTTP/1.1 503 X\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    let rejecting = Endpoint::start(vec![vec![Step::Send(reject.to_owned())]]).await;
    let healthy = Endpoint::start(Vec::new()).await;
    let gateway = Gateway::start(Some(plan()), &[&rejecting, &healthy]).await;
    assert_eq!(status(&gateway.get(path, "").await), expected);
}

#[tokio::test]
async fn a_request_that_every_endpoint_rejects_was_not_run() {
    let reject = "HTTP/1.1 503 X\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    let script = vec![vec![Step::Send(reject.to_owned())]; 4];
    let one = Endpoint::start(script.clone()).await;
    let two = Endpoint::start(script).await;
    let gateway = Gateway::start(Some(plan()), &[&one, &two]).await;
    let answer = gateway.get("/once/x", "").await;
    assert_eq!(status(&answer), 503);
    assert!(answer.contains("not-run"));
    assert!(header(&answer, "retry-after").is_some());
    assert_eq!(header(&answer, "x-id").as_deref(), Some("one"));
}

#[tokio::test]
async fn an_endpoint_failure_is_retried_only_on_safe_routes() {
    let failing = Endpoint::start(vec![vec![answer_with(500, "oops")]; 2]).await;
    let healthy = Endpoint::start(Vec::new()).await;
    let gateway = Gateway::start(Some(plan()), &[&failing, &healthy]).await;
    assert_eq!(status(&gateway.get("/safe/x", "").await), 200);

    let failing = Endpoint::start(vec![vec![answer_with(500, "oops")]; 2]).await;
    let gateway = Gateway::start(Some(plan()), &[&failing, &healthy]).await;
    let answer = gateway.get("/once/x", "").await;
    assert_eq!(status(&answer), 500);
    assert!(
        answer.ends_with("oops"),
        "the endpoint's own answer is forwarded"
    );
}

#[tokio::test]
async fn an_unreachable_endpoint_costs_no_attempt() {
    let unreachable = Endpoint::unreachable().await;
    let healthy = Endpoint::start(Vec::new()).await;
    let gateway = Gateway::start(Some(plan()), &[&unreachable, &healthy]).await;
    assert_eq!(status(&gateway.get("/once/x", "").await), 200);
}

#[tokio::test]
async fn a_request_is_answered_at_the_time_limit_of_its_route() {
    let endpoint = Endpoint::start(vec![vec![Step::Hang]]).await;
    let gateway = Gateway::start(Some(plan()), &[&endpoint]).await;
    let answer = gateway.get("/short/x", "").await;
    assert_eq!(status(&answer), 504);
    endpoint.wait_for_close().await;
}

#[tokio::test]
async fn a_caller_that_leaves_cancels_the_request_at_the_endpoint() {
    let endpoint = Endpoint::start(vec![vec![Step::Hang]]).await;
    let gateway = Gateway::start(Some(plan()), &[&endpoint]).await;
    let mut caller = TcpStream::connect(gateway.address).await.unwrap();
    caller
        .write_all(b"GET /safe/x HTTP/1.1\r\nhost: a.example\r\nx-id: one\r\n\r\n")
        .await
        .unwrap();
    while endpoint.requests().is_empty() {
        tokio::task::yield_now().await;
    }
    drop(caller);
    timeout(Duration::from_secs(30), endpoint.wait_for_close())
        .await
        .expect("the connection to the endpoint is closed");
}

#[tokio::test]
async fn a_node_without_a_plan_reports_that_nothing_ran() {
    let gateway = Gateway::start(None, &[]).await;
    let answer = gateway.get("/safe/x", "").await;
    assert_eq!(status(&answer), 503);
    assert!(answer.contains("not-run"));
}

#[rstest]
#[case::no_route("/other/x", "x-key: key\r\n", 404)]
#[case::no_key("/safe/x", "", 401)]
#[case::unknown_key("/safe/x", "x-key: guess\r\n", 401)]
#[case::known_key("/safe/x", "x-key: key\r\n", 200)]
#[tokio::test]
async fn routes_and_keys_decide_who_is_served(
    #[case] path: &str,
    #[case] headers: &str,
    #[case] expected: u16,
) {
    let endpoint = Endpoint::start(Vec::new()).await;
    let gateway = Gateway::start(Some(with_keys(plan())), &[&endpoint]).await;
    assert_eq!(status(&gateway.get(path, headers).await), expected);
    for request in endpoint.requests() {
        assert_eq!(header(&request, "x-workspace").as_deref(), Some("w"));
        assert_eq!(header(&request, "x-key"), None);
    }
}

#[tokio::test]
async fn a_revoked_key_is_refused_from_the_next_plan_on() {
    let endpoint = Endpoint::start(Vec::new()).await;
    let gateway = Gateway::start(Some(with_keys(plan())), &[&endpoint]).await;
    assert_eq!(status(&gateway.get("/safe/x", "x-key: key\r\n").await), 200);
    let mut next = with_keys(plan());
    next.generation = id::Generation(2);
    next.workspaces.as_mut().unwrap().keys.clear();
    gateway.plan.send_replace(Some(next.into()));
    assert_eq!(status(&gateway.get("/safe/x", "x-key: key\r\n").await), 401);
}

#[tokio::test]
async fn a_workspace_over_its_quota_gets_a_retry_after() {
    let endpoint = Endpoint::start(Vec::new()).await;
    let gateway = Gateway::start(Some(with_keys(plan())), &[&endpoint]).await;
    let mut last = String::new();
    for _ in 0..40 {
        last = gateway.get("/safe/x", "x-key: key\r\n").await;
        if status(&last) != 200 {
            break;
        }
    }
    assert_eq!(status(&last), 429);
    assert!(header(&last, "retry-after").is_some());
}

#[rstest]
#[case::no_id("GET /safe/x HTTP/1.1\r\nhost: a.example\r\n\r\n")]
#[case::two_hosts(
    "GET /safe/x HTTP/1.1\r\nhost: a.example\r\nhost: b.example\r\nx-id: one\r\n\r\n"
)]
#[case::two_lengths(
    "POST /safe/x HTTP/1.1\r\nhost: a.example\r\nx-id: one\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab"
)]
#[case::unknown_coding(
    "POST /safe/x HTTP/1.1\r\nhost: a.example\r\nx-id: one\r\ntransfer-encoding: xchunked\r\n\r\n0\r\n\r\n"
)]
#[tokio::test]
async fn malformed_requests_are_refused_and_end_their_connection(#[case] bytes: &str) {
    let endpoint = Endpoint::start(Vec::new()).await;
    let gateway = Gateway::start(Some(plan()), &[&endpoint]).await;
    let answer = gateway.send_raw(bytes).await;
    assert_eq!(status(&answer), 400);
    assert!(endpoint.requests().is_empty());
}

/// Request smuggling: a request behind one whose length can be read in two ways
/// is not run.
#[rstest]
#[case("transfer-encoding: chunked\r\ncontent-length: 5\r\n")]
#[case("content-length: 5\r\ntransfer-encoding: chunked\r\n")]
#[tokio::test]
async fn a_request_hidden_behind_another_is_not_run(#[case] lengths: &str) {
    let endpoint = Endpoint::start(Vec::new()).await;
    let gateway = Gateway::start(Some(plan()), &[&endpoint]).await;
    let bytes = format!(
        "POST /safe/x HTTP/1.1\r\nhost: a.example\r\nx-id: one\r\n{lengths}\r\n0\r\n\r\n\
         GET /safe/hidden HTTP/1.1\r\nhost: a.example\r\nx-id: two\r\n\r\n"
    );
    gateway.send_raw(&bytes).await;
    let requests = endpoint.requests();
    assert!(requests.iter().all(|request| !request.contains("hidden")));
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused() {
    let endpoint = Endpoint::start(Vec::new()).await;
    let gateway = Gateway::start(Some(plan()), &[&endpoint]).await;
    let body = "x".repeat(1001);
    let bytes = format!(
        "POST /safe/x HTTP/1.1\r\nhost: a.example\r\nx-id: one\r\ncontent-length: 1001\r\n\r\n{body}"
    );
    assert_eq!(status(&gateway.send_raw(&bytes).await), 413);
    assert!(endpoint.requests().is_empty());
}

#[tokio::test]
async fn a_drain_lets_running_requests_end() {
    let release = Arc::<Notify>::default();
    let slow = vec![Step::Wait(Arc::clone(&release)), answer_with(200, "slow")];
    let endpoint = Endpoint::start(vec![vec![answer_with(200, "first")], slow]).await;
    let gateway = Gateway::start(Some(plan()), &[&endpoint]).await;
    let mut caller = TcpStream::connect(gateway.address).await.unwrap();
    let request = b"GET /safe/x HTTP/1.1\r\nhost: a.example\r\nx-id: one\r\n\r\n";
    caller.write_all(request).await.unwrap();
    let answer = read_message(&mut caller).await.unwrap();
    assert_eq!(status(&answer), 200, "the connection stays open");
    caller.write_all(request).await.unwrap();
    while endpoint.requests().len() < 2 {
        tokio::task::yield_now().await;
    }
    gateway.chain.phase.drain();
    release.notify_one();
    let answer = read_message(&mut caller).await.unwrap();
    assert_eq!(status(&answer), 200);
    assert!(answer.ends_with("slow"));
}

#[test]
fn a_test_route_has_the_given_attempts() {
    assert_eq!(route("/x/", Retry::Never, 1).attempts, 1);
}

/// One unit of the retry budget is left, which is enough for one retry.
#[tokio::test]
async fn a_retry_costs_one_unit_of_the_budget() {
    let failing = Endpoint::start(vec![vec![answer_with(500, "oops")]]).await;
    let healthy = Endpoint::start(Vec::new()).await;
    let gateway = Gateway::start(Some(plan()), &[&failing, &healthy]).await;
    {
        let mut budget = gateway.chain.budget.lock().unwrap();
        budget.set_limits(Limits {
            ratio: 0.2,
            allowance: 0.0,
            window: Duration::from_secs(10),
        });
        for _ in 0..7 {
            budget.record_request(gateway.chain.clock.now(), &id::Service::from("s"));
        }
    }
    assert_eq!(status(&gateway.get("/safe/x", "").await), 200);
}

/// A retry that reaches no endpoint does not hide the first endpoint's answer.
#[tokio::test]
async fn a_failure_without_a_second_endpoint_is_forwarded() {
    let failing = Endpoint::start(vec![vec![answer_with(500, "oops")]]).await;
    let unreachable = Endpoint::unreachable().await;
    let gateway = Gateway::start(Some(plan()), &[&failing, &unreachable]).await;
    let answer = gateway.get("/safe/x", "").await;
    assert_eq!(status(&answer), 500);
    assert!(answer.ends_with("oops"), "the endpoint's own answer");
}

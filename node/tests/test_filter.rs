//! The filter chain: which requests reach an endpoint, and which responses
//! callers get.

mod chain;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use chain::{
    Decision, Harness, Head, PendingBody, SMALL_KEY, Script, Step, chat, payment, read, request,
    with_header,
};
use dottereltally::upstream::Reuse;
use dottereltally_lib::{
    event::{Event, Outcome},
    id, refusal,
    size::Tokens,
};
use dottereltally_store::{
    layout,
    memory::{Call, Fault},
};
use http::{Request, StatusCode};
use http_body_util::Full;
use rstest::rstest;
use tokio::sync::Notify;

const USAGE: &str = "data: {\"usage\": {\"prompt_tokens\": 2, \"completion_tokens\": 5, \"prompt_tokens_details\": {\"cached_tokens\": 1}}}\n\n";

fn complete_stream() -> Script {
    Script::Respond(
        Head::event_stream(),
        vec![
            Step::Data("data: {\"a\": 1}\n\nda"),
            Step::Data("ta: {\"a\": 2}\n\n"),
            Step::Data(USAGE),
            Step::Data("data: [DONE]\n\n"),
        ],
    )
}

fn payment_response() -> Script {
    Script::Respond(Head::json(201), vec![Step::Data("{\"paid\": true}")])
}

#[tokio::test]
async fn streams_a_response_unchanged_and_reports_its_usage() {
    let harness = Harness::new(vec![], vec![complete_stream()]);
    let reply = harness.send(chat()).await;
    assert_eq!(reply.status, StatusCode::OK);
    assert!(reply.complete);
    let expected = format!("data: {{\"a\": 1}}\n\ndata: {{\"a\": 2}}\n\n{USAGE}data: [DONE]\n\n");
    assert_eq!(reply.text, expected);
    assert_eq!(reply.headers["dottereltally-request"], "7");
    assert!(!reply.headers.contains_key("x-request-id"));
    let answered = Outcome::Answered {
        cached: Tokens(1),
        output: Tokens(5),
    };
    assert_eq!(harness.outcomes(), [answered]);
    let metrics = harness.metrics();
    assert!(
        metrics.contains("answers_total{tier=\"1\",result=\"whole\"} 1"),
        "{metrics}"
    );
    assert!(
        !metrics.contains("wasted_prefill_tokens_total{"),
        "{metrics}"
    );
    assert!(metrics.contains("in_flight 0"), "{metrics}");
}

#[tokio::test]
async fn forwards_only_headers_meant_for_the_endpoint() {
    let harness = Harness::new(vec![Decision::Admit("tally-2")], vec![complete_stream()]);
    let mut request = with_header(chat(), "x-own", "1");
    request = with_header(request, "connection", "close, x-hop");
    request = with_header(request, "x-hop", "1");
    request = with_header(request, "x-request-id", "mine");
    harness.send(request).await;
    let sent = harness.sent();
    assert_eq!(sent[0].address, "tally-2:80");
    let headers = sent[0].message.headers();
    assert_eq!(headers["x-own"], "1");
    assert_eq!(headers["host"], "tally-2:80");
    assert_eq!(headers["x-request-id"], "entry-1-7");
    for name in ["authorization", "connection", "x-hop"] {
        assert!(!headers.contains_key(name), "{name}");
    }
}

#[rstest]
#[case::no_key(
    with_header(chat(), "authorization", "Bearer other"),
    401,
    "unauthenticated"
)]
#[case::no_scheme(
    with_header(chat(), "authorization", "demo-key"),
    401,
    "unauthenticated"
)]
#[case::no_path(request("GET", "/none", ""), 404, "no-call")]
#[case::no_method(request("PUT", "/payments", ""), 405, "no-call")]
#[case::no_json(request("POST", "/v1/chat/completions", "{"), 400, "malformed")]
#[case::no_model(
    request("POST", "/v1/chat/completions", "{\"model\": \"x\"}"),
    404,
    "no-call"
)]
#[case::many_tokens(
    request("POST", "/v1/chat/completions", "{\"max_tokens\": 99999999}"),
    400,
    "malformed"
)]
#[case::higher_tier(with_header(chat(), "dottereltally-tier", "gate"), 400, "malformed")]
#[case::unknown_tier(with_header(chat(), "dottereltally-tier", "none"), 400, "malformed")]
#[case::longer_deadline(with_header(chat(), "dottereltally-deadline", "61s"), 400, "malformed")]
#[case::no_duration(
    with_header(chat(), "dottereltally-deadline", "soon"),
    400,
    "malformed"
)]
#[case::dot_segment(request("GET", "/tickets/../payments", ""), 400, "malformed")]
#[case::hidden_dot_segment(request("GET", "/tickets/%2E%2e%2fpayments", ""), 400, "malformed")]
#[case::no_idempotency_key(request("POST", "/payments", "{}"), 400, "no-key")]
#[case::large_body(request("POST", "/log", &"x".repeat(4097)), 413, "too-large")]
#[case::large_head(with_header(chat(), "x-large", &"x".repeat(17_000)), 431, "too-large")]
#[tokio::test]
async fn refuses_bad_input(
    #[case] request: Request<Full<Bytes>>,
    #[case] status: u16,
    #[case] reason: &str,
) {
    let harness = Harness::new(vec![], vec![]);
    let reply = harness.send(request).await;
    assert_eq!(reply.status, status, "{}", reply.text);
    assert_eq!(reply.headers["content-type"], "application/problem+json");
    assert_eq!(reply.member("reason"), reason);
    assert_eq!(reply.member("run"), "not-run");
    assert!(harness.events().is_empty());
}

/// An earlier attempt with the same key may have run, so that a refusal of a
/// malformed request must not say "not-run".
#[rstest]
#[case::no_key(with_header(payment("k"), "authorization", "Bearer other"), 401)]
#[case::large_body(with_header(request("POST", "/payments", &"x".repeat(4097)), "idempotency-key", "k"), 413)]
#[case::bad_deadline(with_header(payment("k"), "dottereltally-deadline", "soon"), 400)]
#[case::empty_key(payment(""), 400)]
#[tokio::test]
async fn a_refusal_before_the_claim_says_may_have_run(
    #[case] request: Request<Full<Bytes>>,
    #[case] status: u16,
) {
    let harness = Harness::new(vec![], vec![]);
    let reply = harness.send(request).await;
    assert_eq!(reply.status, status, "{}", reply.text);
    assert_eq!(reply.member("run"), "may-have-run");
}

#[tokio::test(start_paused = true)]
async fn refuses_a_body_that_does_not_arrive_in_time() {
    let harness = Harness::new(vec![], vec![]);
    let request = request("POST", "/log", "").map(|_| PendingBody);
    let reply = read(Arc::clone(&harness.chain).serve(request).await).await;
    assert_eq!(reply.status, StatusCode::REQUEST_TIMEOUT);
    assert_eq!(reply.member("reason"), "slow-sender");
}

#[tokio::test]
async fn refuses_without_a_configuration() {
    let harness = Harness::with_rules(None, vec![], vec![]);
    let reply = harness.send(chat()).await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(reply.member("reason"), "no-configuration");
    assert_eq!(reply.headers["retry-after"], "1");
}

#[tokio::test]
async fn limits_the_concurrent_requests_of_a_workspace() {
    let gate = Arc::new(Notify::new());
    let steps = vec![
        Step::Data("data: 1\n\n"),
        Step::WaitFor(Arc::clone(&gate)),
        Step::Data("data: [DONE]\n\n"),
    ];
    let scripts = vec![
        Script::Respond(Head::event_stream(), steps),
        complete_stream(),
    ];
    let harness = Harness::new(vec![], scripts);
    let key = format!("Bearer {SMALL_KEY}");
    let small = || with_header(chat(), "authorization", &key);
    let first = Arc::clone(&harness.chain).serve(small()).await;
    let second = harness.send(small()).await;
    assert_eq!(second.status, StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(second.member("run"), "not-run");
    gate.notify_one();
    assert!(read(first).await.complete);
    let third = harness.send(small()).await;
    assert_eq!(third.status, StatusCode::OK);
}

#[tokio::test]
async fn passes_on_a_refusal_of_the_dispatcher() {
    let refuse = Decision::Refuse(refusal::Reason::Overload);
    let harness = Harness::new(vec![refuse], vec![]);
    let reply = harness.send(chat()).await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(reply.member("reason"), "overload");
    assert_eq!(reply.member("run"), "not-run");
    assert_eq!(reply.headers["retry-after"], "2");
    let metrics = harness.metrics();
    assert!(
        metrics.contains("refusals_total{tier=\"1\",reason=\"overload\"} 1"),
        "{metrics}"
    );
}

#[tokio::test]
async fn tries_another_endpoint_if_nothing_was_sent() {
    let decisions = vec![Decision::Admit("tally-1"), Decision::Admit("tally-2")];
    let harness = Harness::new(decisions, vec![Script::Unsent, complete_stream()]);
    let reply = harness.send(chat()).await;
    assert_eq!(reply.status, StatusCode::OK);
    let sent = harness.sent();
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].address, "tally-2:80");
    let unsent =
        |event: &Event| matches!(event, Event::Unsent(request) if *request == id::Request(7));
    assert!(harness.events().iter().any(unsent));
}

#[rstest]
#[case::broken(Script::Broken, 502, "broken", Outcome::Broken)]
#[case::silent(Script::Silent, 504, "stalled", Outcome::Stalled)]
#[case::no_first_byte_then_broken(Script::Respond(Head::event_stream(), vec![Step::Disconnect]), 502, "broken", Outcome::Broken)]
#[case::no_first_byte_then_stalled(Script::Respond(Head::event_stream(), vec![Step::Stall]), 504, "stalled", Outcome::Stalled)]
#[case::wrong_correlation(
    Script::Respond(Head { correlation: Some("entry-1-8"), ..Head::event_stream() }, vec![]),
    502, "crossed", Outcome::Stalled
)]
#[tokio::test(start_paused = true)]
async fn never_sends_again_once_the_request_may_have_arrived(
    #[case] script: Script,
    #[case] status: u16,
    #[case] reason: &str,
    #[case] outcome: Outcome,
) {
    let harness = Harness::new(vec![], vec![script, complete_stream()]);
    let reply = harness.send(chat()).await;
    assert_eq!(reply.status, status, "{}", reply.text);
    assert_eq!(reply.member("reason"), reason);
    assert_eq!(reply.member("run"), "may-have-run");
    assert_eq!(harness.sent().len(), 1);
    assert_eq!(harness.outcomes(), [outcome]);
    let metrics = harness.metrics();
    assert!(
        metrics.contains("wasted_prefill_tokens_total{tier=\"1\"} 2"),
        "{metrics}"
    );
    assert!(!metrics.contains("refusals_total{"), "{metrics}");
}

#[rstest]
#[case::ends_early(vec![], "broken", Outcome::Broken)]
#[case::breaks(vec![Step::Disconnect], "broken", Outcome::Broken)]
#[case::stalls(vec![Step::Stall], "stalled", Outcome::Stalled)]
#[tokio::test(start_paused = true)]
async fn a_truncated_stream_is_recognizable_as_incomplete(
    #[case] rest: Vec<Step>,
    #[case] reason: &str,
    #[case] outcome: Outcome,
) {
    let mut steps = vec![Step::Data("data: {\"a\": 1}\n\n")];
    steps.extend(rest);
    let harness = Harness::new(vec![], vec![Script::Respond(Head::event_stream(), steps)]);
    let reply = harness.send(chat()).await;
    assert_eq!(reply.status, StatusCode::OK);
    assert!(!reply.complete);
    assert!(!reply.text.contains("[DONE]"));
    let error = format!("data: {{\"error\": {{\"type\": \"{reason}\"");
    assert!(reply.text.contains(&error), "{}", reply.text);
    assert_eq!(harness.outcomes(), [outcome]);
}

#[tokio::test(start_paused = true)]
async fn a_deadline_that_passes_cancels_the_stream() {
    let slow = Arc::new(Notify::new());
    let steps = vec![Step::Data("data: 1\n\n"), Step::WaitFor(slow)];
    let harness = Harness::new(vec![], vec![Script::Respond(Head::event_stream(), steps)]);
    let request = with_header(chat(), "dottereltally-deadline", "5s");
    let reply = harness.send(request).await;
    assert!(!reply.complete);
    assert!(reply.text.contains("deadline-passed"), "{}", reply.text);
    assert_eq!(harness.outcomes(), [Outcome::Cancelled]);
}

#[tokio::test(start_paused = true)]
async fn a_deadline_that_passes_cancels_a_stream_that_nobody_reads() {
    let steps = vec![Step::Data("data: 1\n\n"), Step::Data("data: 2\n\n")];
    let harness = Harness::new(vec![], vec![Script::Respond(Head::event_stream(), steps)]);
    let request = with_header(chat(), "dottereltally-deadline", "5s");
    let response = Arc::clone(&harness.chain).serve(request).await;
    harness.endpoints.cancelled.notified().await;
    assert_eq!(harness.outcomes(), [Outcome::Cancelled]);
    let reply = read(response).await;
    assert!(!reply.complete);
    assert!(reply.text.contains("deadline-passed"), "{}", reply.text);
}

#[tokio::test(start_paused = true)]
async fn a_deadline_that_passes_before_the_first_byte_is_a_504() {
    let harness = Harness::new(vec![], vec![Script::Silent]);
    let request = with_header(chat(), "dottereltally-deadline", "5s");
    let reply = harness.send(request).await;
    assert_eq!(reply.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(reply.member("reason"), "deadline-passed");
    assert_eq!(reply.member("run"), "may-have-run");
}

#[tokio::test]
async fn a_caller_that_disconnects_cancels_the_upstream_request() {
    let steps = vec![Step::Data("data: 1\n\n"), Step::Stall];
    let harness = Harness::new(vec![], vec![Script::Respond(Head::event_stream(), steps)]);
    let response = Arc::clone(&harness.chain).serve(chat()).await;
    drop(response);
    harness.endpoints.cancelled.notified().await;
    assert_eq!(harness.outcomes(), [Outcome::Cancelled]);
    assert_eq!(harness.chain.limiter.total(), 0);
}

#[rstest]
#[case(429, "rejected", Outcome::Rejected)]
#[case(503, "rejected", Outcome::Rejected)]
#[case(500, "failed", Outcome::Answered { cached: Tokens(0), output: Tokens(0) })]
#[tokio::test]
async fn an_error_response_of_an_endpoint_is_passed_on_and_counted(
    #[case] status: u16,
    #[case] result: &str,
    #[case] outcome: Outcome,
) {
    let script = Script::Respond(Head::json(status), vec![Step::Data("{}")]);
    let harness = Harness::new(vec![], vec![script]);
    let reply = harness.send(request("GET", "/tickets/1", "")).await;
    assert_eq!(reply.status, status);
    assert_eq!(reply.text, "{}");
    assert_eq!(harness.outcomes(), [outcome]);
    let expected = format!("answers_total{{tier=\"1\",result=\"{result}\"}} 1");
    assert!(harness.metrics().contains(&expected));
}

#[tokio::test]
async fn an_unkeyed_call_needs_no_claim() {
    let harness = Harness::new(vec![], vec![payment_response()]);
    let reply = harness.send(request("POST", "/log", "{}")).await;
    assert_eq!(reply.status, StatusCode::CREATED);
    assert_eq!(harness.sent()[0].reuse, Reuse::Never);
    assert_eq!(
        harness.store.connect().get_directly(layout::CLAIMS_PREFIX),
        None
    );
}

#[tokio::test]
async fn a_keyed_call_runs_once_and_its_response_is_replayed() {
    let harness = Harness::new(vec![], vec![payment_response()]);
    let first = harness.send(payment("k")).await;
    let second = harness.send(payment("k")).await;
    assert_eq!(first.status, StatusCode::CREATED, "{}", first.text);
    assert_eq!(second.status, first.status);
    assert_eq!(second.text, first.text);
    assert_eq!(
        second.headers["content-type"],
        first.headers["content-type"]
    );
    assert_eq!(harness.sent().len(), 1);
    assert_eq!(harness.sent()[0].reuse, Reuse::Never);
}

#[tokio::test]
async fn a_key_can_t_be_reused_for_another_request() {
    let harness = Harness::new(vec![], vec![payment_response()]);
    harness.send(payment("k")).await;
    let other = request("POST", "/payments", r#"{"amount": 121}"#);
    let reply = harness
        .send(with_header(other, "idempotency-key", "k"))
        .await;
    assert_eq!(
        reply.status,
        StatusCode::UNPROCESSABLE_ENTITY,
        "{}",
        reply.text
    );
    assert_eq!(reply.member("run"), "may-have-run");
    assert_eq!(harness.sent().len(), 1);
}

#[tokio::test]
async fn a_keyed_call_continues_after_its_caller_disconnects() {
    let gate = Arc::new(Notify::new());
    let steps = vec![
        Step::Data("{\"paid\":"),
        Step::WaitFor(Arc::clone(&gate)),
        Step::Data(" true}"),
    ];
    let harness = Harness::new(vec![], vec![Script::Respond(Head::json(200), steps)]);
    let first = tokio::spawn(Arc::clone(&harness.chain).serve(payment("k")));
    while harness.sent().is_empty() {
        tokio::task::yield_now().await;
    }
    first.abort();
    gate.notify_one();
    harness.wait_ended().await;
    let second = harness.send(payment("k")).await;
    assert_eq!(second.status, StatusCode::OK, "{}", second.text);
    assert_eq!(second.text, "{\"paid\": true}");
    assert_eq!(harness.sent().len(), 1);
}

#[rstest]
#[case::broken(Script::Broken)]
#[case::cut(Script::Respond(Head::json(200), vec![Step::Data("{"), Step::Disconnect]))]
#[case::too_long(Script::Respond(Head::json(200), vec![Step::Data(MORE_THAN_HALF_LIMIT), Step::Data(MORE_THAN_HALF_LIMIT)]))]
#[tokio::test]
async fn a_keyed_call_whose_response_is_lost_does_not_run_again(#[case] script: Script) {
    let harness = Harness::new(vec![], vec![script, payment_response()]);
    for _ in 0..2 {
        let reply = harness.send(payment("k")).await;
        assert!(!reply.status.is_success(), "{}", reply.text);
        assert_eq!(reply.member("run"), "may-have-run");
    }
    assert_eq!(harness.sent().len(), 1);
}

/// More than half of the size limit of a body.
const MORE_THAN_HALF_LIMIT: &str = match std::str::from_utf8(&[b'x'; 3000]) {
    Ok(text) => text,
    Err(_) => "",
};

#[tokio::test]
async fn a_refused_keyed_call_releases_its_claim() {
    let refuse = Decision::Refuse(refusal::Reason::Overload);
    let harness = Harness::new(vec![refuse], vec![payment_response()]);
    let first = harness.send(payment("k")).await;
    assert_eq!(first.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(first.member("run"), "not-run");
    let second = harness.send(payment("k")).await;
    assert_eq!(second.status, StatusCode::CREATED, "{}", second.text);
}

#[tokio::test(start_paused = true)]
async fn a_refusal_says_may_have_run_if_the_claim_can_t_be_released() {
    let refuse = Decision::Refuse(refusal::Reason::Overload);
    let harness = Harness::new(vec![refuse], vec![]);
    let mut transactions = 0;
    harness.store.set_fault_script(move |call| {
        transactions += u32::from(call == Call::Transact);
        (transactions > 1).then_some(Fault::Unreachable)
    });
    let reply = harness.send(payment("k")).await;
    assert_eq!(reply.member("reason"), "overload", "{}", reply.text);
    assert_eq!(reply.member("run"), "may-have-run");
}

#[tokio::test(start_paused = true)]
async fn a_keyed_call_is_refused_while_the_key_value_service_is_down() {
    let harness = Harness::new(vec![], vec![]);
    harness.store.set_down(true);
    let reply = harness.send(payment("k")).await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(reply.member("reason"), "platform");
    assert_eq!(reply.member("run"), "may-have-run");
    assert!(reply.headers.contains_key("retry-after"));
    assert!(harness.sent().is_empty());
}

#[tokio::test]
async fn a_keyed_call_whose_endpoint_is_unreachable_is_sent_to_another() {
    let decisions = vec![Decision::Admit("ledger-1"), Decision::Admit("ledger-2")];
    let harness = Harness::new(decisions, vec![Script::Unsent, payment_response()]);
    let reply = harness.send(payment("k")).await;
    assert_eq!(reply.status, StatusCode::CREATED, "{}", reply.text);
    assert_eq!(harness.sent().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_call_stops_waiting_for_admission_when_its_caller_disconnects() {
    let harness = Harness::new(vec![Decision::Wait], vec![]);
    let serving = Arc::clone(&harness.chain).serve(request("GET", "/tickets/1", ""));
    let waited = tokio::time::timeout(Duration::from_millis(10), serving).await;
    assert!(waited.is_err());
    assert_eq!(harness.chain.limiter.total(), 0);
    assert!(harness.sent().is_empty());
}

//! The filter chain: what reaches an endpoint, and what a caller is told.

mod chain;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use chain::{
    Bench, Decision, Endless, Head, SMALL_KEY, Script, Step, chat, payment, read, request, with,
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

fn whole_stream() -> Script {
    Script::Answer(
        Head::events(),
        vec![
            Step::Data("data: {\"a\": 1}\n\nda"),
            Step::Data("ta: {\"a\": 2}\n\n"),
            Step::Data(USAGE),
            Step::Data("data: [DONE]\n\n"),
        ],
    )
}

fn paid() -> Script {
    Script::Answer(Head::json(201), vec![Step::Data("{\"paid\": true}")])
}

#[tokio::test]
async fn streams_an_answer_unchanged_and_reports_it() {
    let bench = Bench::new(vec![], vec![whole_stream()]);
    let seen = bench.send(chat()).await;
    assert_eq!(seen.status, StatusCode::OK);
    assert!(seen.whole);
    let expected = format!("data: {{\"a\": 1}}\n\ndata: {{\"a\": 2}}\n\n{USAGE}data: [DONE]\n\n");
    assert_eq!(seen.text, expected);
    assert_eq!(seen.headers["dottereltally-request"], "7");
    assert!(!seen.headers.contains_key("x-request-id"));
    let answered = Outcome::Answered {
        cached: Tokens(1),
        output: Tokens(5),
    };
    assert_eq!(bench.outcomes(), [answered]);
    let metrics = bench.metrics();
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
async fn hands_on_what_an_endpoint_may_see() {
    let bench = Bench::new(vec![Decision::Admit("tally-2")], vec![whole_stream()]);
    let mut request = with(chat(), "x-own", "1");
    request = with(request, "connection", "close, x-hop");
    request = with(request, "x-hop", "1");
    request = with(request, "x-request-id", "mine");
    bench.send(request).await;
    let sent = bench.sent();
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
#[case::no_key(with(chat(), "authorization", "Bearer other"), 401, "unauthenticated")]
#[case::no_scheme(with(chat(), "authorization", "demo-key"), 401, "unauthenticated")]
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
#[case::higher_tier(with(chat(), "dottereltally-tier", "gate"), 400, "malformed")]
#[case::unknown_tier(with(chat(), "dottereltally-tier", "none"), 400, "malformed")]
#[case::longer_deadline(with(chat(), "dottereltally-deadline", "61s"), 400, "malformed")]
#[case::no_duration(with(chat(), "dottereltally-deadline", "soon"), 400, "malformed")]
#[case::dot_segment(request("GET", "/tickets/../payments", ""), 400, "malformed")]
#[case::hidden_dot_segment(request("GET", "/tickets/%2E%2e%2fpayments", ""), 400, "malformed")]
#[case::no_idempotency_key(request("POST", "/payments", "{}"), 400, "no-key")]
#[case::large_body(request("POST", "/log", &"x".repeat(4097)), 413, "too-large")]
#[case::large_head(with(chat(), "x-large", &"x".repeat(17_000)), 431, "too-large")]
#[tokio::test]
async fn refuses_bad_input(
    #[case] request: Request<Full<Bytes>>,
    #[case] status: u16,
    #[case] reason: &str,
) {
    let bench = Bench::new(vec![], vec![]);
    let seen = bench.send(request).await;
    assert_eq!(seen.status, status, "{}", seen.text);
    assert_eq!(seen.headers["content-type"], "application/problem+json");
    assert_eq!(seen.member("reason"), reason);
    assert_eq!(seen.member("run"), "not-run");
    assert!(bench.events().is_empty());
}

/// An earlier attempt with the key may have run, whatever is wrong with this.
#[rstest]
#[case::no_key(with(payment("k"), "authorization", "Bearer other"), 401)]
#[case::large_body(with(request("POST", "/payments", &"x".repeat(4097)), "idempotency-key", "k"), 413)]
#[case::bad_deadline(with(payment("k"), "dottereltally-deadline", "soon"), 400)]
#[case::empty_key(payment(""), 400)]
#[tokio::test]
async fn promises_nothing_before_the_claim_is_known(
    #[case] request: Request<Full<Bytes>>,
    #[case] status: u16,
) {
    let bench = Bench::new(vec![], vec![]);
    let seen = bench.send(request).await;
    assert_eq!(seen.status, status, "{}", seen.text);
    assert_eq!(seen.member("run"), "may-have-run");
}

#[tokio::test(start_paused = true)]
async fn refuses_a_body_that_does_not_come() {
    let bench = Bench::new(vec![], vec![]);
    let request = request("POST", "/log", "").map(|_| Endless);
    let seen = read(Arc::clone(&bench.chain).serve(request).await).await;
    assert_eq!(seen.status, StatusCode::REQUEST_TIMEOUT);
    assert_eq!(seen.member("reason"), "slow-sender");
}

#[tokio::test]
async fn refuses_without_a_configuration() {
    let bench = Bench::with_rules(None, vec![], vec![]);
    let seen = bench.send(chat()).await;
    assert_eq!(seen.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(seen.member("reason"), "no-configuration");
    assert_eq!(seen.headers["retry-after"], "1");
}

#[tokio::test]
async fn bounds_the_requests_of_a_workspace() {
    let gate = Arc::new(Notify::new());
    let steps = vec![
        Step::Data("data: 1\n\n"),
        Step::Gate(Arc::clone(&gate)),
        Step::Data("data: [DONE]\n\n"),
    ];
    let scripts = vec![Script::Answer(Head::events(), steps), whole_stream()];
    let bench = Bench::new(vec![], scripts);
    let key = format!("Bearer {SMALL_KEY}");
    let small = || with(chat(), "authorization", &key);
    let first = Arc::clone(&bench.chain).serve(small()).await;
    let second = bench.send(small()).await;
    assert_eq!(second.status, StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(second.member("run"), "not-run");
    gate.notify_one();
    assert!(read(first).await.whole);
    let third = bench.send(small()).await;
    assert_eq!(third.status, StatusCode::OK);
}

#[tokio::test]
async fn passes_a_refusal_of_the_core_on() {
    let refuse = Decision::Refuse(refusal::Reason::Overload);
    let bench = Bench::new(vec![refuse], vec![]);
    let seen = bench.send(chat()).await;
    assert_eq!(seen.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(seen.member("reason"), "overload");
    assert_eq!(seen.member("run"), "not-run");
    assert_eq!(seen.headers["retry-after"], "2");
    let metrics = bench.metrics();
    assert!(
        metrics.contains("refusals_total{tier=\"1\",reason=\"overload\"} 1"),
        "{metrics}"
    );
}

#[tokio::test]
async fn takes_another_endpoint_only_if_nothing_was_handed_over() {
    let decisions = vec![Decision::Admit("tally-1"), Decision::Admit("tally-2")];
    let bench = Bench::new(decisions, vec![Script::Unsent, whole_stream()]);
    let seen = bench.send(chat()).await;
    assert_eq!(seen.status, StatusCode::OK);
    let sent = bench.sent();
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].address, "tally-2:80");
    let unsent =
        |event: &Event| matches!(event, Event::Unsent(request) if *request == id::Request(7));
    assert!(bench.events().iter().any(unsent));
}

#[rstest]
#[case::broken(Script::Broken, 502, "broken", Outcome::Broken)]
#[case::silent(Script::Silent, 504, "stalled", Outcome::Stalled)]
#[case::headless(Script::Answer(Head::events(), vec![Step::Break]), 502, "broken", Outcome::Broken)]
#[case::bodiless(Script::Answer(Head::events(), vec![Step::Silence]), 504, "stalled", Outcome::Stalled)]
#[case::crossed(
    Script::Answer(Head { echo: Some("entry-1-8"), ..Head::events() }, vec![]),
    502, "crossed", Outcome::Stalled
)]
#[tokio::test(start_paused = true)]
async fn never_dispatches_again_after_a_hand_over(
    #[case] script: Script,
    #[case] status: u16,
    #[case] reason: &str,
    #[case] outcome: Outcome,
) {
    let bench = Bench::new(vec![], vec![script, whole_stream()]);
    let seen = bench.send(chat()).await;
    assert_eq!(seen.status, status, "{}", seen.text);
    assert_eq!(seen.member("reason"), reason);
    assert_eq!(seen.member("run"), "may-have-run");
    assert_eq!(bench.sent().len(), 1);
    assert_eq!(bench.outcomes(), [outcome]);
    let metrics = bench.metrics();
    assert!(
        metrics.contains("wasted_prefill_tokens_total{tier=\"1\"} 2"),
        "{metrics}"
    );
    assert!(!metrics.contains("refusals_total{"), "{metrics}");
}

#[rstest]
#[case::ends_early(vec![], "broken", Outcome::Broken)]
#[case::breaks(vec![Step::Break], "broken", Outcome::Broken)]
#[case::stalls(vec![Step::Silence], "stalled", Outcome::Stalled)]
#[tokio::test(start_paused = true)]
async fn a_stream_that_is_cut_can_t_be_taken_as_whole(
    #[case] rest: Vec<Step>,
    #[case] reason: &str,
    #[case] outcome: Outcome,
) {
    let mut steps = vec![Step::Data("data: {\"a\": 1}\n\n")];
    steps.extend(rest);
    let bench = Bench::new(vec![], vec![Script::Answer(Head::events(), steps)]);
    let seen = bench.send(chat()).await;
    assert_eq!(seen.status, StatusCode::OK);
    assert!(!seen.whole);
    assert!(!seen.text.contains("[DONE]"));
    let error = format!("data: {{\"error\": {{\"type\": \"{reason}\"");
    assert!(seen.text.contains(&error), "{}", seen.text);
    assert_eq!(bench.outcomes(), [outcome]);
}

#[tokio::test(start_paused = true)]
async fn a_deadline_that_passes_cancels_the_stream() {
    let slow = Arc::new(Notify::new());
    let steps = vec![Step::Data("data: 1\n\n"), Step::Gate(slow)];
    let bench = Bench::new(vec![], vec![Script::Answer(Head::events(), steps)]);
    let request = with(chat(), "dottereltally-deadline", "5s");
    let seen = bench.send(request).await;
    assert!(!seen.whole);
    assert!(seen.text.contains("deadline-passed"), "{}", seen.text);
    assert_eq!(bench.outcomes(), [Outcome::Cancelled]);
}

#[tokio::test(start_paused = true)]
async fn a_deadline_that_passes_cancels_what_nobody_reads() {
    let steps = vec![Step::Data("data: 1\n\n"), Step::Data("data: 2\n\n")];
    let bench = Bench::new(vec![], vec![Script::Answer(Head::events(), steps)]);
    let request = with(chat(), "dottereltally-deadline", "5s");
    let response = Arc::clone(&bench.chain).serve(request).await;
    bench.endpoints.cancelled.notified().await;
    assert_eq!(bench.outcomes(), [Outcome::Cancelled]);
    let seen = read(response).await;
    assert!(!seen.whole);
    assert!(seen.text.contains("deadline-passed"), "{}", seen.text);
}

#[tokio::test(start_paused = true)]
async fn a_deadline_that_passes_before_the_first_byte_is_a_504() {
    let bench = Bench::new(vec![], vec![Script::Silent]);
    let request = with(chat(), "dottereltally-deadline", "5s");
    let seen = bench.send(request).await;
    assert_eq!(seen.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(seen.member("reason"), "deadline-passed");
    assert_eq!(seen.member("run"), "may-have-run");
}

#[tokio::test]
async fn a_caller_that_leaves_cancels_upstream() {
    let steps = vec![Step::Data("data: 1\n\n"), Step::Silence];
    let bench = Bench::new(vec![], vec![Script::Answer(Head::events(), steps)]);
    let response = Arc::clone(&bench.chain).serve(chat()).await;
    drop(response);
    bench.endpoints.cancelled.notified().await;
    assert_eq!(bench.outcomes(), [Outcome::Cancelled]);
    assert_eq!(bench.chain.places.total(), 0);
}

#[rstest]
#[case(429, "rejected", Outcome::Rejected)]
#[case(503, "rejected", Outcome::Rejected)]
#[case(500, "failed", Outcome::Answered { cached: Tokens(0), output: Tokens(0) })]
#[tokio::test]
async fn an_endpoint_s_own_error_is_no_goodput(
    #[case] status: u16,
    #[case] result: &str,
    #[case] outcome: Outcome,
) {
    let script = Script::Answer(Head::json(status), vec![Step::Data("{}")]);
    let bench = Bench::new(vec![], vec![script]);
    let seen = bench.send(request("GET", "/tickets/1", "")).await;
    assert_eq!(seen.status, status);
    assert_eq!(seen.text, "{}");
    assert_eq!(bench.outcomes(), [outcome]);
    let expected = format!("answers_total{{tier=\"1\",result=\"{result}\"}} 1");
    assert!(bench.metrics().contains(&expected));
}

#[tokio::test]
async fn an_unkeyed_call_needs_no_claim() {
    let bench = Bench::new(vec![], vec![paid()]);
    let seen = bench.send(request("POST", "/log", "{}")).await;
    assert_eq!(seen.status, StatusCode::CREATED);
    assert_eq!(bench.sent()[0].reuse, Reuse::Never);
    assert_eq!(bench.store.connect().peek(layout::CLAIMS), None);
}

#[tokio::test]
async fn a_keyed_call_runs_once_and_its_answer_is_given_again() {
    let bench = Bench::new(vec![], vec![paid()]);
    let first = bench.send(payment("k")).await;
    let second = bench.send(payment("k")).await;
    assert_eq!(first.status, StatusCode::CREATED, "{}", first.text);
    assert_eq!(second.status, first.status);
    assert_eq!(second.text, first.text);
    assert_eq!(
        second.headers["content-type"],
        first.headers["content-type"]
    );
    assert_eq!(bench.sent().len(), 1);
    assert_eq!(bench.sent()[0].reuse, Reuse::Never);
}

#[tokio::test]
async fn a_key_belongs_to_one_request() {
    let bench = Bench::new(vec![], vec![paid()]);
    bench.send(payment("k")).await;
    let other = request("POST", "/payments", r#"{"amount": 121}"#);
    let seen = bench.send(with(other, "idempotency-key", "k")).await;
    assert_eq!(
        seen.status,
        StatusCode::UNPROCESSABLE_ENTITY,
        "{}",
        seen.text
    );
    assert_eq!(seen.member("run"), "may-have-run");
    assert_eq!(bench.sent().len(), 1);
}

#[tokio::test]
async fn a_keyed_call_goes_on_without_its_caller() {
    let gate = Arc::new(Notify::new());
    let steps = vec![
        Step::Data("{\"paid\":"),
        Step::Gate(Arc::clone(&gate)),
        Step::Data(" true}"),
    ];
    let bench = Bench::new(vec![], vec![Script::Answer(Head::json(200), steps)]);
    let first = tokio::spawn(Arc::clone(&bench.chain).serve(payment("k")));
    while bench.sent().is_empty() {
        tokio::task::yield_now().await;
    }
    first.abort();
    gate.notify_one();
    bench.ended().await;
    let second = bench.send(payment("k")).await;
    assert_eq!(second.status, StatusCode::OK, "{}", second.text);
    assert_eq!(second.text, "{\"paid\": true}");
    assert_eq!(bench.sent().len(), 1);
}

#[rstest]
#[case::broken(Script::Broken)]
#[case::cut(Script::Answer(Head::json(200), vec![Step::Data("{"), Step::Break]))]
#[case::too_long(Script::Answer(Head::json(200), vec![Step::Data(LONG), Step::Data(LONG)]))]
#[tokio::test]
async fn a_keyed_call_whose_answer_is_lost_does_not_run_again(#[case] script: Script) {
    let bench = Bench::new(vec![], vec![script, paid()]);
    for _ in 0..2 {
        let seen = bench.send(payment("k")).await;
        assert!(!seen.status.is_success(), "{}", seen.text);
        assert_eq!(seen.member("run"), "may-have-run");
    }
    assert_eq!(bench.sent().len(), 1);
}

/// More than half of the limit of a body.
const LONG: &str = match std::str::from_utf8(&[b'x'; 3000]) {
    Ok(text) => text,
    Err(_) => "",
};

#[tokio::test]
async fn a_refused_keyed_call_gives_its_claim_back() {
    let refuse = Decision::Refuse(refusal::Reason::Overload);
    let bench = Bench::new(vec![refuse], vec![paid()]);
    let first = bench.send(payment("k")).await;
    assert_eq!(first.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(first.member("run"), "not-run");
    let second = bench.send(payment("k")).await;
    assert_eq!(second.status, StatusCode::CREATED, "{}", second.text);
}

#[tokio::test(start_paused = true)]
async fn a_claim_that_can_t_be_given_back_proves_nothing() {
    let refuse = Decision::Refuse(refusal::Reason::Overload);
    let bench = Bench::new(vec![refuse], vec![]);
    let mut transactions = 0;
    bench.store.script(move |call| {
        transactions += u32::from(call == Call::Transact);
        (transactions > 1).then_some(Fault::Unreachable)
    });
    let seen = bench.send(payment("k")).await;
    assert_eq!(seen.member("reason"), "overload", "{}", seen.text);
    assert_eq!(seen.member("run"), "may-have-run");
}

#[tokio::test(start_paused = true)]
async fn no_claim_is_taken_while_the_platform_is_away() {
    let bench = Bench::new(vec![], vec![]);
    bench.store.set_down(true);
    let seen = bench.send(payment("k")).await;
    assert_eq!(seen.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(seen.member("reason"), "platform");
    assert_eq!(seen.member("run"), "may-have-run");
    assert!(seen.headers.contains_key("retry-after"));
    assert!(bench.sent().is_empty());
}

#[tokio::test]
async fn a_keyed_call_whose_endpoint_is_unreachable_takes_another() {
    let decisions = vec![Decision::Admit("ledger-1"), Decision::Admit("ledger-2")];
    let bench = Bench::new(decisions, vec![Script::Unsent, paid()]);
    let seen = bench.send(payment("k")).await;
    assert_eq!(seen.status, StatusCode::CREATED, "{}", seen.text);
    assert_eq!(bench.sent().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_keyed_call_waits_for_the_core_and_no_longer_than_its_caller() {
    let bench = Bench::new(vec![Decision::Wait], vec![]);
    let serving = Arc::clone(&bench.chain).serve(request("GET", "/tickets/1", ""));
    let waited = tokio::time::timeout(Duration::from_millis(10), serving).await;
    assert!(waited.is_err());
    assert_eq!(bench.chain.places.total(), 0);
    assert!(bench.sent().is_empty());
}

//! A refusal with the member `"run": "not-run"` means that no endpoint received
//! the request.

use dottereltally_testutils::{
    client::{Call, Response},
    deployment::Deployment,
    engine::format,
    fixture::{Fixture, SMALL_KEY, chat_body},
};
use eyre::Result;
use http::{Method, StatusCode};
use rstest::rstest;
use serde_json::json;

const CHAT: &str = "/v1/chat/completions";
/// Length of a prompt that is so large that a window admits only a few at a time.
const PROMPT_BYTES: usize = 32_000;

/// Returns how many requests all endpoints together received.
async fn count_received(deployment: &Deployment) -> Result<u64> {
    let mut total = 0;
    for name in deployment.endpoint_names() {
        let counts = deployment.counts(&name).await?;
        total += counts["received"].as_u64().unwrap_or(0);
    }
    Ok(total)
}

fn assert_refused(response: &Response, status: u16, reason: &str) {
    assert_eq!(response.status.as_u16(), status, "{}", response.text);
    assert_eq!(response.json()["reason"], reason, "{}", response.text);
    assert_eq!(response.run_state(), "not-run", "{}", response.text);
    let kind = &response.headers["content-type"];
    assert_eq!(kind, "application/problem+json");
    assert!(response.headers.contains_key("dottereltally-request"));
    for member in ["title", "detail"] {
        assert!(response.json()[member].is_string(), "{}", response.text);
    }
}

/// Cause for which a request is refused before it reaches an endpoint.
#[derive(Clone, Copy, Debug)]
enum Rejection {
    UnknownKey,
    NoKey,
    UnknownPath,
    UnknownMethod,
    NotCompletion,
    TooLarge,
    UnknownTier,
    HigherTier,
    MalformedDeadline,
    NoIdempotencyKey,
    NoEndpoint,
    UnknownModel,
}

impl Rejection {
    fn request(self, callers: &str) -> Call {
        let call = |method, path| Call::new(callers, method, path).bearer_key("demo-key");
        let chat = call(Method::POST, CHAT).json(&chat_body("hello", 4));
        match self {
            Self::UnknownKey => chat.bearer_key("another-key"),
            Self::NoKey => Call::new(callers, Method::POST, CHAT).json(&chat_body("hello", 4)),
            Self::UnknownPath => call(Method::POST, "/v2/nothing"),
            Self::UnknownMethod => call(Method::DELETE, CHAT),
            Self::NotCompletion => call(Method::POST, CHAT).json(&json!("no completion")),
            Self::TooLarge => chat.json(&chat_body(&"x".repeat(5 << 20), 4)),
            Self::UnknownTier => chat.header("dottereltally-tier", "highest"),
            Self::HigherTier => chat.header("dottereltally-tier", "gate"),
            Self::MalformedDeadline => chat.header("dottereltally-deadline", "soon"),
            Self::NoIdempotencyKey => call(Method::POST, "/payments"),
            Self::NoEndpoint => call(Method::GET, "/nowhere"),
            Self::UnknownModel => {
                let mut body = chat_body("hello", 4);
                body["model"] = json!("another-model");
                chat.json(&body)
            }
        }
    }
}

#[rstest]
#[case(Rejection::UnknownKey, 401, "unauthenticated")]
#[case(Rejection::NoKey, 401, "unauthenticated")]
#[case(Rejection::UnknownPath, 404, "no-call")]
#[case(Rejection::UnknownMethod, 405, "no-call")]
#[case(Rejection::NotCompletion, 400, "malformed")]
#[case(Rejection::TooLarge, 413, "too-large")]
#[case(Rejection::UnknownTier, 400, "malformed")]
#[case(Rejection::HigherTier, 400, "malformed")]
#[case(Rejection::MalformedDeadline, 400, "malformed")]
#[case(Rejection::NoIdempotencyKey, 400, "no-key")]
#[case(Rejection::NoEndpoint, 503, "no-endpoint")]
#[tokio::test(flavor = "multi_thread")]
async fn refuses_before_dispatch(
    #[case] rejection: Rejection,
    #[case] status: u16,
    #[case] reason: &str,
) -> Result<()> {
    let deployment = Fixture::single().start().await?;
    let call = rejection.request(&deployment.caller_address("entry-1")?);
    let response = call.fetch().await?;
    assert_refused(&response, status, reason);
    assert_eq!(count_received(&deployment).await?, 0);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_a_model_that_no_engine_has() -> Result<()> {
    let deployment = Fixture::single().start().await?;
    let call = Rejection::UnknownModel.request(&deployment.caller_address("entry-1")?);
    let response = call.fetch().await?;
    assert!(!response.status.is_success(), "{}", response.text);
    assert_eq!(response.run_state(), "not-run", "{}", response.text);
    assert_eq!(count_received(&deployment).await?, 0);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_a_workspace_over_its_limit() -> Result<()> {
    let deployment = Fixture::single().start().await?;
    for name in ["tally-1", "tally-2"] {
        deployment
            .set_controls(name, &json!({"hold": true}))
            .await?;
    }
    let first = deployment
        .chat("entry-1", "first", 4)?
        .bearer_key(SMALL_KEY);
    let first = tokio::spawn(first.fetch());
    dottereltally_testutils::wait::eventually("the first request reaches an engine", async || {
        (count_received(&deployment).await.ok()? == 1).then_some(())
    })
    .await?;
    let second = deployment
        .chat("entry-1", "second", 4)?
        .bearer_key(SMALL_KEY);
    assert_refused(&second.fetch().await?, 429, "limit");
    assert_eq!(count_received(&deployment).await?, 1);
    for name in ["tally-1", "tally-2"] {
        deployment
            .set_controls(name, &json!({"hold": false}))
            .await?;
    }
    assert_eq!(first.await??.status, StatusCode::OK);
    Ok(())
}

/// Every endpoint refuses connections until the request's deadline.
#[tokio::test(flavor = "multi_thread")]
async fn refuses_when_no_endpoint_accepts_connections() -> Result<()> {
    let deployment = Fixture::single().start().await?;
    for name in ["tally-1", "tally-2"] {
        deployment
            .set_controls(name, &json!({"down": true}))
            .await?;
    }
    let call = deployment.chat("entry-1", "hello", 4)?;
    let response = call.header("dottereltally-deadline", "2s").fetch().await?;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response.run_state(), "not-run", "{}", response.text);
    assert_eq!(count_received(&deployment).await?, 0);
    Ok(())
}

/// A request that waits behind a full window is refused at its deadline without
/// having reached an engine.
#[tokio::test(flavor = "multi_thread")]
async fn refuses_a_request_that_waits_past_its_deadline() -> Result<()> {
    let fixture = Fixture {
        engines: 1,
        ..Fixture::single()
    };
    let deployment = fixture.start().await?;
    deployment
        .set_controls("tally-1", &json!({"hold": true}))
        .await?;
    let mut filling = Vec::new();
    for number in 0..6 {
        let call = deployment.chat("entry-1", &long_prompt("first", number), 4)?;
        filling.push(tokio::spawn(call.fetch()));
    }
    deployment.wait_for_count("tally-1", "received", 4).await?;
    let mut waiting = Vec::new();
    for number in 0..20 {
        let call = deployment.chat("entry-1", &long_prompt("late", number), 4)?;
        let call = call.header("dottereltally-deadline", "2s");
        waiting.push(tokio::spawn(call.fetch()));
    }
    for call in waiting {
        let response = call.await??;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(response.run_state(), "not-run", "{}", response.text);
    }
    let seen = deployment.counts("tally-1").await?.to_string();
    for number in 0..20 {
        let digest = format::digest(&long_prompt("late", number));
        assert!(!seen.contains(&digest), "late {number} was dispatched");
    }
    deployment
        .set_controls("tally-1", &json!({"hold": false}))
        .await?;
    for call in filling {
        assert!(call.await??.is_done());
    }
    Ok(())
}

fn long_prompt(label: &str, number: usize) -> String {
    format!("{label} {number} {}", "x".repeat(PROMPT_BYTES))
}

//! A refusal that says "not-run" is true.

use dottereltally_testutils::{
    client::{Call, Whole},
    deployment::Deployment,
    engine::format,
    fixture::{Fixture, SMALL_KEY, chat_body},
};
use eyre::Result;
use http::{Method, StatusCode};
use rstest::rstest;
use serde_json::json;

const CHAT: &str = "/v1/chat/completions";
/// Length of a prompt of which the windows hold only a few.
const PROMPT_BYTES: usize = 32_000;

/// Returns how many requests the endpoints received.
async fn received(deployment: &Deployment) -> Result<u64> {
    let mut received = 0;
    for name in deployment.endpoint_names() {
        let counts = deployment.counts(&name).await?;
        received += counts["received"].as_u64().unwrap_or(0);
    }
    Ok(received)
}

fn assert_refused(answer: &Whole, status: u16, reason: &str) {
    assert_eq!(answer.status.as_u16(), status, "{}", answer.text);
    assert_eq!(answer.json()["reason"], reason, "{}", answer.text);
    assert_eq!(answer.run(), "not-run", "{}", answer.text);
    let kind = &answer.headers["content-type"];
    assert_eq!(kind, "application/problem+json");
    assert!(answer.headers.contains_key("dottereltally-request"));
    for member in ["title", "detail"] {
        assert!(answer.json()[member].is_string(), "{}", answer.text);
    }
}

/// Ways to send a request that can't be served.
#[derive(Clone, Copy, Debug)]
enum Fault {
    UnknownKey,
    NoKey,
    UnknownPath,
    UnknownMethod,
    NotJson,
    TooLarge,
    UnknownTier,
    HigherTier,
    BadDeadline,
    NoIdempotencyKey,
    NoEndpoint,
    UnknownModel,
}

impl Fault {
    fn request(self, callers: &str) -> Call {
        let call = |method, path| Call::new(callers, method, path).key("demo-key");
        let chat = call(Method::POST, CHAT).json(&chat_body("hello", 4));
        match self {
            Self::UnknownKey => chat.key("another-key"),
            Self::NoKey => Call::new(callers, Method::POST, CHAT).json(&chat_body("hello", 4)),
            Self::UnknownPath => call(Method::POST, "/v2/nothing"),
            Self::UnknownMethod => call(Method::DELETE, CHAT),
            Self::NotJson => call(Method::POST, CHAT).json(&json!("no completion")),
            Self::TooLarge => chat.json(&chat_body(&"x".repeat(5 << 20), 4)),
            Self::UnknownTier => chat.header("dottereltally-tier", "highest"),
            Self::HigherTier => chat.header("dottereltally-tier", "gate"),
            Self::BadDeadline => chat.header("dottereltally-deadline", "soon"),
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
#[case(Fault::UnknownKey, 401, "unauthenticated")]
#[case(Fault::NoKey, 401, "unauthenticated")]
#[case(Fault::UnknownPath, 404, "no-call")]
#[case(Fault::UnknownMethod, 405, "no-call")]
#[case(Fault::NotJson, 400, "malformed")]
#[case(Fault::TooLarge, 413, "too-large")]
#[case(Fault::UnknownTier, 400, "malformed")]
#[case(Fault::HigherTier, 400, "malformed")]
#[case(Fault::BadDeadline, 400, "malformed")]
#[case(Fault::NoIdempotencyKey, 400, "no-key")]
#[case(Fault::NoEndpoint, 503, "no-endpoint")]
#[tokio::test(flavor = "multi_thread")]
async fn refuses_what_can_not_be_served(
    #[case] fault: Fault,
    #[case] status: u16,
    #[case] reason: &str,
) -> Result<()> {
    let deployment = Fixture::single().start().await?;
    let call = fault.request(&deployment.callers("entry-1")?);
    let answer = call.text().await?;
    assert_refused(&answer, status, reason);
    assert_eq!(received(&deployment).await?, 0);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_a_model_that_no_engine_has() -> Result<()> {
    let deployment = Fixture::single().start().await?;
    let call = Fault::UnknownModel.request(&deployment.callers("entry-1")?);
    let answer = call.text().await?;
    assert!(!answer.status.is_success(), "{}", answer.text);
    assert_eq!(answer.run(), "not-run", "{}", answer.text);
    assert_eq!(received(&deployment).await?, 0);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_a_workspace_over_its_limit() -> Result<()> {
    let deployment = Fixture::single().start().await?;
    for name in ["tally-1", "tally-2"] {
        deployment.switch(name, &json!({"hold": true})).await?;
    }
    let first = deployment.chat("entry-1", "first", 4)?.key(SMALL_KEY);
    let first = tokio::spawn(first.text());
    dottereltally_testutils::wait::eventually("the first runs", async || {
        (received(&deployment).await.ok()? == 1).then_some(())
    })
    .await?;
    let second = deployment.chat("entry-1", "second", 4)?.key(SMALL_KEY);
    assert_refused(&second.text().await?, 429, "limit");
    assert_eq!(received(&deployment).await?, 1);
    for name in ["tally-1", "tally-2"] {
        deployment.switch(name, &json!({"hold": false})).await?;
    }
    assert_eq!(first.await??.status, StatusCode::OK);
    Ok(())
}

/// Every endpoint refuses connections until the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn refuses_when_no_endpoint_accepts_connections() -> Result<()> {
    let deployment = Fixture::single().start().await?;
    for name in ["tally-1", "tally-2"] {
        deployment.switch(name, &json!({"down": true})).await?;
    }
    let call = deployment.chat("entry-1", "hello", 4)?;
    let answer = call.header("dottereltally-deadline", "2s").text().await?;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.run(), "not-run", "{}", answer.text);
    assert_eq!(received(&deployment).await?, 0);
    Ok(())
}

/// What waits behind a full window is refused at its deadline, and no engine
/// has seen it.
#[tokio::test(flavor = "multi_thread")]
async fn refuses_what_waits_too_long() -> Result<()> {
    let fixture = Fixture {
        engines: 1,
        ..Fixture::single()
    };
    let deployment = fixture.start().await?;
    deployment.switch("tally-1", &json!({"hold": true})).await?;
    let mut filling = Vec::new();
    for number in 0..6 {
        let call = deployment.chat("entry-1", &long_prompt("first", number), 4)?;
        filling.push(tokio::spawn(call.text()));
    }
    deployment.reaches("tally-1", "received", 4).await?;
    let mut waiting = Vec::new();
    for number in 0..20 {
        let call = deployment.chat("entry-1", &long_prompt("late", number), 4)?;
        let call = call.header("dottereltally-deadline", "2s");
        waiting.push(tokio::spawn(call.text()));
    }
    for call in waiting {
        let answer = call.await??;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(answer.run(), "not-run", "{}", answer.text);
    }
    let seen = deployment.counts("tally-1").await?.to_string();
    for number in 0..20 {
        let digest = format::digest(&long_prompt("late", number));
        assert!(!seen.contains(&digest), "late {number} was dispatched");
    }
    deployment
        .switch("tally-1", &json!({"hold": false}))
        .await?;
    for call in filling {
        assert!(call.await??.is_done());
    }
    Ok(())
}

fn long_prompt(kind: &str, number: usize) -> String {
    format!("{kind} {number} {}", "x".repeat(PROMPT_BYTES))
}

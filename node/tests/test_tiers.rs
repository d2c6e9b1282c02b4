//! Urgent work outlives routine work under overload.

use dottereltally_testutils::{
    client::Whole,
    deployment::Deployment,
    engine::format,
    fixture::{Fixture, MODELS, chat_body},
};
use eyre::{Result, WrapErr};
use http::{Method, StatusCode};
use rstest::rstest;
use serde_json::json;
use tokio::task::JoinHandle;

/// Requests of the highest tier, which the engine can serve in time.
const GATES: usize = 30;
/// Requests of the lowest tier, which it can't.
const TAGS: usize = 200;
/// Length of a prompt, 2,000 tokens.
const PROMPT_BYTES: usize = 8_000;
/// Prompt tokens that the engine computes per second: 12 requests.
const PREFILL_RATE: f64 = 24_000.0;

type Calls = Vec<(String, JoinHandle<Result<Whole>>)>;

fn send(deployment: &Deployment, node: &str, tier: &str, number: usize) -> Result<Calls> {
    let mut calls = Vec::new();
    for number in 0..number {
        let prompt = format!("{tier} {number} {}", "x".repeat(PROMPT_BYTES));
        let mut body = chat_body(&prompt, 2);
        body["model"] = json!(MODELS[1]);
        let call = deployment.call(node, Method::POST, "/v1/chat/completions")?;
        let call = call
            .header("dottereltally-tier", tier)
            .header("dottereltally-deadline", "8s")
            .json(&body);
        calls.push((prompt, tokio::spawn(call.text())));
    }
    Ok(calls)
}

/// The routine work comes first and through another node than the urgent.
#[rstest]
#[case("entry-1")]
#[case("entry-2")]
#[tokio::test(flavor = "multi_thread")]
async fn urgent_work_is_served(#[case] urgent: &str) -> Result<()> {
    let fixture = Fixture {
        engines: 1,
        ..Fixture::default()
    };
    let deployment = fixture.start().await?;
    let rate = json!({"prefill_rate": PREFILL_RATE});
    deployment.switch("tally-1", &rate).await?;
    let tags = send(&deployment, "entry-1", "tag", TAGS)?;
    deployment.reaches("tally-1", "received", 5).await?;
    let gates = send(&deployment, urgent, "gate", GATES)?;
    for (prompt, call) in gates {
        let answer = call.await?.wrap_err("an urgent answer was cut")?;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
        assert_eq!(answer.content(), format::text(&prompt, 2));
    }
    let mut shed = 0;
    for (prompt, call) in tags {
        let Ok(answer) = call.await? else {
            // Its deadline passed while it was answered.
            shed += 1;
            continue;
        };
        if answer.status == StatusCode::OK {
            assert_eq!(answer.content(), format::text(&prompt, 2));
            continue;
        }
        assert!(!answer.run().is_empty(), "{}", answer.text);
        shed += 1;
    }
    assert!(shed > 0, "there was no overload");
    Ok(())
}

//! Under overload, requests of the highest tier are served while those of the
//! lowest are shed.

use dottereltally_testutils::{
    client::Response,
    deployment::Deployment,
    engine::format,
    fixture::{Fixture, MODELS, chat_body},
};
use eyre::{Result, WrapErr};
use http::{Method, StatusCode};
use rstest::rstest;
use serde_json::json;
use tokio::task::JoinHandle;

/// Number of requests of the highest tier, few enough that the engine can serve
/// them before their deadline.
const URGENT_COUNT: usize = 30;
/// Number of requests of the lowest tier, too many for that.
const ROUTINE_COUNT: usize = 200;
/// Length of a prompt; it has 2,000 tokens.
const PROMPT_BYTES: usize = 8_000;
/// Prompt tokens that the engine computes per second, enough for 12 requests.
const PREFILL_TOKENS_PER_SECOND: f64 = 24_000.0;

/// Prompts and the requests that carry them.
type Calls = Vec<(String, JoinHandle<Result<Response>>)>;

fn send(deployment: &Deployment, node: &str, tier: &str, count: usize) -> Result<Calls> {
    let mut calls = Vec::new();
    for number in 0..count {
        let prompt = format!("{tier} {number} {}", "x".repeat(PROMPT_BYTES));
        let mut body = chat_body(&prompt, 2);
        body["model"] = json!(MODELS[1]);
        let call = deployment.call(node, Method::POST, "/v1/chat/completions")?;
        let call = call
            .header("dottereltally-tier", tier)
            .header("dottereltally-deadline", "8s")
            .json(&body);
        calls.push((prompt, tokio::spawn(call.fetch())));
    }
    Ok(calls)
}

/// The routine requests arrive first, through `entry-1`; the urgent ones follow
/// through the same node or another.
#[rstest]
#[case("entry-1")]
#[case("entry-2")]
#[tokio::test(flavor = "multi_thread")]
async fn urgent_requests_are_served_under_overload(#[case] urgent_node: &str) -> Result<()> {
    let fixture = Fixture {
        engines: 1,
        ..Fixture::default()
    };
    let deployment = fixture.start().await?;
    let rate = json!({"prefill_rate": PREFILL_TOKENS_PER_SECOND});
    deployment.set_controls("tally-1", &rate).await?;
    let routine_calls = send(&deployment, "entry-1", "tag", ROUTINE_COUNT)?;
    deployment.wait_for_count("tally-1", "received", 5).await?;
    let urgent_calls = send(&deployment, urgent_node, "gate", URGENT_COUNT)?;
    for (prompt, call) in urgent_calls {
        let response = call
            .await?
            .wrap_err("the response to an urgent request was cut short")?;
        assert_eq!(response.status, StatusCode::OK, "{}", response.text);
        assert_eq!(response.content(), format::completion_text(&prompt, 2));
    }
    let mut shed = 0;
    for (prompt, call) in routine_calls {
        let Ok(response) = call.await? else {
            // The deadline passed in the middle of the response.
            shed += 1;
            continue;
        };
        if response.status == StatusCode::OK {
            assert_eq!(response.content(), format::completion_text(&prompt, 2));
            continue;
        }
        assert!(!response.run_state().is_empty(), "{}", response.text);
        shed += 1;
    }
    assert!(shed > 0, "there was no overload");
    Ok(())
}

//! Tests of the stand-in for a model engine.

use dottereltally_testutils::{
    client::{self, Call, control_page},
    engine::{Engine, format},
    server::{self, Addresses},
    wait::eventually,
};
use eyre::Result;
use http::Method;
use rstest::rstest;
use serde_json::{Value, json};

async fn start() -> Result<Addresses> {
    server::start(Engine::start(), "127.0.0.1:0".parse()?).await
}

fn chat(engine: &Addresses, prompt: &str, stream: bool) -> Call {
    Call::new(
        &engine.address.to_string(),
        Method::POST,
        "/v1/chat/completions",
    )
    .header("x-request-id", "n-1")
    .json(&json!({
        "model": "m", "stream": stream, "max_tokens": 5,
        "messages": [{"role": "user", "content": prompt}],
    }))
}

async fn counts(engine: &Addresses) -> Result<Value> {
    Ok(control_page(&engine.control.to_string()).await?["counts"].clone())
}

async fn set_controls(engine: &Addresses, change: &Value) -> Result<()> {
    client::set_controls(&engine.control.to_string(), change).await
}

#[rstest]
#[case(true)]
#[case(false)]
#[tokio::test]
async fn responses_are_complete(#[case] stream: bool) -> Result<()> {
    let engine = start().await?;
    let response = chat(&engine, "hello", stream).fetch().await?;
    assert_eq!(response.content(), format::completion_text("hello", 5));
    assert_eq!(response.is_done(), stream);
    assert_eq!(response.headers["x-request-id"], "n-1");
    let load = response.headers["endpoint-load-metrics"].to_str()?;
    assert!(load.starts_with("JSON {\"named_metrics\""), "{load}");
    Ok(())
}

#[tokio::test]
async fn a_shared_prefix_is_computed_once() -> Result<()> {
    let engine = start().await?;
    let prompt = "x".repeat(1024);
    chat(&engine, &prompt, false).fetch().await?;
    let response = chat(&engine, &prompt, false).fetch().await?;
    let usage = &response.json()["usage"];
    assert_eq!(usage["prompt_tokens"], 256);
    assert_eq!(usage["prompt_tokens_details"]["cached_tokens"], 256);
    assert_eq!(counts(&engine).await?["prompt_tokens_computed"], 256);
    let address = engine.address.to_string();
    let mut events = Call::new(&address, Method::GET, "/cache/events?from=1")
        .send()
        .await?;
    let text = events.next_chunk().await?.unwrap_or_default();
    assert!(text.starts_with("id: 1\ndata: {\"stored\":"), "{text}");
    assert!(text.contains("id: 4\n"), "{text}");
    Ok(())
}

#[tokio::test]
async fn a_disconnected_caller_cancels_its_request() -> Result<()> {
    let engine = start().await?;
    set_controls(&engine, &json!({"decode_ms": 50.0})).await?;
    let mut response = chat(&engine, "hello", true).send().await?;
    response.next_chunk().await?;
    drop(response);
    eventually("the engine drops the request", async || {
        let counts = counts(&engine).await.ok()?;
        (counts["cancelled"] == 1).then_some(())
    })
    .await?;
    assert_eq!(counts(&engine).await?["finished"], 0);
    Ok(())
}

#[rstest]
#[case("before", 0)]
#[case("during", 1)]
#[case("after", 1)]
#[tokio::test]
async fn the_connection_is_closed_at_the_configured_point(
    #[case] point: &str,
    #[case] started: u64,
) -> Result<()> {
    let engine = start().await?;
    set_controls(&engine, &json!({"die": point, "die_next": 1})).await?;
    let response = chat(&engine, "hello", true).fetch().await;
    assert!(response.is_err());
    assert_eq!(counts(&engine).await?["started"], started);
    let response = chat(&engine, "hello", true).fetch().await?;
    assert!(response.is_done());
    Ok(())
}

#[tokio::test]
async fn a_cut_stream_ends_without_done_and_without_an_error() -> Result<()> {
    let engine = start().await?;
    set_controls(&engine, &json!({"cut_next": 1})).await?;
    let response = chat(&engine, "hello", true).fetch().await?;
    assert!(!response.is_done());
    assert!(!response.content().is_empty());
    Ok(())
}

#[tokio::test]
async fn existing_connections_stall_while_new_ones_work() -> Result<()> {
    let engine = start().await?;
    set_controls(&engine, &json!({"decode_ms": 20.0})).await?;
    let mut old = chat(&engine, "hello", true).send().await?;
    old.next_chunk().await?;
    set_controls(&engine, &json!({"silent": "existing"})).await?;
    assert!(chat(&engine, "new", true).fetch().await?.is_done());
    // The stalled stream must not complete while a new request does.
    tokio::select! {
        biased;
        rest = old.read_to_end() => assert!(!rest?.is_done()),
        response = chat(&engine, "newer", true).fetch() => assert!(response?.is_done()),
    }
    Ok(())
}

#[tokio::test]
async fn reports_that_it_is_leaving() -> Result<()> {
    let engine = start().await?;
    set_controls(&engine, &json!({"leaving": true, "models": ["m"]})).await?;
    let address = engine.address.to_string();
    let load = Call::new(&address, Method::GET, "/load").fetch().await?;
    assert_eq!(load.json()["state"], "leaving");
    assert_eq!(load.json()["models"], json!(["m"]));
    Ok(())
}

#[tokio::test]
async fn skipped_events_use_up_their_numbers() -> Result<()> {
    let engine = start().await?;
    set_controls(&engine, &json!({"event_gap_next": 2})).await?;
    chat(&engine, &"x".repeat(1024), false).fetch().await?;
    let address = engine.address.to_string();
    let mut events = Call::new(&address, Method::GET, "/cache/events")
        .send()
        .await?;
    let text = events.next_chunk().await?.unwrap_or_default();
    assert!(text.starts_with("id: 3\n"), "{text}");
    Ok(())
}

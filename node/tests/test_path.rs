//! End-to-end tests of the request path with the real programs.

use dottereltally_testutils::{
    client::Version,
    engine::format,
    fixture::{Fixture, MODELS, chat_body},
};
use eyre::Result;
use http::{Method, StatusCode};
use rstest::rstest;
use serde_json::json;

#[rstest]
#[case(Version::Http1)]
#[case(Version::Http2)]
#[tokio::test(flavor = "multi_thread")]
async fn streams_a_completion(#[case] version: Version) -> Result<()> {
    let deployment = Fixture::default().start().await?;
    let call = deployment.chat("entry-1", "hello", 12)?;
    let response = call.version(version).fetch().await?;
    assert_eq!(response.status, StatusCode::OK, "{}", response.text);
    assert!(response.is_done(), "{}", response.text);
    assert_eq!(response.content(), format::completion_text("hello", 12));
    assert!(response.headers.contains_key("dottereltally-request"));
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_without_streaming() -> Result<()> {
    let deployment = Fixture::default().start().await?;
    let mut body = chat_body("hello", 7);
    body["stream"] = json!(false);
    body["model"] = json!(MODELS[1]);
    let call = deployment.call("entry-2", Method::POST, "/v1/chat/completions")?;
    let response = call.json(&body).fetch().await?;
    assert_eq!(response.status, StatusCode::OK, "{}", response.text);
    assert_eq!(response.content(), format::completion_text("hello", 7));
    assert_eq!(response.json()["usage"]["completion_tokens"], 7);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn forwards_plain_calls() -> Result<()> {
    let deployment = Fixture::default().start().await?;
    let call = deployment.call("entry-2", Method::GET, "/tickets/17")?;
    let response = call.fetch().await?;
    assert_eq!(response.status, StatusCode::OK, "{}", response.text);
    assert_eq!(response.json()["path"], "/tickets/17");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn runs_a_payment_once_through_two_nodes() -> Result<()> {
    let deployment = Fixture::default().start().await?;
    let first = deployment.pay("entry-1", "release-1")?.fetch().await?;
    assert_eq!(first.status, StatusCode::OK, "{}", first.text);
    let second = deployment.pay("entry-2", "release-1")?.fetch().await?;
    assert_eq!(second.status, StatusCode::OK, "{}", second.text);
    assert_eq!(first.text, second.text);
    assert_eq!(deployment.payment_runs("release-1").await?, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_disconnected_caller_cancels_its_request_in_the_engine() -> Result<()> {
    let fixture = Fixture {
        engines: 1,
        ..Fixture::default()
    };
    let deployment = fixture.start().await?;
    let slow = json!({"decode_ms": 20.0});
    deployment.set_controls("tally-1", &slow).await?;
    let call = deployment.chat("entry-1", "hello", 1_000)?;
    let mut response = call.send().await?;
    assert!(response.next_chunk().await?.is_some());
    drop(response);
    deployment.wait_for_count("tally-1", "cancelled", 1).await?;
    let counts = deployment.counts("tally-1").await?;
    assert_eq!(counts["finished"], 0);
    Ok(())
}

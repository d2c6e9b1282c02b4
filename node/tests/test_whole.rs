//! A caller gets the complete response to its own request, or an error.

use dottereltally_testutils::{
    deployment::Deployment,
    engine::format,
    fixture::{Fixture, chat_body},
};
use eyre::Result;
use http::{Method, StatusCode};
use serde_json::json;

/// Number of concurrent callers.
const CALLER_COUNT: usize = 24;

async fn single_engine() -> Result<Deployment> {
    let fixture = Fixture {
        nodes: 1,
        engines: 1,
        ..Fixture::default()
    };
    fixture.start().await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_early_is_reported_as_cut() -> Result<()> {
    let deployment = single_engine().await?;
    deployment
        .set_controls("tally-1", &json!({"cut_next": 1}))
        .await?;
    let mut response = deployment.chat("entry-1", "hello", 8)?.send().await?;
    let mut text = String::new();
    let end = loop {
        match response.next_chunk().await {
            Ok(Some(piece)) => text.push_str(&piece),
            end => break end,
        }
    };
    assert!(!text.contains("[DONE]"), "{text}");
    assert!(text.contains("\"error\""), "{text}");
    assert!(end.is_err(), "the connection ended without an error");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn an_incomplete_document_is_not_passed_on() -> Result<()> {
    let deployment = single_engine().await?;
    let fault = json!({"die": "after", "die_next": 1});
    deployment.set_controls("tally-1", &fault).await?;
    let mut body = chat_body("hello", 8);
    body["stream"] = json!(false);
    let call = deployment.call("entry-1", Method::POST, "/v1/chat/completions")?;
    let response = call.json(&body).fetch().await?;
    assert_eq!(
        response.status,
        StatusCode::BAD_GATEWAY,
        "{}",
        response.text
    );
    assert_eq!(response.run_state(), "may-have-run");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_response_to_another_request_is_discarded() -> Result<()> {
    let deployment = single_engine().await?;
    deployment
        .set_controls("tally-1", &json!({"wrong_echo": true}))
        .await?;
    let response = deployment.chat("entry-1", "hello", 8)?.fetch().await?;
    assert_eq!(
        response.status,
        StatusCode::BAD_GATEWAY,
        "{}",
        response.text
    );
    assert_eq!(response.run_state(), "may-have-run");
    assert!(!response.text.contains(&format::digest("hello")));
    Ok(())
}

/// Connections whose streams were cancelled are never reused, so that no caller
/// gets the rest of another caller's response.
#[tokio::test(flavor = "multi_thread")]
async fn no_caller_gets_the_rest_of_a_cancelled_stream() -> Result<()> {
    let deployment = single_engine().await?;
    for round in 0..4 {
        let mut cancelled = Vec::new();
        for number in 0..CALLER_COUNT {
            let prompt = format!("left {round} {number}");
            let mut response = deployment.chat("entry-1", &prompt, 500)?.send().await?;
            response.next_chunk().await?;
            cancelled.push(response);
        }
        let mut calls = Vec::new();
        for number in 0..CALLER_COUNT {
            let prompt = format!("stayed {round} {number}");
            let call = deployment.chat("entry-1", &prompt, 16)?;
            calls.push((prompt, tokio::spawn(call.fetch())));
            cancelled.pop();
        }
        for (prompt, call) in calls {
            let response = call.await??;
            assert_eq!(response.status, StatusCode::OK, "{}", response.text);
            assert!(response.is_done());
            assert_eq!(response.content(), format::completion_text(&prompt, 16));
        }
    }
    Ok(())
}

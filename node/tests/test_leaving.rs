//! A leaving endpoint gets no new requests after a few seconds.

use dottereltally_testutils::{
    deployment::Deployment, engine::format, fixture::Fixture, wait::eventually,
};
use eyre::Result;
use http::StatusCode;
use serde_json::json;

/// Number of requests in one round through each node.
const REQUESTS: usize = 20;

/// Returns the number of requests that an endpoint received.
async fn received(deployment: &Deployment, name: &str) -> Result<u64> {
    let counts = deployment.counts(name).await?;
    Ok(counts["received"].as_u64().unwrap_or(0))
}

/// Sends requests through both nodes; all must be served.
async fn send(deployment: &Deployment, round: &str) -> Result<()> {
    for number in 0..REQUESTS {
        for node in ["entry-1", "entry-2"] {
            let prompt = format!("{round} {node} {number}");
            let response = deployment.chat(node, &prompt, 2)?.fetch().await?;
            assert_eq!(response.status, StatusCode::OK, "{}", response.text);
            assert_eq!(response.content(), format::completion_text(&prompt, 2));
        }
    }
    Ok(())
}

/// Sends rounds of requests until none of a round goes to the leaving endpoint.
async fn wait_until_unused(deployment: &Deployment, leaving: &str) -> Result<()> {
    eventually("the leaving endpoint gets no new requests", async || {
        let before = received(deployment, leaving).await.ok()?;
        send(deployment, "probe").await.ok()?;
        let after = received(deployment, leaving).await.ok()?;
        (before == after).then_some(())
    })
    .await
}

/// Asserts that the leaving endpoint becomes unused and stays so for a round.
async fn assert_unused(deployment: &Deployment, leaving: &str) -> Result<()> {
    wait_until_unused(deployment, leaving).await?;
    let before = received(deployment, leaving).await?;
    send(deployment, "after").await?;
    assert_eq!(received(deployment, leaving).await?, before);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_the_host_list_marks_as_leaving_gets_no_requests() -> Result<()> {
    let mut deployment = Fixture::default().start().await?;
    deployment.mark_leaving("tally-1").await?;
    assert_unused(&deployment, "tally-1").await
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_reports_itself_as_leaving_gets_no_requests() -> Result<()> {
    let deployment = Fixture::default().start().await?;
    deployment
        .set_controls("tally-1", &json!({"leaving": true}))
        .await?;
    assert_unused(&deployment, "tally-1").await
}

#[tokio::test(flavor = "multi_thread")]
async fn running_requests_are_finished() -> Result<()> {
    let fixture = Fixture {
        engines: 1,
        ..Fixture::default()
    };
    let mut deployment = fixture.start().await?;
    deployment
        .set_controls("tally-1", &json!({"hold": true}))
        .await?;
    let running = tokio::spawn(deployment.chat("entry-1", "long", 200)?.fetch());
    deployment.wait_for_count("tally-1", "started", 1).await?;
    deployment.mark_leaving("tally-1").await?;
    let late = deployment.chat("entry-1", "late", 2)?;
    let late = eventually("new requests are refused", async || {
        let call = late.clone().header("dottereltally-deadline", "1s");
        let response = call.fetch().await.ok()?;
        (response.run_state() == "not-run").then_some(response)
    })
    .await?;
    assert_eq!(late.status, StatusCode::SERVICE_UNAVAILABLE);
    deployment
        .set_controls("tally-1", &json!({"hold": false}))
        .await?;
    let response = running.await??;
    assert!(response.is_done(), "{}", response.text);
    assert_eq!(response.content(), format::completion_text("long", 200));
    Ok(())
}

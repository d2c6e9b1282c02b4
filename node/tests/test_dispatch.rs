//! A request is dispatched at most once, checked against the engines' own
//! records of received requests.

use dottereltally_testutils::{deployment::Deployment, engine::format, fixture::Fixture};
use eyre::Result;
use http::StatusCode;
use rstest::rstest;
use serde_json::json;

/// Number of requests that are sent one after another.
const REQUESTS: usize = 12;

/// Returns how often the engines received a prompt.
async fn count_received_with_prompt(deployment: &Deployment, prompt: &str) -> Result<usize> {
    let digest = format::digest(prompt);
    let mut count = 0;
    for name in deployment.endpoint_names() {
        let counts = deployment.counts(&name).await?;
        let requests = counts["requests"].as_array().cloned().unwrap_or_default();
        count += requests
            .iter()
            .filter(|request| request["prompt"] == digest.as_str())
            .count();
    }
    Ok(count)
}

#[rstest]
#[case("before")]
#[case("during")]
#[case("after")]
#[tokio::test(flavor = "multi_thread")]
async fn is_received_once_if_the_connection_breaks(#[case] point: &str) -> Result<()> {
    let deployment = Fixture::single().start().await?;
    for name in ["tally-1", "tally-2"] {
        let fault = json!({"die": point, "die_next": 1});
        deployment.set_controls(name, &fault).await?;
    }
    let response = deployment.chat("entry-1", "unlucky", 8)?.fetch().await;
    match response {
        // The head was sent before the connection broke.
        Ok(response) if response.status == StatusCode::OK => {
            assert!(!response.is_done(), "{}", response.text);
        }
        Ok(response) => assert_eq!(response.run_state(), "may-have-run", "{}", response.text),
        Err(cause) => assert_eq!(point, "after", "{cause:?}"),
    }
    assert_eq!(count_received_with_prompt(&deployment, "unlucky").await?, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn is_not_sent_again_if_its_engine_is_killed() -> Result<()> {
    let mut deployment = Fixture::single().start().await?;
    for name in ["tally-1", "tally-2"] {
        deployment
            .set_controls(name, &json!({"hold": true}))
            .await?;
    }
    let call = tokio::spawn(deployment.chat("entry-1", "unlucky", 8)?.fetch());
    let name = running_engine(&deployment).await?;
    deployment.endpoint_process(&name)?.kill().await?;
    let response = call.await??;
    assert_eq!(response.run_state(), "may-have-run", "{}", response.text);
    // The restarted engine has no record of the first delivery.
    deployment.restart_endpoint(&name).await?;
    assert_eq!(count_received_with_prompt(&deployment, "unlucky").await?, 0);
    Ok(())
}

/// Waits until an engine runs the request and returns its name.
async fn running_engine(deployment: &Deployment) -> Result<String> {
    dottereltally_testutils::wait::eventually("an engine runs the request", async || {
        for name in ["tally-1", "tally-2"] {
            let counts = deployment.counts(name).await.ok()?;
            if counts["running"] == 1 {
                return Some(name.to_owned());
            }
        }
        None
    })
    .await
}

/// Nothing was sent, so that another endpoint can serve the request.
#[tokio::test(flavor = "multi_thread")]
async fn is_received_once_if_another_endpoint_refused_the_connection() -> Result<()> {
    let deployment = Fixture::single().start().await?;
    deployment
        .set_controls("tally-1", &json!({"down": true}))
        .await?;
    for number in 0..REQUESTS {
        let prompt = format!("request {number}");
        let response = deployment.chat("entry-1", &prompt, 4)?.fetch().await?;
        assert_eq!(response.status, StatusCode::OK, "{}", response.text);
        assert_eq!(response.content(), format::completion_text(&prompt, 4));
        assert_eq!(count_received_with_prompt(&deployment, &prompt).await?, 1);
    }
    Ok(())
}

/// The endpoint closes its idle connections between the requests, and still
/// receives each at most once.
#[tokio::test(flavor = "multi_thread")]
async fn is_received_at_most_once_if_idle_connections_were_closed() -> Result<()> {
    let fixture = Fixture {
        engines: 1,
        ..Fixture::single()
    };
    let deployment = fixture.start().await?;
    for number in 0..REQUESTS {
        let prompt = format!("request {number}");
        let response = deployment.chat("entry-1", &prompt, 4)?.fetch().await?;
        if response.status == StatusCode::OK {
            assert_eq!(response.content(), format::completion_text(&prompt, 4));
        }
        if response.run_state() == "not-run" {
            assert_eq!(count_received_with_prompt(&deployment, &prompt).await?, 0);
        }
        assert!(count_received_with_prompt(&deployment, &prompt).await? <= 1);
        deployment
            .set_controls("tally-1", &json!({"down": true}))
            .await?;
        deployment
            .set_controls("tally-1", &json!({"down": false}))
            .await?;
    }
    Ok(())
}

//! Connections that stay open but go silent for good, while new ones work.

use dottereltally_testutils::{
    client::Response, deployment::Deployment, engine::format, fixture::Fixture, wait::eventually,
};
use eyre::Result;
use http::StatusCode;
use rstest::rstest;
use serde_json::json;

/// Number of requests that are sent once the connections are silent.
const REQUEST_COUNT: usize = 10;

async fn start(engines: usize) -> Result<Deployment> {
    let fixture = Fixture {
        nodes: 2,
        engines,
        settings: "limits: {inactivity: 1s}".to_owned(),
        ..Fixture::default()
    };
    fixture.start().await
}

async fn chat(deployment: &Deployment, prompt: &str) -> Result<Response> {
    deployment.chat("entry-1", prompt, 4)?.fetch().await
}

/// A stream whose connection becomes silent ends with an error, and the engine
/// continues to serve others on new connections.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_stream_is_reported_as_cut() -> Result<()> {
    let deployment = start(1).await?;
    let slow = json!({"decode_ms": 20.0});
    deployment.set_controls("tally-1", &slow).await?;
    let mut response = deployment.chat("entry-1", "long", 1_000)?.send().await?;
    response.next_chunk().await?;
    let silent = json!({"silent": "existing", "decode_ms": 2.0});
    deployment.set_controls("tally-1", &silent).await?;
    let mut text = String::new();
    while let Ok(Some(piece)) = response.next_chunk().await {
        text.push_str(&piece);
    }
    assert!(!text.contains("[DONE]"));
    assert!(text.contains("\"error\""), "{text}");
    for number in 0..REQUEST_COUNT {
        let prompt = format!("after {number}");
        eventually("a request is served", async || {
            let response = chat(&deployment, &prompt).await.ok()?;
            (response.content() == format::completion_text(&prompt, 4)).then_some(())
        })
        .await?;
    }
    Ok(())
}

/// Idle connections fall silent. A request that ran is not refused as
/// "not-run", and the endpoint stays in use.
#[tokio::test(flavor = "multi_thread")]
async fn silent_idle_connections_cause_no_false_refusals() -> Result<()> {
    let deployment = start(1).await?;
    for number in 0..REQUEST_COUNT {
        chat(&deployment, &format!("before {number}")).await?;
    }
    deployment
        .set_controls("tally-1", &json!({"silent": "existing"}))
        .await?;
    let mut served = 0;
    for number in 0..REQUEST_COUNT {
        let prompt = format!("after {number}");
        let response = chat(&deployment, &prompt).await?;
        if response.status == StatusCode::OK {
            assert_eq!(response.content(), format::completion_text(&prompt, 4));
            served += 1;
            continue;
        }
        let refused = response.run_state() == "not-run";
        let counts = deployment.counts("tally-1").await?.to_string();
        let ran = counts.contains(&format::digest(&prompt));
        assert!(!(refused && ran), "{}", response.text);
    }
    assert!(served > 0, "no request was served after the silence");
    Ok(())
}

/// An endpoint whose new connections are silent too is avoided.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_endpoint_is_avoided() -> Result<()> {
    let deployment = start(2).await?;
    deployment
        .set_controls("tally-1", &json!({"silent": "all"}))
        .await?;
    eventually("requests avoid the silent endpoint", async || {
        for number in 0..REQUEST_COUNT {
            let prompt = format!("probe {number}");
            let response = chat(&deployment, &prompt).await.ok()?;
            if response.content() != format::completion_text(&prompt, 4) {
                return None;
            }
        }
        Some(())
    })
    .await
}

/// A payment on a connection that falls silent is not sent again.
#[rstest]
#[case("existing")]
#[case("all")]
#[tokio::test(flavor = "multi_thread")]
async fn a_payment_on_a_silent_connection_is_not_sent_again(#[case] silence: &str) -> Result<()> {
    let deployment = start(1).await?;
    deployment
        .set_controls("ledger-1", &json!({"hold": true}))
        .await?;
    let first = tokio::spawn(deployment.pay("entry-1", "release-1")?.fetch());
    deployment.wait_for_count("ledger-1", "running", 1).await?;
    let silent = json!({"silent": silence, "hold": false});
    deployment.set_controls("ledger-1", &silent).await?;
    let first = first.await??;
    assert_eq!(first.run_state(), "may-have-run", "{}", first.text);
    let second = deployment.pay("entry-2", "release-1")?.fetch().await?;
    assert_eq!(second.run_state(), "may-have-run", "{}", second.text);
    assert_eq!(deployment.payment_runs("release-1").await?, 1);
    Ok(())
}

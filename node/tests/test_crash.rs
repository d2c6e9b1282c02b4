//! A request that crashes each endpoint that runs it is refused after two.

use dottereltally_testutils::{
    deployment::Deployment, engine::format, fixture::Fixture, wait::eventually,
};
use eyre::Result;
use http::StatusCode;
use serde_json::json;

/// Text that crashes an engine.
const MARKER: &str = "unlucky";
/// Number of engines.
const ENGINES: usize = 4;
/// Endpoints that a request may take down.
const MAX_DEATHS: usize = 2;

async fn start() -> Result<Deployment> {
    let fixture = Fixture {
        nodes: 2,
        engines: ENGINES,
        ..Fixture::default()
    };
    let deployment = fixture.start().await?;
    for number in 1..=ENGINES {
        let name = format!("tally-{number}");
        let marker = json!({"crash_marker": MARKER});
        deployment.switch(&name, &marker).await?;
    }
    Ok(deployment)
}

fn dead(deployment: &mut Deployment) -> Result<usize> {
    let mut dead = 0;
    for number in 1..=ENGINES {
        let name = format!("tally-{number}");
        dead += usize::from(!deployment.endpoint(&name)?.is_running());
    }
    Ok(dead)
}

/// The caller sends it again through both nodes until it is refused for good.
#[tokio::test(flavor = "multi_thread")]
async fn is_refused_after_two_deaths() -> Result<()> {
    let mut deployment = start().await?;
    let mut sends = 0;
    eventually("the request is refused for good", async || {
        sends += 1;
        let node = ["entry-1", "entry-2"][sends % 2];
        let answer = deployment.chat(node, MARKER, 4).ok()?.text().await.ok()?;
        (answer.json()["reason"] == "quarantine").then_some(())
    })
    .await?;
    let deaths = dead(&mut deployment)?;
    assert!(deaths <= MAX_DEATHS, "{deaths} engines died");
    for node in ["entry-1", "entry-2"] {
        eventually("both nodes refuse it", async || {
            let answer = deployment.chat(node, MARKER, 4).ok()?.text().await.ok()?;
            (answer.json()["reason"] == "quarantine").then_some(())
        })
        .await?;
    }
    assert_eq!(dead(&mut deployment)?, deaths);
    let others = deployment.chat("entry-1", "harmless", 4)?.text().await?;
    assert_eq!(others.status, StatusCode::OK, "{}", others.text);
    assert_eq!(others.content(), format::text("harmless", 4));
    Ok(())
}

/// Requests that were in flight beside it stay welcome.
#[tokio::test(flavor = "multi_thread")]
async fn others_stay_welcome() -> Result<()> {
    let deployment = start().await?;
    for round in 0..3 {
        let mut calls = Vec::new();
        for number in 0..6 {
            let call = deployment.chat("entry-1", &format!("harmless {number}"), 40)?;
            calls.push(tokio::spawn(call.text()));
        }
        let crash = deployment.chat("entry-2", MARKER, 4)?;
        let _ = crash.text().await;
        for call in calls {
            if let Ok(answer) = call.await? {
                let reason = answer.json()["reason"].clone();
                assert!(round < 2 || reason != "quarantine", "{}", answer.text);
            }
        }
    }
    for number in 0..6 {
        let prompt = format!("harmless {number}");
        eventually("a harmless request is served", async || {
            let answer = deployment.chat("entry-1", &prompt, 40).ok()?;
            let answer = answer.text().await.ok()?;
            (answer.content() == format::text(&prompt, 40)).then_some(())
        })
        .await?;
    }
    Ok(())
}

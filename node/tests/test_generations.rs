//! An accepted configuration is in force everywhere and never reverts.

use dottereltally_testutils::{
    deployment::Deployment,
    fixture::{Fixture, text},
    wait::eventually,
};
use eyre::Result;
use http::{Method, StatusCode};
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::{Value, json};

/// Stale reads that three nodes make together before the test goes on.
const STALE_READS: u64 = 9;

/// Returns the fixture's text with another path for payments.
fn changed(path: &str) -> String {
    text().replace("/payments", path)
}

async fn generation(deployment: &Deployment, node: &str) -> Result<u64> {
    let status = deployment.status(node).await?;
    Ok(status["generation"].as_u64().unwrap_or(0))
}

async fn assert_in_force(deployment: &Deployment, node: &str, path: &str) -> Result<()> {
    let call = deployment.call(node, Method::POST, path)?;
    let answer = call.header("idempotency-key", path).text().await?;
    assert_eq!(answer.status, StatusCode::OK, "{node}: {}", answer.text);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn reaches_every_node() -> Result<()> {
    let fixture = Fixture {
        nodes: 3,
        ..Fixture::default()
    };
    let deployment = fixture.start().await?;
    for generation in 2..=5 {
        let path = format!("/releases-{generation}");
        deployment.apply_text(&changed(&path)).await?;
        deployment.settled(generation).await?;
        for node in deployment.node_names() {
            assert_in_force(&deployment, &node, &path).await?;
        }
    }
    Ok(())
}

/// The watch hears nothing any more; the periodic read and the peers remain.
#[rstest]
#[case(json!({"watch_silent": true}))]
#[case(json!({"silent": "existing"}))]
#[tokio::test(flavor = "multi_thread")]
async fn reaches_nodes_whose_watch_is_silent(#[case] fault: Value) -> Result<()> {
    let deployment = Fixture::default().start().await?;
    deployment.switch("kv", &fault).await?;
    deployment.apply_text(&changed("/releases")).await?;
    deployment.settled(2).await?;
    for node in ["entry-1", "entry-2"] {
        assert_in_force(&deployment, node, "/releases").await?;
    }
    Ok(())
}

/// Reads that lie behind never bring an older generation back, and don't keep
/// a newer one away.
#[tokio::test(flavor = "multi_thread")]
async fn never_goes_back() -> Result<()> {
    let mut deployment = Fixture::default().start().await?;
    deployment.apply_text(&changed("/releases")).await?;
    deployment.settled(2).await?;
    let stale = json!({"stale_by": 1, "watch_silent": true});
    deployment.switch("kv", &stale).await?;
    deployment.add_node("entry-3", "plovdiv").await?;
    let before = reads(&deployment).await?;
    eventually("the nodes read an older generation", async || {
        for node in deployment.node_names() {
            generation(&deployment, &node).await.ok()?;
        }
        (reads(&deployment).await.ok()? >= before + STALE_READS).then_some(())
    })
    .await?;
    deployment.settled(2).await?;
    for node in deployment.node_names() {
        assert_eq!(generation(&deployment, &node).await?, 2, "{node}");
        assert_in_force(&deployment, &node, "/releases").await?;
    }
    let fresh = json!({"stale_by": 0, "watch_silent": false});
    deployment.switch("kv", &fresh).await?;
    deployment.apply_text(&changed("/bales")).await?;
    deployment.settled(3).await?;
    for node in deployment.node_names() {
        assert_in_force(&deployment, &node, "/bales").await?;
    }
    Ok(())
}

/// Returns how often the key-value service was read.
async fn reads(deployment: &Deployment) -> Result<u64> {
    let counts = deployment.counts("kv").await?;
    Ok(counts["calls"]["kv/txn"].as_u64().unwrap_or(0))
}

/// A node that was paused while a generation came gets it from its peer, as
/// the key-value service is away when it wakes.
#[tokio::test(flavor = "multi_thread")]
async fn comes_from_a_peer_after_a_pause() -> Result<()> {
    let mut deployment = Fixture::default().start().await?;
    deployment.node("entry-2")?.signal(Signal::SIGSTOP)?;
    deployment
        .switch("kv", &json!({"watch_silent": true}))
        .await?;
    deployment.apply_text(&changed("/releases")).await?;
    until_generation(&deployment, "entry-1", 2).await?;
    deployment.switch("kv", &json!({"down": true})).await?;
    deployment.node("entry-2")?.signal(Signal::SIGCONT)?;
    until_generation(&deployment, "entry-2", 2).await
}

async fn until_generation(deployment: &Deployment, node: &str, number: u64) -> Result<()> {
    let what = format!("{node} has generation {number} in force");
    eventually(&what, async || {
        (generation(deployment, node).await.ok()? == number).then_some(())
    })
    .await
}

/// Nodes go on with what they have while the service is away, and a new node
/// gets the newest generation from them.
#[tokio::test(flavor = "multi_thread")]
async fn comes_from_a_peer_during_an_outage() -> Result<()> {
    let mut deployment = Fixture::default().start().await?;
    deployment.apply_text(&changed("/releases")).await?;
    deployment.settled(2).await?;
    deployment.switch("kv", &json!({"down": true})).await?;
    deployment.add_node("entry-3", "plovdiv").await?;
    deployment.settled(2).await?;
    for node in ["entry-1", "entry-2", "entry-3"] {
        assert_eq!(generation(&deployment, node).await?, 2);
        let call = deployment.call(node, Method::GET, "/tickets/1")?;
        assert_eq!(call.text().await?.status, StatusCode::OK);
    }
    Ok(())
}

/// A text with a fault is refused by the tool and changes nothing.
#[tokio::test(flavor = "multi_thread")]
async fn a_faulty_text_is_not_accepted() -> Result<()> {
    let deployment = Fixture::default().start().await?;
    let faulty = text().replace("service: yard-app", "service: no-app");
    assert!(deployment.apply_text(&faulty).await.is_err());
    deployment.apply_text(&changed("/releases")).await?;
    deployment.settled(2).await?;
    eventually("generation 2 is in force", async || {
        (generation(&deployment, "entry-1").await.ok()? == 2).then_some(())
    })
    .await?;
    assert_in_force(&deployment, "entry-1", "/releases").await
}

//! An accepted configuration comes into force on every node and is never
//! replaced by an older one.

use dottereltally_testutils::{
    deployment::Deployment,
    fixture::{Fixture, configuration},
    wait::eventually,
};
use eyre::Result;
use http::{Method, StatusCode};
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::{Value, json};

/// Number of reads, over all three nodes, that are stale before the test
/// continues.
const STALE_READS: u64 = 9;

/// Returns the fixture's configuration with another path for payments.
fn with_path(path: &str) -> String {
    configuration().replace("/payments", path)
}

async fn generation(deployment: &Deployment, node: &str) -> Result<u64> {
    let status = deployment.status(node).await?;
    Ok(status["generation"].as_u64().unwrap_or(0))
}

/// Asserts that payments are served at a path.
async fn assert_in_force(deployment: &Deployment, node: &str, path: &str) -> Result<()> {
    let call = deployment.call(node, Method::POST, path)?;
    let response = call.header("idempotency-key", path).fetch().await?;
    assert_eq!(response.status, StatusCode::OK, "{node}: {}", response.text);
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
        deployment.apply_configuration(&with_path(&path)).await?;
        deployment.wait_until_converged(generation).await?;
        for node in deployment.node_names() {
            assert_in_force(&deployment, &node, &path).await?;
        }
    }
    Ok(())
}

/// The watch delivers nothing, so that changes arrive by the periodic read or
/// from a peer.
#[rstest]
#[case(json!({"watch_silent": true}))]
#[case(json!({"silent": "existing"}))]
#[tokio::test(flavor = "multi_thread")]
async fn reaches_nodes_whose_watch_is_silent(#[case] fault: Value) -> Result<()> {
    let deployment = Fixture::default().start().await?;
    deployment.set_controls("kv", &fault).await?;
    deployment
        .apply_configuration(&with_path("/releases"))
        .await?;
    deployment.wait_until_converged(2).await?;
    for node in ["entry-1", "entry-2"] {
        assert_in_force(&deployment, node, "/releases").await?;
    }
    Ok(())
}

/// Stale reads neither restore an older generation nor hold up a newer one.
#[tokio::test(flavor = "multi_thread")]
async fn stale_reads_do_not_revert_it() -> Result<()> {
    let mut deployment = Fixture::default().start().await?;
    deployment
        .apply_configuration(&with_path("/releases"))
        .await?;
    deployment.wait_until_converged(2).await?;
    let stale = json!({"stale_by": 1, "watch_silent": true});
    deployment.set_controls("kv", &stale).await?;
    deployment.add_node("entry-3", "plovdiv").await?;
    let before = read_count(&deployment).await?;
    eventually("the nodes read an older generation", async || {
        for node in deployment.node_names() {
            generation(&deployment, &node).await.ok()?;
        }
        (read_count(&deployment).await.ok()? >= before + STALE_READS).then_some(())
    })
    .await?;
    deployment.wait_until_converged(2).await?;
    for node in deployment.node_names() {
        assert_eq!(generation(&deployment, &node).await?, 2, "{node}");
        assert_in_force(&deployment, &node, "/releases").await?;
    }
    let fresh = json!({"stale_by": 0, "watch_silent": false});
    deployment.set_controls("kv", &fresh).await?;
    deployment.apply_configuration(&with_path("/bales")).await?;
    deployment.wait_until_converged(3).await?;
    for node in deployment.node_names() {
        assert_in_force(&deployment, &node, "/bales").await?;
    }
    Ok(())
}

/// Returns how often the key-value service was read.
async fn read_count(deployment: &Deployment) -> Result<u64> {
    let counts = deployment.counts("kv").await?;
    Ok(counts["calls"]["kv/txn"].as_u64().unwrap_or(0))
}

/// A node that was paused while a generation was applied gets it from its peer,
/// as the key-value service is down when the node resumes.
#[tokio::test(flavor = "multi_thread")]
async fn comes_from_a_peer_after_a_pause() -> Result<()> {
    let mut deployment = Fixture::default().start().await?;
    deployment
        .node_process("entry-2")?
        .signal(Signal::SIGSTOP)?;
    deployment
        .set_controls("kv", &json!({"watch_silent": true}))
        .await?;
    deployment
        .apply_configuration(&with_path("/releases"))
        .await?;
    wait_for_generation(&deployment, "entry-1", 2).await?;
    deployment
        .set_controls("kv", &json!({"down": true}))
        .await?;
    deployment
        .node_process("entry-2")?
        .signal(Signal::SIGCONT)?;
    wait_for_generation(&deployment, "entry-2", 2).await
}

async fn wait_for_generation(deployment: &Deployment, node: &str, number: u64) -> Result<()> {
    let condition = format!("{node} has generation {number} in force");
    eventually(&condition, async || {
        (generation(deployment, node).await.ok()? == number).then_some(())
    })
    .await
}

/// Nodes keep their configuration while the key-value service is down, and a new
/// node gets the newest generation from them.
#[tokio::test(flavor = "multi_thread")]
async fn comes_from_a_peer_during_an_outage() -> Result<()> {
    let mut deployment = Fixture::default().start().await?;
    deployment
        .apply_configuration(&with_path("/releases"))
        .await?;
    deployment.wait_until_converged(2).await?;
    deployment
        .set_controls("kv", &json!({"down": true}))
        .await?;
    deployment.add_node("entry-3", "plovdiv").await?;
    deployment.wait_until_converged(2).await?;
    for node in ["entry-1", "entry-2", "entry-3"] {
        assert_eq!(generation(&deployment, node).await?, 2);
        let call = deployment.call(node, Method::GET, "/tickets/1")?;
        assert_eq!(call.fetch().await?.status, StatusCode::OK);
    }
    Ok(())
}

/// An invalid configuration is refused by the tool and changes nothing.
#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_text_is_not_accepted() -> Result<()> {
    let deployment = Fixture::default().start().await?;
    let invalid = configuration().replace("service: yard-app", "service: no-app");
    assert!(deployment.apply_configuration(&invalid).await.is_err());
    deployment
        .apply_configuration(&with_path("/releases"))
        .await?;
    deployment.wait_until_converged(2).await?;
    eventually("generation 2 is in force", async || {
        (generation(&deployment, "entry-1").await.ok()? == 2).then_some(())
    })
    .await?;
    assert_in_force(&deployment, "entry-1", "/releases").await
}

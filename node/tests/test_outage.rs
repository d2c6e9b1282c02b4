//! Nodes work through outages of the platform, that is of the key-value service
//! and the host list: at start, under load and at shutdown.

use dottereltally_testutils::{
    deployment::Deployment, engine::format, fixture::Fixture, wait::eventually,
};
use eyre::Result;
use http::StatusCode;
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::{Value, json};

/// Number of requests per node in each check that nodes serve.
const REQUESTS: usize = 12;

/// Part of the platform that is unavailable.
#[derive(Clone, Copy, Debug)]
enum Outage {
    Kv,
    Hosts,
    Both,
}

impl Outage {
    const fn names(self) -> &'static [&'static str] {
        match self {
            Self::Kv => &["kv"],
            Self::Hosts => &["hosts"],
            Self::Both => &["kv", "hosts"],
        }
    }

    /// Sets controls of the stand-ins for the unavailable parts.
    async fn set_controls(self, deployment: &Deployment, change: &Value) -> Result<()> {
        for name in self.names() {
            deployment.set_controls(name, change).await?;
        }
        Ok(())
    }
}

async fn assert_serves(deployment: &Deployment, nodes: &[&str]) -> Result<()> {
    for number in 0..REQUESTS {
        for node in nodes {
            let prompt = format!("{node} {number}");
            let response = deployment.chat(node, &prompt, 4)?.fetch().await?;
            assert_eq!(response.status, StatusCode::OK, "{}", response.text);
            assert_eq!(response.content(), format::completion_text(&prompt, 4));
        }
    }
    Ok(())
}

#[rstest]
#[case(Outage::Kv, json!({"down": true}))]
#[case(Outage::Hosts, json!({"down": true}))]
#[case(Outage::Both, json!({"down": true}))]
#[case(Outage::Both, json!({"silent": "all"}))]
#[case(Outage::Both, json!({"slow_ms": 5000}))]
#[tokio::test(flavor = "multi_thread")]
async fn serves_under_load_during_an_outage(
    #[case] outage: Outage,
    #[case] fault: Value,
) -> Result<()> {
    let deployment = Fixture::default().start().await?;
    assert_serves(&deployment, &["entry-1", "entry-2"]).await?;
    outage.set_controls(&deployment, &fault).await?;
    assert_serves(&deployment, &["entry-1", "entry-2"]).await?;
    let restored = json!({"down": false, "silent": "none", "slow_ms": 0});
    outage.set_controls(&deployment, &restored).await?;
    eventually("payments are accepted again", async || {
        let response = deployment
            .pay("entry-1", "after")
            .ok()?
            .fetch()
            .await
            .ok()?;
        response.status.is_success().then_some(())
    })
    .await?;
    assert_eq!(deployment.payment_runs("after").await?, 1);
    Ok(())
}

/// A node that starts while the platform is unavailable serves once it is
/// available again.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_started_during_an_outage_serves_after_it() -> Result<()> {
    let mut deployment = Fixture::default().start().await?;
    Outage::Both
        .set_controls(&deployment, &json!({"down": true}))
        .await?;
    deployment.add_node("entry-3", "plovdiv").await?;
    let early = deployment.chat("entry-3", "early", 2)?.fetch().await?;
    if early.status != StatusCode::OK {
        assert_eq!(early.run_state(), "not-run", "{}", early.text);
    }
    Outage::Both
        .set_controls(&deployment, &json!({"down": false}))
        .await?;
    deployment.wait_until_converged(1).await?;
    assert_serves(&deployment, &["entry-1", "entry-2", "entry-3"]).await
}

/// A node that starts while the key-value service is unavailable gets the
/// configuration from a peer.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_started_during_an_outage_gets_the_configuration_from_a_peer() -> Result<()> {
    let mut deployment = Fixture::default().start().await?;
    Outage::Kv
        .set_controls(&deployment, &json!({"down": true}))
        .await?;
    deployment.add_node("entry-3", "plovdiv").await?;
    deployment.wait_until_converged(1).await?;
    assert_serves(&deployment, &["entry-3"]).await
}

#[rstest]
#[case(json!({"down": true}))]
#[case(json!({"silent": "all"}))]
#[tokio::test(flavor = "multi_thread")]
async fn a_shutdown_during_an_outage_finishes_streams(#[case] fault: Value) -> Result<()> {
    let fixture = Fixture {
        settings: "shutdown: {notice: 200ms, grace: 30s}".to_owned(),
        ..Fixture::default()
    };
    let mut deployment = fixture.start().await?;
    for name in ["tally-1", "tally-2"] {
        deployment
            .set_controls(name, &json!({"hold": true}))
            .await?;
    }
    let running = tokio::spawn(deployment.chat("entry-1", "long", 50)?.fetch());
    eventually("the stream runs", async || {
        let mut running = 0;
        for name in ["tally-1", "tally-2"] {
            let counts = deployment.counts(name).await.ok()?;
            running += counts["running"].as_u64()?;
        }
        (running == 1).then_some(())
    })
    .await?;
    Outage::Both.set_controls(&deployment, &fault).await?;
    deployment
        .node_process("entry-1")?
        .signal(Signal::SIGTERM)?;
    for name in ["tally-1", "tally-2"] {
        deployment
            .set_controls(name, &json!({"hold": false}))
            .await?;
    }
    assert!(running.await??.is_done());
    let status = deployment.node_process("entry-1")?.wait().await?;
    assert!(status.success(), "{status}");
    Ok(())
}

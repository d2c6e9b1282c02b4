//! Tests of claims and configuration against the stand-in for the key-value
//! service, which loses requests and responses or falls silent.

#[path = "../examples/claim_runs/simulation/network.rs"]
mod network;

use std::time::Duration;

use dottereltally::{
    claim::{Held, Keeper, Limits, Rejection, Scope},
    configuration::{Arguments, Controller, Counters, Handle},
    peer::Response,
    replay::Attempts,
};
use dottereltally_lib::id;
use dottereltally_store::{
    etcd::Store,
    kv::{Compare, Operation, Store as _, Transaction},
    layout,
};
use dottereltally_testutils::{
    client::set_controls,
    kv::Kv,
    server::{self, Addresses},
    wait::eventually,
};
use eyre::Result;
use network::Network;
use rand::{SeedableRng, rngs::SmallRng};
use rstest::rstest;
use serde_json::json;
use tokio::time::Instant;

/// Time limit of one call to the key-value service.
const STORE_TIMEOUT: Duration = Duration::from_millis(300);
/// Limit of each step of a claim, long enough to outlast the faults.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(30);

/// The stand-in for the key-value service and the network between nodes.
struct Platform {
    kv: Addresses,
    network: Network,
}

impl Platform {
    async fn new() -> Result<Self> {
        Ok(Self {
            kv: server::start(Kv::start(), "127.0.0.1:0".parse()?).await?,
            network: Network::new(SmallRng::seed_from_u64(1), 0.0),
        })
    }

    fn store(&self) -> Store {
        Store::new(vec![self.kv.address.to_string()], STORE_TIMEOUT)
    }

    fn keeper(&self, name: &str) -> Keeper<Store, Network> {
        let attempts = Attempts::default();
        let node = id::Node::from(name);
        self.network.route(&node, Some(attempts.clone()));
        let limits = Limits {
            transact: CLAIM_TIMEOUT,
            wait: CLAIM_TIMEOUT,
            release: CLAIM_TIMEOUT,
        };
        Keeper::start(node, self.store(), self.network.clone(), attempts, limits)
    }

    /// Sets controls of the stand-in for the key-value service.
    async fn set_controls(&self, change: serde_json::Value) -> Result<()> {
        set_controls(&self.kv.control.to_string(), &change).await
    }
}

async fn acquire(keeper: &Keeper<Store, Network>) -> Result<Held, Rejection> {
    let scope = Scope {
        workspace: id::Workspace::from("yard"),
        service: id::Service::from("ledger"),
        key: "pay-1".to_owned(),
    };
    let deadline = Instant::now() + CLAIM_TIMEOUT;
    keeper.acquire(scope, id::Fingerprint(7), deadline).await
}

/// Returns the response of a payment.
fn payment_response() -> Response {
    Response {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: b"paid".to_vec(),
    }
}

#[rstest]
#[case::none(json!({}))]
#[case::answers_lost(json!({"lose_answers": 2}))]
#[case::requests_lost(json!({"lose_requests": 2}))]
#[case::connections_silent(json!({"silent": "existing"}))]
#[tokio::test]
async fn a_claim_is_acquired_released_and_replayed_despite_faults(
    #[case] fault: serde_json::Value,
) -> Result<()> {
    let platform = Platform::new().await?;
    let (a, b) = (platform.keeper("a"), platform.keeper("b"));
    acquire(&a).await?.release().await?;
    platform.set_controls(fault.clone()).await?;
    let held = acquire(&a).await?;
    platform.set_controls(fault.clone()).await?;
    held.release().await?;
    let claims = platform.store().list(layout::CLAIMS_PREFIX, 10).await?;
    assert!(claims.is_empty(), "{claims:?}");
    let dispatched = acquire(&a).await?.dispatch()?;
    platform.set_controls(fault).await?;
    dispatched.complete(payment_response());
    assert_eq!(
        acquire(&b).await.err(),
        Some(Rejection::Replay(payment_response()))
    );
    Ok(())
}

#[tokio::test]
async fn claims_fail_during_an_outage_and_succeed_after_it() -> Result<()> {
    let platform = Platform::new().await?;
    let keeper = platform.keeper("a");
    acquire(&keeper).await?.release().await?;
    platform.set_controls(json!({"down": true})).await?;
    let rejection = acquire(&keeper).await.err();
    assert!(
        matches!(rejection, Some(Rejection::Unavailable { .. })),
        "{rejection:?}"
    );
    platform.set_controls(json!({"down": false})).await?;
    eventually("the service is back", async || {
        keeper.is_available().then_some(())
    })
    .await?;
    acquire(&keeper).await?.release().await?;
    Ok(())
}

#[rstest]
#[case::watch_works(json!({}))]
#[case::watch_silent(json!({"watch_silent": true}))]
#[case::connections_silent(json!({"silent": "existing"}))]
#[tokio::test]
async fn a_configuration_change_takes_effect(#[case] fault: serde_json::Value) -> Result<()> {
    let platform = Platform::new().await?;
    let handle = Handle::default();
    let (actor, _task) = Controller::start(Arguments {
        handle: handle.clone(),
        store: platform.store(),
        peers: platform.network.clone(),
        counters: Counters::default(),
    })
    .await?;
    let mut receiver = handle.receiver();
    for generation in 1..=2 {
        let record = layout::Configuration {
            generation: id::Generation(generation),
            text: include_str!("data/text.yaml").to_owned(),
            author: "ana".to_owned(),
            time: "2026-01-01T00:00:00Z".to_owned(),
            token: format!("token-{generation}"),
        };
        let key = layout::CONFIGURATION_KEY.to_owned();
        let value = serde_json::to_vec(&record)?;
        let compares = if generation == 1 {
            vec![Compare::Absent(key.clone())]
        } else {
            Vec::new()
        };
        let write = Transaction {
            compares,
            success: vec![Operation::Put(key, value, None)],
            failure: Vec::new(),
        };
        assert!(platform.store().transact(write).await?.succeeded);
        receiver
            .wait_for(|current| {
                current
                    .as_ref()
                    .is_some_and(|current| current.record == record)
            })
            .await?;
        platform.set_controls(fault.clone()).await?;
    }
    actor.stop(None);
    Ok(())
}

//! Tests of the stand-ins for a plain service and for the host list.

use std::sync::Arc;

use dottereltally_testutils::{
    client::{Call, control_page, set_controls},
    host_list::HostList,
    ledger::Ledger,
    server::{self, Addresses},
    wait::eventually,
};
use eyre::Result;
use http::Method;
use rstest::rstest;
use serde_json::{Value, json};

async fn start_ledger() -> Result<Addresses> {
    server::start(Arc::<Ledger>::default(), "127.0.0.1:0".parse()?).await
}

fn pay(ledger: &Addresses) -> Call {
    Call::new(&ledger.address.to_string(), Method::POST, "/payments")
        .header("idempotency-key", "k")
        .header("x-request-id", "n-1")
}

async fn counts(ledger: &Addresses) -> Result<Value> {
    Ok(control_page(&ledger.control.to_string()).await?["counts"].clone())
}

#[rstest]
#[case("none", 1)]
#[case("before", 0)]
#[case("after", 1)]
#[tokio::test]
async fn counts_executed_requests(#[case] die: &str, #[case] executions: u64) -> Result<()> {
    let ledger = start_ledger().await?;
    set_controls(&ledger.control.to_string(), &json!({"die": die})).await?;
    let response = pay(&ledger).fetch().await;
    assert_eq!(response.is_ok(), die == "none");
    let counts = counts(&ledger).await?;
    assert_eq!(counts["total"], executions);
    assert_eq!(counts["by_key"]["k"].as_u64().unwrap_or(0), executions);
    assert_eq!(
        counts["by_request"]["n-1"].as_u64().unwrap_or(0),
        executions
    );
    Ok(())
}

#[tokio::test]
async fn holds_back_responses_of_executed_requests() -> Result<()> {
    let ledger = start_ledger().await?;
    let control = ledger.control.to_string();
    set_controls(&control, &json!({"hold": true})).await?;
    let response = tokio::spawn(pay(&ledger).fetch());
    eventually("the ledger executes the payment", async || {
        (counts(&ledger).await.ok()?["running"] == 1).then_some(())
    })
    .await?;
    set_controls(&control, &json!({"hold": false})).await?;
    assert_eq!(response.await??.json()["run"], 1);
    Ok(())
}

#[tokio::test]
async fn host_list_changes_appear_after_the_lag() -> Result<()> {
    let hosts = server::start(Arc::<HostList>::default(), "127.0.0.1:0".parse()?).await?;
    let control = hosts.control.to_string();
    let address = hosts.address.to_string();
    let read = async || Call::new(&address, Method::GET, "/hosts").fetch().await;
    set_controls(&control, &json!({"groups": [{"targets": ["1"]}]})).await?;
    assert_eq!(read().await?.json(), json!([{"targets": ["1"]}]));
    set_controls(&control, &json!({"groups": [], "lag_ms": 200})).await?;
    assert_eq!(read().await?.json(), json!([{"targets": ["1"]}]));
    eventually("the change is published", async || {
        (read().await.ok()?.json() == json!([])).then_some(())
    })
    .await?;
    Ok(())
}

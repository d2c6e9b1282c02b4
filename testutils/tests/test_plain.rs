//! The stand-ins of a plain service and of the host list.

use std::sync::Arc;

use dottereltally_testutils::{
    client::{Call, control, switch},
    host_list::HostList,
    ledger::Ledger,
    server::{self, Addresses},
    wait::eventually,
};
use eyre::Result;
use http::Method;
use rstest::rstest;
use serde_json::{Value, json};

async fn ledger() -> Result<Addresses> {
    server::start(Arc::<Ledger>::default(), "127.0.0.1:0".parse()?).await
}

fn pay(ledger: &Addresses) -> Call {
    Call::new(&ledger.address.to_string(), Method::POST, "/payments")
        .header("idempotency-key", "k")
        .header("x-request-id", "n-1")
}

async fn runs(ledger: &Addresses) -> Result<Value> {
    Ok(control(&ledger.control.to_string()).await?["counts"].clone())
}

#[rstest]
#[case("none", 1)]
#[case("before", 0)]
#[case("after", 1)]
#[tokio::test]
async fn records_what_ran(#[case] die: &str, #[case] ran: u64) -> Result<()> {
    let ledger = ledger().await?;
    switch(&ledger.control.to_string(), &json!({"die": die})).await?;
    let answer = pay(&ledger).text().await;
    assert_eq!(answer.is_ok(), die == "none");
    let runs = runs(&ledger).await?;
    assert_eq!(runs["total"], ran);
    assert_eq!(runs["by_key"]["k"].as_u64().unwrap_or(0), ran);
    assert_eq!(runs["by_request"]["n-1"].as_u64().unwrap_or(0), ran);
    Ok(())
}

#[tokio::test]
async fn holds_answers_of_what_ran() -> Result<()> {
    let ledger = ledger().await?;
    let control = ledger.control.to_string();
    switch(&control, &json!({"hold": true})).await?;
    let answer = tokio::spawn(pay(&ledger).text());
    eventually("it runs", async || {
        (runs(&ledger).await.ok()?["running"] == 1).then_some(())
    })
    .await?;
    switch(&control, &json!({"hold": false})).await?;
    assert_eq!(answer.await??.json()["run"], 1);
    Ok(())
}

#[tokio::test]
async fn the_host_list_lags() -> Result<()> {
    let hosts = server::start(Arc::<HostList>::default(), "127.0.0.1:0".parse()?).await?;
    let control = hosts.control.to_string();
    let address = hosts.address.to_string();
    let read = async || Call::new(&address, Method::GET, "/hosts").text().await;
    switch(&control, &json!({"groups": [{"targets": ["1"]}]})).await?;
    assert_eq!(read().await?.json(), json!([{"targets": ["1"]}]));
    switch(&control, &json!({"groups": [], "lag_ms": 200})).await?;
    assert_eq!(read().await?.json(), json!([{"targets": ["1"]}]));
    eventually("the change shows", async || {
        (read().await.ok()?.json() == json!([])).then_some(())
    })
    .await?;
    Ok(())
}

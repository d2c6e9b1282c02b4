//! A non-idempotent call runs at most once, checked against the count of
//! payments that the ledger service keeps.

use dottereltally_testutils::{
    client::Response, deployment::Deployment, fixture::Fixture, wait::eventually,
};
use eyre::{Result, ensure};
use http::StatusCode;
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::{Value, json};
use tokio::task::JoinHandle;

/// Idempotency key of the payment of every test.
const KEY: &str = "release-1";
/// Number of payments that are sent through two nodes at once.
const CONCURRENT_PAYMENTS: usize = 24;

/// Sends the payment without waiting for its response.
fn start_payment(deployment: &Deployment, node: &str) -> Result<JoinHandle<Result<Response>>> {
    Ok(tokio::spawn(deployment.pay(node, KEY)?.fetch()))
}

/// Sends the payment until it succeeds.
async fn pay_until_success(deployment: &Deployment, node: &str) -> Result<Response> {
    eventually("the payment is answered", async || {
        let response = deployment.pay(node, KEY).ok()?.fetch().await.ok()?;
        response.status.is_success().then_some(response)
    })
    .await
}

/// Sends a payment whose outcome the nodes can't know; the response must say that
/// it may have run.
async fn expect_may_have_run(deployment: &Deployment, node: &str) -> Result<()> {
    let response = deployment.pay(node, KEY)?.fetch().await?;
    let (status, text) = (response.status, &response.text);
    ensure!(response.run_state() == "may-have-run", "{status} {text}");
    Ok(())
}

/// Returns the number of transactions that the key-value service received: those
/// of claims and the nodes' periodic reads of the configuration.
async fn transaction_count(deployment: &Deployment) -> Result<u64> {
    let counts = deployment.counts("kv").await?;
    Ok(counts["calls"]["kv/txn"].as_u64().unwrap_or(0))
}

/// Waits until the key-value service has received more than `before`
/// transactions.
async fn wait_for_transactions_above(deployment: &Deployment, before: u64) -> Result<()> {
    eventually("the key-value service receives a transaction", async || {
        (transaction_count(deployment).await.ok()? > before).then_some(())
    })
    .await
}

/// Returns the revision of the key-value service, which every write raises.
async fn revision(deployment: &Deployment) -> Result<u64> {
    let counts = deployment.counts("kv").await?;
    Ok(counts["revision"].as_u64().unwrap_or(0))
}

/// Waits until the claim of the payment is stored, that is until the revision is
/// above `before`.
async fn wait_for_stored_claim(deployment: &Deployment, before: u64) -> Result<()> {
    eventually("the claim is stored", async || {
        (revision(deployment).await.ok()? > before).then_some(())
    })
    .await
}

async fn set_controls(deployment: &Deployment, name: &str, change: Value) -> Result<()> {
    deployment.set_controls(name, &change).await
}

#[tokio::test(flavor = "multi_thread")]
async fn runs_once_if_repeated_while_the_first_attempt_runs() -> Result<()> {
    let deployment = Fixture::default().start().await?;
    set_controls(&deployment, "ledger-1", json!({"hold": true})).await?;
    let first = start_payment(&deployment, "entry-1")?;
    deployment.wait_for_count("ledger-1", "running", 1).await?;
    let before = transaction_count(&deployment).await?;
    let second = start_payment(&deployment, "entry-2")?;
    wait_for_transactions_above(&deployment, before).await?;
    set_controls(&deployment, "ledger-1", json!({"hold": false})).await?;
    let first = first.await??;
    assert_eq!(first.status, StatusCode::OK, "{}", first.text);
    let second = second.await??;
    if !second.status.is_success() {
        assert_eq!(second.run_state(), "may-have-run", "{}", second.text);
    }
    let third = pay_until_success(&deployment, "entry-2").await?;
    assert_eq!(third.text, first.text);
    assert_eq!(deployment.payment_runs(KEY).await?, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn runs_once_if_repeated_after_the_caller_disconnected() -> Result<()> {
    let deployment = Fixture::default().start().await?;
    set_controls(&deployment, "ledger-1", json!({"hold": true})).await?;
    let first = start_payment(&deployment, "entry-1")?;
    deployment.wait_for_count("ledger-1", "running", 1).await?;
    first.abort();
    set_controls(&deployment, "ledger-1", json!({"hold": false})).await?;
    pay_until_success(&deployment, "entry-2").await?;
    assert_eq!(deployment.payment_runs(KEY).await?, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn runs_once_if_repeated_after_its_node_was_killed_while_it_ran() -> Result<()> {
    let mut deployment = Fixture::default().start().await?;
    set_controls(&deployment, "ledger-1", json!({"hold": true})).await?;
    let first = start_payment(&deployment, "entry-1")?;
    deployment.wait_for_count("ledger-1", "running", 1).await?;
    deployment.kill_node("entry-1").await?;
    assert!(first.await?.is_err());
    set_controls(&deployment, "ledger-1", json!({"hold": false})).await?;
    for _ in 0..3 {
        expect_may_have_run(&deployment, "entry-2").await?;
    }
    assert_eq!(deployment.payment_runs(KEY).await?, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn runs_at_most_once_if_repeated_after_its_node_was_killed_while_claiming() -> Result<()> {
    let mut deployment = Fixture::default().start().await?;
    let before = revision(&deployment).await?;
    set_controls(&deployment, "kv", json!({"hold_after": true})).await?;
    let first = start_payment(&deployment, "entry-1")?;
    wait_for_stored_claim(&deployment, before).await?;
    deployment.kill_node("entry-1").await?;
    assert!(first.await?.is_err());
    set_controls(&deployment, "kv", json!({"hold_after": false})).await?;
    let second = deployment.pay("entry-2", KEY)?.fetch().await?;
    let runs = deployment.payment_runs(KEY).await?;
    assert!(runs <= 1);
    assert_eq!(second.status.is_success(), runs == 1, "{}", second.text);
    if !second.status.is_success() {
        assert_eq!(second.run_state(), "may-have-run", "{}", second.text);
    }
    Ok(())
}

/// The holder is paused after its claim is stored, another node receives the
/// repeated call, and the holder resumes.
#[tokio::test(flavor = "multi_thread")]
async fn runs_once_if_repeated_while_the_holder_of_the_claim_is_paused() -> Result<()> {
    let mut deployment = Fixture::default().start().await?;
    let before = revision(&deployment).await?;
    set_controls(&deployment, "kv", json!({"hold_after": true})).await?;
    let first = start_payment(&deployment, "entry-1")?;
    wait_for_stored_claim(&deployment, before).await?;
    deployment
        .node_process("entry-1")?
        .signal(Signal::SIGSTOP)?;
    set_controls(&deployment, "kv", json!({"hold_after": false})).await?;
    let mut refused = Vec::new();
    for _ in 0..3 {
        let response = deployment.pay("entry-2", KEY)?.fetch().await?;
        if !response.status.is_success() {
            refused.push(response.run_state());
        }
    }
    deployment
        .node_process("entry-1")?
        .signal(Signal::SIGCONT)?;
    let first = first.await??;
    let runs = deployment.payment_runs(KEY).await?;
    assert!(runs <= 1, "ran {runs} times");
    assert!(
        refused.iter().all(|run| run == "may-have-run"),
        "{refused:?}"
    );
    if first.run_state() == "not-run" {
        assert_eq!(runs, 0, "{}", first.text);
    }
    pay_until_success(&deployment, "entry-2").await?;
    assert_eq!(deployment.payment_runs(KEY).await?, 1);
    Ok(())
}

/// The holder is paused while the ledger runs the payment.
#[tokio::test(flavor = "multi_thread")]
async fn runs_once_if_repeated_while_its_node_is_paused() -> Result<()> {
    let mut deployment = Fixture::default().start().await?;
    set_controls(&deployment, "ledger-1", json!({"hold": true})).await?;
    let first = start_payment(&deployment, "entry-1")?;
    deployment.wait_for_count("ledger-1", "running", 1).await?;
    deployment
        .node_process("entry-1")?
        .signal(Signal::SIGSTOP)?;
    set_controls(&deployment, "ledger-1", json!({"hold": false})).await?;
    expect_may_have_run(&deployment, "entry-2").await?;
    deployment
        .node_process("entry-1")?
        .signal(Signal::SIGCONT)?;
    let first = first.await??;
    assert_eq!(first.status, StatusCode::OK, "{}", first.text);
    let second = pay_until_success(&deployment, "entry-2").await?;
    assert_eq!(second.text, first.text);
    assert_eq!(deployment.payment_runs(KEY).await?, 1);
    Ok(())
}

#[rstest]
#[case(1)]
#[case(3)]
#[tokio::test(flavor = "multi_thread")]
async fn runs_once_if_the_response_to_the_claim_is_lost(#[case] times: u64) -> Result<()> {
    let deployment = Fixture::default().start().await?;
    set_controls(&deployment, "kv", json!({"lose_answers": times})).await?;
    let first = deployment.pay("entry-1", KEY)?.fetch().await?;
    assert_eq!(first.status, StatusCode::OK, "{}", first.text);
    assert_eq!(deployment.payment_runs(KEY).await?, 1);
    set_controls(&deployment, "kv", json!({"lose_answers": 0})).await?;
    pay_until_success(&deployment, "entry-2").await?;
    assert_eq!(deployment.payment_runs(KEY).await?, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn runs_once_if_the_request_of_the_claim_is_lost() -> Result<()> {
    let deployment = Fixture::default().start().await?;
    set_controls(&deployment, "kv", json!({"lose_requests": 1})).await?;
    let first = deployment.pay("entry-1", KEY)?.fetch().await?;
    if first.run_state() == "not-run" {
        assert_eq!(deployment.payment_runs(KEY).await?, 0);
    }
    pay_until_success(&deployment, "entry-2").await?;
    assert_eq!(deployment.payment_runs(KEY).await?, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn runs_once_if_sent_through_two_nodes_at_once() -> Result<()> {
    let deployment = Fixture::default().start().await?;
    let mut calls = Vec::new();
    for number in 0..CONCURRENT_PAYMENTS {
        let key = format!("race-{number}");
        for node in ["entry-1", "entry-2"] {
            let call = deployment.pay(node, &key)?;
            calls.push((key.clone(), tokio::spawn(call.fetch())));
        }
    }
    let mut succeeded = Vec::new();
    for (key, call) in calls {
        let response = call.await??;
        if response.status.is_success() {
            succeeded.push(key);
            continue;
        }
        assert_eq!(response.run_state(), "may-have-run", "{}", response.text);
    }
    for number in 0..CONCURRENT_PAYMENTS {
        let key = format!("race-{number}");
        assert_eq!(deployment.payment_runs(&key).await?, 1, "{key}");
        assert!(succeeded.contains(&key), "{key}");
    }
    Ok(())
}

#[rstest]
#[case(json!({"down": true}), json!({"down": false}))]
#[case(json!({"silent": "all"}), json!({"silent": "none"}))]
#[tokio::test(flavor = "multi_thread")]
async fn is_refused_while_the_key_value_service_is_down(
    #[case] outage: Value,
    #[case] recovery: Value,
) -> Result<()> {
    let deployment = Fixture::default().start().await?;
    set_controls(&deployment, "kv", outage).await?;
    let first = deployment.pay("entry-1", KEY)?.fetch().await?;
    let status = first.status;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{}", first.text);
    assert!(first.headers.contains_key("retry-after"));
    assert_eq!(deployment.payment_runs(KEY).await?, 0);
    set_controls(&deployment, "kv", recovery).await?;
    pay_until_success(&deployment, "entry-2").await?;
    assert_eq!(deployment.payment_runs(KEY).await?, 1);
    Ok(())
}

#[rstest]
#[case("hold_before")]
#[case("hold_after")]
#[tokio::test(flavor = "multi_thread")]
async fn runs_once_if_the_key_value_service_fails_during_the_claim(
    #[case] hold: &str,
) -> Result<()> {
    let deployment = Fixture::default().start().await?;
    let before = transaction_count(&deployment).await?;
    set_controls(&deployment, "kv", json!({hold: true})).await?;
    let first = start_payment(&deployment, "entry-1")?;
    wait_for_transactions_above(&deployment, before).await?;
    set_controls(&deployment, "kv", json!({"down": true, hold: false})).await?;
    let first = first.await??;
    if !first.status.is_success() {
        assert_eq!(first.run_state(), "may-have-run", "{}", first.text);
    }
    set_controls(&deployment, "kv", json!({"down": false})).await?;
    pay_until_success(&deployment, "entry-2").await?;
    assert_eq!(deployment.payment_runs(KEY).await?, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn runs_once_if_the_key_value_service_fails_after_the_claim() -> Result<()> {
    let deployment = Fixture::default().start().await?;
    set_controls(&deployment, "ledger-1", json!({"hold": true})).await?;
    let first = start_payment(&deployment, "entry-1")?;
    deployment.wait_for_count("ledger-1", "running", 1).await?;
    set_controls(&deployment, "kv", json!({"down": true})).await?;
    set_controls(&deployment, "ledger-1", json!({"hold": false})).await?;
    let first = first.await??;
    assert_eq!(first.status, StatusCode::OK, "{}", first.text);
    set_controls(&deployment, "kv", json!({"down": false})).await?;
    let second = pay_until_success(&deployment, "entry-2").await?;
    assert_eq!(second.text, first.text);
    assert_eq!(deployment.payment_runs(KEY).await?, 1);
    Ok(())
}

#[rstest]
#[case("before", 0)]
#[case("after", 1)]
#[tokio::test(flavor = "multi_thread")]
async fn is_not_sent_again_after_the_endpoint_closed_the_connection(
    #[case] point: &str,
    #[case] runs: u64,
) -> Result<()> {
    let deployment = Fixture::default().start().await?;
    set_controls(&deployment, "ledger-1", json!({"die": point})).await?;
    expect_may_have_run(&deployment, "entry-1").await?;
    set_controls(&deployment, "ledger-1", json!({"die": "none"})).await?;
    for node in ["entry-2", "entry-1"] {
        expect_may_have_run(&deployment, node).await?;
    }
    assert_eq!(deployment.payment_runs(KEY).await?, runs);
    Ok(())
}

/// Nothing was sent, so that the claim is released.
#[tokio::test(flavor = "multi_thread")]
async fn runs_later_if_the_endpoint_refused_the_connection() -> Result<()> {
    let deployment = Fixture::default().start().await?;
    set_controls(&deployment, "ledger-1", json!({"down": true})).await?;
    let call = deployment.pay("entry-1", KEY)?;
    let first = call.header("dottereltally-deadline", "1s").fetch().await?;
    assert!(!first.status.is_success(), "{}", first.text);
    assert_eq!(deployment.payment_runs(KEY).await?, 0);
    set_controls(&deployment, "ledger-1", json!({"down": false})).await?;
    pay_until_success(&deployment, "entry-2").await?;
    assert_eq!(deployment.payment_runs(KEY).await?, 1);
    Ok(())
}

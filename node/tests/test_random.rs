//! Runs random faults against the real programs.
//!
//! Whatever fails, a payment runs at most once, a payment that was refused as
//! "not-run" did not run, and a completion is complete and belongs to its
//! request or is reported as cut short.

use std::{
    sync::{
        Arc, RwLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use dottereltally_testutils::{
    client::{self, Call, Response},
    deployment::Deployment,
    engine::format,
    fixture::{DEMO_KEY, Fixture, chat_body},
    wait::eventually,
};
use eyre::{Result, ensure};
use http::{Method, StatusCode};
use nix::sys::signal::Signal;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use rstest::rstest;
use serde_json::{Value, json};
use tokio::time::sleep;

/// Number of faults in one run.
const FAULT_COUNT: usize = 40;
/// Number of callers that send payments, each one after another.
const PAYER_COUNT: u64 = 6;
/// Number of callers that request completions.
const READER_COUNT: u64 = 4;
/// Limit of the times that one payment is sent.
const MAX_ATTEMPTS: usize = 6;
/// Limit of the duration of a fault, in milliseconds.
const MAX_FAULT_MS: u64 = 400;
/// Names of the nodes.
const NODES: [&str; 3] = ["entry-1", "entry-2", "entry-3"];

/// State that the callers share with the test.
#[derive(Clone)]
struct Shared {
    /// Addresses of the nodes.
    node_addresses: Arc<RwLock<Vec<String>>>,
    /// Address of the control page of the payment service.
    ledger_control: String,
    /// Set when the callers are to stop.
    over: Arc<AtomicBool>,
}

impl Shared {
    fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    /// Returns the address of a random node.
    fn random_node(&self, rng: &mut SmallRng) -> String {
        let addresses = self.node_addresses.read().expect("unpoisoned");
        addresses.choose(rng).cloned().unwrap_or_default()
    }

    /// Returns how often the payment service ran a payment.
    async fn payment_runs(&self, key: &str) -> Result<u64> {
        let page = client::control_page(&self.ledger_control).await?;
        Ok(page["counts"]["by_key"][key].as_u64().unwrap_or(0))
    }

    /// Updates the addresses of the nodes from the deployment.
    fn update_addresses(&self, deployment: &Deployment) -> Result<()> {
        let mut addresses = Vec::new();
        for node in NODES {
            addresses.push(deployment.caller_address(node)?);
        }
        *self.node_addresses.write().expect("unpoisoned") = addresses;
        Ok(())
    }
}

/// Idempotency keys of payments, each with whether the payment was answered.
type Payments = Vec<(String, bool)>;

/// Sends one payment after another until the run is over.
async fn pay(shared: Shared, payer: u64, seed: u64) -> Result<Payments> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut payments = Vec::new();
    while !shared.is_over() {
        let key = format!("payment-{payer}-{}", payments.len());
        let answered = pay_until_answered(&shared, &key, &mut rng).await?;
        payments.push((key, answered));
    }
    Ok(payments)
}

/// Sends one payment through random nodes until it is answered or
/// `MAX_ATTEMPTS` is reached; returns whether it was answered.
async fn pay_until_answered(shared: &Shared, key: &str, rng: &mut SmallRng) -> Result<bool> {
    for _ in 0..MAX_ATTEMPTS {
        let call = Call::new(&shared.random_node(rng), Method::POST, "/payments")
            .bearer_key(DEMO_KEY)
            .header("idempotency-key", key)
            .json(&json!({"payment": key}));
        let Ok(response) = call.fetch().await else {
            continue;
        };
        if response.status.is_success() {
            ensure!(response.json()["run"] == 1, "{key}: {}", response.text);
            return Ok(true);
        }
        if response.run_state() == "not-run" {
            let runs = shared.payment_runs(key).await?;
            ensure!(runs == 0, "{key} ran: {}", response.text);
        }
        sleep(Duration::from_millis(rng.random_range(0..40))).await;
    }
    Ok(false)
}

/// Requests completions until the run is over; returns the number of complete
/// responses.
async fn read(shared: Shared, reader: u64, seed: u64) -> Result<u64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut complete = 0;
    let mut number = 0;
    while !shared.is_over() {
        number += 1;
        let prompt = format!("reader {reader} {number}");
        let tokens = rng.random_range(2..60);
        let call = Call::new(
            &shared.random_node(&mut rng),
            Method::POST,
            "/v1/chat/completions",
        )
        .bearer_key(DEMO_KEY)
        .json(&chat_body(&prompt, tokens));
        if let Ok(response) = call.fetch().await {
            complete += u64::from(is_complete(&response, &prompt, tokens)?);
        }
    }
    Ok(complete)
}

/// Returns whether a response is complete.
///
/// Fails if a complete response does not belong to the prompt, or if an incomplete
/// one is not reported as such.
fn is_complete(response: &Response, prompt: &str, tokens: u64) -> Result<bool> {
    if response.status != StatusCode::OK || !response.is_done() {
        let reported = response.text.contains("\"error\"") || !response.run_state().is_empty();
        ensure!(reported, "{prompt}: {}", response.text);
        return Ok(false);
    }
    let content = response.content();
    ensure!(
        content == format::completion_text(prompt, tokens),
        "{prompt}: {content}"
    );
    Ok(true)
}

/// Causes one random fault and ends it.
async fn inject_random_fault(
    deployment: &mut Deployment,
    shared: &Shared,
    rng: &mut SmallRng,
) -> Result<()> {
    let duration = Duration::from_millis(rng.random_range(20..MAX_FAULT_MS));
    let node = *NODES.choose(rng).expect("there are nodes");
    let engine = *["tally-1", "tally-2"]
        .choose(rng)
        .expect("there are engines");
    match rng.random_range(0..13) {
        0 | 1 => {
            deployment.restart_node(node).await?;
            shared.update_addresses(deployment)
        }
        2 | 3 => {
            deployment.node_process(node)?.signal(Signal::SIGSTOP)?;
            sleep(duration).await;
            deployment.node_process(node)?.signal(Signal::SIGCONT)
        }
        4 => inject(deployment, "kv", json!({"down": true}), duration).await,
        5 => inject(deployment, "kv", json!({"lose_answers": 3}), duration).await,
        6 => inject(deployment, "kv", json!({"slow_ms": 300}), duration).await,
        7 => inject(deployment, "kv", json!({"silent": "existing"}), duration).await,
        8 => inject(deployment, "ledger-1", json!({"die": "before"}), duration).await,
        9 => inject(deployment, "ledger-1", json!({"die": "after"}), duration).await,
        10 => {
            inject(
                deployment,
                "ledger-1",
                json!({"silent": "existing"}),
                duration,
            )
            .await
        }
        11 => {
            inject(
                deployment,
                engine,
                json!({"die": "after", "die_next": 2}),
                duration,
            )
            .await
        }
        _ => inject(deployment, engine, json!({"cut_next": 2}), duration).await,
    }
}

/// Sets fault controls of a stand-in, and clears them after `duration`.
async fn inject(
    deployment: &Deployment,
    name: &str,
    fault: Value,
    duration: Duration,
) -> Result<()> {
    deployment.set_controls(name, &fault).await?;
    sleep(duration).await;
    deployment.set_controls(name, &cleared_controls(name)).await
}

/// Returns the fault controls of a stand-in, all set to no fault.
fn cleared_controls(name: &str) -> Value {
    let mut cleared_controls = json!({"down": false, "silent": "none", "slow_ms": 0});
    let specific = match name {
        "kv" => json!({"lose_answers": 0}),
        "ledger-1" => json!({"die": "none"}),
        _ => json!({"die_next": 0, "cut_next": 0}),
    };
    for (control, value) in specific.as_object().into_iter().flatten() {
        cleared_controls[control] = value.clone();
    }
    cleared_controls
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_under_random_faults(#[case] seed: u64) -> Result<()> {
    println!("seed {seed}");
    let fixture = Fixture {
        nodes: NODES.len(),
        settings: "limits: {inactivity: 1s}".to_owned(),
        ..Fixture::default()
    };
    let mut deployment = fixture.start().await?;
    let shared = Shared {
        node_addresses: Arc::default(),
        ledger_control: deployment.endpoint_process("ledger-1")?.address("control"),
        over: Arc::default(),
    };
    shared.update_addresses(&deployment)?;
    let mut payers = Vec::new();
    for payer in 0..PAYER_COUNT {
        let seed = seed * 1_000 + payer;
        payers.push(tokio::spawn(pay(shared.clone(), payer, seed)));
    }
    let mut readers = Vec::new();
    for reader in 0..READER_COUNT {
        let seed = seed * 1_000 + 500 + reader;
        readers.push(tokio::spawn(read(shared.clone(), reader, seed)));
    }
    let mut rng = SmallRng::seed_from_u64(seed);
    for _ in 0..FAULT_COUNT {
        inject_random_fault(&mut deployment, &shared, &mut rng).await?;
    }
    shared.over.store(true, Ordering::SeqCst);
    let mut answered = 0;
    let mut unanswered = 0;
    for payer in payers {
        for (key, was_answered) in payer.await?? {
            let runs = shared.payment_runs(&key).await?;
            ensure!(runs <= 1, "{key} ran {runs} times");
            ensure!(
                !was_answered || runs == 1,
                "{key} was answered but did not run"
            );
            answered += u64::from(was_answered);
            unanswered += u64::from(!was_answered);
        }
    }
    let mut complete = 0;
    for reader in readers {
        complete += reader.await??;
    }
    println!("{answered} payments answered, {unanswered} not, {complete} completions complete");
    ensure!(answered > 0 && complete > 0, "nothing was served");
    assert_recovers(&deployment).await
}

/// Checks that every node serves again after the last fault.
async fn assert_recovers(deployment: &Deployment) -> Result<()> {
    deployment.wait_until_converged(1).await?;
    for node in NODES {
        let key = format!("after-{node}");
        eventually("a payment is answered", async || {
            let response = deployment.pay(node, &key).ok()?.fetch().await.ok()?;
            response.status.is_success().then_some(())
        })
        .await?;
        ensure!(deployment.payment_runs(&key).await? == 1, "{key}");
    }
    Ok(())
}

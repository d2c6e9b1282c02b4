//! Long runs of random faults against the real programs.
//!
//! Whatever fails, a payment runs at most once, a refusal that says "not-run"
//! is true, and a completion is whole and the caller's own or told as cut.

use std::{
    sync::{
        Arc, RwLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use dottereltally_testutils::{
    client::{self, Call, Whole},
    deployment::Deployment,
    engine::format,
    fixture::{Fixture, KEY, chat_body},
    wait::eventually,
};
use eyre::{Result, ensure};
use http::{Method, StatusCode};
use nix::sys::signal::Signal;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use rstest::rstest;
use serde_json::{Value, json};
use tokio::time::sleep;

/// Faults of one run.
const FAULTS: usize = 40;
/// Callers that pay, each one payment after another.
const PAYERS: u64 = 6;
/// Callers that want completions.
const READERS: u64 = 4;
/// Times that a payment is sent at the most.
const ATTEMPTS: usize = 6;
/// Longest time that a fault lasts, in milliseconds.
const MAX_FAULT_MS: u64 = 400;
/// Nodes of the run.
const NODES: [&str; 3] = ["entry-1", "entry-2", "entry-3"];

/// What the callers share with the run.
#[derive(Clone)]
struct Scene {
    callers: Arc<RwLock<Vec<String>>>,
    ledger: String,
    over: Arc<AtomicBool>,
}

impl Scene {
    fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    /// Picks the address of a node.
    fn node(&self, rng: &mut SmallRng) -> String {
        let callers = self.callers.read().expect("no caller panics here");
        callers.choose(rng).cloned().unwrap_or_default()
    }

    /// Returns how often the ledger ran a payment.
    async fn runs(&self, key: &str) -> Result<u64> {
        let page = client::control(&self.ledger).await?;
        Ok(page["counts"]["by_key"][key].as_u64().unwrap_or(0))
    }

    /// Takes over the nodes' addresses.
    fn update(&self, deployment: &Deployment) -> Result<()> {
        let mut callers = Vec::new();
        for node in NODES {
            callers.push(deployment.callers(node)?);
        }
        *self.callers.write().expect("no caller panics here") = callers;
        Ok(())
    }
}

/// One payment's keys and whether a caller saw its answer.
type Payments = Vec<(String, bool)>;

/// Pays until the run is over, each payment until it is answered.
async fn pay(scene: Scene, payer: u64, seed: u64) -> Result<Payments> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut payments = Vec::new();
    while !scene.is_over() {
        let key = format!("payment-{payer}-{}", payments.len());
        let answered = pay_once(&scene, &key, &mut rng).await?;
        payments.push((key, answered));
    }
    Ok(payments)
}

/// Sends one payment again and again through random nodes.
async fn pay_once(scene: &Scene, key: &str, rng: &mut SmallRng) -> Result<bool> {
    for _ in 0..ATTEMPTS {
        let call = Call::new(&scene.node(rng), Method::POST, "/payments")
            .key(KEY)
            .header("idempotency-key", key)
            .json(&json!({"payment": key}));
        let Ok(answer) = call.text().await else {
            continue;
        };
        if answer.status.is_success() {
            ensure!(answer.json()["run"] == 1, "{key}: {}", answer.text);
            return Ok(true);
        }
        if answer.run() == "not-run" {
            let runs = scene.runs(key).await?;
            ensure!(runs == 0, "{key} ran: {}", answer.text);
        }
        sleep(Duration::from_millis(rng.random_range(0..40))).await;
    }
    Ok(false)
}

/// Asks for completions until the run is over; returns the number of whole
/// answers.
async fn read(scene: Scene, reader: u64, seed: u64) -> Result<u64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut whole = 0;
    let mut number = 0;
    while !scene.is_over() {
        number += 1;
        let prompt = format!("reader {reader} {number}");
        let tokens = rng.random_range(2..60);
        let call = Call::new(&scene.node(&mut rng), Method::POST, "/v1/chat/completions")
            .key(KEY)
            .json(&chat_body(&prompt, tokens));
        if let Ok(answer) = call.text().await {
            whole += u64::from(is_whole(&answer, &prompt, tokens)?);
        }
    }
    Ok(whole)
}

/// Checks that an answer is whole and belongs to the prompt, or is told as cut.
fn is_whole(answer: &Whole, prompt: &str, tokens: u64) -> Result<bool> {
    if answer.status != StatusCode::OK || !answer.is_done() {
        let told = answer.text.contains("\"error\"") || !answer.run().is_empty();
        ensure!(told, "{prompt}: {}", answer.text);
        return Ok(false);
    }
    let content = answer.content();
    ensure!(
        content == format::text(prompt, tokens),
        "{prompt}: {content}"
    );
    Ok(true)
}

/// Causes one random fault and undoes it.
async fn fail(deployment: &mut Deployment, scene: &Scene, rng: &mut SmallRng) -> Result<()> {
    let span = Duration::from_millis(rng.random_range(20..MAX_FAULT_MS));
    let node = *NODES.choose(rng).expect("there are nodes");
    let engine = *["tally-1", "tally-2"]
        .choose(rng)
        .expect("there are engines");
    match rng.random_range(0..13) {
        0 | 1 => {
            deployment.restart_node(node).await?;
            scene.update(deployment)
        }
        2 | 3 => {
            deployment.node(node)?.signal(Signal::SIGSTOP)?;
            sleep(span).await;
            deployment.node(node)?.signal(Signal::SIGCONT)
        }
        4 => switch(deployment, "kv", json!({"down": true}), span).await,
        5 => switch(deployment, "kv", json!({"lose_answers": 3}), span).await,
        6 => switch(deployment, "kv", json!({"slow_ms": 300}), span).await,
        7 => switch(deployment, "kv", json!({"silent": "existing"}), span).await,
        8 => switch(deployment, "ledger-1", json!({"die": "before"}), span).await,
        9 => switch(deployment, "ledger-1", json!({"die": "after"}), span).await,
        10 => switch(deployment, "ledger-1", json!({"silent": "existing"}), span).await,
        11 => {
            switch(
                deployment,
                engine,
                json!({"die": "after", "die_next": 2}),
                span,
            )
            .await
        }
        _ => switch(deployment, engine, json!({"cut_next": 2}), span).await,
    }
}

async fn switch(deployment: &Deployment, name: &str, fault: Value, span: Duration) -> Result<()> {
    deployment.switch(name, &fault).await?;
    sleep(span).await;
    deployment.switch(name, &calm(name)).await
}

/// Returns the switches without faults.
fn calm(name: &str) -> Value {
    let mut calm = json!({"down": false, "silent": "none", "slow_ms": 0});
    let own = match name {
        "kv" => json!({"lose_answers": 0}),
        "ledger-1" => json!({"die": "none"}),
        _ => json!({"die_next": 0, "cut_next": 0}),
    };
    for (switch, position) in own.as_object().into_iter().flatten() {
        calm[switch] = position.clone();
    }
    calm
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_whatever_fails(#[case] seed: u64) -> Result<()> {
    println!("seed {seed}");
    let fixture = Fixture {
        nodes: NODES.len(),
        settings: "limits: {inactivity: 1s}".to_owned(),
        ..Fixture::default()
    };
    let mut deployment = fixture.start().await?;
    let scene = Scene {
        callers: Arc::default(),
        ledger: deployment.endpoint("ledger-1")?.address("control"),
        over: Arc::default(),
    };
    scene.update(&deployment)?;
    let mut payers = Vec::new();
    for payer in 0..PAYERS {
        let seed = seed * 1_000 + payer;
        payers.push(tokio::spawn(pay(scene.clone(), payer, seed)));
    }
    let mut readers = Vec::new();
    for reader in 0..READERS {
        let seed = seed * 1_000 + 500 + reader;
        readers.push(tokio::spawn(read(scene.clone(), reader, seed)));
    }
    let mut rng = SmallRng::seed_from_u64(seed);
    for _ in 0..FAULTS {
        fail(&mut deployment, &scene, &mut rng).await?;
    }
    scene.over.store(true, Ordering::SeqCst);
    let mut answered = 0;
    let mut unanswered = 0;
    for payer in payers {
        for (key, was_answered) in payer.await?? {
            let runs = scene.runs(&key).await?;
            ensure!(runs <= 1, "{key} ran {runs} times");
            ensure!(!was_answered || runs == 1, "{key} was answered, not run");
            answered += u64::from(was_answered);
            unanswered += u64::from(!was_answered);
        }
    }
    let mut whole = 0;
    for reader in readers {
        whole += reader.await??;
    }
    println!("{answered} payments answered, {unanswered} not, {whole} completions whole");
    ensure!(answered > 0 && whole > 0, "nothing was served");
    assert_recovers(&deployment).await
}

/// Checks that every node serves again once nothing fails any more.
async fn assert_recovers(deployment: &Deployment) -> Result<()> {
    deployment.settled(1).await?;
    for node in NODES {
        let key = format!("after-{node}");
        eventually("a payment is answered", async || {
            let answer = deployment.pay(node, &key).ok()?.text().await.ok()?;
            answer.status.is_success().then_some(())
        })
        .await?;
        ensure!(deployment.payments(&key).await? == 1, "{key}");
    }
    Ok(())
}

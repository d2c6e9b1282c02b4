//! Measures what a node takes for a request, a streamed token, a stream that
//! is open and a connection that is idle.
//!
//! `cargo run --release -p dottereltally --example path_cost`, after
//! `cargo build --release --workspace --bins --examples`.

use std::time::{Duration, Instant};

use dottereltally_testutils::{
    client::Call,
    deployment::Deployment,
    fixture::{Fixture, KEY},
    wait::eventually,
};
use eyre::{Result, eyre};
use http::Method;
use serde_json::json;
use tokio::{net::TcpStream, task::JoinSet};

/// Node that is measured.
const NODE: &str = "entry-1";
/// Requests at a time.
const CONCURRENCY: usize = 32;
/// Plain requests of one measurement.
const REQUESTS: usize = 8_000;
/// Streams of one measurement.
const STREAMS: usize = 64;
/// Tokens of a short and of a long stream.
const TOKENS: [u64; 2] = [50, 1_050];
/// Streams held open for the measurement of memory.
const OPEN_STREAMS: usize = 200;
/// Connections held idle for the measurement of memory.
const IDLE_CONNECTIONS: usize = 2_000;

/// What a node has taken so far.
#[derive(Clone, Copy, Debug)]
struct Taken {
    seconds: f64,
    bytes: f64,
}

#[tokio::main]
async fn main() -> Result<()> {
    let fixture = Fixture {
        nodes: 1,
        engines: 4,
        ledgers: 4,
        settings: "limits: {head_timeout: 60s}".to_owned(),
    };
    let deployment = fixture.start().await?;
    idle(&deployment).await?;
    plain(&deployment).await?;
    streams(&deployment).await?;
    connections(&deployment).await?;
    open_streams(&deployment).await
}

async fn taken(deployment: &Deployment) -> Result<Taken> {
    let address = deployment.operations(NODE)?;
    let page = Call::new(&address, Method::GET, "/metrics").text().await?;
    let read = |name: &str| -> Result<f64> {
        let line = page.text.lines().find(|line| line.starts_with(name));
        let value = line.and_then(|line| line.rsplit(' ').next());
        Ok(value.ok_or_else(|| eyre!("no {name}"))?.parse()?)
    };
    Ok(Taken {
        seconds: read("dottereltally_process_cpu_seconds_total")?,
        bytes: read("dottereltally_process_resident_memory_bytes")?,
    })
}

async fn idle(deployment: &Deployment) -> Result<()> {
    let before = taken(deployment).await?;
    let span = Duration::from_secs(5);
    tokio::time::sleep(span).await;
    let after = taken(deployment).await?;
    println!(
        "idle: {:.2}% of a core, {:.1} MiB resident",
        100.0 * (after.seconds - before.seconds) / span.as_secs_f64(),
        after.bytes / 1_048_576.0
    );
    Ok(())
}

/// Sends requests, `CONCURRENCY` at a time; returns the number that failed.
async fn send(calls: Vec<Call>) -> Result<usize> {
    let mut failed = 0;
    let mut running = JoinSet::new();
    for call in calls {
        if running.len() == CONCURRENCY {
            failed += ended(&mut running).await?;
        }
        running.spawn(async move {
            call.text()
                .await
                .is_ok_and(|whole| whole.status.is_success())
        });
    }
    while !running.is_empty() {
        failed += ended(&mut running).await?;
    }
    Ok(failed)
}

async fn ended(running: &mut JoinSet<bool>) -> Result<usize> {
    match running.join_next().await {
        Some(succeeded) => Ok(usize::from(!succeeded?)),
        None => Ok(0),
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
async fn plain(deployment: &Deployment) -> Result<()> {
    let address = deployment.callers(NODE)?;
    let before = taken(deployment).await?;
    let started = Instant::now();
    let call = Call::new(&address, Method::GET, "/tickets/1").key(KEY);
    let failed = send(vec![call; REQUESTS]).await?;
    let spent = taken(deployment).await?.seconds - before.seconds;
    println!(
        "plain requests, a connection each: {:.0} us of processor time each, {:.0}/s from one client, {failed} of {REQUESTS} failed",
        1e6 * spent / REQUESTS as f64,
        REQUESTS as f64 / started.elapsed().as_secs_f64()
    );
    Ok(())
}

fn chat(address: &str, tokens: u64, number: usize) -> Call {
    let body = json!({
        "model": "tally-7b",
        "stream": true,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": format!("prompt {number}")}],
    });
    Call::new(address, Method::POST, "/v1/chat/completions")
        .key(KEY)
        .json(&body)
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
async fn streams(deployment: &Deployment) -> Result<()> {
    let address = deployment.callers(NODE)?;
    let mut spent = Vec::new();
    for tokens in TOKENS {
        let before = taken(deployment).await?;
        let mut calls = Vec::new();
        for number in 0..STREAMS {
            calls.push(chat(&address, tokens, number));
        }
        let failed = send(calls).await?;
        spent.push(taken(deployment).await?.seconds - before.seconds);
        println!("{STREAMS} streams of {tokens} tokens: {failed} failed");
    }
    let tokens = (TOKENS[1] - TOKENS[0]) as f64 * STREAMS as f64;
    println!(
        "streams: {:.2} us of processor time per token",
        1e6 * (spent[1] - spent[0]) / tokens
    );
    Ok(())
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
async fn connections(deployment: &Deployment) -> Result<()> {
    let address = deployment.callers(NODE)?;
    let before = taken(deployment).await?;
    let mut held = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        held.push(TcpStream::connect(&address).await?);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let after = taken(deployment).await?;
    println!(
        "idle connections: {:.1} KiB each",
        (after.bytes - before.bytes) / 1024.0 / IDLE_CONNECTIONS as f64
    );
    Ok(())
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
async fn open_streams(deployment: &Deployment) -> Result<()> {
    let address = deployment.callers(NODE)?;
    let before = taken(deployment).await?;
    let mut held = Vec::new();
    for number in 0..OPEN_STREAMS {
        held.push(chat(&address, 2_000, number).send().await?);
    }
    eventually("the streams run", async || {
        held.iter()
            .all(|answer| answer.status.is_success())
            .then_some(())
    })
    .await?;
    let after = taken(deployment).await?;
    println!(
        "open streams, both connections included: {:.1} KiB each",
        (after.bytes - before.bytes) / 1024.0 / OPEN_STREAMS as f64
    );
    Ok(())
}

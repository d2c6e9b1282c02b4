//! Measures the processor time of a node per request and per streamed token, and
//! its memory per open stream and per idle connection.
//!
//! `cargo run --release -p dottereltally --example path_cost`, after
//! `cargo build --release --workspace --bins --examples`.

use std::time::{Duration, Instant};

use dottereltally_testutils::{
    client::Call,
    deployment::Deployment,
    fixture::{DEMO_KEY, Fixture},
    wait::eventually,
};
use eyre::{Result, eyre};
use http::Method;
use serde_json::json;
use tokio::{net::TcpStream, task::JoinSet};

/// Node that is measured.
const NODE: &str = "entry-1";
/// Number of concurrent requests.
const CONCURRENCY: usize = 32;
/// Number of plain requests in one measurement.
const REQUESTS: usize = 8_000;
/// Number of streams in one measurement.
const STREAMS: usize = 64;
/// Tokens of a short and of a long stream; the difference of their costs is the
/// cost of the tokens alone.
const TOKENS: [u64; 2] = [50, 1_050];
/// Number of streams held open while memory is measured.
const OPEN_STREAMS: usize = 200;
/// Number of connections held idle while memory is measured.
const IDLE_CONNECTIONS: usize = 2_000;

/// Processor time and memory that a node uses.
#[derive(Clone, Copy, Debug)]
struct Usage {
    processor_seconds: f64,
    resident_bytes: f64,
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
    measure_idle(&deployment).await?;
    measure_plain(&deployment).await?;
    measure_streams(&deployment).await?;
    measure_connections(&deployment).await?;
    measure_open_streams(&deployment).await
}

async fn usage(deployment: &Deployment) -> Result<Usage> {
    let address = deployment.operations_address(NODE)?;
    let page = Call::new(&address, Method::GET, "/metrics").fetch().await?;
    let read = |name: &str| -> Result<f64> {
        let line = page.text.lines().find(|line| line.starts_with(name));
        let value = line.and_then(|line| line.rsplit(' ').next());
        Ok(value
            .ok_or_else(|| eyre!("the metrics page has no {name}"))?
            .parse()?)
    };
    Ok(Usage {
        processor_seconds: read("dottereltally_process_cpu_seconds_total")?,
        resident_bytes: read("dottereltally_process_resident_memory_bytes")?,
    })
}

async fn measure_idle(deployment: &Deployment) -> Result<()> {
    let before = usage(deployment).await?;
    let span = Duration::from_secs(5);
    tokio::time::sleep(span).await;
    let after = usage(deployment).await?;
    println!(
        "idle: {:.2}% of a core, {:.1} MiB resident",
        100.0 * (after.processor_seconds - before.processor_seconds) / span.as_secs_f64(),
        after.resident_bytes / 1_048_576.0
    );
    Ok(())
}

/// Sends requests, `CONCURRENCY` at a time, and returns the number that failed.
async fn send(calls: Vec<Call>) -> Result<usize> {
    let mut failed = 0;
    let mut running = JoinSet::new();
    for call in calls {
        if running.len() == CONCURRENCY {
            failed += next_failed(&mut running).await?;
        }
        running.spawn(async move {
            call.fetch()
                .await
                .is_ok_and(|response| response.status.is_success())
        });
    }
    while !running.is_empty() {
        failed += next_failed(&mut running).await?;
    }
    Ok(failed)
}

async fn next_failed(running: &mut JoinSet<bool>) -> Result<usize> {
    match running.join_next().await {
        Some(succeeded) => Ok(usize::from(!succeeded?)),
        None => Ok(0),
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
async fn measure_plain(deployment: &Deployment) -> Result<()> {
    let address = deployment.caller_address(NODE)?;
    let before = usage(deployment).await?;
    let started = Instant::now();
    let call = Call::new(&address, Method::GET, "/tickets/1").bearer_key(DEMO_KEY);
    let failed = send(vec![call; REQUESTS]).await?;
    let spent = usage(deployment).await?.processor_seconds - before.processor_seconds;
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
        .bearer_key(DEMO_KEY)
        .json(&body)
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
async fn measure_streams(deployment: &Deployment) -> Result<()> {
    let address = deployment.caller_address(NODE)?;
    let mut spent = Vec::new();
    for tokens in TOKENS {
        let before = usage(deployment).await?;
        let mut calls = Vec::new();
        for number in 0..STREAMS {
            calls.push(chat(&address, tokens, number));
        }
        let failed = send(calls).await?;
        spent.push(usage(deployment).await?.processor_seconds - before.processor_seconds);
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
async fn measure_connections(deployment: &Deployment) -> Result<()> {
    let address = deployment.caller_address(NODE)?;
    let before = usage(deployment).await?;
    let mut connections = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        connections.push(TcpStream::connect(&address).await?);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let after = usage(deployment).await?;
    println!(
        "idle connections: {:.1} KiB each",
        (after.resident_bytes - before.resident_bytes) / 1024.0 / IDLE_CONNECTIONS as f64
    );
    Ok(())
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
async fn measure_open_streams(deployment: &Deployment) -> Result<()> {
    let address = deployment.caller_address(NODE)?;
    let before = usage(deployment).await?;
    let mut streams = Vec::new();
    for number in 0..OPEN_STREAMS {
        streams.push(chat(&address, 2_000, number).send().await?);
    }
    eventually("the streams run", async || {
        streams
            .iter()
            .all(|response| response.status.is_success())
            .then_some(())
    })
    .await?;
    let after = usage(deployment).await?;
    println!(
        "open streams, both connections included: {:.1} KiB each",
        (after.resident_bytes - before.resident_bytes) / 1024.0 / OPEN_STREAMS as f64
    );
    Ok(())
}

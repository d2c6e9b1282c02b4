//! Demonstrates the complete system on one machine: three nodes in two data
//! centres in front of stand-ins for the engines, the plain service and the
//! platform, that is the key-value service and the host list.

use dottereltally_testutils::{
    client::{Call, Response},
    deployment::Deployment,
};
use eyre::{Result, ensure};
use http::Method;
use serde_json::json;
use tokio::signal;

/// The operators' configuration that is applied.
const CONFIGURATION: &str = include_str!("../../examples/demo.yaml");
/// Bearer key of the workspace in the configuration.
const BEARER_KEY: &str = "demo-key";
/// Idempotency key of the payment.
const PAYMENT_KEY: &str = "release-1";

/// Starts a deployment on this machine and sends it a request of each kind.
#[derive(argh::FromArgs)]
struct Arguments {
    /// keep running until interrupted
    #[argh(switch)]
    stay: bool,
}

#[tokio::main]
async fn main() -> Result<()> {
    let arguments: Arguments = argh::from_env();
    let deployment = deploy().await?;
    complete(&deployment).await?;
    read_ticket(&deployment).await?;
    pay_twice(&deployment).await?;
    if arguments.stay {
        print_addresses(&deployment)?;
        signal::ctrl_c().await?;
    }
    println!("all as expected");
    Ok(())
}

/// Starts the programs and applies the configuration.
async fn deploy() -> Result<Deployment> {
    let mut deployment = Deployment::start().await?;
    let models = ["tally-7b", "disputes"];
    for (name, data_centre) in [("tally-1", "plovdiv"), ("tally-2", "stara-zagora")] {
        deployment
            .add_engine(name, "tally-llm", data_centre, &models)
            .await?;
    }
    deployment
        .add_ledger("ledger-1", "yard-app", "plovdiv")
        .await?;
    for (name, data_centre) in [
        ("entry-1", "plovdiv"),
        ("entry-2", "plovdiv"),
        ("entry-3", "stara-zagora"),
    ] {
        deployment.add_node(name, data_centre).await?;
    }
    let generation = deployment.apply_configuration(CONFIGURATION).await?;
    deployment.wait_until_converged(generation).await?;
    println!("generation {generation} is in force on 3 nodes in 2 data centres");
    Ok(deployment)
}

/// Streams a completion through the first node.
async fn complete(deployment: &Deployment) -> Result<()> {
    let body = json!({
        "model": "tally-7b",
        "stream": true,
        "max_tokens": 8,
        "messages": [{"role": "user", "content": "Draft a quality dispute for ticket 17."}],
    });
    let call = call(deployment, "entry-1", Method::POST, "/v1/chat/completions")?;
    let mut response = call.json(&body).send().await?;
    let status = response.status;
    let mut text = String::new();
    while let Some(chunk) = response.next_chunk().await? {
        print!("{chunk}");
        text.push_str(&chunk);
    }
    ensure!(
        status.is_success() && text.trim_end().ends_with("data: [DONE]"),
        "the completion failed or is incomplete: {status}"
    );
    Ok(())
}

/// Reads a ticket through the node of the other data centre.
async fn read_ticket(deployment: &Deployment) -> Result<()> {
    let call = call(deployment, "entry-3", Method::GET, "/tickets/17")?;
    let response = call.fetch().await?;
    println!("GET /tickets/17: {} {}", response.status, response.text);
    ensure!(response.status.is_success(), "reading the ticket failed");
    Ok(())
}

/// Sends the same payment through two nodes in different data centres, which
/// must execute it only once.
async fn pay_twice(deployment: &Deployment) -> Result<()> {
    for node in ["entry-1", "entry-3"] {
        let response = pay(deployment, node).await?;
        println!(
            "POST /payments through {node}: {} {}",
            response.status, response.text
        );
        ensure!(
            response.status.is_success(),
            "the payment through {node} failed"
        );
    }
    let counts = deployment.counts("ledger-1").await?;
    let runs = counts["by_key"][PAYMENT_KEY].as_u64().unwrap_or(0);
    println!("the ledger ran the payment {runs} time(s)");
    ensure!(runs == 1, "the payment was executed {runs} times");
    Ok(())
}

async fn pay(deployment: &Deployment, node: &str) -> Result<Response> {
    let call = call(deployment, node, Method::POST, "/payments")?;
    call.header("idempotency-key", PAYMENT_KEY)
        .json(&json!({"ticket": 17, "amount": 120}))
        .fetch()
        .await
}

fn call(deployment: &Deployment, node: &str, method: Method, path: &str) -> Result<Call> {
    Ok(Call::new(&deployment.caller_address(node)?, method, path).bearer_key(BEARER_KEY))
}

/// Prints the addresses, and the environment variables for `dottereltallyctl`.
fn print_addresses(deployment: &Deployment) -> Result<()> {
    for node in ["entry-1", "entry-2", "entry-3"] {
        let (callers, operations) = (
            deployment.caller_address(node)?,
            deployment.operations_address(node)?,
        );
        println!("{node}: callers http://{callers}, operations http://{operations}");
    }
    let (kv, hosts) = (deployment.kv_address(), deployment.hosts_url());
    println!("export DOTTERELTALLY_KV={kv} DOTTERELTALLY_HOSTS={hosts}");
    println!("bearer key: {BEARER_KEY}; interrupt to end");
    Ok(())
}

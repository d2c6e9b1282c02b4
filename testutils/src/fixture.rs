//! A small deployment with known names, and the requests that tests send.

use eyre::{Result, WrapErr};
use http::Method;
use serde_json::{Value, json};

use crate::{
    client::Call,
    deployment::{self, Deployment},
    wait::eventually,
};

/// Bearer key of the workspace `demo`, which has no limit.
pub const DEMO_KEY: &str = "demo-key";
/// Bearer key of the workspace `small`, which is limited to one request at a
/// time.
pub const SMALL_KEY: &str = "small-key";
/// Data centre of the endpoints and of the nodes with odd numbers.
pub const FIRST_DATA_CENTRE: &str = "plovdiv";
/// Data centre of the nodes with even numbers.
pub const SECOND_DATA_CENTRE: &str = "stara-zagora";
/// Model and adapter that the engines have loaded.
pub const MODELS: [&str; 2] = ["tally-7b", "disputes"];

/// The size of the deployment to start.
///
/// Nodes are named `entry-1`, ..., engines `tally-1`, ..., ledgers `ledger-1`,
/// ....
#[derive(Clone, Debug)]
pub struct Fixture {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of plain services.
    pub ledgers: usize,
    /// Additional lines for the nodes' settings, in YAML.
    pub settings: String,
}

impl Default for Fixture {
    fn default() -> Self {
        Self {
            nodes: 2,
            engines: 2,
            ledgers: 1,
            settings: String::new(),
        }
    }
}

/// Returns the operators' configuration of the fixture, in YAML.
///
/// The service `empty-app` has no endpoints, so calls of `/nowhere` can't be
/// served.
#[must_use]
pub fn configuration() -> String {
    let (key, small) = (
        deployment::hash_bearer_key(DEMO_KEY),
        deployment::hash_bearer_key(SMALL_KEY),
    );
    format!(
        "tiers: [gate, dispute, summary, tag]
services:
  tally-llm: {{kind: model, models: [tally-7b], adapters: [disputes], window: 40000}}
  yard-app: {{kind: plain, window: 64}}
  empty-app: {{kind: plain, window: 64}}
calls:
  chat: {{service: tally-llm, method: POST, path: /v1/chat/completions, tier: dispute, deadline: 120s, idempotent: true}}
  gate-chat: {{service: tally-llm, method: POST, path: /v1/chat/completions, model: disputes, tier: gate, deadline: 120s, idempotent: true}}
  pay: {{service: yard-app, method: POST, path: /payments, tier: gate, deadline: 120s, idempotent: false}}
  tickets: {{service: yard-app, method: GET, path: \"/tickets/*\", tier: summary, deadline: 120s, idempotent: true}}
  nowhere: {{service: empty-app, method: GET, path: /nowhere, tier: tag, deadline: 2s, idempotent: true}}
workspaces:
  demo: {{keys: [\"{key}\"], share: 1}}
  small: {{keys: [\"{small}\"], share: 1, limit: 1}}
"
    )
}

impl Fixture {
    /// Returns a fixture with one node.
    #[must_use]
    pub fn single() -> Self {
        Self {
            nodes: 1,
            ..Self::default()
        }
    }

    /// Starts all programs, applies the configuration and waits until every node
    /// uses it.
    ///
    /// # Errors
    ///
    /// Fails if a program does not start or become ready.
    pub async fn start(&self) -> Result<Deployment> {
        let mut deployment = Deployment::start().await?;
        deployment.add_node_settings(&self.settings);
        for number in 1..=self.engines {
            let name = format!("tally-{number}");
            deployment
                .add_engine(&name, "tally-llm", FIRST_DATA_CENTRE, &MODELS)
                .await?;
        }
        for number in 1..=self.ledgers {
            let name = format!("ledger-{number}");
            deployment
                .add_ledger(&name, "yard-app", FIRST_DATA_CENTRE)
                .await?;
        }
        for number in 1..=self.nodes {
            let data_centre = if number % 2 == 1 {
                FIRST_DATA_CENTRE
            } else {
                SECOND_DATA_CENTRE
            };
            let name = format!("entry-{number}");
            deployment.add_node(&name, data_centre).await?;
        }
        deployment.apply_configuration(&configuration()).await?;
        deployment.wait_until_converged(1).await?;
        Ok(deployment)
    }
}

impl Deployment {
    /// Waits until every node is ready, knows every other node and every
    /// endpoint, and uses this configuration generation or a later one.
    ///
    /// # Errors
    ///
    /// Fails if a node has not converged in time.
    pub async fn wait_until_converged(&self, generation: u64) -> Result<()> {
        self.wait_until_ready().await?;
        let names = self.node_names();
        for name in &names {
            let what = format!("{name} uses generation {generation} and knows all members");
            eventually(&what, async || {
                let status = self.status(name).await.ok()?;
                let has_length = |list: &str, length: usize| {
                    status[list].as_array().map(Vec::len) == Some(length)
                };
                let is_current = status["generation"].as_u64()? >= generation;
                let knows_peers = has_length("peers", names.len() - 1);
                let knows_endpoints = has_length("endpoints", self.endpoint_names().len());
                (is_current && knows_peers && knows_endpoints).then_some(())
            })
            .await
            .wrap_err(format!("status of {name}: {:?}", self.status(name).await))?;
        }
        Ok(())
    }

    /// Prepares a request to a node with the bearer key [`DEMO_KEY`].
    ///
    /// # Errors
    ///
    /// Fails if the node is unknown.
    pub fn call(&self, node: &str, method: Method, path: &str) -> Result<Call> {
        Ok(Call::new(&self.caller_address(node)?, method, path).bearer_key(DEMO_KEY))
    }

    /// Prepares a request for a streamed chat completion.
    ///
    /// # Errors
    ///
    /// Fails if the node is unknown.
    pub fn chat(&self, node: &str, prompt: &str, tokens: u64) -> Result<Call> {
        let call = self.call(node, Method::POST, "/v1/chat/completions")?;
        Ok(call.json(&chat_body(prompt, tokens)))
    }

    /// Prepares a payment with this idempotency key.
    ///
    /// # Errors
    ///
    /// Fails if the node is unknown.
    pub fn pay(&self, node: &str, key: &str) -> Result<Call> {
        let call = self.call(node, Method::POST, "/payments")?;
        let call = call.header("idempotency-key", key);
        Ok(call.json(&json!({"payment": key})))
    }

    /// Returns how often the plain services executed the payment with this
    /// idempotency key.
    ///
    /// # Errors
    ///
    /// Fails if an endpoint does not respond.
    pub async fn payment_runs(&self, key: &str) -> Result<u64> {
        let mut runs = 0;
        for name in self.endpoint_names() {
            let counts = self.counts(&name).await?;
            runs += counts["by_key"][key].as_u64().unwrap_or(0);
        }
        Ok(runs)
    }

    /// Waits until a counter of an endpoint is at least `minimum`.
    ///
    /// # Errors
    ///
    /// Fails if that does not happen in time.
    pub async fn wait_for_count(&self, endpoint: &str, counter: &str, minimum: u64) -> Result<()> {
        let what = format!("{counter} of {endpoint} is at least {minimum}");
        eventually(&what, async || {
            let counts = self.counts(endpoint).await.ok()?;
            (counts[counter].as_u64()? >= minimum).then_some(())
        })
        .await
    }
}

/// Builds the body of a request for a streamed chat completion.
#[must_use]
pub fn chat_body(prompt: &str, tokens: u64) -> Value {
    json!({
        "model": MODELS[0],
        "stream": true,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}],
    })
}

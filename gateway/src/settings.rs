//! The settings of a gateway.

use std::{fmt, net::SocketAddr, str::FromStr, time::Duration};

use dottereltally_lib::{budget, id, quota};
use serde::Deserialize;

/// A fault in the settings; the text names the field and the remedy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {message}")]
pub struct Fault {
    /// The field.
    pub field: String,
    /// What is wrong and what to do.
    pub message: String,
}

/// Checked settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The node's name.
    pub node: id::Node,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Part of a core that the node may use.
    pub processor_share: f64,
    /// Where it listens.
    pub listen: Listen,
    /// Address of the key-value service.
    pub store: String,
    /// Addresses of nodes to ask while the store is away.
    pub seeds: Vec<SocketAddr>,
    /// Times that are promised.
    pub bounds: Bounds,
    /// Repeated sends.
    pub retries: budget::Terms,
    /// What is tolerated beyond a quota.
    pub quotas: quota::Tolerance,
}

/// Addresses to listen on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's checks.
    pub health: SocketAddr,
    /// For other nodes, streams.
    pub peers: SocketAddr,
    /// For other nodes, datagrams.
    pub beats: SocketAddr,
    /// For metrics.
    pub operations: SocketAddr,
}

/// Times that are promised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// An endpoint gets nothing this long after it said that it leaves.
    pub drain: Duration,
    /// A plan is in force this long after it was accepted.
    pub apply: Duration,
    /// A process has this long to end.
    pub grace: Duration,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct WireSettings {
    node: String,
    data_centre: String,
    #[serde(default = "whole_core")]
    processor_share: f64,
    listen: WireListen,
    store: String,
    #[serde(default)]
    seeds: Vec<String>,
    bounds: WireBounds,
    retries: WireRetries,
    quotas: WireQuotas,
}

fn whole_core() -> f64 {
    1.0
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct WireListen {
    callers: String,
    health: String,
    peers: String,
    beats: String,
    operations: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct WireBounds {
    drain_ms: f64,
    apply_ms: f64,
    grace_s: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct WireRetries {
    ratio: f64,
    allowance: f64,
    window_s: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct WireQuotas {
    tolerated_part: f64,
    tolerated_tokens: f64,
    window_s: f64,
}

/// Collects every fault of a settings file.
#[derive(Default)]
struct Check {
    faults: Vec<Fault>,
}

impl Check {
    fn fault(&mut self, field: &str, message: impl fmt::Display) {
        self.faults.push(Fault {
            field: field.to_owned(),
            message: message.to_string(),
        });
    }

    fn address(&mut self, field: &str, text: &str) -> SocketAddr {
        SocketAddr::from_str(text).unwrap_or_else(|_| {
            self.fault(
                field,
                format_args!("`{text}` is no address; write `IP:PORT`"),
            );
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    fn seconds(&mut self, field: &str, value: f64) -> Duration {
        Duration::try_from_secs_f64(value).unwrap_or_else(|_| {
            self.fault(
                field,
                format_args!("`{value}` is no time; write a positive number"),
            );
            Duration::ZERO
        })
    }

    fn name(&mut self, field: &str, text: &str) {
        if text.is_empty() {
            self.fault(field, "is empty; write a name");
        }
    }

    fn positive(&mut self, field: &str, value: f64) -> f64 {
        if value.is_finite() && value >= 0.0 {
            return value;
        }
        self.fault(
            field,
            format_args!("`{value}` is out of range; write zero or more"),
        );
        0.0
    }
}

/// Reads settings from YAML.
///
/// # Errors
///
/// Fails with every fault that the file has.
pub fn parse(content: &str) -> Result<Settings, Vec<Fault>> {
    let wire: WireSettings = serde_saphyr::from_str(content).map_err(|error| {
        let text = error.to_string();
        let message = format!(
            "{}; see docs/configuration.md for the fields",
            text.lines().next().unwrap_or("unreadable")
        );
        vec![Fault {
            field: "settings".to_owned(),
            message,
        }]
    })?;
    let mut check = Check::default();
    check.name("node", &wire.node);
    check.name("data_centre", &wire.data_centre);
    check.address("store", &wire.store);
    let processor_share = check.positive("processor_share", wire.processor_share);
    let listen = Listen {
        callers: check.address("listen.callers", &wire.listen.callers),
        health: check.address("listen.health", &wire.listen.health),
        peers: check.address("listen.peers", &wire.listen.peers),
        beats: check.address("listen.beats", &wire.listen.beats),
        operations: check.address("listen.operations", &wire.listen.operations),
    };
    let mut seeds = Vec::new();
    for seed in &wire.seeds {
        seeds.push(check.address("seeds", seed));
    }
    let bounds = Bounds {
        drain: check.seconds("bounds.drain_ms", wire.bounds.drain_ms / 1e3),
        apply: check.seconds("bounds.apply_ms", wire.bounds.apply_ms / 1e3),
        grace: check.seconds("bounds.grace_s", wire.bounds.grace_s),
    };
    let retries = budget::Terms {
        ratio: check.positive("retries.ratio", wire.retries.ratio),
        allowance: check.positive("retries.allowance", wire.retries.allowance),
        window: check.seconds("retries.window_s", wire.retries.window_s),
    };
    let quotas = quota::Tolerance {
        part: check.positive("quotas.tolerated_part", wire.quotas.tolerated_part),
        excess: check.positive("quotas.tolerated_tokens", wire.quotas.tolerated_tokens),
        window: check.seconds("quotas.window_s", wire.quotas.window_s),
    };
    if !check.faults.is_empty() {
        return Err(check.faults);
    }
    Ok(Settings {
        node: id::Node::from(wire.node),
        data_centre: id::DataCentre::from(wire.data_centre),
        processor_share,
        listen,
        store: wire.store,
        seeds,
        bounds,
        retries,
        quotas,
    })
}

//! The settings of a gateway.

use std::{fmt, net::SocketAddr, str::FromStr, time::Duration};

use dottereltally::connections::{DEFAULT_DESCRIPTORS, RESERVED_DESCRIPTORS};
use dottereltally_lib::{budget, id, quota, rollout};
use dottereltally_store::ingress;
use serde::Deserialize;

/// A faulty setting; the text names the field and how to correct it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {message}")]
pub struct Fault {
    /// The field.
    pub field: String,
    /// What is wrong, and how to correct it.
    pub message: String,
}

/// Validated settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The node's name.
    pub node: id::Node,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Share of a processor core that the node may use, 1.0 for a whole one.
    pub processor_share: f64,
    /// Memory of the host, bytes.
    pub memory: usize,
    /// Descriptors that the process may open.
    pub descriptors: usize,
    /// Addresses that it listens on.
    pub listen: Listen,
    /// Address of the key-value service.
    pub store: String,
    /// Nodes to fetch the directory from while the key-value service is
    /// unavailable.
    pub seeds: Vec<SocketAddr>,
    /// Upper bounds of times.
    pub bounds: Bounds,
    /// Retry budget.
    pub retries: budget::Limits,
    /// Excess over a quota that is tolerated.
    pub quotas: quota::Tolerance,
    /// Limits of roll-outs.
    pub rollouts: rollout::Settings,
}

/// Addresses to listen on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's health checks.
    pub health: SocketAddr,
    /// For RPC calls of other nodes, TCP.
    pub peers: SocketAddr,
    /// For heartbeats of other nodes, UDP.
    pub heartbeats: SocketAddr,
    /// For the pages for operators, such as metrics.
    pub operations: SocketAddr,
}

/// Upper bounds of times that the node guarantees or must keep to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Longest time after an endpoint announced that it leaves until it gets no
    /// more requests.
    pub drain: Duration,
    /// Longest time after the platform accepted a plan until it is in force.
    pub apply: Duration,
    /// Time within which the process has to exit.
    pub grace: Duration,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct WireSettings {
    node: String,
    data_centre: String,
    #[serde(default = "default_processor_share")]
    processor_share: f64,
    memory_mb: Option<f64>,
    max_descriptors: Option<usize>,
    listen: WireListen,
    store: String,
    #[serde(default)]
    seeds: Vec<String>,
    bounds: WireBounds,
    retries: WireRetries,
    quotas: WireQuotas,
    #[serde(default)]
    rollouts: WireRollouts,
}

fn default_processor_share() -> f64 {
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

/// A limit that is missing or null has the default of [`rollout::Settings`].
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct WireRollouts {
    share: Option<f64>,
    allowance: Option<f64>,
    rollback_ms: Option<f64>,
}

/// Validates the fields of a settings file and collects every fault; a faulty
/// field gets a placeholder value, as the settings are then rejected.
#[derive(Default)]
struct Check {
    faults: Vec<Fault>,
}

impl Check {
    fn report(&mut self, field: &str, message: impl fmt::Display) {
        self.faults.push(Fault {
            field: field.to_owned(),
            message: message.to_string(),
        });
    }

    fn address(&mut self, field: &str, text: &str) -> SocketAddr {
        SocketAddr::from_str(text).unwrap_or_else(|_| {
            self.report(
                field,
                format_args!("`{text}` is not an address; write `IP:PORT`"),
            );
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    fn seconds(&mut self, field: &str, value: f64) -> Duration {
        Duration::try_from_secs_f64(value).unwrap_or_else(|_| {
            self.report(
                field,
                format_args!("`{value}` is not a duration; write a positive number"),
            );
            Duration::ZERO
        })
    }

    /// Returns a size in bytes.
    fn megabytes(&mut self, field: &str, value: f64) -> usize {
        if value.is_finite() && value >= 1.0 {
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "clamped to the range"
            )]
            let bytes = (value * 1e6).min(1e15) as usize;
            return bytes;
        }
        self.report(
            field,
            format_args!("`{value}` is out of range; write the memory of the host in MB"),
        );
        0
    }

    fn non_empty(&mut self, field: &str, text: &str) {
        if text.is_empty() {
            self.report(field, "is empty; write a name");
        }
    }

    fn rollouts(&mut self, wire: &WireRollouts) -> rollout::Settings {
        let mut settings = rollout::Settings::default();
        if let Some(share) = wire.share {
            match rollout::Share::try_from(share) {
                Ok(share) => settings.exposure = share,
                Err(error) => self.report("rollouts.share", format_args!("`{share}` is {error}")),
            }
        }
        if let Some(allowance) = wire.allowance {
            let whole = self.non_negative("rollouts.allowance", allowance);
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "not negative; saturates"
            )]
            let whole = whole as u32;
            settings.allowance = rollout::Requests(whole);
        }
        if let Some(rollback_ms) = wire.rollback_ms {
            settings.rollback = self.seconds("rollouts.rollback_ms", rollback_ms / 1e3);
        }
        settings
    }

    fn non_negative(&mut self, field: &str, value: f64) -> f64 {
        if value.is_finite() && value >= 0.0 {
            return value;
        }
        self.report(
            field,
            format_args!("`{value}` is out of range; write zero or more"),
        );
        0.0
    }
}

/// Parses and validates settings in YAML.
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
    check.non_empty("node", &wire.node);
    check.non_empty("data_centre", &wire.data_centre);
    check.address("store", &wire.store);
    let processor_share = check.non_negative("processor_share", wire.processor_share);
    let memory = match wire.memory_mb {
        Some(megabytes) => check.megabytes("memory_mb", megabytes),
        None => ingress::DEFAULT_HOST_BYTES,
    };
    let descriptors = wire.max_descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
    if descriptors <= RESERVED_DESCRIPTORS {
        check.report(
            "max_descriptors",
            format_args!(
                "`{descriptors}` is too small; write the descriptors of the process, more than \
                 {RESERVED_DESCRIPTORS}"
            ),
        );
    }
    let listen = Listen {
        callers: check.address("listen.callers", &wire.listen.callers),
        health: check.address("listen.health", &wire.listen.health),
        peers: check.address("listen.peers", &wire.listen.peers),
        heartbeats: check.address("listen.beats", &wire.listen.beats),
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
    let retries = budget::Limits {
        ratio: check.non_negative("retries.ratio", wire.retries.ratio),
        allowance: check.non_negative("retries.allowance", wire.retries.allowance),
        window: check.seconds("retries.window_s", wire.retries.window_s),
    };
    let quotas = quota::Tolerance {
        fraction: check.non_negative("quotas.tolerated_part", wire.quotas.tolerated_part),
        excess: check.non_negative("quotas.tolerated_tokens", wire.quotas.tolerated_tokens),
        window: check.seconds("quotas.window_s", wire.quotas.window_s),
    };
    let rollouts = check.rollouts(&wire.rollouts);
    if !check.faults.is_empty() {
        return Err(check.faults);
    }
    Ok(Settings {
        node: id::Node::from(wire.node),
        data_centre: id::DataCentre::from(wire.data_centre),
        processor_share,
        memory,
        descriptors,
        listen,
        store: wire.store,
        seeds,
        bounds,
        retries,
        quotas,
        rollouts,
    })
}

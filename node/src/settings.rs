//! The settings of one process.

use std::{fmt, fs, path::Path, time::Duration};

use derive_more::{Display, FromStr};
use dottereltally_lib::id;

mod check;
pub mod wire;

/// Reads a settings file.
///
/// # Errors
///
/// Fails with every fault of the file, each with its remedy.
pub fn read<T, F: fmt::Display>(
    path: &Path,
    parse: impl FnOnce(&str) -> Result<T, Vec<F>>,
) -> Result<T, Vec<String>> {
    let content = fs::read_to_string(path).map_err(|error| {
        let path = path.display();
        vec![format!(
            "{path}: {error}; name a readable file with `--settings`"
        )]
    })?;
    parse(&content).map_err(|faults| faults.iter().map(F::to_string).collect())
}

/// Checked settings of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The node's name.
    pub node: id::Node,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Where it listens.
    pub listen: Listen,
    /// Where the platform is.
    pub platform: Platform,
    /// Limits towards callers.
    pub limits: Limits,
    /// How it stops.
    pub shutdown: Shutdown,
    /// What it logs.
    pub log: Log,
}

/// Addresses to listen on; port 0 takes a free one.
#[derive(Clone, Debug)]
pub struct Listen {
    /// For callers.
    pub callers: String,
    /// For peers.
    pub peers: String,
    /// For operators: metrics, health, status.
    pub operations: String,
}

/// Addresses of the platform.
#[derive(Clone, Debug)]
pub struct Platform {
    /// Key-value service, `ip:port` each.
    pub kv: Vec<String>,
    /// Host list, `http://ip:port/path`.
    pub hosts: String,
    /// Time limit of one call.
    pub timeout: Duration,
}

/// Limits towards callers.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Size of a request's head, bytes.
    pub head: usize,
    /// Size of a request's body, bytes.
    pub body: usize,
    /// Time for a request's head to arrive.
    pub head_timeout: Duration,
    /// Time for a request's body to arrive.
    pub body_timeout: Duration,
    /// Time without a byte after which an endpoint's answer counts as stalled.
    pub inactivity: Duration,
}

/// How the node stops.
#[derive(Clone, Debug)]
pub struct Shutdown {
    /// Time that it goes on serving new requests while not ready.
    pub notice: Duration,
    /// Time for running requests to end.
    pub grace: Duration,
}

/// What the node logs.
#[derive(Clone, Copy, Debug)]
pub struct Log {
    /// Form of a line.
    pub format: Format,
    /// Least severe level that is logged.
    pub level: tracing::Level,
}

/// Form of a log line.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq)]
pub enum Format {
    /// A JSON object a line.
    #[display("json")]
    Json,
    /// Plain text.
    #[display("text")]
    Text,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            kv: Vec::new(),
            hosts: String::new(),
            timeout: Duration::from_secs(1),
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: 16 * 1024,
            body: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(30),
            inactivity: Duration::from_secs(20),
        }
    }
}

impl Default for Shutdown {
    fn default() -> Self {
        Self {
            notice: Duration::from_secs(1),
            grace: Duration::from_mins(1),
        }
    }
}

impl Default for Log {
    fn default() -> Self {
        Self {
            format: Format::Json,
            level: tracing::Level::INFO,
        }
    }
}

//! The settings of a node.

use std::{fmt, fs, path::Path, time::Duration};

use derive_more::{Display, FromStr};
use dottereltally_lib::id;

mod check;
pub mod wire;

/// Reads and parses a settings file.
///
/// # Errors
///
/// Fails with a message for each fault of the file and how to correct it.
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

/// Validated settings of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the node.
    pub node: id::Node,
    /// Data centre of the node.
    pub data_centre: id::DataCentre,
    /// Addresses on which the node listens.
    pub listen: Listen,
    /// Addresses of the platform.
    pub platform: Platform,
    /// Limits on requests.
    pub limits: Limits,
    /// How the node stops.
    pub shutdown: Shutdown,
    /// What the node logs.
    pub log: Log,
}

/// Addresses to listen on; port 0 chooses a free port.
#[derive(Clone, Debug)]
pub struct Listen {
    /// For callers.
    pub callers: String,
    /// For peers.
    pub peers: String,
    /// For operators: metrics, health, status.
    pub operations: String,
}

/// Addresses of the platform: the key-value service and the host list.
#[derive(Clone, Debug)]
pub struct Platform {
    /// Members of the key-value service, `ip:port` each.
    pub kv: Vec<String>,
    /// URL of the host list, `http://ip:port/path`.
    pub hosts: String,
    /// Time limit of one call to the platform.
    pub timeout: Duration,
}

/// Limits on requests and their responses.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Largest head of a request, bytes.
    pub head: usize,
    /// Largest body of a request, bytes.
    pub body: usize,
    /// Time limit for a request's head to arrive.
    pub head_timeout: Duration,
    /// Time limit for a request's body to arrive.
    pub body_timeout: Duration,
    /// Time without progress after which a response is ended: no byte comes from
    /// the endpoint, or the caller accepts none.
    pub inactivity: Duration,
}

/// How the node stops.
#[derive(Clone, Debug)]
pub struct Shutdown {
    /// Time during which the node is not ready but still serves new requests.
    pub notice: Duration,
    /// Time limit for running requests to end.
    pub grace: Duration,
}

/// What the node logs.
#[derive(Clone, Copy, Debug)]
pub struct Log {
    /// Format of a line.
    pub format: Format,
    /// Least severe level to log.
    pub level: tracing::Level,
}

/// Format of a log line.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq)]
pub enum Format {
    /// One JSON object per line.
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

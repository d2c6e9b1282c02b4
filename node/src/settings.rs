//! The settings of one process.

use std::time::Duration;

use dottereltally_lib::id;

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

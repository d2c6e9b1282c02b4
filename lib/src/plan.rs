//! Configuration of the gateway: routes, services and workspaces.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{id, route};

/// The complete configuration set by the operator, in one generation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Its generation; a higher one replaces a lower one.
    pub generation: id::Generation,
    /// The routes.
    pub routes: route::Table,
    /// The services.
    pub services: BTreeMap<id::Service, Service>,
    /// The workspaces; `None` if callers need no key.
    pub workspaces: Option<Workspaces>,
    /// Limits on requests and connections of callers.
    pub limits: Limits,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Maximum number of connections that one endpoint accepts from all nodes
    /// together.
    pub connections: u32,
    /// Whether its endpoints are model engines.
    pub engine: bool,
    /// Path at which its endpoints answer health checks.
    #[serde(default = "default_health_path")]
    pub health_path: String,
}

/// Returns the health check path of a service for which none is set.
fn default_health_path() -> String {
    "/health".to_owned()
}

/// All workspaces.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Workspaces {
    /// The workspaces by name.
    pub names: BTreeMap<id::Workspace, Workspace>,
    /// The workspace that each API key belongs to, by the key itself.
    pub keys: HashMap<String, id::Workspace>,
}

/// One workspace.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Tier of its requests, instead of the route's.
    pub tier: Option<id::Tier>,
    /// Quota shared by all its requests.
    pub quota: Option<Quota>,
}

/// Unit that a quota is counted in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unit {
    /// Each request costs one unit.
    Requests,
    /// Each request costs its prompt tokens and its maximum answer tokens. A
    /// request without token counts costs `default_tokens`.
    Tokens {
        /// Cost of a request without token counts, in tokens.
        #[serde(rename = "plain")]
        default_tokens: u64,
    },
}

/// Limit on a workspace's use of all nodes together, as a token bucket.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Units per second.
    pub rate: f64,
    /// Units that may be used beyond the rate at any moment: the size of the
    /// bucket, unless the nodes tolerate some excess over a window.
    pub burst: f64,
    /// Unit that is counted.
    pub unit: Unit,
}

impl Quota {
    /// Returns the cost in units of a request with this many tokens.
    #[must_use]
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            Unit::Requests => 1,
            Unit::Tokens { default_tokens } => tokens.unwrap_or(default_tokens),
        }
    }
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub head: usize,
    /// Maximum size of a request's body, in bytes.
    pub body: usize,
    /// Maximum time in which a request must arrive completely.
    pub receive: Duration,
    /// Maximum time that a connection may stay idle.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: 16 * 1024,
            body: 4 * 1024 * 1024,
            receive: Duration::from_secs(5),
            idle: Duration::from_mins(1),
        }
    }
}

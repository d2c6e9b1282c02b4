//! The configuration of a gateway as a whole: routes, services, workspaces.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{id, route};

/// Everything that an operator sets, in one generation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Its number; higher replaces lower.
    pub generation: id::Generation,
    /// The routes.
    pub routes: route::Table,
    /// The services.
    pub services: BTreeMap<id::Service, Service>,
    /// The workspaces; none if callers need no key.
    pub workspaces: Option<Workspaces>,
    /// Limits towards callers.
    pub limits: Limits,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Connections that one endpoint accepts from all nodes together.
    pub connections: u32,
    /// Whether its endpoints are model engines.
    pub engine: bool,
}

/// All workspaces.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Workspaces {
    /// The workspaces by name.
    pub names: BTreeMap<id::Workspace, Workspace>,
    /// Whose key it is.
    pub keys: HashMap<String, id::Workspace>,
}

/// One workspace.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Tier that replaces the one of the route.
    pub tier: Option<id::Tier>,
    /// What all its requests together may use.
    pub quota: Option<Quota>,
}

/// What counts against a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unit {
    /// Each request counts one.
    Requests,
    /// Tokens of prompt and longest answer; a request that tells none counts
    /// as `plain`.
    Tokens {
        /// Tokens of a request that tells none.
        plain: u64,
    },
}

/// Limit on the use of all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Units a second.
    pub rate: f64,
    /// Units beyond the rate at any moment.
    pub burst: f64,
    /// What is counted.
    pub unit: Unit,
}

impl Quota {
    /// Returns the units that a request with these tokens uses.
    #[must_use]
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            Unit::Requests => 1,
            Unit::Tokens { plain } => tokens.unwrap_or(plain),
        }
    }
}

/// Limits towards callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Size of a request's head, bytes.
    pub head: usize,
    /// Size of a request's body, bytes.
    pub body: usize,
    /// Time for a request to arrive.
    pub receive: Duration,
    /// Time that a connection may stay idle.
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

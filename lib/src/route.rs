//! Routes: which service serves a request, and with which limits.

use std::{collections::HashMap, sync::Arc, time::Duration};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::id;

/// What may be retried after an endpoint may have run the request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Retry {
    /// Nothing: the request runs at most once.
    #[display("never")]
    Never,
    /// The whole request.
    #[display("whole")]
    Whole,
    /// The rest of its stream, starting after the last event passed to the
    /// caller.
    #[display("resume")]
    Resume,
}

/// A service that a route sends requests to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: id::Service,
    /// Its share of the requests, relative to the other targets.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: id::Route,
    /// Host that it applies to, in lower case and without a port.
    pub host: String,
    /// Path prefix that it applies to; starts and ends with a slash.
    pub prefix: String,
    /// Services that its requests are split between.
    pub targets: Vec<Target>,
    /// What may be retried.
    #[serde(rename = "repeat")]
    pub retry: Retry,
    /// Whether its answers are streams of events.
    pub streaming: bool,
    /// Maximum time that a request may take.
    pub timeout: Duration,
    /// Maximum time to first byte of an answer that counts as on time.
    pub objective: Duration,
    /// Maximum pause between two events of a stream that counts as on time.
    pub pause: Option<Duration>,
    /// Time without an event after which callers give up on a stream.
    pub patience: Option<Duration>,
    /// Its tier.
    pub tier: id::Tier,
    /// Maximum number of endpoints that one request is sent to.
    pub attempts: u32,
    /// Whether it serves callers without a key.
    pub anonymous: bool,
}

impl Route {
    /// Returns the target service for a request hash.
    #[must_use]
    pub fn service(&self, hash: u64) -> Option<&id::Service> {
        let total: u64 = self
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        let mut point = hash.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if point < weight {
                return Some(&target.service);
            }
            point -= weight;
        }
        None
    }
}

/// All routes, by host and prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<Route>", into = "Vec<Route>")]
pub struct Table {
    hosts: HashMap<String, HashMap<String, Arc<Route>>>,
}

impl Table {
    /// Returns the route with the longest prefix of the path.
    ///
    /// `host` may include a port.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = match host.rsplit_once(':') {
            Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
            _ => host,
        };
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        let mut rest = path;
        while let Some(slash) = rest.rfind('/') {
            if let Some(route) = routes.get(&rest[..=slash]) {
                return Some(route);
            }
            rest = &rest[..slash];
        }
        None
    }

    /// Returns all routes.
    pub fn iter(&self) -> impl Iterator<Item = &Route> {
        let routes = self.hosts.values().flat_map(HashMap::values);
        routes.map(Arc::as_ref)
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }

    /// Returns whether there is no route.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}

impl FromIterator<Route> for Table {
    fn from_iter<I: IntoIterator<Item = Route>>(routes: I) -> Self {
        let mut table = Self::default();
        for route in routes {
            let host = table.hosts.entry(route.host.to_ascii_lowercase());
            host.or_default()
                .insert(route.prefix.clone(), Arc::new(route));
        }
        table
    }
}

impl From<Vec<Route>> for Table {
    fn from(routes: Vec<Route>) -> Self {
        routes.into_iter().collect()
    }
}

impl From<Table> for Vec<Route> {
    fn from(table: Table) -> Self {
        let routes = table.hosts.into_values().flat_map(HashMap::into_values);
        routes.map(Arc::unwrap_or_clone).collect()
    }
}

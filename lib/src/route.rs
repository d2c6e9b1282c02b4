//! Routes: which service serves a request, and how it may be treated.

use std::{collections::HashMap, sync::Arc, time::Duration};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::id;

/// What may be sent again after an endpoint may have run it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// Nothing: the request runs once at most.
    #[display("never")]
    Never,
    /// The whole request.
    #[display("whole")]
    Whole,
    /// The rest of its stream, from the last event that was passed on.
    #[display("resume")]
    Resume,
}

/// A service that a route leads to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: id::Service,
    /// Its part of the requests, relative to the other targets.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: id::Route,
    /// Host that it belongs to, lower case, without a port.
    pub host: String,
    /// Path that it begins with; starts and ends with a slash.
    pub prefix: String,
    /// Where its requests go.
    pub targets: Vec<Target>,
    /// What may be sent again.
    pub repeat: Repeat,
    /// Whether its answers are streams of events.
    pub streaming: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time to the first byte within which an answer is on time.
    pub objective: Duration,
    /// Longest pause between two events of a stream that is on time.
    pub pause: Option<Duration>,
    /// Time without an event after which callers abandon a stream.
    pub patience: Option<Duration>,
    /// Its tier.
    pub tier: id::Tier,
    /// Endpoints that one request may be sent to.
    pub attempts: u32,
    /// Whether it serves callers without a key.
    pub anonymous: bool,
}

impl Route {
    /// Returns the service for a request with this hash.
    #[must_use]
    pub fn service(&self, hash: u64) -> Option<&id::Service> {
        let total: u64 = self.targets.iter().map(|each| u64::from(each.weight)).sum();
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
    /// Returns the route of the longest prefix that the path begins with.
    ///
    /// `host` may carry a port.
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

//! Dependency graph of the services.

use std::collections::{BTreeMap, BTreeSet};

use crate::{configuration::Service, id};

/// Returns every set of services that depend on each other in a cycle, each once.
#[must_use]
pub fn cycles(services: &BTreeMap<id::Service, Service>) -> Vec<Vec<id::Service>> {
    let mut found = Vec::new();
    let mut done = BTreeSet::new();
    for name in services.keys() {
        if done.contains(name) {
            continue;
        }
        let reached = closure(services, name);
        if !reached.contains(name) {
            continue;
        }
        let cycle: Vec<id::Service> = reached
            .into_iter()
            .filter(|other| closure(services, other).contains(name))
            .collect();
        done.extend(cycle.iter().cloned());
        found.push(cycle);
    }
    found
}

/// Returns every service that `name` depends on, directly or transitively.
#[must_use]
pub fn closure(
    services: &BTreeMap<id::Service, Service>,
    name: &id::Service,
) -> BTreeSet<id::Service> {
    let mut reached = BTreeSet::new();
    let mut to_visit = vec![name];
    while let Some(next) = to_visit.pop() {
        let Some(service) = services.get(next) else {
            continue;
        };
        for dependency in &service.depends_on {
            if reached.insert(dependency.clone()) {
                to_visit.push(dependency);
            }
        }
    }
    reached
}

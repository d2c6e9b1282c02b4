//! The graph of what services depend on.

use std::collections::{BTreeMap, BTreeSet};

use crate::{id, text::Service};

/// Returns the services of every cycle, each cycle once.
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

/// Returns every service that `name` depends on, directly or not.
#[must_use]
pub fn closure(
    services: &BTreeMap<id::Service, Service>,
    name: &id::Service,
) -> BTreeSet<id::Service> {
    let mut reached = BTreeSet::new();
    let mut open = vec![name];
    while let Some(next) = open.pop() {
        let Some(service) = services.get(next) else {
            continue;
        };
        for needed in &service.depends_on {
            if reached.insert(needed.clone()) {
                open.push(needed);
            }
        }
    }
    reached
}

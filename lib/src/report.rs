//! State of endpoints and services, as shown to operators.

use derive_more::Display;
use serde::{Serialize, Serializer};

use crate::{
    configuration,
    fleet::{self, Health},
    id,
    scheduler::Scheduler,
    size, time,
};

/// Whether an endpoint gets new work, and the reason if not.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum State {
    /// It gets new work.
    #[display("open")]
    Open,
    /// It finishes its requests and gets no new work.
    #[display("leaving")]
    Leaving,
    /// It did not answer the last probe.
    #[display("dead")]
    Dead,
    /// A probe on a new connection has no result yet.
    #[display("probing")]
    Probing,
    /// It refused a connection or a request moments ago.
    #[display("avoided")]
    Avoided,
    /// It is reserved for a suspect request.
    #[display("reserved")]
    Reserved,
}

impl Serialize for State {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// One endpoint as this node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Endpoint {
    /// Its name.
    pub name: id::Endpoint,
    /// The service that it serves.
    pub service: id::Service,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Whether it gets new work, and the reason if not.
    pub state: State,
    /// Tokens that this node may have in flight there.
    pub window: size::Tokens,
    /// Tokens that this node has in flight there.
    pub in_flight: size::Tokens,
    /// Requests that this node has in flight there.
    pub requests: u32,
}

/// One service as this node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Service {
    /// Its name.
    pub name: id::Service,
    /// Number of its endpoints that get new work.
    pub open: usize,
    /// Services that it depends on, also indirectly, without an open endpoint.
    pub missing: Vec<id::Service>,
}

impl Scheduler {
    /// Returns every endpoint of the host list, ordered by name.
    #[must_use]
    pub fn endpoints(&self, now: time::Instant) -> Vec<Endpoint> {
        let mut endpoints = Vec::new();
        for slot in self.fleet.slots() {
            let Some(endpoint) = self.fleet.get(slot).filter(|endpoint| endpoint.listed) else {
                continue;
            };
            endpoints.push(Endpoint {
                name: endpoint.record.id.clone(),
                service: endpoint.record.service.clone(),
                data_centre: endpoint.record.data_centre.clone(),
                state: state(endpoint, now),
                window: size::Tokens(endpoint.window.limit()),
                in_flight: size::Tokens(endpoint.own_tokens),
                requests: endpoint.own_requests,
            });
        }
        endpoints.sort_by(|left, right| left.name.cmp(&right.name));
        endpoints
    }

    /// Returns every service of the configuration, ordered by name.
    #[must_use]
    pub fn services(&self, now: time::Instant) -> Vec<Service> {
        let Some(configuration) = &self.configuration else {
            return Vec::new();
        };
        let mut services = Vec::new();
        for name in configuration.services.keys() {
            let mut missing = Vec::new();
            for needed in configuration::graph::closure(&configuration.services, name) {
                if self.open_endpoints(now, &needed) == 0 {
                    missing.push(needed);
                }
            }
            services.push(Service {
                name: name.clone(),
                open: self.open_endpoints(now, name),
                missing,
            });
        }
        services
    }

    fn open_endpoints(&self, now: time::Instant, service: &id::Service) -> usize {
        let endpoints = self.fleet.of_service(service).iter();
        let endpoints = endpoints.filter_map(|&slot| self.fleet.get(slot));
        endpoints
            .filter(|endpoint| endpoint.listed && state(endpoint, now) == State::Open)
            .count()
    }
}

fn state(endpoint: &fleet::Endpoint, now: time::Instant) -> State {
    if endpoint.is_leaving() {
        return State::Leaving;
    }
    match endpoint.health {
        Health::Dead(_) => return State::Dead,
        Health::Probing(_) => return State::Probing,
        Health::Healthy => {}
    }
    if endpoint.avoided_until > now {
        return State::Avoided;
    }
    if endpoint.reserved.is_some() {
        return State::Reserved;
    }
    State::Open
}

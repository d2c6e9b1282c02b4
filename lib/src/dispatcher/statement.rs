//! What endpoints say about themselves in answers: limits, departures, pauses, and the
//! rejections that they bear.

use std::{
    collections::{BTreeMap, HashMap},
    mem,
    time::Duration,
};

use rand::Rng;
use xxhash_rust::xxh3;

use crate::{
    dispatcher::{Dispatcher, Effect, limit, rejection, slow_start},
    id,
    notice::{self, Notice},
    share::Rate,
    time,
};

/// Time for which the other nodes are informed that an endpoint leaves.
const DEPARTURE_REPORT_TIME: Duration = Duration::from_mins(1);

/// What an answer of an endpoint changed beside its limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NoticeChange {
    /// It said for the first time that it leaves.
    pub is_leaving: bool,
    /// It wants no requests of this node for this time.
    pub paused: Option<Duration>,
    /// It named for the first time how many rejections in a second it bears.
    pub bears: Option<u32>,
    /// A statement can't be read, after an answer in which all could be.
    pub is_unreadable: bool,
}

impl Dispatcher {
    /// Records what an endpoint said about its limit in an answer; `None` lifts it.
    /// Returns the change, if it is one.
    pub fn record_limit(
        &mut self,
        now: time::Instant,
        name: &id::Endpoint,
        rate: Option<Rate>,
    ) -> (Option<limit::Change>, Vec<Effect>) {
        let change = self.state_limit(now, now, name, rate);
        if change.is_some() {
            self.dispatch_all(now);
        }
        (change, mem::take(&mut self.effects))
    }

    /// Records a limit that can't be read, which changes nothing; returns whether it is
    /// the endpoint's first one since its last readable answer with a limit.
    pub fn record_unreadable_limit(&mut self, name: &id::Endpoint) -> bool {
        let member = self.members.get_mut(name);
        member.is_some_and(|member| member.limit.record_unreadable())
    }

    /// Records what another node knows about limits; returns the changes.
    pub fn record_peer_limits(
        &mut self,
        now: time::Instant,
        node: &id::Node,
        reports: &[limit::Report],
    ) -> Vec<(id::Endpoint, limit::Change)> {
        let mut changes = Vec::new();
        let mut demand = HashMap::new();
        for report in reports {
            let change = self.state_limit(now, now - report.age, &report.endpoint, report.rate);
            changes.extend(change.map(|change| (report.endpoint.clone(), change)));
            demand.insert(report.endpoint.clone(), report.demand);
        }
        self.limit_reports.record(now, node, demand);
        changes
    }

    fn state_limit(
        &mut self,
        now: time::Instant,
        at: time::Instant,
        name: &id::Endpoint,
        rate: Option<Rate>,
    ) -> Option<limit::Change> {
        let member = self.members.get_mut(name)?;
        if rate.is_none() && !member.limit.was_named() {
            return None;
        }
        member.limit.state(now, at, rate, self.rng.random())
    }

    /// Returns what this node knows about limits, for the other nodes.
    #[must_use]
    pub fn limits(&self, now: time::Instant) -> Vec<limit::Report> {
        let mut reports = Vec::new();
        for member in self.members.values() {
            let queue = self.queues.get(&member.record.service);
            let demand = queue.map_or(0.0, |queue| queue.demand.get(now));
            reports.extend(member.limit.report(now, &member.record.id, demand));
        }
        reports
    }

    /// Records what an endpoint said about itself in an answer, beside its limit.
    /// Returns what changed.
    pub fn record_notice(
        &mut self,
        now: time::Instant,
        name: &id::Endpoint,
        notice: &Notice,
    ) -> (NoticeChange, Vec<Effect>) {
        let mut change = NoticeChange::default();
        let Some(member) = self.members.get_mut(name) else {
            return (change, Vec::new());
        };
        let was_unreadable = member.is_unreadable;
        member.is_unreadable = !notice.unreadable.is_empty();
        change.is_unreadable = member.is_unreadable && !was_unreadable;
        let capacity = member.capacity();
        if notice.brittle.is_some() || member.tolerance.is_limited(now) {
            change.bears = notice.brittle.filter(|_| !member.tolerance.is_stated(now));
            member.tolerance.state(now, notice.brittle, capacity);
            let service = member.record.service.clone();
            self.assume_tolerance(now, &service, notice.brittle);
        }
        let Some(member) = self.members.get_mut(name) else {
            return (change, Vec::new());
        };
        if let Some(pause) = notice.pause {
            member.pause(now, pause);
            change.paused = Some(pause);
            self.begin_slow_start(now, name, slow_start::Cause::Paused);
        }
        let Some(member) = self.members.get_mut(name) else {
            return (change, Vec::new());
        };
        if notice.is_leaving {
            let (address, started) = (member.record.address.clone(), member.started_ms);
            let departures = &mut self.departures;
            change.is_leaving = departures.record(now, name, Some(&address), started);
        }
        if change.is_leaving {
            self.update_departures();
            self.refuse_without_candidate(now);
            self.dispatch_all(now);
        }
        (change, mem::take(&mut self.effects))
    }

    /// Records that a notice of leaving was not of the listed process of an endpoint, but of one
    /// that started at `found_ms`, in milliseconds since the Unix epoch.
    pub fn record_found_leaving(&mut self, name: &id::Endpoint, found_ms: u64) {
        self.departures.record_found(name, found_ms);
        self.update_departures();
    }

    /// Records what another node knows about endpoints from answers; returns those that
    /// this node now knows to leave.
    pub fn record_peer_notices(
        &mut self,
        now: time::Instant,
        node: &id::Node,
        reports: &[notice::Report],
    ) -> Vec<id::Endpoint> {
        let mut leaving = Vec::new();
        for report in reports {
            let member = self.members.get_mut(&report.endpoint);
            let started_ms = member.as_ref().and_then(|member| member.started_ms);
            if let (Some(member), Some(brittle)) = (member, &report.brittle) {
                let capacity = member.capacity();
                member.tolerance.apply(now, node, brittle, capacity);
                let service = member.record.service.clone();
                self.assume_tolerance(now, &service, Some(brittle.most));
            }
            let Some(age) = report.leaving else {
                continue;
            };
            let is_other = started_ms.zip(report.started_ms);
            if is_other.is_some_and(|(own, other)| own != other) {
                continue;
            }
            let started_ms = report.started_ms.or(started_ms);
            let name = &report.endpoint;
            if self.departures.record(now - age, name, None, started_ms) {
                leaving.push(name.clone());
            }
        }
        if !leaving.is_empty() {
            self.update_departures();
        }
        leaving
    }

    /// Returns what this node knows about endpoints from answers, for the other nodes.
    #[must_use]
    pub fn notices(&self, now: time::Instant) -> Vec<notice::Report> {
        let mut reports = BTreeMap::new();
        for (name, at, started_ms) in self.departures.iter() {
            let age = now.since(at);
            if age > DEPARTURE_REPORT_TIME {
                continue;
            }
            let report = notice::Report {
                endpoint: name.clone(),
                started_ms,
                leaving: Some(age),
                brittle: None,
            };
            reports.insert(name, report);
        }
        for (name, member) in &self.members {
            let Some(brittle) = member.tolerance.report(now) else {
                continue;
            };
            let report = reports.entry(name).or_insert_with(|| notice::Report {
                endpoint: name.clone(),
                started_ms: member.started_ms,
                leaving: None,
                brittle: None,
            });
            report.brittle = Some(brittle);
        }
        reports.into_values().collect()
    }

    /// Returns the endpoints of a service that this node must not use now, which other
    /// nodes may not know: they leave, or want no requests of this node.
    #[must_use]
    pub fn unusable(&self, now: time::Instant, service: &id::Service) -> Vec<id::Endpoint> {
        let mut unusable = Vec::new();
        let Some(queue) = self.queues.get(service) else {
            return unusable;
        };
        for name in &queue.endpoints {
            let Some(member) = self.members.get(name) else {
                continue;
            };
            if member.has_left || member.is_paused(now) {
                unusable.push(name.clone());
            }
        }
        unusable
    }

    /// Returns whether an endpoint wants no requests of this node now.
    #[must_use]
    pub fn is_paused(&self, now: time::Instant, name: &id::Endpoint) -> bool {
        let member = self.members.get(name);
        member.is_some_and(|member| member.is_paused(now))
    }

    /// Updates which endpoints may get requests after they said that they leave, or
    /// started again.
    pub(super) fn update_departures(&mut self) {
        for (name, member) in &mut self.members {
            let address = Some(member.record.address.as_str());
            member.has_left = self.departures.has_left(name, address, member.started_ms);
        }
        self.group_by_service();
    }

    /// Returns the number of listed endpoints that name a limit.
    #[must_use]
    pub fn limited_endpoints(&self) -> usize {
        let listed = self.members.values().filter(|member| member.listed);
        listed
            .filter(|member| member.limit.rate().is_some())
            .count()
    }

    /// Records a request to an endpoint that was not chosen here, such as a health
    /// check.
    pub fn record_direct_request(&mut self, name: &id::Endpoint) {
        if let Some(member) = self.members.get_mut(name) {
            member.limit.spend();
        }
    }

    /// Records when an endpoint's process started, in milliseconds since the Unix epoch.
    /// A limit ends with the process that named it.
    pub fn record_started(&mut self, now: time::Instant, name: &id::Endpoint, started_ms: u64) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        let before = member.started_ms.replace(started_ms);
        if before == Some(started_ms) {
            return;
        }
        if before.is_some() {
            member.limit.reset(now);
            member.reset_speed();
            member.paused_until = time::Instant::default();
        }
        if member.has_left {
            self.update_departures();
        }
        if before.is_some() {
            self.begin_slow_start(now, name, slow_start::Cause::Started);
        }
    }

    /// Adds the permits that accrued for the limited endpoints of a service.
    pub(super) fn accrue_permits(&mut self, now: time::Instant, service: &id::Service) {
        self.limit_reports.expire(now);
        let Some(queue) = self.queues.get(service) else {
            return;
        };
        let demand = queue.demand.get(now);
        for name in &queue.endpoints {
            let Some(member) = self.members.get_mut(name) else {
                continue;
            };
            if member.limit.rate().is_none() {
                continue;
            }
            let share = self.limit_reports.share(name, demand, self.node_count);
            member.limit.accrue(now, share);
        }
    }

    /// Remembers what an endpoint of a service bears, and assumes the same of those that
    /// have not answered yet: processes of one service mostly are alike, and one that starts
    /// under load would fall over before it says anything.
    fn assume_tolerance(&mut self, now: time::Instant, service: &id::Service, most: Option<u32>) {
        let Some(queue) = self.queues.get_mut(service) else {
            return;
        };
        if mem::replace(&mut queue.tolerated_rejections, most) == most {
            return;
        }
        self.assume_tolerances(now);
    }

    /// Assumes of endpoints that have not answered yet what others of their services bear.
    pub(super) fn assume_tolerances(&mut self, now: time::Instant) {
        for queue in self.queues.values() {
            let Some(most) = queue.tolerated_rejections else {
                continue;
            };
            for name in &queue.endpoints {
                let Some(member) = self.members.get_mut(name) else {
                    continue;
                };
                let capacity = member.capacity();
                member.tolerance.assume(now, most, capacity);
            }
        }
    }

    /// Updates this node's part of the places of endpoints that bear few rejections.
    pub(super) fn update_shares(&mut self) {
        let nodes = self.node_count;
        for (name, member) in &mut self.members {
            let hash = xxh3::xxh3_64_with_seed(name.as_str().as_bytes(), self.settings.seed);
            let draw = rejection::fraction(hash);
            member.tolerance.set_share(rejection::Share { nodes, draw });
        }
    }
}

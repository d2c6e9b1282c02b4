//! Roll-outs: what this node knows of them, counts for them and lets requests do.
//!
//! [`dottereltally_lib::rollout`] decides. This module holds the orders and records that
//! the directory and other nodes name, sums up what the nodes count, and gives each request
//! the versions that may serve it. It knows nothing of the request path, which uses it
//! through [`Handle`].

mod evidence;
pub mod expectation;
pub mod wire;
mod writer;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use dottereltally::clock::Clock;
use dottereltally_lib::{
    endpoint, era,
    exchange::Scope,
    id,
    rollout::{
        Controller, Counts, Filter, Group, Phase, Report, Settings, Spec, State, Step, Weight,
    },
    time,
};
use tokio::sync::watch;

pub use self::writer::run;
use self::{evidence::Evidence, expectation::Expectation};
use crate::{
    directory::{Record, Replacement},
    metrics::Metrics,
    sync::lock,
};

/// Time after which a node that was not heard from counts as silent: more than the two
/// longest intervals of heartbeats, 1 s each, and the shortest time for silence, 1.2 s.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time after which others no longer wait for a silent node: it stops sending to old versions
/// [`CONTACT_TIME`] after it was last in contact, and an interval of heartbeats and a call of
/// the source, 1 s each, lie between what both know.
const SILENCE_TIME: Duration = Duration::from_secs(5);

/// Time before its deadline from which a roll-out may be completed without the nodes that
/// are silent, with the time in which the order is read and the record written: a poll of
/// 1.5 s, a write of 0.5 s and 1 s for an interval of heartbeats.
const CUT_OFF_MARGIN: Duration = Duration::from_secs(3);

/// Time for which nodes report a roll-out that ended, so that those that did not read the last
/// record learn of it: ten contact times.
const REPORT_TIME: Duration = Duration::from_secs(30);

/// Most roll-outs in one heartbeat: each takes up to 3 KB, and a datagram is read up to 60 KB.
const MAX_REPORTS: usize = 8;

/// Name that no version has: requests that no version may serve are refused.
const NO_VERSION: &str = "\u{1}none";

/// Part of this node in the writing of records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Place {
    /// Place of this node among those that write records; `None` if it writes none.
    pub rank: Option<u32>,
    /// Nodes that are registered or heard, this one included.
    pub registered: u32,
}

/// The record in force at this node.
#[derive(Clone, Debug)]
struct Known {
    state: State,
    /// When it was first known.
    since: time::Instant,
}

/// The record that the source had when it was read last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Stored {
    revision: era::Revision,
    order: era::Revision,
    step: Step,
}

/// What is known of the roll-out of one service.
#[derive(Clone, Debug, Default)]
struct Rollout {
    order: Option<Spec>,
    /// When the order was first read.
    ordered: time::Instant,
    known: Option<Known>,
    stored: Option<Stored>,
    /// Weight in force: that of the record, or zero if the evidence condemns the target.
    weight: Weight,
    evidence: Evidence,
    expectation: Expectation,
    /// Versions that get no request while they are listed: targets of earlier orders that were
    /// not completed, and versions that a completed order replaced.
    excluded: BTreeSet<id::Version>,
    /// Whether the listed versions are to be excluded once they are known: the roll-out was
    /// completed before this node read them.
    excludes_listed: bool,
    writing: writer::Progress,
}

impl Rollout {
    /// Returns the step in force.
    fn step(&self) -> Step {
        self.known
            .as_ref()
            .map_or_else(Step::default, |known| known.state.step)
    }

    /// Returns whether its last step is in force.
    fn is_final(&self) -> bool {
        let known = self.known.as_ref();
        known.is_some_and(|known| known.state.phase.is_final())
    }

    /// Returns the version that requests move to, or were to move to.
    fn target(&self) -> Option<&id::Version> {
        match (&self.order, &self.known) {
            (Some(order), _) => Some(&order.target),
            (None, Some(known)) => Some(&known.state.target),
            (None, None) => None,
        }
    }

    /// Returns whether the evidence condemned the target since this step is in force.
    fn is_condemned(&self, state: &State) -> bool {
        state.phase == Phase::Running && self.weight == Weight::ZERO && state.weight != Weight::ZERO
    }

    /// Excludes the listed versions but the target, or those that are listed next if none is
    /// known yet.
    fn exclude_listed(&mut self, listed: Option<&[id::Version]>) {
        self.excludes_listed = listed.is_none_or(<[_]>::is_empty);
        let target = self.target().cloned();
        for version in listed.into_iter().flatten() {
            if Some(version) != target.as_ref() {
                self.excluded.insert(version.clone());
            }
        }
    }

    /// Returns the time of the deadline less the margin, no later than any other node takes
    /// it to be; `None` if no order runs.
    fn cut_off(&self) -> Option<time::Instant> {
        let order = self.order.as_ref()?;
        let mut deadline = self.ordered + order.duration;
        if let Some(known) = &self.known {
            let left = order.duration.saturating_sub(known.state.elapsed);
            deadline = deadline.min(known.since + left);
        }
        Some(deadline - CUT_OFF_MARGIN)
    }
}

/// The state that the handles share.
struct Inner {
    rollouts: BTreeMap<id::Service, Rollout>,
    controller: Controller,
    place: Place,
    /// Endpoints of each service and version.
    versions: BTreeMap<id::Service, BTreeMap<Option<id::Version>, u32>>,
    /// Requests that run or wait for an endpoint, by the version that may get them; `None`
    /// for those that are not bound to one.
    running: BTreeMap<(id::Service, Option<id::Version>), u32>,
    /// The other nodes that send heartbeats.
    nodes: evidence::Nodes,
    /// When the directory was last known to be up to date.
    current_at: Option<time::Instant>,
}

struct Shared {
    inner: Mutex<Inner>,
    clock: Clock,
    data_centre: id::DataCentre,
    metrics: Metrics,
    /// Number of the last change of what requests may do.
    changes: watch::Sender<u64>,
}

/// Handle of a node's roll-outs; clones share them.
#[derive(Clone)]
pub struct Handle {
    shared: Arc<Shared>,
}

/// A request as roll-outs see it.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Its service.
    pub service: &'a id::Service,
    /// Its route.
    pub route: &'a id::Route,
    /// Drawn when it was accepted, uniform in [0, 1).
    pub sample: f64,
    /// The version that began the stream that it continues.
    pub version: Option<&'a id::Version>,
    /// When its answer is no longer of use.
    pub deadline: time::Instant,
    /// Prompt tokens.
    pub prompt: u64,
}

/// The versions that may serve a request changed since an endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the version of the endpoint may not serve the request any more; choose another endpoint")]
pub struct Changed;

impl Handle {
    /// Builds the handle of a node that knows no roll-outs.
    #[must_use]
    pub fn new(
        clock: Clock,
        metrics: Metrics,
        settings: Settings,
        data_centre: id::DataCentre,
    ) -> Self {
        Self {
            shared: Arc::new(Shared {
                inner: Mutex::new(Inner {
                    rollouts: BTreeMap::new(),
                    controller: Controller::new(settings),
                    place: Place::default(),
                    versions: BTreeMap::new(),
                    running: BTreeMap::new(),
                    nodes: evidence::Nodes::default(),
                    current_at: None,
                }),
                clock,
                data_centre,
                metrics,
                changes: watch::Sender::new(0),
            }),
        }
    }

    fn now(&self) -> time::Instant {
        self.shared.clock.now()
    }

    /// Wakes the requests that wait for an endpoint, as other versions may serve them now.
    fn notify(&self) {
        self.shared.changes.send_modify(|number| *number += 1);
    }

    /// Applies an order that was read; one that is known already changes nothing.
    pub fn set_order(&self, spec: &Spec) {
        let now = self.now();
        let mut guard = lock(&self.shared.inner);
        let inner = &mut *guard;
        let rollout = inner.rollouts.entry(spec.service.clone()).or_default();
        let previous = rollout.order.replace(spec.clone());
        if previous.as_ref() == Some(spec) {
            return;
        }
        let is_same = previous.as_ref().is_some_and(|previous| {
            previous.revision.number == spec.revision.number
                && previous.target == spec.target
                && previous.duration == spec.duration
        });
        tracing::info!(
            service = %spec.service,
            target = %spec.target,
            duration_ms = crate::logging::millis(spec.duration),
            order = %spec.revision,
            is_of_other_era = is_same,
            "roll-out ordered"
        );
        if is_same {
            // The source was restored: the order is the one that is known.
            if let Some(known) = &mut rollout.known
                && Some(known.state.order) == previous.map(|previous| previous.revision)
            {
                known.state.order = spec.revision;
            }
            return;
        }
        if let Some(known) = rollout
            .known
            .take_if(|known| known.state.order != spec.revision)
        {
            let State { target, phase, .. } = known.state;
            if phase == Phase::Completed {
                // The endpoints of other versions may have stopped, and still be listed.
                let listed = inner.versions.get(&spec.service).into_iter().flatten();
                for version in listed.filter_map(|(version, _)| version.as_ref()) {
                    if *version != target {
                        rollout.excluded.insert(version.clone());
                    }
                }
            } else {
                rollout.excluded.insert(target);
            }
        }
        rollout.excluded.remove(&spec.target);
        rollout.ordered = now;
        rollout.evidence = Evidence::default();
        rollout.writing = writer::Progress::default();
        rollout.weight = rollout
            .known
            .as_ref()
            .map_or(Weight::ZERO, |known| known.state.weight);
        inner.controller.remove(&spec.service);
        drop(guard);
        self.notify();
    }

    /// Removes the order of a service. A target that was not completed gets no more requests
    /// until another order names it: nobody decides on it any more. While draining, the last
    /// record stays in force, as the other versions may stop at any moment.
    pub fn remove_order(&self, service: &id::Service) {
        let mut inner = lock(&self.shared.inner);
        let Some(rollout) = inner.rollouts.get_mut(service) else {
            return;
        };
        if rollout.order.take().is_none() {
            return;
        }
        let phase = rollout.known.as_ref().map(|known| known.state.phase);
        if phase == Some(Phase::Running) {
            rollout.weight = Weight::ZERO;
        }
        tracing::warn!(
            %service,
            step = rollout.step().0,
            phase = phase.map(tracing::field::display),
            weight = %rollout.weight,
            "order of a roll-out removed"
        );
        inner.controller.remove(service);
        drop(inner);
        self.notify();
    }

    /// Applies a record that was read from the source.
    pub fn set_record(&self, record: &Record) {
        let mut inner = lock(&self.shared.inner);
        let rollout = inner.rollouts.entry(record.service.clone()).or_default();
        // What a write found may have been read later than a change that arrives now.
        let is_older = |stored: &Stored| stored.revision.is_after(&record.revision);
        if rollout.stored.as_ref().is_some_and(is_older) {
            return;
        }
        rollout.stored = Some(Stored {
            revision: record.revision,
            order: record.state.order,
            step: record.state.step,
        });
        drop(inner);
        self.adopt(&record.service, &record.state, "key-value service");
    }

    /// Records that the source has a record of a service that can't be read, so that the next
    /// one replaces it.
    pub fn set_unreadable_record(&self, service: &id::Service, revision: era::Revision) {
        let mut inner = lock(&self.shared.inner);
        let rollout = inner.rollouts.entry(service.clone()).or_default();
        rollout.stored = Some(Stored {
            revision,
            order: era::Revision::default(),
            step: Step::default(),
        });
    }

    /// Records that the source has no record of a service.
    pub fn remove_record(&self, service: &id::Service) {
        if let Some(rollout) = lock(&self.shared.inner).rollouts.get_mut(service) {
            rollout.stored = None;
        }
    }

    /// Applies all orders and records of the source.
    pub fn replace(&self, orders: &[Spec], records: &[Record]) {
        let mut services = Vec::new();
        services.extend(lock(&self.shared.inner).rollouts.keys().cloned());
        for service in &services {
            if !orders.iter().any(|spec| spec.service == *service) {
                self.remove_order(service);
            }
            if !records.iter().any(|record| record.service == *service) {
                self.remove_record(service);
            }
        }
        // The last record of an order that was replaced says which versions ended with it.
        for record in records {
            self.set_record(record);
        }
        for spec in orders {
            self.set_order(spec);
        }
        for record in records {
            self.set_record(record);
        }
    }

    /// Applies the orders and records of another node: orders of services of which none was
    /// known, later orders, and records with a higher step.
    pub fn apply_of_node(&self, orders: &[Spec], records: &[Record]) {
        for spec in orders {
            let inner = lock(&self.shared.inner);
            let is_used = inner.rollouts.get(&spec.service).is_none_or(|rollout| {
                let known = rollout.order.as_ref();
                known.is_some_and(|known| spec.revision.is_after(&known.revision))
            });
            drop(inner);
            if is_used {
                self.set_order(spec);
            }
        }
        for record in records {
            self.adopt(&record.service, &record.state, "another node");
        }
    }

    /// Puts a record in force if it is of the order in force and its step is higher.
    fn adopt(&self, service: &id::Service, state: &State, source: &'static str) {
        let now = self.now();
        let mut inner = lock(&self.shared.inner);
        let listed = inner.versions.get(service);
        let listed: Option<Vec<id::Version>> =
            listed.map(|listed| listed.keys().flatten().cloned().collect());
        let rollout = inner.rollouts.entry(service.clone()).or_default();
        let is_of_order = match &rollout.order {
            Some(spec) => spec.revision == state.order && spec.target == state.target,
            // A record whose order is gone says nothing to a node that did not know the order.
            None => rollout
                .known
                .as_ref()
                .is_some_and(|known| known.state.order == state.order),
        };
        if !is_of_order {
            tracing::debug!(
                %service,
                order = %state.order,
                step = state.step.0,
                "record of a roll-out is of another order and is not used"
            );
            return;
        }
        if state.step <= rollout.step() {
            return;
        }
        let previous = rollout.known.replace(Known {
            state: state.clone(),
            since: now,
        });
        rollout.weight = state.weight;
        rollout.writing = writer::Progress::default();
        if state.phase == Phase::Completed {
            rollout.exclude_listed(listed.as_deref());
        }
        let summary = &state.summary.seen;
        tracing::info!(
            %service,
            target = %state.target,
            step = state.step.0,
            before = previous.map(|known| known.state.step.0),
            phase = %state.phase,
            weight = %state.weight,
            elapsed_ms = crate::logging::millis(state.elapsed),
            target_sent = summary.canary.sent,
            target_bad = summary.canary.bad(),
            others_sent = summary.baseline.sent,
            others_bad = summary.baseline.bad(),
            source,
            "step of a roll-out is in force"
        );
        self.shared.metrics.set_rollout(service, state);
        drop(inner);
        self.notify();
    }

    /// Returns the orders and records in force, for other nodes.
    #[must_use]
    pub fn snapshot(&self) -> (Vec<Spec>, Vec<Record>) {
        let inner = lock(&self.shared.inner);
        let (mut orders, mut records) = (Vec::new(), Vec::new());
        for (service, rollout) in &inner.rollouts {
            orders.extend(rollout.order.clone());
            if let Some(known) = &rollout.known {
                // The time since the order is that of this moment.
                let mut state = known.state.clone();
                state.elapsed += self.now().since(known.since);
                records.push(Record {
                    service: service.clone(),
                    state,
                    revision: era::Revision::default(),
                });
            }
        }
        (orders, records)
    }

    /// Returns what was read of the source, for the digest of the directory: the same at
    /// each node that read the same.
    #[must_use]
    pub fn read_revisions(&self) -> Vec<(id::Service, i64, u32)> {
        let inner = lock(&self.shared.inner);
        let mut read = Vec::new();
        for (service, rollout) in &inner.rollouts {
            let order = rollout.order.as_ref().map(|spec| spec.revision.number);
            let step = rollout.stored.map(|stored| stored.step.0);
            if order.is_some() || step.is_some() {
                read.push((
                    service.clone(),
                    order.unwrap_or_default(),
                    step.unwrap_or_default(),
                ));
            }
        }
        read
    }

    /// Records that the directory was up to date at this time.
    pub fn record_current(&self, at: time::Instant) {
        let mut inner = lock(&self.shared.inner);
        inner.current_at = inner.current_at.max(Some(at));
    }

    /// Sets the endpoints that are listed.
    pub fn set_endpoints<'a>(&self, records: impl Iterator<Item = &'a endpoint::Record>) {
        let mut versions: BTreeMap<_, BTreeMap<_, u32>> = BTreeMap::new();
        for record in records {
            let service: &mut BTreeMap<_, u32> =
                versions.entry(record.service.clone()).or_default();
            *service.entry(record.version.clone()).or_default() += 1;
        }
        let mut inner = lock(&self.shared.inner);
        for (service, rollout) in &mut inner.rollouts {
            let listed = versions.get(service);
            let listed: Vec<id::Version> = listed
                .into_iter()
                .flat_map(BTreeMap::keys)
                .flatten()
                .cloned()
                .collect();
            if rollout.excludes_listed {
                rollout.exclude_listed(Some(&listed));
            }
            rollout.excluded.retain(|version| listed.contains(version));
        }
        inner.versions = versions;
    }

    /// Sets the place of this node among those that write records.
    pub fn set_place(&self, place: Place) {
        lock(&self.shared.inner).place = place;
    }

    /// Returns the versions that may serve a request now.
    #[must_use]
    pub fn filter(&self, request: &Request<'_>) -> Filter {
        let now = self.now();
        lock(&self.shared.inner).filter(now, request)
    }

    /// Returns whether requests of the service are spread over versions, so that one that the
    /// target can't take may go to another version.
    #[must_use]
    pub fn is_spread(&self, service: &id::Service) -> bool {
        let inner = lock(&self.shared.inner);
        let rollout = inner.rollouts.get(service);
        let known = rollout.and_then(|rollout| rollout.known.as_ref());
        known.is_some_and(|known| known.state.phase == Phase::Running)
    }

    /// Returns a receiver that is told when other versions may serve requests.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.shared.changes.subscribe()
    }

    /// Records that a request is sent to an endpoint of this version now, which is expected
    /// to begin its answer after a time.
    ///
    /// # Errors
    ///
    /// Fails if the version may not serve the request any more.
    pub fn start(
        &self,
        request: &Request<'_>,
        version: Option<&id::Version>,
        expected: Duration,
    ) -> Result<Trial, Changed> {
        let now = self.now();
        let mut inner = lock(&self.shared.inner);
        let is_spread = inner.rollouts.get(request.service).is_some_and(|rollout| {
            let known = rollout.known.as_ref();
            known.is_some_and(|known| known.state.phase == Phase::Running)
        });
        let allowed = inner.filter(now, request);
        // A request may go to another version than the target instead.
        let target = match &allowed {
            Filter::Only(target) if is_spread => Some(target),
            _ => None,
        };
        let is_fallback = target.is_some_and(|target| {
            version != Some(target)
                && inner
                    .filter(
                        now,
                        &Request {
                            sample: 1.0,
                            ..*request
                        },
                    )
                    .allows(version)
        });
        if !allowed.allows(version) && !is_fallback {
            return Err(Changed);
        }
        let mut counted = None;
        let mut limit = None;
        if let Some(rollout) = inner.rollouts.get_mut(request.service) {
            if version.is_some_and(|version| rollout.excluded.contains(version)) {
                return Err(Changed);
            }
            let is_canary = version.is_some() && rollout.target() == version;
            let group = if is_canary {
                Group::Canary
            } else {
                Group::Baseline
            };
            if let Some(spec) = &rollout.order
                && !rollout.is_final()
            {
                counted = Some((spec.revision, group));
                let own = Counts {
                    sent: 1,
                    ..Counts::default()
                };
                rollout.evidence.record(request.route, group, own);
                self.shared.metrics.rollout_sent(request.service, version);
                let expectation = &mut rollout.expectation;
                limit = Some(expectation.limit(request.route, request.prompt, group, expected));
            }
        }
        let key = (request.service.clone(), version.cloned());
        *inner.running.entry(key).or_default() += 1;
        Ok(Trial {
            handle: self.clone(),
            service: request.service.clone(),
            route: request.route.clone(),
            version: version.cloned(),
            counted,
            limit,
            started: now,
            first_byte: None,
            is_ended: false,
        })
    }

    /// Returns the reports for other nodes, by service: this node's own, or one of a wider
    /// scope.
    #[must_use]
    pub fn reports(&self, audience: Audience<'_>) -> Vec<(id::Service, Report)> {
        let now = self.now();
        let inner = lock(&self.shared.inner);
        let mut reports = Vec::new();
        for (service, rollout) in &inner.rollouts {
            let is_over = rollout.known.as_ref().is_some_and(|known| {
                known.state.phase.is_final() && now.since(known.since) > REPORT_TIME
            });
            if rollout.order.is_none() || is_over {
                continue;
            }
            let own = inner.own_report(service, rollout);
            let own_data_centre = &self.shared.data_centre;
            let mut report = match audience {
                Audience::Node => own,
                Audience::DataCentre => {
                    rollout
                        .evidence
                        .data_centre(now, own, &inner.nodes, own_data_centre)
                }
                Audience::Fleet(receiver) => {
                    rollout
                        .evidence
                        .fleet(now, own, &inner.nodes, own_data_centre, Some(receiver))
                }
            };
            if rollout.is_final() {
                report.samples.clear();
            }
            reports.push((service.clone(), report));
            if reports.len() >= MAX_REPORTS {
                break;
            }
        }
        reports
    }

    /// Applies the reports of a heartbeat that another node sent. Returns whether the node
    /// knows a step of a roll-out that is not in force here.
    #[must_use]
    pub fn record_reports(&self, sender: &Sender, reports: &[(id::Service, Report)]) -> bool {
        let now = self.now();
        let mut inner = lock(&self.shared.inner);
        let Inner {
            rollouts, nodes, ..
        } = &mut *inner;
        nodes.record(now, sender);
        let mut is_behind = false;
        for (service, rollout) in rollouts.iter_mut() {
            if !reports.iter().any(|(reported, _)| reported == service) {
                rollout.evidence.forget_step(sender);
            }
        }
        for (service, report) in reports {
            let Some(rollout) = rollouts.get_mut(service) else {
                is_behind = true;
                continue;
            };
            let Some(spec) = &rollout.order else {
                continue;
            };
            if report.order != spec.revision {
                is_behind |= report.order.is_after(&spec.revision);
                continue;
            }
            is_behind |= report.step > rollout.step();
            rollout.evidence.apply(sender, report);
        }
        is_behind
    }

    /// Decides on the roll-outs; returns the records to write now.
    pub(crate) fn evaluate(&self) -> Vec<Replacement> {
        let now = self.now();
        let mut guard = lock(&self.shared.inner);
        let inner = &mut *guard;
        let mut due = Vec::new();
        let mut is_changed = false;
        let services: Vec<id::Service> = inner.rollouts.keys().cloned().collect();
        for service in services {
            let Some(rollout) = inner.rollouts.get(&service) else {
                continue;
            };
            let Some(spec) = rollout.order.clone() else {
                continue;
            };
            let stored = rollout.stored.map(|stored| (stored.order, stored.step));
            if rollout.is_final() && stored == Some((spec.revision, rollout.step())) {
                continue;
            }
            let own = inner.own_report(&service, rollout);
            let data_centre = &self.shared.data_centre;
            let fleet = rollout
                .evidence
                .fleet(now, own, &inner.nodes, data_centre, None);
            let (baseline, target) = inner.count_endpoints(&service, &spec.target);
            let known = rollout.known.as_ref();
            let since = known.map_or(rollout.ordered, |known| known.since);
            let state = known.map(|known| known.state.clone());
            let weight = match &state {
                // Without requests to the target the evidence no longer condemns it some time
                // later; only a further step gives it requests again.
                Some(state) if rollout.is_condemned(state) => Weight::ZERO,
                Some(state) => state.weight_under(&fleet),
                None => Weight::ZERO,
            };
            let place = inner.place;
            let Some(rollout) = inner.rollouts.get_mut(&service) else {
                continue;
            };
            if weight != rollout.weight {
                tracing::warn!(
                    %service,
                    target = %spec.target,
                    weight = %weight,
                    before = %rollout.weight,
                    target_bad = fleet.total(Group::Canary).bad(),
                    target_answered = fleet.total(Group::Canary).answered,
                    others_bad = fleet.total(Group::Baseline).bad(),
                    others_answered = fleet.total(Group::Baseline).answered,
                    "weight of a roll-out's target changed from the evidence of the nodes"
                );
                rollout.weight = weight;
                self.shared
                    .metrics
                    .set_rollout_weight(&service, &spec.target, weight);
                is_changed = true;
            }
            let Some(rank) = place.rank else {
                continue;
            };
            let decision = inner.controller.decide(
                now,
                &spec,
                (state.as_ref(), since),
                &fleet,
                place.registered,
                baseline,
                target,
            );
            let Some(rollout) = inner.rollouts.get_mut(&service) else {
                continue;
            };
            due.extend(rollout.next_write(now, &service, rank, (decision, &fleet.lagging)));
        }
        drop(guard);
        if is_changed {
            self.notify();
        }
        due
    }

    /// Records the end of a write.
    pub(crate) fn finish_write(&self, service: &id::Service) {
        let now = self.now();
        if let Some(rollout) = lock(&self.shared.inner).rollouts.get_mut(service) {
            rollout.writing.finish(now);
        }
    }

    /// Records what the source has after a write.
    pub(crate) fn record_found(&self, service: &id::Service, found: Option<&Record>) {
        match found {
            Some(record) => self.set_record(record),
            None => self.remove_record(service),
        }
    }
}

impl Inner {
    /// Returns the requests of a service that run at other versions than this one.
    fn running_beside(&self, service: &id::Service, target: &id::Version) -> u32 {
        let first = (service.clone(), None);
        let mut sum: u32 = 0;
        for ((other, version), count) in self.running.range(first..) {
            if other != service {
                break;
            }
            if version.as_ref() != Some(target) {
                sum = sum.saturating_add(*count);
            }
        }
        sum
    }

    /// Returns the endpoints of other versions that may serve, and those of the target.
    fn count_endpoints(&self, service: &id::Service, target: &id::Version) -> (u32, u32) {
        let rollout = self.rollouts.get(service);
        let is_excluded = |version: &id::Version| {
            rollout.is_some_and(|rollout| rollout.excluded.contains(version))
        };
        let (mut others, mut targets) = (0, 0);
        for (version, count) in self.versions.get(service).into_iter().flatten() {
            if version.as_ref() == Some(target) {
                targets += count;
            } else if !version.as_ref().is_some_and(is_excluded) {
                others += count;
            }
        }
        (others, targets)
    }

    /// Returns whether an endpoint of this version is listed.
    fn is_listed(&self, service: &id::Service, version: &id::Version) -> bool {
        let listed = self.versions.get(service);
        listed.is_some_and(|listed| listed.contains_key(&Some(version.clone())))
    }

    /// Returns the versions that may serve requests after a completed roll-out: not those that
    /// it replaced, whose endpoints may have stopped and still be listed. Versions that were
    /// listed later came without a roll-out, and may serve.
    fn after_completion(&self, service: &id::Service, rollout: &Rollout) -> Filter {
        let Some(target) = rollout.target() else {
            return Filter::Any;
        };
        let mut has_later = false;
        for version in self.versions.get(service).into_iter().flatten() {
            let is_known = version
                .0
                .as_ref()
                .is_some_and(|version| version == target || rollout.excluded.contains(version));
            has_later |= !is_known;
        }
        if !has_later {
            return Filter::Only(target.clone());
        }
        let mut excluded = rollout.excluded.iter();
        match (excluded.next(), excluded.next()) {
            _ if !self.is_listed(service, target) => Filter::Any,
            (None, _) => Filter::Any,
            (Some(version), None) => Filter::Not(version.clone()),
            _ => Filter::Only(target.clone()),
        }
    }

    fn own_report(&self, service: &id::Service, rollout: &Rollout) -> Report {
        let target = rollout.target().cloned().unwrap_or_default();
        Report {
            order: rollout
                .order
                .as_ref()
                .map_or_else(Default::default, |spec| spec.revision),
            step: rollout.step(),
            nodes: 1,
            baseline_in_flight: self.running_beside(service, &target),
            lagging: Vec::new(),
            samples: rollout.evidence.own().clone(),
        }
    }

    /// Returns whether this node would have learned of a record by now.
    fn is_in_contact(&self, now: time::Instant, rollout: &Rollout) -> bool {
        if self.place.registered <= 1 {
            return true;
        }
        let is_recent = |at: time::Instant| now.since(at) < CONTACT_TIME;
        if self.current_at.is_some_and(is_recent) {
            return true;
        }
        // Most nodes have no later step. While the source is away, none of them can
        // complete the roll-out.
        let agreeing = rollout
            .evidence
            .count_at_step(now, &self.nodes, rollout.step());
        (agreeing + 1) * 2 > self.place.registered
    }

    fn filter(&self, now: time::Instant, request: &Request<'_>) -> Filter {
        let Some(rollout) = self.rollouts.get(request.service) else {
            return Filter::Any;
        };
        let Some(target) = rollout.target() else {
            return Filter::Any;
        };
        let filter = match &rollout.known {
            None => match self.count_endpoints(request.service, target) {
                // The target is the only version that may serve.
                (0, _) if rollout.excluded.is_empty() => Filter::Any,
                (0, 1..) => Filter::Only(target.clone()),
                _ => Filter::Not(target.clone()),
            },
            Some(known) => {
                let is_condemned = rollout.is_condemned(&known.state);
                let is_near_end = rollout.cut_off().is_some_and(|cut_off| now >= cut_off);
                match known.state.phase {
                    // A resumed stream stays with its version. Near the deadline the roll-out
                    // may be completed by a node that was told that nothing runs here.
                    Phase::Running if request.version.is_some() && !is_condemned => Filter::Any,
                    Phase::Draining if request.version.is_some() && !is_near_end => Filter::Any,
                    Phase::Completed => self.after_completion(request.service, rollout),
                    // Whoever starts the target again later does so without a roll-out.
                    Phase::RolledBack if !self.is_listed(request.service, target) => Filter::Any,
                    _ => known.state.filter_at(rollout.weight, request.sample),
                }
            }
        };
        let is_old = matches!(&filter, Filter::Any | Filter::Not(_));
        let is_late = rollout
            .cut_off()
            .is_some_and(|cut_off| now.max(request.deadline) >= cut_off);
        // The roll-out may be completed without a node that hears nothing.
        let is_of_target = request.version == Some(target);
        if is_old
            && !is_of_target
            && !rollout.is_final()
            && is_late
            && !self.is_in_contact(now, rollout)
        {
            return Filter::Only(id::Version::from(NO_VERSION));
        }
        filter
    }
}

/// For whom reports are made.
#[derive(Clone, Copy, Debug)]
pub enum Audience<'a> {
    /// A node that sums up by itself.
    Node,
    /// The coordinator of another data centre.
    DataCentre,
    /// This node of the coordinator's data centre.
    Fleet(&'a id::Node),
}

/// Who sent a heartbeat.
#[derive(Clone, Debug)]
pub struct Sender {
    /// The node.
    pub node: id::Node,
    /// Its process.
    pub incarnation: u64,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Whose requests it reports.
    pub scope: Scope,
}

/// A request that was sent to an endpoint. Dropping it records that it ended there; without
/// an outcome, only that it did not answer in the time expected, if it did not.
pub struct Trial {
    handle: Handle,
    service: id::Service,
    route: id::Route,
    version: Option<id::Version>,
    /// The order for which it is counted, and where.
    counted: Option<(era::Revision, Group)>,
    /// Time until its first byte from which it is slow.
    limit: Option<Duration>,
    started: time::Instant,
    /// Time until its first byte.
    first_byte: Option<Duration>,
    is_ended: bool,
}

/// How a request ended at an endpoint, as roll-outs count it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It was answered.
    Answered,
    /// The endpoint failed at it.
    Failed,
    /// The endpoint did not run it, or it was not sent after all: it is not counted.
    NotRun,
    /// Its result says nothing of the version.
    Neutral,
    /// It ended without a first byte: slow if that was late.
    Unanswered,
}

impl Trial {
    /// Records the first byte of the answer.
    pub fn record_first_byte(&mut self) {
        let now = self.handle.now();
        let took = now.since(self.started);
        if self.first_byte.replace(took).is_some() {
            return;
        }
        let Some((order, Group::Baseline)) = self.counted else {
            return;
        };
        let mut inner = lock(&self.handle.shared.inner);
        if let Some(rollout) = inner.rollouts.get_mut(&self.service)
            && rollout
                .order
                .as_ref()
                .is_some_and(|spec| spec.revision == order)
        {
            rollout.expectation.record(&self.route, took);
        }
    }

    /// Records that the request is not sent after all.
    pub fn withdraw(mut self) {
        self.record(Ending::NotRun);
    }

    /// Records how the request ended.
    pub fn end(mut self, ending: Ending) {
        if ending == Ending::Answered {
            self.record_first_byte();
        }
        self.record(ending);
    }

    fn record(&mut self, ending: Ending) {
        if std::mem::replace(&mut self.is_ended, true) {
            return;
        }
        let shared = Arc::clone(&self.handle.shared);
        let now = self.handle.now();
        let took = self.first_byte.unwrap_or_else(|| now.since(self.started));
        let is_late = self.limit.is_some_and(|limit| took > limit);
        let is_slow = match ending {
            Ending::Answered | Ending::Unanswered => is_late,
            Ending::Failed | Ending::NotRun | Ending::Neutral => false,
        };
        let mut inner = lock(&shared.inner);
        let key = (self.service.clone(), self.version.clone());
        if let Some(running) = inner.running.get_mut(&key) {
            *running = running.saturating_sub(1);
            if *running == 0 {
                inner.running.remove(&key);
            }
        }
        let Some((order, group)) = self.counted else {
            return;
        };
        let Some(rollout) = inner.rollouts.get_mut(&self.service) else {
            return;
        };
        if rollout
            .order
            .as_ref()
            .is_none_or(|spec| spec.revision != order)
        {
            return;
        }
        if ending == Ending::NotRun {
            rollout.evidence.withdraw(&self.route, group);
            return;
        }
        let counts = Counts {
            sent: 0,
            answered: 1,
            failed: u32::from(ending == Ending::Failed),
            slow: u32::from(is_slow),
        };
        rollout.evidence.record(&self.route, group, counts);
        let version = self.version.as_ref();
        shared.metrics.rollout_ended(&self.service, version, counts);
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        let ending = if self.first_byte.is_some() {
            Ending::Neutral
        } else {
            Ending::Unanswered
        };
        self.record(ending);
    }
}

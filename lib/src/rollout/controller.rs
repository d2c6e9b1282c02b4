//! The decision on the next step of a roll-out.

use std::{collections::BTreeMap, time::Duration};

use derive_more::Display;

use super::{
    Counts, Group, Phase, Report, Requests, Settings, Spec, State, Step, Summary, Tally, Weight,
    analysis::{self, Analysis},
    plan::{MIN_DRAIN, Plan, Rate, SETTLING},
};
use crate::{era, id, time};

/// Time over which answers are compared. Three windows are needed to condemn a version, and
/// must pass well within the 5 s after its 50th bad answer.
const WINDOW: Duration = Duration::from_millis(400);

/// As [`WINDOW`] while draining, which takes about a second of short roll-outs.
const DRAIN_WINDOW: Duration = Duration::from_millis(200);

/// Time before the deadline at which silent nodes are no longer waited for: the store takes
/// up to 500 ms to write a record.
pub const COMPLETION_MARGIN: Duration = Duration::from_millis(500);

/// Time before the deadline at which completion is decided where draining ends earlier; until
/// then more answers come. The second in rank writes 0.7 s later than the first.
const COMPLETION_TIME: Duration = Duration::from_millis(1200);

/// What follows from the state of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The record stays as it is.
    NoChange,
    /// This record replaces the one that was read.
    Write(State, Reason),
}

/// Why a step is taken.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum Reason {
    /// The order has no record yet.
    #[display("the order has no record yet; the target gets {_0}")]
    Started(Weight),
    /// The evidence allows another weight.
    #[display("{answered} answered by the target, {bad} of them bad; it gets {weight}")]
    Ramped {
        /// Answers of the target.
        answered: Requests,
        /// Its bad answers.
        bad: Requests,
        /// The new weight.
        weight: Weight,
    },
    /// No endpoint of the target is known.
    #[display("no endpoint of the target is known; it gets no request until one is")]
    Paused,
    /// The analysis supports the target and the deadline is near.
    #[display("{answered} answered by the target, {bad} of them bad; all requests go to it")]
    Supported {
        /// Answers of the target.
        answered: Requests,
        /// Its bad answers.
        bad: Requests,
    },
    /// No endpoint of another version is known.
    #[display("no endpoint of another version is known; all requests go to the target")]
    NoBaseline,
    /// Every registered node drained.
    #[display("no registered node runs a request at another version")]
    Drained,
    /// All but silent nodes drained as the deadline came.
    #[display("the deadline is near and {missing} registered nodes are silent; all others drained")]
    DrainedExceptSilent {
        /// Number of silent nodes.
        missing: u32,
    },
    /// Bad answers.
    #[display(
        "bad answers on {}: {canary_bad} of {canary_answered} of the target, {baseline_bad} of \
         {baseline_answered} of the other versions",
        if route.as_str().is_empty() { "all routes" } else { route.as_str() }
    )]
    Bad {
        /// Route on which they were found; empty for all routes together.
        route: id::Route,
        /// Bad answers of the target since the order.
        canary_bad: Requests,
        /// Its answers.
        canary_answered: Requests,
        /// Bad answers of the other versions.
        baseline_bad: Requests,
        /// Their answers.
        baseline_answered: Requests,
    },
    /// The evidence does not support the target as the deadline comes.
    #[display(
        "{answered} answered by the target, {bad} of them bad, do not support it at the deadline"
    )]
    Unsupported {
        /// Answers of the target.
        answered: Requests,
        /// Its bad answers.
        bad: Requests,
    },
    /// The bound on exposure leaves no time to drain.
    #[display(
        "the bound on exposure leaves {} ms to drain of {} ms needed; order a longer duration",
        room.as_millis(),
        needed.as_millis()
    )]
    NoRoom {
        /// Time for which all requests may go to the target.
        room: Duration,
        /// Shortest time in which nodes can drain.
        needed: Duration,
    },
    /// No endpoint of the target is known as the deadline comes.
    #[display("no endpoint of the target is known; start some and order it again")]
    NoTarget,
    /// Nodes did not drain by the deadline.
    #[display(
        "{lagging} nodes do not follow and {in_flight} run at other versions at the deadline; \
         order it again with a longer duration"
    )]
    NotDrained {
        /// Nodes known to lag, or silent ones.
        lagging: u32,
        /// Requests at other versions.
        in_flight: Requests,
    },
}

/// Decides the next steps of the roll-outs of all services. Each node that may write
/// records holds one.
#[derive(Clone, Debug)]
pub struct Controller {
    settings: Settings,
    tracks: BTreeMap<id::Service, Track>,
}

/// What one controller knows of an order beyond its record.
#[derive(Clone, Debug)]
struct Track {
    order: era::Revision,
    /// Highest step that was read.
    step: Step,
    /// A moment, and the time since the order at that moment.
    origin: (time::Instant, Duration),
    /// Start of the present window.
    window: time::Instant,
    /// Requests sent when it started, without carried ones, and the nodes that had sent them.
    window_sent: u32,
    window_nodes: u32,
    /// Highest weight that was read or decided on, without that of draining.
    peak: Weight,
    /// Counts of processes that ended before the present ones began to count.
    carried: Tally,
    analysis: Analysis,
    rate: Rate,
}

impl Track {
    /// Begins at `now`; the order is known since the second time.
    fn new((now, since): (time::Instant, time::Instant), order: era::Revision) -> Self {
        Self {
            order,
            step: Step::default(),
            origin: (since, Duration::ZERO),
            window: now,
            window_sent: 0,
            window_nodes: 0,
            carried: Tally::default(),
            peak: Weight::ZERO,
            analysis: Analysis::default(),
            rate: Rate::default(),
        }
    }

    fn elapsed(&self, now: time::Instant) -> Duration {
        self.origin.1 + now.since(self.origin.0)
    }

    /// Takes over what a record says. A record is read some time after it was written, so
    /// that the earliest order that any of them implies is the closest one.
    fn read(&mut self, since: time::Instant, state: &State) {
        if state.step > self.step {
            self.step = state.step;
            if state.elapsed > self.elapsed(since) {
                self.origin = (since, state.elapsed);
            }
        }
        self.peak = self.peak.max(state.summary.peak);
        if state.phase == Phase::Running {
            self.peak = self.peak.max(state.weight);
        }
    }

    /// Returns the evidence with what nodes counted by now. A controller that has just started
    /// may not have heard all of them. Where it has and they sent less than half of what the
    /// record says, their processes started after it was written.
    fn summarise(&mut self, recorded: &Summary, fleet: &Report, registered: u32) -> Summary {
        let seen = Tally::of(fleet);
        let is_known = recorded.carried.sent() < self.carried.sent();
        if !is_known {
            self.carried = recorded.carried;
            if fleet.nodes >= registered && seen.sent() < recorded.seen.sent() / 2 {
                self.carried = recorded.carried.plus(&recorded.seen);
            }
        }
        let is_carried = self.carried.sent() > recorded.carried.sent();
        Summary {
            carried: self.carried,
            seen: if is_carried {
                seen
            } else {
                seen.most(&recorded.seen)
            },
            peak: self.peak,
        }
    }

    /// Adds what nodes counted to the analysis as a window ends.
    fn observe(&mut self, now: time::Instant, phase: Option<Phase>, fleet: &Report) {
        let is_draining = phase == Some(Phase::Draining);
        let window = if is_draining { DRAIN_WINDOW } else { WINDOW };
        let span = now.since(self.window);
        if span < window {
            return;
        }
        let sent = Tally::of(fleet).sent();
        // Counts of a node that is heard for the first time were not sent in this window.
        if fleet.nodes == self.window_nodes && sent >= self.window_sent {
            self.rate.record(sent - self.window_sent, span, is_draining);
        }
        self.window_nodes = fleet.nodes;
        self.window = now;
        self.window_sent = sent;
        match phase {
            Some(Phase::Running) => self.analysis.compare(&fleet.samples, self.peak.fraction()),
            Some(Phase::Draining) => self.analysis.compare_drain(&fleet.samples),
            _ => self.analysis.skip(&fleet.samples),
        }
    }
}

/// What one decision is based on.
struct Situation<'a> {
    spec: &'a Spec,
    fleet: &'a Report,
    elapsed: Duration,
    registered_nodes: u32,
    baseline_endpoints: u32,
    target_endpoints: u32,
    /// Evidence with the counts of this moment.
    summary: Summary,
    plan: Plan,
}

impl Situation<'_> {
    fn remaining(&self) -> Duration {
        self.spec.duration.saturating_sub(self.elapsed)
    }

    /// Returns the record that follows `state`.
    fn next(&self, state: Option<&State>, phase: Phase, weight: Weight) -> State {
        let mut summary = self.summary;
        if phase == Phase::Running {
            summary.peak = summary.peak.max(weight);
        }
        State {
            order: self.spec.revision,
            target: self.spec.target.clone(),
            step: state.map_or(Step::default(), |state| state.step).next(),
            phase,
            weight,
            elapsed: self.elapsed,
            summary,
        }
    }

    fn write(&self, state: Option<&State>, phase: Phase, reason: Reason) -> Decision {
        let weight = match phase {
            Phase::Draining | Phase::Completed => Weight::ALL,
            Phase::Running | Phase::RolledBack => Weight::ZERO,
        };
        Decision::Write(self.next(state, phase, weight), reason)
    }

    fn answered_and_bad(&self) -> (Requests, Requests) {
        let canary = self.summary.total().canary;
        (Requests(canary.answered), Requests(canary.bad()))
    }

    fn unsupported(&self) -> Reason {
        let (answered, bad) = self.answered_and_bad();
        Reason::Unsupported { answered, bad }
    }

    /// Returns the reason of a roll-back for bad answers on a route.
    fn bad(&self, route: id::Route) -> Reason {
        let counts = |group| {
            if route.as_str().is_empty() {
                self.fleet.total(group)
            } else {
                let key = (route.clone(), group);
                self.fleet.samples.get(&key).copied().unwrap_or_default()
            }
        };
        let (baseline, canary) = (counts(Group::Baseline), counts(Group::Canary));
        Reason::Bad {
            canary_bad: Requests(canary.bad()),
            canary_answered: Requests(canary.answered),
            baseline_bad: Requests(baseline.bad()),
            baseline_answered: Requests(baseline.answered),
            route,
        }
    }

    /// Decides on the first record.
    fn start(&self) -> Decision {
        if self.spec.duration < MIN_DRAIN + SETTLING {
            let reason = Reason::NoRoom {
                room: self.spec.duration,
                needed: MIN_DRAIN + SETTLING,
            };
            return self.write(None, Phase::RolledBack, reason);
        }
        if self.target_endpoints == 0 {
            return self.write(None, Phase::Running, Reason::Paused);
        }
        if self.baseline_endpoints == 0 {
            return self.write(None, Phase::Draining, Reason::NoBaseline);
        }
        let weight = self.plan.first_weight();
        let next = self.next(None, Phase::Running, weight);
        Decision::Write(next, Reason::Started(weight))
    }

    /// Decides while the target gets part of the requests.
    fn run(&self, state: &State, analysis: &mut Analysis) -> Decision {
        let previous = Some(state);
        // Nodes that condemn the target by themselves send it nothing more, so that no
        // further evidence comes.
        let finding = analysis.finding().or_else(|| state.condemned(self.fleet));
        if let Some(route) = finding {
            return self.write(previous, Phase::RolledBack, self.bad(route));
        }
        if self.target_endpoints == 0 {
            return if self.remaining() <= MIN_DRAIN {
                self.write(previous, Phase::RolledBack, Reason::NoTarget)
            } else if state.weight > Weight::ZERO {
                self.write(previous, Phase::Running, Reason::Paused)
            } else {
                Decision::NoChange
            };
        }
        if self.remaining().is_zero() {
            return self.write(previous, Phase::RolledBack, self.unsupported());
        }
        if self.baseline_endpoints == 0 {
            return self.write(previous, Phase::Draining, Reason::NoBaseline);
        }
        let is_supported = self.plan.is_supported(state.weight)
            && !analysis.is_suspicious()
            && analysis::is_in_proportion(self.fleet, self.summary.peak.fraction());
        let (answered, bad) = self.answered_and_bad();
        let room = self.plan.room(state.weight);
        if self.remaining() <= room.min(self.plan.drain_time()) {
            if is_supported {
                let reason = Reason::Supported { answered, bad };
                return self.write(previous, Phase::Draining, reason);
            }
            if self.remaining() <= MIN_DRAIN {
                return self.write(previous, Phase::RolledBack, self.unsupported());
            }
            return Decision::NoChange;
        }
        if self.remaining() <= MIN_DRAIN {
            let reason = Reason::NoRoom {
                room,
                needed: MIN_DRAIN,
            };
            return self.write(previous, Phase::RolledBack, reason);
        }
        let age = self.elapsed.saturating_sub(state.elapsed);
        if age < self.plan.interval() || analysis.is_suspicious() {
            return Decision::NoChange;
        }
        let Some(weight) = self.plan.next_weight(state.weight) else {
            return Decision::NoChange;
        };
        let reason = Reason::Ramped {
            answered,
            bad,
            weight,
        };
        Decision::Write(self.next(previous, Phase::Running, weight), reason)
    }

    /// Decides while all requests go to the target.
    fn drain(&self, state: &State, analysis: &mut Analysis) -> Decision {
        let previous = Some(state);
        if let Some(route) = analysis.finding() {
            return self.write(previous, Phase::RolledBack, self.bad(route));
        }
        if self.target_endpoints == 0 {
            return self.write(previous, Phase::RolledBack, Reason::NoTarget);
        }
        // Without endpoints of other versions there is nowhere to return to.
        if self.plan.is_exhausted() && self.baseline_endpoints > 0 {
            let reason = Reason::NoRoom {
                room: Duration::ZERO,
                needed: self.remaining(),
            };
            return self.write(previous, Phase::RolledBack, reason);
        }
        let is_past = self.remaining().is_zero();
        let is_current = self.fleet.order == self.spec.revision
            && self.fleet.nodes > 0
            && self.fleet.step >= state.step
            && self.fleet.lagging.is_empty();
        let missing = self.registered_nodes.saturating_sub(self.fleet.nodes);
        let is_drained = is_current && self.fleet.baseline_in_flight == 0;
        let is_supported = self.drain_supports(state);
        if is_drained && is_supported && !is_past && self.remaining() <= COMPLETION_TIME {
            if missing == 0 {
                return self.write(previous, Phase::Completed, Reason::Drained);
            }
            if self.remaining() <= COMPLETION_MARGIN {
                let reason = Reason::DrainedExceptSilent { missing };
                return self.write(previous, Phase::Completed, reason);
            }
        }
        if !is_past {
            return Decision::NoChange;
        }
        let reason = if is_drained && !is_supported {
            self.unsupported()
        } else {
            Reason::NotDrained {
                lagging: missing.max(u32::try_from(self.fleet.lagging.len()).unwrap_or(u32::MAX)),
                in_flight: Requests(self.fleet.baseline_in_flight),
            }
        };
        self.write(previous, Phase::RolledBack, reason)
    }

    /// Returns whether what the target answered while draining supports its completion.
    fn drain_supports(&self, state: &State) -> bool {
        let total = self.summary.total();
        let drained = total.canary.since(&state.summary.total().canary);
        let overdue = self.plan.overdue(&state.summary.seen);
        let with_overdue = Counts {
            answered: drained.answered.saturating_add(overdue),
            slow: drained.slow.saturating_add(overdue),
            ..drained
        };
        f64::from(drained.answered) >= self.plan.drain_answers(state.elapsed)
            && analysis::supports_drain(&with_overdue, &total.baseline)
            && analysis::supports_routes(self.fleet)
    }
}

impl Controller {
    /// Creates a controller that knows no roll-out.
    #[must_use]
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            tracks: BTreeMap::new(),
        }
    }

    /// Returns the settings.
    #[must_use]
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Forgets the roll-out of a service that has no order any more.
    pub fn remove(&mut self, service: &id::Service) {
        self.tracks.remove(service);
    }

    /// Decides on the next step of an order.
    ///
    /// `state` is the record that was read last, with the time since which the record, or the
    /// order if there is none, is known at this node. `fleet` is the sum of what nodes reported,
    /// and the last three are the numbers of registered nodes, of endpoints of other
    /// versions and of endpoints of the target. To be called whenever one of them changes,
    /// and at least every 200 ms. A record that could not be written is decided on again.
    #[allow(clippy::too_many_arguments)] // What a decision depends on has different sources.
    pub fn decide(
        &mut self,
        now: time::Instant,
        spec: &Spec,
        (state, since): (Option<&State>, time::Instant),
        fleet: &Report,
        registered_nodes: u32,
        baseline_endpoints: u32,
        target_endpoints: u32,
    ) -> Decision {
        let state = state.filter(|state| state.order == spec.revision);
        if state.is_some_and(|state| state.phase.is_final()) {
            self.tracks.remove(&spec.service);
            return Decision::NoChange;
        }
        // A report on another order says nothing about this one.
        let unrelated = Report {
            order: spec.revision,
            ..Report::default()
        };
        let fleet = if fleet.order == spec.revision {
            fleet
        } else {
            &unrelated
        };
        let track = self
            .tracks
            .entry(spec.service.clone())
            .or_insert_with(|| Track::new((now, since), spec.revision));
        if track.order != spec.revision {
            *track = Track::new((now, since), spec.revision);
        }
        if let Some(state) = state {
            track.read(since, state);
        }
        track.observe(now, state.map(|state| state.phase), fleet);
        let recorded = state.map_or_else(Summary::default, |state| state.summary);
        let summary = track.summarise(&recorded, fleet, registered_nodes);
        let elapsed = track.elapsed(now);
        let situation = Situation {
            spec,
            fleet,
            elapsed,
            registered_nodes,
            baseline_endpoints,
            target_endpoints,
            summary,
            plan: Plan {
                settings: self.settings,
                duration: spec.duration,
                elapsed,
                total: summary.total(),
                rate: track.rate,
                target_share: f64::from(target_endpoints)
                    / f64::from(target_endpoints.saturating_add(baseline_endpoints).max(1)),
            },
        };
        let decision = match state {
            None => situation.start(),
            Some(state) if state.phase == Phase::Draining => {
                situation.drain(state, &mut track.analysis)
            }
            Some(state) => situation.run(state, &mut track.analysis),
        };
        if let Decision::Write(next, _) = &decision
            && next.phase == Phase::Running
        {
            track.peak = track.peak.max(next.weight);
        }
        decision
    }
}

//! A fleet in virtual time: nodes that send heartbeats to the coordinator of their data
//! centre, coordinators that decide, a store and its watches, and endpoints of two versions.

use std::{collections::BTreeMap, time::Duration};

use dottereltally_lib::{
    era, id,
    rollout::{
        Controller, Counts, Decision, Group, Phase, Report, Settings, Spec, State, Step, Weight,
    },
    time,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Resolution of the simulation.
const TICK_MS: u64 = 5;

/// Routes with their parts of the requests.
const ROUTES: [(&str, f64); 3] = [("chat", 0.6), ("search", 0.3), ("rare", 0.1)];

/// Factor above which part B counts an answer as slow.
const SLOW_FACTOR: f64 = 3.0;

/// Endpoints of each version.
const ENDPOINTS: usize = 12;

/// Delay of a coordinator's write for each place in the ranking.
const RANK_DELAY_MS: u64 = 700;

/// Moment from which a version is bad.
#[derive(Clone, Copy, Debug)]
pub enum Onset {
    /// At this part of the duration.
    At(f64),
    /// While all requests go to it.
    Load,
    /// As the record of draining is written: the worst moment for the bound on exposure.
    Draining,
}

/// How the target behaves.
#[derive(Clone, Copy, Debug)]
pub struct Version {
    /// Part of its answers that fail.
    pub failed: f64,
    /// Part of its answers that take six times as long.
    pub slow: f64,
    pub onset: Onset,
    /// Position of the only route that is affected.
    pub route: Option<usize>,
}

impl Version {
    pub const GOOD: Self = Self {
        failed: 0.0,
        slow: 0.0,
        onset: Onset::At(0.0),
        route: None,
    };

    pub fn is_good(&self) -> bool {
        self.failed == 0.0 && self.slow == 0.0
    }
}

/// Faults that affect both versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    #[default]
    None,
    /// One endpoint of each version fails for 0.8 s, twice.
    Endpoints,
    /// Half of the answers to one data centre are lost for 3 s; its heartbeats are cut off.
    CutOff,
    /// 2.2 times the requests for 5 s; one answer in five is slow.
    Burst,
    /// 2.2 times the requests from the moment that draining is recorded.
    DrainBurst,
    /// The coordinator that writes is killed; another process replaces it 2 s later.
    WriterKilled,
    /// The store refuses everything from the middle to the end.
    StoreDown,
}

#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub nodes: usize,
    pub rate: f64,
    pub duration: f64,
    pub version: Version,
    pub fault: Fault,
    /// Time that an answer takes at an endpoint of usual speed.
    pub answer_ms: f64,
    /// Whether writes and watches take up to 500 ms and one node in 20 polls every 1.5 s.
    pub is_store_slow: bool,
    pub seed: u64,
}

#[derive(Clone, Debug)]
pub struct Outcome {
    pub phase: Option<Phase>,
    pub ended_s: f64,
    /// Requests to the target until the deadline, and to both versions.
    pub canary: u32,
    pub total: u32,
    /// Time after the 50th bad answer at which the last request was sent to the target.
    pub late_s: f64,
    pub reason: String,
    /// Whether a request was sent to an old version, or ran there, after completion.
    pub is_order_broken: bool,
}

impl Outcome {
    /// Returns the requests beyond the bound of the default settings; negative within it.
    pub fn excess(&self) -> f64 {
        f64::from(self.canary) - (0.1 * f64::from(self.total) + 50.0)
    }
}

struct Node {
    dc: usize,
    part: f64,
    state: Option<State>,
    weight: Weight,
    report: Report,
    period_ms: u64,
    next_beat: u64,
    polls: bool,
}

struct Coordinator {
    controller: Controller,
    /// Last report of each node of the data centre.
    nodes: BTreeMap<usize, Report>,
    /// Last sum of each other data centre.
    others: BTreeMap<usize, Report>,
    state: Option<State>,
    period_ms: u64,
    next_beat: u64,
    wants_since: Option<u64>,
    is_writing: bool,
    dead_until: u64,
}

enum Event {
    Answer {
        node: usize,
        route: usize,
        group: Group,
        failed: bool,
        slow: bool,
    },
    Commit {
        coordinator: usize,
        base: Step,
        state: State,
        reason: String,
    },
    Read {
        node: usize,
        state: State,
    },
    ReadByCoordinator {
        coordinator: usize,
        state: State,
    },
}

pub fn spec(duration: f64) -> Spec {
    Spec {
        service: id::Service::from("s"),
        target: id::Version::from("v2"),
        duration: Duration::from_secs_f64(duration),
        revision: era::Revision::from(7),
    }
}

fn empty_report() -> Report {
    Report {
        order: spec(1.0).revision,
        ..Report::default()
    }
}

fn normal(random: &mut SmallRng) -> f64 {
    // Sum of uniform numbers; close enough to a normal one for answer times.
    (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0
}

pub struct Fleet {
    scenario: Scenario,
    spec: Spec,
    random: SmallRng,
    now: u64,
    nodes: Vec<Node>,
    coordinators: Vec<Coordinator>,
    stored: Option<State>,
    events: BTreeMap<u64, Vec<Event>>,
    speeds: Vec<f64>,
    noisy_until: Vec<u64>,
    /// Bad answers since the version first gave one.
    bad_answers: u32,
    has_turned_bad: bool,
    fiftieth_bad: Option<u64>,
    fault_at: u64,
    old_in_flight: u32,
    routes: Vec<id::Route>,
    outcome: Outcome,
}

impl Fleet {
    pub fn new(scenario: Scenario) -> Self {
        let mut random = SmallRng::seed_from_u64(scenario.seed);
        let centres = if scenario.nodes < 40 { 2 } else { 7 };
        let nodes = (0..scenario.nodes)
            .map(|index| Node {
                dc: index % centres,
                part: 0.2 + random.random::<f64>(),
                state: None,
                weight: Weight::ZERO,
                report: Report {
                    nodes: 1,
                    ..empty_report()
                },
                period_ms: random.random_range(100..500),
                next_beat: random.random_range(0..500),
                polls: scenario.is_store_slow && random.random_bool(0.05),
            })
            .collect();
        let coordinators = (0..centres)
            .map(|_| Coordinator {
                controller: Controller::new(Settings::default()),
                nodes: BTreeMap::new(),
                others: BTreeMap::new(),
                state: None,
                period_ms: random.random_range(100..300),
                next_beat: random.random_range(0..300),
                wants_since: None,
                is_writing: false,
                dead_until: 0,
            })
            .collect();
        let speeds = (0..2 * ENDPOINTS)
            .map(|_| random.random_range(0.55..2.8))
            .collect();
        let part = random.random_range(0.2..0.8);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let fault_at = (scenario.duration * 1000.0 * part) as u64;
        Self {
            spec: spec(scenario.duration),
            now: 0,
            nodes,
            coordinators,
            stored: None,
            events: BTreeMap::new(),
            speeds,
            noisy_until: vec![0; 2 * ENDPOINTS],
            bad_answers: 0,
            has_turned_bad: false,
            fiftieth_bad: None,
            fault_at,
            old_in_flight: 0,
            routes: ROUTES.map(|(name, _)| id::Route::from(name)).to_vec(),
            outcome: Outcome {
                phase: None,
                ended_s: 0.0,
                canary: 0,
                total: 0,
                late_s: 0.0,
                reason: String::new(),
                is_order_broken: false,
            },
            scenario,
            random,
        }
    }

    fn during(&self, fault: Fault, length_ms: u64) -> bool {
        self.scenario.fault == fault
            && (self.fault_at..self.fault_at + length_ms).contains(&self.now)
    }

    fn is_store_down(&self) -> bool {
        let middle = self.spec.duration.as_millis() / 2;
        self.scenario.fault == Fault::StoreDown && u128::from(self.now) > middle
    }

    /// Draws the time that a write or a watch of the store takes.
    fn store_delay(&mut self) -> u64 {
        let most = if self.scenario.is_store_slow {
            500
        } else {
            120
        };
        self.random.random_range(10..most)
    }

    fn at(&mut self, delay_ms: u64, event: Event) {
        let at = self.now + delay_ms.max(TICK_MS);
        self.events
            .entry(at - at % TICK_MS)
            .or_default()
            .push(event);
    }

    /// Plays until some seconds after the deadline.
    #[allow(clippy::cast_possible_truncation)]
    pub fn play(mut self) -> Outcome {
        let deadline = self.spec.duration.as_millis() as u64;
        // What is sent after the deadline shows whether a roll-back takes effect.
        while self.now < deadline + 6000 {
            self.now += TICK_MS;
            while let Some(entry) = self.events.first_entry() {
                if *entry.key() > self.now {
                    break;
                }
                for event in entry.remove() {
                    self.handle(event);
                }
            }
            self.arrivals(deadline);
            self.beats();
            if self.now.is_multiple_of(100) {
                self.decisions();
            }
        }
        self.outcome.phase = self.stored.as_ref().map(|state| state.phase);
        self.outcome
    }

    fn arrivals(&mut self, deadline: u64) {
        if self.now.is_multiple_of(600) {
            for endpoint in 0..2 * ENDPOINTS {
                if self.random.random_bool(0.15) {
                    self.noisy_until[endpoint] = self.now + 600;
                }
            }
        }
        let is_burst = self.during(Fault::Burst, 5000);
        let is_draining = self
            .stored
            .as_ref()
            .is_some_and(|state| state.phase == Phase::Draining);
        let is_drain_burst = self.scenario.fault == Fault::DrainBurst && is_draining;
        let factor = if is_burst || is_drain_burst { 2.2 } else { 1.0 };
        #[allow(clippy::cast_precision_loss)]
        let mean = self.scenario.rate * factor * TICK_MS as f64 / 1000.0;
        // Poisson arrivals: exponential gaps within the tick.
        let mut left = mean;
        loop {
            left += self.random.random::<f64>().max(1e-12).ln();
            if left < 0.0 {
                return;
            }
            self.arrive(deadline, is_burst);
        }
    }

    fn is_bad_now(&self, route: usize) -> bool {
        let version = self.scenario.version;
        let phase = self.stored.as_ref().map(|state| state.phase);
        let is_begun = match version.onset {
            #[allow(clippy::cast_precision_loss)]
            Onset::At(part) => self.now as f64 / 1000.0 >= part * self.scenario.duration,
            Onset::Load | Onset::Draining => phase.is_some_and(|phase| phase != Phase::Running),
        };
        is_begun && version.route.is_none_or(|affected| affected == route)
    }

    fn arrive(&mut self, deadline: u64, is_burst: bool) {
        let node = loop {
            let node = self.random.random_range(0..self.nodes.len());
            if self.random.random::<f64>() * 1.2 < self.nodes[node].part {
                break node;
            }
        };
        let mut draw = self.random.random::<f64>();
        let mut route = 0;
        while route + 1 < ROUTES.len() && draw >= ROUTES[route].1 {
            draw -= ROUTES[route].1;
            route += 1;
        }
        let sample = self.random.random::<f64>();
        let group = match &self.nodes[node].state {
            None => Group::Baseline,
            Some(state) => {
                let filter = state.filter_at(self.nodes[node].weight, sample);
                if filter.allows(Some(&self.spec.target)) {
                    Group::Canary
                } else {
                    Group::Baseline
                }
            }
        };
        if self.now <= deadline {
            self.outcome.total += 1;
        }
        if group == Group::Canary {
            if self.now <= deadline {
                self.outcome.canary += 1;
            }
            if let Some(at) = self.fiftieth_bad {
                #[allow(clippy::cast_precision_loss)]
                let late = (self.now - at) as f64 / 1000.0;
                self.outcome.late_s = self.outcome.late_s.max(late);
            }
        } else {
            let is_completed = self
                .stored
                .as_ref()
                .is_some_and(|state| state.phase == Phase::Completed);
            self.outcome.is_order_broken |= is_completed;
            self.old_in_flight += 1;
            self.nodes[node].report.baseline_in_flight += 1;
        }
        let offset = if group == Group::Canary { ENDPOINTS } else { 0 };
        let endpoint = offset + self.random.random_range(0..ENDPOINTS);
        let spread = (0.35 * normal(&mut self.random)).exp();
        let is_noisy = self.noisy_until[endpoint] > self.now;
        let mut factor = spread * if is_noisy { 2.5 } else { 1.0 };
        let mut failed = self.random.random_bool(0.002);
        if is_burst && self.random.random_bool(0.2) {
            factor *= 3.5;
        }
        let is_crashed = self.during(Fault::Endpoints, 800)
            || (self.scenario.fault == Fault::Endpoints
                && (self.fault_at + 2000..self.fault_at + 2800).contains(&self.now));
        failed |= is_crashed && endpoint % ENDPOINTS == 3;
        if self.during(Fault::CutOff, 3000) && self.nodes[node].dc == 1 {
            failed |= self.random.random_bool(0.5);
        }
        if group == Group::Canary && self.is_bad_now(route) {
            self.has_turned_bad |= !self.scenario.version.is_good();
            failed |= self.random.random_bool(self.scenario.version.failed);
            if self.random.random_bool(self.scenario.version.slow) {
                factor *= 6.0;
            }
        }
        let slow = !failed && factor > SLOW_FACTOR;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let delay = (self.scenario.answer_ms * self.speeds[endpoint] * factor) as u64;
        self.count(node, route, group, |counts| counts.sent += 1);
        self.at(
            delay,
            Event::Answer {
                node,
                route,
                group,
                failed,
                slow,
            },
        );
    }

    fn count(&mut self, node: usize, route: usize, group: Group, change: impl Fn(&mut Counts)) {
        let key = (self.routes[route].clone(), group);
        change(self.nodes[node].report.samples.entry(key).or_default());
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Answer {
                node,
                route,
                group,
                failed,
                slow,
            } => {
                self.count(node, route, group, |counts| {
                    counts.answered += 1;
                    counts.failed += u32::from(failed);
                    counts.slow += u32::from(slow);
                });
                if group == Group::Baseline {
                    self.old_in_flight -= 1;
                    let node = &mut self.nodes[node];
                    node.report.baseline_in_flight -= 1;
                    let phase = node.state.as_ref().map(|state| state.phase);
                    if phase == Some(Phase::Draining) && node.report.baseline_in_flight == 0 {
                        node.next_beat = self.now;
                    }
                } else if (failed || slow) && self.has_turned_bad {
                    self.bad_answers += 1;
                    if self.bad_answers == 50 {
                        self.fiftieth_bad = Some(self.now);
                    }
                }
            }
            Event::Commit {
                coordinator,
                base,
                state,
                reason,
            } => self.commit(coordinator, base, &state, reason),
            Event::Read { node, state } => {
                let node = &mut self.nodes[node];
                if node.state.as_ref().is_none_or(|old| state.step > old.step) {
                    // A step that others wait for is reported at once.
                    node.next_beat = self.now;
                    node.report.step = state.step;
                    node.weight = state.weight;
                    node.state = Some(state);
                }
            }
            Event::ReadByCoordinator { coordinator, state } => {
                let coordinator = &mut self.coordinators[coordinator];
                let old = coordinator.state.as_ref();
                if old.is_none_or(|old| state.step > old.step) {
                    coordinator.state = Some(state);
                    coordinator.wants_since = None;
                }
            }
        }
    }

    fn commit(&mut self, coordinator: usize, base: Step, state: &State, reason: String) {
        self.coordinators[coordinator].is_writing = false;
        let current = self
            .stored
            .as_ref()
            .map_or(Step::default(), |stored| stored.step);
        if current != base || self.is_store_down() {
            return;
        }
        if state.phase == Phase::Completed {
            self.outcome.is_order_broken |= self.old_in_flight > 0;
        }
        if state.phase.is_final() {
            #[allow(clippy::cast_precision_loss)]
            let ended = self.now as f64 / 1000.0;
            self.outcome.ended_s = ended;
        }
        self.outcome.reason = reason;
        self.stored = Some(state.clone());
        for node in 0..self.nodes.len() {
            let delay = if self.nodes[node].polls {
                self.random.random_range(10..1500)
            } else {
                self.store_delay()
            };
            let state = state.clone();
            self.at(delay, Event::Read { node, state });
        }
        for coordinator in 0..self.coordinators.len() {
            let delay = self.store_delay();
            let state = state.clone();
            self.at(delay, Event::ReadByCoordinator { coordinator, state });
        }
    }

    fn fleet_report(coordinator: &Coordinator) -> (Report, Report) {
        let mut own = empty_report();
        for report in coordinator.nodes.values() {
            own.merge(report);
        }
        let mut all = own.clone();
        for report in coordinator.others.values() {
            all.merge(report);
        }
        (own, all)
    }

    fn beats(&mut self) {
        let cut_off = self.during(Fault::CutOff, 3000);
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            if node.next_beat > self.now {
                continue;
            }
            node.next_beat = self.now + node.period_ms;
            let coordinator = &mut self.coordinators[node.dc];
            if coordinator.dead_until <= self.now {
                let old = coordinator.nodes.insert(index, node.report.clone());
                let phase = node.state.as_ref().map(|state| state.phase);
                let is_news = phase == Some(Phase::Draining)
                    && old.is_none_or(|old| {
                        old.step < node.report.step
                            || (old.baseline_in_flight > 0 && node.report.baseline_in_flight == 0)
                    });
                // News on draining is passed on with a spacing of 50 ms.
                if is_news {
                    coordinator.next_beat = coordinator.next_beat.min(self.now + 50);
                }
            }
        }
        for index in 0..self.coordinators.len() {
            let coordinator = &mut self.coordinators[index];
            if coordinator.next_beat > self.now || coordinator.dead_until > self.now {
                continue;
            }
            coordinator.next_beat = self.now + coordinator.period_ms;
            let (own, all) = Self::fleet_report(coordinator);
            for (other, receiver) in self.coordinators.iter_mut().enumerate() {
                let is_cut = cut_off && (other == 1 || index == 1);
                if other != index && !is_cut {
                    receiver.others.insert(index, own.clone());
                }
            }
            for node in &mut self.nodes {
                if node.dc == index
                    && let Some(state) = &node.state
                {
                    node.weight = node.weight.min(state.weight_under(&all));
                }
            }
        }
    }

    fn decisions(&mut self) {
        if self.scenario.fault == Fault::WriterKilled
            && self.now >= self.fault_at
            && self.coordinators[0].dead_until == 0
        {
            let killed = &mut self.coordinators[0];
            killed.controller = Controller::new(Settings::default());
            killed.dead_until = self.now + 2000;
            killed.state = None;
            killed.nodes.clear();
            killed.others.clear();
        }
        let registered = u32::try_from(self.nodes.len()).expect("few nodes");
        // The first three are enough to test that others take over.
        for index in 0..self.coordinators.len().min(3) {
            let coordinator = &mut self.coordinators[index];
            if coordinator.dead_until > self.now {
                continue;
            }
            if coordinator.dead_until > 0 && coordinator.state.is_none() {
                coordinator.state.clone_from(&self.stored);
            }
            let (_, all) = Self::fleet_report(coordinator);
            let now = time::Instant::from_micros((self.now + 77_000) * 1000);
            let endpoints = u32::try_from(ENDPOINTS).expect("few endpoints");
            let decision = coordinator.controller.decide(
                now,
                &self.spec,
                (coordinator.state.as_ref(), now),
                &all,
                registered,
                endpoints,
                endpoints,
            );
            let Decision::Write(state, reason) = decision else {
                coordinator.wants_since = None;
                continue;
            };
            let since = *coordinator.wants_since.get_or_insert(self.now);
            let rank = u64::try_from(index).expect("few coordinators");
            if self.now < since + rank * RANK_DELAY_MS || coordinator.is_writing {
                continue;
            }
            coordinator.is_writing = true;
            let base = coordinator
                .state
                .as_ref()
                .map_or(Step::default(), |state| state.step);
            let delay = self.store_delay();
            let event = Event::Commit {
                coordinator: index,
                base,
                state,
                reason: reason.to_string(),
            };
            self.at(delay, event);
        }
    }
}

//! Runs the schedulers of all nodes in virtual time against simulated engines.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use dottereltally_lib::{
    balance::Policy,
    configuration::{self, Configuration},
    effect::Effect,
    endpoint::{Cache, Load, Record, Standing},
    event::{Event, Outcome},
    id,
    refusal::Reason,
    request::Profile,
    scheduler::{Scheduler, Settings},
    size::Tokens,
    time::Instant,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    fake::{Engine, Job, Notice},
    scenario::{self, BURST_END, FAULT_START, Fault, KINDS, Scenario},
};

/// Step of the simulation in microseconds.
const STEP_MICROS: u64 = 10_000;

/// Only requests that arrive between these seconds of the run are measured.
const MEASURED_SECONDS: (f64, f64) = (30.0, 90.0);

/// Second at which the run ends.
const END_SECONDS: f64 = 150.0;

/// Probability that a message between nodes or a load report is lost; cache
/// events are lost a hundred times less often.
const LOSS_PROBABILITY: f64 = 0.01;

/// Delay of a load report in microseconds.
const REPORT_DELAY_MICROS: u64 = 2_000_000;

/// Time in microseconds until a silent link is detected.
const SILENCE_TIMEOUT_MICROS: u64 = 2_000_000;

/// Results of a run; requests are counted by kind, work in decoded tokens.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    /// Requests that arrived, by kind.
    pub offered: [u64; 6],
    /// Requests that were answered by their deadline, by kind.
    pub good: [u64; 6],
    /// Work of the model requests that arrived.
    pub offered_work: f64,
    /// Work of the model requests that were answered by their deadline.
    pub good_work: f64,
    /// Work that the model engines can do in the measured time.
    pub capacity_work: f64,
    /// Prompt tokens that engines computed.
    pub prefill: u64,
    /// The part of `prefill` that another engine had cached, or that was computed
    /// for a request which got no complete answer.
    pub wasted: u64,
    /// Seconds to the first token of each model request of the highest tier.
    pub first_token: Vec<f64>,
    /// Requests that were refused.
    pub refused: u64,
    /// Refusals for overload or deadline while a lower tier waited for the same
    /// service.
    pub violations: u64,
    /// Messages of the admission protocol between nodes.
    pub messages: u64,
}

/// A scheduled action.
enum Message {
    /// The scheduler of a node gets an event.
    ToScheduler(usize, Event),
    /// An engine gets a job.
    ToEngine(usize, Job),
    /// The deadline of a node's request passes.
    Deadline(usize, u64),
}

/// A request that has not ended.
struct Tracked {
    /// Index in [`KINDS`].
    kind: usize,
    /// Second of the run in which it arrived.
    arrived: f64,
    profile: Arc<Profile>,
    /// Tokens of the part of its prompt that is unique to it.
    unique: u64,
    /// Tokens of its answer.
    output: u64,
    /// Hashes of its prompt's blocks, also without affinity.
    prefixes: Vec<id::Prefix>,
    /// Engine that it was admitted to; `None` before.
    engine: Option<usize>,
    /// The part of `prefill` that another engine had cached.
    wasted: u64,
    /// Prompt tokens that the engine computes.
    prefill: u64,
}

/// A simulation run.
pub struct Run {
    scenario: Scenario,
    /// Virtual time in microseconds.
    now: u64,
    /// Number of messages and requests so far.
    sequence: u64,
    /// Pending messages by due time and sequence.
    messages: BTreeMap<(u64, u64), Message>,
    /// Scheduler of each node; `None` for a killed one.
    schedulers: Vec<Option<Scheduler>>,
    engines: Vec<Engine>,
    /// Sequence number of each engine's last cache event.
    cache_sequences: Vec<u64>,
    /// Requests that have not ended, by node and number.
    requests: BTreeMap<(usize, u64), Tracked>,
    /// Number of waiting requests by service and tier.
    waiting: BTreeMap<(&'static str, u8), u64>,
    workload_rng: SmallRng,
    network_rng: SmallRng,
    /// Whether requests carry prefixes and engines publish cache events.
    affinity: bool,
    /// Whether the third data centre is cut off from the others.
    partitioned: bool,
    outcomes: Outcomes,
}

fn endpoint_id(engine: usize) -> id::Endpoint {
    format!("e{engine:03}").into()
}

fn node_id(node: usize) -> id::Node {
    format!("n{node:03}").into()
}

/// Returns the index in an identifier of [`endpoint_id`] or [`node_id`].
fn index_of(name: &str) -> usize {
    name[1..].parse().expect("an identifier ends in its index")
}

impl Run {
    pub fn new(scenario: Scenario, policy: Policy, affinity: bool, seed: u64) -> Self {
        let mut engines = Vec::new();
        // Decoding speeds in tokens per second, of a full batch and of one stream,
        // and tokens of running requests.
        let engine_sizes = [
            (2400.0, 80.0, 200_000),
            (1200.0, 60.0, 120_000),
            (600.0, 45.0, 80_000),
        ];
        for number in 0..scenario.engines {
            let size = engine_sizes[(number / scenario.data_centres) % engine_sizes.len()];
            engines.push(Engine::new("llm", number % scenario.data_centres, size));
        }
        for number in 0..3 {
            engines.push(Engine::new(
                "app",
                number % scenario.data_centres,
                (200.0, 50.0, 8),
            ));
        }
        let mut run = Self {
            scenario,
            now: 0,
            sequence: 0,
            messages: BTreeMap::new(),
            schedulers: Vec::new(),
            cache_sequences: vec![0; engines.len()],
            engines,
            requests: BTreeMap::new(),
            waiting: BTreeMap::new(),
            workload_rng: SmallRng::seed_from_u64(seed),
            network_rng: SmallRng::seed_from_u64(seed + 1000),
            affinity,
            partitioned: false,
            outcomes: Outcomes::default(),
        };
        for node in 0..scenario.nodes {
            run.schedulers.push(Some(Scheduler::new(Settings {
                node: node_id(node),
                data_centre: format!("dc{}", node % scenario.data_centres).into(),
                seed: seed * 1000 + node as u64,
                policy,
            })));
        }
        for node in 0..scenario.nodes {
            run.handle_event(node, Event::Configured(configuration()));
            let records = run.records();
            run.handle_event(node, Event::Listed(records));
        }
        run.send_members();
        let llm = run.engines.iter().filter(|engine| engine.service == "llm");
        let rate: f64 = llm.map(|engine| engine.decode_rate).sum();
        run.outcomes.capacity_work = rate * (MEASURED_SECONDS.1 - MEASURED_SECONDS.0);
        run
    }

    /// Runs to the end and returns the results.
    pub fn finish(mut self) -> Outcomes {
        let steps = (END_SECONDS * 1e6) as u64 / STEP_MICROS;
        for step in 0..steps {
            self.now = step * STEP_MICROS;
            self.apply_fault(step);
            self.generate_arrivals();
            while let Some(entry) = self.messages.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let message = entry.remove();
                self.deliver(message);
            }
            self.step_engines(step);
            if step % 10 == 0 {
                for node in 0..self.schedulers.len() {
                    self.handle_event(node, Event::Tick);
                }
            }
        }
        self.outcomes
    }

    fn records(&self) -> Vec<Record> {
        let record = |(number, engine): (usize, &Engine)| Record {
            id: endpoint_id(number),
            address: format!("10.0.0.1:{number}"),
            service: engine.service.into(),
            data_centre: format!("dc{}", engine.data_centre).into(),
            standing: Standing::Live,
            capacity: None,
            version: None,
        };
        self.engines.iter().enumerate().map(record).collect()
    }

    /// Sends every node the list of the peers that it reaches.
    fn send_members(&mut self) {
        for node in 0..self.schedulers.len() {
            let mut members = Vec::new();
            for peer in 0..self.schedulers.len() {
                if self.schedulers[peer].is_some()
                    && self.is_reachable(node, peer % self.scenario.data_centres)
                {
                    let data_centre = format!("dc{}", peer % self.scenario.data_centres);
                    members.push((node_id(peer), data_centre.into()));
                }
            }
            self.schedule(
                SILENCE_TIMEOUT_MICROS,
                Message::ToScheduler(node, Event::Members(members)),
            );
        }
    }

    /// Returns whether a node reaches a data centre.
    fn is_reachable(&self, node: usize, data_centre: usize) -> bool {
        let own_data_centre = node % self.scenario.data_centres;
        !self.partitioned
            || own_data_centre == data_centre
            || (own_data_centre != 2 && data_centre != 2)
    }

    /// Returns a random delay from a node to a data centre in microseconds.
    fn delay(&mut self, node: usize, data_centre: usize) -> u64 {
        let local = node % self.scenario.data_centres == data_centre;
        let base = if local { 300 } else { 4000 };
        base + self.network_rng.random_range(0..base)
    }

    /// Schedules a message after a delay in microseconds.
    fn schedule(&mut self, delay: u64, message: Message) {
        self.sequence += 1;
        self.messages
            .insert((self.now + delay, self.sequence), message);
    }

    fn seconds(&self) -> f64 {
        self.now as f64 / 1e6
    }

    /// Generates the arrivals of one step.
    fn generate_arrivals(&mut self) {
        let seconds = self.seconds();
        let burst = (FAULT_START..BURST_END).contains(&seconds);
        let load = if burst {
            self.scenario.burst
        } else {
            self.scenario.load
        };
        for (number, kind) in KINDS.iter().enumerate() {
            let of_service = self
                .engines
                .iter()
                .filter(|engine| engine.service == kind.service);
            let capacity: f64 = of_service.map(|engine| engine.decode_rate).sum();
            let rate = capacity * kind.work_share * load / kind.mean_work();
            let mut expected = rate * STEP_MICROS as f64 / 1e6;
            while expected > 0.0 && self.workload_rng.random::<f64>() < expected.min(1.0) {
                self.arrive(number);
                expected -= 1.0;
            }
        }
    }

    /// Submits a random request of a kind to a random node.
    fn arrive(&mut self, number: usize) {
        let kind = &KINDS[number];
        let workspace = scenario::workspace(&mut self.workload_rng);
        let unique = if kind.unique > 0 {
            scenario::length(&mut self.workload_rng, kind.unique)
        } else {
            0
        };
        let output = if kind.output > 1 {
            scenario::length(&mut self.workload_rng, kind.output)
        } else {
            1
        };
        let prefixes = scenario::prefixes(&mut self.workload_rng, number, workspace, unique);
        let alive: Vec<usize> = (0..self.schedulers.len())
            .filter(|node| self.schedulers[*node].is_some())
            .collect();
        let node = alive[self.workload_rng.random_range(0..self.schedulers.len()) % alive.len()];
        let fingerprint = id::Fingerprint(self.workload_rng.random());
        let now = Instant::from_micros(self.now);
        let profile = Arc::new(Profile {
            call: format!("k{number}").into(),
            service: kind.service.into(),
            model: None,
            workspace: format!("w{workspace}").into(),
            tier: id::Tier(kind.tier),
            received: now,
            deadline: now + Duration::from_secs(kind.deadline),
            prompt: Tokens(kind.shared + unique),
            output: Tokens(kind.output * 2),
            prefixes: if self.affinity {
                prefixes.clone()
            } else {
                Vec::new()
            },
            fingerprint,
            idempotent: true,
        });
        self.sequence += 1;
        let request = self.sequence;
        let tracked = Tracked {
            kind: number,
            arrived: self.seconds(),
            profile: Arc::clone(&profile),
            unique,
            output,
            prefixes,
            engine: None,
            wasted: 0,
            prefill: 0,
        };
        if Self::is_measured(&tracked) {
            self.outcomes.offered[number] += 1;
            if kind.service == "llm" {
                self.outcomes.offered_work += scenario::work(unique, output);
            }
        }
        self.requests.insert((node, request), tracked);
        *self.waiting.entry((kind.service, kind.tier)).or_default() += 1;
        self.schedule(kind.deadline * 1_000_000, Message::Deadline(node, request));
        self.handle_event(node, Event::Arrived(id::Request(request), profile));
    }

    fn is_measured(tracked: &Tracked) -> bool {
        (MEASURED_SECONDS.0..MEASURED_SECONDS.1).contains(&tracked.arrived)
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::ToScheduler(node, event) => self.handle_event(node, event),
            Message::Deadline(node, request) => self.expire(node, request),
            Message::ToEngine(engine, job) if self.engines[engine].alive => {
                self.engines[engine].waiting.push_back(job);
            }
            Message::ToEngine(_, job) => {
                self.schedule(
                    500,
                    Message::ToScheduler(job.node, Event::Unsent(id::Request(job.request))),
                );
            }
        }
    }

    /// Passes an event to a scheduler and carries out the resulting effects.
    fn handle_event(&mut self, node: usize, event: Event) {
        let Some(scheduler) = &mut self.schedulers[node] else {
            return;
        };
        let effects = scheduler.handle(Instant::from_micros(self.now), event);
        for effect in effects {
            match effect {
                Effect::Admit(request, endpoint) => {
                    self.admit(node, request.0, index_of(endpoint.as_str()));
                }
                Effect::Refuse(request, refusal) => self.refuse(node, request.0, refusal.reason),
                Effect::Probe(endpoint) => self.probe(node, endpoint),
                Effect::Quarantine(fingerprint) => self.spread_quarantine(node, fingerprint),
                Effect::Send(peer, message) => {
                    self.outcomes.messages += 1;
                    let peer = index_of(peer.as_str());
                    if self.is_reachable(node, peer % self.scenario.data_centres)
                        && self.network_rng.random::<f64>() >= LOSS_PROBABILITY
                    {
                        let delay = self.delay(node, peer % self.scenario.data_centres);
                        self.schedule(
                            delay,
                            Message::ToScheduler(peer, Event::Peer(node_id(node), message)),
                        );
                    }
                }
            }
        }
    }

    fn admit(&mut self, node: usize, request: u64, engine: usize) {
        let Some(tracked) = self.requests.get_mut(&(node, request)) else {
            return;
        };
        tracked.engine = Some(engine);
        let job = Job {
            node,
            request,
            prompt: tracked.profile.prompt.0,
            output: tracked.output,
            prefixes: tracked.prefixes.clone(),
            cached: 0,
            prefill: 0.0,
            produced: 0.0,
            decoded: 0,
            sent: 0,
        };
        let kind = &KINDS[tracked.kind];
        *self.waiting.entry((kind.service, kind.tier)).or_default() -= 1;
        let data_centre = self.engines[engine].data_centre;
        if self.is_reachable(node, data_centre) {
            let delay = self.delay(node, data_centre);
            self.schedule(delay, Message::ToEngine(engine, job));
        } else {
            let unsent = Event::Unsent(id::Request(request));
            *self.waiting.entry((kind.service, kind.tier)).or_default() += 1;
            self.schedule(SILENCE_TIMEOUT_MICROS, Message::ToScheduler(node, unsent));
        }
    }

    fn refuse(&mut self, node: usize, request: u64, reason: Reason) {
        let Some(tracked) = self.requests.remove(&(node, request)) else {
            return;
        };
        let kind = &KINDS[tracked.kind];
        *self.waiting.entry((kind.service, kind.tier)).or_default() -= 1;
        if !Self::is_measured(&tracked) {
            return;
        }
        self.outcomes.refused += 1;
        let lower = self
            .waiting
            .range((kind.service, kind.tier + 1)..=(kind.service, u8::MAX));
        if matches!(reason, Reason::Overload | Reason::Deadline)
            && lower.map(|(_, count)| count).sum::<u64>() > 0
        {
            self.outcomes.violations += 1;
        }
    }

    /// Cancels a request whose deadline has passed.
    fn expire(&mut self, node: usize, request: u64) {
        let Some(tracked) = self.requests.remove(&(node, request)) else {
            return;
        };
        let Some(engine) = tracked.engine else {
            let kind = &KINDS[tracked.kind];
            *self.waiting.entry((kind.service, kind.tier)).or_default() -= 1;
            return self.handle_event(node, Event::Withdrawn(id::Request(request)));
        };
        self.engines[engine].cancel(node, request);
        self.count(&tracked, false);
        self.handle_event(node, Event::Ended(id::Request(request), Outcome::Cancelled));
    }

    /// Counts a request that was admitted to an engine; `good` is whether it was
    /// answered by its deadline.
    fn count(&mut self, tracked: &Tracked, good: bool) {
        if !Self::is_measured(tracked) {
            return;
        }
        let kind = &KINDS[tracked.kind];
        self.outcomes.prefill += tracked.prefill;
        self.outcomes.wasted += if good {
            tracked.wasted
        } else {
            tracked.prefill
        };
        if !good {
            return;
        }
        self.outcomes.good[tracked.kind] += 1;
        if kind.service == "llm" {
            self.outcomes.good_work += scenario::work(tracked.unique, tracked.output);
        }
    }

    fn probe(&mut self, node: usize, endpoint: id::Endpoint) {
        let engine = &self.engines[index_of(endpoint.as_str())];
        let (alive, data_centre) = (engine.alive, engine.data_centre);
        let reachable = self.is_reachable(node, data_centre);
        let delay = if reachable {
            2 * self.delay(node, data_centre)
        } else {
            SILENCE_TIMEOUT_MICROS
        };
        self.schedule(
            delay,
            Message::ToScheduler(node, Event::Probed(endpoint, alive && reachable)),
        );
    }

    /// Sends the fingerprint of a quarantined request to the reachable peers.
    fn spread_quarantine(&mut self, node: usize, fingerprint: id::Fingerprint) {
        for peer in 0..self.schedulers.len() {
            if peer != node && self.is_reachable(node, peer % self.scenario.data_centres) {
                let suspected = vec![(fingerprint, Duration::from_mins(10))];
                self.schedule(
                    1_000_000,
                    Message::ToScheduler(peer, Event::Suspected(suspected)),
                );
            }
        }
    }

    fn step_engines(&mut self, step: u64) {
        for engine in 0..self.engines.len() {
            if !self.engines[engine].alive {
                continue;
            }
            for (node, request, notice) in self.engines[engine].step(STEP_MICROS as f64 / 1e6) {
                self.notify(engine, node, request, notice);
            }
            self.publish_cache_events(engine);
            if step % 50 == engine as u64 % 50 {
                self.report_load(engine);
            }
        }
    }

    /// Passes an event of a job to the node of its request.
    fn notify(&mut self, engine: usize, node: usize, request: u64, notice: Notice) {
        let key = (node, request);
        let data_centre = self.engines[engine].data_centre;
        if !self.is_reachable(node, data_centre) {
            return;
        }
        let Some(tracked) = self.requests.get_mut(&key) else {
            return;
        };
        let id = id::Request(request);
        let event = match notice {
            Notice::PrefillStarted { cached } => {
                let shared = &tracked.prefixes[..(KINDS[tracked.kind].shared / 64) as usize];
                let others = self.engines.iter().filter(|other| other.alive);
                let best = others.map(|other| other.cached(shared)).max().unwrap_or(0);
                tracked.prefill = tracked.profile.prompt.0 - cached;
                tracked.wasted = best.saturating_sub(cached);
                return;
            }
            Notice::FirstToken => {
                let elapsed = self.now as f64 / 1e6 - tracked.arrived;
                if KINDS[tracked.kind].service == "llm"
                    && KINDS[tracked.kind].tier == 0
                    && (MEASURED_SECONDS.0..MEASURED_SECONDS.1).contains(&tracked.arrived)
                {
                    self.outcomes.first_token.push(elapsed);
                }
                Event::Started(id)
            }
            Notice::Finished { cached, output } => {
                let output = Tokens(output);
                let tracked = self
                    .requests
                    .remove(&key)
                    .expect("a running request is tracked");
                self.count(&tracked, true);
                Event::Ended(
                    id,
                    Outcome::Answered {
                        cached: Tokens(cached),
                        output,
                    },
                )
            }
        };
        let delay = self.delay(node, data_centre);
        self.schedule(delay, Message::ToScheduler(node, event));
    }

    /// Publishes cache events with a delay and with losses.
    fn publish_cache_events(&mut self, engine: usize) {
        for change in std::mem::take(&mut self.engines[engine].changes) {
            self.cache_sequences[engine] += 1;
            if !self.affinity {
                continue;
            }
            for node in 0..self.schedulers.len() {
                if self.is_reachable(node, self.engines[engine].data_centre)
                    && self.network_rng.random::<f64>() >= LOSS_PROBABILITY / 100.0
                {
                    let sequence = self.cache_sequences[engine];
                    let event = Event::Cached(endpoint_id(engine), Cache { sequence, change });
                    self.schedule(500_000, Message::ToScheduler(node, event));
                }
            }
        }
    }

    /// Sends the load of an engine to all nodes, and progress to the nodes of its
    /// jobs.
    fn report_load(&mut self, engine: usize) {
        let source = &self.engines[engine];
        let load = Load {
            running: source.running.len() as u32,
            waiting: source.waiting.len() as u32,
            tokens: Tokens(if source.service == "app" {
                (source.running.len() + source.waiting.len()) as u64
            } else {
                source.tokens()
            }),
            models: BTreeSet::new(),
            standing: Standing::Live,
        };
        for node in 0..self.schedulers.len() {
            if self.is_reachable(node, self.engines[engine].data_centre)
                && self.network_rng.random::<f64>() >= LOSS_PROBABILITY
            {
                self.schedule(
                    REPORT_DELAY_MICROS,
                    Message::ToScheduler(node, Event::Reported(endpoint_id(engine), load.clone())),
                );
            }
        }
        let mut events = Vec::new();
        for job in &mut self.engines[engine].running {
            let new_tokens = Tokens(job.decoded - job.sent);
            job.sent = job.decoded;
            if new_tokens.0 > 0 {
                events.push((
                    job.node,
                    Event::Progressed(id::Request(job.request), new_tokens),
                ));
            }
        }
        for (node, event) in events {
            if self.is_reachable(node, self.engines[engine].data_centre) {
                self.schedule(1000, Message::ToScheduler(node, event));
            }
        }
    }

    /// Starts or ends the fault of the scenario when it is due.
    fn apply_fault(&mut self, step: u64) {
        let begin = step == (FAULT_START * 1e6) as u64 / STEP_MICROS;
        let end = step == (BURST_END * 1e6) as u64 / STEP_MICROS;
        match self.scenario.fault {
            Fault::Straggler if begin => self.engines[0].speed = 0.1,
            Fault::NodeKilled if begin => self.kill_node(3),
            Fault::DataCentreCut if begin || end => {
                self.partitioned = begin;
                let lost = |run: &Self, node: usize, engine: usize| {
                    !run.is_reachable(node, run.engines[engine].data_centre)
                };
                self.end_lost(lost, Outcome::Stalled, SILENCE_TIMEOUT_MICROS);
                self.send_members();
            }
            Fault::EngineCrash if begin => {
                self.end_lost(|_, _, engine| engine == 0, Outcome::Broken, 500);
                self.engines[0].alive = false;
                self.engines[0].cache.clear();
            }
            Fault::EngineCrash if end => self.engines[0].alive = true,
            _ => {}
        }
    }

    fn kill_node(&mut self, node: usize) {
        self.schedulers[node] = None;
        let lost: Vec<(usize, u64)> = self
            .requests
            .keys()
            .filter(|key| key.0 == node)
            .copied()
            .collect();
        for key in lost {
            let tracked = self
                .requests
                .remove(&key)
                .expect("the key was listed above");
            let kind = &KINDS[tracked.kind];
            match tracked.engine {
                Some(engine) => self.engines[engine].cancel(key.0, key.1),
                None => *self.waiting.entry((kind.service, kind.tier)).or_default() -= 1,
            }
            self.count(&tracked, false);
        }
        self.send_members();
    }

    /// Ends the requests at engines that a fault has interrupted: those for whose
    /// node and engine `lost` returns true. Their nodes learn of it after `delay`
    /// microseconds.
    fn end_lost(
        &mut self,
        lost: impl Fn(&Self, usize, usize) -> bool,
        outcome: Outcome,
        delay: u64,
    ) {
        let keys: Vec<(usize, u64)> = self.requests.keys().copied().collect();
        for key in keys {
            let Some(engine) = self.requests[&key].engine else {
                continue;
            };
            if !lost(self, key.0, engine) {
                continue;
            }
            let tracked = self
                .requests
                .remove(&key)
                .expect("the key was listed above");
            self.engines[engine].cancel(key.0, key.1);
            self.count(&tracked, false);
            self.schedule(
                delay,
                Message::ToScheduler(key.0, Event::Ended(id::Request(key.1), outcome)),
            );
        }
    }
}

fn configuration() -> Arc<Configuration> {
    let service = |kind, window| configuration::Service {
        kind,
        depends_on: BTreeSet::new(),
        models: BTreeSet::new(),
        adapters: BTreeSet::new(),
        window: Tokens(window),
    };
    let workspace = configuration::Workspace {
        keys: BTreeSet::new(),
        share: 1,
        limit: None,
    };
    let workspaces =
        (0..5).map(|number| (id::Workspace::from(format!("w{number}")), workspace.clone()));
    Arc::new(Configuration {
        tiers: ["gate", "plan", "chat", "tag"].map(String::from).to_vec(),
        services: BTreeMap::from([
            ("llm".into(), service(configuration::Kind::Model, 60_000)),
            ("app".into(), service(configuration::Kind::Plain, 8)),
        ]),
        calls: BTreeMap::new(),
        workspaces: workspaces.collect(),
    })
}

//! Drives the cores of all nodes in virtual time against fake engines.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use dottereltally_lib::{
    balance::Policy,
    effect::Effect,
    endpoint::{Cache, Load, Record, Standing},
    event::{Event, Outcome},
    id,
    refusal::Reason,
    request::Profile,
    scheduler::{Scheduler, Settings},
    size::Tokens,
    text::{self, Text},
    time::Instant,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    fake::{Engine, Job, Notice},
    scenario::{self, BURST_END, FAULT_AT, Fault, KINDS, Scenario},
};

/// Microseconds of one step of the engines.
const STEP: u64 = 10_000;

/// Seconds in which arrivals are measured, and at which the run ends.
const MEASURED: (f64, f64) = (30.0, 90.0);
const END: f64 = 150.0;

/// Part of the messages between nodes and of cache events that is lost.
const LOSS: f64 = 0.01;

/// Microseconds until a load report arrives.
const REPORT_DELAY: u64 = 2_000_000;

/// Microseconds after which a silent link is noticed.
const SILENCE: u64 = 2_000_000;

/// What came out of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    pub offered: [u64; 6],
    pub good: [u64; 6],
    pub offered_work: f64,
    pub good_work: f64,
    pub capacity_work: f64,
    pub prefill: u64,
    pub wasted: u64,
    pub first_token: Vec<f64>,
    pub refused: u64,
    pub violations: u64,
    pub messages: u64,
}

enum Message {
    ToCore(usize, Event),
    ToEngine(usize, Job),
    Leave(usize, u64),
}

struct Track {
    kind: usize,
    arrived: f64,
    profile: Arc<Profile>,
    own: u64,
    output: u64,
    prefixes: Vec<id::Prefix>,
    engine: Option<usize>,
    wasted: u64,
    prefill: u64,
}

pub struct Run {
    scenario: Scenario,
    now: u64,
    sequence: u64,
    heap: BTreeMap<(u64, u64), Message>,
    cores: Vec<Option<Scheduler>>,
    engines: Vec<Engine>,
    cache_sequences: Vec<u64>,
    tracks: BTreeMap<(usize, u64), Track>,
    waiting: BTreeMap<(&'static str, u8), u64>,
    work: SmallRng,
    net: SmallRng,
    affinity: bool,
    cut: bool,
    outcomes: Outcomes,
}

fn name(engine: usize) -> id::Endpoint {
    format!("e{engine:03}").into()
}

fn node_name(node: usize) -> id::Node {
    format!("n{node:03}").into()
}

fn number(name: &str) -> usize {
    name[1..].parse().expect("a number")
}

impl Run {
    pub fn new(scenario: Scenario, policy: Policy, affinity: bool, seed: u64) -> Self {
        let mut engines = Vec::new();
        let sizes = [
            (2400.0, 80.0, 200_000),
            (1200.0, 60.0, 120_000),
            (600.0, 45.0, 80_000),
        ];
        for number in 0..scenario.engines {
            let size = sizes[(number / scenario.data_centres) % sizes.len()];
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
            heap: BTreeMap::new(),
            cores: Vec::new(),
            cache_sequences: vec![0; engines.len()],
            engines,
            tracks: BTreeMap::new(),
            waiting: BTreeMap::new(),
            work: SmallRng::seed_from_u64(seed),
            net: SmallRng::seed_from_u64(seed + 1000),
            affinity,
            cut: false,
            outcomes: Outcomes::default(),
        };
        for node in 0..scenario.nodes {
            run.cores.push(Some(Scheduler::new(Settings {
                node: node_name(node),
                data_centre: format!("dc{}", node % scenario.data_centres).into(),
                seed: seed * 1000 + node as u64,
                policy,
            })));
        }
        for node in 0..scenario.nodes {
            run.tell(node, Event::Configured(text()));
            let records = run.records();
            run.tell(node, Event::Listed(records));
        }
        run.announce();
        let llm = run.engines.iter().filter(|engine| engine.service == "llm");
        let rate: f64 = llm.map(|engine| engine.decode).sum();
        run.outcomes.capacity_work = rate * (MEASURED.1 - MEASURED.0);
        run
    }

    pub fn finish(mut self) -> Outcomes {
        let steps = (END * 1e6) as u64 / STEP;
        for step in 0..steps {
            self.now = step * STEP;
            self.fault(step);
            self.arrivals();
            while let Some(entry) = self.heap.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let message = entry.remove();
                self.deliver(message);
            }
            self.step_engines(step);
            if step % 10 == 0 {
                for node in 0..self.cores.len() {
                    self.tell(node, Event::Tick);
                }
            }
        }
        self.outcomes
    }

    fn records(&self) -> Vec<Record> {
        let record = |(number, engine): (usize, &Engine)| Record {
            id: name(number),
            address: format!("10.0.0.1:{number}"),
            service: engine.service.into(),
            data_centre: format!("dc{}", engine.data_centre).into(),
            standing: Standing::Live,
            places: None,
        };
        self.engines.iter().enumerate().map(record).collect()
    }

    /// Tells every node of its reachable peers.
    fn announce(&mut self) {
        for node in 0..self.cores.len() {
            let mut members = Vec::new();
            for peer in 0..self.cores.len() {
                if self.cores[peer].is_some()
                    && self.linked(node, peer % self.scenario.data_centres)
                {
                    let data_centre = format!("dc{}", peer % self.scenario.data_centres);
                    members.push((node_name(peer), data_centre.into()));
                }
            }
            self.post(SILENCE, Message::ToCore(node, Event::Members(members)));
        }
    }

    /// Whether a node reaches a data centre.
    fn linked(&self, node: usize, data_centre: usize) -> bool {
        let own = node % self.scenario.data_centres;
        !self.cut || own == data_centre || (own != 2 && data_centre != 2)
    }

    /// Microseconds from a node to a data centre.
    fn delay(&mut self, node: usize, data_centre: usize) -> u64 {
        let local = node % self.scenario.data_centres == data_centre;
        let base = if local { 300 } else { 4000 };
        base + self.net.random_range(0..base)
    }

    fn post(&mut self, delay: u64, message: Message) {
        self.sequence += 1;
        self.heap.insert((self.now + delay, self.sequence), message);
    }

    fn seconds(&self) -> f64 {
        self.now as f64 / 1e6
    }

    fn arrivals(&mut self) {
        let seconds = self.seconds();
        let burst = (FAULT_AT..BURST_END).contains(&seconds);
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
            let capacity: f64 = of_service.map(|engine| engine.decode).sum();
            let rate = capacity * kind.work * load / kind.weight();
            let mut left = rate * STEP as f64 / 1e6;
            while left > 0.0 && self.work.random::<f64>() < left.min(1.0) {
                self.arrive(number);
                left -= 1.0;
            }
        }
    }

    fn arrive(&mut self, number: usize) {
        let kind = &KINDS[number];
        let workspace = scenario::workspace(&mut self.work);
        let own = if kind.own > 0 {
            scenario::length(&mut self.work, kind.own)
        } else {
            0
        };
        let output = if kind.output > 1 {
            scenario::length(&mut self.work, kind.output)
        } else {
            1
        };
        let prefixes = scenario::prefixes(&mut self.work, number, workspace, own);
        let alive: Vec<usize> = (0..self.cores.len())
            .filter(|node| self.cores[*node].is_some())
            .collect();
        let node = alive[self.work.random_range(0..self.cores.len()) % alive.len()];
        let fingerprint = id::Fingerprint(self.work.random());
        let now = Instant::from_micros(self.now);
        let profile = Arc::new(Profile {
            call: format!("k{number}").into(),
            service: kind.service.into(),
            model: None,
            workspace: format!("w{workspace}").into(),
            tier: id::Tier(kind.tier),
            received: now,
            deadline: now + Duration::from_secs(kind.deadline),
            prompt: Tokens(kind.shared + own),
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
        let track = Track {
            kind: number,
            arrived: self.seconds(),
            profile: Arc::clone(&profile),
            own,
            output,
            prefixes,
            engine: None,
            wasted: 0,
            prefill: 0,
        };
        if Self::is_measured(&track) {
            self.outcomes.offered[number] += 1;
            if kind.service == "llm" {
                self.outcomes.offered_work += scenario::weight(own, output);
            }
        }
        self.tracks.insert((node, request), track);
        *self.waiting.entry((kind.service, kind.tier)).or_default() += 1;
        self.post(kind.deadline * 1_000_000, Message::Leave(node, request));
        self.tell(node, Event::Arrived(id::Request(request), profile));
    }

    fn is_measured(track: &Track) -> bool {
        (MEASURED.0..MEASURED.1).contains(&track.arrived)
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::ToCore(node, event) => self.tell(node, event),
            Message::Leave(node, request) => self.leave(node, request),
            Message::ToEngine(engine, job) if self.engines[engine].alive => {
                self.engines[engine].waiting.push_back(job);
            }
            Message::ToEngine(_, job) => {
                self.post(
                    500,
                    Message::ToCore(job.node, Event::Unsent(id::Request(job.request))),
                );
            }
        }
    }

    /// Hands an event to a core and carries out what it asks for.
    fn tell(&mut self, node: usize, event: Event) {
        let Some(core) = &mut self.cores[node] else {
            return;
        };
        let effects = core.handle(Instant::from_micros(self.now), event);
        for effect in effects {
            match effect {
                Effect::Admit(request, endpoint) => {
                    self.admit(node, request.0, number(endpoint.as_str()));
                }
                Effect::Refuse(request, refusal) => self.refuse(node, request.0, refusal.reason),
                Effect::Probe(endpoint) => self.probe(node, endpoint),
                Effect::Quarantine(mark) => self.spread(node, mark),
                Effect::Send(peer, message) => {
                    self.outcomes.messages += 1;
                    let peer = number(peer.as_str());
                    if self.linked(node, peer % self.scenario.data_centres)
                        && self.net.random::<f64>() >= LOSS
                    {
                        let delay = self.delay(node, peer % self.scenario.data_centres);
                        self.post(
                            delay,
                            Message::ToCore(peer, Event::Peer(node_name(node), message)),
                        );
                    }
                }
            }
        }
    }

    fn admit(&mut self, node: usize, request: u64, engine: usize) {
        let Some(track) = self.tracks.get_mut(&(node, request)) else {
            return;
        };
        track.engine = Some(engine);
        let job = Job {
            node,
            request,
            prompt: track.profile.prompt.0,
            output: track.output,
            prefixes: track.prefixes.clone(),
            cached: 0,
            prefill: 0.0,
            produced: 0.0,
            reported: 0,
            sent: 0,
        };
        let kind = &KINDS[track.kind];
        *self.waiting.entry((kind.service, kind.tier)).or_default() -= 1;
        let data_centre = self.engines[engine].data_centre;
        if self.linked(node, data_centre) {
            let delay = self.delay(node, data_centre);
            self.post(delay, Message::ToEngine(engine, job));
        } else {
            let unsent = Event::Unsent(id::Request(request));
            *self.waiting.entry((kind.service, kind.tier)).or_default() += 1;
            self.post(SILENCE, Message::ToCore(node, unsent));
        }
    }

    fn refuse(&mut self, node: usize, request: u64, reason: Reason) {
        let Some(track) = self.tracks.remove(&(node, request)) else {
            return;
        };
        let kind = &KINDS[track.kind];
        *self.waiting.entry((kind.service, kind.tier)).or_default() -= 1;
        if !Self::is_measured(&track) {
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

    /// The caller leaves at its deadline.
    fn leave(&mut self, node: usize, request: u64) {
        let Some(track) = self.tracks.remove(&(node, request)) else {
            return;
        };
        let Some(engine) = track.engine else {
            let kind = &KINDS[track.kind];
            *self.waiting.entry((kind.service, kind.tier)).or_default() -= 1;
            return self.tell(node, Event::Withdrawn(id::Request(request)));
        };
        self.engines[engine].cancel(node, request);
        self.account(&track, false);
        self.tell(node, Event::Ended(id::Request(request), Outcome::Cancelled));
    }

    /// Adds up a request that an engine worked on.
    fn account(&mut self, track: &Track, good: bool) {
        if !Self::is_measured(track) {
            return;
        }
        let kind = &KINDS[track.kind];
        self.outcomes.prefill += track.prefill;
        self.outcomes.wasted += if good { track.wasted } else { track.prefill };
        if !good {
            return;
        }
        self.outcomes.good[track.kind] += 1;
        if kind.service == "llm" {
            self.outcomes.good_work += scenario::weight(track.own, track.output);
        }
    }

    fn probe(&mut self, node: usize, endpoint: id::Endpoint) {
        let engine = &self.engines[number(endpoint.as_str())];
        let (alive, data_centre) = (engine.alive, engine.data_centre);
        let linked = self.linked(node, data_centre);
        let delay = if linked {
            2 * self.delay(node, data_centre)
        } else {
            SILENCE
        };
        self.post(
            delay,
            Message::ToCore(node, Event::Probed(endpoint, alive && linked)),
        );
    }

    fn spread(&mut self, node: usize, mark: id::Fingerprint) {
        for peer in 0..self.cores.len() {
            if peer != node && self.linked(node, peer % self.scenario.data_centres) {
                let marks = vec![(mark, Duration::from_mins(10))];
                self.post(1_000_000, Message::ToCore(peer, Event::Suspected(marks)));
            }
        }
    }

    fn step_engines(&mut self, step: u64) {
        for engine in 0..self.engines.len() {
            if !self.engines[engine].alive {
                continue;
            }
            for (node, request, notice) in self.engines[engine].step(STEP as f64 / 1e6) {
                self.notice(engine, node, request, notice);
            }
            self.publish(engine);
            if step % 50 == engine as u64 % 50 {
                self.report(engine);
            }
        }
    }

    fn notice(&mut self, engine: usize, node: usize, request: u64, notice: Notice) {
        let key = (node, request);
        let data_centre = self.engines[engine].data_centre;
        if !self.linked(node, data_centre) {
            return;
        }
        let Some(track) = self.tracks.get_mut(&key) else {
            return;
        };
        let id = id::Request(request);
        let event = match notice {
            Notice::Begun { cached } => {
                let shared = &track.prefixes[..(KINDS[track.kind].shared / 64) as usize];
                let others = self.engines.iter().filter(|other| other.alive);
                let best = others.map(|other| other.cached(shared)).max().unwrap_or(0);
                track.prefill = track.profile.prompt.0 - cached;
                track.wasted = best.saturating_sub(cached);
                return;
            }
            Notice::Started => {
                let took = self.now as f64 / 1e6 - track.arrived;
                if KINDS[track.kind].service == "llm"
                    && KINDS[track.kind].tier == 0
                    && (MEASURED.0..MEASURED.1).contains(&track.arrived)
                {
                    self.outcomes.first_token.push(took);
                }
                Event::Started(id)
            }
            Notice::Ended { cached, output } => {
                let output = Tokens(output);
                let track = self
                    .tracks
                    .remove(&key)
                    .expect("a running request is tracked");
                self.account(&track, true);
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
        self.post(delay, Message::ToCore(node, event));
    }

    /// Publishes cache events, late and with gaps.
    fn publish(&mut self, engine: usize) {
        for change in std::mem::take(&mut self.engines[engine].changes) {
            self.cache_sequences[engine] += 1;
            if !self.affinity {
                continue;
            }
            for node in 0..self.cores.len() {
                if self.linked(node, self.engines[engine].data_centre)
                    && self.net.random::<f64>() >= LOSS / 100.0
                {
                    let sequence = self.cache_sequences[engine];
                    let event = Event::Cached(name(engine), Cache { sequence, change });
                    self.post(500_000, Message::ToCore(node, event));
                }
            }
        }
    }

    fn report(&mut self, engine: usize) {
        let of = &self.engines[engine];
        let load = Load {
            running: of.running.len() as u32,
            waiting: of.waiting.len() as u32,
            tokens: Tokens(if of.service == "app" {
                (of.running.len() + of.waiting.len()) as u64
            } else {
                of.tokens()
            }),
            models: BTreeSet::new(),
            standing: Standing::Live,
        };
        for node in 0..self.cores.len() {
            if self.linked(node, self.engines[engine].data_centre)
                && self.net.random::<f64>() >= LOSS
            {
                self.post(
                    REPORT_DELAY,
                    Message::ToCore(node, Event::Reported(name(engine), load.clone())),
                );
            }
        }
        let mut events = Vec::new();
        for job in &mut self.engines[engine].running {
            let more = Tokens(job.reported - job.sent);
            job.sent = job.reported;
            if more.0 > 0 {
                events.push((job.node, Event::Progressed(id::Request(job.request), more)));
            }
        }
        for (node, event) in events {
            if self.linked(node, self.engines[engine].data_centre) {
                self.post(1000, Message::ToCore(node, event));
            }
        }
    }

    /// Makes the fault happen.
    fn fault(&mut self, step: u64) {
        let begin = step == (FAULT_AT * 1e6) as u64 / STEP;
        let end = step == (BURST_END * 1e6) as u64 / STEP;
        match self.scenario.fault {
            Fault::Straggler if begin => self.engines[0].slowdown = 0.1,
            Fault::NodeKilled if begin => self.kill_node(3),
            Fault::DataCentreCut if begin || end => {
                self.cut = begin;
                let lost = |run: &Self, node: usize, engine: usize| {
                    !run.linked(node, run.engines[engine].data_centre)
                };
                self.lose(lost, Outcome::Stalled, SILENCE);
                self.announce();
            }
            Fault::EngineCrash if begin => {
                self.lose(|_, _, engine| engine == 0, Outcome::Broken, 500);
                self.engines[0].alive = false;
                self.engines[0].cache.clear();
            }
            Fault::EngineCrash if end => self.engines[0].alive = true,
            _ => {}
        }
    }

    fn kill_node(&mut self, node: usize) {
        self.cores[node] = None;
        let lost: Vec<(usize, u64)> = self
            .tracks
            .keys()
            .filter(|key| key.0 == node)
            .copied()
            .collect();
        for key in lost {
            let track = self.tracks.remove(&key).expect("listed");
            let kind = &KINDS[track.kind];
            match track.engine {
                Some(engine) => self.engines[engine].cancel(key.0, key.1),
                None => *self.waiting.entry((kind.service, kind.tier)).or_default() -= 1,
            }
            self.account(&track, false);
        }
        self.announce();
    }

    /// Ends the running requests that a fault takes away.
    fn lose(&mut self, lost: impl Fn(&Self, usize, usize) -> bool, outcome: Outcome, delay: u64) {
        let keys: Vec<(usize, u64)> = self.tracks.keys().copied().collect();
        for key in keys {
            let Some(engine) = self.tracks[&key].engine else {
                continue;
            };
            if !lost(self, key.0, engine) {
                continue;
            }
            let track = self.tracks.remove(&key).expect("listed");
            self.engines[engine].cancel(key.0, key.1);
            self.account(&track, false);
            self.post(
                delay,
                Message::ToCore(key.0, Event::Ended(id::Request(key.1), outcome)),
            );
        }
    }
}

fn text() -> Arc<Text> {
    let service = |kind, window| text::Service {
        kind,
        depends_on: BTreeSet::new(),
        models: BTreeSet::new(),
        adapters: BTreeSet::new(),
        window: Tokens(window),
    };
    let workspace = text::Workspace {
        keys: BTreeSet::new(),
        share: 1,
        limit: None,
    };
    let workspaces =
        (0..5).map(|number| (id::Workspace::from(format!("w{number}")), workspace.clone()));
    Arc::new(Text {
        tiers: ["gate", "plan", "chat", "tag"].map(String::from).to_vec(),
        services: BTreeMap::from([
            ("llm".into(), service(text::Kind::Model, 60_000)),
            ("app".into(), service(text::Kind::Plain, 8)),
        ]),
        calls: BTreeMap::new(),
        workspaces: workspaces.collect(),
    })
}

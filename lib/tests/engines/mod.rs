//! Simulation of engines behind one or more gates, in virtual time.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use dottereltally_lib::{
    endpoint::{Record, Standing},
    gate::{Ask, Choice, Effect, Flow, Gate, Held, Outcome, Settings},
    id,
    refusal::Refusal,
    time,
};

/// Time to the first event of an empty prompt at speed 1, in microseconds.
const FIRST_EVENT_MICROS: f64 = 40_000.0;
/// Time to process a prompt token at speed 1, in microseconds.
const PROMPT_TOKEN_MICROS: f64 = 15.0;
/// Time between two events at speed 1, in microseconds.
const EVENT_MICROS: f64 = 25_000.0;
/// Tokens per event.
const TOKENS_PER_EVENT: u64 = 6;
/// Time between two load reports of a gate.
const REPORT_PERIOD: Duration = Duration::from_millis(100);

/// A simulated engine.
pub struct Engine {
    pub name: id::Endpoint,
    pub speed: f64,
    pub capacity: usize,
    pub alive: bool,
    running: usize,
    queue: Vec<id::Request>,
}

/// Result of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Its first event came after this time.
    First(Duration),
    /// It was refused.
    Refused(Refusal),
}

struct Job {
    gate: usize,
    ask: Ask,
    arrived: time::Instant,
    engine: Option<usize>,
}

/// Engines, gates and the requests between them.
pub struct Simulation {
    pub now: time::Instant,
    pub engines: Vec<Engine>,
    pub gates: Vec<Gate>,
    pub replies: HashMap<id::Request, Reply>,
    pub sent: Vec<(id::Request, Choice)>,
    /// The gate that decides for all gates, if there is one.
    home: Option<usize>,
    jobs: HashMap<id::Request, Job>,
    events: BTreeMap<(time::Instant, u64), Event>,
    next_id: u64,
    last_report: time::Instant,
}

enum Event {
    First(id::Request),
    End(id::Request),
}

pub fn at(millis: u64) -> time::Instant {
    time::Instant::from_micros(millis * 1000)
}

/// Returns a request whose first event is due within `objective`; its caller
/// leaves after six times that.
pub fn ask(now: time::Instant, class: u8, prompt: u64, output: u64, objective: Duration) -> Ask {
    Ask {
        service: id::Service::from("model"),
        tier: id::Tier(0),
        class: id::Tier(class),
        prompt,
        output,
        pause: Some(Duration::from_millis(300)),
        due: now + objective,
        first_by: now + objective * 6,
        deadline: now + Duration::from_secs(15),
        avoid: Vec::new(),
    }
}

impl Simulation {
    /// Creates engines with these speeds behind this many gates.
    pub fn new(gates: usize, speeds: &[f64], capacity: usize) -> Self {
        let mut engines = Vec::new();
        for (number, speed) in speeds.iter().enumerate() {
            engines.push(Engine {
                name: id::Endpoint::from(format!("e{number}")),
                speed: *speed,
                capacity,
                alive: true,
                running: 0,
                queue: Vec::new(),
            });
        }
        let mut simulation = Self {
            now: at(0),
            engines,
            gates: Vec::new(),
            replies: HashMap::new(),
            sent: Vec::new(),
            home: None,
            jobs: HashMap::new(),
            events: BTreeMap::new(),
            next_id: 0,
            last_report: at(0),
        };
        for number in 0..gates {
            let mut gate = Gate::new(Settings {
                data_centre: id::DataCentre::from("dc"),
                seed: number as u64,
            });
            let names: Vec<id::Node> = (0..gates)
                .filter(|other| *other != number)
                .map(|other| id::Node::from(format!("n{other}")))
                .collect();
            gate.join(&names);
            gate.list(simulation.now, simulation.records());
            simulation.gates.push(gate);
        }
        simulation
    }

    /// Makes the first gate the home, which decides for all gates.
    pub fn with_home(mut self) -> Self {
        self.home = Some(0);
        self.gates[0].share(1);
        self
    }

    fn records(&self) -> Vec<Record> {
        let mut records = Vec::new();
        for engine in &self.engines {
            records.push(Record {
                id: engine.name.clone(),
                address: "127.0.0.1:1".to_owned(),
                service: id::Service::from("model"),
                data_centre: id::DataCentre::from("dc"),
                standing: Standing::Live,
                places: u32::try_from(engine.capacity).ok(),
            });
        }
        records
    }

    /// Submits a request to a gate, or to the home if there is one.
    pub fn arrive(&mut self, gate: usize, ask: Ask) -> id::Request {
        self.next_id += 1;
        let request = id::Request(self.next_id);
        let job = Job {
            gate,
            ask: ask.clone(),
            arrived: self.now,
            engine: None,
        };
        self.jobs.insert(request, job);
        let gate = self.home.unwrap_or(gate);
        let effects = self.gates[gate].arrive(self.now, request, ask);
        self.apply(gate, effects);
        request
    }

    /// Advances the simulation to this time.
    pub fn run(&mut self, until: time::Instant) {
        while self.now < until {
            let tick = (self.now + Duration::from_millis(20)).min(until);
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > tick {
                    break;
                }
                let ((moment, _), event) = entry.remove_entry();
                self.now = self.now.max(moment);
                self.handle(&event);
            }
            self.now = tick;
            if self.now.since(self.last_report) >= REPORT_PERIOD {
                self.exchange_loads();
            }
            for gate in 0..self.gates.len() {
                let effects = self.gates[gate].tick(self.now);
                self.apply(gate, effects);
            }
        }
    }

    /// Returns the fraction of these requests whose first event was on time.
    pub fn on_time(&self, requests: &[id::Request], objective: Duration) -> f64 {
        let on_time = requests.iter().filter(|request| {
            matches!(self.replies.get(request), Some(Reply::First(took)) if *took <= objective)
        });
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let fraction = on_time.count() as f64 / requests.len().max(1) as f64;
        fraction
    }

    /// Returns the fraction of these requests that were served at all.
    pub fn served(&self, requests: &[id::Request]) -> f64 {
        self.on_time(requests, Duration::MAX)
    }

    fn exchange_loads(&mut self) {
        self.last_report = self.now;
        for from in 0..self.gates.len() {
            let held: HashMap<id::Endpoint, Held> = self.gates[from].held().into_iter().collect();
            let name = id::Node::from(format!("n{from}"));
            for to in 0..self.gates.len() {
                if from == to {
                    continue;
                }
                let effects = self.gates[to].hear(self.now, &name, held.clone());
                self.apply(to, effects);
            }
        }
    }

    fn apply(&mut self, gate: usize, effects: Vec<Effect>) {
        let mut effects = effects;
        while let Some(effect) = effects.pop() {
            match effect {
                Effect::Refuse(request, refusal) => {
                    self.jobs.remove(&request);
                    self.replies.insert(request, Reply::Refused(refusal));
                }
                Effect::Send(request, choice) => {
                    let index = self.engines.iter();
                    let index = index
                        .clone()
                        .position(|engine| engine.name == choice.endpoint)
                        .expect("a listed engine");
                    self.sent.push((request, choice));
                    if !self.engines[index].alive {
                        let job = self.jobs.get_mut(&request).expect("a known request");
                        job.ask.avoid.push(self.engines[index].name.clone());
                        let ask = job.ask.clone();
                        let sender = &mut self.gates[gate];
                        effects.extend(sender.end(self.now, request, Outcome::Unreachable));
                        effects.extend(sender.arrive(self.now, request, ask));
                        continue;
                    }
                    let job = self.jobs.get_mut(&request).expect("a known request");
                    job.engine = Some(index);
                    if job.gate != gate {
                        let (ask, name) = (job.ask.clone(), &self.engines[index].name);
                        assert!(self.gates[job.gate].adopt(self.now, request, ask, name, true));
                    }
                    self.engines[index].queue.push(request);
                    self.start(index);
                }
            }
        }
    }

    /// Starts queued requests of an engine while it has free capacity.
    fn start(&mut self, index: usize) {
        while self.engines[index].running < self.engines[index].capacity
            && !self.engines[index].queue.is_empty()
        {
            let request = self.engines[index].queue.remove(0);
            self.engines[index].running += 1;
            let ask = &self.jobs[&request].ask;
            let speed = self.engines[index].speed;
            #[expect(clippy::cast_precision_loss, reason = "token counts are small")]
            let first = (FIRST_EVENT_MICROS + PROMPT_TOKEN_MICROS * ask.prompt as f64) / speed;
            #[expect(clippy::cast_precision_loss, reason = "token counts are small")]
            let rest = EVENT_MICROS * (ask.output / TOKENS_PER_EVENT) as f64 / speed;
            self.schedule(first, Event::First(request));
            self.schedule(first + rest, Event::End(request));
        }
    }

    fn schedule(&mut self, micros: f64, event: Event) {
        self.next_id += 1;
        let moment = self.now + Duration::from_secs_f64(micros / 1e6);
        self.events.insert((moment, self.next_id), event);
    }

    fn handle(&mut self, event: &Event) {
        match event {
            Event::First(request) => {
                let job = &self.jobs[request];
                let took = self.now.since(job.arrived);
                self.gates[job.gate].start(self.now, *request);
                if let Some(home) = self.home {
                    self.gates[home].start(self.now, *request);
                }
                self.replies.insert(*request, Reply::First(took));
            }
            Event::End(request) => {
                let job = self.jobs.remove(request).expect("a running request");
                let index = job.engine.expect("a sent request");
                self.engines[index].running -= 1;
                self.start(index);
                let flow = Flow {
                    events: job.ask.output / TOKENS_PER_EVENT + 1,
                    pause: Duration::from_millis(40),
                };
                let outcome = Outcome::Answered(flow);
                let effects = self.gates[job.gate].end(self.now, *request, outcome);
                self.apply(job.gate, effects);
                if let Some(home) = self.home {
                    let effects = self.gates[home].end(self.now, *request, outcome);
                    self.apply(home, effects);
                }
            }
        }
    }
}

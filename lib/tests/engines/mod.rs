//! Simulation of engines behind one or more dispatchers, in virtual time.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use dottereltally_lib::{
    dispatcher::{
        Choice, Dispatcher, Effect, Load, Outcome, Request, Settings, Timing,
        speed::{Slowdown, Statement},
    },
    endpoint::{Record, Standing},
    id,
    refusal::Refusal,
    rollout::Filter,
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
/// Usual time between two load reports of a dispatcher.
const REPORT_PERIOD: Duration = Duration::from_millis(100);

/// A simulated engine.
pub struct Engine {
    pub name: id::Endpoint,
    /// Factor by which the engine is faster than the constants above.
    pub speed: f64,
    /// Requests that it runs at once.
    pub capacity: usize,
    /// Whether it accepts connections.
    pub alive: bool,
    /// Factor by which it is slower at the moment than usual.
    pub slowdown: f64,
    /// What its answers report of its load.
    pub report: Report,
    /// Its software version.
    pub version: id::Version,
    running: usize,
    queue: Vec<id::Request>,
}

/// What an engine reports of its load in its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(dead_code, reason = "not every test uses all of the simulation")]
pub enum Report {
    /// Nothing.
    Nothing,
    /// Its requests and slots.
    Load,
    /// These and how slow its machine is.
    Slowdown,
}

/// Result of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Its first event came after this time.
    First(Duration),
    /// It was refused.
    Refused(Refusal),
}

/// A request that has not ended.
struct Job {
    /// Dispatcher of the node that the request arrived at.
    dispatcher: usize,
    request: Request,
    arrived: time::Instant,
    /// Engine that it was sent to; `None` while it is queued.
    engine: Option<usize>,
}

/// Engines, dispatchers and the requests between them.
pub struct Simulation {
    pub now: time::Instant,
    pub engines: Vec<Engine>,
    pub dispatchers: Vec<Dispatcher>,
    pub replies: HashMap<id::Request, Reply>,
    /// Every choice of an endpoint, in order.
    pub sent: Vec<(id::Request, Choice)>,
    /// Time between two load reports of a dispatcher.
    pub report_period: Duration,
    /// The dispatcher that decides for all dispatchers, if there is one.
    coordinator: Option<usize>,
    jobs: HashMap<id::Request, Job>,
    events: BTreeMap<(time::Instant, u64), Event>,
    next_id: u64,
    last_report: time::Instant,
}

/// An event of a running request.
enum Event {
    /// Its first event arrives.
    First(id::Request),
    /// Its answer is complete.
    End(id::Request),
}

pub fn at(millis: u64) -> time::Instant {
    time::Instant::from_micros(millis * 1000)
}

/// Returns a request whose first event is due within `objective`; its caller
/// leaves after six times that.
pub fn request(
    now: time::Instant,
    class: u8,
    prompt: u64,
    output: u64,
    objective: Duration,
) -> Request {
    Request {
        service: id::Service::from("model"),
        route: id::Route::from("r"),
        tier: id::Tier(0),
        class: id::Tier(class),
        prompt,
        expected_output: output,
        max_pause: Some(Duration::from_millis(300)),
        first_byte_due: now + objective,
        caller_leaves_at: now + objective * 6,
        deadline: now + Duration::from_secs(15),
        excluded: Vec::new(),
        version: None,
        resumable: false,
        workspace: None,
        fingerprint: None,
        version_filter: Filter::Any,
    }
}

impl Simulation {
    /// Creates engines with these speeds behind this many dispatchers.
    pub fn new(dispatchers: usize, speeds: &[f64], capacity: usize) -> Self {
        let mut engines = Vec::new();
        for (number, speed) in speeds.iter().enumerate() {
            engines.push(Engine {
                name: id::Endpoint::from(format!("e{number}")),
                speed: *speed,
                capacity,
                alive: true,
                slowdown: 1.0,
                report: Report::Nothing,
                version: id::Version::from("v1"),
                running: 0,
                queue: Vec::new(),
            });
        }
        let mut simulation = Self {
            now: at(0),
            engines,
            dispatchers: Vec::new(),
            replies: HashMap::new(),
            sent: Vec::new(),
            report_period: REPORT_PERIOD,
            coordinator: None,
            jobs: HashMap::new(),
            events: BTreeMap::new(),
            next_id: 0,
            last_report: at(0),
        };
        for number in 0..dispatchers {
            let mut dispatcher = Dispatcher::new(Settings {
                data_centre: id::DataCentre::from("dc"),
                seed: number as u64,
            });
            let names: Vec<id::Node> = (0..dispatchers)
                .filter(|other| *other != number)
                .map(|other| id::Node::from(format!("n{other}")))
                .collect();
            dispatcher.set_peers(&names);
            dispatcher.set_endpoints(simulation.now, simulation.records());
            for engine in &simulation.engines {
                dispatcher.record_started(simulation.now, &engine.name, 1);
            }
            simulation.dispatchers.push(dispatcher);
        }
        simulation
    }

    /// Makes the first dispatcher the coordinator, which decides for all
    /// dispatchers.
    pub fn with_coordinator(mut self) -> Self {
        self.coordinator = Some(0);
        self.dispatchers[0].set_node_count(1);
        self
    }

    /// Changes the software version of the first engines.
    pub fn set_version(&mut self, count: usize, version: &str) {
        for engine in &mut self.engines[..count] {
            engine.version = id::Version::from(version);
        }
        let records = self.records();
        for dispatcher in &mut self.dispatchers {
            dispatcher.set_endpoints(self.now, records.clone());
        }
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
                capacity: u32::try_from(engine.capacity).ok(),
                version: Some(engine.version.clone()),
            });
        }
        records
    }

    /// Submits a request to a dispatcher, or to the coordinator if there is
    /// one.
    pub fn arrive(&mut self, dispatcher: usize, request: Request) -> id::Request {
        self.next_id += 1;
        let id = id::Request(self.next_id);
        let job = Job {
            dispatcher,
            request: request.clone(),
            arrived: self.now,
            engine: None,
        };
        self.jobs.insert(id, job);
        let dispatcher = self.coordinator.unwrap_or(dispatcher);
        let effects = self.dispatchers[dispatcher].submit(self.now, id, request);
        self.apply(dispatcher, effects);
        id
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
            if self.now.since(self.last_report) >= self.report_period {
                self.exchange_loads();
            }
            for dispatcher in 0..self.dispatchers.len() {
                let effects = self.dispatchers[dispatcher].tick(self.now);
                self.apply(dispatcher, effects);
            }
        }
    }

    /// Returns the fraction of these requests whose first event was on time.
    pub fn on_time(&self, requests: &[id::Request], objective: Duration) -> f64 {
        let on_time = requests.iter().filter(
            |id| matches!(self.replies.get(id), Some(Reply::First(took)) if *took <= objective),
        );
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
        for from in 0..self.dispatchers.len() {
            let loads: HashMap<id::Endpoint, Load> =
                self.dispatchers[from].take_load().into_iter().collect();
            let speeds = self.dispatchers[from].speeds(self.now);
            let name = id::Node::from(format!("n{from}"));
            for to in 0..self.dispatchers.len() {
                if from == to {
                    continue;
                }
                self.dispatchers[to].record_peer_speeds(self.now, &name, &speeds);
                let effects = self.dispatchers[to].record_peer_load(self.now, &name, loads.clone());
                self.apply(to, effects);
            }
        }
    }

    fn apply(&mut self, dispatcher: usize, effects: Vec<Effect>) {
        let mut effects = effects;
        while let Some(effect) = effects.pop() {
            match effect {
                Effect::Refuse(id, refusal) => {
                    self.jobs.remove(&id);
                    self.replies.insert(id, Reply::Refused(refusal));
                }
                Effect::Send(id, choice) => {
                    let index = self.engines.iter();
                    let index = index
                        .clone()
                        .position(|engine| engine.name == choice.endpoint)
                        .expect("a listed engine");
                    self.sent.push((id, choice));
                    if !self.engines[index].alive {
                        let job = self.jobs.get_mut(&id).expect("a known request");
                        job.request.excluded.push(self.engines[index].name.clone());
                        let request = job.request.clone();
                        let sender = &mut self.dispatchers[dispatcher];
                        effects.extend(sender.finish(self.now, id, Outcome::Unreachable));
                        effects.extend(sender.submit(self.now, id, request));
                        continue;
                    }
                    let job = self.jobs.get_mut(&id).expect("a known request");
                    job.engine = Some(index);
                    if job.dispatcher != dispatcher {
                        let (request, name) = (job.request.clone(), &self.engines[index].name);
                        assert!(
                            self.dispatchers[job.dispatcher]
                                .adopt(self.now, id, request, name, true)
                        );
                    }
                    self.engines[index].queue.push(id);
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
            let id = self.engines[index].queue.remove(0);
            self.engines[index].running += 1;
            let request = &self.jobs[&id].request;
            let speed = self.engines[index].speed / self.engines[index].slowdown;
            #[expect(clippy::cast_precision_loss, reason = "token counts are small")]
            let first = (FIRST_EVENT_MICROS + PROMPT_TOKEN_MICROS * request.prompt as f64) / speed;
            #[expect(clippy::cast_precision_loss, reason = "token counts are small")]
            let rest = EVENT_MICROS * (request.expected_output / TOKENS_PER_EVENT) as f64 / speed;
            self.schedule(first, Event::First(id));
            self.schedule(first + rest, Event::End(id));
        }
    }

    /// Starts an engine again, as another process.
    #[allow(dead_code, reason = "not every test uses all of the simulation")]
    pub fn restart(&mut self, index: usize, started_ms: u64) {
        self.engines[index].alive = true;
        for dispatcher in &mut self.dispatchers {
            dispatcher.record_started(self.now, &self.engines[index].name, started_ms);
        }
    }

    /// Returns the number of slots of an engine that are in use.
    #[allow(dead_code, reason = "not every test uses all of the simulation")]
    pub fn running(&self, index: usize) -> usize {
        self.engines[index].running
    }

    /// Passes what an engine reports in an answer to the node that receives it.
    fn report_load(&mut self, id: id::Request) {
        let job = &self.jobs[&id];
        let engine = &self.engines[job.engine.expect("a sent request")];
        if engine.report == Report::Nothing {
            return;
        }
        let count = |count: usize| u32::try_from(count).expect("counts are small");
        let slowdown = Slowdown::try_from(engine.slowdown).expect("a slowdown");
        let statement = Statement {
            running: count(engine.running),
            waiting: count(engine.queue.len()),
            slots: count(engine.capacity),
            slowdown: (engine.report == Report::Slowdown).then_some(slowdown),
        };
        let (dispatcher, name) = (job.dispatcher, engine.name.clone());
        let receiver = &mut self.dispatchers[dispatcher];
        let effects = receiver.record_endpoint_load(self.now, &name, statement);
        self.apply(dispatcher, effects);
    }

    fn schedule(&mut self, micros: f64, event: Event) {
        self.next_id += 1;
        let moment = self.now + Duration::from_secs_f64(micros / 1e6);
        self.events.insert((moment, self.next_id), event);
    }

    fn handle(&mut self, event: &Event) {
        match event {
            Event::First(id) => {
                self.report_load(*id);
                let job = &self.jobs[id];
                let took = self.now.since(job.arrived);
                self.dispatchers[job.dispatcher].record_first_byte(self.now, *id);
                if let Some(coordinator) = self.coordinator {
                    self.dispatchers[coordinator].record_first_byte(self.now, *id);
                }
                self.replies.insert(*id, Reply::First(took));
            }
            Event::End(id) => {
                let job = self.jobs.remove(id).expect("a running request");
                let index = job.engine.expect("a sent request");
                self.engines[index].running -= 1;
                self.start(index);
                let timing = Timing {
                    events: job.request.expected_output / TOKENS_PER_EVENT + 1,
                    longest_pause: Duration::from_millis(40),
                };
                let outcome = Outcome::Answered(timing);
                let effects = self.dispatchers[job.dispatcher].finish(self.now, *id, outcome);
                self.apply(job.dispatcher, effects);
                if let Some(coordinator) = self.coordinator {
                    let effects = self.dispatchers[coordinator].finish(self.now, *id, outcome);
                    self.apply(coordinator, effects);
                }
            }
        }
    }
}

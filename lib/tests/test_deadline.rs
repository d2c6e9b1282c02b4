//! Overload by callers whose deadlines are shorter than the target of their route, in virtual
//! time.

use std::{collections::HashMap, time::Duration};

use dottereltally_lib::{
    dispatcher::{Dispatcher, Effect, Outcome, Request, Settings, Timing},
    endpoint::{Record, Standing},
    id,
    notice::Notice,
    rollout::Filter,
    time,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;

/// Time between two steps of a simulation.
const STEP: Duration = Duration::from_millis(5);

/// Steps between two ticks of the dispatchers, and between two reports of the nodes.
const STEPS_PER_TICK: u64 = 4;
const STEPS_PER_REPORT: u64 = 20;

/// Endpoints, requests that each runs at once, and requests that wait there besides.
const ENDPOINTS: usize = 8;
const PLACES: usize = 6;
const ENDPOINT_QUEUE: usize = 4;

/// Mean time that a request takes.
const WORK: Duration = Duration::from_millis(200);

/// Time that callers allow.
const ALLOWED: Duration = Duration::from_millis(440);

/// Time before the answers are counted, and in which they are.
const WARM_UP: Duration = Duration::from_secs(2);
const COUNTED: Duration = Duration::from_secs(20);

/// Mean time until a request is refused that can't be served.
const AT_ONCE: Duration = Duration::from_millis(50);

/// Time for which an endpoint that fell over is away.
const AWAY: Duration = Duration::from_secs(3);

/// A request at an endpoint.
struct Job {
    node: usize,
    id: id::Request,
    deadline: time::Instant,
    work: Duration,
    /// When it ends; `None` while it waits.
    end: Option<time::Instant>,
}

/// An endpoint that runs requests in order of arrival, and rejects those that don't fit or whose
/// deadline passes before their turn.
#[derive(Default)]
struct Endpoint {
    jobs: Vec<Job>,
    /// Rejections for lack of room.
    rejected: Vec<time::Instant>,
    away_until: time::Instant,
    falls: usize,
}

/// What became of the requests that arrived after the warm-up.
#[derive(Debug, Default)]
struct Counts {
    arrived: usize,
    served: usize,
    /// Refused by a node, not run.
    refused: usize,
    /// Not answered by their deadline, although an endpoint had them.
    expired: usize,
    /// Time for which the refused ones were held.
    held: Duration,
    /// Rejected by an endpoint.
    rejected: usize,
}

struct Simulation {
    now: time::Instant,
    rng: SmallRng,
    nodes: Vec<Dispatcher>,
    endpoints: Vec<Endpoint>,
    arrivals: HashMap<id::Request, time::Instant>,
    counts: Counts,
    next: u64,
    target: Duration,
    /// Most rejections in a second that an endpoint bears; `None` if any number.
    brittle: Option<u32>,
    /// Spread of the work in either direction, as a fraction of the mean.
    spread: f64,
    /// Factor on the work.
    slowdown: f64,
}

fn name(number: usize) -> id::Endpoint {
    id::Endpoint::from(format!("e{number}"))
}

fn start() -> time::Instant {
    time::Instant::from_micros(60_000_000)
}

impl Simulation {
    fn new(seed: u64, nodes: usize, target: Duration, brittle: Option<u32>) -> Self {
        let mut records = Vec::new();
        for number in 0..ENDPOINTS {
            records.push(Record {
                id: name(number),
                address: "127.0.0.1:1".to_owned(),
                service: id::Service::from("s"),
                data_centre: id::DataCentre::from(format!("dc{}", number % nodes)),
                standing: Standing::Live,
                capacity: Some(u32::try_from(PLACES).unwrap()),
                version: None,
            });
        }
        let mut dispatchers = Vec::new();
        for number in 0..nodes {
            let mut node = Dispatcher::new(Settings {
                data_centre: id::DataCentre::from(format!("dc{number}")),
                seed: 100 * seed + u64::try_from(number).unwrap(),
            });
            node.set_endpoints(start(), records.clone());
            node.set_node_count(nodes);
            dispatchers.push(node);
        }
        Self {
            now: start(),
            rng: SmallRng::seed_from_u64(seed),
            nodes: dispatchers,
            endpoints: (0..ENDPOINTS).map(|_| Endpoint::default()).collect(),
            arrivals: HashMap::new(),
            counts: Counts::default(),
            next: 0,
            target,
            brittle,
            spread: 0.1,
            slowdown: 1.0,
        }
    }

    fn is_counted(&self, id: id::Request) -> bool {
        self.arrivals[&id] >= start() + WARM_UP
    }

    fn notice(&self) -> Notice {
        Notice {
            brittle: self.brittle,
            ..Notice::default()
        }
    }

    fn carry_out(&mut self, node: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Refuse(id, _) => {
                    if self.is_counted(id) {
                        self.counts.refused += 1;
                        self.counts.held += self.now.since(self.arrivals[&id]);
                    }
                }
                Effect::Send(id, choice) => {
                    let number = (0..ENDPOINTS).find(|number| name(*number) == choice.endpoint);
                    self.send(node, id, number.unwrap());
                }
            }
        }
    }

    fn send(&mut self, node: usize, id: id::Request, number: usize) {
        let now = self.now;
        let work = self.rng.random_range(1.0 - self.spread..1.0 + self.spread);
        let work = WORK.mul_f64(work * self.slowdown);
        let deadline = self.arrivals[&id] + ALLOWED;
        let endpoint = &mut self.endpoints[number];
        if endpoint.away_until > now {
            return self.finish(node, id, number, Outcome::Unreachable);
        }
        if endpoint.jobs.len() < PLACES + ENDPOINT_QUEUE {
            endpoint.jobs.push(Job {
                node,
                id,
                deadline,
                work,
                end: None,
            });
            return self.begin_jobs(number);
        }
        endpoint.rejected.push(now);
        self.counts.rejected += usize::from(self.is_counted(id));
        self.finish(node, id, number, Outcome::Rejected);
        self.fall_over(number);
    }

    /// Begins the first jobs of an endpoint.
    fn begin_jobs(&mut self, number: usize) {
        let now = self.now;
        for job in self.endpoints[number].jobs.iter_mut().take(PLACES) {
            job.end.get_or_insert(now + job.work);
        }
    }

    /// Lets an endpoint fall over that rejected too much within a second.
    fn fall_over(&mut self, number: usize) {
        let now = self.now;
        let endpoint = &mut self.endpoints[number];
        let recent = endpoint.rejected.iter();
        let recent = recent.filter(|at| now.since(**at) < Duration::from_secs(1));
        let most = self
            .brittle
            .map_or(usize::MAX, |most| usize::try_from(most).unwrap());
        if recent.count() <= most {
            return;
        }
        endpoint.falls += 1;
        endpoint.rejected.clear();
        endpoint.away_until = now + AWAY;
        for job in std::mem::take(&mut endpoint.jobs) {
            self.finish(job.node, job.id, number, Outcome::Broken);
        }
    }

    /// Ends a request at its endpoint.
    fn finish(&mut self, node: usize, id: id::Request, number: usize, outcome: Outcome) {
        let now = self.now;
        if matches!(outcome, Outcome::Answered(_) | Outcome::Rejected) {
            let notice = self.notice();
            let (_, effects) = self.nodes[node].record_notice(now, &name(number), &notice);
            self.carry_out(node, effects);
        }
        let effects = self.nodes[node].finish(now, id, outcome);
        self.carry_out(node, effects);
    }

    fn run_endpoint(&mut self, number: usize) {
        let now = self.now;
        let jobs = std::mem::take(&mut self.endpoints[number].jobs);
        let mut ended = Vec::new();
        for job in jobs {
            let is_whole = job.end.is_some_and(|end| end <= now);
            if is_whole || job.deadline <= now {
                ended.push((job, is_whole));
                continue;
            }
            self.endpoints[number].jobs.push(job);
        }
        self.begin_jobs(number);
        for (job, is_whole) in ended {
            let is_counted = usize::from(self.is_counted(job.id));
            let outcome = if is_whole {
                self.counts.served += is_counted;
                Outcome::Answered(Timing::default())
            } else if job.end.is_some() {
                self.counts.expired += is_counted;
                Outcome::Cancelled
            } else {
                self.counts.rejected += is_counted;
                Outcome::Rejected
            };
            self.finish(job.node, job.id, number, outcome);
        }
    }

    fn arrive(&mut self, node: usize) {
        let now = self.now;
        self.next += 1;
        let id = id::Request(self.next);
        self.arrivals.insert(id, now);
        self.counts.arrived += usize::from(self.is_counted(id));
        let request = Request {
            service: id::Service::from("s"),
            route: id::Route::from("r"),
            tier: id::Tier(0),
            class: id::Tier(0),
            prompt: 0,
            expected_output: 0,
            max_pause: None,
            first_byte_due: now + self.target,
            caller_leaves_at: now + ALLOWED,
            deadline: now + ALLOWED,
            excluded: Vec::new(),
            version: None,
            resumable: false,
            workspace: None,
            fingerprint: None,
            version_filter: Filter::Any,
        };
        let effects = self.nodes[node].submit(now, id, request);
        self.carry_out(node, effects);
    }

    fn report(&mut self) {
        for from in 0..self.nodes.len() {
            let node = id::Node::from(format!("n{from}"));
            let loads = self.nodes[from].take_load();
            let notices = self.nodes[from].notices(self.now);
            for to in 0..self.nodes.len() {
                if to == from {
                    continue;
                }
                self.nodes[to].record_peer_notices(self.now, &node, &notices);
                let loads = loads.iter().cloned().collect();
                let effects = self.nodes[to].record_peer_load(self.now, &node, loads);
                self.carry_out(to, effects);
            }
        }
    }

    /// Plays until `end` with `per_second` requests a second, evenly from the nodes.
    fn play(&mut self, per_second: f64, end: time::Instant) {
        let mut due = 0.0;
        let mut step = 0;
        while self.now < end {
            self.now += STEP;
            step += 1;
            for number in 0..ENDPOINTS {
                self.run_endpoint(number);
            }
            due += per_second * STEP.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                let nodes = u64::try_from(self.nodes.len()).unwrap();
                self.arrive(usize::try_from(self.next % nodes).unwrap());
            }
            if step % STEPS_PER_TICK == 0 {
                for node in 0..self.nodes.len() {
                    let effects = self.nodes[node].tick(self.now);
                    self.carry_out(node, effects);
                }
            }
            if step % STEPS_PER_REPORT == 0 {
                self.report();
            }
        }
    }
}

/// Returns how many requests the endpoints can run in a second.
fn possible_per_second() -> f64 {
    let places = u32::try_from(ENDPOINTS * PLACES).unwrap();
    f64::from(places) / WORK.as_secs_f64()
}

/// Guards against overload in which nothing is served: requests that can't be whole by their
/// deadlines kept the places, as they were not late by the target of their route.
#[rstest]
fn overload_with_short_deadlines_serves_what_is_possible(
    #[values(Duration::from_millis(1200), Duration::from_millis(300))] target: Duration,
    #[values((1.67, None), (1.17, Some(3)), (0.8, None), (3.0, None))] (load, brittle): (
        f64,
        Option<u32>,
    ),
    #[values(1, 2, 4)] nodes: usize,
    #[values(0.1, 0.5)] spread: f64,
) {
    let mut simulation = Simulation::new(0, nodes, target, brittle);
    simulation.spread = spread;
    simulation.play(possible_per_second() * load, start() + WARM_UP + COUNTED);
    let counts = &simulation.counts;
    let falls: usize = simulation.endpoints.iter().map(|end| end.falls).sum();
    let possible = possible_per_second() * COUNTED.as_secs_f64() * load.min(1.0);
    let served = f64::from(u32::try_from(counts.served).unwrap());
    println!("{falls} falls, {possible} possible, {counts:?}");
    assert!(served >= 0.9 * possible, "{served} of {possible} served");
    assert!(
        counts.expired * 20 <= counts.arrived,
        "{} of {} expired at an endpoint",
        counts.expired,
        counts.arrived
    );
    assert!(falls <= 2 + ENDPOINTS / 10, "{falls} falls");
    // One that is late by the target of its route may still be served.
    if target > ALLOWED {
        let refused = u32::try_from(counts.refused.max(1)).unwrap();
        let held = counts.held / refused;
        assert!(held <= AT_ONCE, "refused requests were held for {held:?}");
    }
}

/// Guards against overload in which nothing is served after endpoints turned slow: an answer that
/// did not come by its deadline shows how long answers take at least.
#[rstest]
fn endpoints_that_turn_slow_under_overload_serve_what_is_possible(#[values(1, 4)] nodes: usize) {
    let target = Duration::from_millis(1200);
    let mut simulation = Simulation::new(0, nodes, target, None);
    simulation.play(possible_per_second(), start() + WARM_UP);
    simulation.slowdown = 1.7;
    // The time to learn that, from answers and their absence, is not counted.
    simulation.play(possible_per_second(), start() + WARM_UP + WARM_UP);
    simulation.counts = Counts::default();
    simulation.play(possible_per_second(), start() + WARM_UP + WARM_UP + COUNTED);
    let counts = &simulation.counts;
    let possible = possible_per_second() * COUNTED.as_secs_f64() / simulation.slowdown;
    let served = f64::from(u32::try_from(counts.served).unwrap());
    println!("{possible} possible, {counts:?}");
    assert!(served >= 0.9 * possible, "{served} of {possible} served");
}

//! Measures the time and memory of one node's scheduler at present and targeted
//! sizes of a deployment.
//!
//! `cargo run --release -p dottereltally-lib --example costs -- [ROW]`
//!
//! Memory is the growth of the process, which is correct only for the first row
//! of a run. To measure it for another row, pass the row's number, from zero.
#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    reason = "an experiment, not an interface"
)]

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    hint::black_box,
    sync::Arc,
    time::{Duration, Instant},
};

use dottereltally_lib::{
    balance::Policy,
    configuration::{Configuration, Kind, Service, Workspace},
    effect::Effect,
    endpoint::{Cache, Change, Load, Record, Standing},
    event::{Event, Outcome},
    id,
    request::Profile,
    scheduler::{Scheduler, Settings},
    size::Tokens,
    time,
};

/// Number of nodes, endpoints (replicas) and workspaces of each row.
const SIZES: [(usize, usize, usize); 6] = [
    (8, 23, 5),
    (8, 23, 33_000),
    (50, 86, 5),
    (50, 86, 33_000),
    (350, 600, 5),
    (350, 600, 33_000),
];

/// Requests that are scheduled per row.
const REQUEST_COUNT: u64 = 20_000;

/// Requests that run concurrently while scheduling is timed.
const RUNNING_REQUESTS: u64 = 200;

/// Requests beyond 40 per replica that arrive before the tick with a backlog is
/// timed.
const BACKLOG_REQUESTS: u64 = 4000;

/// Repetitions of each timed event.
const REPETITIONS: u32 = 2000;

fn configuration(workspaces: usize) -> Arc<Configuration> {
    let workspace = Workspace {
        keys: BTreeSet::new(),
        share: 1,
        limit: None,
    };
    let names = (0..workspaces).map(|number| id::Workspace::from(format!("workspace-{number}")));
    let service = Service {
        kind: Kind::Model,
        depends_on: BTreeSet::new(),
        models: BTreeSet::new(),
        adapters: BTreeSet::new(),
        window: Tokens(60_000),
    };
    Arc::new(Configuration {
        tiers: ["a", "b", "c", "d"].map(String::from).to_vec(),
        services: BTreeMap::from([("llm".into(), service)]),
        calls: BTreeMap::new(),
        workspaces: names.map(|name| (name, workspace.clone())).collect(),
    })
}

fn records(replicas: usize) -> Vec<Record> {
    let record = |number| Record {
        id: format!("endpoint-{number:04}").into(),
        address: format!("10.0.0.1:{number}"),
        service: "llm".into(),
        data_centre: format!("dc{}", number % 7).into(),
        standing: Standing::Live,
        capacity: None,
        version: None,
    };
    (0..replicas).map(record).collect()
}

fn profile(number: u64, workspaces: usize) -> Arc<Profile> {
    let workspace = number as usize * 7919 % workspaces;
    let group = (workspace as u64 % 100) << 32;
    Arc::new(Profile {
        call: "call".into(),
        service: "llm".into(),
        model: None,
        workspace: format!("workspace-{workspace}").into(),
        tier: id::Tier((number % 4) as u8),
        received: time::Instant::from_micros(0),
        deadline: time::Instant::from_micros(3_600_000_000),
        prompt: Tokens(1500),
        output: Tokens(500),
        prefixes: (0..24).map(|block| id::Prefix(group + block)).collect(),
        fingerprint: id::Fingerprint(number),
        idempotent: true,
    })
}

/// Returns the resident memory of the process in bytes.
fn memory() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0_u64) * 4096
}

fn micros(duration: Duration, count: u64) -> f64 {
    duration.as_secs_f64() * 1e6 / count as f64
}

fn ended(request: u64) -> Event {
    let outcome = Outcome::Answered {
        cached: Tokens(1000),
        output: Tokens(200),
    };
    Event::Ended(id::Request(request), outcome)
}

struct Bench {
    scheduler: Scheduler,
    /// Virtual time in microseconds.
    now: u64,
}

impl Bench {
    fn handle(&mut self, event: Event) -> Vec<Effect> {
        self.now += 400;
        self.scheduler
            .handle(time::Instant::from_micros(self.now), event)
    }

    /// Times arrivals, first tokens and ends at a steady number of running requests.
    fn time_requests(&mut self, workspaces: usize) -> Duration {
        let profiles: Vec<Arc<Profile>> = (0..REQUEST_COUNT)
            .map(|number| profile(number, workspaces))
            .collect();
        let start = Instant::now();
        for (number, profile) in (0_u64..).zip(profiles) {
            black_box(self.handle(Event::Arrived(id::Request(number), profile)));
            black_box(self.handle(Event::Started(id::Request(number))));
            if number >= RUNNING_REQUESTS {
                black_box(self.handle(ended(number - RUNNING_REQUESTS)));
            }
        }
        start.elapsed()
    }

    /// Times `REPETITIONS` events.
    fn time_events(&mut self, mut event: impl FnMut(u32) -> Event) -> Duration {
        let start = Instant::now();
        for number in 0..REPETITIONS {
            let event = event(number);
            black_box(self.handle(event));
        }
        start.elapsed()
    }
}

fn measure((nodes, replicas, workspaces): (usize, usize, usize)) {
    let configuration = configuration(workspaces);
    let before = memory();
    let mut bench = Bench {
        scheduler: Scheduler::new(Settings {
            node: "n0".into(),
            data_centre: "dc0".into(),
            seed: 1,
            policy: Policy::TwoChoices,
        }),
        now: 0,
    };
    bench.handle(Event::Configured(configuration));
    let members = (0..nodes).map(|node| (format!("n{node}").into(), "dc0".into()));
    bench.handle(Event::Members(members.collect()));
    bench.handle(Event::Listed(records(replicas)));
    let request = micros(bench.time_requests(workspaces), REQUEST_COUNT);
    let report = bench.time_events(|number| {
        let load = Load {
            tokens: Tokens(u64::from(number)),
            ..Load::default()
        };
        Event::Reported(
            format!("endpoint-{:04}", number as usize % replicas).into(),
            load,
        )
    });
    let cached = bench.time_events(|number| {
        let cache = Cache {
            sequence: u64::from(number) / replicas as u64 + 1,
            change: Change::Stored(id::Prefix(u64::from(number))),
        };
        Event::Cached(
            format!("endpoint-{:04}", number as usize % replicas).into(),
            cache,
        )
    });
    let tick = bench.time_events(|_| Event::Tick);
    let suspected = bench.time_events(|number| {
        let fingerprint = id::Fingerprint(u64::from(number) << 20);
        Event::Suspected(vec![(fingerprint, Duration::from_mins(1))])
    });
    for number in 0..replicas as u64 * 40 + BACKLOG_REQUESTS {
        let event = Event::Arrived(id::Request(1_000_000 + number), profile(number, workspaces));
        bench.handle(event);
    }
    let waiting = bench.scheduler.waiting();
    let backlog = bench.time_events(|_| Event::Tick);
    let used_mb = memory().saturating_sub(before) as f64 / 1e6;
    let count = u64::from(REPETITIONS);
    println!(
        "| {nodes}/{replicas} | {workspaces} | {request:.1} | {:.2} | {:.2} | {:.1} | {:.2} | {:.1} ({waiting}) | {used_mb:.1} |",
        micros(report, count),
        micros(cached, count),
        micros(tick, count),
        micros(suspected, count),
        micros(backlog, count),
    );
}

fn main() {
    println!(
        "| nodes/replicas | workspaces | request µs | load report µs | cache event µs | tick µs | peer's mark µs | tick µs with a backlog (waiting) | memory MB |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let wanted: Option<usize> = std::env::args().nth(1).and_then(|row| row.parse().ok());
    for (number, size) in SIZES.into_iter().enumerate() {
        if wanted.is_none_or(|wanted| wanted == number) {
            measure(size);
        }
    }
}

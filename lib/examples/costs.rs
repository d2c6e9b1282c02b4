//! Prints what one node's core spends at the sizes of today and of the target.
//!
//! `cargo run --release -p dottereltally-lib --example costs -- [ROW]`
//!
//! Memory is what the process grew by, so that it is told right for the first
//! row of a run only; give the row's number, from zero, for the others.
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
    effect::Effect,
    endpoint::{Cache, Change, Load, Record, Standing},
    event::{Event, Outcome},
    id,
    request::Profile,
    scheduler::{Scheduler, Settings},
    size::Tokens,
    text::{Kind, Service, Text, Workspace},
    time,
};

/// Nodes, replicas and workspaces of each row.
const SIZES: [(usize, usize, usize); 6] = [
    (8, 23, 5),
    (8, 23, 33_000),
    (50, 86, 5),
    (50, 86, 33_000),
    (350, 600, 5),
    (350, 600, 33_000),
];

/// Requests that each row decides on.
const REQUESTS: u64 = 20_000;

/// Requests that run at a time while decisions are timed.
const RUNNING: u64 = 200;

/// Requests that wait while the backlog is timed.
const WAITING: u64 = 4000;

/// Ticks, reports and cache events that are timed.
const REPEATS: u32 = 2000;

fn text(workspaces: usize) -> Arc<Text> {
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
    Arc::new(Text {
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
        places: None,
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

fn micros(span: Duration, count: u64) -> f64 {
    span.as_secs_f64() * 1e6 / count as f64
}

fn end(request: u64) -> Event {
    let outcome = Outcome::Answered {
        cached: Tokens(1000),
        output: Tokens(200),
    };
    Event::Ended(id::Request(request), outcome)
}

struct Bench {
    core: Scheduler,
    now: u64,
}

impl Bench {
    fn handle(&mut self, event: Event) -> Vec<Effect> {
        self.now += 400;
        self.core
            .handle(time::Instant::from_micros(self.now), event)
    }

    /// Times arrivals, first tokens and ends with a steady number running.
    fn decisions(&mut self, workspaces: usize) -> Duration {
        let profiles: Vec<Arc<Profile>> = (0..REQUESTS)
            .map(|number| profile(number, workspaces))
            .collect();
        let begun = Instant::now();
        for (number, profile) in (0_u64..).zip(profiles) {
            black_box(self.handle(Event::Arrived(id::Request(number), profile)));
            black_box(self.handle(Event::Started(id::Request(number))));
            if number >= RUNNING {
                black_box(self.handle(end(number - RUNNING)));
            }
        }
        begun.elapsed()
    }

    fn repeat(&mut self, mut event: impl FnMut(u32) -> Event) -> Duration {
        let begun = Instant::now();
        for number in 0..REPEATS {
            let event = event(number);
            black_box(self.handle(event));
        }
        begun.elapsed()
    }
}

fn row((nodes, replicas, workspaces): (usize, usize, usize)) {
    let text = text(workspaces);
    let before = memory();
    let mut bench = Bench {
        core: Scheduler::new(Settings {
            node: "n0".into(),
            data_centre: "dc0".into(),
            seed: 1,
            policy: Policy::TwoChoices,
        }),
        now: 0,
    };
    bench.handle(Event::Configured(text));
    let members = (0..nodes).map(|node| (format!("n{node}").into(), "dc0".into()));
    bench.handle(Event::Members(members.collect()));
    bench.handle(Event::Listed(records(replicas)));
    let decision = micros(bench.decisions(workspaces), REQUESTS);
    let report = bench.repeat(|number| {
        let load = Load {
            tokens: Tokens(u64::from(number)),
            ..Load::default()
        };
        Event::Reported(
            format!("endpoint-{:04}", number as usize % replicas).into(),
            load,
        )
    });
    let cached = bench.repeat(|number| {
        let cache = Cache {
            sequence: u64::from(number) / replicas as u64 + 1,
            change: Change::Stored(id::Prefix(u64::from(number))),
        };
        Event::Cached(
            format!("endpoint-{:04}", number as usize % replicas).into(),
            cache,
        )
    });
    let tick = bench.repeat(|_| Event::Tick);
    let marks = bench.repeat(|number| {
        let mark = id::Fingerprint(u64::from(number) << 20);
        Event::Suspected(vec![(mark, Duration::from_mins(1))])
    });
    for number in 0..replicas as u64 * 40 + WAITING {
        let event = Event::Arrived(id::Request(1_000_000 + number), profile(number, workspaces));
        bench.handle(event);
    }
    let waiting = bench.core.waiting();
    let backlog = bench.repeat(|_| Event::Tick);
    let used = memory().saturating_sub(before) as f64 / 1e6;
    let count = u64::from(REPEATS);
    println!(
        "| {nodes}/{replicas} | {workspaces} | {decision:.1} | {:.2} | {:.2} | {:.1} | {:.2} | {:.1} ({waiting}) | {used:.1} |",
        micros(report, count),
        micros(cached, count),
        micros(tick, count),
        micros(marks, count),
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
            row(size);
        }
    }
}

//! Nodes whose calls of the directory and reports to each other are lost, delayed and answered
//! late at random, while endpoints come and go.

mod common;

use std::{collections::BTreeSet, mem, ops::Range, time::Duration};

use common::directory::{Away, Directory, Follower};
use dottereltally_gateway::listing;
use dottereltally_lib::{endpoint::Standing, exchange::View};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;
use tokio::time::{Instant, sleep};

/// Longest time after an endpoint left until it gets no more requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Time after a disruption from which a node must know what its source knows.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Mean time between two renewals of a description.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1200);

/// Time without a renewal after which the source removes a description.
const LIFETIME: Duration = Duration::from_millis(3600);

/// Time between two reports of a node to another one.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Time between two checks.
const STEP: Duration = Duration::from_millis(20);

/// Length of a run.
const RUN: Duration = Duration::from_secs(90);

/// Probability that an endpoint leaves in a step: about once in 20 s.
const LEAVING: f64 = 0.001;

/// Probability that a report to another node is lost, and the longest time until it arrives.
const REPORT_LOSS: f64 = 0.2;
const REPORT_DELAY: Duration = Duration::from_millis(300);

const NODES: usize = 3;
const ENDPOINTS: usize = 8;

/// An endpoint that lives.
#[derive(Debug)]
struct Endpoint {
    name: String,
    sequence: u64,
    /// When its description was written last, and when it is due again.
    written: Instant,
    due: Instant,
}

impl Endpoint {
    /// Builds an endpoint that writes its first description at a time.
    fn new(number: usize, due: Instant) -> Self {
        Self {
            name: format!("e{number}"),
            sequence: 0,
            written: due,
            due,
        }
    }
}

struct Node {
    directory: Directory,
    follower: Follower,
    /// When what happens on its link changes.
    turn: Instant,
    /// The endpoints that it has used.
    used: BTreeSet<String>,
}

/// How nodes learn of each other's reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Exchange {
    /// Each node reads for itself and hears nothing.
    Silent,
    /// They report to each other which endpoints are listed.
    Reports,
    /// The first one announces its reads to the others, besides.
    Coordinator,
}

/// A report on its way to a node.
struct Report {
    arrives: Instant,
    to: usize,
    listings: Vec<listing::Report>,
    /// What the coordinator announces.
    announcement: Option<View>,
}

struct World {
    rng: SmallRng,
    exchange: Exchange,
    directory: Directory,
    nodes: Vec<Node>,
    endpoints: Vec<Endpoint>,
    /// Endpoints that left without a word, and when.
    departed: Vec<(String, Instant)>,
    start: Instant,
    /// Start and end of the next outage of the source.
    outage: Range<Instant>,
    /// Length of the last one, and when it ended.
    lasted: Duration,
    returned: Instant,
    next_report: Instant,
    reports: Vec<Report>,
}

impl World {
    async fn start(seed: u64, exchange: Exchange) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let directory = Directory::with_eras();
        let now = Instant::now();
        let mut endpoints = Vec::new();
        for number in 0..ENDPOINTS {
            let part = rng.random_range(0.0..1.0);
            endpoints.push(Endpoint::new(number, now + RENEWAL_INTERVAL.mul_f64(part)));
        }
        let mut nodes = Vec::new();
        for number in 0..NODES {
            let directory = directory.for_another_node();
            let follower = Follower::start(&directory).await;
            if exchange == Exchange::Coordinator && number == 0 {
                follower.view.set_announcing(Some(REPORT_INTERVAL));
            }
            nodes.push(Node {
                directory,
                follower,
                turn: now + CONTACT_TIME,
                used: BTreeSet::new(),
            });
        }
        let outage = now + Duration::from_secs(rng.random_range(5..30));
        Self {
            rng,
            exchange,
            directory,
            nodes,
            endpoints,
            departed: Vec::new(),
            start: now,
            outage: outage..outage + Duration::from_secs(1),
            lasted: Duration::ZERO,
            returned: now,
            next_report: now,
            reports: Vec::new(),
        }
    }

    fn is_up(&self) -> bool {
        !self.outage.contains(&Instant::now())
    }

    fn random_time(&mut self, millis: Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(millis))
    }

    /// Begins or ends an outage of the source.
    fn turn_source(&mut self) {
        let now = Instant::now();
        if self.is_up() {
            if now < self.outage.end {
                return;
            }
            self.directory.set_away(None);
            self.returned = self.outage.end;
            self.lasted = self.outage.end - self.outage.start;
            let start = now + self.random_time(8_000..30_000);
            let length = self.random_time(50..9_000);
            self.outage = start..start + length;
            return;
        }
        if now < self.outage.start + STEP {
            let is_silent = self.rng.random_bool(0.5);
            let away = if is_silent {
                Away::Silent
            } else {
                Away::Refused
            };
            self.directory.set_away(Some(away));
        }
    }

    /// Draws what happens on the links of the nodes.
    fn turn_links(&mut self) {
        let now = Instant::now();
        for number in 0..self.nodes.len() {
            if now < self.nodes[number].turn {
                continue;
            }
            let loss = match self.rng.random_range(0..6) {
                0 | 1 => 0.0,
                2 => 0.02,
                3 => 0.1,
                4 => 0.4,
                _ => 1.0,
            };
            let longest = if loss >= 0.4 { 5_000 } else { 10_000 };
            let span = self.random_time(50..longest);
            let delay = self.random_time(1..150);
            let seed = self.rng.random();
            let node = &mut self.nodes[number];
            node.directory.set_weather(seed, loss, delay);
            node.turn = now + span;
        }
    }

    /// Lets endpoints renew their descriptions, leave and be replaced by others; removes
    /// descriptions that are not renewed.
    fn turn_endpoints(&mut self) {
        let now = Instant::now();
        let is_up = self.is_up();
        for endpoint in &mut self.endpoints {
            if is_up && endpoint.sequence > 0 && self.rng.random_bool(LEAVING) {
                self.directory.remove(&endpoint.name);
                let number = ENDPOINTS + self.departed.len();
                let pause = Duration::from_millis(self.rng.random_range(0..8_000));
                let next = Endpoint::new(number, now + pause);
                let left = mem::replace(endpoint, next);
                self.departed.push((left.name, now));
                continue;
            }
            let Endpoint { name, sequence, .. } = endpoint;
            if now >= endpoint.due {
                let part = self.rng.random_range(0.9..1.1);
                endpoint.due = now + RENEWAL_INTERVAL.mul_f64(part);
                if is_up {
                    *sequence += 1;
                    self.directory
                        .write_numbered(name, Standing::Live, 1, *sequence);
                    endpoint.written = now;
                }
            }
            if *sequence > 0 && now - endpoint.written >= LIFETIME {
                self.directory.remove(name);
            }
        }
    }

    /// Sends reports between the nodes; some are lost, and the others are late.
    fn send_reports(&mut self) {
        let now = Instant::now();
        if self.exchange == Exchange::Silent || now < self.next_report {
            return;
        }
        self.next_report = now + REPORT_INTERVAL;
        for from in 0..self.nodes.len() {
            for to in 0..self.nodes.len() {
                if from == to || self.rng.random_bool(REPORT_LOSS) {
                    continue;
                }
                let part = self.rng.random_range(0.0..1.0);
                let sender = &self.nodes[from];
                let is_coordinator = self.exchange == Exchange::Coordinator && from == 0;
                let view = sender.follower.view.announcement();
                let view = view.filter(|_| is_coordinator);
                // The clock of the machine's uptime can't be paused.
                let read = sender.directory.last_read();
                let announcement = read.zip(view).map(|(read, view)| View {
                    age: read.elapsed(),
                    ..view
                });
                self.reports.push(Report {
                    arrives: now + REPORT_DELAY.mul_f64(part),
                    to,
                    listings: sender.follower.view.listings(),
                    announcement,
                });
            }
        }
    }

    fn receive_reports(&mut self) {
        let now = Instant::now();
        let nodes = &self.nodes;
        self.reports.retain(|report| {
            if now < report.arrives {
                return true;
            }
            let receiver = &nodes[report.to].follower.view;
            receiver.record_listings(&report.listings);
            if let Some(view) = &report.announcement {
                receiver.apply(1, view);
            }
            false
        });
    }

    /// Returns from when a node must know what the source knows: some time after the last
    /// outage and after the last call but one that was lost on its link.
    fn in_touch_since(&self, node: &Node) -> Instant {
        let lost = node.directory.lost();
        let last_but_one = lost.iter().rev().nth(1);
        let lost = last_but_one.copied().unwrap_or(self.start);
        lost.max(self.returned) + CONTACT_TIME
    }

    /// Checks what the nodes use; returns what is wrong.
    fn check(&mut self) -> Vec<String> {
        let now = Instant::now();
        let mut faults = Vec::new();
        for number in 0..self.nodes.len() {
            let in_touch_since = self.in_touch_since(&self.nodes[number]);
            let is_up = self.is_up();
            let node = &mut self.nodes[number];
            for endpoint in &self.endpoints {
                let name = &endpoint.name;
                if node.follower.uses(name) {
                    node.used.insert(name.clone());
                } else if node.used.contains(name) {
                    let written = now - endpoint.written;
                    faults.push(format!(
                        "node {number} gave {name} up, which lives and wrote {written:?} ago"
                    ));
                }
            }
            for (name, left) in &self.departed {
                let due = (*left + DRAIN_TIME).max(in_touch_since);
                if is_up && now > due && node.follower.uses(name) {
                    let left = now - *left;
                    let calm = CONTACT_TIME + (now - in_touch_since);
                    faults.push(format!(
                        "node {number} uses {name} {left:?} after it left, {calm:?} after a disruption"
                    ));
                }
            }
        }
        faults
    }
}

/// Plays a seed; returns what is wrong first.
async fn play(seed: u64, exchange: Exchange) -> Option<String> {
    let mut world = World::start(seed, exchange).await;
    let end = world.start + RUN;
    while Instant::now() < end {
        world.turn_source();
        world.turn_links();
        world.turn_endpoints();
        world.send_reports();
        world.receive_reports();
        let faults = world.check();
        if let Some(fault) = faults.first() {
            let at = world.start.elapsed();
            let World {
                lasted, returned, ..
            } = world;
            let ago = returned.elapsed();
            return Some(format!(
                "seed {seed}, {at:?}: {fault}; last outage of {lasted:?}, {ago:?} ago"
            ));
        }
        sleep(STEP).await;
    }
    assert!(!world.departed.is_empty(), "no endpoint left");
    let mut nodes = world.nodes.iter();
    assert!(
        nodes.any(|node| !node.directory.lost().is_empty()),
        "no call was lost"
    );
    None
}

/// Guards against DRAIN at nodes whose calls are lost at random, and against endpoints that live
/// and are given up. The variable `LOSS_SEEDS` sets the number of seeds, `LOSS_SEED` the first.
#[rstest]
#[case::silent(Exchange::Silent)]
#[case::reports(Exchange::Reports)]
#[case::coordinator(Exchange::Coordinator)]
#[tokio::test(start_paused = true)]
async fn random_losses_neither_delay_leaving_nor_end_endpoints(#[case] exchange: Exchange) {
    let number = |name: &str, usual: u64| {
        let set = std::env::var(name).ok();
        set.map_or(usual, |value| value.parse().unwrap())
    };
    let first = number("LOSS_SEED", 0);
    let mut faults = Vec::new();
    for seed in first..first + number("LOSS_SEEDS", 16) {
        faults.extend(play(seed, exchange).await);
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

//! Kinds of request that take unlike times at one service, in virtual time.

use std::{collections::BTreeMap, time::Duration};

use dottereltally_lib::{
    dispatcher::{Dispatcher, Effect, Outcome, Request, Settings, Timing},
    endpoint::{Record, Standing},
    id,
    rollout::Filter,
    time,
};
use rstest::rstest;

/// Time between two steps of a simulation.
const STEP: Duration = Duration::from_millis(10);

/// Endpoints, and requests that each runs at once.
const ENDPOINTS: usize = 3;
const PLACES: u32 = 6;

/// Longest time after a change of a service in which its callers may be refused.
const LEARNING_TIME: Duration = Duration::from_secs(8);

/// A kind of request.
#[derive(Clone, Copy)]
struct Kind {
    route: &'static str,
    /// Time that its requests take.
    work: Duration,
    /// Time that its callers allow.
    allowed: Duration,
    /// Time between two requests.
    interval: Duration,
}

const LONG: Kind = Kind {
    route: "long",
    work: Duration::from_millis(2500),
    allowed: Duration::from_secs(15),
    interval: Duration::from_millis(400),
};

const QUICK: Kind = Kind {
    route: "quick",
    work: Duration::from_millis(30),
    allowed: Duration::from_millis(1500),
    interval: Duration::from_millis(100),
};

/// What became of the requests of a kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Counts {
    arrived: usize,
    served: usize,
    /// Refused, not run.
    refused: usize,
    /// Sent, but not answered by the deadline.
    expired: usize,
}

struct Running {
    id: id::Request,
    route: &'static str,
    end: time::Instant,
    outcome: Outcome,
}

struct Simulation {
    now: time::Instant,
    node: Dispatcher,
    kinds: BTreeMap<id::Request, Kind>,
    running: Vec<Running>,
    counts: BTreeMap<&'static str, Counts>,
    next: u64,
}

impl Simulation {
    fn new() -> Self {
        let now = time::Instant::from_micros(60_000_000);
        let mut records = Vec::new();
        for number in 0..ENDPOINTS {
            records.push(Record {
                id: id::Endpoint::from(format!("e{number}")),
                address: "127.0.0.1:1".to_owned(),
                service: id::Service::from("s"),
                data_centre: id::DataCentre::from("dc"),
                standing: Standing::Live,
                capacity: Some(PLACES),
                version: None,
            });
        }
        let mut node = Dispatcher::new(Settings {
            data_centre: id::DataCentre::from("dc"),
            seed: 1,
        });
        node.set_endpoints(now, records);
        Self {
            now,
            node,
            kinds: BTreeMap::new(),
            running: Vec::new(),
            counts: BTreeMap::new(),
            next: 0,
        }
    }

    fn apply(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(id, _) => {
                    let kind = self.kinds[&id];
                    let arrived = self.now;
                    // Endpoints stop work at the deadline.
                    let (end, outcome) = if kind.work <= kind.allowed {
                        let answered = Outcome::Answered(Timing::default());
                        (arrived + kind.work, answered)
                    } else {
                        (arrived + kind.allowed, Outcome::Cancelled)
                    };
                    self.running.push(Running {
                        id,
                        route: kind.route,
                        end,
                        outcome,
                    });
                }
                Effect::Refuse(id, _) => {
                    let kind = self.kinds[&id];
                    self.counts.entry(kind.route).or_default().refused += 1;
                }
            }
        }
    }

    fn submit(&mut self, kind: Kind) {
        let id = id::Request(self.next);
        self.next += 1;
        self.kinds.insert(id, kind);
        self.counts.entry(kind.route).or_default().arrived += 1;
        let request = Request {
            service: id::Service::from("s"),
            route: id::Route::from(kind.route),
            tier: id::Tier(0),
            class: id::Tier(0),
            prompt: 0,
            expected_output: 0,
            max_pause: None,
            first_byte_due: self.now + kind.allowed,
            caller_leaves_at: self.now + kind.allowed,
            deadline: self.now + kind.allowed,
            excluded: Vec::new(),
            version: None,
            resumable: false,
            workspace: None,
            fingerprint: None,
            version_filter: Filter::Any,
        };
        let effects = self.node.submit(self.now, id, request);
        self.apply(effects);
    }

    /// Lets time pass while requests of these kinds arrive; returns what became of them.
    fn run(&mut self, span: Duration, kinds: &[Kind]) -> BTreeMap<&'static str, Counts> {
        self.counts.clear();
        let start = self.now;
        let mut next = vec![start; kinds.len()];
        while self.now < start + span {
            self.now += STEP;
            let (ended, running) = std::mem::take(&mut self.running)
                .into_iter()
                .partition(|job: &Running| job.end <= self.now);
            self.running = running;
            for job in ended {
                let counts = self.counts.entry(job.route).or_default();
                match job.outcome {
                    Outcome::Answered(_) => counts.served += 1,
                    _ => counts.expired += 1,
                }
                let effects = self.node.finish(self.now, job.id, job.outcome);
                self.apply(effects);
            }
            let effects = self.node.tick(self.now);
            self.apply(effects);
            for (kind, next) in kinds.iter().zip(&mut next) {
                if *next <= self.now {
                    *next += kind.interval;
                    self.submit(*kind);
                }
            }
        }
        self.counts.clone()
    }
}

/// Guards against quick calls that are refused for good as another route of their service has
/// long ones (CONFIG), also after the service was idle.
#[rstest]
#[case::beside_long_calls(Duration::ZERO, &[LONG, QUICK])]
#[case::after_long_calls(Duration::ZERO, &[QUICK])]
#[case::after_a_pause(Duration::from_secs(30), &[QUICK])]
fn quick_calls_on_an_added_route_are_served(#[case] pause: Duration, #[case] kinds: &[Kind]) {
    let mut simulation = Simulation::new();
    let before = simulation.run(Duration::from_secs(30), &[LONG]);
    assert_eq!(before["long"].refused, 0);
    simulation.run(pause, &[]);
    // The first call shows how long they take.
    let first = simulation.run(Duration::from_millis(500), kinds);
    assert!(first["quick"].served > 0, "{first:?}");
    let counts = simulation.run(Duration::from_secs(20), kinds);
    for (route, counts) in counts {
        assert_eq!(counts.refused, 0, "{route}: {counts:?}");
        assert_eq!(counts.expired, 0, "{route}: {counts:?}");
    }
}

/// The same beside more long calls than the service can take: quick ones take little of it.
#[test]
fn quick_calls_are_served_beside_an_overload_of_long_ones() {
    let overload = Kind {
        interval: Duration::from_millis(100),
        ..LONG
    };
    let mut simulation = Simulation::new();
    simulation.run(Duration::from_secs(30), &[overload]);
    simulation.run(LEARNING_TIME, &[overload, QUICK]);
    let counts = simulation.run(Duration::from_secs(20), &[overload, QUICK]);
    let quick = counts["quick"];
    assert!(quick.served * 10 >= quick.arrived * 8, "{counts:?}");
}

/// Guards against a service that was slow and is quick now, to which nothing is sent as it was
/// slow.
#[rstest]
#[case::at_once(Duration::ZERO)]
#[case::after_a_pause(Duration::from_secs(30))]
fn a_service_that_is_quick_again_is_used(#[case] pause: Duration) {
    let mut simulation = Simulation::new();
    simulation.run(Duration::from_secs(30), &[LONG]);
    simulation.run(pause, &[]);
    let quick_again = Kind {
        route: LONG.route,
        ..QUICK
    };
    simulation.run(LEARNING_TIME, &[quick_again]);
    let counts = simulation.run(Duration::from_secs(20), &[quick_again]);
    assert_eq!(counts["long"].refused, 0, "{counts:?}");
}

/// Requests that can't end in time are refused but for a few, which show whether that is still
/// so; others are served beside them.
#[rstest]
#[case::route_of_its_own("hopeless")]
#[case::route_of_long_calls(LONG.route)]
fn few_requests_are_sent_that_do_not_end(#[case] route: &'static str) {
    const SPAN: Duration = Duration::from_mins(1);
    let hopeless = Kind {
        route,
        work: Duration::from_millis(2500),
        allowed: Duration::from_secs(1),
        interval: Duration::from_millis(50),
    };
    let mut simulation = Simulation::new();
    simulation.run(Duration::from_secs(30), &[LONG]);
    simulation.run(LEARNING_TIME, &[LONG, hopeless]);
    let counts = simulation.run(SPAN, &[LONG, hopeless]);
    let sent: usize = counts.values().map(|counts| counts.expired).sum();
    assert!(sent <= 12, "{counts:?}");
    let long = simulation.run(SPAN, &[LONG])[LONG.route];
    assert_eq!(long.refused + long.expired, 0, "{long:?}");
}

/// A route that is used now and then, by several callers at once, is served each time.
#[test]
fn a_route_that_is_seldom_used_is_served() {
    let mut simulation = Simulation::new();
    simulation.run(Duration::from_secs(20), &[LONG]);
    simulation.run(Duration::from_secs(2), &[LONG, QUICK]);
    for _ in 0..5 {
        simulation.run(Duration::from_secs(20), &[LONG]);
        for _ in 0..5 {
            simulation.submit(QUICK);
        }
        let counts = simulation.run(Duration::from_secs(1), &[LONG]);
        assert_eq!(counts["quick"].served, 5, "{counts:?}");
    }
}

/// Guards against callers that leave at once and so keep a route from being tried.
#[test]
fn callers_that_leave_early_do_not_keep_a_route_refused() {
    let mut simulation = Simulation::new();
    simulation.run(Duration::from_secs(30), &[LONG]);
    for _ in 0..100 {
        let id = id::Request(simulation.next);
        simulation.submit(QUICK);
        let effects = simulation.node.cancel(simulation.now, id);
        simulation.running.retain(|job| job.id != id);
        simulation.apply(effects);
        simulation.run(Duration::from_millis(20), &[]);
    }
    let counts = simulation.run(Duration::from_secs(10), &[LONG, QUICK]);
    assert_eq!(counts["quick"].refused, 0, "{counts:?}");
}

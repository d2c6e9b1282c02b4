//! Endpoints that report how slow their machine is: requests go to those that are fast now.

#[expect(dead_code, reason = "not every test uses all of the simulation")]
mod engines;

use std::time::Duration;

use dottereltally_lib::{
    dispatcher::{
        Dispatcher, Effect, Outcome, Settings, Timing,
        speed::{self, MAX_REPORTS, Slowdown, Statement},
    },
    endpoint::{Record, Standing},
    id, time,
};
use engines::{Report, Simulation, at, request};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IteratorRandom};
use rstest::rstest;

const SEEDS: u64 = 4;

/// Time for which noise stays at an endpoint, and how much slower it is then.
const NOISE: (Duration, f64) = (Duration::from_millis(600), 2.5);

/// A load on engines for 20 s.
struct Pattern {
    nodes: usize,
    has_coordinator: bool,
    /// Time between two reports of a node.
    report_period: Duration,
    speeds: Vec<f64>,
    /// Whether 15 % of the engines are slow at any time.
    is_noisy: bool,
    /// Requests a second.
    rate: f64,
    /// Time within which the first event counts as on time.
    objective: Duration,
    output: u64,
}

/// Results of all seeds.
#[derive(Debug, Default)]
struct Figures {
    within: f64,
    served: f64,
    /// Mean share of the choices that went to an engine slowed by noise.
    to_slow: f64,
}

impl Pattern {
    fn run(&self, report: Report) -> Figures {
        let mut sum = Figures::default();
        for seed in 0..SEEDS {
            let figures = self.run_seed(report, seed);
            sum.within += figures.within;
            sum.served += figures.served;
            sum.to_slow += figures.to_slow;
        }
        #[expect(clippy::cast_precision_loss, reason = "a small number")]
        let seeds = SEEDS as f64;
        Figures {
            within: sum.within / seeds,
            served: sum.served / seeds,
            to_slow: sum.to_slow / seeds,
        }
    }

    fn run_seed(&self, report: Report, seed: u64) -> Figures {
        let mut simulation = Simulation::new(self.nodes, &self.speeds, 4);
        if self.has_coordinator {
            simulation = simulation.with_coordinator();
        }
        simulation.report_period = self.report_period;
        for engine in &mut simulation.engines {
            engine.report = report;
        }
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut ids, mut slow_choices) = (Vec::new(), 0);
        let mut next_noise = at(0);
        let mut now = at(0);
        while now < at(20_000) {
            if self.is_noisy && now >= next_noise {
                next_noise = now + NOISE.0;
                let count = simulation.engines.len() * 15 / 100;
                let slowed = (0..simulation.engines.len()).choose_multiple(&mut rng, count);
                for (index, engine) in simulation.engines.iter_mut().enumerate() {
                    engine.slowdown = if slowed.contains(&index) {
                        NOISE.1
                    } else {
                        1.0
                    };
                }
            }
            let before = simulation.sent.len();
            let node = rng.random_range(0..self.nodes);
            let wanted = request(now, 0, 1000, self.output, self.objective);
            ids.push(simulation.arrive(node, wanted));
            let gap = -rng.random_range(1e-9_f64..1.0).ln() / self.rate;
            now += Duration::from_secs_f64(gap);
            simulation.run(now);
            for (_, choice) in &simulation.sent[before..] {
                let engine = simulation.engines.iter();
                let mut engine = engine.filter(|engine| engine.name == choice.endpoint);
                slow_choices += usize::from(engine.next().is_some_and(|it| it.slowdown > 1.0));
            }
        }
        simulation.run(at(40_000));
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let to_slow = slow_choices as f64 / simulation.sent.len().max(1) as f64;
        Figures {
            within: simulation.on_time(&ids, self.objective),
            served: simulation.served(&ids),
            to_slow,
        }
    }
}

/// Returns speeds of 0.55 to 2.8, evenly spread over their logarithms.
fn lasting(count: u32) -> Vec<f64> {
    let step = (2.8_f64 / 0.55).ln() / f64::from(count - 1);
    (0..count)
        .map(|number| 0.55 * (step * f64::from(number)).exp())
        .collect()
}

/// Guards against requests that go to endpoints which are slow at the moment, although
/// these say so and others have room.
#[rstest]
#[case::coordinator("coordinator", true, 4, 100)]
#[case::alone("alone", false, 1, 100)]
#[case::side_by_side("side by side", false, 4, 100)]
fn noise_of_some_endpoints_is_avoided(
    #[case] name: &str,
    #[case] has_coordinator: bool,
    #[case] nodes: usize,
    #[case] report_ms: u64,
) {
    let pattern = Pattern {
        nodes,
        has_coordinator,
        report_period: Duration::from_millis(report_ms),
        speeds: vec![1.0; 20],
        is_noisy: true,
        rate: 100.0,
        objective: Duration::from_millis(90),
        output: 60,
    };
    let (before, after) = (pattern.run(Report::Load), pattern.run(Report::Slowdown));
    println!("noise, {name}: without {before:?}, with {after:?}");
    assert!(after.within > before.within);
    assert!(after.served >= before.served - 0.002);
    assert!(after.to_slow < before.to_slow);
}

/// Guards against nodes with stale views that all choose the same fast endpoints.
#[test]
fn nodes_with_stale_views_do_not_crowd_fast_endpoints() {
    let pattern = Pattern {
        nodes: 30,
        has_coordinator: false,
        report_period: Duration::from_millis(600),
        speeds: lasting(20),
        is_noisy: true,
        rate: 150.0,
        objective: Duration::from_millis(200),
        output: 60,
    };
    let (before, after) = (pattern.run(Report::Load), pattern.run(Report::Slowdown));
    println!("stale views: without {before:?}, with {after:?}");
    assert!(after.within >= before.within - 0.005);
    assert!(after.served >= before.served - 0.005);
}

fn record(name: &str) -> Record {
    Record {
        id: id::Endpoint::from(name),
        address: "127.0.0.1:1".to_owned(),
        service: id::Service::from("model"),
        data_centre: id::DataCentre::from("dc"),
        standing: Standing::Live,
        capacity: Some(64),
        version: None,
    }
}

fn dispatcher(names: &[&str]) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(Settings::default());
    let records = names.iter().map(|name| record(name)).collect();
    dispatcher.set_endpoints(at(0), records);
    for name in names {
        dispatcher.record_started(at(0), &id::Endpoint::from(*name), 1);
    }
    dispatcher
}

fn statement(slowdown: Option<f64>) -> Statement {
    Statement {
        running: 0,
        waiting: 0,
        slots: 64,
        slowdown: slowdown.map(|factor| Slowdown::try_from(factor).unwrap()),
    }
}

/// Returns how many of 40 requests go to `e0`; each ends at once.
fn share(dispatcher: &mut Dispatcher, now: time::Instant, first_id: u64) -> usize {
    let mut count = 0;
    for number in first_id..first_id + 40 {
        let id = id::Request(number);
        let wanted = request(now, 0, 100, 60, Duration::from_millis(400));
        let effects = dispatcher.submit(now, id, wanted);
        let Some(Effect::Send(_, choice)) = effects.first() else {
            panic!("not sent: {effects:?}");
        };
        count += usize::from(choice.endpoint == id::Endpoint::from("e0"));
        dispatcher.finish(now, id, Outcome::Cancelled);
    }
    count
}

/// Guards against a report that is used long after the machine has changed.
#[test]
fn a_report_ages_and_expires() {
    let mut dispatcher = dispatcher(&["e0", "e1"]);
    let e0 = id::Endpoint::from("e0");
    dispatcher.record_endpoint_load(at(0), &e0, statement(Some(2.5)));
    assert_eq!(share(&mut dispatcher, at(10), 1), 0);
    assert_eq!(dispatcher.speeds(at(10)).len(), 1);
    assert_eq!(dispatcher.slow_endpoints(at(10)), 1);
    assert!(share(&mut dispatcher, at(1000), 100) > 10);
    assert!(dispatcher.speeds(at(1000)).is_empty());
    assert_eq!(dispatcher.slow_endpoints(at(1000)), 0);
}

/// Guards against estimates that outlive the process or the machine that they are about.
#[rstest]
#[case::process(true)]
#[case::address(false)]
fn a_new_process_or_address_has_no_estimate(#[case] is_process: bool) {
    let mut dispatcher = dispatcher(&["e0", "e1"]);
    let e0 = id::Endpoint::from("e0");
    dispatcher.record_endpoint_load(at(0), &e0, statement(Some(2.5)));
    assert_eq!(dispatcher.slow_endpoints(at(0)), 1);
    if is_process {
        dispatcher.record_started(at(1), &e0, 2);
    } else {
        let moved = Record {
            address: "127.0.0.1:2".to_owned(),
            ..record("e0")
        };
        dispatcher.set_endpoints(at(1), vec![moved, record("e1")]);
    }
    assert_eq!(dispatcher.slow_endpoints(at(1)), 0);
}

/// Guards against reports of other nodes that replace newer ones, are about a former
/// process, or are older than their validity.
#[test]
fn reports_of_other_nodes_are_used_by_age_and_process() {
    let e0 = id::Endpoint::from("e0");
    let node = id::Node::from("n1");
    let report = |factor: f64, age: u64, started_ms| speed::Report {
        endpoint: e0.clone(),
        started_ms,
        stated: Some((
            Slowdown::try_from(factor).unwrap(),
            Duration::from_millis(age),
        )),
        window: None,
    };
    let mut dispatcher = dispatcher(&["e0", "e1"]);
    dispatcher.record_peer_speeds(at(2000), &node, &[report(2.5, 50, Some(9))]);
    dispatcher.record_peer_speeds(at(2000), &node, &[report(2.5, 1500, Some(1))]);
    assert_eq!(dispatcher.slow_endpoints(at(2000)), 0);
    dispatcher.record_peer_speeds(at(2000), &node, &[report(2.5, 50, Some(1))]);
    assert_eq!(dispatcher.slow_endpoints(at(2000)), 1);
    let passed_on = dispatcher.speeds(at(2100));
    let (slowdown, age) = passed_on[0].stated.unwrap();
    assert!((slowdown.factor() - 2.5).abs() < 1e-9);
    assert_eq!(age, Duration::from_millis(150));
    for _ in 0..4 {
        dispatcher.record_peer_speeds(at(2000), &node, &[report(1.0, 400, None)]);
    }
    assert_eq!(dispatcher.slow_endpoints(at(2000)), 1);
}

/// Guards against datagrams that grow with the number of slow endpoints.
#[test]
fn reports_to_other_nodes_are_bounded() {
    let names: Vec<String> = (0..90).map(|number| format!("e{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut dispatcher = dispatcher(&names);
    for (number, name) in (0_u32..).zip(&names) {
        let slowdown = 1.2 + f64::from(number) / 100.0;
        let name = id::Endpoint::from(*name);
        dispatcher.record_endpoint_load(at(0), &name, statement(Some(slowdown)));
    }
    let reports = dispatcher.speeds(at(1));
    assert_eq!(reports.len(), MAX_REPORTS);
    assert_eq!(reports[0].endpoint, id::Endpoint::from("e89"));
}

/// Guards against a change for endpoints that report nothing, or a load without a slowdown
/// that leaves room: the same seed has the same choices.
#[test]
fn endpoints_without_the_fourth_figure_are_chosen_as_before() {
    let mut choices = Vec::new();
    for states_load in [false, true] {
        let mut dispatcher = dispatcher(&["e0", "e1", "e2"]);
        let mut chosen = Vec::new();
        for number in 0..200 {
            let (now, id) = (at(number * 10), id::Request(number));
            let wanted = request(now, 0, 100, 60, Duration::from_millis(400));
            let effects = dispatcher.submit(now, id, wanted);
            let Some(Effect::Send(_, choice)) = effects.first() else {
                panic!("not sent: {effects:?}");
            };
            chosen.push(choice.endpoint.clone());
            dispatcher.record_first_byte(now + Duration::from_millis(60), id);
            if states_load {
                dispatcher.record_endpoint_load(now, &choice.endpoint, statement(None));
            }
            let timing = Timing {
                events: 11,
                longest_pause: Duration::from_millis(30),
            };
            let end = now + Duration::from_millis(300);
            dispatcher.finish(end, id, Outcome::Answered(timing));
        }
        choices.push(chosen);
    }
    assert_eq!(choices[0], choices[1]);
}

/// Guards against values outside the platform's range that are taken as speeds.
#[rstest]
#[case("0")]
#[case("-5")]
#[case("10001")]
#[case("1e9")]
#[case("NaN")]
#[case("inf")]
#[case("")]
#[case("fast")]
fn impossible_slowdowns_are_errors(#[case] text: &str) {
    text.parse::<Slowdown>().unwrap_err();
}

/// Guards against figures that lose their unit on the way.
#[test]
fn a_slowdown_is_written_as_it_is_read() {
    let slowdown: Slowdown = "250".parse().unwrap();
    assert!((slowdown.factor() - 2.5).abs() < f64::EPSILON);
    assert_eq!(slowdown.to_string(), "250");
}

/// Guards against a log that grows with each malformed header.
#[test]
fn an_unreadable_load_is_new_once_per_process() {
    let mut dispatcher = dispatcher(&["e0"]);
    let e0 = id::Endpoint::from("e0");
    assert!(dispatcher.record_unreadable_load(&e0));
    assert!(!dispatcher.record_unreadable_load(&e0));
    dispatcher.record_started(at(1), &e0, 2);
    assert!(dispatcher.record_unreadable_load(&e0));
}

/// Guards against requests of this node that ended after a report and are taken for those of
/// other nodes, so that free slots stay unused.
#[test]
fn own_requests_that_ended_after_a_report_free_their_slots() {
    let mut dispatcher = dispatcher(&["e0"]);
    let e0 = id::Endpoint::from("e0");
    let mut send = |number, now| {
        let wanted = request(now, 0, 0, 0, Duration::from_secs(5));
        let effects = dispatcher.submit(now, id::Request(number), wanted);
        matches!(effects.first(), Some(Effect::Send(..)))
    };
    for number in 0..64 {
        assert!(send(number, at(0)));
    }
    let full = Statement {
        running: 64,
        ..statement(None)
    };
    dispatcher.record_endpoint_load(at(40), &e0, full);
    for number in 0..64 {
        let outcome = Outcome::Answered(Timing::default());
        dispatcher.finish(at(40), id::Request(number), outcome);
    }
    for number in 100..164 {
        let wanted = request(at(50), 0, 0, 0, Duration::from_secs(5));
        let effects = dispatcher.submit(at(50), id::Request(number), wanted);
        assert!(matches!(effects.first(), Some(Effect::Send(..))));
    }
}

//! Limits that endpoints name, in virtual time.

use std::time::Duration;

use dottereltally_lib::{
    dispatcher::{Dispatcher, Effect, Outcome, Request, Settings, Timing},
    endpoint::{Record, Standing},
    id, refusal,
    rollout::Filter,
    share::Rate,
    time,
};
use rstest::rstest;

/// Time between two steps of a simulation.
const STEP: Duration = Duration::from_millis(20);

/// Time that an endpoint takes for a request.
const WORK: Duration = Duration::from_millis(40);

fn record(name: &str) -> Record {
    Record {
        id: id::Endpoint::from(name),
        address: "127.0.0.1:1".to_owned(),
        service: id::Service::from("s"),
        data_centre: id::DataCentre::from("dc"),
        standing: Standing::Live,
        capacity: Some(10),
        version: None,
    }
}

fn request(now: time::Instant, tier: u8, patience: Duration) -> Request {
    Request {
        service: id::Service::from("s"),
        route: id::Route::from("r"),
        tier: id::Tier(tier),
        class: id::Tier(0),
        prompt: 0,
        expected_output: 0,
        max_pause: None,
        first_byte_due: now + patience,
        caller_leaves_at: now + patience,
        deadline: now + patience,
        excluded: Vec::new(),
        version: None,
        resumable: false,
        workspace: None,
        fingerprint: None,
        version_filter: Filter::Any,
    }
}

fn rate(text: &str) -> Rate {
    text.parse().unwrap()
}

/// Dispatchers of several nodes that report to each other, and their endpoints.
struct Fleet {
    now: time::Instant,
    nodes: Vec<Dispatcher>,
    /// Requests at endpoints: node, number and end.
    running: Vec<(usize, id::Request, time::Instant)>,
    /// Endpoint, number and time of each request that was sent.
    sent: Vec<(String, id::Request, time::Instant)>,
    refused: Vec<(id::Request, refusal::Refusal)>,
    next: u64,
}

impl Fleet {
    fn new(nodes: u64, endpoints: &[&str]) -> Self {
        let mut fleet = Self {
            now: time::Instant::from_micros(1_000_000),
            nodes: Vec::new(),
            running: Vec::new(),
            sent: Vec::new(),
            refused: Vec::new(),
            next: 0,
        };
        for seed in 0..nodes {
            let data_centre = id::DataCentre::from("dc");
            let mut dispatcher = Dispatcher::new(Settings { data_centre, seed });
            let records = endpoints.iter().map(|name| record(name)).collect();
            dispatcher.set_endpoints(fleet.now, records);
            dispatcher.set_node_count(usize::try_from(nodes).unwrap());
            fleet.nodes.push(dispatcher);
        }
        fleet
    }

    fn name(&mut self, node: usize, endpoint: &str, limit: Option<Rate>) {
        let endpoint = id::Endpoint::from(endpoint);
        let (_change, effects) = self.nodes[node].record_limit(self.now, &endpoint, limit);
        self.carry_out(node, effects);
    }

    fn submit(&mut self, node: usize, tier: u8, patience: Duration) -> id::Request {
        self.next += 1;
        let id = id::Request(self.next);
        let effects = self.nodes[node].submit(self.now, id, request(self.now, tier, patience));
        self.carry_out(node, effects);
        id
    }

    fn carry_out(&mut self, node: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(id, choice) => {
                    let endpoint = choice.endpoint.to_string();
                    self.sent.push((endpoint, id, self.now));
                    self.running.push((node, id, self.now + WORK));
                }
                Effect::Refuse(id, refusal) => self.refused.push((id, refusal)),
            }
        }
    }

    /// Lets a step pass; nodes exchange their reports every five steps.
    fn step(&mut self, number: u64) {
        self.now += STEP;
        let (ended, running) = self
            .running
            .drain(..)
            .partition(|(_, _, end)| *end <= self.now);
        self.running = running;
        let ended: Vec<_> = ended;
        for (node, id, _) in ended {
            let outcome = Outcome::Answered(Timing::default());
            let effects = self.nodes[node].finish(self.now, id, outcome);
            self.carry_out(node, effects);
        }
        for node in 0..self.nodes.len() {
            let effects = self.nodes[node].tick(self.now);
            self.carry_out(node, effects);
        }
        if !number.is_multiple_of(5) {
            return;
        }
        for from in 0..self.nodes.len() {
            let reports = self.nodes[from].limits(self.now);
            let name = id::Node::from(format!("n{from}"));
            for to in 0..self.nodes.len() {
                if to != from {
                    self.nodes[to].record_peer_limits(self.now, &name, &reports);
                }
            }
        }
    }

    /// Submits requests at these nodes, one each per step, for a time.
    fn load(&mut self, nodes: &[usize], span: Duration) {
        let steps = span.as_millis() / STEP.as_millis();
        for number in 0..u64::try_from(steps).unwrap() {
            for node in nodes {
                self.submit(*node, 1, Duration::from_secs(3));
            }
            self.step(number);
        }
    }

    fn sent_since(&self, endpoint: &str, start: time::Instant) -> usize {
        let sent = self.sent.iter();
        sent.filter(|(name, _, at)| name == endpoint && *at >= start)
            .count()
    }

    /// Returns the most requests to an endpoint in a window of 4 s.
    fn most_in_window(&self, endpoint: &str, start: time::Instant) -> usize {
        let sent = self.sent.iter();
        let times: Vec<time::Instant> = sent
            .filter(|(name, _, at)| name == endpoint && *at >= start)
            .map(|(_, _, at)| *at)
            .collect();
        let mut most = 0;
        for (index, first) in times.iter().enumerate() {
            let window = times[index..].iter();
            let window = window.take_while(|at| at.since(*first) < Duration::from_secs(4));
            most = most.max(window.count());
        }
        most
    }
}

/// Guards against a limit that each node keeps by itself (LIMIT), and against shares that
/// leave the endpoint idle while work waits.
#[rstest]
#[case::one_node(1, &[0], 2.0)]
#[case::all_nodes(7, &[0, 1, 2, 3, 4, 5, 6], 1.8)]
#[case::low(7, &[0, 1, 2, 3, 4, 5, 6], 0.3)]
#[case::one_of_seven(7, &[3], 2.0)]
#[case::high(3, &[0, 1], 20.0)]
fn nodes_share_a_limit_by_demand(#[case] count: u64, #[case] loaded: &[usize], #[case] limit: f64) {
    let mut fleet = Fleet::new(count, &["e"]);
    fleet.name(loaded[0], "e", Some(limit.try_into().unwrap()));
    fleet.load(loaded, Duration::from_secs(1));
    let start = fleet.now;
    fleet.load(loaded, Duration::from_secs(40));
    let most = fleet.most_in_window("e", start);
    let sent = fleet.sent_since("e", start);
    #[expect(clippy::cast_precision_loss, reason = "few requests")]
    let (most, used) = (most as f64, sent as f64 / (40.0 * limit));
    assert!(most <= 6.0 * limit + 5.0, "{most} in 4 s");
    assert!(used >= 0.5, "{used} used");
}

/// Guards against permits that pile up while nobody asks for them.
#[test]
fn permits_do_not_accrue_in_a_pause() {
    let mut fleet = Fleet::new(3, &["e"]);
    fleet.name(0, "e", Some(rate("1")));
    fleet.load(&[0, 1, 2], Duration::from_secs(10));
    for number in 0..1500 {
        fleet.step(number);
    }
    let start = fleet.now;
    fleet.load(&[0, 1, 2], Duration::from_secs(8));
    let most = fleet.most_in_window("e", start);
    assert!(most <= 11, "{most} in 4 s");
}

/// A restarted node and a new coordinator learn the limit from the others' reports, and
/// begin without credit.
#[test]
fn a_node_that_starts_late_keeps_the_limit() {
    let mut fleet = Fleet::new(3, &["e"]);
    fleet.name(0, "e", Some(rate("1")));
    fleet.load(&[0], Duration::from_secs(10));
    let start = fleet.now;
    fleet.load(&[0, 1, 2], Duration::from_secs(10));
    let most = fleet.most_in_window("e", start);
    assert!(most <= 11, "{most} in 4 s");
}

#[test]
fn an_answer_without_a_limit_lifts_it_for_all_nodes() {
    let mut fleet = Fleet::new(3, &["e"]);
    fleet.name(0, "e", Some(rate("0.5")));
    fleet.load(&[0, 1, 2], Duration::from_secs(5));
    assert_eq!(fleet.nodes[2].limited_endpoints(), 1);
    fleet.name(1, "e", None);
    fleet.load(&[0, 1, 2], Duration::from_secs(1));
    for node in &fleet.nodes {
        assert_eq!(node.limited_endpoints(), 0);
    }
    let start = fleet.now;
    fleet.load(&[0, 1, 2], Duration::from_secs(1));
    assert!(fleet.sent_since("e", start) > 100);
}

/// Only answers show that a limit was lifted, so some requests are sent at a limit of 0.
#[test]
fn an_endpoint_with_a_limit_of_zero_still_gets_a_few_requests() {
    let mut fleet = Fleet::new(3, &["e", "f"]);
    fleet.name(0, "e", Some(rate("0")));
    fleet.load(&[0, 1, 2], Duration::from_secs(1));
    let start = fleet.now;
    fleet.load(&[0, 1, 2], Duration::from_mins(1));
    let sent = fleet.sent_since("e", start);
    assert!((2..=10).contains(&sent), "{sent} requests");
    assert!(fleet.most_in_window("e", start) <= 5);
}

#[test]
fn a_limit_ends_with_the_process_that_named_it() {
    let mut fleet = Fleet::new(1, &["e"]);
    let endpoint = id::Endpoint::from("e");
    fleet.nodes[0].record_started(fleet.now, &endpoint, 5);
    fleet.name(0, "e", Some(rate("1")));
    fleet.nodes[0].record_started(fleet.now, &endpoint, 5);
    assert_eq!(fleet.nodes[0].limited_endpoints(), 1);
    fleet.nodes[0].record_started(fleet.now, &endpoint, 6);
    assert_eq!(fleet.nodes[0].limited_endpoints(), 0);
}

/// Statements of other nodes that arrive late don't undo newer ones.
#[test]
fn the_last_statement_of_an_endpoint_counts() {
    let mut fleet = Fleet::new(2, &["e"]);
    fleet.name(0, "e", Some(rate("1")));
    let before = fleet.nodes[0].limits(fleet.now);
    fleet.now += Duration::from_secs(1);
    fleet.name(1, "e", Some(rate("3")));
    fleet.name(1, "e", None);
    fleet.now += STEP;
    let mut outdated = before;
    outdated[0].age = Duration::from_millis(1020);
    let node = id::Node::from("n0");
    fleet.nodes[1].record_peer_limits(fleet.now, &node, &outdated);
    assert_eq!(fleet.nodes[1].limited_endpoints(), 0);
}

#[test]
fn urgent_requests_go_first_within_a_limit() {
    let mut fleet = Fleet::new(1, &["e"]);
    fleet.name(0, "e", Some(rate("2")));
    let (mut urgent, mut routine) = (Vec::new(), Vec::new());
    for number in 0..500 {
        if number % 50 == 0 {
            urgent.push(fleet.submit(0, 0, Duration::from_secs(3)));
        }
        if number % 10 == 0 {
            routine.push(fleet.submit(0, 1, Duration::from_secs(3)));
        }
        fleet.step(number);
    }
    let was_sent = |id: &id::Request| fleet.sent.iter().any(|(_, sent, _)| sent == id);
    let served = |requests: &[id::Request]| requests.iter().filter(|id| was_sent(id)).count();
    assert!(
        served(&urgent) >= 9,
        "{} of 10 urgent ones",
        served(&urgent)
    );
    assert!(served(&routine) < routine.len());
}

#[test]
fn work_that_waits_for_a_limit_does_not_delay_others() {
    let mut fleet = Fleet::new(1, &["e", "f"]);
    fleet.name(0, "e", Some(rate("0.2")));
    let start = fleet.now;
    fleet.load(&[0], Duration::from_secs(4));
    assert!(fleet.sent_since("f", start) >= 190);
    assert!(fleet.refused.is_empty());
}

/// If all endpoints are limited, what can't be served is refused at once, with a delay
/// that grows with the work that waits.
#[test]
fn refusals_count_limited_endpoints_for_what_they_take() {
    let mut fleet = Fleet::new(1, &["e"]);
    fleet.name(0, "e", Some(rate("1")));
    fleet.load(&[0], Duration::from_secs(6));
    let before = fleet.refused.len();
    let id = fleet.submit(0, 1, Duration::from_secs(3));
    let (refused, refusal) = fleet.refused.last().unwrap();
    assert_eq!(fleet.refused.len(), before + 1);
    assert_eq!(*refused, id);
    assert!(refusal.retry_after >= Duration::from_millis(700));
}

#[rstest]
#[case::negative("-1")]
#[case::negative_zero("-0")]
#[case::not_a_number("nan")]
#[case::infinite("inf")]
#[case::too_large("1e400")]
#[case::empty("")]
#[case::two_values("1, 2")]
#[case::long("000000000000000000000000000000000000000001")]
fn text_that_is_no_rate_is_an_error(#[case] text: &str) {
    let error = text.parse::<Rate>().unwrap_err();
    assert!(error.to_string().contains("decimal number"));
}

#[test]
fn a_limit_that_cannot_be_read_changes_nothing_and_is_reported_once() {
    let mut fleet = Fleet::new(1, &["e"]);
    let endpoint = id::Endpoint::from("e");
    fleet.name(0, "e", Some(rate("1")));
    assert!(fleet.nodes[0].record_unreadable_limit(&endpoint));
    assert!(!fleet.nodes[0].record_unreadable_limit(&endpoint));
    assert_eq!(fleet.nodes[0].limited_endpoints(), 1);
}

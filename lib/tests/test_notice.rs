//! What endpoints say about themselves, in virtual time.

use std::time::Duration;

use dottereltally_lib::{
    dispatcher::{Dispatcher, Effect, Outcome, Request, Settings, Timing},
    endpoint::{Record, Standing},
    id,
    notice::Notice,
    time,
};
use rstest::rstest;

/// Time between two steps of a simulation, and steps between two reports of the nodes.
const STEP: Duration = Duration::from_millis(10);
const STEPS_PER_REPORT: u64 = 10;

/// Requests that an endpoint takes at once, and that it lists.
const CAPACITY: (usize, u32) = (4, 6);

/// Rejections in a second that an endpoint bears.
const MOST_REJECTIONS: usize = 3;

fn record(name: &str, data_centre: &str, address: &str) -> Record {
    Record {
        id: id::Endpoint::from(name),
        address: address.to_owned(),
        service: id::Service::from("s"),
        data_centre: id::DataCentre::from(data_centre),
        standing: Standing::Live,
        capacity: Some(CAPACITY.1),
        version: None,
    }
}

fn request(now: time::Instant) -> Request {
    let patience = Duration::from_millis(800);
    Request {
        service: id::Service::from("s"),
        tier: id::Tier(0),
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
    }
}

fn start() -> time::Instant {
    time::Instant::from_micros(60_000_000)
}

fn dispatcher(seed: u64, data_centre: &str, records: Vec<Record>) -> Dispatcher {
    let data_centre = id::DataCentre::from(data_centre);
    let mut dispatcher = Dispatcher::new(Settings { data_centre, seed });
    dispatcher.set_endpoints(start(), records);
    dispatcher
}

/// Deciding nodes of several data centres, and endpoints that reject what is beyond their
/// real capacity.
struct Fleet {
    now: time::Instant,
    nodes: Vec<Dispatcher>,
    /// Endpoint, node, number and end of each request that runs.
    running: Vec<(id::Endpoint, usize, id::Request, time::Instant)>,
    rejected: Vec<(id::Endpoint, time::Instant)>,
    answered: usize,
    next: u64,
    work: Duration,
}

impl Fleet {
    fn new(nodes: usize, endpoints: usize, work: Duration) -> Self {
        let mut records = Vec::new();
        for number in 0..endpoints {
            let data_centre = format!("dc{}", number % nodes);
            records.push(record(&format!("e{number}"), &data_centre, "127.0.0.1:1"));
        }
        let mut fleet = Self {
            now: start(),
            nodes: Vec::new(),
            running: Vec::new(),
            rejected: Vec::new(),
            answered: 0,
            next: 0,
            work,
        };
        for number in 0..nodes {
            let seed = u64::try_from(number).unwrap();
            let mut node = dispatcher(seed, &format!("dc{number}"), records.clone());
            node.set_node_count(nodes);
            let brittle = Notice {
                brittle: Some(u32::try_from(MOST_REJECTIONS).unwrap()),
                ..Notice::default()
            };
            for record in &records {
                node.record_notice(fleet.now, &record.id, &brittle);
            }
            fleet.nodes.push(node);
        }
        fleet
    }

    fn carry_out(&mut self, node: usize, effects: Vec<Effect>) {
        for effect in effects {
            let Effect::Send(id, choice) = effect else {
                continue;
            };
            let load = self
                .running
                .iter()
                .filter(|(at, ..)| *at == choice.endpoint);
            if load.count() < CAPACITY.0 {
                let end = self.now + self.work;
                self.running.push((choice.endpoint, node, id, end));
                continue;
            }
            self.rejected.push((choice.endpoint, self.now));
            let effects = self.nodes[node].finish(self.now, id, Outcome::Rejected);
            self.carry_out(node, effects);
        }
    }

    fn step(&mut self, number: u64) {
        self.now += STEP;
        let now = self.now;
        let (ended, running) = self.running.drain(..).partition(|(.., end)| *end <= now);
        self.running = running;
        let ended: Vec<(id::Endpoint, usize, id::Request, time::Instant)> = ended;
        for (_, node, id, _) in ended {
            self.answered += 1;
            self.nodes[node].record_first_byte(now, id);
            let outcome = Outcome::Answered(Timing::default());
            let effects = self.nodes[node].finish(now, id, outcome);
            self.carry_out(node, effects);
        }
        for node in 0..self.nodes.len() {
            self.next += 1;
            let id = id::Request(self.next);
            let effects = self.nodes[node].submit(now, id, request(now));
            self.carry_out(node, effects);
            let effects = self.nodes[node].tick(now);
            self.carry_out(node, effects);
        }
        if number.is_multiple_of(STEPS_PER_REPORT) {
            self.report();
        }
    }

    fn report(&mut self) {
        for from in 0..self.nodes.len() {
            let name = id::Node::from(format!("n{from}"));
            let loads = self.nodes[from].take_load();
            let notices = self.nodes[from].notices(self.now);
            for to in 0..self.nodes.len() {
                if to == from {
                    continue;
                }
                self.nodes[to].record_peer_notices(self.now, &notices);
                let loads = loads.iter().cloned().collect();
                let effects = self.nodes[to].record_peer_load(self.now, &name, loads);
                self.carry_out(to, effects);
            }
        }
    }

    /// Returns the most rejections of one endpoint within a second.
    fn most_rejections(&self) -> usize {
        let mut most = 0;
        for (endpoint, first) in &self.rejected {
            let within = self.rejected.iter().filter(|(other, at)| {
                other == endpoint && *at >= *first && at.since(*first) < Duration::from_secs(1)
            });
            most = most.max(within.count());
        }
        most
    }
}

/// Overload of endpoints that fall over after rejections, by several data centres that know
/// each other's requests with a delay: they take what they can, and reject little.
#[rstest]
#[case::two_data_centres(2, 8)]
#[case::five_data_centres(5, 10)]
fn overload_makes_brittle_endpoints_reject_little(#[case] nodes: usize, #[case] endpoints: usize) {
    let work = Duration::from_millis(300);
    let mut fleet = Fleet::new(nodes, endpoints, work);
    for number in 0..2000 {
        fleet.step(number);
    }
    let most = fleet.most_rejections();
    assert!(most <= MOST_REJECTIONS, "{most} rejections in a second");
    let possible = 20_000 / 300 * CAPACITY.0 * endpoints;
    let answered = fleet.answered;
    assert!(
        answered * 2 >= possible,
        "{answered} of {possible} answered"
    );
}

fn leaving() -> Notice {
    Notice {
        is_leaving: true,
        ..Notice::default()
    }
}

/// An older or unreadable directory does not bring an endpoint back that leaves; its next
/// process takes requests again.
#[test]
fn an_endpoint_that_leaves_stays_away_until_its_next_process() {
    let name = id::Endpoint::from("e");
    let listed = || vec![record("e", "dc", "127.0.0.1:1")];
    let mut node = dispatcher(1, "dc", listed());
    node.record_started(start(), &name, 7);
    let (change, _) = node.record_notice(start(), &name, &leaving());
    assert!(change.is_leaving);
    assert_eq!(node.standing(&name), Some(Standing::Leaving));
    node.set_endpoints(start(), Vec::new());
    node.set_endpoints(start(), listed());
    node.record_started(start(), &name, 7);
    assert_eq!(node.standing(&name), Some(Standing::Leaving));
    node.record_started(start(), &name, 8);
    assert_eq!(node.standing(&name), Some(Standing::Live));
}

/// What another node reports about an earlier process says nothing about this one.
#[rstest]
#[case::same_process(7, Standing::Leaving)]
#[case::earlier_process(6, Standing::Live)]
fn reports_of_leaving_hold_for_one_process(#[case] reported: u64, #[case] expected: Standing) {
    let name = id::Endpoint::from("e");
    let listed = vec![record("e", "dc", "127.0.0.1:1")];
    let mut other = dispatcher(1, "dc", listed.clone());
    other.record_started(start(), &name, reported);
    other.record_notice(start(), &name, &leaving());
    let mut node = dispatcher(2, "dc", listed);
    node.record_started(start(), &name, 7);
    let reports = other.notices(start());
    node.record_peer_notices(start(), &reports);
    assert_eq!(node.standing(&name), Some(expected));
}

/// A node keeps the time for which an endpoint wants nothing, and uses it afterwards.
#[test]
fn a_pause_is_kept_and_ends() {
    let name = id::Endpoint::from("e");
    let mut node = dispatcher(1, "dc", vec![record("e", "dc", "127.0.0.1:1")]);
    let notice = Notice {
        pause: Some(Duration::from_millis(300)),
        ..Notice::default()
    };
    node.record_notice(start(), &name, &notice);
    assert_eq!(node.unusable(start(), &id::Service::from("s")), vec![name]);
    let id = id::Request(1);
    assert!(node.submit(start(), id, request(start())).is_empty());
    assert!(node.tick(start() + Duration::from_millis(200)).is_empty());
    let effects = node.tick(start() + Duration::from_millis(310));
    assert!(matches!(effects[..], [Effect::Send(..)]));
}

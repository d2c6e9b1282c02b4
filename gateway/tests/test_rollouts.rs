//! What a node knows of roll-outs and lets requests do.

use std::time::Duration;

use dottereltally::clock::Clock;
use dottereltally_gateway::{
    directory::{Record, Snapshot},
    metrics::Metrics,
    rollout::{Audience, Changed, Ending, Handle, Place, Request, Sender, Trial},
};
use dottereltally_lib::{
    endpoint::{self, Standing},
    era::{Era, Revision},
    exchange::Scope,
    id,
    rollout::{Counts, Filter, Group, Phase, Report, Settings, Spec, State, Step, Summary, Weight},
    time,
};
use rstest::rstest;
use tokio::time::advance;

/// Time after which a node that is not heard counts as silent, of `work.md`'s contact.
const SILENCE: Duration = Duration::from_secs(4);

struct Fixture {
    clock: Clock,
    rollouts: Handle,
    service: id::Service,
    route: id::Route,
}

impl Fixture {
    /// Builds the roll-outs of a node beside others, with endpoints of two versions.
    fn new(registered: u32) -> Self {
        let clock = Clock::start();
        let data_centre = id::DataCentre::from("dc");
        let rollouts = Handle::new(clock, Metrics::default(), Settings::default(), data_centre);
        rollouts.set_place(Place {
            rank: None,
            registered,
        });
        let records = ["v1", "v2"].map(|version| endpoint::Record {
            id: id::Endpoint::from(version),
            address: "127.0.0.1:1".to_owned(),
            service: id::Service::from("s"),
            data_centre: id::DataCentre::from("dc"),
            standing: Standing::Live,
            capacity: Some(4),
            version: Some(id::Version::from(version)),
        });
        rollouts.set_endpoints(records.iter());
        Self {
            clock,
            rollouts,
            service: id::Service::from("s"),
            route: id::Route::from("r"),
        }
    }

    fn request(&self, sample: f64) -> Request<'_> {
        Request {
            service: &self.service,
            route: &self.route,
            sample,
            version: None,
            deadline: self.clock.now(),
            prompt: 0,
        }
    }

    fn start(&self, sample: f64, version: &str) -> Result<Trial, Changed> {
        let version = id::Version::from(version);
        let expected = Duration::from_millis(50);
        self.rollouts
            .start(&self.request(sample), Some(&version), expected)
    }

    fn set_step(&self, step: u32, phase: Phase, weight: u16) {
        self.rollouts.set_record(&record(1, step, phase, weight));
    }

    fn own_report(&self) -> Report {
        let reports = self.rollouts.reports(Audience::Node);
        reports.into_iter().next().unwrap().1
    }
}

fn spec(revision: i64, target: &str) -> Spec {
    Spec {
        service: id::Service::from("s"),
        target: id::Version::from(target),
        duration: Duration::from_secs(12),
        revision: Revision::from(revision),
    }
}

fn record(order: i64, step: u32, phase: Phase, weight: u16) -> Record {
    Record {
        service: id::Service::from("s"),
        state: State {
            order: Revision::from(order),
            target: id::Version::from("v2"),
            step: Step(step),
            phase,
            weight: Weight(weight),
            elapsed: Duration::ZERO,
            summary: Summary::default(),
        },
        revision: Revision::from(order + i64::from(step)),
    }
}

fn only(version: &str) -> Filter {
    Filter::Only(id::Version::from(version))
}

fn not(version: &str) -> Filter {
    Filter::Not(id::Version::from(version))
}

fn sender(node: &str, incarnation: u64, data_centre: &str, scope: Scope) -> Sender {
    Sender {
        node: id::Node::from(node),
        incarnation,
        data_centre: id::DataCentre::from(data_centre),
        scope,
    }
}

fn report(step: u32, sent: u32) -> Report {
    let mut report = Report {
        order: Revision::from(1),
        step: Step(step),
        nodes: 1,
        ..Report::default()
    };
    let counts = Counts {
        sent,
        ..Counts::default()
    };
    report.record(&id::Route::from("r"), Group::Canary, counts);
    report
}

/// A service without an order is served as before, by any version.
#[tokio::test]
async fn a_service_without_an_order_may_use_all_versions() {
    let fixture = Fixture::new(3);
    assert_eq!(fixture.rollouts.filter(&fixture.request(0.0)), Filter::Any);
    assert!(fixture.start(0.0, "v2").is_ok());
    assert!(fixture.rollouts.reports(Audience::Node).is_empty());
    assert!(fixture.rollouts.read_revisions().is_empty());
}

/// Guards against requests at a version that no record lets have any yet.
#[tokio::test]
async fn the_target_gets_nothing_before_the_first_record() {
    let fixture = Fixture::new(1);
    fixture.rollouts.set_order(&spec(1, "v2"));
    assert_eq!(fixture.rollouts.filter(&fixture.request(0.0)), not("v2"));
    assert!(fixture.start(0.0, "v2").is_err());
    assert!(fixture.start(0.0, "v1").is_ok());
}

#[rstest]
#[case(Phase::Running, 1000, 0.0999, "v2", true)]
#[case(Phase::Running, 1000, 0.1, "v2", false)]
#[case(Phase::Running, 1000, 0.1, "v1", true)]
#[case(Phase::Draining, 10_000, 0.9, "v2", true)]
#[case(Phase::Draining, 10_000, 0.9, "v1", false)]
#[case(Phase::Completed, 10_000, 0.9, "v1", false)]
#[case(Phase::RolledBack, 0, 0.0, "v2", false)]
#[case(Phase::RolledBack, 0, 0.0, "v1", true)]
#[tokio::test]
async fn the_phase_and_the_weight_decide_which_version_serves(
    #[case] phase: Phase,
    #[case] weight: u16,
    #[case] sample: f64,
    #[case] version: &str,
    #[case] is_allowed: bool,
) {
    let fixture = Fixture::new(1);
    fixture.rollouts.set_order(&spec(1, "v2"));
    fixture.set_step(1, phase, weight);
    assert_eq!(fixture.start(sample, version).is_ok(), is_allowed);
}

/// Guards against a completion that is written while a request still runs at an old version:
/// the step and the number of requests are those of one moment.
#[tokio::test]
async fn requests_at_old_versions_are_reported_until_they_end() {
    let fixture = Fixture::new(1);
    let before = fixture.start(0.5, "v1").unwrap();
    fixture.rollouts.set_order(&spec(1, "v2"));
    fixture.set_step(1, Phase::Running, 1000);
    let running = fixture.start(0.5, "v1").unwrap();
    let target = fixture.start(0.0, "v2").unwrap();
    fixture.set_step(2, Phase::Draining, 10_000);
    assert_eq!(fixture.own_report().baseline_in_flight, 2);
    assert_eq!(fixture.own_report().step, Step(2));
    running.end(Ending::Answered);
    drop(before);
    assert_eq!(fixture.own_report().baseline_in_flight, 0);
    target.end(Ending::Failed);
    let canary = fixture.own_report().total(Group::Canary);
    assert_eq!((canary.sent, canary.answered, canary.failed), (1, 1, 1));
    // The request before the order is no evidence.
    assert_eq!(fixture.own_report().total(Group::Baseline).sent, 1);
}

/// Guards against a hanging version that counts as neither slow nor failed.
#[tokio::test(start_paused = true)]
async fn a_late_or_missing_answer_is_slow() {
    let fixture = Fixture::new(1);
    fixture.rollouts.set_order(&spec(1, "v2"));
    fixture.set_step(1, Phase::Running, 5000);
    let (late, hanging) = (fixture.start(0.0, "v2"), fixture.start(0.0, "v2"));
    let left = fixture.start(0.0, "v2").unwrap();
    left.end(Ending::Unanswered);
    // More than three times the 50 ms expected.
    advance(Duration::from_millis(170)).await;
    late.unwrap().end(Ending::Answered);
    hanging.unwrap().end(Ending::Unanswered);
    let canary = fixture.own_report().total(Group::Canary);
    assert_eq!((canary.slow, canary.failed, canary.answered), (2, 0, 3));
}

/// Guards against a record of another order, or an earlier step, that replaces the step in
/// force.
#[tokio::test]
async fn only_higher_steps_of_the_order_are_used() {
    let fixture = Fixture::new(1);
    fixture.rollouts.set_order(&spec(1, "v2"));
    fixture.set_step(3, Phase::Draining, 10_000);
    fixture.set_step(2, Phase::Running, 500);
    fixture
        .rollouts
        .set_record(&record(9, 8, Phase::RolledBack, 0));
    assert_eq!(fixture.own_report().step, Step(3));
    assert_eq!(fixture.rollouts.filter(&fixture.request(0.9)), only("v2"));
}

/// Guards against requests at the target of an earlier order, which was rolled back or not
/// completed, while its endpoints still drain.
#[tokio::test]
async fn the_target_of_an_earlier_order_gets_nothing() {
    let fixture = Fixture::new(1);
    fixture.rollouts.set_order(&spec(1, "v2"));
    fixture.set_step(1, Phase::RolledBack, 0);
    fixture.rollouts.set_order(&spec(7, "v3"));
    assert!(fixture.start(0.5, "v2").is_err());
    assert!(fixture.start(0.5, "v1").is_ok());
    // It is ordered again.
    fixture.rollouts.set_order(&spec(9, "v2"));
    fixture
        .rollouts
        .set_record(&record(9, 1, Phase::Running, 5000));
    assert!(fixture.start(0.0, "v2").is_ok());
}

/// Guards against requests at endpoints that stopped as an earlier order was completed, and
/// are still listed.
#[tokio::test]
async fn versions_that_a_completed_order_replaced_get_nothing() {
    let fixture = Fixture::new(1);
    fixture.rollouts.set_order(&spec(1, "v2"));
    fixture.set_step(1, Phase::Completed, 10_000);
    fixture.rollouts.set_order(&spec(7, "v3"));
    assert!(fixture.start(0.5, "v1").is_err());
    assert!(fixture.start(0.5, "v2").is_ok());
}

/// Guards against control traffic for roll-outs that ended: an order stays in the store.
#[tokio::test(start_paused = true)]
async fn a_roll_out_that_ended_is_not_reported_for_long() {
    let fixture = Fixture::new(1);
    fixture.rollouts.set_order(&spec(1, "v2"));
    fixture.set_step(1, Phase::Running, 5000);
    fixture.start(0.0, "v2").unwrap().end(Ending::Answered);
    fixture.set_step(2, Phase::Completed, 10_000);
    fixture.start(0.0, "v2").unwrap().end(Ending::Answered);
    assert_eq!(fixture.own_report().step, Step(2));
    assert!(fixture.own_report().samples.is_empty());
    advance(Duration::from_secs(31)).await;
    assert!(fixture.rollouts.reports(Audience::Node).is_empty());
}

/// Guards against a store that was restored from a copy: the order is the same, and the nodes
/// keep the step that they know.
#[tokio::test]
async fn the_step_is_kept_in_another_era() {
    let fixture = Fixture::new(1);
    fixture.rollouts.set_order(&spec(1, "v2"));
    fixture.set_step(4, Phase::Completed, 10_000);
    let mut order = spec(1, "v2");
    order.revision.era = Era::from(2);
    let mut restored = record(1, 2, Phase::Running, 1000);
    restored.state.order.era = Era::from(2);
    fixture.rollouts.replace(&[order.clone()], &[restored]);
    assert_eq!(fixture.own_report().step, Step(4));
    assert_eq!(fixture.own_report().order, order.revision);
    assert_eq!(fixture.rollouts.filter(&fixture.request(0.9)), only("v2"));
}

/// Guards against a removed or unreadable order that leaves the target with requests: nobody
/// would roll it back.
#[tokio::test]
async fn the_target_gets_nothing_without_its_order() {
    let fixture = Fixture::new(1);
    fixture.rollouts.set_order(&spec(1, "v2"));
    fixture.set_step(1, Phase::Running, 1000);
    fixture.rollouts.replace(&[], &[]);
    assert_eq!(fixture.rollouts.filter(&fixture.request(0.5)), not("v2"));
    assert_eq!(fixture.rollouts.filter(&fixture.request(0.0)), not("v2"));
    assert!(fixture.start(0.0, "v2").is_err());
    assert!(fixture.start(0.0, "v1").is_ok());
}

/// Guards against an order back to the former version that refuses requests until the other
/// version is gone: a version that gets nothing is no baseline.
#[tokio::test]
async fn an_order_back_to_the_former_version_is_followed_at_once() {
    let fixture = Fixture::new(1);
    fixture.rollouts.set_order(&spec(1, "v2"));
    fixture.set_step(1, Phase::Running, 1000);
    fixture.rollouts.set_order(&spec(7, "v1"));
    assert_eq!(fixture.rollouts.filter(&fixture.request(0.9)), only("v1"));
    assert!(fixture.start(0.9, "v1").is_ok());
}

/// Guards against a record without an order that restricts a service for good: records stay in
/// the store.
#[tokio::test]
async fn a_record_without_an_order_restricts_nothing() {
    let fixture = Fixture::new(1);
    let completed = record(1, 3, Phase::Completed, 10_000);
    fixture.rollouts.replace(&[], &[completed]);
    let filter = fixture.rollouts.filter(&fixture.request(0.5));
    assert_eq!(filter, Filter::Any);
}

/// Guards against a completion and a next order that are read at once: the version that was
/// completed serves, and those that stopped with it do not.
#[tokio::test]
async fn a_completion_before_the_next_order_is_not_missed() {
    let fixture = Fixture::new(1);
    fixture.rollouts.set_order(&spec(1, "v2"));
    fixture.set_step(2, Phase::Draining, 10_000);
    let completed = record(1, 3, Phase::Completed, 10_000);
    fixture.rollouts.replace(&[spec(7, "v3")], &[completed]);
    assert!(fixture.start(0.5, "v1").is_err());
    assert!(fixture.start(0.5, "v2").is_ok());
}

/// Guards against a target that runs nothing and is completed: what an endpoint did not run
/// counts neither as sent nor as answered.
#[tokio::test]
async fn requests_that_were_not_run_are_not_counted() {
    let fixture = Fixture::new(1);
    fixture.rollouts.set_order(&spec(1, "v2"));
    fixture.set_step(1, Phase::Running, 10_000);
    fixture.start(0.0, "v2").unwrap().end(Ending::NotRun);
    fixture.start(0.0, "v2").unwrap().withdraw();
    let canary = fixture.own_report().total(Group::Canary);
    assert_eq!((canary.sent, canary.answered), (0, 0));
}

/// Guards against counts that are lost with a heartbeat or with a process, and against
/// requests that are counted twice when the coordinator of a data centre is replaced.
#[tokio::test]
async fn the_highest_counts_of_each_process_are_summed() {
    let fixture = Fixture::new(5);
    fixture.rollouts.set_order(&spec(1, "v2"));
    fixture.set_step(2, Phase::Running, 1000);
    let service = id::Service::from("s");
    let hear = |sender: Sender, report: Report| {
        let _behind = fixture
            .rollouts
            .record_reports(&sender, &[(service.clone(), report)]);
    };
    hear(sender("n1", 1, "dc", Scope::Node), report(2, 10));
    hear(sender("n1", 2, "dc", Scope::Node), report(2, 5));
    hear(sender("n1", 2, "dc", Scope::Node), report(2, 4));
    hear(sender("n2", 1, "far", Scope::DataCentre), report(1, 30));
    hear(sender("n3", 1, "far", Scope::DataCentre), report(2, 28));
    let of_data_centre = fixture.rollouts.reports(Audience::DataCentre);
    let (_, own) = &of_data_centre[0];
    assert_eq!((own.nodes, own.total(Group::Canary).sent), (2, 15));
    let receiver = id::Node::from("n9");
    let of_fleet = fixture.rollouts.reports(Audience::Fleet(&receiver));
    let (_, fleet) = &of_fleet[0];
    assert_eq!(fleet.total(Group::Canary).sent, 45);
    // A node that knows a lower step, or no order, is behind.
    hear(sender("n4", 1, "dc", Scope::Node), report(1, 0));
    let _behind = fixture
        .rollouts
        .record_reports(&sender("n5", 1, "dc", Scope::Node), &[]);
    let of_data_centre = fixture.rollouts.reports(Audience::DataCentre);
    let (_, own) = &of_data_centre[0];
    assert_eq!(own.step, Step(0));
    assert_eq!(own.lagging, ["n4", "n5"].map(id::Node::from));
    assert_eq!(own.nodes, 4);
}

/// A node that hears of a later step fetches it, and one that knows it does not.
#[tokio::test]
async fn a_later_step_of_another_node_is_noticed() {
    let fixture = Fixture::new(2);
    let service = id::Service::from("s");
    let sender = sender("n1", 1, "dc", Scope::Node);
    let hear = |step| {
        let reports = [(service.clone(), report(step, 0))];
        fixture.rollouts.record_reports(&sender, &reports)
    };
    assert!(hear(1), "the order is unknown");
    fixture.rollouts.set_order(&spec(1, "v2"));
    fixture.set_step(2, Phase::Running, 1000);
    assert!(!hear(2));
    assert!(hear(3));
    // What that node sends has the time since the order as of now.
    let snapshot = Snapshot {
        orders: vec![spec(1, "v2")],
        records: vec![record(1, 3, Phase::Draining, 10_000)],
        ..Snapshot::default()
    };
    let json = serde_json::to_vec(&snapshot).unwrap();
    let received: Snapshot = serde_json::from_slice(&json).unwrap();
    fixture
        .rollouts
        .apply_of_node(&received.orders, &received.records);
    assert!(!hear(3));
    assert_eq!(fixture.own_report().step, Step(3));
}

/// Guards against requests that reach old endpoints after `completed` from a node that was cut
/// off: near the deadline it sends them nothing unless it would have learned of a step.
#[tokio::test]
async fn a_node_without_contact_sends_nothing_to_old_versions_near_the_deadline() {
    let fixture = Fixture::new(3);
    let mut order = spec(1, "v2");
    order.duration = Duration::from_secs(2);
    fixture.rollouts.set_order(&order);
    fixture.set_step(1, Phase::Running, 1000);
    assert!(fixture.start(0.5, "v1").is_err(), "nothing was heard");
    assert!(fixture.start(0.05, "v2").is_ok(), "its weight stays");
    assert!(
        fixture.start(0.5, "v2").is_err(),
        "never more than its weight"
    );
    fixture.rollouts.record_current(fixture.clock.now());
    assert!(fixture.start(0.5, "v1").is_ok());
    let past = time::Instant::from_micros(
        fixture
            .clock
            .now()
            .as_micros()
            .saturating_sub(u64::try_from(SILENCE.as_micros()).unwrap()),
    );
    let cut_off = Fixture::new(3);
    cut_off.rollouts.set_order(&order);
    cut_off.set_step(1, Phase::Running, 1000);
    cut_off.rollouts.record_current(past);
    // Most nodes agree that there is no later step: the store is away.
    let reports = [(id::Service::from("s"), report(1, 0))];
    let one = sender("n1", 1, "dc", Scope::Node);
    let _behind = cut_off.rollouts.record_reports(&one, &reports);
    assert!(cut_off.start(0.5, "v1").is_ok());
}

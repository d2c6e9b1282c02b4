//! Workspace quotas, shared by several nodes.

use std::{collections::BTreeMap, time::Duration};

use dottereltally_lib::{
    id,
    plan::{Quota, Unit},
    quota::{Audience, Coverage, Limiter, Tolerance},
    time,
};
use rstest::rstest;

/// Window over which operators measure use.
const WINDOW_MS: u64 = 8000;

const TOLERANCE: Tolerance = Tolerance {
    fraction: 0.1,
    excess: 140_000.0,
    window: Duration::from_millis(WINDOW_MS),
};

fn quota(rate: f64) -> Quota {
    Quota {
        rate,
        burst: rate,
        unit: Unit::Tokens {
            default_tokens: 200,
        },
    }
}

fn at(millis: u64) -> time::Instant {
    time::Instant::from_micros(millis * 1000)
}

/// Limiters of several nodes that exchange reports.
struct Cluster {
    names: Vec<id::Node>,
    limiters: Vec<Limiter>,
    incarnations: Vec<u64>,
    /// Time in milliseconds and cost of each admitted request.
    admitted: Vec<(u64, u64)>,
}

impl Cluster {
    fn new(count: usize) -> Self {
        let names: Vec<id::Node> = (0..count)
            .map(|number| id::Node::from(format!("n{number}")))
            .collect();
        let mut cluster = Self {
            limiters: vec![Limiter::new(TOLERANCE); count],
            incarnations: vec![1; count],
            admitted: Vec::new(),
            names,
        };
        for index in 0..count {
            cluster.join(index, 0);
        }
        cluster
    }

    fn join(&mut self, index: usize, millis: u64) {
        let mut others = self.names.clone();
        others.remove(index);
        self.limiters[index].set_peers(at(millis), &others);
    }

    fn restart(&mut self, index: usize, millis: u64) {
        self.limiters[index] = Limiter::new(TOLERANCE);
        self.incarnations[index] += 1;
        self.join(index, millis);
    }

    /// Exchanges reports between the nodes for which `linked` returns true.
    fn exchange_reports(&mut self, millis: u64, linked: impl Fn(usize, usize) -> bool) {
        for from in 0..self.limiters.len() {
            let usage = self.limiters[from].take_usage(at(millis));
            for to in 0..self.limiters.len() {
                if from != to && linked(from, to) {
                    let (name, incarnation) = (&self.names[from], self.incarnations[from]);
                    self.limiters[to].record_peer_usage(
                        at(millis),
                        name,
                        incarnation,
                        usage.clone(),
                    );
                }
            }
        }
    }

    fn request(&mut self, index: usize, millis: u64, quota: &Quota, cost: u64) -> bool {
        let workspace = id::Workspace::from("w");
        let admitted = self.limiters[index].admit(at(millis), &workspace, quota, cost);
        if admitted.is_ok() {
            self.admitted.push((millis, cost));
        }
        admitted.is_ok()
    }

    /// Returns the most units that were admitted within one window.
    fn max_in_a_window(&self) -> u64 {
        let mut highest = 0;
        for (start, _) in &self.admitted {
            let window = *start..start + WINDOW_MS;
            let within = self.admitted.iter().filter(|(at, _)| window.contains(at));
            highest = highest.max(within.map(|(_, cost)| cost).sum());
        }
        highest
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a limit in whole tokens"
)]
/// Returns the units that may be admitted within one window, tolerance included.
fn allowed(quota: &Quota) -> u64 {
    let window = TOLERANCE.window.as_secs_f64();
    let within_quota = quota.rate * window + quota.burst;
    (within_quota * (1.0 + TOLERANCE.fraction) + TOLERANCE.excess) as u64
}

/// One workspace asks for many times its quota, in one case mostly at one node,
/// with a large request from time to time.
#[rstest]
#[case::even(8, false)]
#[case::uneven(8, true)]
#[case::many(87, false)]
fn a_hot_workspace_stays_within_its_quota(#[case] nodes: usize, #[case] uneven: bool) {
    let quota = quota(60_000.0);
    let mut cluster = Cluster::new(nodes);
    for step in 0..4000_u64 {
        let millis = step * 10;
        if millis % 100 == 0 {
            cluster.exchange_reports(millis, |_, _| true);
        }
        let index = if uneven && step % 4 != 0 {
            0
        } else {
            usize::try_from(step).unwrap() % nodes
        };
        let cost = if step % 97 == 0 { 50_000 } else { 3000 };
        cluster.request(index, millis, &quota, cost);
    }
    let highest = cluster.max_in_a_window();
    assert!(
        highest <= allowed(&quota),
        "{highest} of {}",
        allowed(&quota)
    );
    assert!(
        highest >= 480_000,
        "the whole rate is used while demand exceeds it: {highest}"
    );
}

/// A workspace that uses half of its quota, in requests of very different
/// sizes, is never refused.
#[test]
fn a_workspace_within_its_quota_is_not_refused() {
    let quota = quota(300_000.0);
    let mut cluster = Cluster::new(8);
    for step in 0..4000_u64 {
        let millis = step * 10;
        if millis % 100 == 0 {
            cluster.exchange_reports(millis, |_, _| true);
        }
        let cost = if step % 50 == 0 { 30_000 } else { 1000 };
        let index = usize::try_from(step % 8).unwrap();
        // The buckets start low and fill within the first second.
        let admitted = cluster.request(index, millis, &quota, cost);
        assert!(admitted || millis < 1500, "refused at {millis} ms");
    }
}

/// All processes restart, and with an empty history they must not admit a whole
/// window once more. When they did, 2199009 units were admitted where 2178073
/// were allowed.
#[test]
fn restarts_of_all_nodes_do_not_renew_a_quota() {
    let quota = quota(226_000.0);
    let mut cluster = Cluster::new(8);
    for step in 0..4000_u64 {
        let millis = step * 5;
        if millis % 100 == 0 {
            cluster.exchange_reports(millis, |_, _| true);
        }
        if millis == 10_000 {
            for index in 0..8 {
                cluster.restart(index, millis);
            }
        }
        cluster.request(usize::try_from(step % 8).unwrap(), millis, &quota, 6000);
    }
    let highest = cluster.max_in_a_window();
    assert!(
        highest <= allowed(&quota),
        "{highest} of {}",
        allowed(&quota)
    );
}

/// A data centre is cut off while the workspace exceeds its quota on both sides
/// of the partition.
#[test]
fn both_sides_of_a_partition_keep_the_quota_together() {
    let quota = quota(60_000.0);
    let mut cluster = Cluster::new(8);
    for step in 0..6000_u64 {
        let millis = step * 5;
        if millis % 100 == 0 {
            let partitioned = (10_000..20_000).contains(&millis);
            cluster.exchange_reports(millis, |from, to| !partitioned || (from < 3) == (to < 3));
        }
        cluster.request(usize::try_from(step % 8).unwrap(), millis, &quota, 3000);
    }
    let highest = cluster.max_in_a_window();
    assert!(
        highest <= allowed(&quota),
        "{highest} of {}",
        allowed(&quota)
    );
}

#[test]
fn a_refusal_contains_the_figures_it_is_based_on() {
    let quota = quota(1000.0);
    let mut limiter = Limiter::new(Tolerance::default());
    let workspace = id::Workspace::from("w");
    let exhausted = loop {
        if let Err(exhausted) = limiter.admit(at(0), &workspace, &quota, 400) {
            break exhausted;
        }
    };
    assert!(exhausted.level < 400.0);
    assert!(exhausted.retry_after >= Duration::from_millis(100));
}

#[test]
fn requests_without_token_counts_cost_what_the_plan_says() {
    assert_eq!(quota(1.0).cost(None), 200);
    assert_eq!(quota(1.0).cost(Some(7)), 7);
    let requests = Quota {
        unit: Unit::Requests,
        ..quota(1.0)
    };
    assert_eq!(requests.cost(Some(7)), 1);
}

#[test]
fn reported_usage_counts_from_the_start_of_the_process() {
    let quota = quota(100_000.0);
    let mut limiter = Limiter::new(TOLERANCE);
    let workspace = id::Workspace::from("w");
    for millis in [0, 1000, 2000] {
        limiter.admit(at(millis), &workspace, &quota, 100).unwrap();
    }
    let usage: BTreeMap<_, _> = limiter.take_usage(at(2000));
    assert!((usage[&workspace].admitted - 300.0).abs() < 1e-9);
}

/// Many nodes rarely receive each other's reports, and a workspace uses half of
/// its quota. A second request between two reports must not be refused, as it
/// was in a large deployment.
#[test]
fn nodes_with_outdated_reports_admit_what_the_quota_covers() {
    let quota = quota(300_000.0);
    let mut cluster = Cluster::new(87);
    for step in 0..1500_u64 {
        // Traffic starts a few seconds after the nodes.
        let millis = 9600 + step * 20;
        if millis % 1200 == 0 {
            cluster.exchange_reports(millis, |_, _| true);
        }
        // Each node gets two requests in a row.
        let index = usize::try_from(step / 2 % 87).unwrap();
        let admitted = cluster.request(index, millis, &quota, 3000);
        assert!(admitted, "refused at {millis} ms");
    }
}

/// Without any tolerance the bucket once had size zero, and nothing was
/// admitted.
#[rstest]
#[case(Tolerance::default())]
#[case(Tolerance { window: Duration::from_millis(WINDOW_MS), ..Tolerance::default() })]
fn a_quota_without_tolerance_admits_its_rate(#[case] tolerance: Tolerance) {
    let quota = Quota {
        unit: Unit::Requests,
        ..quota(10.0)
    };
    let mut limiter = Limiter::new(tolerance);
    let workspace = id::Workspace::from("w");
    let mut admitted = 0;
    for step in 0..1000 {
        let result = limiter.admit(at(step * 10), &workspace, &quota, 1);
        admitted += u32::from(result.is_ok());
    }
    assert!((95..=120).contains(&admitted), "{admitted} in ten seconds");
}

/// Age of what a report over coordinators contains.
const REPORT_AGE: Duration = Duration::from_millis(1300);

/// Nodes of several data centres that report over coordinators. The first nodes of a data
/// centre may become coordinator.
struct Relayed {
    cluster: Cluster,
    /// Nodes of each data centre.
    size: usize,
    /// The place of the coordinator in each data centre.
    place: usize,
}

impl Relayed {
    fn new(data_centres: usize, size: usize) -> Self {
        let mut relayed = Self {
            cluster: Cluster::new(data_centres * size),
            size,
            place: 0,
        };
        relayed.set_coordinators(0, 0);
        relayed
    }

    fn coordinator(&self, data_centre: usize) -> usize {
        data_centre * self.size + self.place
    }

    fn data_centres(&self) -> usize {
        self.cluster.names.len() / self.size
    }

    /// Makes the node at this place of each data centre its coordinator.
    fn set_coordinators(&mut self, millis: u64, place: usize) {
        self.place = place;
        let count = self.cluster.names.len();
        for index in 0..count {
            let own = self.coordinator(index / self.size);
            let mut reporters = vec![own];
            if index == own {
                let local = own - place..own - place + self.size;
                reporters = local.filter(|other| *other != own).collect();
                let far = (0..self.data_centres()).map(|other| self.coordinator(other));
                reporters.extend(far.filter(|other| *other != own));
            }
            let names = reporters
                .iter()
                .map(|index| self.cluster.names[*index].clone());
            let names: Vec<id::Node> = names.collect();
            let limiter = &mut self.cluster.limiters[index];
            limiter.set_seed(u64::try_from(index).unwrap());
            limiter.set_reporters(at(millis), &names, count, REPORT_AGE);
        }
    }

    fn report(&mut self, millis: u64, from: usize, to: usize, coverage: Coverage) {
        let own = self.cluster.limiters[from].take_usage(at(millis));
        let receiver = self.cluster.names[to].clone();
        let usage = match coverage {
            Coverage::Local => own,
            Coverage::Remote => self.cluster.limiters[from].summed_usage(Audience::DataCentre),
            Coverage::Fleet => self.cluster.limiters[from].summed_usage(Audience::Node(&receiver)),
        };
        let name = self.cluster.names[from].clone();
        self.cluster.limiters[to].record_report(at(millis), &name, 1, coverage, usage);
    }

    /// Exchanges reports: each coordinator with the others, and with one in twelve of its
    /// nodes, as at 59 nodes each in 1.2 s.
    fn exchange(&mut self, millis: u64) {
        for data_centre in 0..self.data_centres() {
            let own = self.coordinator(data_centre);
            for member in data_centre * self.size..(data_centre + 1) * self.size {
                let turn = u64::try_from(member).unwrap() % 12;
                if member != own && turn == millis / 100 % 12 {
                    self.report(millis, member, own, Coverage::Local);
                    self.report(millis, own, member, Coverage::Fleet);
                }
            }
            for other in 0..self.data_centres() {
                if other != data_centre {
                    self.report(millis, own, self.coordinator(other), Coverage::Remote);
                }
            }
        }
    }
}

/// Load of one workspace at hundreds of nodes: it stays within its quota although each node
/// knows the sum of the others' usage only, also as coordinators change.
#[rstest]
#[case::same_coordinators(None)]
#[case::new_coordinators(Some(20_000))]
fn a_hot_workspace_stays_within_its_quota_over_relays(#[case] change: Option<u64>) {
    let quota = quota(60_000.0);
    let mut relayed = Relayed::new(5, 59);
    let nodes = relayed.cluster.names.len();
    for step in 0..9600_u64 {
        let millis = step * 5;
        // A tenth of the demand at first.
        if millis < 8000 && step % 50 != 0 {
            if millis % 100 == 0 {
                relayed.exchange(millis);
            }
            continue;
        }
        if change == Some(millis) {
            relayed.set_coordinators(millis, 1);
        }
        if millis % 100 == 0 {
            relayed.exchange(millis);
        }
        let index = usize::try_from(step * 7).unwrap() % nodes;
        relayed.cluster.request(index, millis, &quota, 1500);
    }
    let highest = relayed.cluster.max_in_a_window();
    let allowed = allowed(&quota);
    assert!(highest <= allowed, "{highest} of {allowed}");
    assert!(
        highest >= 480_000,
        "the whole rate is used while demand exceeds it: {highest}"
    );
}

/// A report over relays covers each node once, and not its receiver.
#[test]
fn a_summed_report_leaves_its_receiver_out() {
    let quota = quota(600_000.0);
    let mut relayed = Relayed::new(2, 12);
    for index in 0..24 {
        relayed.report(0, index, relayed.coordinator(index / 12), Coverage::Local);
    }
    for index in 0..24 {
        assert!(relayed.cluster.request(index, 10, &quota, 100));
    }
    for index in 1..12 {
        relayed.report(20, index, 0, Coverage::Local);
        relayed.report(20, index + 12, 12, Coverage::Local);
    }
    relayed.report(30, 12, 0, Coverage::Remote);
    relayed.report(40, 12, 0, Coverage::Remote);
    let sum = |audience: Audience<'_>| {
        let usage = relayed.cluster.limiters[0].summed_usage(audience);
        usage[&id::Workspace::from("w")].admitted
    };
    assert!((sum(Audience::DataCentre) - 1200.0).abs() < 1e-6);
    let receiver = id::Node::from("n3");
    // The first report of the other data centre only sets where its sum begins.
    assert!((sum(Audience::Node(&receiver)) - 1100.0).abs() < 1e-6);
}

//! The retry budget, summed over all nodes.

use std::time::Duration;

use dottereltally_lib::{
    budget::{Budget, Limits},
    id, time,
};
use rstest::rstest;

const LIMITS: Limits = Limits {
    ratio: 0.2,
    allowance: 56.0,
    window: Duration::from_secs(10),
};

fn at(millis: u64) -> time::Instant {
    time::Instant::from_micros(millis * 1000)
}

/// Every request fails and needs a retry, at all nodes.
#[rstest]
#[case(1, 100)]
#[case(8, 20)]
#[case(87, 8)]
fn retries_of_all_nodes_stay_within_the_budget_of_each_window(
    #[case] nodes: usize,
    #[case] per_second: u64,
) {
    let service = id::Service::from("s");
    let mut budgets = vec![Budget::new(LIMITS); nodes];
    for budget in &mut budgets {
        budget.set_node_count(nodes);
    }
    let mut sent = Vec::new();
    let mut retried = Vec::new();
    for millis in (0..60_000).step_by(usize::try_from(1000 / per_second).unwrap()) {
        for budget in &mut budgets {
            budget.record_request(at(millis), &service);
            sent.push(millis);
            if budget.spend(at(millis), &service) {
                retried.push(millis);
            }
        }
    }
    for start in (0..50_000).step_by(500) {
        let within = |times: &[u64]| {
            let window = start..start + 10_000_u64;
            times.iter().filter(|time| window.contains(*time)).count()
        };
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let allowed = within(&sent) as f64 * LIMITS.ratio + LIMITS.allowance;
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let used = within(&retried) as f64;
        assert!(used <= allowed, "{used} of {allowed} from {start} ms");
    }
    assert!(!retried.is_empty(), "no retry was allowed");
}

#[test]
fn services_do_not_share_a_budget() {
    let (busy, calm) = (id::Service::from("busy"), id::Service::from("calm"));
    let mut budget = Budget::new(LIMITS);
    while budget.spend(at(0), &busy) {}
    assert!(budget.spend(at(0), &calm));
}

#[test]
fn changed_limits_apply_from_the_next_window() {
    let service = id::Service::from("s");
    let mut budget = Budget::new(LIMITS);
    while budget.spend(at(0), &service) {}
    budget.set_limits(Limits {
        allowance: 0.0,
        ratio: 0.0,
        ..LIMITS
    });
    assert!(!budget.spend(at(60_000), &service));
}

/// Guards against searches for another endpoint that find none and use up the budget.
#[test]
fn a_retry_that_was_not_sent_can_be_given_back() {
    let service = id::Service::from("s");
    let mut budget = Budget::new(LIMITS);
    while budget.spend(at(0), &service) {}
    assert!(!budget.is_available(at(0), &service));
    budget.refund(at(0), &service);
    assert!(budget.is_available(at(0), &service));
    assert!(budget.spend(at(0), &service));
    assert!(!budget.spend(at(0), &service));
}

#[test]
fn retries_given_back_do_not_raise_the_most_that_is_left() {
    let service = id::Service::from("s");
    let mut budget = Budget::new(LIMITS);
    let mut left = 0;
    while budget.spend(at(0), &service) {
        left += 1;
    }
    for _ in 0..10 * left {
        budget.refund(at(0), &service);
    }
    let mut again = 0;
    while budget.spend(at(0), &service) {
        again += 1;
    }
    // What requests of a window may earn on top of the allowance.
    assert!(again <= left + 2, "{again} of {left}");
}

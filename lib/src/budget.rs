//! Retry budget, enforced by all nodes together.
//!
//! Nodes exchange no messages for the budget: each may use what its own requests
//! earn and an equal part of the fixed allowance.

use std::{collections::BTreeMap, time::Duration};

use crate::{id, time};

/// Fraction of the earned retries that is used; the rest covers requests
/// counted at the edge of a window.
const EARNED_FRACTION: f64 = 0.75;

/// Fraction of the fixed allowance that may be used at once; the same amount is
/// refilled within one window.
const ALLOWANCE_FRACTION: f64 = 0.4;

/// Limits on retries set by the operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Retries earned by each request.
    pub ratio: f64,
    /// Further retries in each window, for all nodes together.
    pub allowance: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Token bucket of one service.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Remaining retries.
    level: f64,
    refilled: time::Instant,
}

/// This node's part of the retry budget, by service.
#[derive(Clone, Debug)]
pub struct Budget {
    limits: Limits,
    /// Nodes that share the allowance, this one included.
    nodes: f64,
    buckets: BTreeMap<id::Service, Bucket>,
}

impl Budget {
    /// Creates the budget of a node that knows no other nodes.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            nodes: 1.0,
            buckets: BTreeMap::new(),
        }
    }

    /// Replaces the operator's limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Sets the number of nodes that share the allowance.
    pub fn set_node_count(&mut self, nodes: usize) {
        self.nodes = f64::from(u32::try_from(nodes.max(1)).unwrap_or(u32::MAX));
    }

    /// Records the first attempt of a request, which earns a part of a retry.
    pub fn record_request(&mut self, now: time::Instant, service: &id::Service) {
        let earned = self.limits.ratio * EARNED_FRACTION;
        self.add(now, service, earned);
    }

    /// Returns whether a retry is left.
    pub fn is_available(&mut self, now: time::Instant, service: &id::Service) -> bool {
        self.refilled_bucket(now, service).level >= 1.0
    }

    /// Takes one retry from the budget. Returns false if none is left.
    pub fn spend(&mut self, now: time::Instant, service: &id::Service) -> bool {
        let bucket = self.refilled_bucket(now, service);
        if bucket.level < 1.0 {
            return false;
        }
        bucket.level -= 1.0;
        true
    }

    /// Gives back a retry that was taken but not sent.
    pub fn refund(&mut self, now: time::Instant, service: &id::Service) {
        self.add(now, service, 1.0);
    }

    /// Adds retries to a bucket, up to the most that it may hold.
    fn add(&mut self, now: time::Instant, service: &id::Service, retries: f64) {
        let earned = self.limits.ratio * EARNED_FRACTION;
        let most = self.cap() + earned * self.limits.window.as_secs_f64();
        let bucket = self.refilled_bucket(now, service);
        bucket.level = (bucket.level + retries).min(most);
    }

    /// Returns the retries of the allowance that this node may use at once.
    fn cap(&self) -> f64 {
        self.limits.allowance * ALLOWANCE_FRACTION / self.nodes
    }

    /// Returns a service's bucket, refilled with its part of the allowance for the
    /// time since the last call.
    fn refilled_bucket(&mut self, now: time::Instant, service: &id::Service) -> &mut Bucket {
        let cap = self.cap();
        let window = self.limits.window.as_secs_f64().max(1.0);
        let bucket = self.buckets.entry(service.clone()).or_insert(Bucket {
            level: cap,
            refilled: now,
        });
        let idle = now.since(bucket.refilled).as_secs_f64();
        bucket.refilled = now;
        if bucket.level < cap {
            bucket.level = (bucket.level + cap * idle / window).min(cap);
        }
        bucket
    }
}

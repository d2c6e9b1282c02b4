//! Budget of repeated sends, the same for all nodes together.
//!
//! Every node keeps a part of its own, so that no message is needed: what its
//! own requests earn, and an equal part of the fixed allowance.

use std::{collections::BTreeMap, time::Duration};

use crate::{id, time};

/// Part of the earned repeats that is used, which leaves room for requests
/// that were counted at the edge of a window.
const EARNED_PART: f64 = 0.75;

/// Part of the fixed allowance that may be used at once; as much again comes
/// back within a window.
const ALLOWANCE_PART: f64 = 0.4;

/// What an operator allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond these in a window, all nodes together.
    pub allowance: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Repeats that one service has left.
#[derive(Clone, Copy, Debug)]
struct Account {
    level: f64,
    refilled: time::Instant,
}

/// The node's part of the budget, by service.
#[derive(Clone, Debug)]
pub struct Budget {
    terms: Terms,
    nodes: f64,
    accounts: BTreeMap<id::Service, Account>,
}

impl Budget {
    /// Builds a budget of a node that knows of no other.
    #[must_use]
    pub fn new(terms: Terms) -> Self {
        Self {
            terms,
            nodes: 1.0,
            accounts: BTreeMap::new(),
        }
    }

    /// Takes over changed terms.
    pub fn agree(&mut self, terms: Terms) {
        self.terms = terms;
    }

    /// Takes over the number of nodes that share the allowance.
    pub fn share(&mut self, nodes: usize) {
        self.nodes = f64::from(u32::try_from(nodes.max(1)).unwrap_or(u32::MAX));
    }

    /// Records a request that is sent for the first time.
    pub fn earn(&mut self, now: time::Instant, service: &id::Service) {
        let earned = self.terms.ratio * EARNED_PART;
        let cap = self.cap() + earned * self.terms.window.as_secs_f64();
        let account = self.account(now, service);
        account.level = (account.level + earned).min(cap);
    }

    /// Takes one repeat; false if none is left.
    pub fn spend(&mut self, now: time::Instant, service: &id::Service) -> bool {
        let account = self.account(now, service);
        if account.level < 1.0 {
            return false;
        }
        account.level -= 1.0;
        true
    }

    /// Returns the part of the allowance that the node may use at once.
    fn cap(&self) -> f64 {
        self.terms.allowance * ALLOWANCE_PART / self.nodes
    }

    fn account(&mut self, now: time::Instant, service: &id::Service) -> &mut Account {
        let cap = self.cap();
        let window = self.terms.window.as_secs_f64().max(1.0);
        let account = self.accounts.entry(service.clone()).or_insert(Account {
            level: cap,
            refilled: now,
        });
        let idle = now.since(account.refilled).as_secs_f64();
        account.refilled = now;
        if account.level < cap {
            account.level = (account.level + cap * idle / window).min(cap);
        }
        account
    }
}

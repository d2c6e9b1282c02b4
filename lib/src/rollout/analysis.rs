//! Sequential comparison of the target with the other versions.
//!
//! Each request is assigned to the target at random with the weight in force. If the target
//! is no worse, a bad answer is therefore one of the target with at most the probability of
//! that weight, whatever else fails at that time and however old the views of the nodes are:
//! nodes that lag use a lower weight. The ratio of the likelihood of the bad answers under
//! a worse target to that under an equal one is a supermartingale in the latter case, which
//! exceeds 1/p with a probability of at most p, however often it is looked at.

use std::collections::BTreeMap;

use super::{Counts, Group, Report, Samples};
use crate::id;

/// Ratio of the odds of a bad answer of the target to those of the other versions up to
/// which it is no worse. Covers endpoints that differ and bad answers that come together.
const TOLERATED_ODDS: f64 = 1.5;

/// Ratios of the odds that are tried against [`TOLERATED_ODDS`]. The lowest one detects a
/// target that is bad where the others often are, the highest one a target that is bad
/// where the others never are.
const TRIED_ODDS: [f64; 3] = [4.0, 12.0, 100.0];

/// Rates of bad answers that are tried while all requests go to the target.
const TRIED_RATES: [f64; 3] = [0.1, 0.3, 0.9];

/// Bound on the probability that a good version is condemned, whatever the duration.
const ERROR_BOUND: f64 = 1e-3;

/// Bound on the probability that a node condemns a good version on its own.
const NODE_ERROR_BOUND: f64 = 1e-4;

/// Part of the error bound for the sums over all routes, for each kind of bad answer.
const TOTAL_PART: f64 = 0.25;

/// Part of the error bound for each route and kind of bad answer: 16 routes share the half
/// that the sums leave.
const ROUTE_PART: f64 = 0.5 / 32.0;

/// Logarithm of the largest likelihood ratio of one window. Requests that are lost with one
/// endpoint come in one or two windows; three are needed.
const WINDOW_LIMIT: f64 = 5.0;

/// Likelihood ratio at which a target is not supported yet, though not condemned. One in 20
/// good versions reaches it at some time; it falls again.
const SUSPICION: f64 = 20.0;

/// Bad answers that count as one where totals are compared, as requests lost with one
/// endpoint are no independent evidence there.
const CLUSTER: f64 = 3.0;

/// Bad answers of the target below which a node does not condemn it on its own.
const MIN_NODE_BAD: u32 = 8;

/// Factor on the rate of bad answers of the other versions, and what is added, that are
/// tolerated while all requests go to the target. There is nothing to compare with in the
/// same time then, and its endpoints get their full load for the first time.
const DRAIN_TOLERANCE: (f64, f64) = (2.0, 0.02);

/// As [`DRAIN_TOLERANCE`] for all answers since the order.
const TOTAL_TOLERANCE: (f64, f64) = (1.5, 0.01);

/// Standard deviations by which the bad answers while draining may exceed the tolerated
/// number, and a number that is added for small counts.
const DRAIN_EXCESS: (f64, f64) = (2.5, 1.0);

/// Standard deviations by which the target's bad answers may exceed its part before all
/// requests go to it, over all routes and on each of up to 16.
const TOTAL_DEVIATIONS: f64 = 2.5;
const ROUTE_DEVIATIONS: f64 = 3.0;

/// Kind of a bad answer. They are analysed separately: slowness that is common at all
/// versions would otherwise hide failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Failed,
    Slow,
}

impl Kind {
    const ALL: [Self; 2] = [Self::Failed, Self::Slow];

    const fn of(self, counts: &Counts) -> u32 {
        match self {
            Self::Failed => counts.failed,
            Self::Slow => counts.slow,
        }
    }
}

/// Counts of both groups of one route, or over all routes.
type Pair = (Counts, Counts);

/// Returns the counts of both groups, baseline first, over all routes (`None`) and of each.
fn strata(samples: &Samples) -> BTreeMap<Option<id::Route>, Pair> {
    let mut strata: BTreeMap<Option<id::Route>, Pair> = BTreeMap::new();
    for ((route, group), counts) in samples {
        for key in [None, Some(route.clone())] {
            let pair = strata.entry(key).or_default();
            let side = match group {
                Group::Baseline => &mut pair.0,
                Group::Canary => &mut pair.1,
            };
            *side = side.plus(counts);
        }
    }
    strata
}

/// Returns the probability that a bad answer is one of the target at this weight and ratio
/// of odds.
fn canary_probability(weight: f64, odds: f64) -> f64 {
    odds * weight / (1.0 - weight + odds * weight)
}

/// Returns the logarithm of the likelihood ratio of `hits` in `trials` under two
/// probabilities.
fn log_ratio(hits: f64, trials: f64, tried: f64, tolerated: f64) -> f64 {
    hits * (tried / tolerated).ln() + (trials - hits) * ((1.0 - tried) / (1.0 - tolerated)).ln()
}

/// Evidence on one route and kind of bad answer. A version may turn bad at any time, so that
/// the likelihood ratios since each past window are added up; the windows' weights add up
/// to one.
#[derive(Clone, Copy, Debug, Default)]
struct Evidence {
    windows: f64,
    wealth: [f64; 3],
}

impl Evidence {
    /// Adds one window's logarithms of likelihood ratios.
    fn add(&mut self, ratios: [f64; 3]) {
        self.windows += 1.0;
        let start = 1.0 / (self.windows * (self.windows + 1.0));
        for (wealth, ratio) in self.wealth.iter_mut().zip(ratios) {
            *wealth = ((*wealth + start) * ratio.min(WINDOW_LIMIT).exp()).min(f64::MAX.sqrt());
        }
    }

    fn get(&self) -> f64 {
        self.wealth.iter().sum::<f64>() / 3.0
    }
}

/// Route on which the target is found to be bad; empty for all routes together.
pub(super) type Finding = id::Route;

/// Evidence that one controller has seen.
#[derive(Clone, Debug, Default)]
pub(super) struct Analysis {
    seen: Samples,
    /// First finding; later windows do not withdraw it, as a target that gets no requests
    /// gives no bad answers.
    found: Option<Finding>,
    evidence: BTreeMap<(Option<id::Route>, Kind), Evidence>,
}

impl Analysis {
    /// Adds a window in which nodes assigned at most this weight to the target.
    pub(super) fn compare(&mut self, samples: &Samples, weight: f64) {
        let tolerated = canary_probability(weight, TOLERATED_ODDS);
        for (route, (baseline, canary)) in self.advance(samples) {
            for kind in Kind::ALL {
                let hits = f64::from(kind.of(&canary));
                let trials = hits + f64::from(kind.of(&baseline));
                if trials == 0.0 || weight <= 0.0 || weight >= 1.0 {
                    continue;
                }
                let ratios = TRIED_ODDS.map(|odds| {
                    log_ratio(hits, trials, canary_probability(weight, odds), tolerated)
                });
                let key = (route.clone(), kind);
                self.evidence.entry(key).or_default().add(ratios);
            }
        }
    }

    /// Adds a window in which all requests went to the target.
    pub(super) fn compare_drain(&mut self, samples: &Samples) {
        let totals = strata(samples);
        for (route, (_, canary)) in self.advance(samples) {
            if canary.answered == 0 {
                continue;
            }
            let Some((baseline, _)) = totals.get(&route) else {
                continue;
            };
            for kind in Kind::ALL {
                let tolerated =
                    tolerated_rate(kind.of(baseline), baseline.answered, DRAIN_TOLERANCE);
                let hits = f64::from(kind.of(&canary).min(canary.answered));
                let trials = f64::from(canary.answered);
                let ratios = TRIED_RATES.map(|rate| {
                    let tried = rate.max(2.0 * tolerated).min(0.95);
                    log_ratio(hits, trials, tried, tolerated)
                });
                let key = (route.clone(), kind);
                self.evidence.entry(key).or_default().add(ratios);
            }
        }
    }

    /// Takes samples as seen that nothing is inferred from.
    pub(super) fn skip(&mut self, samples: &Samples) {
        self.seen.clone_from(samples);
    }

    /// Returns what was counted since the last window.
    fn advance(&mut self, samples: &Samples) -> BTreeMap<Option<id::Route>, Pair> {
        let mut fresh = Samples::new();
        for (key, counts) in samples {
            let seen = self.seen.get(key).copied().unwrap_or_default();
            fresh.insert(key.clone(), counts.since(&seen));
        }
        // Counts that fell are those of fewer processes; the next window starts from them.
        self.skip(samples);
        strata(&fresh)
    }

    /// Returns the route on which the target is bad, if it is.
    pub(super) fn finding(&mut self) -> Option<Finding> {
        if self.found.is_none() {
            self.found = self.above(1.0 / ERROR_BOUND);
        }
        self.found.clone()
    }

    /// Returns whether bad answers forbid further steps for now.
    pub(super) fn is_suspicious(&self) -> bool {
        self.above(SUSPICION * TOTAL_PART).is_some()
    }

    fn above(&self, limit: f64) -> Option<Finding> {
        for ((route, _), evidence) in &self.evidence {
            let part = if route.is_none() {
                TOTAL_PART
            } else {
                ROUTE_PART
            };
            if evidence.get() * part >= limit {
                return Some(route.clone().unwrap_or_default());
            }
        }
        None
    }
}

/// Returns the rate of bad answers that is tolerated, given those of the other versions.
fn tolerated_rate(bad: u32, answered: u32, tolerance: (f64, f64)) -> f64 {
    let (factor, added) = tolerance;
    // One bad answer in ten is assumed before any was seen.
    let rate = (f64::from(bad) + 1.0) / (f64::from(answered) + 10.0);
    (factor * rate + added).min(0.45)
}

/// Returns whether the target's answers since the order support its completion on each route.
pub(super) fn supports_routes(fleet: &Report) -> bool {
    let strata = strata(&fleet.samples);
    strata
        .values()
        .all(|(baseline, canary)| supports(canary, baseline, TOTAL_TOLERANCE))
}

/// Returns whether the target's answers while draining support its completion, given those of
/// the other versions since the order.
pub(super) fn supports_drain(drained: &Counts, baseline: &Counts) -> bool {
    supports(drained, baseline, DRAIN_TOLERANCE)
}

fn supports(canary: &Counts, baseline: &Counts, tolerance: (f64, f64)) -> bool {
    for kind in Kind::ALL {
        let rate = tolerated_rate(kind.of(baseline), baseline.answered, tolerance);
        let expected = rate * f64::from(canary.answered);
        let (deviations, added) = DRAIN_EXCESS;
        if f64::from(kind.of(canary)) > expected + deviations * expected.sqrt() + added {
            return false;
        }
    }
    true
}

/// Returns whether the target's part of the bad answers is no larger than its weight explains,
/// if it got at most this weight since the order.
pub(super) fn is_in_proportion(fleet: &Report, weight: f64) -> bool {
    let tolerated = canary_probability(weight, TOLERATED_ODDS);
    for (route, (baseline, canary)) in strata(&fleet.samples) {
        let deviations = if route.is_none() {
            TOTAL_DEVIATIONS
        } else {
            ROUTE_DEVIATIONS
        };
        for kind in Kind::ALL {
            let hits = f64::from(kind.of(&canary));
            let expected = tolerated * (hits + f64::from(kind.of(&baseline)));
            let deviation = (expected * (1.0 - tolerated)).sqrt();
            if hits > expected + deviations * deviation + 1.0 {
                return false;
            }
        }
    }
    true
}

/// Returns the route on which totals condemn a target that got at most this weight since the
/// order, if they do.
pub(super) fn condemned(fleet: &Report, weight: f64) -> Option<Finding> {
    if weight <= 0.0 || weight >= 1.0 {
        return None;
    }
    let tolerated = canary_probability(weight, TOLERATED_ODDS);
    for (route, (baseline, canary)) in strata(&fleet.samples) {
        let part = if route.is_none() {
            TOTAL_PART
        } else {
            ROUTE_PART
        };
        for kind in Kind::ALL {
            if kind.of(&canary) < MIN_NODE_BAD {
                continue;
            }
            let hits = f64::from(kind.of(&canary)) / CLUSTER;
            let trials = hits + f64::from(kind.of(&baseline)) / CLUSTER;
            let mut sum = 0.0;
            for odds in TRIED_ODDS {
                let tried = canary_probability(weight, odds);
                sum += log_ratio(hits, trials, tried, tolerated).exp() / 3.0;
            }
            if sum * part >= 1.0 / NODE_ERROR_BOUND {
                return Some(route.unwrap_or_default());
            }
        }
    }
    None
}

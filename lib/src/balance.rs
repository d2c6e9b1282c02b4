//! Choice of an endpoint.

use std::{cmp::Reverse, time::Duration};

use rand::{Rng, rngs::SmallRng};
use xxhash_rust::xxh3;

use crate::{fleet, id, time};

/// Load, relative to the mean, up to which prefixes decide.
const LOAD_FACTOR: f64 = 1.25;

/// Load up to which prefixes decide in any case.
const LOAD_SLACK: f64 = 1.5;

/// Part of the window that each tier may fill, highest first, percent.
const TIER_PERCENT: [u64; fleet::TIERS] = [150, 110, 95, 80];

/// How a node decides what it may put on an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Policy {
    /// The next endpoint in turn, without a window; for comparison.
    RoundRobin,
    /// The endpoint with the least reported load; for comparison.
    LeastLoad,
    /// The better of two random endpoints by reported load and own requests.
    #[default]
    TwoChoices,
    /// An equal share of each endpoint's window for every node.
    Shares,
}

/// What a choice depends on besides the endpoints.
#[derive(Clone, Copy, Debug)]
pub struct Terms<'a> {
    /// The time.
    pub now: time::Instant,
    /// The policy.
    pub policy: Policy,
    /// Live nodes, this one included.
    pub nodes: u64,
    /// The node's data centre.
    pub data_centre: &'a id::DataCentre,
}

/// One endpoint that could take a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Its position.
    pub slot: fleet::Slot,
    /// Tokens in use, as the policy sees them.
    pub used: u64,
    /// Tokens of other nodes, by the last report.
    pub others: u64,
    /// Tokens that may be in use.
    pub limit: u64,
    /// Equal part of the configured window for each node.
    pub share: u64,
    /// Whether it runs in the node's own data centre.
    pub local: bool,
    /// Tokens in use by the request's tier and those above it.
    pub held: u64,
    /// Leading blocks of the prompt that its prefix cache holds.
    pub blocks: u64,
    /// Hash of its name.
    pub key: u64,
    /// Tokens per second of one stream, if known.
    pub speed: Option<f64>,
}

impl Candidate {
    /// Returns whether a request of this tier and cost fits beside its own and
    /// higher tiers.
    ///
    /// Lower tiers leave a part of the window free for higher ones, and the
    /// highest may exceed it. A request larger than the whole window fits an
    /// empty endpoint.
    #[must_use]
    pub fn fits(&self, tier: id::Tier, cost: u64) -> bool {
        let rank = fleet::rank(tier);
        let limit = self.limit.saturating_mul(TIER_PERCENT[rank]) / 100;
        let floor = if rank == 0 { self.share } else { 1 };
        let limit = limit.max(floor);
        self.used == 0 || self.held + cost <= limit
    }

    /// Returns whether an answer of this length can be whole in this time.
    #[must_use]
    pub fn is_in_time(&self, output: u64, time: Duration) -> bool {
        #[expect(clippy::cast_precision_loss, reason = "an estimate")]
        let output = output as f64;
        self.speed
            .is_none_or(|speed| output <= speed * time.as_secs_f64())
    }

    /// Returns the part of the node's share that is in use.
    #[must_use]
    pub fn load(&self) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "a ratio")]
        let load = self.used as f64 / self.share as f64;
        load
    }

    /// Returns the tokens of all nodes, relative to the node's own window.
    #[must_use]
    pub fn total(&self) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "a ratio")]
        let total = (self.used + self.others) as f64 / self.limit.max(1) as f64;
        total
    }
}

impl Terms<'_> {
    /// Returns the endpoint as the policy sees it.
    #[must_use]
    pub fn candidate(
        &self,
        tier: id::Tier,
        slot: fleet::Slot,
        member: &fleet::Member,
    ) -> Candidate {
        let window = member.window.limit();
        let configured = member.window.configured();
        let speed = match self.policy {
            Policy::RoundRobin => None,
            _ => member.window.speed(self.now),
        };
        let share = (configured / self.nodes).max(1);
        let held = match self.policy {
            Policy::RoundRobin => 0,
            Policy::LeastLoad => member.reported(),
            Policy::TwoChoices | Policy::Shares => member.held(tier),
        };
        let others = match self.policy {
            Policy::TwoChoices => member.others,
            Policy::RoundRobin | Policy::LeastLoad | Policy::Shares => 0,
        };
        let (used, limit) = match self.policy {
            Policy::RoundRobin => (0, u64::MAX),
            Policy::LeastLoad => (member.reported(), configured),
            Policy::TwoChoices => (member.own, window),
            Policy::Shares => (member.own, share),
        };
        Candidate {
            slot,
            used,
            others,
            limit,
            share,
            local: member.record.data_centre == *self.data_centre,
            held,
            blocks: 0,
            key: member.key,
            speed,
        }
    }

    /// Chooses among candidates that have room.
    #[must_use]
    pub fn choose(
        &self,
        rng: &mut SmallRng,
        turn: &mut u64,
        fitting: &[Candidate],
        first: Option<id::Prefix>,
    ) -> Option<Candidate> {
        if self.policy == Policy::RoundRobin {
            return next(turn, fitting);
        }
        let mut pool: Vec<Candidate> = fitting.iter().copied().filter(|each| each.local).collect();
        if pool.is_empty() {
            pool.extend_from_slice(fitting);
        }
        if self.policy == Policy::LeastLoad {
            return least(&pool);
        }
        let Some(first) = first else {
            return two_choices(rng, &pool);
        };
        bounded(&pool)
            .or_else(|| bounded(fitting))
            .or_else(|| preferred(first, &pool))
    }
}

/// Returns the next candidate in turn.
fn next(turn: &mut u64, pool: &[Candidate]) -> Option<Candidate> {
    let len = u64::try_from(pool.len()).ok().filter(|len| *len > 0)?;
    *turn += 1;
    let index = usize::try_from(*turn % len).ok()?;
    pool.get(index).copied()
}

/// Returns the candidate with the least load.
fn least(pool: &[Candidate]) -> Option<Candidate> {
    let by_load = |a: &&Candidate, b: &&Candidate| a.load().total_cmp(&b.load());
    pool.iter().min_by(by_load).copied()
}

/// Returns the endpoint that holds most of the prompt, unless its load is
/// above the bound; of equals, the least loaded.
fn bounded(pool: &[Candidate]) -> Option<Candidate> {
    let bound = bound(pool);
    let eligible = |each: &&Candidate| each.blocks > 0 && each.load() <= bound;
    let by_held = |a: &&Candidate, b: &&Candidate| {
        a.blocks.cmp(&b.blocks).then(b.load().total_cmp(&a.load()))
    };
    pool.iter().filter(eligible).max_by(by_held).copied()
}

/// Returns the load up to which an endpoint is preferred for its prefixes.
fn bound(pool: &[Candidate]) -> f64 {
    let total: f64 = pool.iter().map(Candidate::load).sum();
    #[expect(clippy::cast_precision_loss, reason = "a mean")]
    let mean = total / pool.len().max(1) as f64;
    mean * LOAD_FACTOR + LOAD_SLACK
}

/// Returns the less loaded of the two endpoints that all nodes prefer for the
/// prefix.
fn preferred(first: id::Prefix, pool: &[Candidate]) -> Option<Candidate> {
    let weight = |each: &Candidate| xxh3::xxh3_64_with_seed(&each.key.to_le_bytes(), first.0);
    let mut ranked = pool.to_vec();
    ranked.sort_by_key(|each| Reverse(weight(each)));
    ranked.truncate(2);
    least(&ranked)
}

/// Returns the less loaded of two random candidates.
fn two_choices(rng: &mut SmallRng, pool: &[Candidate]) -> Option<Candidate> {
    if pool.is_empty() {
        return None;
    }
    let index = rng.random_range(0..pool.len());
    let first = pool[index];
    let distance = rng.random_range(1..pool.len().max(2));
    let second = pool[(index + distance) % pool.len()];
    let better = if second.total() < first.total() {
        second
    } else {
        first
    };
    Some(better)
}

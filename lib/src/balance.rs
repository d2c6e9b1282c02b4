//! Choice of an endpoint among those that can take a request.

use std::{cmp::Reverse, time::Duration};

use rand::{Rng, rngs::SmallRng};
use xxhash_rust::xxh3;

use crate::{fleet, id, time};

/// Factor of the mean load in the bound up to which an endpoint is preferred for
/// the prefixes that it caches: the mean times this, plus [`AFFINITY_LOAD_SLACK`].
const AFFINITY_LOAD_FACTOR: f64 = 1.25;

/// Constant part of that bound, in units of [`Candidate::load`]. Without it, an
/// endpoint that is barely loaded would not be chosen whenever the others are
/// idle.
const AFFINITY_LOAD_SLACK: f64 = 1.5;

/// Percentage of the window that each tier may fill, highest tier first.
const TIER_WINDOW_PERCENT: [u64; fleet::MAX_TIERS] = [150, 110, 95, 80];

/// How a node chooses an endpoint and limits its tokens in flight there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Policy {
    /// The next endpoint in turn, without a limit; a baseline for experiments.
    RoundRobin,
    /// The endpoint with the least reported load; a baseline for experiments.
    LeastLoad,
    /// The less loaded of two random endpoints, by this node's own tokens and
    /// the reported tokens of others.
    #[default]
    TwoChoices,
    /// As [`Policy::TwoChoices`], but every node is limited to an equal share of
    /// each endpoint's configured window, and ignores the tokens of others.
    Shares,
}

/// Inputs of a choice other than the endpoints.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The current time.
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
    /// Its slot in the table of endpoints.
    pub slot: fleet::Slot,
    /// Tokens in use that the policy counts against the limit.
    pub used: u64,
    /// Tokens in use by other nodes, by the endpoint's last load report.
    pub other_tokens: u64,
    /// Limit of the tokens in use, before the tier's percentage is applied.
    pub limit: u64,
    /// Equal share of the configured window for each node.
    pub node_share: u64,
    /// Whether it runs in the node's own data centre.
    pub local: bool,
    /// Tokens in use by the request's tier and those above it.
    pub used_by_tiers: u64,
    /// Leading blocks of the prompt that its prefix cache is known to hold.
    pub cached_blocks: u64,
    /// Hash of its name.
    pub name_hash: u64,
    /// Tokens per second of one stream, if known and recent.
    pub speed: Option<f64>,
}

impl Candidate {
    /// Returns whether a request of this tier and cost fits beside the requests
    /// of its own and higher tiers.
    ///
    /// Lower tiers leave a part of the window free for higher ones, and the
    /// highest two may exceed it. A request larger than the whole window fits
    /// an endpoint where nothing is in use.
    #[must_use]
    pub fn fits(&self, tier: id::Tier, cost: u64) -> bool {
        let index = fleet::tier_index(tier);
        let limit = self.limit.saturating_mul(TIER_WINDOW_PERCENT[index]) / 100;
        let floor = if index == 0 { self.node_share } else { 1 };
        let limit = limit.max(floor);
        self.used == 0 || self.used_by_tiers + cost <= limit
    }

    /// Returns whether an answer of this many tokens can be generated in this
    /// time; true if the endpoint's speed is unknown.
    #[must_use]
    pub fn is_in_time(&self, output: u64, time: Duration) -> bool {
        #[expect(clippy::cast_precision_loss, reason = "an estimate")]
        let output = output as f64;
        self.speed
            .is_none_or(|speed| output <= speed * time.as_secs_f64())
    }

    /// Returns the tokens in use, relative to the node's share of the window.
    #[must_use]
    pub fn load(&self) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "a ratio")]
        let load = self.used as f64 / self.node_share as f64;
        load
    }

    /// Returns the tokens in use by all nodes, relative to the node's own limit.
    #[must_use]
    pub fn total_load(&self) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "a ratio")]
        let total_load = (self.used + self.other_tokens) as f64 / self.limit.max(1) as f64;
        total_load
    }
}

impl Context<'_> {
    /// Returns an endpoint with the usage and limit that the policy counts.
    #[must_use]
    pub fn candidate(
        &self,
        tier: id::Tier,
        slot: fleet::Slot,
        endpoint: &fleet::Endpoint,
    ) -> Candidate {
        let window = endpoint.window.limit();
        let configured = endpoint.window.configured();
        let speed = match self.policy {
            Policy::RoundRobin => None,
            _ => endpoint.window.speed(self.now),
        };
        let node_share = (configured / self.nodes).max(1);
        let used_by_tiers = match self.policy {
            Policy::RoundRobin => 0,
            Policy::LeastLoad => endpoint.reported_tokens(),
            Policy::TwoChoices | Policy::Shares => endpoint.own_tokens_at_or_above(tier),
        };
        let other_tokens = match self.policy {
            Policy::TwoChoices => endpoint.other_tokens,
            Policy::RoundRobin | Policy::LeastLoad | Policy::Shares => 0,
        };
        let (used, limit) = match self.policy {
            Policy::RoundRobin => (0, u64::MAX),
            Policy::LeastLoad => (endpoint.reported_tokens(), configured),
            Policy::TwoChoices => (endpoint.own_tokens, window),
            Policy::Shares => (endpoint.own_tokens, node_share),
        };
        Candidate {
            slot,
            used,
            other_tokens,
            limit,
            node_share,
            local: endpoint.record.data_centre == *self.data_centre,
            used_by_tiers,
            cached_blocks: 0,
            name_hash: endpoint.name_hash,
            speed,
        }
    }

    /// Chooses among the candidates that have room, the node's own data centre
    /// first. `turn` counts the choices of [`Policy::RoundRobin`]; `first_block`
    /// is the hash of the prompt's first block, if the prompt has a complete one.
    #[must_use]
    pub fn choose(
        &self,
        rng: &mut SmallRng,
        turn: &mut u64,
        fitting: &[Candidate],
        first_block: Option<id::Prefix>,
    ) -> Option<Candidate> {
        if self.policy == Policy::RoundRobin {
            return next_in_turn(turn, fitting);
        }
        let mut pool: Vec<Candidate> = fitting.iter().copied().filter(|each| each.local).collect();
        if pool.is_empty() {
            pool.extend_from_slice(fitting);
        }
        if self.policy == Policy::LeastLoad {
            return least_loaded(&pool);
        }
        let Some(first_block) = first_block else {
            return two_choices(rng, &pool);
        };
        most_cached_within_bound(&pool)
            .or_else(|| most_cached_within_bound(fitting))
            .or_else(|| rendezvous_choice(first_block, &pool))
    }
}

/// Returns the next candidate in round-robin order.
fn next_in_turn(turn: &mut u64, pool: &[Candidate]) -> Option<Candidate> {
    let len = u64::try_from(pool.len()).ok().filter(|len| *len > 0)?;
    *turn += 1;
    let index = usize::try_from(*turn % len).ok()?;
    pool.get(index).copied()
}

/// Returns the candidate with the least load.
fn least_loaded(pool: &[Candidate]) -> Option<Candidate> {
    let by_load = |a: &&Candidate, b: &&Candidate| a.load().total_cmp(&b.load());
    pool.iter().min_by(by_load).copied()
}

/// Returns the candidate that caches most leading blocks of the prompt, among
/// those within the load bound; of equals, the least loaded.
fn most_cached_within_bound(pool: &[Candidate]) -> Option<Candidate> {
    let bound = affinity_load_bound(pool);
    let eligible = |each: &&Candidate| each.cached_blocks > 0 && each.load() <= bound;
    let by_cached_blocks = |a: &&Candidate, b: &&Candidate| {
        a.cached_blocks
            .cmp(&b.cached_blocks)
            .then(b.load().total_cmp(&a.load()))
    };
    pool.iter()
        .filter(eligible)
        .max_by(by_cached_blocks)
        .copied()
}

/// Returns the load up to which an endpoint is preferred for the prefixes that it
/// caches.
fn affinity_load_bound(pool: &[Candidate]) -> f64 {
    let total: f64 = pool.iter().map(Candidate::load).sum();
    #[expect(clippy::cast_precision_loss, reason = "a mean")]
    let mean = total / pool.len().max(1) as f64;
    mean * AFFINITY_LOAD_FACTOR + AFFINITY_LOAD_SLACK
}

/// Returns the less loaded of the two endpoints with the highest rendezvous
/// weights for the prefix, which are the same at all nodes.
fn rendezvous_choice(first_block: id::Prefix, pool: &[Candidate]) -> Option<Candidate> {
    let weight =
        |each: &Candidate| xxh3::xxh3_64_with_seed(&each.name_hash.to_le_bytes(), first_block.0);
    let mut ranked = pool.to_vec();
    ranked.sort_by_key(|each| Reverse(weight(each)));
    ranked.truncate(2);
    least_loaded(&ranked)
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
    let better = if second.total_load() < first.total_load() {
        second
    } else {
        first
    };
    Some(better)
}

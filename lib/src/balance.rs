//! Choice of an endpoint.

use rand::{Rng, rngs::SmallRng};

use crate::{fleet, id, time};

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
    /// Tokens granted by the endpoint's home node.
    Grants,
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
    /// Tokens that may be in use.
    pub limit: u64,
    /// Whether it runs in the node's own data centre.
    pub local: bool,
}

impl Candidate {
    /// Returns whether a request of this cost fits.
    ///
    /// A request larger than the whole window fits an empty endpoint.
    #[must_use]
    pub fn fits(&self, cost: u64) -> bool {
        self.limit > 0 && (self.used == 0 || self.used + cost <= self.limit)
    }

    /// Returns the part of the limit that is in use.
    #[must_use]
    pub fn load(&self) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "a ratio")]
        let load = self.used as f64 / self.limit.max(1) as f64;
        load
    }
}

impl Terms<'_> {
    /// Returns the endpoint as the policy sees it.
    #[must_use]
    pub fn candidate(&self, slot: fleet::Slot, member: &fleet::Member) -> Candidate {
        let window = member.window.limit();
        let (used, limit) = match self.policy {
            Policy::RoundRobin => (0, u64::MAX),
            Policy::LeastLoad => (member.reported(), window),
            Policy::TwoChoices => (member.own + member.others, window),
            Policy::Shares => (member.own, (window / self.nodes.max(1)).max(1)),
            Policy::Grants => (member.own, window),
        };
        Candidate {
            slot,
            used,
            limit,
            local: member.record.data_centre == *self.data_centre,
        }
    }

    /// Chooses among candidates that have room.
    #[must_use]
    pub fn choose(
        &self,
        rng: &mut SmallRng,
        turn: &mut u64,
        fitting: &[Candidate],
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
        two_choices(rng, &pool)
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

/// Returns the less loaded of two random candidates.
fn two_choices(rng: &mut SmallRng, pool: &[Candidate]) -> Option<Candidate> {
    if pool.is_empty() {
        return None;
    }
    let first = pool[rng.random_range(0..pool.len())];
    let second = pool[rng.random_range(0..pool.len())];
    let better = if second.load() < first.load() {
        second
    } else {
        first
    };
    Some(better)
}

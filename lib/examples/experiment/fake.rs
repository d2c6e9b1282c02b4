//! Simulated inference engine with continuous batching and a prefix cache, but
//! without priorities.

use std::collections::{BTreeMap, VecDeque};

use dottereltally_lib::{endpoint::Change, id};

/// Tokens per block of the prefix cache.
pub const BLOCK_TOKENS: u64 = 64;

/// Capacity of the prefix cache in blocks.
const MAX_CACHE_BLOCKS: usize = 320;

/// Prefill speed relative to decoding a full batch.
pub const PREFILL_FACTOR: f64 = 8.0;

/// Maximum share of the engine's time for prefill while any request decodes.
const PREFILL_SHARE: f64 = 0.5;

/// A request in an engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// Node of the request.
    pub node: usize,
    pub request: u64,
    /// Prompt tokens.
    pub prompt: u64,
    /// Output tokens at which it ends.
    pub output: u64,
    pub prefixes: Vec<id::Prefix>,
    /// Prompt tokens found in the prefix cache when it started.
    pub cached: u64,
    /// Prompt tokens that still need prefill.
    pub prefill: f64,
    /// Output tokens decoded so far.
    pub produced: f64,
    /// `produced` in whole tokens, at most `output`.
    pub decoded: u64,
    /// Output tokens that the node has been notified of.
    pub sent: u64,
}

/// What happened to a job in a step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Notice {
    /// It started, with this many prompt tokens found in the cache.
    PrefillStarted {
        cached: u64,
    },
    FirstToken,
    Finished {
        cached: u64,
        output: u64,
    },
}

/// A simulated engine.
#[derive(Clone, Debug)]
pub struct Engine {
    pub service: &'static str,
    pub data_centre: usize,
    /// Decoding speed of a full batch in tokens per second.
    pub decode_rate: f64,
    /// Maximum decoding speed of one request in tokens per second.
    pub max_stream_rate: f64,
    /// Maximum number of tokens of running requests.
    pub max_tokens: u64,
    /// Current speed relative to normal.
    pub speed: f64,
    pub alive: bool,
    pub waiting: VecDeque<Job>,
    pub running: Vec<Job>,
    /// Cached prefixes with the time of their last use.
    pub cache: BTreeMap<id::Prefix, u64>,
    /// Cache changes that have not been published.
    pub changes: Vec<Change>,
    /// Logical time of the last use of the cache.
    use_clock: u64,
}

impl Engine {
    pub fn new(
        service: &'static str,
        data_centre: usize,
        (decode_rate, max_stream_rate, max_tokens): (f64, f64, u64),
    ) -> Self {
        Self {
            service,
            data_centre,
            decode_rate,
            max_stream_rate,
            max_tokens,
            speed: 1.0,
            alive: true,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: BTreeMap::new(),
            changes: Vec::new(),
            use_clock: 0,
        }
    }

    /// Tokens of running and waiting requests.
    pub fn tokens(&self) -> u64 {
        let tokens = |job: &Job| job.prompt + job.decoded;
        let running: u64 = self.running.iter().map(tokens).sum();
        running + self.waiting.iter().map(tokens).sum::<u64>()
    }

    /// Tokens of a prompt that are cached, given the prompt's prefixes.
    pub fn cached(&self, prefixes: &[id::Prefix]) -> u64 {
        let is_cached = |prefix: &id::Prefix| self.cache.contains_key(prefix);
        let blocks = prefixes
            .iter()
            .take_while(|prefix| is_cached(prefix))
            .count();
        blocks as u64 * BLOCK_TOKENS
    }

    /// Removes a job before it has finished.
    pub fn cancel(&mut self, node: usize, request: u64) {
        let other = |job: &Job| job.node != node || job.request != request;
        self.waiting.retain(other);
        self.running.retain(other);
    }

    /// Advances the engine and returns the events of its jobs.
    pub fn step(&mut self, seconds: f64) -> Vec<(usize, u64, Notice)> {
        let mut notices = Vec::new();
        self.start_waiting(&mut notices);
        let seconds = seconds * self.speed;
        let decoding = self.running.iter().filter(|job| job.prefill <= 0.0).count();
        let share = if decoding > 0 { PREFILL_SHARE } else { 1.0 };
        let max_prefill = self.decode_rate * PREFILL_FACTOR * seconds;
        let mut budget = max_prefill * share;
        for job in &mut self.running {
            if job.prefill <= 0.0 || budget <= 0.0 {
                continue;
            }
            let processed = job.prefill.min(budget);
            job.prefill -= processed;
            budget -= processed;
        }
        let prefill_time = (max_prefill * share - budget) / max_prefill;
        self.decode_step(seconds * (1.0 - prefill_time), &mut notices);
        notices
    }

    /// Starts waiting jobs as long as their tokens fit.
    fn start_waiting(&mut self, notices: &mut Vec<(usize, u64, Notice)>) {
        while let Some(job) = self.waiting.front() {
            let reserved: u64 = self.running.iter().map(|job| job.prompt + job.output).sum();
            if !self.running.is_empty() && reserved + job.prompt + job.output > self.max_tokens {
                return;
            }
            let Some(mut job) = self.waiting.pop_front() else {
                return;
            };
            job.cached = self.cached(&job.prefixes).min(job.prompt.saturating_sub(1));
            job.prefill = (job.prompt - job.cached) as f64;
            self.store(&job.prefixes);
            notices.push((
                job.node,
                job.request,
                Notice::PrefillStarted { cached: job.cached },
            ));
            self.running.push(job);
        }
    }

    fn decode_step(&mut self, seconds: f64, notices: &mut Vec<(usize, u64, Notice)>) {
        let decoding = self.running.iter().filter(|job| job.prefill <= 0.0).count();
        let rate = self
            .max_stream_rate
            .min(self.decode_rate / decoding.max(1) as f64);
        for job in self.running.iter_mut().filter(|job| job.prefill <= 0.0) {
            let before = job.produced;
            job.produced += rate * seconds;
            if before < 1.0 && job.produced >= 1.0 {
                notices.push((job.node, job.request, Notice::FirstToken));
            }
            job.decoded = (job.produced as u64).min(job.output);
            if job.decoded == job.output {
                let (cached, output) = (job.cached, job.output);
                notices.push((job.node, job.request, Notice::Finished { cached, output }));
            }
        }
        self.running.retain(|job| job.decoded < job.output);
    }

    /// Adds prefixes to the cache and evicts the least recently used ones.
    fn store(&mut self, prefixes: &[id::Prefix]) {
        for prefix in prefixes {
            self.use_clock += 1;
            if self.cache.insert(*prefix, self.use_clock).is_none() {
                self.changes.push(Change::Stored(*prefix));
            }
        }
        if self.cache.len() <= MAX_CACHE_BLOCKS {
            return;
        }
        let mut uses: Vec<u64> = self.cache.values().copied().collect();
        uses.sort_unstable();
        let oldest_kept = uses[self.cache.len() - MAX_CACHE_BLOCKS];
        let changes = &mut self.changes;
        self.cache.retain(|prefix, used| {
            if *used < oldest_kept {
                changes.push(Change::Removed(*prefix));
            }
            *used >= oldest_kept
        });
    }
}

//! A fake engine: continuous batching, prefix cache, no notion of priority.

use std::collections::{BTreeMap, VecDeque};

use dottereltally_lib::{endpoint::Change, id};

/// Tokens per block of the prefix cache.
pub const BLOCK_TOKENS: u64 = 64;

/// Blocks that the prefix cache holds.
const CACHE_BLOCKS: usize = 320;

/// Prefill is this much faster than decoding a full batch.
pub const PREFILL_FACTOR: f64 = 8.0;

/// Part of the engine's time that prefill takes while streams decode.
const PREFILL_SHARE: f64 = 0.5;

/// A request inside an engine.
#[derive(Clone, Debug)]
pub struct Job {
    pub node: usize,
    pub request: u64,
    pub prompt: u64,
    pub output: u64,
    pub prefixes: Vec<id::Prefix>,
    pub cached: u64,
    pub prefill: f64,
    pub produced: f64,
    pub reported: u64,
    pub sent: u64,
}

/// What happened to a job in a step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Notice {
    Begun { cached: u64 },
    Started,
    Ended { cached: u64, output: u64 },
}

/// One engine.
#[derive(Clone, Debug)]
pub struct Engine {
    pub service: &'static str,
    pub data_centre: usize,
    /// Tokens per second of a full batch.
    pub decode: f64,
    /// Tokens per second of one stream, at the most.
    pub stream: f64,
    /// Tokens of running requests, at the most.
    pub memory: u64,
    pub slowdown: f64,
    pub alive: bool,
    pub waiting: VecDeque<Job>,
    pub running: Vec<Job>,
    pub cache: BTreeMap<id::Prefix, u64>,
    pub changes: Vec<Change>,
    clock: u64,
}

impl Engine {
    pub fn new(
        service: &'static str,
        data_centre: usize,
        (decode, stream, memory): (f64, f64, u64),
    ) -> Self {
        Self {
            service,
            data_centre,
            decode,
            stream,
            memory,
            slowdown: 1.0,
            alive: true,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: BTreeMap::new(),
            changes: Vec::new(),
            clock: 0,
        }
    }

    /// Tokens held by running requests and asked for by waiting ones.
    pub fn tokens(&self) -> u64 {
        let held = |job: &Job| job.prompt + job.reported;
        let running: u64 = self.running.iter().map(held).sum();
        running + self.waiting.iter().map(held).sum::<u64>()
    }

    /// Tokens of the job's prompt that the cache holds.
    pub fn cached(&self, prefixes: &[id::Prefix]) -> u64 {
        let held = |prefix: &id::Prefix| self.cache.contains_key(prefix);
        let blocks = prefixes.iter().take_while(|prefix| held(prefix)).count();
        blocks as u64 * BLOCK_TOKENS
    }

    /// Ends a job early.
    pub fn cancel(&mut self, node: usize, request: u64) {
        let other = |job: &Job| job.node != node || job.request != request;
        self.waiting.retain(other);
        self.running.retain(other);
    }

    /// Lets time pass and returns what happened.
    pub fn step(&mut self, seconds: f64) -> Vec<(usize, u64, Notice)> {
        let mut notices = Vec::new();
        self.begin(&mut notices);
        let seconds = seconds * self.slowdown;
        let decoding = self.running.iter().filter(|job| job.prefill <= 0.0).count();
        let share = if decoding > 0 { PREFILL_SHARE } else { 1.0 };
        let full = self.decode * PREFILL_FACTOR * seconds;
        let mut budget = full * share;
        for job in &mut self.running {
            if job.prefill <= 0.0 || budget <= 0.0 {
                continue;
            }
            let done = job.prefill.min(budget);
            job.prefill -= done;
            budget -= done;
        }
        let spent = (full * share - budget) / full;
        self.decode_step(seconds * (1.0 - spent), &mut notices);
        notices
    }

    fn begin(&mut self, notices: &mut Vec<(usize, u64, Notice)>) {
        while let Some(job) = self.waiting.front() {
            let held: u64 = self.running.iter().map(|job| job.prompt + job.output).sum();
            if !self.running.is_empty() && held + job.prompt + job.output > self.memory {
                return;
            }
            let Some(mut job) = self.waiting.pop_front() else {
                return;
            };
            job.cached = self.cached(&job.prefixes).min(job.prompt.saturating_sub(1));
            job.prefill = (job.prompt - job.cached) as f64;
            self.store(&job.prefixes);
            notices.push((job.node, job.request, Notice::Begun { cached: job.cached }));
            self.running.push(job);
        }
    }

    fn decode_step(&mut self, seconds: f64, notices: &mut Vec<(usize, u64, Notice)>) {
        let decoding = self.running.iter().filter(|job| job.prefill <= 0.0).count();
        let rate = self.stream.min(self.decode / decoding.max(1) as f64);
        for job in self.running.iter_mut().filter(|job| job.prefill <= 0.0) {
            let before = job.produced;
            job.produced += rate * seconds;
            if before < 1.0 && job.produced >= 1.0 {
                notices.push((job.node, job.request, Notice::Started));
            }
            job.reported = (job.produced as u64).min(job.output);
            if job.reported == job.output {
                let (cached, output) = (job.cached, job.output);
                notices.push((job.node, job.request, Notice::Ended { cached, output }));
            }
        }
        self.running.retain(|job| job.reported < job.output);
    }

    fn store(&mut self, prefixes: &[id::Prefix]) {
        for prefix in prefixes {
            self.clock += 1;
            if self.cache.insert(*prefix, self.clock).is_none() {
                self.changes.push(Change::Stored(*prefix));
            }
        }
        if self.cache.len() <= CACHE_BLOCKS {
            return;
        }
        let mut ages: Vec<u64> = self.cache.values().copied().collect();
        ages.sort_unstable();
        let oldest = ages[self.cache.len() - CACHE_BLOCKS];
        let changes = &mut self.changes;
        self.cache.retain(|prefix, used| {
            if *used < oldest {
                changes.push(Change::Removed(*prefix));
            }
            *used >= oldest
        });
    }
}

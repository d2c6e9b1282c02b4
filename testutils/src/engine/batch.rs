//! The batch of an engine.

use std::{collections::VecDeque, process, time::Duration};

use dottereltally_lib::{id::Prefix, prefix};
use serde_json::{Value, json};
use tokio::sync::mpsc::UnboundedSender;

use super::{
    CRASH_EXIT_CODE, Positions,
    cache::Cache,
    format::{self, BYTES_PER_TOKEN, Completion, Usage},
};

/// Prompt tokens that one step computes at the most.
const MAX_CHUNK_TOKENS: u64 = 512;
/// Prompt tokens of one block of the prefix cache.
const TOKENS_PER_BLOCK: u64 = (prefix::BLOCK_BYTES / BYTES_PER_TOKEN) as u64;

/// What a request hears of its progress.
#[derive(Clone, Debug)]
pub enum Event {
    /// It got a place in the batch.
    Started,
    /// One token of its answer.
    Token(String),
    /// It is finished.
    Done(Usage),
}

/// One request.
#[derive(Debug)]
pub struct Sequence {
    prompt: String,
    digest: String,
    prefixes: Vec<Prefix>,
    usage: Usage,
    prefill_left: u64,
    sent: u64,
    events: UnboundedSender<Event>,
}

impl Sequence {
    /// Prepares a request.
    pub fn new(completion: &Completion, events: UnboundedSender<Event>) -> Self {
        let prompt = completion.prompt();
        let tokens = prompt.len().div_ceil(BYTES_PER_TOKEN) as u64;
        Self {
            digest: format::digest(&prompt),
            prefixes: prefix::hashes(&completion.model, &prompt),
            prompt,
            usage: Usage {
                prompt: tokens,
                cached: 0,
                output: completion.output(),
            },
            prefill_left: tokens,
            sent: 0,
            events,
        }
    }

    /// Sends the next token and returns whether it was the last.
    fn advance(&mut self) -> bool {
        let token = format::token(&self.digest, self.sent);
        let _ = self.events.send(Event::Token(token));
        self.sent += 1;
        if self.sent < self.usage.output {
            return false;
        }
        let _ = self.events.send(Event::Done(self.usage));
        true
    }
}

/// Load at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Requests in the batch.
    pub running: usize,
    /// Requests that wait for a place.
    pub waiting: usize,
    /// Tokens of all of them.
    pub tokens: u64,
}

/// Requests that run and wait.
#[derive(Debug, Default)]
pub struct Batch {
    /// The prefix cache.
    pub cache: Cache,
    running: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
    received: u64,
    started: u64,
    finished: u64,
    cancelled: u64,
    computed: u64,
    cached: u64,
}

impl Batch {
    /// Adds a request.
    pub fn enqueue(&mut self, sequence: Sequence) {
        self.received += 1;
        self.waiting.push_back(sequence);
    }

    /// Runs one step; returns its time, or nothing if there was no work.
    pub fn step(&mut self, positions: &Positions) -> Option<Duration> {
        self.drop_cancelled();
        self.cache.leave_out(positions.event_gap_next);
        self.fill(positions);
        if positions.hold || self.running.is_empty() {
            return None;
        }
        let mut millis = self.decode(positions.decode_ms);
        millis += self.prefill(positions);
        Some(Duration::from_secs_f64(millis * positions.straggle / 1e3))
    }

    fn drop_cancelled(&mut self) {
        let before = self.running.len() + self.waiting.len();
        self.running.retain(|sequence| !sequence.events.is_closed());
        self.waiting.retain(|sequence| !sequence.events.is_closed());
        let after = self.running.len() + self.waiting.len();
        self.cancelled += (before - after) as u64;
    }

    fn fill(&mut self, positions: &Positions) {
        while self.running.len() < positions.max_batch {
            let Some(mut sequence) = self.waiting.pop_front() else {
                return;
            };
            let marker = &positions.crash_marker;
            if !marker.is_empty() && sequence.prompt.contains(marker) {
                process::exit(CRASH_EXIT_CODE);
            }
            let blocks = self.cache.lookup(&sequence.prefixes) as u64;
            let cached = (blocks * TOKENS_PER_BLOCK).min(sequence.usage.prompt);
            sequence.usage.cached = cached;
            sequence.prefill_left -= cached;
            self.cached += cached;
            self.started += 1;
            let _ = sequence.events.send(Event::Started);
            self.running.push(sequence);
        }
    }

    /// Sends one token of each request whose prompt is computed.
    fn decode(&mut self, step_millis: f64) -> f64 {
        let mut millis = 0.0;
        let mut kept = Vec::new();
        for mut sequence in self.running.drain(..) {
            if sequence.prefill_left > 0 {
                kept.push(sequence);
                continue;
            }
            millis = step_millis;
            if sequence.advance() {
                self.finished += 1;
                continue;
            }
            kept.push(sequence);
        }
        self.running = kept;
        millis
    }

    /// Computes a part of the first prompt that needs it.
    fn prefill(&mut self, positions: &Positions) -> f64 {
        for sequence in &mut self.running {
            if sequence.prefill_left == 0 {
                continue;
            }
            let chunk = sequence.prefill_left.min(MAX_CHUNK_TOKENS);
            sequence.prefill_left -= chunk;
            self.computed += chunk;
            if sequence.prefill_left == 0 {
                self.cache.store(&sequence.prefixes, positions.cache_blocks);
            }
            #[expect(clippy::cast_precision_loss, reason = "a chunk is small")]
            return chunk as f64 * 1e3 / positions.prefill_rate;
        }
        0.0
    }

    /// Returns the load at this moment.
    pub fn load(&self) -> Load {
        let mut tokens = 0;
        for sequence in self.running.iter().chain(&self.waiting) {
            tokens += sequence.usage.prompt + sequence.sent;
        }
        Load {
            running: self.running.len(),
            waiting: self.waiting.len(),
            tokens,
        }
    }

    /// Returns what has been counted.
    pub fn counts(&self) -> Value {
        json!({
            "received": self.received,
            "started": self.started,
            "finished": self.finished,
            "cancelled": self.cancelled,
            "prompt_tokens_computed": self.computed,
            "prompt_tokens_cached": self.cached,
            "running": self.running.len(),
            "waiting": self.waiting.len(),
        })
    }
}

//! Continuous batching: the requests that an engine runs and queues.

use std::{collections::VecDeque, process, time::Duration};

use dottereltally_lib::{id::Prefix, prefix};
use serde_json::{Value, json};
use tokio::sync::mpsc::UnboundedSender;

use super::{
    CRASH_EXIT_CODE, Controls,
    cache::Cache,
    format::{self, BYTES_PER_TOKEN, Completion, Usage},
};

/// Maximum number of prompt tokens that are computed in one step.
const MAX_PREFILL_CHUNK_TOKENS: u64 = 512;
/// Number of prompt tokens in one block of the prefix cache.
const TOKENS_PER_BLOCK: u64 = (prefix::BLOCK_BYTES / BYTES_PER_TOKEN) as u64;

/// Progress of a request.
#[derive(Clone, Debug)]
pub enum Event {
    /// The request joined the batch.
    Started,
    /// One token of the completion.
    Token(String),
    /// The completion is finished.
    Done(Usage),
}

/// One request in the batch or in its queue.
#[derive(Debug)]
pub struct Sequence {
    prompt: String,
    /// Digest of the prompt, which every generated token contains.
    digest: String,
    prefixes: Vec<Prefix>,
    usage: Usage,
    /// Number of prompt tokens still to be computed.
    prefill_left: u64,
    /// Number of tokens that were generated and sent.
    sent: u64,
    events: UnboundedSender<Event>,
}

impl Sequence {
    /// Creates a request that reports its progress to `events`.
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
                output: completion.output_tokens(),
            },
            prefill_left: tokens,
            sent: 0,
            events,
        }
    }

    /// Generates and sends the next token; returns whether it was the last.
    fn send_token(&mut self) -> bool {
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

/// Load at a point in time.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Number of requests in the batch.
    pub running: usize,
    /// Number of requests that wait to join the batch.
    pub waiting: usize,
    /// Number of prompt and generated tokens of all these requests.
    pub tokens: u64,
}

/// Requests that run or wait, and counters of all requests.
#[derive(Debug, Default)]
pub struct Batch {
    /// The prefix cache.
    pub cache: Cache,
    running: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
    /// Requests that joined the queue.
    received: u64,
    /// Requests that joined the batch.
    started: u64,
    finished: u64,
    /// Requests that were dropped because their client disconnected.
    cancelled: u64,
    prompt_tokens_computed: u64,
    prompt_tokens_cached: u64,
}

impl Batch {
    /// Adds a request to the queue.
    pub fn enqueue(&mut self, sequence: Sequence) {
        self.received += 1;
        self.waiting.push_back(sequence);
    }

    /// Runs one step; returns its duration, or `None` if there was no work.
    pub fn step(&mut self, controls: &Controls) -> Option<Duration> {
        self.drop_cancelled();
        self.cache.skip_events(controls.event_gap_next);
        self.start_waiting(controls);
        if controls.hold || self.running.is_empty() {
            return None;
        }
        let mut duration_ms = self.decode(controls.decode_ms);
        duration_ms += self.prefill(controls);
        Some(Duration::from_secs_f64(
            duration_ms * controls.straggle / 1e3,
        ))
    }

    /// Drops the requests whose client has disconnected.
    fn drop_cancelled(&mut self) {
        let before = self.running.len() + self.waiting.len();
        self.running.retain(|sequence| !sequence.events.is_closed());
        self.waiting.retain(|sequence| !sequence.events.is_closed());
        let after = self.running.len() + self.waiting.len();
        self.cancelled += (before - after) as u64;
    }

    /// Moves waiting requests into the batch while it has room.
    fn start_waiting(&mut self, controls: &Controls) {
        while self.running.len() < controls.max_batch {
            let Some(mut sequence) = self.waiting.pop_front() else {
                return;
            };
            let marker = &controls.crash_marker;
            if !marker.is_empty() && sequence.prompt.contains(marker) {
                process::exit(CRASH_EXIT_CODE);
            }
            let blocks = self.cache.lookup(&sequence.prefixes) as u64;
            let cached = (blocks * TOKENS_PER_BLOCK).min(sequence.usage.prompt);
            sequence.usage.cached = cached;
            sequence.prefill_left -= cached;
            self.prompt_tokens_cached += cached;
            self.started += 1;
            let _ = sequence.events.send(Event::Started);
            self.running.push(sequence);
        }
    }

    /// Sends one token of each request whose prompt is computed; returns the
    /// duration in milliseconds.
    fn decode(&mut self, step_ms: f64) -> f64 {
        let mut duration_ms = 0.0;
        let mut unfinished = Vec::new();
        for mut sequence in self.running.drain(..) {
            if sequence.prefill_left > 0 {
                unfinished.push(sequence);
                continue;
            }
            duration_ms = step_ms;
            if sequence.send_token() {
                self.finished += 1;
                continue;
            }
            unfinished.push(sequence);
        }
        self.running = unfinished;
        duration_ms
    }

    /// Computes the next chunk of the first incomplete prompt; returns the
    /// duration in milliseconds.
    fn prefill(&mut self, controls: &Controls) -> f64 {
        for sequence in &mut self.running {
            if sequence.prefill_left == 0 {
                continue;
            }
            let chunk = sequence.prefill_left.min(MAX_PREFILL_CHUNK_TOKENS);
            sequence.prefill_left -= chunk;
            self.prompt_tokens_computed += chunk;
            if sequence.prefill_left == 0 {
                self.cache.store(&sequence.prefixes, controls.cache_blocks);
            }
            #[expect(clippy::cast_precision_loss, reason = "a chunk is small")]
            return chunk as f64 * 1e3 / controls.prefill_rate;
        }
        0.0
    }

    /// Returns the current load.
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

    /// Returns the counters, for the control page.
    pub fn counts(&self) -> Value {
        json!({
            "received": self.received,
            "started": self.started,
            "finished": self.finished,
            "cancelled": self.cancelled,
            "prompt_tokens_computed": self.prompt_tokens_computed,
            "prompt_tokens_cached": self.prompt_tokens_cached,
            "running": self.running.len(),
            "waiting": self.waiting.len(),
        })
    }
}

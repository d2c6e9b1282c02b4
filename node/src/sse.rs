//! Reads what the scheduler needs from a stream of server-sent events.

use serde::Deserialize;

/// Longest line that is looked into, bytes.
const MAX_LINE_BYTES: usize = 64 * 1024;

const DATA: &[u8] = b"data:";
const DONE: &[u8] = b"[DONE]";

/// Token counts that an engine reports with its answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Prompt tokens found in the engine's cache.
    pub cached: u64,
    /// Tokens generated.
    pub output: u64,
}

#[derive(Deserialize)]
struct WireAnswer {
    usage: Option<WireUsage>,
}

#[derive(Deserialize)]
struct WireUsage {
    #[serde(default)]
    completion_tokens: u64,
    prompt_tokens_details: Option<WireDetails>,
}

#[derive(Deserialize)]
struct WireDetails {
    #[serde(default)]
    cached_tokens: u64,
}

impl Usage {
    /// Returns the usage member of an answer or of an event's data, if any.
    #[must_use]
    pub fn parse(json: &[u8]) -> Option<Self> {
        let answer: WireAnswer = serde_json::from_slice(json).ok()?;
        let usage = answer.usage?;
        Some(Self {
            cached: usage
                .prompt_tokens_details
                .map_or(0, |details| details.cached_tokens),
            output: usage.completion_tokens,
        })
    }
}

/// Follows a stream without changing or keeping its frames.
#[derive(Debug, Default)]
pub struct Scanner {
    line: Vec<u8>,
    overlong: bool,
    last: Vec<u8>,
    events: u64,
    done: bool,
}

impl Scanner {
    /// Takes the next bytes of the stream; returns the number of data events
    /// that ended in them.
    pub fn feed(&mut self, mut bytes: &[u8]) -> u64 {
        let before = self.events;
        while let Some(end) = bytes.iter().position(|byte| *byte == b'\n') {
            let (head, rest) = bytes.split_at(end);
            bytes = &rest[1..];
            if self.line.is_empty() && !self.overlong {
                self.line_end(head);
                continue;
            }
            self.keep(head);
            let line = std::mem::take(&mut self.line);
            if !self.overlong {
                self.line_end(&line);
            }
            self.line = line;
            self.line.clear();
            self.overlong = false;
        }
        self.keep(bytes);
        self.events - before
    }

    /// Returns whether the stream said that it is whole.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Returns the data events before the last, `[DONE]`.
    #[must_use]
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns the usage of the last event before `[DONE]`, if it told any.
    #[must_use]
    pub fn usage(&self) -> Option<Usage> {
        Usage::parse(&self.last)
    }

    fn keep(&mut self, part: &[u8]) {
        if self.line.len() + part.len() > MAX_LINE_BYTES {
            self.overlong = true;
            self.line.clear();
        }
        if !self.overlong {
            self.line.extend_from_slice(part);
        }
    }

    fn line_end(&mut self, line: &[u8]) {
        let Some(data) = line.strip_prefix(DATA) else {
            return;
        };
        let data = data.trim_ascii();
        if data == DONE {
            self.done = true;
            return;
        }
        self.events += 1;
        self.last.clear();
        self.last.extend_from_slice(data);
    }
}

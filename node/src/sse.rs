//! Scans a stream of server-sent events for its end and its token usage.

use serde::Deserialize;

/// Maximum length of a line that is assembled from several frames, bytes; longer
/// ones are skipped. A line within one frame is scanned whatever its length.
const MAX_LINE_BYTES: usize = 64 * 1024;

const DATA: &[u8] = b"data:";
const DONE: &[u8] = b"[DONE]";

/// Token counts that an engine reports in its response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Prompt tokens found in the engine's cache.
    pub cached: u64,
    /// Generated tokens.
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
    /// Parses the `usage` member of a response or of an event's data, if any.
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

/// Scans a stream incrementally, keeping only the unfinished line and the last
/// event.
#[derive(Debug, Default)]
pub struct Scanner {
    line: Vec<u8>,
    overlong: bool,
    last_data: Vec<u8>,
    events: u64,
    /// Bytes since the last data event ended.
    bytes_since_event: usize,
    done: bool,
}

impl Scanner {
    /// Scans the next bytes of the stream; returns the number of data events
    /// that ended in them.
    pub fn feed(&mut self, mut bytes: &[u8]) -> u64 {
        let before = (self.events, self.done);
        let length = bytes.len();
        while let Some(end) = bytes.iter().position(|byte| *byte == b'\n') {
            let (head, rest) = bytes.split_at(end);
            bytes = &rest[1..];
            if self.line.is_empty() && !self.overlong {
                self.end_line(head);
                continue;
            }
            self.buffer(head);
            let line = std::mem::take(&mut self.line);
            if !self.overlong {
                self.end_line(&line);
            }
            self.line = line;
            self.line.clear();
            self.overlong = false;
        }
        self.buffer(bytes);
        if (self.events, self.done) == before {
            self.bytes_since_event = self.bytes_since_event.saturating_add(length);
        } else {
            self.bytes_since_event = 0;
        }
        self.events - before.0
    }

    /// Returns the number of bytes since the last data event.
    #[must_use]
    pub fn bytes_since_event(&self) -> usize {
        self.bytes_since_event
    }

    /// Returns whether the final `[DONE]` event was received.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Returns the number of data events, without `[DONE]`.
    #[must_use]
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns the usage in the last event before `[DONE]`, if it has any.
    #[must_use]
    pub fn usage(&self) -> Option<Usage> {
        Usage::parse(&self.last_data)
    }

    /// Appends to the unfinished line, or drops it if it becomes too long.
    fn buffer(&mut self, part: &[u8]) {
        if self.line.len() + part.len() > MAX_LINE_BYTES {
            self.overlong = true;
            self.line.clear();
        }
        if !self.overlong {
            self.line.extend_from_slice(part);
        }
    }

    /// Handles a complete line; a data line counts as an event.
    fn end_line(&mut self, line: &[u8]) {
        let Some(data) = line.strip_prefix(DATA) else {
            return;
        };
        let data = data.trim_ascii();
        if data == DONE {
            self.done = true;
            return;
        }
        self.events += 1;
        self.last_data.clear();
        self.last_data.extend_from_slice(data);
    }
}

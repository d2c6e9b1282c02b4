//! Splits a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

/// Largest event that is buffered.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One or more complete events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The bytes, up to and including the blank line of the last event.
    pub bytes: Bytes,
    /// The number of events.
    pub events: u64,
    /// The first event identifier that is a number.
    pub first_id: Option<u64>,
    /// The last event identifier that is a number.
    pub last_id: Option<u64>,
}

/// Buffers bytes until events are complete.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
}

/// An event is larger than the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is larger than {MAX_EVENT_BYTES} bytes; check the endpoint")]
pub struct TooLarge;

impl Splitter {
    /// Takes the next bytes; returns the events that ended in them.
    ///
    /// # Errors
    ///
    /// Fails if an event is too large to be buffered.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<Batch>, TooLarge> {
        // A blank line, `\r\n\r\n` at the longest, may start in the bytes of
        // earlier calls.
        let search_start = self.buffer.len().saturating_sub(3);
        self.buffer.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.buffer, search_start) else {
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(TooLarge);
            }
            return Ok(None);
        };
        let bytes = self.buffer.split_to(end).freeze();
        Ok(Some(Batch::parse(bytes)))
    }

    /// Returns whether no unfinished event is buffered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}

/// Events of a stream are missing or repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("event {first} came after event {last}; check the endpoint")]
pub struct Gap {
    last: u64,
    first: u64,
}

impl Batch {
    /// Checks that the events follow the last one of a stream.
    ///
    /// # Errors
    ///
    /// Fails if events between them are missing, or if one is repeated.
    pub fn check_follows(&self, last: Option<u64>) -> Result<(), Gap> {
        match (last, self.first_id) {
            (Some(last), Some(first)) if last.checked_add(1) != Some(first) => {
                Err(Gap { last, first })
            }
            _ => Ok(()),
        }
    }

    fn parse(bytes: Bytes) -> Self {
        let mut batch = Self {
            bytes: Bytes::new(),
            events: 0,
            first_id: None,
            last_id: None,
        };
        let mut blank = true;
        for line in bytes.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.is_empty() {
                blank = true;
                continue;
            }
            if blank {
                batch.events += 1;
                blank = false;
            }
            let Some(value) = line.strip_prefix(b"id:") else {
                continue;
            };
            let Some(id) = parse_id(value) else {
                continue;
            };
            batch.first_id = batch.first_id.or(Some(id));
            batch.last_id = Some(id);
        }
        batch.bytes = bytes;
        batch
    }
}

fn parse_id(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// Returns the end of the last blank line that ends after `search_start`; `None`
/// if there is none.
fn last_event_end(bytes: &[u8], search_start: usize) -> Option<usize> {
    let mut end = bytes.len();
    while end > search_start {
        let newline = bytes[..end].iter().rposition(|byte| *byte == b'\n')?;
        if newline < search_start {
            return None;
        }
        let before = bytes[..newline]
            .strip_suffix(b"\r")
            .unwrap_or(&bytes[..newline]);
        if before.last() == Some(&b'\n') {
            return Some(newline + 1);
        }
        end = newline;
    }
    None
}

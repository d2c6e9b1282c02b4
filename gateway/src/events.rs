//! Cuts a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// Longest event that is kept together, bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One or more whole events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The bytes, up to the blank line of the last event.
    pub bytes: Bytes,
    /// The number of events.
    pub events: u64,
    /// Identifier of the first event, if it is a number.
    pub first: Option<u64>,
    /// Identifier of the last event that has a number.
    pub last: Option<u64>,
}

/// Collects bytes until events are whole.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
}

/// An event does not end within the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is over {MAX_EVENT_BYTES} bytes; check the endpoint")]
pub struct TooLong;

impl Splitter {
    /// Takes the next bytes; returns the events that ended in them.
    ///
    /// # Errors
    ///
    /// Fails if an event is too long to be kept.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<Batch>, TooLong> {
        // The blank line may begin in the bytes that are kept.
        let from = self.buffer.len().saturating_sub(3);
        self.buffer.extend_from_slice(bytes);
        let Some(end) = last_blank(&self.buffer, from) else {
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(TooLong);
            }
            return Ok(None);
        };
        let bytes = self.buffer.split_to(end).freeze();
        Ok(Some(Batch::of(bytes)))
    }

    /// Returns whether nothing is left of an unfinished event.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}

impl Batch {
    fn of(bytes: Bytes) -> Self {
        let mut batch = Self {
            bytes: Bytes::new(),
            events: 0,
            first: None,
            last: None,
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
            let Some(number) = number(value) else {
                continue;
            };
            batch.first = batch.first.or(Some(number));
            batch.last = Some(number);
        }
        batch.bytes = bytes;
        batch
    }
}

fn number(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// Returns the end of the last blank line that ends after `from`.
fn last_blank(bytes: &[u8], from: usize) -> Option<usize> {
    let mut end = bytes.len();
    while end > from {
        let line = bytes[..end].iter().rposition(|byte| *byte == b'\n')?;
        if line < from {
            return None;
        }
        let before = bytes[..line].strip_suffix(b"\r").unwrap_or(&bytes[..line]);
        if before.last() == Some(&b'\n') {
            return Some(line + 1);
        }
        end = line;
    }
    None
}

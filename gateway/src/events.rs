//! Splits a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};
use dottereltally_store::buffer::{Full, Pool, Reservation};

/// Most bytes without the end of an event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// First byte of a comment.
const COMMENT: u8 = b':';

/// One or more complete events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The bytes, up to and including the blank line of the last event.
    pub bytes: Bytes,
    /// The number of events.
    pub events: u64,
    /// The identifier of the first event, if it is a number.
    pub first_event_id: Option<u64>,
    /// The first event identifier that is a number.
    pub first_id: Option<u64>,
    /// The last event identifier that is a number.
    pub last_id: Option<u64>,
}

/// Buffers bytes until events are complete.
///
/// Comments and blank lines are no events. They are kept for the event that
/// follows, so that they do not pass for progress.
#[derive(Debug)]
pub struct Splitter {
    buffer: BytesMut,
    reservation: Reservation,
    /// Start of the line that is unfinished.
    line_start: usize,
    /// Bytes that were searched for the end of that line.
    searched: usize,
    /// Whether an event started before that line and has not ended.
    in_event: bool,
}

impl Default for Splitter {
    fn default() -> Self {
        Self::new(&Pool::default())
    }
}

impl Splitter {
    /// Returns a splitter that buffers in the memory of a pool.
    #[must_use]
    pub fn new(memory: &Pool) -> Self {
        Self {
            buffer: BytesMut::new(),
            reservation: memory.reserve(MAX_EVENT_BYTES),
            line_start: 0,
            searched: 0,
            in_event: false,
        }
    }

    /// Takes the next bytes; returns the events that ended in them.
    ///
    /// # Errors
    ///
    /// Fails if too much arrived since the last event to be buffered.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<Batch>, Full> {
        self.buffer.extend_from_slice(bytes);
        let end = self.end_of_last_event();
        let batch = end.map(|end| self.split_to(end));
        self.reservation.resize(self.buffer.len())?;
        Ok(batch)
    }

    /// Returns whether no unfinished event is buffered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        let line = &self.buffer[self.line_start..];
        !self.in_event && (line.is_empty() || line[0] == COMMENT)
    }

    /// Returns the comments and blank lines after the last event, if there are any.
    pub fn take_rest(&mut self) -> Option<Batch> {
        let end = self.buffer.len();
        (end > 0 && self.is_empty()).then(|| self.split_to(end))
    }

    /// Searches the lines that are new; returns the end of the last event in them.
    fn end_of_last_event(&mut self) -> Option<usize> {
        let mut end = None;
        while let Some(length) = find(&self.buffer[self.searched..], b'\n') {
            let line_end = self.searched + length;
            let line = &self.buffer[self.line_start..line_end];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.is_empty() {
                if self.in_event {
                    end = Some(line_end + 1);
                }
                self.in_event = false;
            } else if line[0] != COMMENT {
                self.in_event = true;
            }
            self.line_start = line_end + 1;
            self.searched = self.line_start;
        }
        self.searched = self.buffer.len();
        end
    }

    fn split_to(&mut self, end: usize) -> Batch {
        self.line_start = self.line_start.saturating_sub(end);
        self.searched = self.searched.saturating_sub(end);
        Batch::parse(self.buffer.split_to(end).freeze())
    }
}

/// Events of a stream are missing or repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Gap {
    /// Another event came than the next one.
    #[error("event {first} came after event {last}; check the endpoint")]
    Between {
        /// Number of the last event.
        last: u64,
        /// Number of the event that came.
        first: u64,
    },
    /// What came is not known to be the next event.
    #[error("an event without a number came after event {last}; check the endpoint")]
    Unnumbered {
        /// Number of the last event.
        last: u64,
    },
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
                Err(Gap::Between { last, first })
            }
            _ => Ok(()),
        }
    }

    /// Checks that the first events of another endpoint go on with a stream. It may have
    /// sent an error in place of them, so that the first one has to have a number.
    ///
    /// # Errors
    ///
    /// Fails if the first event is not the one after the last event of the stream.
    pub fn check_resumes(&self, last: u64) -> Result<(), Gap> {
        if self.first_event_id.is_none() {
            return Err(Gap::Unnumbered { last });
        }
        self.check_follows(Some(last))
    }

    fn parse(bytes: Bytes) -> Self {
        let mut batch = Self {
            bytes: Bytes::new(),
            events: 0,
            first_event_id: None,
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
            if blank && line[0] != COMMENT {
                batch.events += 1;
                blank = false;
            }
            let Some(value) = line.strip_prefix(b"id:") else {
                continue;
            };
            let Some(id) = parse_id(value) else {
                continue;
            };
            if batch.events == 1 {
                batch.first_event_id = batch.first_event_id.or(Some(id));
            }
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

fn find(bytes: &[u8], byte: u8) -> Option<usize> {
    bytes.iter().position(|found| *found == byte)
}

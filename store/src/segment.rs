//! Bytes that arrive in parts, kept in segments.

use bytes::{Bytes, BytesMut};

/// Size of a segment, bytes; a single block that grows would be copied each time and leave
/// holes in the heap.
pub(crate) const SEGMENT_BYTES: usize = 64 * 1024;

/// Segments of which all but the last are full.
#[derive(Debug, Default)]
pub(crate) struct Buffer {
    segments: Vec<BytesMut>,
    length: usize,
}

impl Buffer {
    /// Returns the number of bytes.
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// Appends a copy of a part.
    pub(crate) fn append(&mut self, mut part: &[u8]) {
        self.length += part.len();
        while !part.is_empty() {
            let last = self.segments.last_mut();
            let Some(segment) = last.filter(|segment| segment.len() < SEGMENT_BYTES) else {
                // Most answers and bodies are far smaller than a segment.
                let first = if self.segments.is_empty() {
                    0
                } else {
                    SEGMENT_BYTES
                };
                self.segments.push(BytesMut::with_capacity(first));
                continue;
            };
            let (head, rest) = part.split_at(part.len().min(SEGMENT_BYTES - segment.len()));
            segment.extend_from_slice(head);
            part = rest;
        }
    }

    /// Joins the segments.
    pub(crate) fn join(self) -> Bytes {
        let mut segments = self.segments.into_iter();
        let Some(first) = segments.next() else {
            return Bytes::new();
        };
        if segments.len() == 0 {
            return first.freeze();
        }
        let mut bytes = BytesMut::with_capacity(self.length);
        bytes.extend_from_slice(&first);
        drop(first);
        for segment in segments {
            bytes.extend_from_slice(&segment);
        }
        bytes.freeze()
    }
}

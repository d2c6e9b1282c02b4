//! Watches, which are streams of JSON messages, one per line.

use bytes::BytesMut;

use crate::{
    etcd::{
        error::{from_body, unreadable},
        wire,
    },
    http::Stream,
    kv::{self, Change, Error},
};

/// Maximum size of one message of a watch, in bytes.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Maximum size of a message with a change and of all that was sent since the
/// change before, in bytes.
const MAX_SKIPPED_BYTES: usize = 2 * MAX_MESSAGE_BYTES;

/// Watch of one key.
pub struct Watch {
    stream: Stream,
    /// Bytes that were received but not yet returned as a line.
    pending: BytesMut,
    /// How many of them were searched for the end of a line.
    searched: usize,
}

impl Watch {
    pub(super) fn new(stream: Stream) -> Self {
        Self {
            stream,
            pending: BytesMut::new(),
            searched: 0,
        }
    }

    /// Waits for the next line of the stream, and returns it without its end.
    async fn line(&mut self) -> Result<BytesMut, Error> {
        loop {
            let unsearched = &self.pending[self.searched..];
            if let Some(length) = unsearched.iter().position(|byte| *byte == b'\n') {
                let mut line = self.pending.split_to(self.searched + length + 1);
                line.truncate(line.len() - 1);
                self.searched = 0;
                return Ok(line);
            }
            self.searched = self.pending.len();
            if self.pending.len() > MAX_MESSAGE_BYTES {
                return Err(Error::Unreadable(
                    "a message of the watch is too long".to_owned(),
                ));
            }
            let bytes = self
                .stream
                .next()
                .await
                .map_err(|error| Error::Lost(error.to_string()))?;
            let Some(bytes) = bytes else {
                return Err(Error::Lost("the watch was closed".to_owned()));
            };
            self.pending.extend_from_slice(&bytes);
        }
    }
}

impl kv::Watch for Watch {
    async fn next(&mut self) -> Result<Vec<Change>, Error> {
        let mut skipped = 0;
        loop {
            let line = self.line().await?;
            skipped += line.len() + 1;
            if skipped > MAX_SKIPPED_BYTES {
                return Err(Error::Unreadable(
                    "the watch sends too much without a change".to_owned(),
                ));
            }
            if line.iter().all(u8::is_ascii_whitespace) {
                continue;
            }
            let message: wire::Streamed<wire::WatchResponse> = serde_json::from_slice(&line)
                .map_err(|error| Error::Unreadable(error.to_string()))?;
            if let Some(error) = message.error {
                return Err(from_body(&error));
            }
            let Some(response) = message.result else {
                continue;
            };
            if response.canceled {
                return Err(Error::Refused(response.cancel_reason));
            }
            if response.events.is_empty() {
                continue;
            }
            let mut changes = Vec::with_capacity(response.events.len());
            for event in response.events {
                changes.push(Change::try_from(event).map_err(unreadable)?);
            }
            return Ok(changes);
        }
    }
}

//! Logs to standard output, one JSON object a line; the buffer is bounded and
//! a full one drops lines instead of blocking.

use std::{io, time::Duration};

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::LevelFilter;

/// Lines that are buffered; lines beyond that are dropped and counted.
const MAX_BUFFERED_LINES: usize = 4096;

/// The running log; dropping it writes the buffered lines.
pub struct Log {
    dropped: ErrorCounter,
    _worker: WorkerGuard,
}

/// Starts logging.
///
/// # Errors
///
/// Fails if logging was started before.
pub fn start() -> eyre::Result<Log> {
    let (writer, worker) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .finish(io::stdout());
    let dropped = writer.error_counter();
    tracing_subscriber::fmt()
        .with_writer(writer)
        .with_max_level(LevelFilter::INFO)
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_current_span(false)
        .with_span_list(false)
        .try_init()
        .map_err(|error| eyre::eyre!("the log can't be set up: {error}"))?;
    Ok(Log {
        dropped,
        _worker: worker,
    })
}

impl Log {
    /// Returns the number of dropped lines.
    #[must_use]
    pub fn dropped(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

/// Returns a duration in whole milliseconds for the log.
#[must_use]
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

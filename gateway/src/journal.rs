//! The log: one JSON object a line on standard output, bounded and never
//! blocking.

use std::io;

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::LevelFilter;

/// Lines that may wait to be written; more are dropped and counted.
const MAX_LINES: usize = 4096;

/// The running log; dropping it writes what waits.
pub struct Journal {
    dropped: ErrorCounter,
    _worker: WorkerGuard,
}

/// Starts the log.
///
/// # Errors
///
/// Fails if a log was started before.
pub fn start() -> eyre::Result<Journal> {
    let (writer, worker) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_LINES)
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
    Ok(Journal {
        dropped,
        _worker: worker,
    })
}

impl Journal {
    /// Returns the number of lines that were dropped.
    #[must_use]
    pub fn dropped(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

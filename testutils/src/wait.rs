//! Waits for conditions by polling them.

use std::time::Duration;

use eyre::{Result, bail};
use tokio::time::{Instant, sleep};

/// Time between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which a condition is taken never to hold.
pub const BOUND: Duration = Duration::from_mins(1);

/// Polls until the condition yields a value.
///
/// # Errors
///
/// Fails if it has not within [`BOUND`].
pub async fn eventually<T>(what: &str, mut condition: impl AsyncFnMut() -> Option<T>) -> Result<T> {
    let end = Instant::now() + BOUND;
    loop {
        if let Some(value) = condition().await {
            return Ok(value);
        }
        if Instant::now() >= end {
            bail!("{what}: not so within {BOUND:?}");
        }
        sleep(POLL_INTERVAL).await;
    }
}

//! Waits for conditions by polling them.

use std::time::Duration;

use eyre::{Result, bail};
use tokio::time::{Instant, sleep};

/// Pause between two evaluations of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which waiting fails.
pub const TIMEOUT: Duration = Duration::from_mins(1);

/// Polls until the condition yields a value; `what` describes the condition in
/// the error.
///
/// # Errors
///
/// Fails if the condition yields no value within [`TIMEOUT`].
pub async fn eventually<T>(what: &str, mut condition: impl AsyncFnMut() -> Option<T>) -> Result<T> {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        if let Some(value) = condition().await {
            return Ok(value);
        }
        if Instant::now() >= deadline {
            bail!("{what}: condition not met within {TIMEOUT:?}");
        }
        sleep(POLL_INTERVAL).await;
    }
}

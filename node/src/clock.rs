//! The monotonic clock that provides the decision core's time.

use std::time::Duration;

use dottereltally_lib::time::Instant;
use nix::time::ClockId;
use tokio::time;

/// A monotonic clock with its origin at the start of the process.
///
/// It is based on the runtime's clock, which tests can pause.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: time::Instant,
}

impl Clock {
    /// Starts a clock.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: time::Instant::now(),
        }
    }

    /// Returns the time since the start.
    #[must_use]
    pub fn now(&self) -> Instant {
        let micros = self.origin.elapsed().as_micros();
        Instant::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Returns the time since the machine was started. Unlike [`Self::now`], it counts the
    /// time for which the machine was suspended.
    #[must_use]
    pub fn uptime(&self) -> Duration {
        let read = nix::time::clock_gettime(ClockId::CLOCK_BOOTTIME);
        read.map_or_else(
            |error| {
                tracing::warn!(%error, "the clock of the machine's uptime can't be read");
                self.origin.elapsed()
            },
            Duration::from,
        )
    }
}

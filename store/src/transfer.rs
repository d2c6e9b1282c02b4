//! How the answer to a call arrives.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use dottereltally_lib::size;
use tokio::time::Instant;

/// Time in which an answer must go on arriving after its deadline.
const WINDOW: Duration = Duration::from_millis(350);

/// Least part of an answer that arrives in [`WINDOW`]: a fiftieth of what a link of 10 Mbit/s
/// carries, as calls share it with other connections.
const LEAST_PART: size::Bytes = size::Bytes(8 << 10);

/// Longest time for an answer beyond its deadline: a link of 10 Mbit/s carries the largest
/// answer that is taken (16 MiB) in half of it.
const LONGEST_OVERTIME: Duration = Duration::from_secs(30);

/// How much is taken of the answer to a call, and how much has arrived; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Intake {
    most: Option<size::Bytes>,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    received: size::Bytes,
    declared: Option<size::Bytes>,
}

impl Intake {
    /// Builds the intake of an answer that is not read any further once it is known to have
    /// more than `most` of content.
    #[must_use]
    pub fn up_to(most: size::Bytes) -> Self {
        Self {
            most: Some(most),
            ..Self::default()
        }
    }

    /// Returns how much is taken if an answer of this size is more.
    #[must_use]
    pub fn exceeded_by(&self, bytes: size::Bytes) -> Option<size::Bytes> {
        self.most.filter(|most| bytes > *most)
    }

    /// Records the length that the head of an answer declares.
    pub fn declare(&self, bytes: size::Bytes) {
        self.lock().declared = Some(bytes);
    }

    /// Records content that arrived.
    pub fn record(&self, bytes: size::Bytes) {
        self.lock().received += bytes;
    }

    /// Returns how much content has arrived, of all answers if there were several.
    #[must_use]
    pub fn received(&self) -> size::Bytes {
        self.lock().received
    }

    /// Returns the length that the last answer declared, if it declared one.
    #[must_use]
    pub fn declared(&self) -> Option<size::Bytes> {
        self.lock().declared
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Slowest arrival at which the rest of an answer is waited for after its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Time over which the arrival is measured.
    pub window: Duration,
    /// Fewest bytes that arrive in each window.
    pub least: size::Bytes,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            window: WINDOW,
            least: LEAST_PART,
        }
    }
}

/// Why the rest of an answer is not waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Expired {
    /// Less arrived than the pace asks for.
    #[error(
        "timed out: fewer than {} came in {} ms, after {received}; check the link and the other host",
        pace.least,
        pace.window.as_millis()
    )]
    Slow {
        /// What arrived until then.
        received: size::Bytes,
        /// The pace that was not kept.
        pace: Pace,
    },
    /// It went on arriving for the longest time that is allowed.
    #[error(
        "timed out: still arriving {} s after its deadline, after {received}; check the link and the other host",
        LONGEST_OVERTIME.as_secs()
    )]
    Overlong {
        /// What arrived until then.
        received: size::Bytes,
    },
}

/// Deadline of an answer that is prolonged while enough of it arrives, so that a slow link is
/// told from a host that stopped sending.
#[derive(Clone, Copy, Debug)]
pub struct Timer {
    deadline: Instant,
    pace: Pace,
    next_check: Instant,
    /// What had arrived by the last check.
    checked: size::Bytes,
}

impl Timer {
    /// Builds the timer of an answer of which nothing has arrived.
    #[must_use]
    pub fn new(deadline: Instant, pace: Pace) -> Self {
        let window_start = deadline.checked_sub(pace.window);
        let next_check = window_start.filter(|start| *start > Instant::now());
        Self {
            deadline,
            pace,
            next_check: next_check.unwrap_or(deadline),
            checked: size::Bytes::default(),
        }
    }

    /// Returns when to call [`Self::check`] next.
    #[must_use]
    pub fn next_check(&self) -> Instant {
        self.next_check
    }

    /// Checks how much has arrived by the time of [`Self::next_check`].
    ///
    /// # Errors
    ///
    /// Fails if the deadline is past and the answer no longer arrives at its pace.
    pub fn check(&mut self, received: size::Bytes) -> Result<(), Expired> {
        let pace = self.pace;
        let is_due = self.next_check >= self.deadline;
        if is_due && received.saturating_sub(self.checked) < pace.least {
            return Err(Expired::Slow { received, pace });
        }
        if self.next_check >= self.deadline + LONGEST_OVERTIME {
            return Err(Expired::Overlong { received });
        }
        self.checked = received;
        // A process that was suspended measures from when it goes on.
        self.next_check = Instant::now().max(self.next_check) + pace.window;
        Ok(())
    }
}

//! Counts of what the dispatcher did under overload, for operators.

use derive_more::{Add, AddAssign, Sum};

use crate::dispatcher::Dispatcher;

/// Requests at which overload showed, since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Add, AddAssign, Sum)]
pub struct Counts {
    /// Refused from the queue because they would not be served in time.
    pub unserved: usize,
    /// Refused with a time to come back at which they are expected.
    pub announced: usize,
    /// Came back at that time, and had an advantage over new requests.
    pub returned: usize,
}

impl Dispatcher {
    /// Returns the counts of all services.
    #[must_use]
    pub fn overload(&self) -> Counts {
        self.queues.values().map(|queue| queue.counts).sum()
    }
}

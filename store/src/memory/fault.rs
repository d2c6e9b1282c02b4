//! Fault injection of the in-memory key-value service.

use std::{collections::VecDeque, time::Duration};

/// Time limit of a call unless a test sets another.
const DEFAULT_TIMEOUT: Duration = Duration::from_millis(500);

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Reads a key.
    Get,
    /// Reads the keys of a prefix.
    List,
    /// Runs a transaction.
    Transact,
    /// Grants a lease.
    Grant,
    /// Renews a lease.
    Renew,
    /// Revokes a lease.
    Revoke,
    /// Starts a watch.
    Watch,
}

/// Fault of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The service can't be reached; the call fails at once.
    Unreachable,
    /// The request is lost; the call has no effect and times out.
    CallLost,
    /// The answer is lost; the call takes effect and times out.
    AnswerLost,
    /// The call times out and takes effect after this delay.
    Delayed(Duration),
    /// The call takes effect after half of this delay and is answered at its
    /// end.
    Slow(Duration),
    /// A `Get` is answered with the value before the last change; has no effect
    /// on other calls.
    Stale,
}

/// Number of calls by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Reads of keys and prefixes.
    pub reads: u64,
    /// Transactions.
    pub transactions: u64,
    /// Grants, renewals and revocations of leases.
    pub leases: u64,
    /// Watches that were started.
    pub watches: u64,
}

/// Chooses the fault of a call.
pub(super) type Script = Box<dyn FnMut(Call) -> Option<Fault> + Send>;

/// Faults and call counts of one client.
pub(super) struct Faults {
    /// Whether the service is unreachable.
    pub(super) down: bool,
    /// Whether watches report no changes.
    pub(super) silent: bool,
    /// Time limit after which a call without answer fails.
    pub(super) timeout: Duration,
    /// Faults of the next calls of each kind, in order.
    pub(super) queue: VecDeque<(Call, Fault)>,
    /// Chooses the fault of a call that has none in `queue`.
    pub(super) script: Option<Script>,
    pub(super) count: Count,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            down: false,
            silent: false,
            timeout: DEFAULT_TIMEOUT,
            queue: VecDeque::new(),
            script: None,
            count: Count::default(),
        }
    }
}

impl Faults {
    /// Counts a call and returns its fault, if any.
    pub(super) fn next(&mut self, call: Call) -> Option<Fault> {
        match call {
            Call::Get | Call::List => self.count.reads += 1,
            Call::Transact => self.count.transactions += 1,
            Call::Grant | Call::Renew | Call::Revoke => self.count.leases += 1,
            Call::Watch => self.count.watches += 1,
        }
        if self.down {
            return Some(Fault::Unreachable);
        }
        let queued = self.queue.iter().position(|(kind, _)| *kind == call);
        if let Some(index) = queued {
            return self.queue.remove(index).map(|(_, fault)| fault);
        }
        self.script.as_mut().and_then(|choose| choose(call))
    }
}

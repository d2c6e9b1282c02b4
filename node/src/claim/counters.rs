//! Counters of the keeper of claims.

use prometheus_client::{metrics::counter::Counter, registry::Registry};

/// Counters of the keeper of claims; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Claims that were taken.
    pub taken: Counter,
    /// Claims that were taken over from an attempt that was given up.
    pub taken_over: Counter,
    /// Claims that were given back.
    pub released: Counter,
    /// Transactions that were sent.
    pub transactions: Counter,
    /// Transactions that were repeated because their answer was lost.
    pub repeated: Counter,
    /// Answers that were given again.
    pub replayed: Counter,
    /// Calls that met a running attempt.
    pub running: Counter,
    /// Calls that met an attempt whose answer can't be had.
    pub unknown: Counter,
    /// Calls whose key was used for another request.
    pub mismatched: Counter,
    /// Calls that were refused because the service was away.
    pub away: Counter,
    /// Claims that were not used in time.
    pub expired: Counter,
}

impl Counters {
    /// Registers the counters.
    pub fn register(&self, registry: &mut Registry) {
        let all = [
            ("taken", "Claims that were taken", &self.taken),
            (
                "taken_over",
                "Claims taken over from attempts that were given up",
                &self.taken_over,
            ),
            ("released", "Claims that were given back", &self.released),
            (
                "transactions",
                "Transactions that were sent",
                &self.transactions,
            ),
            (
                "repeated",
                "Transactions repeated because their answer was lost",
                &self.repeated,
            ),
            ("replayed", "Answers that were given again", &self.replayed),
            ("running", "Calls that met a running attempt", &self.running),
            (
                "unknown",
                "Calls that met an attempt whose answer can't be had",
                &self.unknown,
            ),
            (
                "mismatched",
                "Calls whose key was used for another request",
                &self.mismatched,
            ),
            (
                "away",
                "Calls refused because the key-value service was away",
                &self.away,
            ),
            (
                "expired",
                "Claims that were not used in time",
                &self.expired,
            ),
        ];
        for (name, help, counter) in all {
            registry.register(format!("claim_{name}"), help, counter.clone());
        }
    }
}

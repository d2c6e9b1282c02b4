//! Counters of the claim keeper.

use prometheus_client::{metrics::counter::Counter, registry::Registry};

/// Counters of the claim keeper; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Claims that were acquired.
    pub taken: Counter,
    /// Claims that were taken over from an abandoned attempt.
    pub taken_over: Counter,
    /// Claims that were released.
    pub released: Counter,
    /// Claiming transactions that were sent.
    pub transactions: Counter,
    /// Transactions that were repeated because their answer was lost.
    pub repeated: Counter,
    /// Calls answered with the stored response of an earlier attempt.
    pub replayed: Counter,
    /// Calls whose claim was held by a running attempt.
    pub running: Counter,
    /// Calls whose claim was held by an attempt without an available response.
    pub unknown: Counter,
    /// Calls whose key was used for a different request.
    pub mismatched: Counter,
    /// Calls refused because the key-value service was unavailable.
    pub away: Counter,
    /// Claims held for too long before dispatch.
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

//! Counters of the configuration.

use prometheus_client::{
    metrics::{counter::Counter, gauge::Gauge},
    registry::Registry,
};

/// Counters of the configuration; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Generation in force.
    pub generation: Gauge,
    /// Configurations put in force.
    pub taken: Counter,
    /// Configurations ignored because their generation was not higher.
    pub passed_over: Counter,
    /// Configurations ignored because their text was invalid.
    pub invalid: Counter,
    /// Values of the configuration's key that could not be decoded.
    pub unreadable: Counter,
    /// Reads of the key-value service.
    pub reads: Counter,
    /// Reads that failed.
    pub failed_reads: Counter,
    /// Watches that were started.
    pub watches: Counter,
    /// Watches replaced because they had missed a change.
    pub silent_watches: Counter,
    /// Requests to peers for a newer configuration.
    pub fetches: Counter,
}

impl Counters {
    /// Registers the counters.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "configuration_generation",
            "Generation in force",
            self.generation.clone(),
        );
        let all = [
            ("taken", "Configurations put in force", &self.taken),
            (
                "passed_over",
                "Configurations passed over: generation not higher",
                &self.passed_over,
            ),
            (
                "invalid",
                "Configurations passed over: text invalid",
                &self.invalid,
            ),
            (
                "unreadable",
                "Values of the key that were not a configuration",
                &self.unreadable,
            ),
            ("reads", "Reads of the key-value service", &self.reads),
            ("failed_reads", "Reads that failed", &self.failed_reads),
            ("watches", "Watches that were started", &self.watches),
            (
                "silent_watches",
                "Watches replaced because they had missed a change",
                &self.silent_watches,
            ),
            ("fetches", "Requests to peers", &self.fetches),
        ];
        for (name, help, counter) in all {
            registry.register(format!("configuration_{name}"), help, counter.clone());
        }
    }
}

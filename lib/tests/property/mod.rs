//! Configuration shared by the property tests.

use proptest::{prelude::ProptestConfig, test_runner::RngSeed};

/// Seed of every property test.
const SEED: u64 = 1;

/// Fixes the seed, so that every run checks the same cases.
pub fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

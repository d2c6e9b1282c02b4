//! Randomized simulations of claims, checked against the history of actual
//! runs.

#[path = "../examples/claim_runs/simulation/mod.rs"]
mod simulation;

use simulation::{Outcomes, run_seed};

const FIRST_SEED: u64 = 0;
const SEEDS: u64 = 150;
/// Number of seeds that are run twice to compare the outcomes.
const REPEATED_SEEDS: u64 = 20;

#[test]
fn no_seed_violates_a_guarantee() {
    let mut outcomes = Outcomes::default();
    for seed in FIRST_SEED..FIRST_SEED + SEEDS {
        let history = run_seed(seed);
        assert!(
            history.violations.is_empty(),
            "seed {seed}: {:#?}",
            history.violations
        );
        outcomes.add(&history.outcomes);
    }
    println!("{SEEDS} seeds from {FIRST_SEED}: {outcomes:#?}");
    let expected_outcomes = [
        "run",
        "replay",
        "not run",
        "running",
        "unknown",
        "mismatch",
        "away",
        "taken over",
        "taken",
        "unconfirmed",
        "expired",
        "undone",
        "killed",
        "left while claiming",
        "left while queued",
    ];
    for outcome in expected_outcomes {
        assert!(
            outcomes.0.contains_key(outcome),
            "no attempt ended as {outcome:?}"
        );
    }
}

#[test]
fn a_seed_reproduces_the_same_run() {
    for seed in FIRST_SEED..FIRST_SEED + REPEATED_SEEDS {
        assert_eq!(
            run_seed(seed).outcomes,
            run_seed(seed).outcomes,
            "seed {seed}"
        );
    }
}

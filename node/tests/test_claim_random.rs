//! Random runs of claims, judged by a ledger of real runs.

#[path = "../examples/claim_runs/simulation/mod.rs"]
mod simulation;

use simulation::{Tally, run_seed};

const FIRST_SEED: u64 = 0;
const SEEDS: u64 = 150;
const REPEATED_SEEDS: u64 = 20;

#[test]
fn no_seed_breaks_a_promise() {
    let mut tally = Tally::default();
    for seed in FIRST_SEED..FIRST_SEED + SEEDS {
        let ledger = run_seed(seed);
        assert!(
            ledger.violations.is_empty(),
            "seed {seed}: {:#?}",
            ledger.violations
        );
        tally.add(&ledger.tally);
    }
    println!("{SEEDS} seeds from {FIRST_SEED}: {tally:#?}");
    let kinds = [
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
    for kind in kinds {
        assert!(tally.0.contains_key(kind), "no attempt ended as {kind:?}");
    }
}

#[test]
fn a_seed_gives_the_same_run_each_time() {
    for seed in FIRST_SEED..FIRST_SEED + REPEATED_SEEDS {
        assert_eq!(run_seed(seed).tally, run_seed(seed).tally, "seed {seed}");
    }
}

//! Runs the randomized claim simulation over many seeds.

mod simulation;

use argh::FromArgs;
use simulation::Outcomes;

/// Runs the randomized claim simulation over many seeds and prints violations
/// and the number of attempts by outcome.
#[derive(FromArgs)]
struct Arguments {
    /// number of seeds
    #[argh(option, default = "1000")]
    seeds: u64,

    /// first seed
    #[argh(option, default = "0")]
    first: u64,
}

fn main() -> eyre::Result<()> {
    let arguments: Arguments = argh::from_env();
    let mut outcomes = Outcomes::default();
    let mut failed = 0_u64;
    for seed in arguments.first..arguments.first + arguments.seeds {
        let history = simulation::run_seed(seed);
        outcomes.add(&history.outcomes);
        if history.violations.is_empty() {
            continue;
        }
        failed += 1;
        for violation in &history.violations {
            println!("seed {seed}: {violation}");
        }
    }
    for (outcome, count) in &outcomes.0 {
        println!("{outcome}: {count}");
    }
    println!("seeds: {}, failed: {failed}", arguments.seeds);
    eyre::ensure!(failed == 0, "{failed} seeds violated a guarantee");
    Ok(())
}

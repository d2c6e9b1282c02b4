//! Runs the random test of claims over many seeds.

mod simulation;

use argh::FromArgs;
use simulation::Tally;

/// Runs the random test of claims over many seeds and prints what it saw.
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
    let mut tally = Tally::default();
    let mut failed = 0_u64;
    for seed in arguments.first..arguments.first + arguments.seeds {
        let ledger = simulation::run_seed(seed);
        tally.add(&ledger.tally);
        if ledger.violations.is_empty() {
            continue;
        }
        failed += 1;
        for violation in &ledger.violations {
            println!("seed {seed}: {violation}");
        }
    }
    for (kind, count) in &tally.0 {
        println!("{kind}: {count}");
    }
    println!("seeds: {}, failed: {failed}", arguments.seeds);
    eyre::ensure!(failed == 0, "{failed} seeds broke a promise");
    Ok(())
}

//! Simulates memberships under random faults, one run per seed, and prints the
//! failed seeds and the greatest times of the others:
//! `cargo run --release -p dottereltally-lib --example membership_run -- --seeds 1000 --first 0`.

#[path = "../tests/cluster/mod.rs"]
mod cluster;

use std::{env, process::ExitCode};

use cluster::scenario;
use dottereltally_lib::membership::Settings;

/// Returns the value of a numeric option.
fn number(option: &str, default: u64) -> u64 {
    let mut arguments = env::args().skip_while(|argument| argument != option);
    let value = arguments.nth(1);
    value.map_or(default, |value| {
        value.parse().expect("the option takes a whole number")
    })
}

fn main() -> ExitCode {
    let first = number("--first", 0);
    let seeds = number("--seeds", 100);
    let mut failures = 0;
    let mut worst = scenario::Report::default();
    for seed in first..first + seeds {
        let report = match scenario::run(Settings::default(), seed) {
            Ok(report) => report,
            Err(failure) => {
                println!("seed {seed}: {failure}");
                failures += 1;
                continue;
            }
        };
        worst.nodes = worst.nodes.max(report.nodes);
        worst.agreed = worst.agreed.max(report.agreed);
        worst.dropped = worst.dropped.max(report.dropped);
        worst.joined = worst.joined.max(report.joined);
        worst.configured = worst.configured.max(report.configured);
        worst.false_drops += report.false_drops;
    }
    println!("{seeds} seeds from {first}, {failures} failed; worst of the others: {worst:?}");
    ExitCode::from(u8::from(failures > 0))
}

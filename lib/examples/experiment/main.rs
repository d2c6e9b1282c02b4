//! Compares admission policies in virtual time and prints a table.
//!
//! `cargo run --release --example experiment -- [CSV [SCENARIO [SEEDS [VARIANT]]]]`
#![allow(
    missing_docs,
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "an experiment, not an interface"
)]

mod driver;
mod fake;
mod scenario;

use std::{
    fmt::Write as _,
    fs,
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use dottereltally_lib::balance::Policy;

use crate::{
    driver::{Outcomes, Run},
    scenario::{SCENARIOS, Scenario},
};

/// The variants that are compared: name, policy, and whether requests carry
/// prefixes.
const VARIANTS: [(&str, Policy, bool); 5] = [
    ("round robin", Policy::RoundRobin, false),
    ("least load", Policy::LeastLoad, false),
    ("two choices", Policy::TwoChoices, false),
    ("two choices + affinity", Policy::TwoChoices, true),
    ("shares + affinity", Policy::Shares, true),
];

/// Number of worker threads.
const THREADS: usize = 4;

/// Names of the columns: fraction of good requests by kind, good work relative to
/// the offered work or the capacity, whichever is less, and further results.
const COLUMNS: [&str; 11] = [
    "tier 0",
    "tier 1",
    "tier 2",
    "tier 3",
    "app 0",
    "app 2",
    "goodput/bound",
    "wasted prefill",
    "p95 first token s",
    "refused",
    "violations",
];

/// Returns the values of one run, in the order of `COLUMNS`.
fn column_values(outcomes: &Outcomes) -> [f64; 11] {
    let ratio = |part: f64, whole: f64| if whole > 0.0 { part / whole } else { 1.0 };
    let tier = |tier: usize| ratio(outcomes.good[tier] as f64, outcomes.offered[tier] as f64);
    let bound = outcomes.offered_work.min(outcomes.capacity_work);
    let mut first_token = outcomes.first_token.clone();
    first_token.sort_by(f64::total_cmp);
    let p95 = first_token
        .get(first_token.len() * 95 / 100)
        .copied()
        .unwrap_or(f64::NAN);
    [
        tier(0),
        tier(1),
        tier(2),
        tier(3),
        tier(4),
        tier(5),
        ratio(outcomes.good_work, bound),
        ratio(outcomes.wasted as f64, outcomes.prefill as f64),
        p95,
        outcomes.refused as f64,
        outcomes.violations as f64,
    ]
}

/// Returns the median, the minimum and the maximum.
fn spread(mut values: Vec<f64>) -> (f64, f64, f64) {
    values.sort_by(f64::total_cmp);
    (
        values[values.len() / 2],
        values[0],
        values[values.len() - 1],
    )
}

/// A scenario and the variant that it runs with.
type Task = (Scenario, (&'static str, Policy, bool));

/// Runs every task with every seed on `THREADS` threads.
fn run_all(tasks: &[Task], seeds: u64) -> Vec<Vec<[f64; 11]>> {
    let rows = Mutex::new(vec![Vec::new(); tasks.len()]);
    let next = AtomicUsize::new(0);
    let work = || {
        loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            let Some((scenario, (_, policy, affinity))) = tasks.get(index) else {
                return;
            };
            let run = |seed| column_values(&Run::new(*scenario, *policy, *affinity, seed).finish());
            let row = (1..=seeds).map(run).collect();
            rows.lock().expect("no thread panics")[index] = row;
        }
    };
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(work);
        }
    });
    rows.into_inner().expect("no thread panics")
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let path = args.first().map_or("target/experiment.csv", String::as_str);
    let scenario_filter = args.get(1).map_or("", String::as_str);
    let seeds: u64 = args
        .get(2)
        .map_or(5, |seeds| seeds.parse().expect("a number of seeds"));
    let variant_filter = args.get(3).map_or("", String::as_str);
    let mut tasks = Vec::new();
    for scenario in SCENARIOS
        .iter()
        .filter(|scenario| scenario.name.contains(scenario_filter))
    {
        for variant in VARIANTS
            .into_iter()
            .filter(|(name, ..)| name.contains(variant_filter))
        {
            tasks.push((*scenario, variant));
        }
    }
    let rows = run_all(&tasks, seeds);
    let mut csv = String::from("scenario,way,column,median,least,greatest\n");
    println!("| scenario | way | {} |", COLUMNS.join(" | "));
    println!("| --- | --- |{}", " --- |".repeat(COLUMNS.len()));
    for ((scenario, (variant, ..)), runs) in tasks.iter().zip(&rows) {
        let mut line = format!("| {} | {variant} |", scenario.name);
        for (index, column) in COLUMNS.iter().enumerate() {
            let (median, least, greatest) = spread(runs.iter().map(|run| run[index]).collect());
            let digits = if index < 9 { 3 } else { 0 };
            let _ = write!(
                line,
                " {median:.digits$} ({least:.digits$}–{greatest:.digits$}) |"
            );
            let _ = writeln!(
                csv,
                "{},{variant},{column},{median},{least},{greatest}",
                scenario.name
            );
        }
        println!("{line}");
    }
    fs::write(path, csv).expect("the CSV can be written");
}

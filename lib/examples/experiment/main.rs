//! Compares admission policies in virtual time and prints a table.
//!
//! `cargo run --release --example experiment -- [CSV [SCENARIO [SEEDS [WAY]]]]`
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

/// The ways that are compared: policy, and whether prefixes are known.
const WAYS: [(&str, Policy, bool); 5] = [
    ("round robin", Policy::RoundRobin, false),
    ("least load", Policy::LeastLoad, false),
    ("two choices", Policy::TwoChoices, false),
    ("two choices + affinity", Policy::TwoChoices, true),
    ("shares + affinity", Policy::Shares, true),
];

/// Threads that run at a time.
const THREADS: usize = 4;

/// Names of the columns.
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

/// Returns the figures of one run, in the order of the columns.
fn figures(outcomes: &Outcomes) -> [f64; 11] {
    let ratio = |part: f64, whole: f64| if whole > 0.0 { part / whole } else { 1.0 };
    let tier = |tier: usize| ratio(outcomes.good[tier] as f64, outcomes.offered[tier] as f64);
    let bound = outcomes.offered_work.min(outcomes.capacity_work);
    let mut first = outcomes.first_token.clone();
    first.sort_by(f64::total_cmp);
    let p95 = first
        .get(first.len() * 95 / 100)
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

/// Returns the median, the least and the greatest value.
fn spread(mut values: Vec<f64>) -> (f64, f64, f64) {
    values.sort_by(f64::total_cmp);
    (
        values[values.len() / 2],
        values[0],
        values[values.len() - 1],
    )
}

/// A scenario and the way that it is run.
type Task = (Scenario, (&'static str, Policy, bool));

/// Runs all tasks with all seeds on a few threads.
fn run_all(tasks: &[Task], seeds: u64) -> Vec<Vec<[f64; 11]>> {
    let rows = Mutex::new(vec![Vec::new(); tasks.len()]);
    let next = AtomicUsize::new(0);
    let work = || {
        loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            let Some((scenario, (_, policy, affinity))) = tasks.get(index) else {
                return;
            };
            let run = |seed| figures(&Run::new(*scenario, *policy, *affinity, seed).finish());
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
    let wanted = args.get(1).map_or("", String::as_str);
    let seeds: u64 = args
        .get(2)
        .map_or(5, |seeds| seeds.parse().expect("a number of seeds"));
    let only = args.get(3).map_or("", String::as_str);
    let mut jobs = Vec::new();
    for scenario in SCENARIOS
        .iter()
        .filter(|scenario| scenario.name.contains(wanted))
    {
        for way in WAYS.into_iter().filter(|(name, ..)| name.contains(only)) {
            jobs.push((*scenario, way));
        }
    }
    let rows = run_all(&jobs, seeds);
    let mut csv = String::from("scenario,way,column,median,least,greatest\n");
    println!("| scenario | way | {} |", COLUMNS.join(" | "));
    println!("| --- | --- |{}", " --- |".repeat(COLUMNS.len()));
    for ((scenario, (way, ..)), runs) in jobs.iter().zip(&rows) {
        let mut line = format!("| {} | {way} |", scenario.name);
        for (column, title) in COLUMNS.iter().enumerate() {
            let (median, least, greatest) = spread(runs.iter().map(|run| run[column]).collect());
            let digits = if column < 9 { 3 } else { 0 };
            let _ = write!(
                line,
                " {median:.digits$} ({least:.digits$}–{greatest:.digits$}) |"
            );
            let _ = writeln!(
                csv,
                "{},{way},{title},{median},{least},{greatest}",
                scenario.name
            );
        }
        println!("{line}");
    }
    fs::write(path, csv).expect("the CSV can be written");
}

//! What really ran, against what callers were told.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

/// Time for which a key is promised to run at most once.
const PROMISE: Duration = Duration::from_hours(12);

/// Number of a key.
pub type Key = usize;

/// One run of a key.
#[derive(Clone, Debug)]
struct Run {
    at: Instant,
    answer: Vec<u8>,
}

/// How often each kind of end was seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally(pub BTreeMap<&'static str, u64>);

impl Tally {
    /// Adds the counts of another tally.
    pub fn add(&mut self, other: &Self) {
        for (kind, count) in &other.0 {
            *self.0.entry(kind).or_default() += count;
        }
    }
}

/// The ledger of one seed.
#[derive(Debug, Default)]
pub struct Ledger {
    runs: BTreeMap<Key, Vec<Run>>,
    /// Ends of attempts by kind.
    pub tally: Tally,
    /// Broken promises.
    pub violations: Vec<String>,
}

impl Ledger {
    /// Records a run; it must be the only one within the promise.
    pub fn run(&mut self, key: Key, answer: Vec<u8>) {
        let now = Instant::now();
        if let Some(last) = self.last(key, now) {
            let gap = now - last.at;
            self.violations
                .push(format!("key {key} ran again after {gap:?}"));
        }
        self.count("run");
        self.runs
            .entry(key)
            .or_default()
            .push(Run { at: now, answer });
    }

    /// Records a refusal that says "not run" of the time before `moment`.
    pub fn not_run(&mut self, key: Key, moment: Instant) {
        self.count("not run");
        if self.last(key, moment).is_some() {
            self.violations
                .push(format!("key {key} had run where \"not run\" was said"));
        }
    }

    /// Records an answer that was given again.
    pub fn replay(&mut self, key: Key, answer: &[u8]) {
        self.count("replay");
        let runs = self.runs.get(&key);
        let same = runs.is_some_and(|runs| runs.iter().any(|run| run.answer == answer));
        if !same {
            self.violations
                .push(format!("key {key} got an answer of no run of its own"));
        }
    }

    /// Counts an end that promises nothing.
    pub fn count(&mut self, kind: &'static str) {
        *self.tally.0.entry(kind).or_default() += 1;
    }

    /// Returns the last run before `moment` that the promise still covers.
    fn last(&self, key: Key, moment: Instant) -> Option<&Run> {
        let runs = self.runs.get(&key)?;
        runs.iter()
            .rev()
            .find(|run| run.at < moment && moment - run.at < PROMISE)
    }
}

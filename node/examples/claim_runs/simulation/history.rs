//! Checks what callers were told against what actually ran.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

/// Time for which a key is guaranteed to run at most once.
const GUARANTEE_PERIOD: Duration = Duration::from_hours(12);

/// Index of an idempotency key.
pub type Key = usize;

/// One run of a key.
#[derive(Clone, Debug)]
struct Run {
    /// When the run started.
    started: Instant,
    /// Body of its response.
    response: Vec<u8>,
}

/// Number of attempts by outcome.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcomes(pub BTreeMap<&'static str, u64>);

impl Outcomes {
    /// Adds the counts of other outcomes.
    pub fn add(&mut self, other: &Self) {
        for (outcome, count) in &other.0 {
            *self.0.entry(outcome).or_default() += count;
        }
    }
}

/// Runs, outcomes and violations of one seed.
#[derive(Debug, Default)]
pub struct History {
    /// Runs of each key, oldest first.
    runs: BTreeMap<Key, Vec<Run>>,
    /// Number of attempts by outcome.
    pub outcomes: Outcomes,
    /// Violated guarantees.
    pub violations: Vec<String>,
}

impl History {
    /// Records a run, and a violation if the key ran before within
    /// [`GUARANTEE_PERIOD`].
    pub fn run(&mut self, key: Key, response: Vec<u8>) {
        let now = Instant::now();
        if let Some(earlier) = self.last_run(key, now) {
            let gap = now - earlier.started;
            self.violations
                .push(format!("key {key} ran again after {gap:?}"));
        }
        self.count("run");
        self.runs.entry(key).or_default().push(Run {
            started: now,
            response,
        });
    }

    /// Records that a caller was told "not run", and a violation if the key ran
    /// before `moment`.
    pub fn not_run(&mut self, key: Key, moment: Instant) {
        self.count("not run");
        if self.last_run(key, moment).is_some() {
            self.violations
                .push(format!("key {key} had run where \"not run\" was said"));
        }
    }

    /// Records a replayed response, and a violation if no run of the key gave it.
    pub fn replay(&mut self, key: Key, response: &[u8]) {
        self.count("replay");
        let runs = self.runs.get(&key);
        let known = runs.is_some_and(|runs| runs.iter().any(|run| run.response == response));
        if !known {
            self.violations
                .push(format!("key {key} got an answer of no run of its own"));
        }
    }

    /// Counts an outcome that guarantees nothing to the caller.
    pub fn count(&mut self, outcome: &'static str) {
        *self.outcomes.0.entry(outcome).or_default() += 1;
    }

    /// Returns the last run before `moment`, unless it is longer ago than
    /// [`GUARANTEE_PERIOD`].
    fn last_run(&self, key: Key, moment: Instant) -> Option<&Run> {
        let runs = self.runs.get(&key)?;
        runs.iter()
            .rev()
            .find(|run| run.started < moment && moment - run.started < GUARANTEE_PERIOD)
    }
}

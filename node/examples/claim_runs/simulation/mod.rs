//! A simulation of several nodes that claim a few idempotency keys while the
//! key-value service and the network fail.
//!
//! All randomness is drawn from the seed and time is tokio's paused clock, so
//! that a seed always reproduces the same run.

mod attempt;
mod cluster;
mod history;
mod network;

use std::sync::Arc;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::{runtime, task::JoinSet, time};

use attempt::attempt;
use cluster::{Cluster, NODES, lock, node_name, random_long_pause, random_millis};

pub use history::{History, Outcomes};

/// Number of idempotency keys.
const KEYS: usize = 3;
/// Number of callers that use one key.
const CALLERS_PER_KEY: usize = 5;
/// Number of calls that one caller sends, one after another.
const SENDS_PER_CALLER: usize = 6;
/// Number of times that a fault is set or cleared.
const FAULT_CHANGES: usize = 25;

/// Randomly takes the service down and up, replaces processes and cuts nodes off.
///
/// At the end the service is up for all processes that are alive.
async fn inject_faults(cluster: Arc<Cluster>, mut random: SmallRng) {
    for _ in 0..FAULT_CHANGES {
        time::sleep(random_millis(&mut random, 50, 6_000)).await;
        let index = random.random_range(0..NODES);
        match random.random_range(0..9) {
            0 => {
                for process in lock(&cluster.processes).iter() {
                    process.store.set_down(true);
                }
            }
            1 => cluster.process(index).store.set_down(true),
            2 => cluster.replace(index, true, &mut random),
            3 => cluster.replace(index, false, &mut random),
            4 => cluster.network.route(&node_name(index), None),
            _ => {
                for process in lock(&cluster.processes).iter() {
                    process.store.set_down(false);
                }
            }
        }
    }
    for processes in [&cluster.processes, &cluster.superseded] {
        for process in lock(processes).iter() {
            process.store.set_down(false);
        }
    }
}

/// Sends calls with one key several times, each through a random node.
async fn run_caller(cluster: Arc<Cluster>, key: history::Key, mut random: SmallRng) {
    for _ in 0..SENDS_PER_CALLER {
        let pause = if random.random_bool(cluster.rates.pause) {
            random_long_pause(&mut random)
        } else if random.random_bool(0.3) {
            random_millis(&mut random, 0, 5)
        } else {
            random_millis(&mut random, 0, 8_000)
        };
        time::sleep(pause).await;
        let index = random.random_range(0..NODES);
        let process = cluster.process(index);
        let killed = Arc::clone(&process.killed);
        attempt(&cluster, process, key, &mut random).await;
        if *lock(&killed) {
            lock(&cluster.history).count("killed");
        }
    }
}

async fn simulate(seed: u64) -> History {
    let mut random = SmallRng::seed_from_u64(seed);
    let cluster = Arc::new(Cluster::new(&mut random));
    let mut tasks = JoinSet::new();
    tasks.spawn(inject_faults(
        Arc::clone(&cluster),
        SmallRng::from_rng(&mut random),
    ));
    for key in 0..KEYS {
        for _ in 0..CALLERS_PER_KEY {
            let random = SmallRng::from_rng(&mut random);
            tasks.spawn(run_caller(Arc::clone(&cluster), key, random));
        }
    }
    while let Some(result) = tasks.join_next().await {
        if let Err(error) = result {
            let mut history = lock(&cluster.history);
            history.violations.push(format!("assertion: {error}"));
        }
    }
    let mut history = std::mem::take(&mut *lock(&cluster.history));
    count_takeovers(&cluster, &mut history);
    history
}

fn count_takeovers(cluster: &Cluster, history: &mut History) {
    let mut total = *lock(&cluster.taken_over);
    for processes in [&cluster.processes, &cluster.superseded] {
        for process in lock(processes).iter() {
            total += process.keeper.counters().taken_over.get();
        }
    }
    *history.outcomes.0.entry("taken over").or_default() += total;
}

/// Simulates one seed and returns its history.
///
/// # Panics
///
/// Panics if no runtime can be built.
pub fn run_seed(seed: u64) -> History {
    let runtime = runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime can be built");
    runtime.block_on(simulate(seed))
}

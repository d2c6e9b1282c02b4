//! Several nodes claim few keys over one key-value service that fails.
//!
//! Everything that is random is drawn from the seed and time is tokio's paused
//! clock, so that a seed always gives the same run.

mod attempt;
mod ledger;
mod network;
mod world;

use std::sync::Arc;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::{runtime, task::JoinSet, time};

use attempt::attempt;
use world::{NODES, World, hours, lock, millis, name};

pub use ledger::{Ledger, Tally};

const KEYS: usize = 3;
const CALLERS: usize = 5;
const SENDS: usize = 6;
const DISTURBANCES: usize = 25;

/// Makes the world fail at random.
async fn disturb(world: Arc<World>, mut random: SmallRng) {
    for _ in 0..DISTURBANCES {
        time::sleep(millis(&mut random, 50, 6_000)).await;
        let index = random.random_range(0..NODES);
        match random.random_range(0..9) {
            0 => {
                for process in lock(&world.processes).iter() {
                    process.store.set_down(true);
                }
            }
            1 => world.process(index).store.set_down(true),
            2 => world.replace(index, true, &mut random),
            3 => world.replace(index, false, &mut random),
            4 => world.network.route(&name(index), None),
            _ => {
                for process in lock(&world.processes).iter() {
                    process.store.set_down(false);
                }
            }
        }
    }
    for processes in [&world.processes, &world.replaced] {
        for process in lock(processes).iter() {
            process.store.set_down(false);
        }
    }
}

/// Sends one key several times through any nodes.
async fn call(world: Arc<World>, key: ledger::Key, mut random: SmallRng) {
    for _ in 0..SENDS {
        let wait = if random.random_bool(world.rates.pause) {
            hours(&mut random)
        } else if random.random_bool(0.3) {
            millis(&mut random, 0, 5)
        } else {
            millis(&mut random, 0, 8_000)
        };
        time::sleep(wait).await;
        let index = random.random_range(0..NODES);
        let process = world.process(index);
        let dead = Arc::clone(&process.dead);
        attempt(&world, process, key, &mut random).await;
        if *lock(&dead) {
            lock(&world.ledger).count("killed");
        }
    }
}

async fn play(seed: u64) -> Ledger {
    let mut random = SmallRng::seed_from_u64(seed);
    let world = Arc::new(World::new(&mut random));
    let mut tasks = JoinSet::new();
    tasks.spawn(disturb(Arc::clone(&world), SmallRng::from_rng(&mut random)));
    for key in 0..KEYS {
        for _ in 0..CALLERS {
            let random = SmallRng::from_rng(&mut random);
            tasks.spawn(call(Arc::clone(&world), key, random));
        }
    }
    while let Some(result) = tasks.join_next().await {
        if let Err(error) = result {
            let mut ledger = lock(&world.ledger);
            ledger.violations.push(format!("assertion: {error}"));
        }
    }
    let mut ledger = std::mem::take(&mut *lock(&world.ledger));
    count_takeovers(&world, &mut ledger);
    ledger
}

fn count_takeovers(world: &World, ledger: &mut Ledger) {
    let mut total = *lock(&world.taken_over);
    for processes in [&world.processes, &world.replaced] {
        for process in lock(processes).iter() {
            total += process.keeper.counters().taken_over.get();
        }
    }
    *ledger.tally.0.entry("taken over").or_default() += total;
}

/// Runs one seed.
///
/// # Panics
///
/// Panics if no runtime can be built.
pub fn run_seed(seed: u64) -> Ledger {
    let runtime = runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime can be built");
    runtime.block_on(play(seed))
}

//! The simulated nodes, their key-value service and their network.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use dottereltally::{
    claim::{Keeper, Limits},
    replay::Attempts,
};
use dottereltally_lib::id;
use dottereltally_store::memory::{Call, Fault, Store};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{history::History, network::Network};

/// Number of nodes.
pub const NODES: usize = 4;

/// Upper bound of the delay of a call that succeeds.
const MAX_CALL_DELAY: Duration = Duration::from_millis(20);

/// Fault probabilities of one seed.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    /// Probability of each of the three kinds of fault in a call of the key-value
    /// service.
    pub call: f64,
    /// Probability that a message between nodes is lost.
    pub message: f64,
    /// Probability of a pause of up to 33 hours between the claim and the
    /// dispatch, and between two sends of a caller.
    pub pause: f64,
}

impl Rates {
    fn draw(random: &mut SmallRng) -> Self {
        let pick = |random: &mut SmallRng, choices: &[f64]| {
            let index = random.random_range(0..choices.len());
            choices[index]
        };
        Self {
            call: pick(random, &[0.0, 0.02, 0.1, 0.2, 0.28]),
            message: pick(random, &[0.0, 0.0, 0.05, 0.3]),
            pause: pick(random, &[0.0, 0.0, 0.0, 0.1]),
        }
    }
}

/// A process that runs under the name of a node.
#[derive(Clone)]
pub struct Process {
    pub keeper: Keeper<Store, Network>,
    pub store: Store,
    /// Set when the process is killed; its attempts check it and then stop.
    pub killed: Arc<Mutex<bool>>,
}

/// Nodes that share a key-value service and a network.
pub struct Cluster {
    pub service: Store,
    pub network: Network,
    pub rates: Rates,
    pub processes: Mutex<Vec<Process>>,
    /// Processes that were replaced under their name but keep running.
    pub superseded: Mutex<Vec<Process>>,
    /// Number of claims that processes had taken over before they were killed.
    pub taken_over: Mutex<u64>,
    pub history: Mutex<History>,
}

/// Locks a mutex, also if a panic has poisoned it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Draws a duration in whole milliseconds, at least `from` and below `to`.
pub fn random_millis(random: &mut SmallRng, from: u64, to: u64) -> Duration {
    Duration::from_millis(random.random_range(from..to))
}

/// Draws a pause of a minute to 33 hours.
pub fn random_long_pause(random: &mut SmallRng) -> Duration {
    Duration::from_mins(random.random_range(1..2_000))
}

/// Returns the name of a node.
pub fn node_name(index: usize) -> id::Node {
    id::Node::from(format!("entry-{index}"))
}

/// Returns a function that draws the fault of each call: one of three faults
/// with the probability `rate` each, or else a delay below [`MAX_CALL_DELAY`].
fn faults(mut random: SmallRng, rate: f64) -> impl FnMut(Call) -> Option<Fault> + Send + 'static {
    move |_| {
        let draw: f64 = random.random();
        let kind = draw / rate.max(f64::MIN_POSITIVE);
        if kind < 1.0 {
            return Some(Fault::Delayed(random_millis(&mut random, 10, 20_000)));
        }
        if kind < 2.0 {
            return Some(Fault::AnswerLost);
        }
        if kind < 3.0 {
            return Some(Fault::CallLost);
        }
        Some(Fault::Slow(
            random.random_range(Duration::ZERO..MAX_CALL_DELAY),
        ))
    }
}

impl Cluster {
    pub fn new(random: &mut SmallRng) -> Self {
        let rates = Rates::draw(random);
        let network = Network::new(SmallRng::from_rng(random), rates.message);
        let cluster = Self {
            service: Store::default(),
            network,
            rates,
            processes: Mutex::default(),
            superseded: Mutex::default(),
            taken_over: Mutex::default(),
            history: Mutex::default(),
        };
        for index in 0..NODES {
            let process = cluster.start(index, random);
            lock(&cluster.processes).push(process);
        }
        cluster
    }

    fn start(&self, index: usize, random: &mut SmallRng) -> Process {
        let store = self.service.connect();
        store.set_fault_script(faults(SmallRng::from_rng(random), self.rates.call));
        let attempts = Attempts::default();
        self.network
            .route(&node_name(index), Some(attempts.clone()));
        let keeper = Keeper::start(
            node_name(index),
            store.clone(),
            self.network.clone(),
            attempts,
            Limits::default(),
        );
        Process {
            keeper,
            store,
            killed: Arc::default(),
        }
    }

    pub fn process(&self, index: usize) -> Process {
        lock(&self.processes)[index].clone()
    }

    /// Kills a process: its key-value calls fail and its attempts stop.
    fn kill(process: &Process) {
        *lock(&process.killed) = true;
        process.store.set_down(true);
    }

    /// Starts a new process under the name of a node, and kills the old one or lets
    /// it keep running.
    pub fn replace(&self, index: usize, kill: bool, random: &mut SmallRng) {
        let new = self.start(index, random);
        let old = std::mem::replace(&mut lock(&self.processes)[index], new);
        if kill {
            Self::kill(&old);
            *lock(&self.taken_over) += old.keeper.counters().taken_over.get();
            return;
        }
        lock(&self.superseded).push(old);
    }
}

//! Workloads and faults of the experiment.

use dottereltally_lib::id;
use rand::{Rng, rngs::SmallRng};

use crate::fake::{BLOCK_TOKENS, PREFILL_FACTOR};

/// A kind of request.
pub struct Kind {
    pub service: &'static str,
    pub tier: u8,
    /// Tokens of the prompt prefix that all requests of a workspace share.
    pub shared: u64,
    /// Mean tokens of the part of the prompt that is unique to a request.
    pub unique: u64,
    /// Mean tokens of the answer.
    pub output: u64,
    /// Deadline of the answer in seconds.
    pub deadline: u64,
    /// Fraction of the offered work of its service.
    pub work_share: f64,
}

/// The kinds of both deployments; the lengths of answers differ by a factor of
/// up to a hundred.
pub const KINDS: [Kind; 6] = [
    kind("llm", 0, (1024, 128, 60), 8, 0.2),
    kind("llm", 1, (2048, 640, 2000), 120, 0.3),
    kind("llm", 2, (1536, 512, 250), 20, 0.25),
    kind("llm", 3, (512, 64, 20), 30, 0.25),
    kind("app", 0, (0, 0, 1), 2, 0.3),
    kind("app", 2, (0, 0, 1), 2, 0.7),
];

const fn kind(
    service: &'static str,
    tier: u8,
    (shared, unique, output): (u64, u64, u64),
    deadline: u64,
    work_share: f64,
) -> Kind {
    Kind {
        service,
        tier,
        shared,
        unique,
        output,
        deadline,
        work_share,
    }
}

impl Kind {
    /// Mean work per request in decoded tokens, with the shared prefix cached.
    pub fn mean_work(&self) -> f64 {
        work(self.unique, self.output)
    }
}

/// Work of an uncached prompt and an answer, in decoded tokens.
pub fn work(prompt: u64, output: u64) -> f64 {
    prompt as f64 / PREFILL_FACTOR + output as f64
}

/// Fraction of the requests that comes from each of the five workspaces.
const WORKSPACE_SHARES: [f64; 5] = [0.45, 0.3, 0.15, 0.07, 0.03];

/// Draws a workspace.
pub fn workspace(rng: &mut SmallRng) -> usize {
    let mut rest: f64 = rng.random();
    for (number, share) in WORKSPACE_SHARES.iter().enumerate() {
        rest -= share;
        if rest < 0.0 {
            return number;
        }
    }
    0
}

/// Draws a length in tokens with the given mean, between about half and twice the
/// mean.
pub fn length(rng: &mut SmallRng, mean: u64) -> u64 {
    let factor: f64 = 2f64.powf(rng.random_range(-1.0..1.0)) / 1.082;
    (mean as f64 * factor).round().max(1.0) as u64
}

/// Draws the hashes of the blocks of a prompt.
pub fn prefixes(rng: &mut SmallRng, kind: usize, workspace: usize, unique: u64) -> Vec<id::Prefix> {
    let group = (kind as u64 * 8 + workspace as u64 + 1) << 32;
    let mut prefixes = Vec::new();
    for block in 0..KINDS[kind].shared / BLOCK_TOKENS {
        prefixes.push(id::Prefix(group + block));
    }
    for _ in 0..unique / BLOCK_TOKENS {
        prefixes.push(id::Prefix(rng.random()));
    }
    prefixes
}

/// A fault that is injected into a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// The first engine runs at a tenth of its speed, to the end of the run.
    Straggler,
    /// A node is killed and does not return.
    NodeKilled,
    /// The third data centre is cut off from the others until `BURST_END`.
    DataCentreCut,
    /// The first engine loses its requests and its cache, and returns at
    /// `BURST_END`.
    EngineCrash,
}

/// A deployment, its workload and its fault.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub name: &'static str,
    pub nodes: usize,
    pub data_centres: usize,
    pub engines: usize,
    /// Offered work relative to the capacity of the engines.
    pub load: f64,
    /// The same between `FAULT_START` and `BURST_END`.
    pub burst: f64,
    pub fault: Fault,
}

/// Second at which the fault or the burst begins.
pub const FAULT_START: f64 = 45.0;

/// Second at which the burst ends, and a fault that does not last.
pub const BURST_END: f64 = 60.0;

/// All scenarios, the most important first.
pub const SCENARIOS: [Scenario; 10] = [
    small("steady 0.7", 0.7, 0.7, Fault::None),
    small("steady 1.0", 1.0, 1.0, Fault::None),
    small("steady 2.0", 2.0, 2.0, Fault::None),
    small("burst 0.7 to 3", 0.7, 3.0, Fault::None),
    small("straggler 0.7", 0.7, 0.7, Fault::Straggler),
    small("node killed 0.7", 0.7, 0.7, Fault::NodeKilled),
    small("data centre cut 0.7", 0.7, 0.7, Fault::DataCentreCut),
    small("engine crash 0.7", 0.7, 0.7, Fault::EngineCrash),
    large("large 1.0", 1.0),
    large("large 2.0", 2.0),
];

const fn small(name: &'static str, load: f64, burst: f64, fault: Fault) -> Scenario {
    Scenario {
        name,
        nodes: 8,
        data_centres: 3,
        engines: 20,
        load,
        burst,
        fault,
    }
}

const fn large(name: &'static str, load: f64) -> Scenario {
    Scenario {
        name,
        nodes: 50,
        data_centres: 1,
        engines: 86,
        load,
        burst: load,
        fault: Fault::None,
    }
}

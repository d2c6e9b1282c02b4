//! Scenario with random faults drawn from a seed, and the checks after them.

use std::time::Duration;

use dottereltally_lib::membership::Settings;

use super::{Cluster, Network};

/// Number of faults per run.
const FAULT_COUNT: usize = 40;
/// Maximum time between two faults, in milliseconds.
const MAX_GAP_MS: usize = 3000;
/// Time limit for all nodes to agree once the faults have ended.
pub const AGREE_LIMIT: Duration = Duration::from_secs(30);
/// Time limit for a killed node to be dropped everywhere, 16 periods.
pub const DROP_LIMIT: Duration = Duration::from_secs(8);
/// Time limit for a leaving node to be dropped everywhere, six periods.
pub const LEAVE_LIMIT: Duration = Duration::from_secs(3);
/// Time limit for a generation and a fingerprint to reach every node.
pub const DISSEMINATION_LIMIT: Duration = Duration::from_secs(3);
/// Time for late heartbeats to arrive and for the suspicions raised
/// during the faults to end: three seconds each.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// Time that agreement has to last.
const STABLE_TIME: Duration = Duration::from_mins(1);
/// Validity of fingerprints.
const FINGERPRINT_VALIDITY: Duration = Duration::from_mins(2);

/// Results of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Number of nodes.
    pub nodes: usize,
    /// Time to agree after the faults.
    pub agreed: Duration,
    /// Time for a killed node to be dropped everywhere.
    pub dropped: Duration,
    /// Time for its replacement to be live everywhere.
    pub joined: Duration,
    /// Time for a generation to reach every node.
    pub configured: Duration,
    /// Number of times that a running, reachable process was dropped during the
    /// faults.
    pub false_drops: u64,
}

/// Runs the scenario of one seed.
///
/// # Errors
///
/// Fails with a description of the first check that failed.
pub fn run(settings: Settings, seed: u64) -> Result<Report, String> {
    let mut cluster = Cluster::empty(settings, seed, |_| 0);
    let nodes = 3 + cluster.random(22);
    for index in 0..nodes {
        cluster.add(index);
    }
    cluster.network = random_network(&mut cluster);
    for _ in 0..FAULT_COUNT {
        inject_fault(&mut cluster);
        let gap = cluster.random(MAX_GAP_MS) as u64;
        cluster.run(Duration::from_millis(gap));
    }
    let mut report = Report {
        nodes,
        false_drops: cluster.counts.false_drops,
        ..Report::default()
    };
    end_faults(&mut cluster);
    report.agreed = await_agreement(&mut cluster, "after the faults")?;
    cluster.run(SETTLE_TIME);
    await_agreement(
        &mut cluster,
        "once late heartbeats and suspicions had ended",
    )?;
    check_stability(&mut cluster)?;
    report.configured = check_dissemination(&mut cluster)?;
    let victim = cluster.random(nodes);
    cluster.kill(victim);
    report.dropped = cluster
        .run_until(DROP_LIMIT, |cluster| cluster.is_dropped(victim))
        .ok_or("a killed node was not dropped in time")?;
    cluster.restart(victim, true);
    report.joined = await_agreement(&mut cluster, "after a restart")?;
    let leaver = cluster.random(nodes);
    cluster.leave(leaver);
    cluster
        .run_until(LEAVE_LIMIT, |cluster| cluster.is_dropped(leaver))
        .ok_or("a leaving node was not dropped in time")?;
    cluster.kill(leaver);
    check_stability(&mut cluster)?;
    Ok(report)
}

/// Draws the behaviour of the network.
fn random_network(cluster: &mut Cluster) -> Network {
    Network {
        loss: random_probability(cluster, 10),
        duplicate: random_probability(cluster, 10),
        late: random_probability(cluster, 5),
        delay: 1..(2 + cluster.random(50) as u64),
    }
}

/// Draws a probability below `bound` percent.
fn random_probability(cluster: &mut Cluster, bound: usize) -> f64 {
    let drawn = u32::try_from(cluster.random(bound)).unwrap_or(u32::MAX);
    f64::from(drawn) / 100.0
}

/// Injects one random fault.
fn inject_fault(cluster: &mut Cluster) {
    let node = cluster.random(cluster.len());
    match cluster.random(9) {
        0 => cluster.kill(node),
        1 => cluster.restart(node, true),
        2 => cluster.restart(node, false),
        3 => cluster.pause(node),
        4 => cluster.resume(node),
        5 => cluster.partition(&["plovdiv"]),
        6 => cluster.partition(&["haskovo", "stara-zagora"]),
        7 => cluster.partition(&[]),
        _ => {
            cluster.leave(node);
            cluster.run(Duration::from_millis(500));
            cluster.kill(node);
        }
    }
}

/// Ends every fault and starts a process on each host without one.
fn end_faults(cluster: &mut Cluster) {
    cluster.partition(&[]);
    cluster.network = Network::default();
    for node in 0..cluster.len() {
        cluster.resume(node);
        if !cluster.is_up(node) {
            cluster.restart(node, true);
        }
    }
    cluster.refresh_host_list();
}

/// Waits until all nodes agree.
fn await_agreement(cluster: &mut Cluster, when: &str) -> Result<Duration, String> {
    if let Some(took) = cluster.run_until(AGREE_LIMIT, Cluster::agrees) {
        return Ok(took);
    }
    let mut disagreements = Vec::new();
    for node in 0..cluster.len() {
        disagreements.extend(cluster.disagreement(node));
    }
    Err(format!("no agreement {when}: {}", disagreements.join("; ")))
}

/// Checks that agreement lasts and that no live node is dropped.
fn check_stability(cluster: &mut Cluster) -> Result<(), String> {
    let before = cluster.counts.false_drops;
    cluster.run(STABLE_TIME);
    if cluster.counts.false_drops != before {
        return Err("a live node was dropped without a fault".to_owned());
    }
    if !cluster.agrees() {
        return Err("agreement did not last".to_owned());
    }
    Ok(())
}

/// Checks that a generation and a fingerprint reach every node.
fn check_dissemination(cluster: &mut Cluster) -> Result<Duration, String> {
    let source = cluster.random(cluster.len());
    cluster.configure(source, 1);
    cluster.gossip_fingerprint(source, 7, FINGERPRINT_VALIDITY);
    let took = cluster
        .run_until(DISSEMINATION_LIMIT, |cluster| {
            cluster.is_configured(1) && cluster.is_fingerprint_known(source, 7)
        })
        .ok_or("an update did not reach every node in time")?;
    Ok(took)
}

//! Scenario with random faults drawn from a seed, and the checks after them.

use std::time::Duration;

use dottereltally_lib::membership::Settings;

use super::{Fleet, Network};

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
/// Time for late heartbeats of the faults to arrive and for the suspicions raised
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
    /// Times that a running, reachable process was dropped during the faults.
    pub false_drops: u64,
}

/// Runs the scenario of one seed.
///
/// # Errors
///
/// Fails with a description of the first check that failed.
pub fn run(settings: Settings, seed: u64) -> Result<Report, String> {
    let mut fleet = Fleet::empty(settings, seed, |_| 0);
    let nodes = 3 + fleet.random(22);
    for index in 0..nodes {
        fleet.add(index);
    }
    fleet.network = random_network(&mut fleet);
    for _ in 0..FAULT_COUNT {
        inject_fault(&mut fleet);
        let gap = fleet.random(MAX_GAP_MS) as u64;
        fleet.run(Duration::from_millis(gap));
    }
    let mut report = Report {
        nodes,
        false_drops: fleet.counts.false_drops,
        ..Report::default()
    };
    end_faults(&mut fleet);
    report.agreed = await_agreement(&mut fleet, "after the faults")?;
    fleet.run(SETTLE_TIME);
    await_agreement(&mut fleet, "once late heartbeats and suspicions had ended")?;
    check_stability(&mut fleet)?;
    report.configured = check_dissemination(&mut fleet)?;
    let victim = fleet.random(nodes);
    fleet.kill(victim);
    report.dropped = fleet
        .run_until(DROP_LIMIT, |fleet| fleet.is_dropped(victim))
        .ok_or("a killed node was not dropped in time")?;
    fleet.restart(victim, true);
    report.joined = await_agreement(&mut fleet, "after a restart")?;
    let leaver = fleet.random(nodes);
    fleet.leave(leaver);
    fleet
        .run_until(LEAVE_LIMIT, |fleet| fleet.is_dropped(leaver))
        .ok_or("a leaving node was not dropped in time")?;
    fleet.kill(leaver);
    check_stability(&mut fleet)?;
    Ok(report)
}

/// Draws the behaviour of the network.
fn random_network(fleet: &mut Fleet) -> Network {
    Network {
        loss: random_probability(fleet, 10),
        duplicate: random_probability(fleet, 10),
        late: random_probability(fleet, 5),
        delay: 1..(2 + fleet.random(50) as u64),
    }
}

/// Draws a probability below `bound` percent.
fn random_probability(fleet: &mut Fleet, bound: usize) -> f64 {
    let drawn = u32::try_from(fleet.random(bound)).unwrap_or(u32::MAX);
    f64::from(drawn) / 100.0
}

/// Injects one random fault.
fn inject_fault(fleet: &mut Fleet) {
    let node = fleet.random(fleet.len());
    match fleet.random(9) {
        0 => fleet.kill(node),
        1 => fleet.restart(node, true),
        2 => fleet.restart(node, false),
        3 => fleet.pause(node),
        4 => fleet.resume(node),
        5 => fleet.cut(&["plovdiv"]),
        6 => fleet.cut(&["haskovo", "stara-zagora"]),
        7 => fleet.cut(&[]),
        _ => {
            fleet.leave(node);
            fleet.run(Duration::from_millis(500));
            fleet.kill(node);
        }
    }
}

/// Ends every fault and starts a process on each host without one.
fn end_faults(fleet: &mut Fleet) {
    fleet.cut(&[]);
    fleet.network = Network::default();
    for node in 0..fleet.len() {
        fleet.resume(node);
        if !fleet.is_up(node) {
            fleet.restart(node, true);
        }
    }
    fleet.refresh_host_list();
}

/// Waits until all nodes agree.
fn await_agreement(fleet: &mut Fleet, when: &str) -> Result<Duration, String> {
    if let Some(took) = fleet.run_until(AGREE_LIMIT, Fleet::agrees) {
        return Ok(took);
    }
    let mut disagreements = Vec::new();
    for node in 0..fleet.len() {
        disagreements.extend(fleet.disagreement(node));
    }
    Err(format!("no agreement {when}: {}", disagreements.join("; ")))
}

/// Checks that agreement lasts and that no live node is dropped.
fn check_stability(fleet: &mut Fleet) -> Result<(), String> {
    let before = fleet.counts.false_drops;
    fleet.run(STABLE_TIME);
    if fleet.counts.false_drops != before {
        return Err("a live node was dropped without a fault".to_owned());
    }
    if !fleet.agrees() {
        return Err("agreement did not last".to_owned());
    }
    Ok(())
}

/// Checks that a generation and a fingerprint reach every node.
fn check_dissemination(fleet: &mut Fleet) -> Result<Duration, String> {
    let source = fleet.random(fleet.len());
    fleet.configure(source, 1);
    fleet.quarantine(source, 7, FINGERPRINT_VALIDITY);
    let took = fleet
        .run_until(DISSEMINATION_LIMIT, |fleet| {
            fleet.is_configured(1) && fleet.is_quarantined(source, 7)
        })
        .ok_or("an update did not reach every node in time")?;
    Ok(took)
}

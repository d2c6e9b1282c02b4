//! Random faults drawn from a seed, and what must hold after them.

use std::time::Duration;

use dottereltally_lib::membership::Settings;

use super::{Fleet, Network};

/// Faults of one run.
const FAULTS: usize = 40;
/// Longest time between two faults, milliseconds.
const MAX_GAP_MS: usize = 3000;
/// Time for all nodes to agree once the faults are over.
pub const AGREE_LIMIT: Duration = Duration::from_secs(30);
/// Time for a killed node to be dropped everywhere, 16 periods.
pub const DROP_LIMIT: Duration = Duration::from_secs(8);
/// Time for a leaving node to be dropped everywhere, six periods.
pub const LEAVE_LIMIT: Duration = Duration::from_secs(3);
/// Time for a generation and a fingerprint to reach every node.
pub const NEWS_LIMIT: Duration = Duration::from_secs(3);
/// Time for late beats to arrive and for suspicions to end that were raised
/// during the faults: three seconds each.
const RESIDUE: Duration = Duration::from_secs(6);
/// Time that agreement has to last.
const CALM: Duration = Duration::from_mins(1);
/// Validity of fingerprints.
const VALIDITY: Duration = Duration::from_mins(2);

/// What one run has shown.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Nodes of the run.
    pub nodes: usize,
    /// Time to agree after the faults.
    pub agreed: Duration,
    /// Time for a killed node to be dropped everywhere.
    pub dropped: Duration,
    /// Time for its successor to be live everywhere.
    pub joined: Duration,
    /// Time for a generation to reach every node.
    pub configured: Duration,
    /// Times that a running, reachable process was dropped during the faults.
    pub false_drops: u64,
}

/// Runs the faults of one seed and the checks after them.
///
/// # Errors
///
/// Fails with what did not hold.
pub fn run(settings: Settings, seed: u64) -> Result<Report, String> {
    let mut fleet = Fleet::empty(settings, seed, |_| 0);
    let nodes = 3 + fleet.random(22);
    for index in 0..nodes {
        fleet.add(index);
    }
    fleet.network = noise(&mut fleet);
    for _ in 0..FAULTS {
        disturb(&mut fleet);
        let gap = fleet.random(MAX_GAP_MS) as u64;
        fleet.run(Duration::from_millis(gap));
    }
    let mut report = Report {
        nodes,
        false_drops: fleet.counts.false_drops,
        ..Report::default()
    };
    calm(&mut fleet);
    report.agreed = agree(&mut fleet, "after the faults")?;
    fleet.run(RESIDUE);
    agree(&mut fleet, "once late beats and suspicions had ended")?;
    keep(&mut fleet)?;
    report.configured = spread(&mut fleet)?;
    let victim = fleet.random(nodes);
    fleet.kill(victim);
    report.dropped = fleet
        .run_until(DROP_LIMIT, |fleet| fleet.is_dropped(victim))
        .ok_or("a killed node was not dropped in time")?;
    fleet.restart(victim, true);
    report.joined = agree(&mut fleet, "after a restart")?;
    let leaver = fleet.random(nodes);
    fleet.leave(leaver);
    fleet
        .run_until(LEAVE_LIMIT, |fleet| fleet.is_dropped(leaver))
        .ok_or("a leaving node was not dropped in time")?;
    fleet.kill(leaver);
    keep(&mut fleet)?;
    Ok(report)
}

/// Draws how bad the network is.
fn noise(fleet: &mut Fleet) -> Network {
    Network {
        loss: percent(fleet, 10),
        duplicate: percent(fleet, 10),
        late: percent(fleet, 5),
        delay: 1..(2 + fleet.random(50) as u64),
    }
}

/// Draws a chance below `bound` percent.
fn percent(fleet: &mut Fleet, bound: usize) -> f64 {
    let drawn = u32::try_from(fleet.random(bound)).unwrap_or(u32::MAX);
    f64::from(drawn) / 100.0
}

/// Causes one random fault.
fn disturb(fleet: &mut Fleet) {
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

/// Ends every fault; hosts without a process get one.
fn calm(fleet: &mut Fleet) {
    fleet.cut(&[]);
    fleet.network = Network::default();
    for node in 0..fleet.len() {
        fleet.resume(node);
        if !fleet.is_up(node) {
            fleet.restart(node, true);
        }
    }
    fleet.catch_up();
}

/// Waits until all nodes agree.
fn agree(fleet: &mut Fleet, when: &str) -> Result<Duration, String> {
    if let Some(took) = fleet.run_until(AGREE_LIMIT, Fleet::agrees) {
        return Ok(took);
    }
    let mut wrong = Vec::new();
    for node in 0..fleet.len() {
        wrong.extend(fleet.disagreement(node));
    }
    Err(format!("no agreement {when}: {}", wrong.join("; ")))
}

/// Checks that agreement lasts: nobody is dropped and nobody comes back.
fn keep(fleet: &mut Fleet) -> Result<(), String> {
    let before = fleet.counts.false_drops;
    fleet.run(CALM);
    if fleet.counts.false_drops != before {
        return Err("a live node was dropped while nothing was wrong".to_owned());
    }
    if !fleet.agrees() {
        return Err("agreement did not last".to_owned());
    }
    Ok(())
}

/// Checks that a generation and a fingerprint reach every node.
fn spread(fleet: &mut Fleet) -> Result<Duration, String> {
    let source = fleet.random(fleet.len());
    fleet.configure(source, 1);
    fleet.quarantine(source, 7, VALIDITY);
    let took = fleet
        .run_until(NEWS_LIMIT, |fleet| {
            fleet.is_configured(1) && fleet.is_quarantined(source, 7)
        })
        .ok_or("an update did not reach every node in time")?;
    Ok(took)
}

//! Examines endpoints at which requests were lost: whether their processes live.

use std::{io, sync::Arc, time::Duration};

use dottereltally_lib::{
    crash::Finding,
    endpoint::{Record, Standing},
    id,
};
use tokio::{sync::mpsc, task::JoinSet, time::sleep};

use crate::{chain::Chain, crashes::Target, dialect::Dialect, logging::millis, probe};

/// Time between two questions to an endpoint that did not respond.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Questions to an endpoint that does not respond.
const MAX_QUESTIONS: u32 = 2;

/// Other endpoints that are asked whether their data centre can be reached.
const MAX_WITNESSES: usize = 2;

/// Most endpoints that are examined at once.
const MAX_EXAMINATIONS: usize = 64;

/// Why an endpoint is not asked.
const PAUSED: &str = "it wants no requests for a while";

/// Examines each endpoint that is received; ends with the channel.
pub async fn run<D: Dialect>(chain: Arc<Chain<D>>, mut targets: mpsc::UnboundedReceiver<Target>) {
    let mut examinations = JoinSet::new();
    loop {
        tokio::select! {
            target = targets.recv(), if examinations.len() < MAX_EXAMINATIONS => {
                let Some(target) = target else {
                    return;
                };
                examinations.spawn(examine_until_settled(Arc::clone(&chain), target));
            }
            Some(ended) = examinations.join_next() => {
                if let Err(error) = ended {
                    tracing::error!(%error, "examination of an endpoint failed");
                }
            }
        }
    }
}

async fn examine_until_settled<D: Dialect>(chain: Arc<Chain<D>>, mut target: Target) {
    loop {
        let started = chain.clock.now();
        let (finding, cause) = examine(&chain, &target).await;
        tracing::info!(
            endpoint = %target.endpoint,
            address = target.address,
            %finding,
            cause,
            took_ms = millis(chain.clock.now().since(started)),
            "endpoint examined after a lost request"
        );
        if !chain.crashes.conclude(&target, started, finding) {
            return;
        }
        // What was heard before does not speak for the later losses.
        target.lost = chain.clock.now();
    }
}

/// Finds out whether an endpoint's process lives; returns the cause with the
/// finding.
async fn examine<D: Dialect>(chain: &Chain<D>, target: &Target) -> (Finding, String) {
    let standing = chain
        .admission
        .read(|dispatcher| dispatcher.standing(&target.endpoint));
    if standing == Some(Standing::Leaving) {
        return (Finding::Leaving, String::new());
    }
    let started = chain.clock.now();
    if is_paused(chain, &target.endpoint) {
        return (Finding::Unreachable, PAUSED.to_owned());
    }
    let mut cause = String::new();
    for question in 0..MAX_QUESTIONS {
        if question > 0 {
            sleep(RETRY_DELAY).await;
            if is_paused(chain, &target.endpoint) {
                return (Finding::Unreachable, PAUSED.to_owned());
            }
        }
        let asking = probe::health(chain, &target.endpoint, &target.address, &target.service);
        match asking.await {
            Ok(named) if named.as_ref().is_none_or(|named| *named == target.endpoint) => {
                return (Finding::Alive, String::new());
            }
            Ok(_) => return (Finding::Dead, "another endpoint answers".to_owned()),
            // An endpoint that is not listed any more may have ended as planned.
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                let finding = if standing.is_some() {
                    Finding::Dead
                } else {
                    Finding::Silent
                };
                return (finding, error.to_string());
            }
            Err(error) => cause = error.to_string(),
        }
    }
    let (heard, data_centre_heard) = chain.crashes.read(|detector, _| {
        let heard = detector.is_heard_since(&target.endpoint, target.lost);
        let data_centre = detector.is_data_centre_heard_since(&target.data_centre, started);
        (heard, data_centre)
    });
    if heard {
        return (Finding::Alive, cause);
    }
    if data_centre_heard || has_witness(chain, target).await {
        return (Finding::Silent, cause);
    }
    (Finding::Unreachable, cause)
}

/// Returns whether an endpoint wants no requests of this node now.
fn is_paused<D>(chain: &Chain<D>, endpoint: &id::Endpoint) -> bool {
    let now = chain.clock.now();
    chain
        .admission
        .read(|dispatcher| dispatcher.is_paused(now, endpoint))
}

/// Returns whether another endpoint of the same data centre responds.
async fn has_witness<D: Dialect>(chain: &Chain<D>, target: &Target) -> bool {
    let others = chain
        .admission
        .read(|dispatcher| dispatcher.live_endpoints(&target.data_centre));
    let is_candidate = |other: &Record| {
        let dead = chain
            .crashes
            .read(|detector, _| detector.is_dead(&other.id));
        other.id != target.endpoint && !dead && !is_paused(chain, &other.id)
    };
    for other in others.into_iter().filter(is_candidate).take(MAX_WITNESSES) {
        let asking = probe::health(chain, &other.id, &other.address, &other.service);
        if asking.await.is_ok() {
            return true;
        }
    }
    false
}

//! Writes the records of roll-outs.

use std::time::Duration;

use dottereltally_lib::{
    id,
    rollout::{Decision, Step},
    time,
};
use tokio::time::{MissedTickBehavior, interval};

use super::{Handle, Rollout};
use crate::{
    directory::{Replacement, Source},
    metrics::Metrics,
};

/// Interval at which roll-outs are decided on.
const TICK: Duration = Duration::from_millis(100);

/// Time by which each place among the nodes that write delays a write: a write and the read
/// of it by the next node take less.
const RANK_DELAY: Duration = Duration::from_millis(700);

/// Largest place that delays further: a record is due within seconds also where hundreds of
/// nodes write.
const MAX_RANK: u32 = 8;

/// Pause after a write that did not replace the record; one that did ends it.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time for which a record of the source may be behind the one in force before it is written
/// again: a poll of 1.5 s and a write of 0.5 s.
const REPEAT_DELAY: Duration = Duration::from_secs(2);

/// What is being written of one roll-out.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Progress {
    /// Step in the source that is to be replaced, and since when.
    wanted: Option<(Step, time::Instant)>,
    is_writing: bool,
    /// No write begins before.
    not_before: time::Instant,
}

impl Progress {
    /// Records the end of a write.
    pub(super) fn finish(&mut self, now: time::Instant) {
        self.is_writing = false;
        self.not_before = now + RETRY_DELAY;
    }
}

impl Rollout {
    /// Returns the record to write now, if one is due for the node at this place.
    pub(super) fn next_write(
        &mut self,
        now: time::Instant,
        service: &id::Service,
        rank: u32,
        (decision, lagging): (Decision, &[id::Node]),
    ) -> Option<Replacement> {
        let order = self.order.as_ref()?.revision;
        let stored = self.stored.filter(|stored| stored.order == order);
        let stored_step = stored.map_or_else(Step::default, |stored| stored.step);
        let (state, cause, delay) = match decision {
            Decision::Write(state, reason) => (state, reason.to_string(), Duration::ZERO),
            Decision::NoChange if stored_step < self.step() => {
                let known = self.known.as_ref()?;
                let mut state = known.state.clone();
                state.elapsed += now.since(known.since);
                let cause = "the key-value service has an earlier step".to_owned();
                (state, cause, REPEAT_DELAY)
            }
            Decision::NoChange => {
                self.writing.wanted = None;
                return None;
            }
        };
        let since = match self.writing.wanted {
            Some((step, since)) if step == state.step => since,
            _ => now,
        };
        self.writing.wanted = Some((state.step, since));
        let due = since + delay + RANK_DELAY * rank.min(MAX_RANK);
        if self.writing.is_writing || now < due.max(self.writing.not_before) {
            return None;
        }
        self.writing.is_writing = true;
        tracing::info!(
            %service,
            target = %state.target,
            step = state.step.0,
            phase = %state.phase,
            weight = %state.weight,
            elapsed_ms = crate::logging::millis(state.elapsed),
            rank,
            cause,
            lagging = lagging_names(lagging),
            "step of a roll-out is decided"
        );
        Some(Replacement {
            service: service.clone(),
            state,
            previous: self.stored.map(|stored| stored.revision),
            order,
        })
    }
}

/// Returns the names of nodes at which an earlier step is in force; `None` if there are none.
fn lagging_names(nodes: &[id::Node]) -> Option<String> {
    let names: Vec<&str> = nodes.iter().map(id::Node::as_str).collect();
    (!names.is_empty()).then(|| names.join(","))
}

/// Decides on roll-outs and writes their records; never returns.
pub async fn run<S: Source>(handle: Handle, source: S, metrics: Metrics) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for replacement in handle.evaluate() {
            let (handle, source, metrics) = (handle.clone(), source.clone(), metrics.clone());
            tokio::spawn(async move { write(&handle, &source, &metrics, &replacement).await });
        }
    }
}

async fn write<S: Source>(
    handle: &Handle,
    source: &S,
    metrics: &Metrics,
    replacement: &Replacement,
) {
    metrics.store_calls.inc();
    let written = source.write_record(replacement).await;
    handle.finish_write(&replacement.service);
    match written {
        Ok(found) => {
            let is_own = found
                .as_ref()
                .is_some_and(|found| found.state == replacement.state);
            tracing::info!(
                service = %replacement.service,
                step = replacement.step().0,
                found = found.as_ref().map(|found| found.state.step.0),
                is_own,
                "record of a roll-out written, or that of another node read"
            );
            handle.record_found(&replacement.service, found.as_ref());
        }
        Err(error) => {
            metrics.store_failures.inc();
            tracing::info!(
                service = %replacement.service,
                step = replacement.step().0,
                %error,
                "record of a roll-out not written; retrying"
            );
        }
    }
}

//! Other nodes that show what a node knows of the directory to be current.
//!
//! A witness goes on reading the source, and reports which endpoints changed in heartbeats that
//! follow each other closely enough for none of these reports to be missed.

use std::{collections::BTreeMap, time::Duration};

use dottereltally_lib::{era::Era, exchange::View, id};
use tokio::time::Instant;

use crate::listing;

/// Time in which what another node reported is applied.
const APPLY_TIME: Duration = Duration::from_millis(500);

/// Time without a sign of life of this process after which it was suspended.
const SUSPENSION: Duration = Duration::from_secs(1);

/// Time after a suspension in which datagrams may still be read that arrived during it.
const BACKLOG_TIME: Duration = Duration::from_millis(500);

/// Another node that reads the source and reports what changed.
#[derive(Clone, Copy, Debug)]
struct Witness {
    /// Its process.
    process: u64,
    /// Era of the source in its last read.
    era: Era,
    /// Time of a read after which no report of it was missed.
    covered_since: Instant,
    /// When it was heard last.
    heard: Instant,
    /// Number of its last read, and when that was sent.
    read: (u64, Instant),
}

/// The other nodes that read the source.
#[derive(Clone, Debug, Default)]
pub struct Witnesses {
    by_node: BTreeMap<id::Node, Witness>,
}

impl Witnesses {
    /// Records what a process of a node read, and that all its reports were received with it.
    pub fn record(&mut self, now: Instant, node: &id::Node, process: u64, view: &View) {
        self.by_node
            .retain(|_, witness| now - witness.heard < listing::REPORT_TIME);
        let Some(read_at) = now.checked_sub(view.age) else {
            self.remove(node);
            return;
        };
        let known = self.by_node.get(node);
        let known = known.filter(|known| known.process == process && known.era == view.era);
        // Only the first report of a read counts, as a later one may come from a machine that
        // was suspended.
        let known_read = known.map(|known| known.read);
        let read = known_read.filter(|(number, _)| *number >= view.number);
        let witness = Witness {
            process,
            era: view.era,
            covered_since: known.map_or(read_at, |known| known.covered_since),
            heard: now,
            read: read.unwrap_or((view.number, read_at)),
        };
        self.by_node.insert(node.clone(), witness);
    }

    /// Forgets a node, as reports of it may have been missed.
    pub fn remove(&mut self, node: &id::Node) {
        self.by_node.remove(node);
    }

    /// Returns the time since the last read of a witness that has reported all changes to what
    /// this node read at a time, in an era, until these reports are applied; `None` if there is
    /// none.
    #[must_use]
    pub fn age(&self, now: Instant, era: Era, read_at: Instant) -> Option<Duration> {
        let mut newest = None;
        for witness in self.by_node.values() {
            if witness.era == era && witness.covered_since <= read_at {
                newest = newest.max(Some(witness.read.1));
            }
        }
        Some(now - newest? + APPLY_TIME)
    }
}

/// Whether datagrams are read when they arrive. The age that they state counts from then.
#[derive(Clone, Copy, Debug, Default)]
pub struct Liveness {
    /// When this process last showed that it runs; `None` if it never did.
    seen: Option<Instant>,
    /// Until when datagrams may have waited.
    backlog_until: Option<Instant>,
}

impl Liveness {
    /// Records that the process runs.
    pub fn record(&mut self, now: Instant) {
        if self.was_suspended(now) {
            self.backlog_until = Some(now + BACKLOG_TIME);
        }
        self.seen = Some(now);
    }

    fn was_suspended(&self, now: Instant) -> bool {
        self.seen.is_some_and(|seen| now - seen >= SUSPENSION)
    }

    /// Returns whether a datagram that is read now may have waited while the process was
    /// suspended.
    #[must_use]
    pub fn has_backlog(&self, now: Instant) -> bool {
        self.was_suspended(now) || self.backlog_until.is_some_and(|until| now < until)
    }
}

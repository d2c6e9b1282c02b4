//! How recent this node's view of the directory is.
//!
//! The coordinator of a data centre reads the source and announces a digest of the
//! directory in its heartbeats. A node with the same digest has what the coordinator read,
//! and need not ask the source itself. A node with another digest, or without recent
//! announcements, reads the source.
//!
//! A node that can't read the source relies on [witnesses](crate::witness).

use std::{
    mem,
    sync::{Arc, Mutex},
    time::Duration,
};

use dottereltally::clock::Clock;
use dottereltally_lib::{era::Era, exchange::View, id};
use tokio::{sync::Notify, time::Instant};

use crate::{
    listing,
    sync::lock,
    witness::{Liveness, Witnesses},
};

/// Time without an announcement after which a node no longer relies on its coordinator.
const READER_TTL: Duration = Duration::from_secs(3);

/// Most reports of other nodes that are kept until they are applied.
const MAX_REPORTED: usize = 10_000;

#[derive(Clone, Copy, Debug, Default)]
struct State {
    digest: u64,
    /// Era of the source in the last read.
    era: Era,
    /// Number of the last read, and when it was sent, by the machine's uptime.
    read: Option<(u64, Duration)>,
    /// Process of the coordinator, and the number of its last read that it announced.
    announced: (u64, u64),
    /// When the last announcement was received, and when that read was sent.
    last_announcement: Option<(Instant, Instant)>,
    /// Time of the last read of the coordinator that found what this node has.
    confirmed: Option<Instant>,
    /// Time between two announcements to another node, if this node reads for others.
    announcing: Option<Duration>,
}

/// What nodes report to each other about the endpoints that are listed.
#[derive(Clone, Debug)]
struct Listings {
    /// For the other nodes, as of a time.
    own: (Vec<listing::Report>, Instant),
    /// From the other nodes, not applied yet.
    reported: Vec<listing::Report>,
    /// From endpoints that answered as another process than the listed one, not applied yet.
    found: Vec<listing::Found>,
}

struct Shared {
    state: Mutex<State>,
    listings: Mutex<Listings>,
    witnesses: Mutex<Witnesses>,
    liveness: Mutex<Liveness>,
    clock: Clock,
    /// Signalled when the coordinator announced a further read.
    read_announced: Notify,
}

/// Handle of the node's view; clones share it.
#[derive(Clone)]
pub struct Handle {
    shared: Arc<Shared>,
}

impl Handle {
    /// Builds the handle of a node that has read nothing.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            shared: Arc::new(Shared {
                state: Mutex::default(),
                listings: Mutex::new(Listings {
                    own: (Vec::new(), Instant::now()),
                    reported: Vec::new(),
                    found: Vec::new(),
                }),
                witnesses: Mutex::default(),
                liveness: Mutex::default(),
                clock,
                read_announced: Notify::new(),
            }),
        }
    }

    /// Returns the machine's uptime, for the time of a read.
    #[must_use]
    pub fn uptime(&self) -> Duration {
        self.shared.clock.uptime()
    }

    /// Records a read of the source that was `sent` at a time, the source's era in it, and
    /// what the node has since.
    pub fn record_read(&self, sent: Duration, era: Era, digest: u64) {
        let mut state = lock(&self.shared.state);
        state.digest = digest;
        state.era = era;
        let number = state.read.map_or(1, |(number, _)| number + 1);
        state.read = Some((number, sent));
    }

    /// Returns the time since the last read that showed what this node has; `None` if there was
    /// none. It was made by this node, by its coordinator, or by a witness whose reports were
    /// applied here.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        let state = *lock(&self.shared.state);
        let uptime = self.shared.clock.uptime();
        let own = state.read.map(|(_, sent)| uptime.saturating_sub(sent));
        let confirmed = state.confirmed.map(|read_at| read_at.elapsed());
        let age = own.into_iter().chain(confirmed).min()?;
        let now = Instant::now();
        let witnessed = now.checked_sub(age).and_then(|read_at| {
            let witnesses = lock(&self.shared.witnesses);
            witnesses.age(now, state.era, read_at)
        });
        Some(witnessed.map_or(age, |witnessed| witnessed.min(age)))
    }

    /// Records that this process runs.
    pub fn record_alive(&self) {
        lock(&self.shared.liveness).record(Instant::now());
    }

    /// Records what a process of another node read, and that its reports on the endpoints that
    /// are listed were received with it, all of them or only the latest ones.
    pub fn record_witness(&self, node: &id::Node, process: u64, view: &View, is_complete: bool) {
        let now = Instant::now();
        let is_certain = is_complete && !lock(&self.shared.liveness).has_backlog(now);
        let mut witnesses = lock(&self.shared.witnesses);
        if is_certain {
            witnesses.record(now, node, process, view);
        } else {
            witnesses.remove(node);
        }
    }

    /// Returns what to announce; `None` if nothing was read yet.
    #[must_use]
    pub fn announcement(&self) -> Option<View> {
        let state = *lock(&self.shared.state);
        let (number, sent) = state.read?;
        Some(View {
            digest: state.digest,
            number,
            age: self.shared.clock.uptime().saturating_sub(sent),
            era: state.era,
        })
    }

    /// Applies what a process of the coordinator announced. Only the first announcement of
    /// a read counts, as a later one may come from a machine that was suspended.
    pub fn apply(&self, process: u64, view: &View) {
        let now = Instant::now();
        if lock(&self.shared.liveness).has_backlog(now) {
            return;
        }
        let mut state = lock(&self.shared.state);
        if let Some((received, _)) = &mut state.last_announcement {
            *received = now;
        }
        let (known, number) = state.announced;
        if known == process && view.number <= number {
            return;
        }
        state.announced = (process, view.number);
        let Some(read_at) = now.checked_sub(view.age) else {
            return;
        };
        state.last_announcement = Some((now, read_at));
        // Nodes that know no eras send none.
        let is_same_era = view.era == state.era || view.era.is_unknown() || state.era.is_unknown();
        if is_same_era && view.digest == state.digest && state.read.is_some() {
            state.confirmed = state.confirmed.max(Some(read_at));
        }
        drop(state);
        self.shared.read_announced.notify_waiters();
    }

    /// Sets what other nodes are to know about the endpoints that are listed.
    pub fn set_listings(&self, reports: Vec<listing::Report>) {
        lock(&self.shared.listings).own = (reports, Instant::now());
    }

    /// Returns what to report to the other nodes about the endpoints that are listed.
    #[must_use]
    pub fn listings(&self) -> Vec<listing::Report> {
        let listings = lock(&self.shared.listings);
        let (own, at) = &listings.own;
        let elapsed = at.elapsed();
        own.iter()
            .filter_map(|report| report.after(elapsed))
            .collect()
    }

    /// Takes what another node reported about the endpoints that are listed.
    pub fn record_listings(&self, reports: &[listing::Report]) {
        let era = lock(&self.shared.state).era;
        let mut listings = lock(&self.shared.listings);
        for report in reports {
            let mut report = report.clone();
            // A node that knows no eras sends none: what it read is taken to be of this one.
            if report.revision.era.is_unknown() {
                report.revision.era = era;
            }
            let is_same = |other: &listing::Report| {
                other.endpoint == report.endpoint && !report.revision.is_after(&other.revision)
            };
            let (own, _) = &listings.own;
            if own.iter().chain(&listings.reported).any(is_same) {
                continue;
            }
            if listings.reported.len() < MAX_REPORTED {
                listings.reported.push(report);
            }
        }
    }

    /// Returns what other nodes reported since the last call.
    #[must_use]
    pub fn take_reported(&self) -> Vec<listing::Report> {
        mem::take(&mut lock(&self.shared.listings).reported)
    }

    /// Records that an endpoint answered as another process than the listed one.
    pub fn record_found(&self, found: listing::Found) {
        let mut listings = lock(&self.shared.listings);
        if !listings.found.contains(&found) && listings.found.len() < MAX_REPORTED {
            listings.found.push(found);
        }
    }

    /// Returns which endpoints answered as another process since the last call.
    #[must_use]
    pub fn take_found(&self) -> Vec<listing::Found> {
        mem::take(&mut lock(&self.shared.listings).found)
    }

    /// Returns whether another node reads the source for this one, as far as is known.
    #[must_use]
    pub fn has_reader(&self) -> bool {
        let state = *lock(&self.shared.state);
        let last = state.last_announcement.map(|(received, _)| received);
        let is_recent = last.is_some_and(|received| received.elapsed() < READER_TTL);
        is_recent && state.announcing.is_none()
    }

    /// Waits until the coordinator announces a read that was sent after `since`; returns
    /// when it was sent.
    pub async fn wait_for_read(&self, since: Instant) -> Instant {
        loop {
            let announced = self.shared.read_announced.notified();
            let last = lock(&self.shared.state).last_announcement;
            if let Some((_, read_at)) = last
                && read_at > since
            {
                return read_at;
            }
            announced.await;
        }
    }

    /// Returns when the coordinator last read what this node has.
    #[must_use]
    pub fn confirmed(&self) -> Option<Instant> {
        lock(&self.shared.state).confirmed
    }

    /// Sets the time between two announcements to another node, if this node reads the
    /// source for others.
    pub fn set_announcing(&self, interval: Option<Duration>) {
        lock(&self.shared.state).announcing = interval;
    }

    /// Returns the time between two announcements, if this node reads for others.
    #[must_use]
    pub fn announcing(&self) -> Option<Duration> {
        lock(&self.shared.state).announcing
    }
}

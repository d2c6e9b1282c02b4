//! Whether the directory lists endpoints, as nodes report it to each other.
//!
//! A node that can't read the directory keeps the endpoints that it knows. Reports of nodes
//! that can read it show which of them have left. Revisions of the directory order what
//! different nodes read, so that an older view is never preferred to a newer one. Where the
//! source was restored from a copy, they order nothing; what left before the restoration is
//! told from what was written after it by the endpoint's process and its descriptions.

use std::{collections::BTreeMap, time::Duration};

use dottereltally_lib::{era::Revision, id, time};

use crate::directory::Entry;

/// Time for which other nodes are informed of a listing. An endpoint that left ends in that
/// time.
pub const REPORT_TIME: Duration = Duration::from_secs(30);

/// Time for which a listing is remembered.
const LISTING_TTL: Duration = Duration::from_mins(10);

/// Most listings that are remembered.
const MAX_LISTINGS: usize = 10_000;

/// Most listings in a report to another node, the latest ones.
pub const MAX_REPORTS: usize = 256;

/// A process of an endpoint, as its last description shows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Process {
    /// When it started, in milliseconds since the Unix epoch; `None` if unknown.
    pub started_ms: Option<u64>,
    /// Number of the description, counted by the process; zero if unknown.
    pub sequence: u64,
}

impl Process {
    /// Returns whether both may be the same process.
    fn is_same(self, other: Self) -> bool {
        let started = self.started_ms.zip(other.started_ms);
        started.is_none_or(|(started, other)| started == other)
    }

    /// Returns whether this process certainly started after another one, by clocks that may
    /// have been set back in between.
    fn is_successor_of(self, other: Self) -> bool {
        let started = self.started_ms.zip(other.started_ms);
        started.is_some_and(|(started, other)| started > other)
    }

    /// Returns whether another process that is listed at a later revision has taken the place
    /// of this one. Start times decide only where that revision may be of a restored copy:
    /// clocks can be set back, revisions can't.
    fn is_followed_by(self, other: Self, shown_at: Revision, listed_at: Revision) -> bool {
        !listed_at.may_be_of_copy(&shown_at) || other.is_successor_of(self)
    }

    /// Returns whether the description is not later than another one.
    fn is_not_after(self, other: Self) -> bool {
        if self.is_same(other) {
            return self.sequence <= other.sequence;
        }
        self.started_ms < other.started_ms
    }
}

impl From<&Entry> for Process {
    fn from(entry: &Entry) -> Self {
        Self {
            started_ms: entry.started_ms,
            sequence: entry.sequence,
        }
    }
}

/// What a node read about an endpoint, for the other nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// Its process.
    pub process: Process,
    /// Revision of the directory that was read.
    pub revision: Revision,
    /// Whether the endpoint took requests, as its description showed.
    pub is_listed: bool,
    /// Time since that was read.
    pub age: Duration,
}

impl Report {
    /// Returns the report at a later time; `None` if others need not know it any more.
    #[must_use]
    pub fn after(&self, elapsed: Duration) -> Option<Self> {
        let age = self.age + elapsed;
        (age < REPORT_TIME).then(|| Self {
            age,
            ..self.clone()
        })
    }
}

/// A process that answers at an endpoint in place of the listed one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// When the listed process started, in milliseconds since the Unix epoch.
    pub listed_ms: u64,
    /// When the one that answers started.
    pub started_ms: u64,
}

/// What was read last about one endpoint.
#[derive(Clone, Debug)]
struct Listing {
    process: Process,
    revision: Revision,
    is_listed: bool,
    at: time::Instant,
}

impl Listing {
    /// Returns whether a process that left is only shown by a copy that was taken before: the
    /// source was restored from it, and lists the process again.
    fn is_departed(&self, process: Process, shown_at: Revision) -> bool {
        !self.is_listed
            && shown_at.may_be_of_copy(&self.revision)
            && process.is_not_after(self.process)
    }

    /// Returns whether a report shows something that was read later, and not the same again.
    fn is_superseded_by(&self, report: &Report) -> bool {
        if !report.revision.is_after(&self.revision) {
            return false;
        }
        if !report.is_listed {
            return true;
        }
        if !self.is_listed {
            return !self.is_departed(report.process, report.revision);
        }
        !self.process.is_same(report.process)
            && self
                .process
                .is_followed_by(report.process, self.revision, report.revision)
    }

    /// Returns whether a process that was described at a revision has ended since.
    fn shows_end_of(&self, process: Process, shown_at: Revision) -> bool {
        if self.is_departed(process, shown_at) {
            return true;
        }
        if !self.revision.is_after(&shown_at) {
            return false;
        }
        if self.process.is_same(process) {
            return !self.is_listed;
        }
        if self.is_listed {
            return process.is_followed_by(self.process, shown_at, self.revision);
        }
        // Nodes of an earlier release report a removal at the revision of the read that showed
        // it. The description of another process may have been written between the two.
        self.process.is_successor_of(process)
    }
}

/// Endpoints that left, and those that are listed again.
#[derive(Clone, Debug, Default)]
pub struct Listings {
    by_endpoint: BTreeMap<id::Endpoint, Listing>,
}

impl Listings {
    /// Records what was read at a time, by this node or another one; returns whether it is
    /// new.
    pub fn record(&mut self, now: time::Instant, report: &Report) -> bool {
        let is_new = match self.by_endpoint.get(&report.endpoint) {
            Some(known) => known.is_superseded_by(report),
            None => self.by_endpoint.len() < MAX_LISTINGS,
        };
        if !is_new {
            return false;
        }
        let listing = Listing {
            process: report.process,
            revision: report.revision,
            is_listed: report.is_listed,
            at: now - report.age,
        };
        self.by_endpoint.insert(report.endpoint.clone(), listing);
        true
    }

    /// Returns whether something was recorded of an endpoint.
    #[must_use]
    pub fn is_known(&self, endpoint: &id::Endpoint) -> bool {
        self.by_endpoint.contains_key(endpoint)
    }

    /// Returns whether a process of an endpoint ended after its description was read at a
    /// revision: it was removed, or the endpoint was listed later with another process.
    #[must_use]
    pub fn has_left(&self, endpoint: &id::Endpoint, process: Process, revision: Revision) -> bool {
        let listing = self.by_endpoint.get(endpoint);
        listing.is_some_and(|listing| listing.shows_end_of(process, revision))
    }

    /// Returns whether a process of an endpoint was listed after its description was read at
    /// a revision.
    #[must_use]
    pub fn is_listed(&self, endpoint: &id::Endpoint, process: Process, revision: Revision) -> bool {
        let listing = self.by_endpoint.get(endpoint);
        listing.is_some_and(|listing| {
            listing.is_listed
                && listing.process.is_same(process)
                && listing.revision.is_after(&revision)
        })
    }

    /// Returns what to report to the other nodes.
    #[must_use]
    pub fn reports(&self, now: time::Instant) -> Vec<Report> {
        let mut reports = Vec::new();
        for (endpoint, listing) in &self.by_endpoint {
            let age = now.since(listing.at);
            if age >= REPORT_TIME {
                continue;
            }
            reports.push(Report {
                endpoint: endpoint.clone(),
                process: listing.process,
                revision: listing.revision,
                is_listed: listing.is_listed,
                age,
            });
        }
        reports.sort_by_key(|report| report.age);
        reports.truncate(MAX_REPORTS);
        reports
    }

    /// Forgets what is long past.
    pub fn expire(&mut self, now: time::Instant) {
        self.by_endpoint
            .retain(|_, listing| now.since(listing.at) < LISTING_TTL);
    }
}

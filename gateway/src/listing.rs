//! Whether the directory lists endpoints, as nodes report it to each other.
//!
//! A node that can't read the directory keeps the endpoints that it knows. Reports of nodes
//! that can read it show which of them have left. Revisions of the directory order what
//! different nodes read, so that an older view is never preferred to a newer one.

use std::{collections::BTreeMap, time::Duration};

use dottereltally_lib::{era::Revision, id, time};

/// Time for which other nodes are informed of a listing. An endpoint that left ends in that
/// time.
pub const REPORT_TIME: Duration = Duration::from_secs(30);

/// Time for which a listing is remembered.
const LISTING_TTL: Duration = Duration::from_mins(10);

/// Most listings that are remembered.
const MAX_LISTINGS: usize = 10_000;

/// Most listings in a report to another node, the latest ones.
const MAX_REPORTS: usize = 256;

/// What a node read about an endpoint, for the other nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// When its process started, in milliseconds since the Unix epoch; `None` if unknown.
    pub started_ms: Option<u64>,
    /// Number of its last description, counted by its process; zero if unknown.
    pub sequence: u64,
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

/// What was read last about one endpoint.
#[derive(Clone, Debug)]
struct Listing {
    started_ms: Option<u64>,
    sequence: u64,
    revision: Revision,
    is_listed: bool,
    at: time::Instant,
}

/// Endpoints that left, and those that are listed again.
#[derive(Clone, Debug, Default)]
pub struct Listings {
    by_endpoint: BTreeMap<id::Endpoint, Listing>,
}

impl Listings {
    /// Records what was read at a time, by this node or another one; returns whether it is
    /// new. That an endpoint is listed matters only if it was not.
    pub fn record(&mut self, now: time::Instant, report: &Report) -> bool {
        let known = self.by_endpoint.get(&report.endpoint);
        let is_new = match known {
            Some(known) if known.revision >= report.revision => false,
            Some(known) => known.is_listed != report.is_listed || !report.is_listed,
            None => !report.is_listed && self.by_endpoint.len() < MAX_LISTINGS,
        };
        if !is_new {
            return false;
        }
        let listing = Listing {
            started_ms: report.started_ms,
            sequence: report.sequence,
            revision: report.revision,
            is_listed: report.is_listed,
            at: now - report.age,
        };
        self.by_endpoint.insert(report.endpoint.clone(), listing);
        true
    }

    /// Returns whether a process of an endpoint left after its description was read at a
    /// revision.
    #[must_use]
    pub fn has_left(
        &self,
        endpoint: &id::Endpoint,
        started_ms: Option<u64>,
        revision: Revision,
    ) -> bool {
        let Some(listing) = self.by_endpoint.get(endpoint) else {
            return false;
        };
        let processes = listing.started_ms.zip(started_ms);
        !listing.is_listed
            && listing.revision > revision
            && processes.is_none_or(|(known, other)| known == other)
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
                started_ms: listing.started_ms,
                sequence: listing.sequence,
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

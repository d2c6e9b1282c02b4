//! The node's view of the endpoints, which outlives outages of the source.
//!
//! Descriptions expire in the source unless their endpoints renew them, which
//! endpoints can't do while the source is unavailable. A live endpoint whose
//! description disappears during an outage, or shortly after it, is therefore
//! kept until it had time to write its description again.

use std::{
    collections::BTreeMap,
    hash::{Hash, Hasher},
    mem,
    time::Duration,
};

use dottereltally_lib::{
    endpoint::{Record, Standing},
    era::Revision,
    id, time,
};

use crate::{directory::Entry, listing};

/// Time after an outage of the source within which endpoints write expired
/// descriptions again.
pub(super) const RENEWAL_TIME: Duration = Duration::from_secs(2);

/// Longest time between the sending of the first call that the source answers and its return.
pub(super) const RENEWAL_SLACK: Duration = Duration::from_millis(100);

/// Shortest time without an answer of the source after which descriptions may have expired, as
/// two renewals in a row can fail in it. A call that was lost is made again in less.
const SHORTEST_OUTAGE: Duration = Duration::from_millis(1300);

/// One endpoint of the view.
#[derive(Clone, Debug)]
struct Tracked {
    entry: Entry,
    /// Whether its description disappeared during or shortly after an outage.
    missing: bool,
    /// Revision of the directory at which the description was valid.
    shown_at: Revision,
    /// Whether its process ended since, as this node or another one read. It stays ended,
    /// whatever is read of other processes of the endpoint.
    has_ended: bool,
    /// Whether its process was not read, but answered in place of the one that was.
    was_found: bool,
}

impl Tracked {
    /// Applies what is known of the processes of the endpoint.
    fn apply(&mut self, name: &id::Endpoint, listings: &listing::Listings) {
        let process = listing::Process::from(&self.entry);
        if listings.has_left(name, process, self.shown_at) {
            self.has_ended = true;
        } else if listings.is_listed(name, process, self.shown_at) {
            self.has_ended = false;
        }
    }
}

/// The endpoints that this node uses: those of the source, and those whose
/// descriptions may be missing only because of an outage.
#[derive(Clone, Debug, Default)]
pub struct Endpoints {
    tracked: BTreeMap<id::Endpoint, Tracked>,
    initialized: bool,
    /// When the last call was sent that the source answered, of this node or its coordinator.
    answered: Option<time::Instant>,
    /// When the last call was sent in which this node read the source.
    read: Option<time::Instant>,
    /// Start of the current outage of the source; `None` while it is available.
    outage_start: Option<time::Instant>,
    /// When the current outage ended, as far as is known before the source is read.
    returned: Option<time::Instant>,
    /// End of the last outage in which descriptions may have expired; `None` if there
    /// was none.
    outage_end: Option<time::Instant>,
    /// End of the last outage, however short.
    last_return: Option<time::Instant>,
    /// Revision of the source that was read last.
    revision: Revision,
    /// Endpoints that left, as this node or another one read.
    listings: listing::Listings,
    listings_changed: bool,
    changed: bool,
    observations: Vec<Observation>,
}

/// What the directory shows about an endpoint's process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// It started at this time, in milliseconds since the Unix epoch.
    Started(id::Endpoint, u64),
    /// A process that started at this time answers at it, as the directory will show: whether
    /// the one before died or left is not known.
    Found(id::Endpoint, u64),
    /// Another endpoint has its address.
    Replaced(id::Endpoint),
    /// It is no longer listed.
    Removed(id::Endpoint),
}

impl Endpoints {
    /// Returns whether a snapshot was applied, from the source or another node.
    #[must_use]
    pub fn is_initialized(&self) -> bool {
        self.initialized
    }

    /// Returns whether the last call of the source was answered.
    #[must_use]
    pub fn is_available(&self) -> bool {
        self.outage_start.is_none()
    }

    /// Records that the source answered a call that was sent at a time.
    pub fn record_answer(&mut self, sent: time::Instant) {
        self.answered = self.answered.max(Some(sent));
    }

    /// Records that this node read the source by a call that was sent at a time.
    pub fn record_read(&mut self, sent: time::Instant) {
        self.record_answer(sent);
        self.read = self.read.max(Some(sent));
    }

    /// Records that a call of the source failed, which was sent at `since`; returns
    /// true if an outage starts. It may have begun as soon as the last call was sent that was
    /// answered. A call that was sent after the source returned begins another outage, so that
    /// the time for renewals does not begin anew unless that one is long enough.
    pub fn begin_outage(&mut self, since: time::Instant) -> bool {
        let first = self.outage_start.is_none();
        if let Some(returned) = self.returned.take() {
            self.record_end(returned);
        }
        let start = self.answered.unwrap_or(since);
        self.outage_start.get_or_insert(start);
        first
    }

    /// Records that the source returned, although it was not read yet: it answered a call that
    /// was sent at a time.
    pub fn record_return(&mut self, at: time::Instant) {
        self.record_answer(at);
        if self.outage_start.is_some() {
            self.returned.get_or_insert(at);
        }
    }

    /// Records that the source was read; returns the length of the outage that
    /// ends, if there was one.
    pub fn end_outage(&mut self, now: time::Instant) -> Option<Duration> {
        let start = self.outage_start?;
        let end = self.returned.take().unwrap_or(now);
        self.record_end(end);
        Some(now.since(start))
    }

    /// Records the end of the current outage.
    fn record_end(&mut self, end: time::Instant) {
        let Some(start) = self.outage_start.take() else {
            return;
        };
        self.last_return = Some(end);
        if end.since(start) >= SHORTEST_OUTAGE {
            self.outage_end = Some(end);
        }
    }

    /// Returns the time until it is certain which descriptions are missing; `None` if it
    /// is already, or not before the source is read.
    #[must_use]
    pub fn renewal_time_left(&self, now: time::Instant) -> Option<Duration> {
        if self.outage_start.is_some() {
            return None;
        }
        let left = self.renewal_end()?.since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns until when endpoints write descriptions again that expired in the last outage;
    /// `None` if there was none.
    fn renewal_end(&self) -> Option<time::Instant> {
        Some(self.outage_end? + RENEWAL_TIME + RENEWAL_SLACK)
    }

    /// Returns the revision of the source that was read last.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Records the revision of the source that is applied next; returns whether the source
    /// was restored since the last read. Endpoints may have to write their descriptions
    /// again then, as after an outage.
    pub fn begin_read(&mut self, now: time::Instant, revision: Revision) -> bool {
        let previous = mem::replace(&mut self.revision, revision);
        let is_restored = previous != Revision::default() && previous.era != revision.era;
        if is_restored {
            let returned = self.last_return;
            let returned = returned.filter(|returned| now.since(*returned) < RENEWAL_TIME);
            self.outage_end = self.outage_end.max(Some(returned.unwrap_or(now)));
        }
        is_restored
    }

    /// Applies what another node read about an endpoint; returns whether the endpoint is
    /// given up for it.
    pub fn record_listing(&mut self, now: time::Instant, report: &listing::Report) -> bool {
        if !self.listings.record(now, report) {
            return false;
        }
        self.listings_changed = true;
        let Some(known) = self.tracked.get_mut(&report.endpoint) else {
            return false;
        };
        let had_ended = known.has_ended;
        known.apply(&report.endpoint, &self.listings);
        if known.has_ended == had_ended {
            return false;
        }
        self.changed = true;
        if !known.has_ended {
            tracing::info!(
                endpoint = %report.endpoint,
                revision = %report.revision,
                born = known.entry.started_ms,
                shown_at = %known.shown_at,
                reported_born = report.process.started_ms,
                "endpoint used again: another node read that it is listed"
            );
            return false;
        }
        tracing::info!(
            endpoint = %report.endpoint,
            revision = %report.revision,
            age_ms = crate::logging::millis(report.age),
            born = known.entry.started_ms,
            shown_at = %known.shown_at,
            reported_born = report.process.started_ms,
            is_listed = report.is_listed,
            "endpoint given up: another node read that it left"
        );
        self.observations
            .push(Observation::Removed(report.endpoint.clone()));
        true
    }

    /// Records that another process answers at an endpoint in place of the listed one, so that
    /// nothing is known of its version.
    pub fn record_found(&mut self, found: &listing::Found) {
        let Some(known) = self.tracked.get_mut(&found.endpoint) else {
            return;
        };
        if known.entry.started_ms != Some(found.listed_ms) {
            return;
        }
        tracing::info!(
            endpoint = %found.endpoint,
            version = known.entry.record.version.as_ref().map(id::Version::as_str),
            born = found.listed_ms,
            found_born = found.started_ms,
            "version of an endpoint is unknown: another process answers"
        );
        known.entry.record.version = None;
        known.entry.started_ms = Some(found.started_ms);
        known.entry.sequence = 0;
        known.was_found = true;
        self.changed = true;
        let observation = Observation::Found(found.endpoint.clone(), found.started_ms);
        self.observations.push(observation);
    }

    /// Returns what to report to the other nodes if it changed since the last call.
    pub fn take_listings(&mut self, now: time::Instant) -> Option<Vec<listing::Report>> {
        mem::take(&mut self.listings_changed).then(|| self.listings.reports(now))
    }

    /// Returns whether an endpoint is known and has not left.
    fn is_used(&self, name: &id::Endpoint) -> bool {
        let known = self.tracked.get(name);
        known.is_some_and(|known| !known.has_ended)
    }

    /// Returns the endpoints that are known and have not left.
    fn used(&self) -> impl Iterator<Item = (&id::Endpoint, &Tracked)> {
        self.tracked.iter().filter(|(_, known)| !known.has_ended)
    }

    /// Records what this node read about an endpoint, for the other nodes.
    fn record_own_listing(
        &mut self,
        now: time::Instant,
        name: &id::Endpoint,
        entry: &Entry,
        (revision, is_listed): (Revision, bool),
    ) {
        let report = listing::Report {
            endpoint: name.clone(),
            process: listing::Process::from(entry),
            revision,
            is_listed,
            age: Duration::ZERO,
        };
        self.listings_changed |= self.listings.record(now, &report);
    }

    /// Returns whether it is of interest to other nodes that an endpoint is listed: it was not,
    /// or was with another process.
    fn is_news(&self, name: &id::Endpoint, entry: &Entry) -> bool {
        let is_other =
            |known: &Tracked| known.was_found || known.entry.started_ms != entry.started_ms;
        self.listings.is_known(name) || self.tracked.get(name).is_some_and(is_other)
    }

    /// Applies a complete set of descriptions.
    pub fn replace(&mut self, now: time::Instant, entries: BTreeMap<id::Endpoint, Entry>) {
        self.initialized = true;
        let known: Vec<id::Endpoint> = self.tracked.keys().cloned().collect();
        for name in known {
            if !entries.contains_key(&name) {
                self.remove(now, &name, self.revision);
            }
        }
        for (name, entry) in entries {
            self.update(now, name, entry);
        }
    }

    /// Applies one description.
    pub fn update(&mut self, now: time::Instant, name: id::Endpoint, entry: Entry) {
        let shown_at = entry.revision.unwrap_or(self.revision);
        let known = self.tracked.get_mut(&name);
        if let Some(known) = known
            && is_older(&entry, &known.entry)
        {
            tracing::info!(
                endpoint = %name,
                sequence = entry.sequence,
                revision = %shown_at,
                "outdated endpoint description ignored"
            );
            let is_live = |entry: &Entry| entry.record.standing == Standing::Live;
            let is_same = entry.started_ms == known.entry.started_ms;
            // A copy that the source was restored from lists the process, although with an
            // earlier description.
            if is_same && is_live(&entry) && is_live(&known.entry) {
                known.missing = false;
            }
            return;
        }
        let was_used = self.is_used(&name);
        let known = self.tracked.get(&name);
        if known.is_none_or(|known| known.entry.record != entry.record || known.missing) {
            tracing::info!(
                endpoint = %name,
                service = %entry.record.service,
                address = entry.record.address,
                standing = %entry.record.standing,
                version = entry.record.version.as_ref().map(id::Version::as_str),
                born = entry.started_ms,
                sequence = entry.sequence,
                "endpoint added or changed"
            );
            self.changed = true;
        }
        self.observe(&name, &entry);
        let is_listed = entry.record.standing == Standing::Live;
        if !is_listed || self.is_news(&name, &entry) {
            self.record_own_listing(now, &name, &entry, (shown_at, is_listed));
        }
        let mut tracked = Tracked {
            entry,
            missing: false,
            shown_at,
            has_ended: false,
            was_found: false,
        };
        // One that left is known, but not used, while a restored copy lists it.
        tracked.apply(&name, &self.listings);
        self.changed |= tracked.has_ended == was_used;
        self.tracked.insert(name, tracked);
    }

    /// Notes what a description shows about processes that it replaces.
    fn observe(&mut self, name: &id::Endpoint, entry: &Entry) {
        let leaving = |known: &Tracked| known.entry.record.standing == Standing::Leaving;
        // The next process of an endpoint that left is no sign of a crash.
        if self.tracked.get(name).is_some_and(leaving) {
            self.observations.push(Observation::Removed(name.clone()));
        }
        if let Some(started_ms) = entry.started_ms {
            let started = Observation::Started(name.clone(), started_ms);
            self.observations.push(started);
        }
        for (other, known) in &self.tracked {
            let same_address = known.entry.record.address == entry.record.address;
            if *other != *name && same_address && !leaving(known) {
                let replaced = Observation::Replaced(other.clone());
                self.observations.push(replaced);
            }
        }
    }

    /// Applies the removal of a description at a revision.
    pub fn remove(&mut self, now: time::Instant, name: &id::Endpoint, revision: Revision) {
        let uncertain = self.removals_uncertain(now) && self.is_used(name);
        let Some(known) = self.tracked.get_mut(name) else {
            return;
        };
        // An endpoint that announced that it leaves won't renew its description.
        if uncertain && known.entry.record.standing == Standing::Live {
            if !mem::replace(&mut known.missing, true) {
                tracing::info!(
                    endpoint = %name,
                    "endpoint kept: its description may have expired during an outage"
                );
            }
            return;
        }
        let Some(known) = self.tracked.remove(name) else {
            return;
        };
        self.record_own_listing(now, name, &known.entry, (revision, false));
        self.observations.push(Observation::Removed(name.clone()));
        self.changed = true;
        tracing::info!(endpoint = %name, "endpoint removed");
    }

    /// Returns the records if they changed since the last call, otherwise `None`.
    pub fn take_changed(&mut self, now: time::Instant) -> Option<Vec<Record>> {
        if !self.removals_uncertain(now) {
            self.remove_missing(now);
        }
        self.listings.expire(now);
        if !mem::take(&mut self.changed) {
            return None;
        }
        let used = self.used();
        Some(used.map(|(_, known)| known.entry.record.clone()).collect())
    }

    /// Returns what the directory showed about the endpoints' processes since the
    /// last call.
    #[must_use]
    pub fn take_observations(&mut self) -> Vec<Observation> {
        mem::take(&mut self.observations)
    }

    /// Makes the next [`Self::take_changed`] return the records even if they
    /// did not change.
    pub fn mark_changed(&mut self) {
        self.changed = true;
    }

    /// Hashes what is used of the descriptions: without what endpoints renew only to show
    /// that they live.
    pub fn hash_used(&self, hasher: &mut impl Hasher) {
        for (name, known) in self.used() {
            let record = &known.entry.record;
            name.as_str().hash(hasher);
            record.address.hash(hasher);
            record.service.as_str().hash(hasher);
            record.data_centre.as_str().hash(hasher);
            (record.standing == Standing::Live).hash(hasher);
            record.capacity.hash(hasher);
            let version = record.version.as_ref().map(id::Version::as_str);
            version.hash(hasher);
            known.entry.started_ms.hash(hasher);
            known.missing.hash(hasher);
        }
    }

    /// Returns the descriptions.
    #[must_use]
    pub fn entries(&self) -> BTreeMap<id::Endpoint, Entry> {
        let used = self.used();
        used.map(|(name, known)| (name.clone(), known.entry.clone()))
            .collect()
    }

    fn remove_missing(&mut self, now: time::Instant) {
        let mut removed = Vec::new();
        for (name, known) in &self.tracked {
            if known.missing {
                removed.push((name.clone(), known.entry.clone()));
            }
        }
        for (name, entry) in removed {
            tracing::info!(
                endpoint = %name,
                "endpoint removed: its description was not renewed after an outage"
            );
            self.tracked.remove(&name);
            self.record_own_listing(now, &name, &entry, (self.revision, false));
            self.observations.push(Observation::Removed(name));
            self.changed = true;
        }
    }

    /// Returns whether descriptions may be missing only because of an outage
    /// of the source: they may be written again, or have been since the source was read.
    fn removals_uncertain(&self, now: time::Instant) -> bool {
        let unread = self.read.zip(self.renewal_end());
        self.outage_start.is_some()
            || self.renewal_time_left(now).is_some()
            || unread.is_some_and(|(read, end)| read < end)
    }
}

/// Returns whether a description was written before the known one: at a lower
/// revision, by an earlier process of the endpoint, or earlier by the same process.
///
/// Only the revision is certain, as the clock that start times come from can be set
/// back. In a later era, a description may be of the copy that the source was restored
/// from, at a revision that is not above the known one; the processes decide then.
fn is_older(entry: &Entry, known: &Entry) -> bool {
    match (entry.revision, known.revision) {
        (Some(revision), Some(known)) if !revision.may_be_of_copy(&known) => {
            known.is_after(&revision)
        }
        _ => is_of_earlier_process(entry, known),
    }
}

/// Returns whether a description is of an earlier process than the known one, or an
/// earlier one of the same process.
///
/// A description without a start time counts as older than one with it. If neither has
/// one, or both have the same, the sequence decides, but only between descriptions with
/// the same address.
fn is_of_earlier_process(entry: &Entry, known: &Entry) -> bool {
    match (entry.started_ms, known.started_ms) {
        (Some(entry_start), Some(known_start)) if entry_start != known_start => {
            entry_start < known_start
        }
        (None, Some(_)) => true,
        (Some(_), None) => false,
        _ => entry.sequence < known.sequence && entry.record.address == known.record.address,
    }
}

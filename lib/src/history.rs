//! The software versions with which a node has seen each service in the
//! directory, and since when without a gap.

use std::{collections::BTreeMap, mem, time::Duration};

use crate::{id, time};

/// Longest time between two reads of the directory without an outage.
const READ_LIMIT: Duration = Duration::from_secs(10);

#[derive(Clone, Debug, PartialEq, Eq)]
struct Listed {
    service: id::Service,
    /// `None` if the endpoint names no version.
    version: Option<id::Version>,
}

/// What a node has seen of the versions of services.
///
/// Only reads of the directory's source count. An outage of it, or a read of the
/// whole directory instead of its changes, may hide an endpoint that came and
/// left in between.
#[derive(Clone, Debug, Default)]
pub struct History {
    listed: BTreeMap<id::Endpoint, Listed>,
    /// When the last endpoint of a version left a service.
    left: BTreeMap<id::Service, BTreeMap<Option<id::Version>, time::Instant>>,
    /// Since when no change can have been missed; `None` during an outage.
    complete_since: Option<time::Instant>,
    last_read: time::Instant,
}

impl History {
    /// Records that the source of the directory was read in full; entries must be
    /// recorded afterwards.
    pub fn restart(&mut self, now: time::Instant) {
        for (_, listed) in mem::take(&mut self.listed) {
            self.record_left(now, listed);
        }
        self.complete_since = Some(now);
        self.last_read = now;
    }

    /// Records that the source was read.
    pub fn record_read(&mut self, now: time::Instant) {
        if self.complete_since.is_none() || now.since(self.last_read) > READ_LIMIT {
            self.complete_since = Some(now);
        }
        self.last_read = now;
    }

    /// Records that the source can't be read.
    pub fn record_outage(&mut self) {
        self.complete_since = None;
    }

    /// Records the entry of an endpoint.
    pub fn record_listed(
        &mut self,
        now: time::Instant,
        endpoint: id::Endpoint,
        service: id::Service,
        version: Option<id::Version>,
    ) {
        let listed = Listed { service, version };
        if let Some(replaced) = self.listed.insert(endpoint, listed.clone())
            && replaced != listed
        {
            self.record_left(now, replaced);
        }
    }

    /// Records that the entry of an endpoint was removed.
    pub fn record_removed(&mut self, now: time::Instant, endpoint: &id::Endpoint) {
        if let Some(listed) = self.listed.remove(endpoint) {
            self.record_left(now, listed);
        }
    }

    fn record_left(&mut self, now: time::Instant, listed: Listed) {
        let versions = self.left.entry(listed.service).or_default();
        versions.insert(listed.version, now);
    }

    /// Forgets the versions that left longer than `horizon` ago.
    pub fn expire(&mut self, now: time::Instant, horizon: Duration) {
        self.left.retain(|_, versions| {
            versions.retain(|_, left| now.since(*left) <= horizon);
            !versions.is_empty()
        });
    }

    /// Returns the version of an endpoint by its entry: `None` if it is not
    /// listed, `Some(None)` if its entry names no version.
    #[must_use]
    pub fn version_of(&self, endpoint: &id::Endpoint) -> Option<Option<&id::Version>> {
        let listed = self.listed.get(endpoint)?;
        Some(listed.version.as_ref())
    }

    /// Returns the only version with which a service was seen for the last
    /// `horizon`; `None` if there were several, if an endpoint named none, or if
    /// a change may have been missed.
    #[must_use]
    pub fn sole_version(
        &self,
        now: time::Instant,
        service: &id::Service,
        horizon: Duration,
    ) -> Option<&id::Version> {
        let complete_since = self.complete_since?;
        if now.since(complete_since) <= horizon || now.since(self.last_read) > READ_LIMIT {
            return None;
        }
        let mut sole = None;
        for version in self.seen(now, service, horizon) {
            let version = version?;
            if sole.is_some_and(|sole| sole != version) {
                return None;
            }
            sole = Some(version);
        }
        sole
    }

    /// Returns whether a service was seen with another version, or with an
    /// endpoint that named none, in the last `horizon`.
    #[must_use]
    pub fn has_other(
        &self,
        now: time::Instant,
        service: &id::Service,
        version: &id::Version,
        horizon: Duration,
    ) -> bool {
        self.seen(now, service, horizon)
            .any(|seen| seen != Some(version))
    }

    fn seen<'a, 'b>(
        &'a self,
        now: time::Instant,
        service: &'b id::Service,
        horizon: Duration,
    ) -> impl Iterator<Item = Option<&'a id::Version>> + use<'a, 'b> {
        let listed = self.listed.values();
        let listed = listed.filter(move |listed| listed.service == *service);
        let left = self.left.get(service).into_iter().flatten();
        let left = left.filter(move |(_, left)| now.since(**left) <= horizon);
        listed
            .map(|listed| listed.version.as_ref())
            .chain(left.map(|(version, _)| version.as_ref()))
    }
}

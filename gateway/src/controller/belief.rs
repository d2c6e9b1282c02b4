//! Which endpoints there are, as far as the source can be trusted.

use std::{collections::BTreeMap, mem, time::Duration};

use dottereltally_lib::{
    endpoint::{Record, Standing},
    id, time,
};

use crate::directory::Entry;

/// Time after the return of the source within which a description that lapsed
/// meanwhile is written again.
const RETURN: Duration = Duration::from_secs(2);

/// What is known of one endpoint.
#[derive(Clone, Debug)]
struct Known {
    entry: Entry,
    /// Its description is missing since the source was away.
    missing: bool,
}

/// Beliefs about the endpoints.
#[derive(Clone, Debug, Default)]
pub struct Belief {
    endpoints: BTreeMap<id::Endpoint, Known>,
    told: bool,
    lost: Option<time::Instant>,
    returned: Option<time::Instant>,
    changed: bool,
}

impl Belief {
    /// Returns whether the endpoints were told at all.
    #[must_use]
    pub fn is_told(&self) -> bool {
        self.told
    }

    /// Records that the source can't be read; true if it could before.
    pub fn lose(&mut self, now: time::Instant) -> bool {
        let first = self.lost.is_none();
        self.lost.get_or_insert(now);
        first
    }

    /// Records that the source was read; returns for how long it could not be.
    pub fn regain(&mut self, now: time::Instant) -> Option<Duration> {
        let lost = self.lost.take()?;
        self.returned = Some(now);
        Some(now.since(lost))
    }

    /// Takes over all descriptions.
    pub fn replace(&mut self, now: time::Instant, entries: BTreeMap<id::Endpoint, Entry>) {
        self.told = true;
        let known: Vec<id::Endpoint> = self.endpoints.keys().cloned().collect();
        for name in known {
            if !entries.contains_key(&name) {
                self.remove(now, &name);
            }
        }
        for (name, entry) in entries {
            self.hear(now, name, Some(entry));
        }
    }

    /// Takes over one description; none if it can't be used.
    pub fn hear(&mut self, now: time::Instant, name: id::Endpoint, entry: Option<Entry>) {
        let Some(entry) = entry else {
            tracing::warn!(endpoint = %name, "description of an endpoint can't be used");
            return self.remove(now, &name);
        };
        let known = self.endpoints.get(&name);
        if known.is_some_and(|known| is_older(&entry, &known.entry)) {
            tracing::info!(
                endpoint = %name,
                sequence = entry.sequence,
                "outdated description of an endpoint left out"
            );
            return;
        }
        if known.is_none_or(|known| known.entry.record != entry.record || known.missing) {
            tracing::info!(
                endpoint = %name,
                service = %entry.record.service,
                address = entry.record.address,
                standing = %entry.record.standing,
                born = entry.born,
                sequence = entry.sequence,
                "endpoint described"
            );
            self.changed = true;
        }
        let missing = false;
        self.endpoints.insert(name, Known { entry, missing });
    }

    /// Takes over that a description is gone.
    pub fn remove(&mut self, now: time::Instant, name: &id::Endpoint) {
        let doubtful = self.is_doubtful(now);
        let Some(known) = self.endpoints.get_mut(name) else {
            return;
        };
        // An endpoint that said it leaves is not expected back.
        if doubtful && known.entry.record.standing == Standing::Live {
            if !mem::replace(&mut known.missing, true) {
                tracing::info!(endpoint = %name, "endpoint kept: its description may have lapsed");
            }
            return;
        }
        self.endpoints.remove(name);
        self.changed = true;
        tracing::info!(endpoint = %name, "endpoint gone");
    }

    /// Returns the records if they changed since the last call.
    pub fn changed(&mut self, now: time::Instant) -> Option<Vec<Record>> {
        if !self.is_doubtful(now) {
            self.drop_missing();
        }
        if !mem::take(&mut self.changed) {
            return None;
        }
        let known = self.endpoints.values();
        Some(known.map(|known| known.entry.record.clone()).collect())
    }

    /// Has the records handed on again.
    pub fn touch(&mut self) {
        self.changed = true;
    }

    /// Returns the descriptions.
    #[must_use]
    pub fn entries(&self) -> BTreeMap<id::Endpoint, Entry> {
        let known = self.endpoints.iter();
        known
            .map(|(name, known)| (name.clone(), known.entry.clone()))
            .collect()
    }

    fn drop_missing(&mut self) {
        let before = self.endpoints.len();
        self.endpoints.retain(|name, known| {
            if known.missing {
                tracing::info!(endpoint = %name, "endpoint gone: it was not described again");
            }
            !known.missing
        });
        self.changed |= self.endpoints.len() != before;
    }

    /// Returns whether descriptions may be missing because the source was
    /// away.
    fn is_doubtful(&self, now: time::Instant) -> bool {
        if self.lost.is_some() {
            return true;
        }
        let returned = self.returned;
        returned.is_some_and(|returned| now.since(returned) < RETURN)
    }
}

/// Returns whether a description was written before the known one.
fn is_older(entry: &Entry, known: &Entry) -> bool {
    match (entry.born, known.born) {
        (Some(entry_born), Some(known_born)) if entry_born != known_born => entry_born < known_born,
        (None, Some(_)) => true,
        (Some(_), None) => false,
        _ => entry.sequence < known.sequence && entry.record.address == known.record.address,
    }
}

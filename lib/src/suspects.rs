//! Handling of requests that may crash endpoints: marks and isolated runs.

use std::time::Duration;

use crate::{
    admission::{MAX_RETRY_DELAY, MIN_RETRY_DELAY},
    effect::Effect,
    fleet::{Endpoint, Health, Slot},
    flight::Waiting,
    health::DEATH_SPAN,
    id,
    quarantine::{self, Verdict},
    refusal::Reason,
    rendezvous,
    scheduler::Scheduler,
    time,
};

/// Minimum time that a suspect waits before it runs, so that the probe of the
/// endpoint that it may have crashed has ended and every node knows the result.
const SUSPECT_DELAY: Duration = Duration::from_millis(1250);

/// `retry_after` of a suspect for which the isolation queue has no room.
const SUSPECT_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Maximum number of other endpoints that died within `DEATH_SPAN` at which a
/// death still marks the requests in flight.
const MAX_OTHER_DEATHS: usize = 1;

/// Number of deaths, among more than [`MAX_OTHER_DEATHS`], at which a request must
/// have been in flight to be marked.
const MIN_REPEATED_DEATHS: usize = 3;

/// Number of deaths that confirm a suspect.
const CONFIRMING_DEATHS: usize = 2;

impl Scheduler {
    /// Applies marks received from a peer.
    pub(crate) fn apply_marks(
        &mut self,
        now: time::Instant,
        marks: Vec<(id::Fingerprint, Duration)>,
    ) {
        for (mark, valid) in &marks {
            self.marks.add(now, *mark, *valid);
        }
        for (mark, _) in marks {
            self.confirm(now, mark);
        }
        self.refuse_confirmed(now);
    }

    /// Confirms a suspect if it was in flight at two deaths, each of which may
    /// have been seen by another node.
    fn confirm(&mut self, now: time::Instant, fingerprint: id::Fingerprint) {
        if self.marks.verdict(now, fingerprint) != Verdict::Suspect {
            return;
        }
        let slots = self.fleet.slots().into_iter();
        let endpoints = slots.filter_map(|slot| self.fleet.get(slot));
        let names = endpoints.map(|endpoint| &endpoint.record.id);
        if self.marks.count_deaths(now, fingerprint, names) < CONFIRMING_DEATHS {
            return;
        }
        let mark = quarantine::confirmed_mark(fingerprint);
        self.marks.add(now, mark, quarantine::MARK_TTL);
        self.effects.push(Effect::Quarantine(mark));
    }

    /// Queues a suspect until an endpoint can be reserved for it.
    pub(crate) fn queue_suspect(
        &mut self,
        now: time::Instant,
        request: id::Request,
        waiting: Waiting,
    ) {
        let service = waiting.profile.service.clone();
        if !self.isolation.push(&service, request) {
            return self.refuse(request, Reason::Quarantine, SUSPECT_RETRY_AFTER);
        }
        self.waiting.insert(request, waiting);
        self.admit_waiting(now, &service);
    }

    /// Admits the longest-waiting suspect once the endpoint reserved for it is
    /// empty.
    pub(crate) fn admit_suspect(&mut self, now: time::Instant, service: &id::Service) {
        self.refuse_stranded(now, service);
        let Some(queue) = self.isolation.queues.get(service) else {
            return;
        };
        let Some(&request) = queue.requests.front() else {
            return;
        };
        if !self.has_waited_for_marks(now, request) {
            return;
        }
        let Some(slot) = queue.slot.or_else(|| self.reserve(now, request)) else {
            return;
        };
        if let Some(queue) = self.isolation.queues.get_mut(service) {
            queue.slot = Some(slot);
        }
        if !self.is_reservation_valid(request, slot) {
            return self.unreserve(service, slot);
        }
        let empty = |endpoint: &Endpoint| endpoint.own_requests == 0;
        if self.fleet.get(slot).is_some_and(empty) {
            self.isolation.remove(service, request);
            self.admit(now, request, slot);
        }
    }

    /// Returns whether a reserved endpoint can still serve its suspect.
    fn is_reservation_valid(&self, request: id::Request, slot: Slot) -> bool {
        let Some(waiting) = self.waiting.get(&request) else {
            return false;
        };
        let model = waiting.profile.model.as_ref();
        let endpoint = self.fleet.get(slot);
        endpoint.is_some_and(|endpoint| {
            endpoint.reserved == Some(request)
                && endpoint.health == Health::Healthy
                && endpoint.is_usable(model)
        })
    }

    /// Cancels the reservation of an endpoint.
    fn unreserve(&mut self, service: &id::Service, slot: Slot) {
        if let Some(endpoint) = self.fleet.get_mut(slot) {
            endpoint.reserved = None;
        }
        if let Some(queue) = self.isolation.queues.get_mut(service) {
            queue.slot = None;
        }
    }

    /// Returns the waiting suspect of the lowest tier for a service.
    pub(crate) fn lowest_suspect(&self, service: &id::Service) -> Option<(id::Tier, id::Request)> {
        let mut lowest = None;
        let queue = self.isolation.queues.get(service);
        for request in queue.into_iter().flat_map(|queue| &queue.requests) {
            let waiting = self.waiting.get(request);
            lowest = lowest.max(waiting.map(|waiting| (waiting.profile.tier, *request)));
        }
        lowest
    }

    /// Returns whether a suspect has waited long enough for the other nodes'
    /// marks to arrive.
    fn has_waited_for_marks(&self, now: time::Instant, request: id::Request) -> bool {
        let waiting = self.waiting.get(&request);
        waiting.is_some_and(|waiting| now.since(waiting.profile.received) >= SUSPECT_DELAY)
    }

    /// Refuses suspects whose service has no usable endpoint left.
    fn refuse_stranded(&mut self, now: time::Instant, service: &id::Service) {
        let mut stranded = Vec::new();
        let queue = self.isolation.queues.get(service);
        for request in queue.into_iter().flat_map(|queue| &queue.requests) {
            let waiting = self.waiting.get(request);
            if waiting.is_some_and(|waiting| !self.has_usable_endpoint(&waiting.profile)) {
                stranded.push(*request);
            }
        }
        for request in stranded {
            self.remove_waiting(now, request);
            self.refuse(request, Reason::NoEndpoint, MIN_RETRY_DELAY);
        }
    }

    /// Refuses suspects that are now confirmed to crash endpoints.
    fn refuse_confirmed(&mut self, now: time::Instant) {
        let mut confirmed = Vec::new();
        for queue in self.isolation.queues.values() {
            for request in &queue.requests {
                let Some(waiting) = self.waiting.get(request) else {
                    continue;
                };
                let fingerprint = waiting.profile.fingerprint;
                if self.marks.verdict(now, fingerprint) == Verdict::Confirmed {
                    confirmed.push(*request);
                }
            }
        }
        for request in confirmed {
            self.remove_waiting(now, request);
            self.refuse(request, Reason::Quarantine, MAX_RETRY_DELAY);
        }
    }

    /// Marks the requests that were in flight at an endpoint's death. If so many
    /// endpoints died that the network is the likely cause, only those are marked
    /// that were in flight at several of these deaths.
    pub(crate) fn record_death(&mut self, now: time::Instant, slot: Slot) {
        self.deaths.insert(slot, now);
        let mut others = 0;
        for (other, at) in &self.deaths {
            if *other != slot && now.since(*at) <= DEATH_SPAN {
                others += 1;
            }
        }
        let Some(endpoint) = self.fleet.get_mut(slot) else {
            return;
        };
        let name = endpoint.record.id.clone();
        let mut suspects = std::mem::take(&mut endpoint.broken_fingerprints);
        for in_flight in self
            .in_flight
            .values()
            .filter(|in_flight| in_flight.slot == slot)
        {
            suspects.insert(in_flight.waiting.profile.fingerprint);
        }
        for fingerprint in suspects {
            if others <= MAX_OTHER_DEATHS {
                self.mark_death(now, fingerprint, &name);
                continue;
            }
            // The network ends many endpoints, but only with different requests.
            let deaths = self.unmarked_deaths.entry(fingerprint).or_default();
            deaths.insert(name.clone(), now);
            if deaths.len() < MIN_REPEATED_DEATHS {
                continue;
            }
            for name in self
                .unmarked_deaths
                .remove(&fingerprint)
                .into_iter()
                .flatten()
            {
                self.mark_death(now, fingerprint, &name.0);
            }
        }
        self.refuse_confirmed(now);
    }

    /// Marks a request as in flight at the death of an endpoint, here and at the
    /// other nodes.
    fn mark_death(
        &mut self,
        now: time::Instant,
        fingerprint: id::Fingerprint,
        endpoint: &id::Endpoint,
    ) {
        for mark in self.marks.record_death(now, fingerprint, endpoint) {
            self.effects.push(Effect::Quarantine(mark));
        }
    }

    /// Reserves an endpoint for a suspect.
    fn reserve(&mut self, now: time::Instant, request: id::Request) -> Option<Slot> {
        let waiting = self.waiting.get(&request)?;
        let candidates = self.candidates(now, waiting);
        let fingerprint = waiting.profile.fingerprint;
        // Different suspects prefer different endpoints, so that nodes unaware
        // of each other's suspects seldom run two on the same endpoint.
        let mut best = None;
        for candidate in &candidates {
            let Some(endpoint) = self.fleet.get(candidate.slot) else {
                continue;
            };
            let weight = rendezvous::endpoint_weight(fingerprint, &endpoint.record.id);
            best = best.max(Some((weight, candidate.slot)));
        }
        let (_, slot) = best?;
        self.fleet.get_mut(slot)?.reserved = Some(request);
        Some(slot)
    }
}

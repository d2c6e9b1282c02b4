//! Requests that may crash the endpoints they run on: marks and isolation.

use std::time::Duration;

use crate::{
    admission::{MAX_RETRY, MIN_RETRY},
    effect::Effect,
    fleet::{Health, Member, Slot},
    flight::Waiting,
    health::DEATH_SPAN,
    id,
    quarantine::Verdict,
    refusal::Reason,
    rendezvous,
    scheduler::Scheduler,
    time,
};

/// Time that a suspect waits before it runs, so that the probe of the endpoint
/// that it may have crashed is over and its result is known at every node.
const SUSPECT_SETTLE: Duration = Duration::from_millis(1250);

/// Time to come back for a suspect that does not fit.
const SUSPECT_RETRY: Duration = Duration::from_secs(10);

/// Deaths of other endpoints in the span up to which a death speaks against
/// the requests in flight.
const MAX_OTHER_DEATHS: usize = 1;

impl Scheduler {
    /// Takes over marks of suspects from a peer.
    pub(crate) fn suspect(&mut self, now: time::Instant, marks: Vec<(id::Fingerprint, Duration)>) {
        for (mark, valid) in marks {
            self.marks.mark(now, mark, valid);
        }
        self.refuse_confirmed(now);
    }

    /// Lets a suspect wait for an endpoint of its own.
    pub(crate) fn isolate(&mut self, now: time::Instant, request: id::Request, waiting: Waiting) {
        let service = waiting.profile.service.clone();
        if !self.isolation.push(&service, request) {
            return self.refuse(request, Reason::Quarantine, SUSPECT_RETRY);
        }
        self.waiting.insert(request, waiting);
        self.pump(now, &service);
    }

    /// Admits the suspect that waits longest once its endpoint is empty.
    pub(crate) fn pump_suspects(&mut self, now: time::Instant, service: &id::Service) {
        self.refuse_stranded(now, service);
        let Some(line) = self.isolation.lines.get(service) else {
            return;
        };
        let Some(&request) = line.requests.front() else {
            return;
        };
        if !self.is_settled(now, request) {
            return;
        }
        let Some(slot) = line.slot.or_else(|| self.reserve(now, request)) else {
            return;
        };
        if let Some(line) = self.isolation.lines.get_mut(service) {
            line.slot = Some(slot);
        }
        if !self.keeps(request, slot) {
            return self.unreserve(service, slot);
        }
        let empty = |member: &Member| member.requests == 0;
        if self.fleet.get(slot).is_some_and(empty) {
            self.isolation.remove(service, request);
            self.admit(now, request, slot);
        }
    }

    /// Returns whether a reserved endpoint can still serve its suspect.
    fn keeps(&self, request: id::Request, slot: Slot) -> bool {
        let Some(waiting) = self.waiting.get(&request) else {
            return false;
        };
        let model = waiting.profile.model.as_ref();
        let member = self.fleet.get(slot);
        member.is_some_and(|member| {
            member.reserved == Some(request)
                && member.health == Health::Sound
                && member.is_usable(model)
        })
    }

    /// Gives a reserved endpoint back.
    fn unreserve(&mut self, service: &id::Service, slot: Slot) {
        if let Some(member) = self.fleet.get_mut(slot) {
            member.reserved = None;
        }
        if let Some(line) = self.isolation.lines.get_mut(service) {
            line.slot = None;
        }
    }

    /// Returns the suspect of the lowest tier that waits for the service.
    pub(crate) fn lowest_suspect(&self, service: &id::Service) -> Option<(id::Tier, id::Request)> {
        let mut lowest = None;
        let line = self.isolation.lines.get(service);
        for request in line.into_iter().flat_map(|line| &line.requests) {
            let waiting = self.waiting.get(request);
            lowest = lowest.max(waiting.map(|waiting| (waiting.profile.tier, *request)));
        }
        lowest
    }

    /// Returns whether what other nodes know of a suspect has had the time to
    /// arrive.
    fn is_settled(&self, now: time::Instant, request: id::Request) -> bool {
        let waiting = self.waiting.get(&request);
        waiting.is_some_and(|waiting| now.since(waiting.profile.received) >= SUSPECT_SETTLE)
    }

    /// Refuses the suspects that no endpoint is left for.
    fn refuse_stranded(&mut self, now: time::Instant, service: &id::Service) {
        let mut stranded = Vec::new();
        let line = self.isolation.lines.get(service);
        for request in line.into_iter().flat_map(|line| &line.requests) {
            let waiting = self.waiting.get(request);
            if waiting.is_some_and(|waiting| !self.has_usable(&waiting.profile)) {
                stranded.push(*request);
            }
        }
        for request in stranded {
            self.forget(now, request);
            self.refuse(request, Reason::NoEndpoint, MIN_RETRY);
        }
    }

    /// Refuses the suspects that turned out to crash endpoints.
    fn refuse_confirmed(&mut self, now: time::Instant) {
        let mut confirmed = Vec::new();
        for line in self.isolation.lines.values() {
            for request in &line.requests {
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
            self.forget(now, request);
            self.refuse(request, Reason::Quarantine, MAX_RETRY);
        }
    }

    /// Marks the requests that were in flight at an endpoint's death, unless
    /// so many die that the network must be at fault.
    pub(crate) fn died(&mut self, now: time::Instant, slot: Slot) {
        self.deaths.insert(slot, now);
        let mut others = 0;
        for (other, at) in &self.deaths {
            if *other != slot && now.since(*at) <= DEATH_SPAN {
                others += 1;
            }
        }
        let Some(member) = self.fleet.get_mut(slot) else {
            return;
        };
        let name = member.record.id.clone();
        let mut suspects = std::mem::take(&mut member.broken);
        if others > MAX_OTHER_DEATHS {
            return;
        }
        for flight in self.flights.values().filter(|flight| flight.slot == slot) {
            suspects.insert(flight.waiting.profile.fingerprint);
        }
        for fingerprint in suspects {
            for mark in self.marks.death(now, fingerprint, &name) {
                self.effects.push(Effect::Quarantine(mark));
            }
        }
        self.refuse_confirmed(now);
    }

    /// Reserves an endpoint that could take a suspect.
    fn reserve(&mut self, now: time::Instant, request: id::Request) -> Option<Slot> {
        let waiting = self.waiting.get(&request)?;
        let candidates = self.candidates(now, waiting);
        let fingerprint = waiting.profile.fingerprint;
        // Different suspects prefer different endpoints, so that nodes that
        // do not know of each other's seldom run two of them together.
        let mut best = None;
        for candidate in &candidates {
            let Some(member) = self.fleet.get(candidate.slot) else {
                continue;
            };
            let weight = rendezvous::endpoint_weight(fingerprint, &member.record.id);
            best = best.max(Some((weight, candidate.slot)));
        }
        let (_, slot) = best?;
        self.fleet.get_mut(slot)?.reserved = Some(request);
        Some(slot)
    }
}

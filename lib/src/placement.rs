//! Where a waiting request can go.

use crate::{
    balance::{Candidate, Policy},
    fleet::Slot,
    flight::Waiting,
    id,
    request::Profile,
    scheduler::Scheduler,
    time,
    window::FIRST_TOKEN,
};

/// Where a waiting request can go.
pub(crate) enum Place {
    /// To this endpoint.
    At(Slot),
    /// To none now.
    Full,
    /// To none at all.
    Nowhere,
}

impl Scheduler {
    /// Returns where a waiting request can go.
    pub(crate) fn place(&mut self, now: time::Instant, request: id::Request) -> Place {
        let Some(waiting) = self.waiting.get(&request) else {
            return Place::Full;
        };
        let mut suited = self.candidates(now, waiting);
        let profile = &waiting.profile;
        let remaining = profile.remaining(now);
        let output = profile.output.0;
        if suited.iter().any(|each| each.is_in_time(output, remaining)) {
            suited.retain(|each| each.is_in_time(output, remaining));
        }
        let fits = |each: &Candidate| each.fits(profile.tier, waiting.cost);
        let (mut fitting, full): (Vec<Candidate>, Vec<Candidate>) =
            suited.into_iter().partition(fits);
        if fitting.is_empty() {
            let place = self.without_room(waiting);
            self.note_limits(&full);
            return place;
        }
        let prefixes = &waiting.profile.prefixes;
        let held = self.prefixes.held(prefixes);
        for candidate in &mut fitting {
            candidate.blocks = held.get(&candidate.slot).copied().unwrap_or(0);
        }
        let terms = self.settings.terms(now, self.members.len());
        let first = prefixes.first().copied();
        let chosen = terms.choose(&mut self.rng, &mut self.turn, &fitting, first);
        self.note_limits(&full);
        chosen.map_or(Place::Full, |candidate| Place::At(candidate.slot))
    }

    /// Returns the candidates among a service's endpoints.
    pub(crate) fn candidates(&self, now: time::Instant, waiting: &Waiting) -> Vec<Candidate> {
        let profile = &waiting.profile;
        let terms = self.settings.terms(now, self.members.len());
        let mut candidates = Vec::new();
        for &slot in self.fleet.of_service(&profile.service) {
            let Some(member) = self.fleet.get(slot) else {
                continue;
            };
            if !member.is_usable(profile.model.as_ref()) || !member.is_open(now) {
                continue;
            }
            if waiting.avoided.contains(&member.record.id) {
                continue;
            }
            let naive = terms.policy == Policy::RoundRobin;
            if !naive && member.window.prefill(member.pending) > FIRST_TOKEN {
                continue;
            }
            candidates.push(terms.candidate(profile.tier, slot, member));
        }
        candidates
    }

    /// Tells whether a request that fits nowhere now can ever be placed.
    fn without_room(&self, waiting: &Waiting) -> Place {
        let profile = &waiting.profile;
        for &slot in self.fleet.of_service(&profile.service) {
            let Some(member) = self.fleet.get(slot) else {
                continue;
            };
            let usable = member.is_usable(profile.model.as_ref());
            if usable && !waiting.avoided.contains(&member.record.id) {
                return Place::Full;
            }
        }
        Place::Nowhere
    }

    /// Records that the windows of these endpoints keep work waiting.
    fn note_limits(&mut self, full: &[Candidate]) {
        for each in full {
            if let Some(member) = self.fleet.get_mut(each.slot) {
                member.window.limited();
            }
        }
    }

    /// Returns whether any endpoint can serve the request.
    pub(crate) fn has_usable(&self, profile: &Profile) -> bool {
        let slots = self.fleet.of_service(&profile.service);
        let members = slots.iter().filter_map(|slot| self.fleet.get(*slot));
        members
            .into_iter()
            .any(|member| member.is_usable(profile.model.as_ref()))
    }
}

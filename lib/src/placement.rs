//! Choice of an endpoint for a waiting request.

use crate::{
    balance::{Candidate, Policy},
    fleet::Slot,
    flight::Waiting,
    id,
    request::Profile,
    scheduler::Scheduler,
    time,
    window::FIRST_TOKEN_TARGET,
};

/// Result of choosing an endpoint for a waiting request.
pub(crate) enum Choice {
    /// The endpoint in this slot.
    At(Slot),
    /// No endpoint has room now, so the request keeps waiting.
    Full,
    /// No endpoint can ever take the request, which is refused.
    Impossible,
}

impl Scheduler {
    /// Chooses an endpoint for a waiting request.
    pub(crate) fn choose_endpoint(&mut self, now: time::Instant, request: id::Request) -> Choice {
        let Some(waiting) = self.waiting.get(&request) else {
            return Choice::Full;
        };
        let mut suitable = self.candidates(now, waiting);
        let profile = &waiting.profile;
        let remaining = profile.remaining(now);
        let output = profile.output.0;
        if suitable
            .iter()
            .any(|candidate| candidate.is_in_time(output, remaining))
        {
            suitable.retain(|candidate| candidate.is_in_time(output, remaining));
        }
        let fits = |candidate: &Candidate| candidate.fits(profile.tier, waiting.cost);
        let (mut fitting, full): (Vec<Candidate>, Vec<Candidate>) =
            suitable.into_iter().partition(fits);
        if fitting.is_empty() {
            let choice = self.full_or_impossible(waiting);
            self.record_limiting_windows(&full);
            return choice;
        }
        let prefixes = &waiting.profile.prefixes;
        let cached_blocks = self.prefixes.cached_blocks_by_slot(prefixes);
        for candidate in &mut fitting {
            candidate.cached_blocks = cached_blocks.get(&candidate.slot).copied().unwrap_or(0);
        }
        let context = self.settings.context(now, self.members.len());
        let first_block = prefixes.first().copied();
        let chosen = context.choose(
            &mut self.rng,
            &mut self.round_robin_turn,
            &fitting,
            first_block,
        );
        self.record_limiting_windows(&full);
        chosen.map_or(Choice::Full, |candidate| Choice::At(candidate.slot))
    }

    /// Returns the endpoints of the service that could take the request,
    /// whether or not their windows have room.
    pub(crate) fn candidates(&self, now: time::Instant, waiting: &Waiting) -> Vec<Candidate> {
        let profile = &waiting.profile;
        let context = self.settings.context(now, self.members.len());
        let mut candidates = Vec::new();
        for &slot in self.fleet.of_service(&profile.service) {
            let Some(endpoint) = self.fleet.get(slot) else {
                continue;
            };
            if !endpoint.is_usable(profile.model.as_ref()) || !endpoint.is_open(now) {
                continue;
            }
            if waiting.avoided.contains(&endpoint.record.id) {
                continue;
            }
            let ignores_windows = context.policy == Policy::RoundRobin;
            if !ignores_windows
                && endpoint.window.prefill_time(endpoint.pending_prompt_tokens) > FIRST_TOKEN_TARGET
            {
                continue;
            }
            candidates.push(context.candidate(profile.tier, slot, endpoint));
        }
        candidates
    }

    /// Returns whether a request that fits no endpoint now may fit one later
    /// ([`Choice::Full`]) or never ([`Choice::Impossible`]).
    fn full_or_impossible(&self, waiting: &Waiting) -> Choice {
        let profile = &waiting.profile;
        for &slot in self.fleet.of_service(&profile.service) {
            let Some(endpoint) = self.fleet.get(slot) else {
                continue;
            };
            let usable = endpoint.is_usable(profile.model.as_ref());
            if usable && !waiting.avoided.contains(&endpoint.record.id) {
                return Choice::Full;
            }
        }
        Choice::Impossible
    }

    /// Records that the windows of these endpoints are keeping requests
    /// waiting.
    fn record_limiting_windows(&mut self, full: &[Candidate]) {
        for candidate in full {
            if let Some(endpoint) = self.fleet.get_mut(candidate.slot) {
                endpoint.window.record_limited();
            }
        }
    }

    /// Returns whether any endpoint can serve the request.
    pub(crate) fn has_usable_endpoint(&self, profile: &Profile) -> bool {
        let slots = self.fleet.of_service(&profile.service);
        let endpoints = slots.iter().filter_map(|slot| self.fleet.get(*slot));
        endpoints
            .into_iter()
            .any(|endpoint| endpoint.is_usable(profile.model.as_ref()))
    }
}

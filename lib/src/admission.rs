//! Queueing, admission and refusal of requests.

use std::{sync::Arc, time::Duration};

use rand::Rng;

use crate::{
    affinity,
    backlog::{Backlog, MAX_WAITING, ModelBacklog},
    balance::Policy,
    configuration,
    effect::Effect,
    fleet::{self, Slot},
    flight::{InFlight, Waiting},
    id,
    placement::Choice,
    quarantine::Verdict,
    refusal::{Reason, Refusal},
    request::Profile,
    scheduler::Scheduler,
    size, time,
};

/// Shortest retry delay that a refusal names.
pub(crate) const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Longest retry delay that a refusal names, before jitter.
pub(crate) const MAX_RETRY_DELAY: Duration = Duration::from_mins(1);

/// Multiple of the time until `admit_by` that the estimated wait must exceed
/// before a request is refused while requests of lower tiers wait. Those can be
/// evicted first, so that the service isn't overloaded yet for the higher tier.
const REFUSAL_WAIT_FACTOR: u32 = 2;

/// Largest random increase of a retry delay, relative to the delay.
const RETRY_JITTER: f64 = 0.25;

impl Scheduler {
    /// Admits a new request, queues it or refuses it.
    pub(crate) fn arrive(
        &mut self,
        now: time::Instant,
        request: id::Request,
        profile: Arc<Profile>,
    ) {
        let known = self.waiting.contains_key(&request) || self.in_flight.contains_key(&request);
        assert!(!known, "request {request} arrived twice");
        let Some(waiting) = self.classify(profile) else {
            return self.refuse(request, Reason::NoEndpoint, MIN_RETRY_DELAY);
        };
        match self.marks.verdict(now, waiting.profile.fingerprint) {
            Verdict::Confirmed => self.refuse(request, Reason::Quarantine, MAX_RETRY_DELAY),
            Verdict::Suspect => self.queue_suspect(now, request, waiting),
            Verdict::Clear => self.enqueue(now, request, waiting),
        }
    }

    /// Removes a request that its caller abandoned, whether it waits or was just
    /// admitted.
    pub(crate) fn withdraw(&mut self, now: time::Instant, request: id::Request) {
        if let Some(in_flight) = self.remove_in_flight(request) {
            return self.admit_waiting(now, &in_flight.waiting.profile.service);
        }
        if let Some(waiting) = self.remove_waiting(now, request) {
            self.admit_waiting(now, &waiting.profile.service);
        }
    }

    /// Queues an admitted request again that was not sent to its endpoint.
    pub(crate) fn requeue_unsent(&mut self, now: time::Instant, request: id::Request) {
        let Some(in_flight) = self.remove_in_flight(request) else {
            return;
        };
        let mut waiting = in_flight.waiting;
        if let Some(name) = self.avoid(now, in_flight.slot) {
            waiting.avoided.push(name);
        }
        self.enqueue(now, request, waiting);
    }

    /// Returns the request with its cost, or `None` if there is no configuration,
    /// its service isn't configured or no endpoint can serve it.
    fn classify(&mut self, profile: Arc<Profile>) -> Option<Waiting> {
        let configuration = self.configuration.as_ref()?;
        let service = configuration.services.get(&profile.service)?;
        let kind = service.kind;
        let workspace = configuration.workspaces.get(&profile.workspace);
        let share = workspace.map_or(1, |workspace| workspace.share);
        if !self.has_usable_endpoint(&profile) {
            return None;
        }
        let cached_blocks = self.prefixes.cached_blocks_by_slot(&profile.prefixes);
        let model_backlog = self.model_backlog(&profile);
        let expected_output = model_backlog.expected_output(profile.output.0);
        let most_blocks = cached_blocks.values().max().copied().unwrap_or(0);
        let cached = size::Tokens(affinity::BLOCK_TOKENS * most_blocks);
        let (cost, work) = match kind {
            configuration::Kind::Model => {
                let uncached = profile.prompt.saturating_sub(cached).0;
                (
                    profile.prompt.0 + expected_output,
                    uncached + expected_output,
                )
            }
            configuration::Kind::Plain => (1, 1),
        };
        let service_time = model_backlog.service_time(expected_output);
        let admit_by = profile.deadline - service_time;
        Some(Waiting {
            profile,
            kind,
            cost: cost.max(1),
            work: work.max(1),
            share,
            expected_output,
            admit_by,
            avoided: Vec::new(),
        })
    }

    /// Queues a request, or refuses it if its deadline would pass while it waits,
    /// and admits the requests that fit.
    fn enqueue(&mut self, now: time::Instant, request: id::Request, waiting: Waiting) {
        let profile = Arc::clone(&waiting.profile);
        let model_backlog = self.model_backlog(&profile);
        let wait = model_backlog.estimated_wait(profile.tier, &profile.workspace, waiting.share);
        let round_robin = self.settings.policy == Policy::RoundRobin;
        if waiting.admit_by <= now && !round_robin {
            return self.refuse(request, Reason::Deadline, MIN_RETRY_DELAY);
        }
        let slack = waiting.admit_by.since(now);
        let lowest = self
            .eviction_candidate(&profile.service)
            .map(|(tier, _)| tier);
        let factor = if lowest > Some(profile.tier) {
            REFUSAL_WAIT_FACTOR
        } else {
            1
        };
        if let Some(wait) = wait.filter(|wait| *wait > slack * factor) {
            self.shed_below(now, &profile.service, profile.tier);
            return self.refuse(request, Reason::Deadline, wait);
        }
        let model_backlog = self.model_backlog(&profile);
        let waited = !model_backlog.queue.is_empty();
        model_backlog.record_admission(now, 0, waited);
        model_backlog.record_arrival(now, profile.tier, waiting.work);
        model_backlog
            .queue
            .push(profile.tier, waiting.item(request));
        self.waiting.insert(request, waiting);
        self.admit_waiting(now, &profile.service);
        self.enforce_max_waiting(now, &profile.service);
        if self.draining && self.waiting.contains_key(&request) {
            self.remove_waiting(now, request);
            self.refuse(request, Reason::Shutdown, MIN_RETRY_DELAY);
        }
    }

    /// Admits waiting requests of a service while its endpoints have room.
    pub(crate) fn admit_waiting(&mut self, now: time::Instant, service: &id::Service) {
        self.admit_suspect(now, service);
        let mut blocked = Vec::new();
        loop {
            let Some(backlog) = self.backlogs.get(service) else {
                return;
            };
            let Some((model, request)) = backlog.next(&blocked) else {
                return;
            };
            match self.choose_endpoint(now, request) {
                Choice::At(slot) => self.admit(now, request, slot),
                Choice::Full => blocked.push(model),
                Choice::Impossible => {
                    self.remove_waiting(now, request);
                    self.refuse(request, Reason::NoEndpoint, MIN_RETRY_DELAY);
                }
            }
        }
    }

    /// Assigns a request to an endpoint.
    pub(crate) fn admit(&mut self, now: time::Instant, request: id::Request, slot: Slot) {
        let Some(waiting) = self.dequeue(now, request) else {
            return;
        };
        let blocks = self.prefixes.cached_blocks(slot, &waiting.profile.prefixes);
        let cached = size::Tokens(blocks * affinity::BLOCK_TOKENS);
        let uncached = waiting.profile.prompt.saturating_sub(cached).0;
        let Some(endpoint) = self.fleet.get_mut(slot) else {
            return;
        };
        let cost = waiting.cost;
        endpoint.own_tokens += cost;
        endpoint.own_tokens_by_tier[fleet::tier_index(waiting.profile.tier)] += cost;
        endpoint.window.record_in_flight(endpoint.own_tokens);
        endpoint.pending_prompt_tokens += uncached;
        endpoint.own_requests += 1;
        self.prefixes
            .record_dispatch(slot, &waiting.profile.prefixes);
        let name = endpoint.record.id.clone();
        let in_flight = InFlight {
            waiting,
            slot,
            cost,
            admitted_at: now,
            first_byte_at: None,
            received_tokens: 0,
            measured_since: now,
            uncached,
        };
        let previous = self.in_flight.insert(request, in_flight);
        assert!(previous.is_none(), "request {request} was admitted twice");
        self.effects.push(Effect::Admit(request, name));
    }

    /// Removes an admitted request and frees what it occupied at its endpoint.
    pub(crate) fn remove_in_flight(&mut self, request: id::Request) -> Option<InFlight> {
        let in_flight = self.in_flight.remove(&request)?;
        let slot = in_flight.slot;
        let endpoint = self.fleet.get_mut(slot)?;
        assert!(
            endpoint.own_tokens >= in_flight.cost,
            "request {request} holds more tokens than are in flight at its endpoint"
        );
        assert!(
            endpoint.own_requests > 0,
            "request {request} ends at an endpoint without requests in flight"
        );
        endpoint.own_tokens -= in_flight.cost;
        endpoint.own_tokens_by_tier[fleet::tier_index(in_flight.waiting.profile.tier)] -=
            in_flight.cost;
        if in_flight.first_byte_at.is_none() {
            endpoint.pending_prompt_tokens -= in_flight.uncached;
        }
        endpoint.own_requests -= 1;
        if endpoint.reserved == Some(request) {
            endpoint.reserved = None;
        }
        if self.fleet.release(slot) {
            self.prefixes.remove_endpoint(slot);
        }
        Some(in_flight)
    }

    /// Refuses a request that is in no queue; `delay` is the `retry_after` before
    /// bounds and jitter.
    pub(crate) fn refuse(&mut self, request: id::Request, reason: Reason, delay: Duration) {
        let spread = self.rng.random_range(1.0..1.0 + RETRY_JITTER);
        let retry_after = delay
            .clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
            .mul_f64(spread);
        let refusal = Refusal {
            reason,
            retry_after,
        };
        self.effects.push(Effect::Refuse(request, refusal));
    }

    /// Refuses every request below this tier that waits for the service.
    pub(crate) fn shed_below(&mut self, now: time::Instant, service: &id::Service, tier: id::Tier) {
        while let Some((lowest, request)) = self.eviction_candidate(service) {
            if lowest <= tier {
                return;
            }
            self.evict(now, request);
        }
    }

    /// Refuses the waiting requests whose deadline can't be met any more.
    pub(crate) fn expire(&mut self, now: time::Instant, service: &id::Service) {
        let mut overdue = self.overdue_suspects(now, service);
        let by_model = self.backlogs.get(service).map(|backlog| &backlog.by_model);
        for model_backlog in by_model.into_iter().flat_map(|by_model| by_model.values()) {
            for (admit_by, request) in model_backlog.queue.by_deadline() {
                if admit_by > now {
                    break;
                }
                overdue.push(request);
            }
        }
        for request in overdue {
            let Some(waiting) = self.remove_waiting(now, request) else {
                continue;
            };
            self.shed_below(now, service, waiting.profile.tier);
            let wait = self.estimated_wait(&waiting);
            self.refuse(request, Reason::Deadline, wait);
        }
    }

    /// Returns the waiting suspects whose deadline can't be met any more.
    fn overdue_suspects(&self, now: time::Instant, service: &id::Service) -> Vec<id::Request> {
        let mut overdue = Vec::new();
        let queue = self.isolation.queues.get(service);
        for request in queue.into_iter().flat_map(|queue| &queue.requests) {
            let Some(waiting) = self.waiting.get(request) else {
                continue;
            };
            if waiting.admit_by <= now {
                overdue.push(*request);
            }
        }
        overdue
    }

    /// Removes a waiting request from its queue, without admitting it.
    pub(crate) fn remove_waiting(
        &mut self,
        now: time::Instant,
        request: id::Request,
    ) -> Option<Waiting> {
        let waiting = self.waiting.remove(&request)?;
        let model_backlog = self.model_backlog(&waiting.profile);
        let waited = !model_backlog.queue.is_empty();
        model_backlog.record_admission(now, 0, waited);
        model_backlog.queue.remove(request);
        let service = &waiting.profile.service;
        let reserved = self.isolation.remove(service, request);
        if let Some(endpoint) = reserved.and_then(|slot| self.fleet.get_mut(slot)) {
            endpoint.reserved = None;
        }
        Some(waiting)
    }

    /// Returns the backlog of the request's service and model.
    pub(crate) fn model_backlog(&mut self, profile: &Profile) -> &mut ModelBacklog {
        let backlog = self.backlogs.entry(profile.service.clone()).or_default();
        backlog.by_model.entry(profile.model.clone()).or_default()
    }

    /// Removes a request from its queue in order to admit it.
    fn dequeue(&mut self, now: time::Instant, request: id::Request) -> Option<Waiting> {
        let waiting = self.waiting.remove(&request)?;
        let model_backlog = self.model_backlog(&waiting.profile);
        let waited = !model_backlog.queue.is_empty();
        if model_backlog
            .queue
            .peek()
            .is_some_and(|(_, next)| next == request)
        {
            model_backlog.queue.pop();
            model_backlog.record_admission(now, waiting.work, waited);
        }
        Some(waiting)
    }

    /// Returns the request to evict first and its tier.
    fn eviction_candidate(&self, service: &id::Service) -> Option<(id::Tier, id::Request)> {
        let queued = self.backlogs.get(service).and_then(Backlog::victim);
        let suspect = self.lowest_suspect(service);
        match (queued, suspect) {
            (Some(queued), Some(suspect)) if suspect.0 > queued.0 => Some(suspect),
            (queued, suspect) => queued.or(suspect),
        }
    }

    /// Evicts requests, lowest tier first, while more than [`MAX_WAITING`] wait
    /// for the service.
    fn enforce_max_waiting(&mut self, now: time::Instant, service: &id::Service) {
        while self.backlogs.get(service).map_or(0, Backlog::len) > MAX_WAITING {
            let Some((_, request)) = self.eviction_candidate(service) else {
                return;
            };
            self.evict(now, request);
        }
    }

    /// Refuses a waiting request of the lowest waiting tier for overload.
    fn evict(&mut self, now: time::Instant, request: id::Request) {
        let Some(waiting) = self.remove_waiting(now, request) else {
            return;
        };
        let profile = &waiting.profile;
        let lowest = self.eviction_candidate(&profile.service);
        assert!(
            lowest.is_none_or(|(tier, _)| tier <= profile.tier),
            "request {request} is refused for overload while a lower tier waits"
        );
        let wait = self.estimated_wait(&waiting);
        self.refuse(request, Reason::Overload, wait);
    }

    /// Returns the estimated wait of a request if it arrived now.
    fn estimated_wait(&mut self, waiting: &Waiting) -> Duration {
        let profile = &waiting.profile;
        let model_backlog = self.model_backlog(profile);
        let wait = model_backlog.estimated_wait(profile.tier, &profile.workspace, waiting.share);
        wait.unwrap_or(MIN_RETRY_DELAY)
    }
}

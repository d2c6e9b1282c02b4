//! Load reports, measurements and probes of endpoints, and the resulting health.

use std::{sync::Arc, time::Duration};

use crate::{
    configuration,
    effect::Effect,
    endpoint::{Cache, Load, Record},
    event::Outcome,
    fleet::{AVOID_PERIOD, Health, Slot},
    flight::InFlight,
    id,
    scheduler::Scheduler,
    size, time,
    window::FIRST_TOKEN_TARGET,
};

/// Time between two probes of a dead endpoint.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Time after which a probe without a result is sent again.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);

/// Span within which the deaths of several endpoints are attributed to the
/// network, not to the requests in flight there.
pub(crate) const DEATH_SPAN: Duration = Duration::from_secs(5);

/// Shortest time over which the speed of a stream is measured.
const MIN_SPEED_SPAN: Duration = Duration::from_millis(400);

impl Scheduler {
    /// Applies the operators' configuration.
    pub(crate) fn configure(
        &mut self,
        now: time::Instant,
        configuration: Arc<configuration::Configuration>,
    ) {
        for slot in self.fleet.slots() {
            let Some(endpoint) = self.fleet.get_mut(slot) else {
                continue;
            };
            if let Some(service) = configuration.services.get(&endpoint.record.service) {
                endpoint.window.configure(service.window.0);
            }
        }
        self.configuration = Some(configuration);
        self.admit_all_waiting(now);
    }

    /// Replaces the table of endpoints by a new host list.
    pub(crate) fn replace_endpoints(&mut self, now: time::Instant, records: Vec<Record>) {
        let configuration = self.configuration.clone();
        let freed = self.fleet.replace(records, |service| {
            let configuration = configuration.as_ref();
            let service =
                configuration.and_then(|configuration| configuration.services.get(service));
            service.map_or(1, |service| service.window.0)
        });
        self.share_windows();
        for slot in freed {
            self.prefixes.remove_endpoint(slot);
        }
        self.admit_all_waiting(now);
    }

    /// Replaces the list of live nodes.
    pub(crate) fn set_members(&mut self, members: Vec<(id::Node, id::DataCentre)>) {
        self.members = members;
        self.share_windows();
    }

    /// Divides every configured window among the current number of nodes.
    fn share_windows(&mut self) {
        let nodes = u64::try_from(self.members.len()).unwrap_or(u64::MAX);
        for slot in self.fleet.slots() {
            if let Some(endpoint) = self.fleet.get_mut(slot) {
                endpoint.window.set_nodes(nodes);
            }
        }
    }

    /// Records a load report of an endpoint.
    pub(crate) fn record_load(&mut self, now: time::Instant, name: &id::Endpoint, load: Load) {
        let Some(slot) = self.fleet.find(name) else {
            return;
        };
        let Some(endpoint) = self.fleet.get_mut(slot) else {
            return;
        };
        endpoint.other_tokens = load.tokens.0.saturating_sub(endpoint.own_tokens);
        if load.waiting > 0 {
            endpoint.window.record_queueing(now);
        }
        endpoint.load = Some(load);
        let service = endpoint.record.service.clone();
        self.admit_waiting(now, &service);
    }

    /// Records a change of an endpoint's prefix cache.
    pub(crate) fn record_cache_change(&mut self, name: &id::Endpoint, cache: &Cache) {
        if let Some(slot) = self.fleet.find(name) {
            self.prefixes.apply(slot, cache);
        }
    }

    /// Records the first byte of an answer, which counts as its first token.
    pub(crate) fn record_first_byte(&mut self, now: time::Instant, request: id::Request) {
        let Some(in_flight) = self.in_flight.get_mut(&request) else {
            return;
        };
        if in_flight.first_byte_at.is_some() {
            return;
        }
        in_flight.first_byte_at = Some(now);
        let took = now.since(in_flight.admitted_at);
        in_flight.measured_since = now;
        let (slot, uncached) = (in_flight.slot, in_flight.uncached);
        if let Some(endpoint) = self.fleet.get_mut(slot) {
            endpoint.pending_prompt_tokens -= uncached;
        }
        let profile = Arc::clone(&in_flight.waiting.profile);
        self.model_backlog(&profile)
            .first_token_secs
            .record(took.as_secs_f64());
    }

    /// Records further tokens of an answer and measures the stream's speed.
    pub(crate) fn record_progress(
        &mut self,
        now: time::Instant,
        request: id::Request,
        more: size::Tokens,
    ) {
        let Some(in_flight) = self.in_flight.get_mut(&request) else {
            return;
        };
        if in_flight.waiting.kind == configuration::Kind::Plain {
            return;
        }
        in_flight.received_tokens += more.0;
        let span = now.since(in_flight.measured_since);
        if span < MIN_SPEED_SPAN {
            return;
        }
        #[expect(clippy::cast_precision_loss, reason = "a rate")]
        let rate = in_flight.received_tokens as f64 / span.as_secs_f64();
        in_flight.measured_since = now;
        in_flight.received_tokens = 0;
        if let Some(endpoint) = self.fleet.get_mut(in_flight.slot) {
            endpoint.window.record_speed(now, rate);
        }
    }

    /// Records the end of an admitted request.
    pub(crate) fn record_end(
        &mut self,
        now: time::Instant,
        request: id::Request,
        outcome: Outcome,
    ) {
        let Some(in_flight) = self.remove_in_flight(request) else {
            return;
        };
        match outcome {
            Outcome::Answered { cached, output } => {
                self.record_first_token(now, &in_flight, cached);
                self.record_answer(now, &in_flight, output);
            }
            Outcome::Cancelled => {}
            Outcome::Rejected => self.record_rejection(now, in_flight.slot),
            Outcome::Broken | Outcome::Stalled => self.record_break(now, &in_flight),
        }
        let service = &in_flight.waiting.profile.service;
        self.admit_waiting(now, service);
    }

    /// Records the result of a probe on a new connection.
    pub(crate) fn record_probe(&mut self, now: time::Instant, name: &id::Endpoint, answered: bool) {
        let Some(slot) = self.fleet.find(name) else {
            return;
        };
        let Some(endpoint) = self.fleet.get_mut(slot) else {
            return;
        };
        let died = !answered && matches!(endpoint.health, Health::Probing(_));
        if answered {
            endpoint.broken_fingerprints.clear();
            endpoint.health = Health::Healthy;
        } else {
            endpoint.health = Health::Dead(now + PROBE_PERIOD);
        }
        let service = endpoint.record.service.clone();
        if died {
            self.record_death(now, slot);
        }
        self.admit_waiting(now, &service);
    }

    /// Expires marks, sends due probes, decreases the windows of slow endpoints,
    /// refuses overdue requests and admits waiting ones.
    pub(crate) fn tick(&mut self, now: time::Instant) {
        self.marks.expire(now);
        self.deaths.retain(|_, at| now.since(*at) <= DEATH_SPAN);
        self.unmarked_deaths.retain(|_, deaths| {
            deaths.retain(|_, at| now.since(*at) <= DEATH_SPAN);
            !deaths.is_empty()
        });
        self.probe_due_endpoints(now);
        self.check_overdue_first_tokens(now);
        let services: Vec<id::Service> = self.backlogs.keys().cloned().collect();
        for service in services {
            self.expire(now, &service);
            self.admit_waiting(now, &service);
        }
    }

    /// Decreases the windows of endpoints whose first tokens are overdue.
    fn check_overdue_first_tokens(&mut self, now: time::Instant) {
        for in_flight in self.in_flight.values() {
            if in_flight.first_byte_at.is_some() {
                continue;
            }
            let Some(endpoint) = self.fleet.get_mut(in_flight.slot) else {
                continue;
            };
            let expected = endpoint.window.prefill_time(in_flight.uncached);
            if now.since(in_flight.admitted_at) > expected + FIRST_TOKEN_TARGET {
                endpoint.window.record_queueing(now);
            }
        }
    }

    /// Avoids an endpoint that could not be reached for [`AVOID_PERIOD`], has it
    /// probed and returns its name.
    pub(crate) fn avoid(&mut self, now: time::Instant, slot: Slot) -> Option<id::Endpoint> {
        let endpoint = self.fleet.get_mut(slot)?;
        endpoint.avoided_until = now + AVOID_PERIOD;
        let name = endpoint.record.id.clone();
        self.request_probe(now, slot);
        Some(name)
    }

    /// Has an endpoint probed, unless it is dead or a probe is pending.
    fn request_probe(&mut self, now: time::Instant, slot: Slot) {
        let Some(endpoint) = self.fleet.get_mut(slot) else {
            return;
        };
        if matches!(endpoint.health, Health::Probing(_) | Health::Dead(_)) {
            return;
        }
        endpoint.health = Health::Probing(now);
        let name = endpoint.record.id.clone();
        self.effects.push(Effect::Probe(name));
    }

    /// Records the time to the first token of an answered request.
    fn record_first_token(
        &mut self,
        now: time::Instant,
        in_flight: &InFlight,
        cached: size::Tokens,
    ) {
        let Some(first_byte_at) = in_flight.first_byte_at else {
            return;
        };
        let took = first_byte_at.since(in_flight.admitted_at);
        let prompt = in_flight.waiting.profile.prompt;
        if let Some(endpoint) = self.fleet.get_mut(in_flight.slot) {
            let uncached = prompt.saturating_sub(cached);
            endpoint.window.record_first_token(now, took, uncached.0);
        }
    }

    /// Records the length and speed of a complete answer.
    fn record_answer(&mut self, now: time::Instant, in_flight: &InFlight, output: size::Tokens) {
        let profile = &in_flight.waiting.profile;
        self.marks.record_answer(now, profile.fingerprint);
        let Some(first_byte_at) = in_flight.first_byte_at else {
            return;
        };
        let took = now.since(first_byte_at).as_secs_f64();
        let model_backlog = self.model_backlog(profile);
        #[expect(clippy::cast_precision_loss, reason = "rates and ratios")]
        let (output, most) = (output.0 as f64, profile.output.0 as f64);
        if most > 0.0 {
            model_backlog.output_ratio.record((output / most).min(1.0));
        }
        if took > 0.0 && output > 1.0 {
            model_backlog.tokens_per_sec.record(output / took);
        }
    }

    /// Decreases the window of an endpoint that rejected a request and avoids it
    /// for a while.
    fn record_rejection(&mut self, now: time::Instant, slot: Slot) {
        let Some(endpoint) = self.fleet.get_mut(slot) else {
            return;
        };
        endpoint.window.decrease();
        endpoint.avoided_until = now + AVOID_PERIOD;
    }

    /// Marks a request whose connection broke or stalled and has its endpoint
    /// probed.
    fn record_break(&mut self, now: time::Instant, in_flight: &InFlight) {
        let fingerprint = in_flight.waiting.profile.fingerprint;
        if let Some(endpoint) = self.fleet.get_mut(in_flight.slot) {
            endpoint.broken_fingerprints.insert(fingerprint);
        }
        let mark = self.marks.record_break(now, fingerprint);
        self.effects.push(Effect::Quarantine(mark));
        self.request_probe(now, in_flight.slot);
    }

    /// Probes dead endpoints and those whose pending probe timed out.
    fn probe_due_endpoints(&mut self, now: time::Instant) {
        for slot in self.fleet.slots() {
            let Some(endpoint) = self.fleet.get_mut(slot) else {
                continue;
            };
            let due = match endpoint.health {
                Health::Healthy => false,
                Health::Probing(since) => now.since(since) >= PROBE_TIMEOUT,
                Health::Dead(next) => next <= now,
            };
            if !due {
                continue;
            }
            match &mut endpoint.health {
                Health::Dead(next) => *next = now + PROBE_PERIOD,
                health => *health = Health::Probing(now),
            }
            let name = endpoint.record.id.clone();
            self.effects.push(Effect::Probe(name));
        }
    }

    fn admit_all_waiting(&mut self, now: time::Instant) {
        let services: Vec<id::Service> = self.backlogs.keys().cloned().collect();
        for service in services {
            self.admit_waiting(now, &service);
        }
    }
}

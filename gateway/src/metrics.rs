//! Metrics of the gateway.

use std::time::Duration;

use dottereltally::problem::Reason;
use dottereltally_lib::{
    crash::Finding,
    era::Era,
    id,
    rollout::{Counts, State, Weight},
};
use http::StatusCode;
use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::{Registry, Unit},
};

/// Upper bounds of the latency buckets.
const LATENCY_BUCKETS_SECONDS: [f64; 13] = [
    0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0, 30.0,
];

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AnswerLabels {
    tier: u8,
    status: u16,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    reason: String,
    status: u16,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TierLabels {
    tier: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct FailureLabels {
    failure: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EvidenceLabels {
    evidence: Evidence,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ExaminationLabels {
    finding: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SilenceLabels {
    silence: Silence,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ObstacleLabels {
    cause: &'static str,
}

/// How the silence of an endpoint ended for which another one was sought.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Silence {
    /// It was heard before the request was sent to another one.
    Withdrawn,
    /// It went on after the request was sent to another one.
    Kept,
    /// It broke after the request was sent to another one.
    Broken,
    /// Another one has the request.
    Replaced,
}

/// Evidence about requests that may crash endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Evidence {
    /// A request got no answer.
    Loss,
    /// A request was at the death of an endpoint.
    Death,
    /// Another node reported a suspicion.
    Received,
    /// A suspicion was withdrawn.
    Withdrawn,
    /// Evidence was dropped for lack of space.
    Dropped,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OriginLabels {
    event: OriginEvent,
}

/// What happens to the memory of the versions that began streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum OriginEvent {
    /// A stream began here and is remembered.
    Remembered,
    /// Another node told of a stream.
    Told,
    /// Another node was asked about a stream.
    Asked,
    /// The version of a stream that a caller took up was found.
    Found,
    /// It was not known for certain.
    Unknown,
    /// Something was dropped for lack of space.
    Dropped,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ConfirmationLabels {
    result: Confirmation,
}

/// What an endpoint answered that was asked which process it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Confirmation {
    /// It is the listed one.
    Same,
    /// It is another one.
    Other,
    /// It did not tell.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RolloutLabels {
    service: String,
    version: String,
}

impl RolloutLabels {
    fn new(service: &id::Service, version: Option<&id::Version>) -> Self {
        Self {
            service: service.to_string(),
            version: version.map(id::Version::to_string).unwrap_or_default(),
        }
    }
}

/// Metrics of roll-outs, by service and version.
#[derive(Clone, Debug, Default)]
struct Rollouts {
    weight: Family<RolloutLabels, Gauge>,
    step: Family<RolloutLabels, Gauge>,
    sent: Family<RolloutLabels, Counter>,
    failed: Family<RolloutLabels, Counter>,
    slow: Family<RolloutLabels, Counter>,
}

impl Rollouts {
    fn register(&self, registry: &mut Registry) {
        registry.register(
            "rollout_weight",
            "Requests of 10,000 that the target of a roll-out gets",
            self.weight.clone(),
        );
        registry.register(
            "rollout_step",
            "Step of a roll-out that is in force at this node",
            self.step.clone(),
        );
        registry.register(
            "rollout_sent",
            "Requests sent since the order of a roll-out",
            self.sent.clone(),
        );
        registry.register(
            "rollout_failed",
            "Requests that failed since the order of a roll-out",
            self.failed.clone(),
        );
        registry.register(
            "rollout_slow",
            "Answers since the order of a roll-out that took several times as long as expected",
            self.slow.clone(),
        );
    }
}

/// The metrics; clones share them.
#[derive(Clone, Debug)]
pub struct Metrics {
    answers: Family<AnswerLabels, Counter>,
    refusals: Family<RefusalLabels, Counter>,
    failures: Family<FailureLabels, Counter>,
    silences: Family<SilenceLabels, Counter>,
    failed_searches: Family<ObstacleLabels, Counter>,
    not_resumed: Family<ObstacleLabels, Counter>,
    crash_evidence: Family<EvidenceLabels, Counter>,
    examinations: Family<ExaminationLabels, Counter>,
    stream_origins: Family<OriginLabels, Counter>,
    confirmations: Family<ConfirmationLabels, Counter>,
    rollouts: Rollouts,
    origin_datagrams: Counter,
    origin_bytes: Counter,
    first_event: Family<TierLabels, Histogram, fn() -> Histogram>,
    answer_duration: Family<TierLabels, Histogram, fn() -> Histogram>,
    /// Streams that were resumed at another endpoint.
    pub resumed: Counter,
    /// Streams that were cut off before their end.
    pub cut: Counter,
    /// Retries that the budget did not allow.
    pub budget_exhausted: Counter,
    /// Calls to the key-value service.
    pub store_calls: Counter,
    /// Calls to it that failed.
    pub store_failures: Counter,
    /// Entries of the directory that can't be read.
    pub unusable_entries: Counter,
    /// Times that an endpoint began to name limits that could not be read.
    pub unreadable_limits: Counter,
    /// Times that an endpoint began to say what could not be read.
    pub unreadable_notices: Counter,
    /// Reports of an endpoint's load that could not be read.
    pub unreadable_loads: Counter,
    /// Endpoints that are reached through another node only.
    pub detours: Gauge,
    /// Endpoints that name a limit.
    pub limited_endpoints: Gauge,
    /// Endpoints in slow start.
    pub starting_endpoints: Gauge,
    /// Endpoints that work slower now than usual.
    pub slow_endpoints: Gauge,
    /// Requests so far that were refused from the queue, as they would not be served in time.
    pub unserved_requests: Gauge,
    /// Requests so far that were refused with a time at which they are expected again.
    pub announced_returns: Gauge,
    /// Requests so far that came back at that time.
    pub returned_requests: Gauge,
    /// Requests so far that were accepted to show how long they take, although they were not
    /// expected to end in time.
    pub trials: Gauge,
    /// Parts of prompts that could not be read, or were too many.
    pub unread_parts: Counter,
    /// Parts of prompts with which requests are refused.
    pub refused_parts: Gauge,
    /// Probes of it while it did not answer.
    pub store_probes: Counter,
    /// Times that another era of it was read.
    pub store_restorations: Counter,
    /// Era of it that was read last, as it announced it.
    pub store_era: Gauge,
    /// Generation of the plan in force.
    pub generation: Gauge,
    /// Endpoints that may get requests.
    pub endpoints: Gauge,
    /// Other nodes that send heartbeats.
    pub peers: Gauge,
    /// Requests that wait for an endpoint.
    pub waiting: Gauge,
    /// Requests at endpoints.
    pub running: Gauge,
    /// Memory that the bodies of requests take, bytes.
    pub body_bytes: Gauge,
    /// Log lines that were dropped.
    pub dropped_lines: Gauge,
}

fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BUCKETS_SECONDS)
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            answers: Family::default(),
            refusals: Family::default(),
            failures: Family::default(),
            silences: Family::default(),
            failed_searches: Family::default(),
            not_resumed: Family::default(),
            crash_evidence: Family::default(),
            examinations: Family::default(),
            stream_origins: Family::default(),
            confirmations: Family::default(),
            rollouts: Rollouts::default(),
            origin_datagrams: Counter::default(),
            origin_bytes: Counter::default(),
            first_event: Family::new_with_constructor(latency_histogram),
            answer_duration: Family::new_with_constructor(latency_histogram),
            resumed: Counter::default(),
            cut: Counter::default(),
            budget_exhausted: Counter::default(),
            store_calls: Counter::default(),
            store_failures: Counter::default(),
            store_probes: Counter::default(),
            store_restorations: Counter::default(),
            store_era: Gauge::default(),
            unusable_entries: Counter::default(),
            unreadable_limits: Counter::default(),
            unreadable_notices: Counter::default(),
            unreadable_loads: Counter::default(),
            detours: Gauge::default(),
            limited_endpoints: Gauge::default(),
            starting_endpoints: Gauge::default(),
            slow_endpoints: Gauge::default(),
            unserved_requests: Gauge::default(),
            announced_returns: Gauge::default(),
            returned_requests: Gauge::default(),
            trials: Gauge::default(),
            unread_parts: Counter::default(),
            refused_parts: Gauge::default(),
            generation: Gauge::default(),
            endpoints: Gauge::default(),
            peers: Gauge::default(),
            waiting: Gauge::default(),
            running: Gauge::default(),
            body_bytes: Gauge::default(),
            dropped_lines: Gauge::default(),
        }
    }
}

impl Metrics {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "answers",
            "Answers of endpoints that were passed on",
            self.answers.clone(),
        );
        registry.register(
            "refusals",
            "Answers of the gateway's own",
            self.refusals.clone(),
        );
        registry.register(
            "failed_attempts",
            "Sends without a usable answer",
            self.failures.clone(),
        );
        registry.register(
            "silences",
            "Silences of endpoints for which another one was sought",
            self.silences.clone(),
        );
        registry.register(
            "failed_searches",
            "Searches for another endpoint that found none",
            self.failed_searches.clone(),
        );
        registry.register(
            "not_resumed",
            "Streams that broke and went on nowhere",
            self.not_resumed.clone(),
        );
        registry.register(
            "confirmations",
            "Endpoints that were asked which process they are, as the directory was not read",
            self.confirmations.clone(),
        );
        registry.register(
            "crash_evidence",
            "Evidence about requests that may crash endpoints",
            self.crash_evidence.clone(),
        );
        registry.register(
            "examinations",
            "Examinations of endpoints at which requests were lost",
            self.examinations.clone(),
        );
        self.register_origins(registry);
        self.rollouts.register(registry);
        registry.register_with_unit(
            "first_event",
            "Time from a request to the first event of its answer",
            Unit::Seconds,
            self.first_event.clone(),
        );
        registry.register_with_unit(
            "answer",
            "Time from a request to the end of its answer",
            Unit::Seconds,
            self.answer_duration.clone(),
        );
        self.register_counters(registry);
        self.register_gauges(registry);
    }

    /// Sets the era of the key-value service that was read last.
    pub fn set_store_era(&self, era: Era) {
        let announced = i64::try_from(era.announced).unwrap_or(i64::MAX);
        self.store_era.set(announced);
    }

    fn register_counters(&self, registry: &mut Registry) {
        for (name, help, counter) in [
            ("resumed", "Streams that went on elsewhere", &self.resumed),
            ("cut", "Streams that broke off", &self.cut),
            (
                "budget_exhausted",
                "Repeats without budget",
                &self.budget_exhausted,
            ),
            (
                "store_calls",
                "Calls of the key-value service",
                &self.store_calls,
            ),
            (
                "store_failures",
                "Calls of the key-value service that failed",
                &self.store_failures,
            ),
            (
                "unusable_entries",
                "Entries of the directory that can't be read",
                &self.unusable_entries,
            ),
            (
                "unreadable_limits",
                "Times that an endpoint began to name limits that can't be read",
                &self.unreadable_limits,
            ),
            (
                "unreadable_notices",
                "Times that an endpoint began to say what can't be read, beside its limit",
                &self.unreadable_notices,
            ),
            (
                "unreadable_loads",
                "Answers in which an endpoint reported a load that can't be read",
                &self.unreadable_loads,
            ),
            (
                "unread_parts",
                "Parts of prompts that were not read",
                &self.unread_parts,
            ),
            (
                "store_probes",
                "Probes of the key-value service while it did not answer",
                &self.store_probes,
            ),
            (
                "store_restorations",
                "Times that another era of the key-value service was read",
                &self.store_restorations,
            ),
        ] {
            registry.register(name, help, counter.clone());
        }
    }

    fn register_gauges(&self, registry: &mut Registry) {
        for (name, help, gauge) in [
            ("generation", "Plan in force", &self.generation),
            (
                "store_era",
                "Era of the key-value service that was read last",
                &self.store_era,
            ),
            ("endpoints", "Listed endpoints", &self.endpoints),
            ("peers", "Other nodes that are heard", &self.peers),
            ("waiting", "Requests that wait", &self.waiting),
            ("running", "Requests at endpoints", &self.running),
            (
                "detours",
                "Endpoints that are reached through another node only",
                &self.detours,
            ),
            (
                "limited_endpoints",
                "Endpoints that name a limit of requests a second",
                &self.limited_endpoints,
            ),
            (
                "starting_endpoints",
                "Endpoints in slow start, which get few requests at first",
                &self.starting_endpoints,
            ),
            (
                "slow_endpoints",
                "Endpoints that work slower now than usual, by 15 % or more",
                &self.slow_endpoints,
            ),
            (
                "unserved_requests",
                "Requests refused from the queue, as they would not be served in time",
                &self.unserved_requests,
            ),
            (
                "announced_returns",
                "Requests refused with a time at which they are expected again",
                &self.announced_returns,
            ),
            (
                "returned_requests",
                "Refused requests that came back at the time that they were told",
                &self.returned_requests,
            ),
            (
                "trials",
                "Requests accepted to show how long they take, although not expected in time",
                &self.trials,
            ),
            (
                "refused_parts",
                "Parts of prompts with which requests are refused",
                &self.refused_parts,
            ),
            (
                "body_bytes",
                "Memory that the bodies of requests take, bytes",
                &self.body_bytes,
            ),
            (
                "dropped_lines",
                "Log lines that were dropped",
                &self.dropped_lines,
            ),
        ] {
            registry.register(name, help, gauge.clone());
        }
    }

    /// Registers the metrics of the memory of streams' origins.
    fn register_origins(&self, registry: &mut Registry) {
        registry.register(
            "stream_origins",
            "Versions that began streams: remembered, told, asked, found, unknown, dropped",
            self.stream_origins.clone(),
        );
        registry.register(
            "origin_datagrams",
            "Datagrams to other nodes about where streams began",
            self.origin_datagrams.clone(),
        );
        registry.register_with_unit(
            "origin_datagrams",
            "Size of these datagrams, without headers",
            Unit::Bytes,
            self.origin_bytes.clone(),
        );
    }

    /// Records the step of a roll-out that is in force.
    pub fn set_rollout(&self, service: &id::Service, state: &State) {
        let labels = RolloutLabels::new(service, Some(&state.target));
        let step = i64::from(state.step.0);
        self.rollouts.step.get_or_create(&labels).set(step);
        self.set_rollout_weight(service, &state.target, state.weight);
    }

    /// Records the weight of a roll-out's target that is in force.
    pub fn set_rollout_weight(&self, service: &id::Service, target: &id::Version, weight: Weight) {
        let labels = RolloutLabels::new(service, Some(target));
        let weight = i64::from(weight.0);
        self.rollouts.weight.get_or_create(&labels).set(weight);
    }

    /// Records a request that was sent while a roll-out is ordered.
    pub fn rollout_sent(&self, service: &id::Service, version: Option<&id::Version>) {
        let labels = RolloutLabels::new(service, version);
        self.rollouts.sent.get_or_create(&labels).inc();
    }

    /// Records the end of a request while a roll-out is ordered.
    pub fn rollout_ended(
        &self,
        service: &id::Service,
        version: Option<&id::Version>,
        counts: Counts,
    ) {
        let labels = RolloutLabels::new(service, version);
        let failed = u64::from(counts.failed);
        self.rollouts.failed.get_or_create(&labels).inc_by(failed);
        let slow = u64::from(counts.slow);
        self.rollouts.slow.get_or_create(&labels).inc_by(slow);
    }

    /// Records an endpoint's answer that was passed on to its end.
    pub fn answered(&self, tier: id::Tier, status: StatusCode, elapsed: Duration) {
        let labels = AnswerLabels {
            tier: tier.0,
            status: status.as_u16(),
        };
        self.answers.get_or_create(&labels).inc();
        let labels = TierLabels { tier: tier.0 };
        self.answer_duration
            .get_or_create(&labels)
            .observe(elapsed.as_secs_f64());
    }

    /// Records the first event of a stream.
    pub fn first_event(&self, tier: id::Tier, elapsed: Duration) {
        let labels = TierLabels { tier: tier.0 };
        self.first_event
            .get_or_create(&labels)
            .observe(elapsed.as_secs_f64());
    }

    /// Records a refusal, which the gateway answers itself.
    pub fn refused(&self, reason: Reason, status: StatusCode) {
        let labels = RefusalLabels {
            reason: reason.to_string(),
            status: status.as_u16(),
        };
        self.refusals.get_or_create(&labels).inc();
    }

    /// Records an attempt without a usable answer.
    pub fn attempt_failed(&self, failure: &'static str) {
        let labels = FailureLabels { failure };
        self.failures.get_or_create(&labels).inc();
    }

    /// Records how the silence of an endpoint ended.
    pub fn silence(&self, silence: Silence) {
        let labels = SilenceLabels { silence };
        self.silences.get_or_create(&labels).inc();
    }

    /// Records why no other endpoint was found.
    pub fn search_failed(&self, cause: &'static str) {
        let labels = ObstacleLabels { cause };
        self.failed_searches.get_or_create(&labels).inc();
    }

    /// Records why a stream was not resumed.
    pub fn not_resumed(&self, cause: &'static str) {
        let labels = ObstacleLabels { cause };
        self.not_resumed.get_or_create(&labels).inc();
    }

    /// Records what an endpoint answered that was asked which process it is.
    pub fn confirmation(&self, result: Confirmation) {
        let labels = ConfirmationLabels { result };
        self.confirmations.get_or_create(&labels).inc();
    }

    /// Records evidence about a request that may crash endpoints.
    pub fn crash_evidence(&self, evidence: Evidence) {
        let labels = EvidenceLabels { evidence };
        self.crash_evidence.get_or_create(&labels).inc();
    }

    /// Records that evidence was dropped for lack of space.
    pub fn crash_evidence_dropped(&self, dropped: u64) {
        let evidence = Evidence::Dropped;
        let labels = EvidenceLabels { evidence };
        self.crash_evidence.get_or_create(&labels).inc_by(dropped);
    }

    /// Records an event of the memory of the versions that began streams.
    pub fn origin(&self, event: OriginEvent) {
        let labels = OriginLabels { event };
        self.stream_origins.get_or_create(&labels).inc();
    }

    /// Records that origins of streams were dropped for lack of space.
    pub fn origins_dropped(&self, dropped: u64) {
        let event = OriginEvent::Dropped;
        let labels = OriginLabels { event };
        self.stream_origins.get_or_create(&labels).inc_by(dropped);
    }

    /// Records a datagram of this size in bytes about origins of streams.
    pub fn origin_datagram(&self, bytes: usize) {
        self.origin_datagrams.inc();
        self.origin_bytes
            .inc_by(u64::try_from(bytes).unwrap_or(u64::MAX));
    }

    /// Returns how many datagrams about origins of streams were sent, and their
    /// bytes without headers.
    #[must_use]
    pub fn origin_traffic(&self) -> (u64, u64) {
        (self.origin_datagrams.get(), self.origin_bytes.get())
    }

    /// Records the examination of an endpoint.
    pub fn endpoint_examined(&self, finding: Finding) {
        let labels = ExaminationLabels {
            finding: finding.to_string(),
        };
        self.examinations.get_or_create(&labels).inc();
    }
}

//! Metrics of the request path.

use std::{fmt, time::Duration};

use derive_more::Display;
use dottereltally_lib::{id, request::Profile, size::Tokens};
use dottereltally_store::ingress;
use prometheus_client::{
    collector::Collector,
    encoding::{DescriptorEncoder, EncodeLabelSet, EncodeMetric},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::{ConstGauge, Gauge},
        histogram::Histogram,
    },
    registry::{Registry, Unit},
};

use crate::problem::Reason;

/// Upper bounds of the histogram buckets for the time to the first token, seconds.
const FIRST_TOKEN_BUCKETS_SECONDS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.66, 1.0, 2.5, 5.0, 10.0, 30.0,
];

/// How a dispatched request ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Completion {
    /// The whole response was sent on before the deadline.
    #[display("whole")]
    Whole,
    /// The whole response was sent on after the deadline.
    #[display("late")]
    Late,
    /// The endpoint refused the request without running it.
    #[display("rejected")]
    Rejected,
    /// The endpoint responded with a server error.
    #[display("failed")]
    Failed,
    /// The caller left.
    #[display("cancelled")]
    Cancelled,
    /// The deadline passed.
    #[display("expired")]
    Expired,
    /// The connection to the endpoint broke.
    #[display("broken")]
    Broken,
    /// The response was larger than can be kept.
    #[display("answer-too-large")]
    TooLarge,
    /// The endpoint stopped responding.
    #[display("stalled")]
    Stalled,
    /// The endpoint sent the response to another request.
    #[display("crossed")]
    Crossed,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AnswerLabels {
    tier: u8,
    result: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    tier: String,
    reason: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TierLabels {
    tier: u8,
}

/// Collects the memory that the bodies of requests take.
#[derive(Clone, Debug)]
pub struct Bodies(pub ingress::Pool);

impl Collector for Bodies {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        let gauge = ConstGauge::new(i64::try_from(self.0.used()).unwrap_or(i64::MAX));
        let metric = encoder.encode_descriptor(
            "body_bytes",
            "Memory that the bodies of requests take, bytes",
            None,
            gauge.metric_type(),
        )?;
        gauge.encode(metric)
    }
}

/// Metrics of the requests; clones share them.
#[derive(Clone, Debug)]
pub struct Metrics {
    answers: Family<AnswerLabels, Counter>,
    refusals: Family<RefusalLabels, Counter>,
    wasted_prefill: Family<TierLabels, Counter>,
    first_token: Family<TierLabels, Histogram, fn() -> Histogram>,
    in_flight: Gauge,
    unsent: Counter,
}

fn first_token_histogram() -> Histogram {
    Histogram::new(FIRST_TOKEN_BUCKETS_SECONDS)
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            answers: Family::default(),
            refusals: Family::default(),
            wasted_prefill: Family::default(),
            first_token: Family::new_with_constructor(first_token_histogram),
            in_flight: Gauge::default(),
            unsent: Counter::default(),
        }
    }
}

impl Metrics {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "answers",
            "Dispatched requests by tier and result; goodput is the result whole",
            self.answers.clone(),
        );
        registry.register(
            "refusals",
            "Requests that were not dispatched, by tier and reason",
            self.refusals.clone(),
        );
        registry.register(
            "wasted_prefill_tokens",
            "Prompt tokens computed for answers that were not delivered whole",
            self.wasted_prefill.clone(),
        );
        registry.register_with_unit(
            "first_token",
            "Time from a request's receipt to its answer's first byte",
            Unit::Seconds,
            self.first_token.clone(),
        );
        registry.register(
            "in_flight",
            "Requests that are at an endpoint",
            self.in_flight.clone(),
        );
        registry.register(
            "unsent",
            "Admitted requests that were not handed over and went to another endpoint",
            self.unsent.clone(),
        );
    }

    /// Counts a request that was not dispatched.
    pub fn refused(&self, tier: Option<id::Tier>, reason: Reason) {
        let labels = RefusalLabels {
            tier: tier.map_or_else(|| "none".to_owned(), |tier| tier.to_string()),
            reason: reason.to_string(),
        };
        self.refusals.get_or_create(&labels).inc();
    }

    /// Counts a request that is about to be sent to an endpoint.
    pub fn dispatched(&self) {
        self.in_flight.inc();
    }

    /// Counts a dispatched request of which nothing was sent.
    pub fn unsent(&self) {
        self.in_flight.dec();
        self.unsent.inc();
    }

    /// Records the time to the first byte of a response.
    pub fn started(&self, tier: id::Tier, delay: Duration) {
        self.first_token
            .get_or_create(&TierLabels { tier: tier.0 })
            .observe(delay.as_secs_f64());
    }

    /// Counts the end of a dispatched request.
    pub fn ended(&self, profile: &Profile, result: Completion, cached: Tokens) {
        self.in_flight.dec();
        let labels = AnswerLabels {
            tier: profile.tier.0,
            result: result.to_string(),
        };
        self.answers.get_or_create(&labels).inc();
        if matches!(
            result,
            Completion::Whole | Completion::Late | Completion::Rejected
        ) {
            return;
        }
        let wasted = profile.prompt.saturating_sub(cached);
        self.wasted_prefill
            .get_or_create(&TierLabels {
                tier: profile.tier.0,
            })
            .inc_by(wasted.0);
    }
}

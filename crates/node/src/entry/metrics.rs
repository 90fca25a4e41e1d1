//! Metrics of an entry.

use std::time;

use guavausher_core::refusal;
use prometheus_client::encoding;
use prometheus_client::metrics::{counter, family, gauge, histogram};
use prometheus_client::registry;

/// Upper bounds of the first-token buckets in seconds; one is the target of 1.6 s.
const FIRST_BUCKETS: [f64; 10] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.6, 5.0];

/// Metrics of an entry; clones share their values.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Requests taken in.
    pub requests: counter::Counter,
    /// Requests without a final answer or record.
    pub in_flight: gauge::Gauge,
    /// Generation of the configuration in force.
    pub generation: gauge::Gauge,
    /// Tokens forwarded to callers.
    pub tokens: counter::Counter,
    /// Tokens dropped as repeated or foreign.
    pub dropped: counter::Counter,
    /// Attempts sent to upstreams.
    pub attempts: counter::Counter,
    refusals: family::Family<RefusalLabels, counter::Counter>,
    first: histogram::Histogram,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, encoding::EncodeLabelSet)]
struct RefusalLabels {
    code: &'static str,
    verdict: &'static str,
}

impl Metrics {
    /// Creates the metrics and registers them.
    pub fn register(registry: &mut registry::Registry) -> Self {
        let metrics = Self {
            requests: counter::Counter::default(),
            in_flight: gauge::Gauge::default(),
            generation: gauge::Gauge::default(),
            tokens: counter::Counter::default(),
            dropped: counter::Counter::default(),
            attempts: counter::Counter::default(),
            refusals: family::Family::default(),
            first: histogram::Histogram::new(FIRST_BUCKETS),
        };
        let own = registry.sub_registry_with_prefix("guavausher_entry");
        own.register("requests", "Requests taken in", metrics.requests.clone());
        own.register(
            "requests_in_flight",
            "Requests in progress",
            metrics.in_flight.clone(),
        );
        own.register(
            "config_generation",
            "Generation in force",
            metrics.generation.clone(),
        );
        own.register(
            "tokens",
            "Tokens forwarded to callers",
            metrics.tokens.clone(),
        );
        own.register(
            "tokens_dropped",
            "Repeated or foreign tokens",
            metrics.dropped.clone(),
        );
        own.register(
            "attempts",
            "Attempts sent to upstreams",
            metrics.attempts.clone(),
        );
        own.register(
            "refusals",
            "Final answers by the entry",
            metrics.refusals.clone(),
        );
        own.register(
            "first_token_seconds",
            "Arrival to first token",
            metrics.first.clone(),
        );
        metrics
    }

    /// Counts a refusal.
    pub fn refused(&self, refusal: refusal::Refusal) {
        let labels = RefusalLabels {
            code: refusal.code.as_str(),
            verdict: refusal.verdict.as_str(),
        };
        self.refusals.get_or_create(&labels).inc();
    }

    /// Records the time from arrival to the first token.
    pub fn first_token(&self, after: time::Duration) {
        self.first.observe(after.as_secs_f64());
    }
}

//! Metrics of a controller.

use std::fmt;

use guavausher_core::control;
use prometheus_client::encoding;
use prometheus_client::metrics::counter;
use prometheus_client::metrics::family;
use prometheus_client::metrics::gauge;
use prometheus_client::registry;

/// Metrics of a controller, shared between threads.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// Shards whose lease is held.
    pub leases: gauge::Gauge,
    /// Steps of rollouts that were written.
    pub decisions: counter::Counter,
    /// Halts that were stated.
    pub halts: counter::Counter,
    /// Configuration generation in force.
    pub generation: gauge::Gauge,
    orders: family::Family<Labels, counter::Counter>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Labels {
    outcome: &'static str,
}

impl encoding::EncodeLabelSet for Labels {
    fn encode(&self, encoder: &mut encoding::LabelSetEncoder<'_>) -> Result<(), fmt::Error> {
        [("outcome", self.outcome)].encode(encoder)
    }
}

impl Metrics {
    /// Registers the metrics.
    pub fn register(registry: &mut registry::Registry) -> Self {
        let metrics = Self::default();
        registry.register(
            "guavausher_leases_held",
            "Shards whose lease is held",
            metrics.leases.clone(),
        );
        registry.register(
            "guavausher_rollout_steps",
            "Steps of rollouts that were written",
            metrics.decisions.clone(),
        );
        registry.register(
            "guavausher_rollout_halts",
            "Halts that were stated",
            metrics.halts.clone(),
        );
        registry.register(
            "guavausher_generation",
            "Configuration generation in force",
            metrics.generation.clone(),
        );
        registry.register(
            "guavausher_orders",
            "Orders to upstreams by outcome",
            metrics.orders.clone(),
        );
        metrics
    }

    /// Counts the end of an order.
    pub fn ordered(&self, outcome: control::Outcome) {
        let outcome = match outcome {
            control::Outcome::Accepted => "taken",
            control::Outcome::Fenced => "fenced",
            control::Outcome::Failed => "failed",
        };
        self.orders.get_or_create(&Labels { outcome }).inc();
    }
}

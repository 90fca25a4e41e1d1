//! Counters of store calls.

use guavausher_core::store;
use prometheus_client::encoding;
use prometheus_client::metrics::counter;
use prometheus_client::metrics::family;
use prometheus_client::registry;

/// Counters of store calls by kind and outcome, shared between threads.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    calls: family::Family<Labels, counter::Counter>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Labels {
    kind: &'static str,
    outcome: &'static str,
}

impl encoding::EncodeLabelSet for Labels {
    fn encode(&self, encoder: &mut encoding::LabelSetEncoder<'_>) -> Result<(), std::fmt::Error> {
        [("kind", self.kind), ("outcome", self.outcome)].encode(encoder)
    }
}

impl Metrics {
    /// Registers the counters.
    pub fn register(&self, registry: &mut registry::Registry) {
        registry.register(
            "guavausher_store_calls",
            "Calls to the platform's service by kind and outcome",
            self.calls.clone(),
        );
    }

    /// Counts one call with its reply.
    pub fn count(&self, call: &store::Call, reply: &store::Reply) {
        let labels = Labels {
            kind: kind_of(call),
            outcome: outcome_of(reply),
        };
        self.calls.get_or_create(&labels).inc();
    }
}

const fn kind_of(call: &store::Call) -> &'static str {
    match call {
        store::Call::Read { .. } => "read",
        store::Call::Write { .. } => "write",
        store::Call::Delete { .. } => "delete",
        store::Call::List { .. } => "list",
        store::Call::Watch { .. } => "watch",
        store::Call::Instances => "instances",
        store::Call::Notices { .. } => "notices",
    }
}

const fn outcome_of(reply: &store::Reply) -> &'static str {
    match reply {
        store::Reply::Failed(_) => "failed",
        store::Reply::Conflict => "conflict",
        _ => "ok",
    }
}

//! Metrics of a process.

use std::time::Duration;

use guavausher_core::relay::{effect, state};
use guavausher_core::time;
use prometheus_client::encoding;
use prometheus_client::metrics::{counter, family, gauge, histogram};
use prometheus_client::registry;

/// Upper bounds of the buckets of times in seconds.
const TIME_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0,
];

/// Labels of a request's outcome.
#[derive(Clone, Debug, Eq, Hash, PartialEq, encoding::EncodeLabelSet)]
pub struct Outcome {
    /// `answered`, `refused`, `cut` or `abandoned`.
    pub outcome: &'static str,
    /// Why, for a refusal.
    pub reason: &'static str,
}

/// Labels of an attempt's end.
#[derive(Clone, Debug, Eq, Hash, PartialEq, encoding::EncodeLabelSet)]
pub struct Ending {
    /// How it ended.
    pub ending: &'static str,
}

/// Labels of what an engine said of itself.
#[derive(Clone, Debug, Eq, Hash, PartialEq, encoding::EncodeLabelSet)]
pub struct Word {
    /// `leaving` or `hold`.
    pub word: &'static str,
    /// `answer`, `list` or `peer`.
    pub source: &'static str,
}

/// Labels of a count of engines.
#[derive(Clone, Debug, Eq, Hash, PartialEq, encoding::EncodeLabelSet)]
struct Engines {
    service: String,
    standing: &'static str,
}

/// Label of a workspace.
#[derive(Clone, Debug, Eq, Hash, PartialEq, encoding::EncodeLabelSet)]
struct Workspace {
    workspace: String,
}

/// Labels of a call to the platform.
#[derive(Clone, Debug, Eq, Hash, PartialEq, encoding::EncodeLabelSet)]
pub struct Call {
    /// What was called.
    pub call: &'static str,
    /// Status, or 0 without a reply.
    pub status: u16,
}

/// Metrics of a process; clones share their values.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Requests by outcome.
    pub requests: family::Family<Outcome, counter::Counter>,
    /// Attempts by their end.
    pub attempts: family::Family<Ending, counter::Counter>,
    /// Calls to the platform.
    pub calls: family::Family<Call, counter::Counter>,
    /// What engines said of themselves, by where it came from.
    pub words: family::Family<Word, counter::Counter>,
    /// Requests in progress.
    pub progress: gauge::Gauge,
    /// Version of the manifest in force.
    pub manifest: gauge::Gauge,
    /// Whether this process holds the lease on the duties.
    pub lease: gauge::Gauge,
    /// From arrival to the first event.
    pub first: histogram::Histogram,
    /// From arrival to the end.
    pub whole: histogram::Histogram,
    /// Pauses between reads of a stream.
    pub gaps: histogram::Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            requests: family::Family::default(),
            attempts: family::Family::default(),
            calls: family::Family::default(),
            words: family::Family::default(),
            progress: gauge::Gauge::default(),
            manifest: gauge::Gauge::default(),
            lease: gauge::Gauge::default(),
            first: histogram::Histogram::new(TIME_BUCKETS),
            whole: histogram::Histogram::new(TIME_BUCKETS),
            gaps: histogram::Histogram::new(TIME_BUCKETS),
        }
    }
}

impl Metrics {
    /// Counts the end of a request.
    pub fn ended(&self, outcome: &'static str, reason: &'static str, took: Duration) {
        let labels = Outcome { outcome, reason };
        self.requests.get_or_create(&labels).inc();
        self.whole.observe(took.as_secs_f64());
    }

    /// Counts the end of an attempt.
    pub fn attempt(&self, ending: &'static str) {
        self.attempts.get_or_create(&Ending { ending }).inc();
    }

    /// Counts a call to the platform.
    pub fn called(&self, call: &'static str, status: u16) {
        self.calls.get_or_create(&Call { call, status }).inc();
    }

    /// Counts what an engine said of itself.
    pub fn word(&self, word: &'static str, source: effect::Source) {
        let source = match source {
            effect::Source::Answer => "answer",
            effect::Source::List => "list",
            effect::Source::Peer => "peer",
        };
        self.words.get_or_create(&Word { word, source }).inc();
    }

    /// Returns all metrics as text, with what the process believes at the moment.
    pub fn text(&self, now: time::Time, state: &state::State) -> String {
        let mut registry = registry::Registry::with_prefix("guavausher_relay");
        registry.register("requests", "Requests by outcome", self.requests.clone());
        registry.register("attempts", "Attempts by their end", self.attempts.clone());
        registry.register(
            "platform_calls",
            "Calls to the platform",
            self.calls.clone(),
        );
        registry.register(
            "engine_words",
            "What engines said of themselves",
            self.words.clone(),
        );
        registry.register(
            "requests_in_progress",
            "Open requests",
            self.progress.clone(),
        );
        registry.register(
            "manifest_version",
            "Manifest in force",
            self.manifest.clone(),
        );
        registry.register("lease_held", "1 while duties are held", self.lease.clone());
        registry.register(
            "first_event_seconds",
            "To the first event",
            self.first.clone(),
        );
        registry.register("whole_seconds", "To the end", self.whole.clone());
        registry.register(
            "gap_seconds",
            "Between reads of a stream",
            self.gaps.clone(),
        );
        let engines: family::Family<Engines, gauge::Gauge> = family::Family::default();
        for engine in state.fleet.all() {
            let service = engine.service.to_string();
            let standing = match state.fleet.hold_end(now, engine) {
                _ if engine.leaving => "leaving",
                Some(_) => "held",
                None => "open",
            };
            let labels = Engines { service, standing };
            engines.get_or_create(&labels).inc();
        }
        registry.register("engines", "Engines by service and standing", engines);
        let instances: gauge::Gauge = gauge::Gauge::default();
        instances.set(state.peers.serving(now).count() as i64 + 1);
        registry.register("instances", "Instances heard, this one included", instances);
        let fed: gauge::Gauge = gauge::Gauge::default();
        fed.set(i64::from(state.watching));
        registry.register("fed", "1 while the store tells changes", fed);
        let part: gauge::Gauge<f64, std::sync::atomic::AtomicU64> = gauge::Gauge::default();
        part.set(state.peers.reachable_share(now));
        registry.register("cap_part", "Part of shared caps in use here", part);
        let spent: family::Family<Workspace, counter::Counter> = family::Family::default();
        for (workspace, units) in state.caps.spent() {
            let workspace = workspace.to_string();
            spent.get_or_create(&Workspace { workspace }).inc_by(units);
        }
        registry.register("cap_units", "Units admitted by workspace", spent);
        let dropped: counter::Counter = counter::Counter::default();
        dropped.inc_by(guavausher_logging::writer::dropped());
        registry.register("log_lines_dropped", "Log lines not written", dropped);
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encoding::text::encode(&mut text, &registry);
        text
    }
}

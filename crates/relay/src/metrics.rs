//! Metrics of a process.

pub mod labels;

use std::sync;
use std::time::Duration;

use guavausher_core::name;
use guavausher_core::relay::{effect, state};
use guavausher_core::time;
use prometheus_client::encoding;
use prometheus_client::metrics::{counter, family, gauge, histogram};
use prometheus_client::registry;

/// Upper bounds of the histogram buckets for durations, in seconds.
const TIME_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0,
];

/// Metrics of a process; clones share their values.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Requests by outcome.
    pub requests: family::Family<labels::Outcome, counter::Counter>,
    /// Attempts by outcome.
    pub attempts: family::Family<labels::AttemptEnd, counter::Counter>,
    /// Calls to the platform.
    pub calls: family::Family<labels::Call, counter::Counter>,
    /// Engine notices by source.
    pub notices: family::Family<labels::Notice, counter::Counter>,
    /// Probes of blocked requests and parts of prompts.
    pub probes: family::Family<labels::Blocked, counter::Counter>,
    /// Requests on which the rate limit of an engine had an effect.
    pub limited: family::Family<labels::Limited, counter::Counter>,
    /// Responses that ended although they were begun.
    pub truncated: family::Family<labels::Truncated, counter::Counter>,
    /// Ends of engines' responses.
    pub engine_responses: family::Family<labels::EngineResponse, counter::Counter>,
    /// Silences of attempts.
    pub silences: family::Family<labels::Silence, counter::Counter>,
    /// Requests refused although an engine of their service had a free slot.
    pub refused_beside_free: family::Family<labels::Service, counter::Counter>,
    /// Seconds of work on events, by kind.
    pub event_time: family::Family<labels::Event, counter::Counter<f64, sync::atomic::AtomicU64>>,
    /// Seconds by which timers fire late.
    pub timer_lag: histogram::Histogram,
    /// Stored objects that are skipped.
    pub skipped: family::Family<labels::Kind, gauge::Gauge>,
    /// Requests in progress.
    pub in_progress: gauge::Gauge,
    /// Version of the manifest in force.
    pub manifest: gauge::Gauge,
    /// 1 while this process holds the lease on the duties.
    pub lease: gauge::Gauge,
    /// Seconds from arrival to the first event.
    pub first_event: histogram::Histogram,
    /// Seconds from arrival to the end of the request.
    pub duration: histogram::Histogram,
    /// Seconds between two writes of a response to the caller.
    pub write_gaps: histogram::Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            requests: family::Family::default(),
            attempts: family::Family::default(),
            calls: family::Family::default(),
            notices: family::Family::default(),
            probes: family::Family::default(),
            limited: family::Family::default(),
            truncated: family::Family::default(),
            engine_responses: family::Family::default(),
            silences: family::Family::default(),
            refused_beside_free: family::Family::default(),
            event_time: family::Family::default(),
            timer_lag: histogram::Histogram::new(TIME_BUCKETS),
            skipped: family::Family::default(),
            in_progress: gauge::Gauge::default(),
            manifest: gauge::Gauge::default(),
            lease: gauge::Gauge::default(),
            first_event: histogram::Histogram::new(TIME_BUCKETS),
            duration: histogram::Histogram::new(TIME_BUCKETS),
            write_gaps: histogram::Histogram::new(TIME_BUCKETS),
        }
    }
}

impl Metrics {
    /// Counts the end of a request.
    pub fn count_request(&self, outcome: &'static str, reason: &'static str, took: Duration) {
        let labels = labels::Outcome { outcome, reason };
        self.requests.get_or_create(&labels).inc();
        self.duration.observe(took.as_secs_f64());
    }

    /// Counts the end of an attempt.
    pub fn count_attempt(&self, ending: &'static str) {
        self.attempts
            .get_or_create(&labels::AttemptEnd { ending })
            .inc();
    }

    /// Counts a call to the platform.
    pub fn count_call(&self, call: &'static str, status: u16) {
        self.calls
            .get_or_create(&labels::Call { call, status })
            .inc();
    }

    /// Counts an engine notice.
    pub fn count_notice(&self, word: &'static str, source: effect::Source) {
        let source = match source {
            effect::Source::Answer => "answer",
            effect::Source::List => "list",
            effect::Source::Peer => "peer",
            effect::Source::Expiry => "expiry",
        };
        self.notices
            .get_or_create(&labels::Notice { word, source })
            .inc();
    }

    /// Counts a probe of a blocked request or part of prompts.
    pub fn count_probe(&self, kind: &'static str) {
        self.probes.get_or_create(&labels::Blocked { kind }).inc();
    }

    /// Counts a request on which the rate limit of an engine had an effect.
    pub fn count_limited(&self, outcome: &'static str) {
        self.limited
            .get_or_create(&labels::Limited { outcome })
            .inc();
    }

    /// Counts the work on an event.
    pub fn count_event(&self, event: &'static str, took: Duration) {
        let labels = labels::Event { event };
        let time = self.event_time.get_or_create(&labels);
        time.inc_by(took.as_secs_f64());
    }

    /// Counts a response that ended although it was begun.
    pub fn count_truncated(&self, ended_by: &'static str, no_retry: &'static str) {
        let labels = labels::Truncated { ended_by, no_retry };
        self.truncated.get_or_create(&labels).inc();
    }

    /// Counts the end of an engine's response.
    pub fn count_engine_response(&self, framing: &'static str, end: &'static str) {
        let labels = labels::EngineResponse { framing, end };
        self.engine_responses.get_or_create(&labels).inc();
    }

    /// Counts a request that was refused although an engine of its service had a free slot.
    pub fn count_refused_beside_free(&self, service: &name::Name) {
        let service = service.to_string();
        let labels = labels::Service { service };
        self.refused_beside_free.get_or_create(&labels).inc();
    }

    /// Sets how many stored objects of a kind are skipped.
    pub fn set_skipped(&self, kind: &'static str, count: usize) {
        self.skipped
            .get_or_create(&labels::Kind { kind })
            .set(count as i64);
    }

    /// Counts a silence of an attempt.
    pub fn count_silence(&self, limit: &'static str, no_retry: &'static str) {
        let labels = labels::Silence { limit, no_retry };
        self.silences.get_or_create(&labels).inc();
    }

    /// Returns all metrics in the Prometheus text format, with gauges of the current state.
    pub fn text(&self, now: time::Time, state: &state::State) -> String {
        let mut registry = registry::Registry::with_prefix("guavausher_relay");
        registry.register("requests", "Requests by outcome", self.requests.clone());
        registry.register("attempts", "Attempts by outcome", self.attempts.clone());
        registry.register(
            "platform_calls",
            "Calls to the platform",
            self.calls.clone(),
        );
        registry.register(
            "engine_words",
            "Engine notices by kind and source",
            self.notices.clone(),
        );
        registry.register(
            "suspect_probes",
            "Requests that were sent although they, or a part of their prompts, are blocked",
            self.probes.clone(),
        );
        registry.register(
            "rate_limited_requests",
            "Requests placed elsewhere or refused because of an engine's rate limit",
            self.limited.clone(),
        );
        registry.register(
            "truncated_responses",
            "Responses that ended although they were begun, by the end of the last attempt",
            self.truncated.clone(),
        );
        registry.register(
            "engine_responses",
            "Ends of engines' responses by how the body was delimited",
            self.engine_responses.clone(),
        );
        registry.register(
            "engine_silences",
            "Attempts from which nothing had arrived for too long, by what followed",
            self.silences.clone(),
        );
        registry.register(
            "refused_beside_free_slot",
            "Requests refused as overloaded although an engine had a free slot",
            self.refused_beside_free.clone(),
        );
        registry.register(
            "event_seconds",
            "Work on events by kind",
            self.event_time.clone(),
        );
        registry.register(
            "timer_lag_seconds",
            "Time by which timers fire late",
            self.timer_lag.clone(),
        );
        registry.register(
            "skipped_objects",
            "Stored objects whose content cannot be used",
            self.skipped.clone(),
        );
        registry.register(
            "requests_in_progress",
            "Requests in progress",
            self.in_progress.clone(),
        );
        registry.register(
            "manifest_version",
            "Version of the manifest in force",
            self.manifest.clone(),
        );
        registry.register(
            "lease_held",
            "1 while this process holds the lease on the duties",
            self.lease.clone(),
        );
        registry.register(
            "first_event_seconds",
            "Time from arrival to the first event",
            self.first_event.clone(),
        );
        registry.register(
            "whole_seconds",
            "Time from arrival to the end of the request",
            self.duration.clone(),
        );
        registry.register(
            "gap_seconds",
            "Time between two writes of a response to the caller",
            self.write_gaps.clone(),
        );
        let failing: family::Family<labels::Service, gauge::Gauge> = family::Family::default();
        for order in state.rollouts.failing() {
            let service = order.service.to_string();
            failing.get_or_create(&labels::Service { service }).set(1);
        }
        registry.register(
            "failing_completed_versions",
            "1 for a service whose completed rollout led to a version that fails here",
            failing,
        );
        let engines: family::Family<labels::Engines, gauge::Gauge> = family::Family::default();
        for engine in state.fleet.all() {
            let service = engine.service.to_string();
            let standing = match state.fleet.hold_end(now, engine) {
                _ if engine.leaving => "leaving",
                Some(_) => "held",
                None if state.fleet.rate_limit(now, engine).is_some() => "limited",
                None => "open",
            };
            let labels = labels::Engines { service, standing };
            engines.get_or_create(&labels).inc();
        }
        registry.register("engines", "Engines by service and status", engines);
        let blocked: family::Family<labels::Blocked, gauge::Gauge> = family::Family::default();
        for suspect in state.suspects.blocked(now) {
            let kind = suspect.kind();
            blocked.get_or_create(&labels::Blocked { kind }).inc();
        }
        registry.register(
            "blocked",
            "Requests and parts of prompts that are blocked since engines crashed under them",
            blocked,
        );
        let instances: gauge::Gauge = gauge::Gauge::default();
        instances.set(state.peers.serving(now).count() as i64 + 1);
        registry.register(
            "instances",
            "Reachable instances, this one included",
            instances,
        );
        let watching: gauge::Gauge = gauge::Gauge::default();
        watching.set(i64::from(state.watching));
        registry.register(
            "fed",
            "1 while this process watches the store for changes",
            watching,
        );
        let era: gauge::Gauge = gauge::Gauge::default();
        era.set(state.era as i64);
        registry.register(
            "store_era",
            "Era of the store since which it has returned from an older copy; 0 if that has not been seen",
            era,
        );
        let share: gauge::Gauge<f64, std::sync::atomic::AtomicU64> = gauge::Gauge::default();
        share.set(state.peers.reachable_share(now));
        registry.register(
            "cap_part",
            "Share of the workspace caps that this process may use",
            share,
        );
        let spent: family::Family<labels::Workspace, counter::Counter> = family::Family::default();
        for (workspace, units) in state.caps.spent() {
            let workspace = workspace.to_string();
            spent
                .get_or_create(&labels::Workspace { workspace })
                .inc_by(units);
        }
        registry.register("cap_units", "Units admitted by workspace", spent);
        let dropped: counter::Counter = counter::Counter::default();
        dropped.inc_by(guavausher_logging::writer::dropped());
        registry.register("log_lines_dropped", "Log lines that were dropped", dropped);
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encoding::text::encode(&mut text, &registry);
        text
    }
}

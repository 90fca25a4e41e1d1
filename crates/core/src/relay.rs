//! Decisions of opaque forwarding: requests are forwarded with method, path, headers and body
//! unchanged.
//!
//! The reducer, [`reduce::reduce`], turns each [`event::Event`] into [`effect::Effect`]s. All its
//! input is data: the manifest, the list of engines, the requests of callers, the outcomes of
//! attempts and the digests of other instances.

pub mod allowance;
pub mod canary_samples;
pub mod caps;
pub mod catch_up;
pub mod clock;
pub mod cold_bound;
pub mod connections;
pub mod contention;
pub mod crash_report;
pub mod crashed_engine;
pub mod culprits;
pub mod digest;
pub mod duties;
pub mod effect;
pub mod engine;
pub mod engine_notices;
mod engine_state;
pub mod evacuations;
pub mod event;
pub mod failed_attempts;
pub mod fleet;
pub mod flight;
pub mod gossip;
pub mod group;
pub mod groups;
pub mod heartbeat;
pub mod load;
pub mod load_report;
pub mod manifest;
pub mod member;
pub mod memory;
pub mod memory_limits;
pub mod message;
pub mod moments;
pub mod orders;
pub mod outage;
pub mod pace;
pub mod peer;
pub mod peer_data;
pub mod peers;
pub mod position;
pub mod prefill_totals;
pub mod prefix_cache;
pub mod probes;
pub mod process_report;
pub mod rank;
pub mod rate_limit;
pub mod reduce;
pub mod request;
pub mod retry_budget;
pub mod rollouts;
pub mod route;
pub mod saved_block;
pub mod scaling;
pub mod service;
pub mod settings;
pub mod slot_usage;
pub mod speed;
pub mod state;
pub mod subject;
pub mod successes;
pub mod sum;
pub mod summary;
pub mod suspects;
pub mod usage_counts;
pub mod version_stats;
pub mod waiting;
pub mod watch_timing;
pub mod watcher_promotion;
pub mod window_counts;
pub mod workspace;
pub mod workspace_usage;

//! The settings and state of an engine.

use std::collections;
use std::sync;
use std::time;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs;
use tokio::sync::Notify;
use tokio::sync::watch;

use super::ask;
use super::batch;
use super::cache;
use super::config;
use super::kv;
use super::orders;
use super::prompt;
use super::stream;
use crate::faults;
use crate::handle;
use crate::lagged;
use crate::load;
use crate::runs;

/// The faults that apply to an engine.
const FAULTS: &[&str] = &[
    "fail",
    "delay_ms",
    "lose_next",
    "freeze",
    "leave",
    "reset_at",
    "duplicate_tokens",
    "wrong_attempt",
    "truncate_at",
    "error_rate",
    "slow_factor",
    "load_lag_ms",
    "cache_lag_ms",
    "cache_gap_rate",
];

/// An engine's settings and state.
#[derive(Debug)]
pub(super) struct Engine {
    /// Settings.
    pub config: config::Config,
    /// Faults.
    pub switch: faults::Switch,
    incarnation: u64,
    phase: watch::Sender<handle::Phase>,
    state: sync::Mutex<State>,
}

/// What changes while an engine runs.
#[derive(Debug)]
pub(super) struct State {
    /// Slots and queue.
    pub batch: batch::Batch,
    /// Prefix cache.
    pub cache: cache::Cache,
    /// Exported and imported KV cache.
    pub kv: kv::Kv,
    /// Orders that were taken.
    pub orders: orders::Orders,
    /// Runs by key.
    pub runs: runs::Runs,
    /// Signals to cancel running streams, by attempt.
    pub streams: collections::HashMap<String, sync::Arc<Notify>>,
    /// How many streams have run.
    pub serial: u64,
    load: lagged::Lagged<load::Load>,
    rng: rngs::SmallRng,
}

impl Engine {
    /// Builds an idle engine, whose crash ends `phase`.
    pub(super) fn new(config: config::Config, phase: watch::Sender<handle::Phase>) -> Self {
        let first = faults::Faults {
            load_lag_ms: config.load_lag_ms,
            cache_lag_ms: config.cache_lag_ms,
            cache_gap_rate: config.cache_gap_rate,
            ..faults::Faults::default()
        };
        let incarnation = load::incarnation(config.incarnation);
        let switch = faults::Switch::new(first, FAULTS);
        let state = sync::Mutex::new(State::new(&config));
        Self {
            config,
            switch,
            incarnation,
            phase,
            state,
        }
    }

    /// Locks the state.
    pub(super) fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns the gap between two tokens.
    pub(super) fn gap(&self) -> time::Duration {
        self.slowed(time::Duration::from_millis(self.config.token_ms))
    }

    /// Returns how long the prefill of some tokens takes.
    pub(super) fn prefill(&self, tokens: u64) -> time::Duration {
        self.slowed(time::Duration::from_micros(
            self.config.prefill_us.saturating_mul(tokens),
        ))
    }

    /// Plans a stream and marks its prefix as used.
    pub(super) fn plan(&self, ask: ask::Ask, attempt: &str) -> stream::Plan {
        let chain = prompt::blocks(ask.prompt.split_whitespace());
        let words = ask.prompt.split_whitespace().count() as u64;
        let fingerprint = prompt::fingerprint(&ask.prompt);
        let attempt = attempt.to_owned();
        let export = kv::Export {
            attempt,
            fingerprint,
            prompt: words,
            offset: ask.first,
        };
        let mut state = self.lock();
        let hits = state.cache.hit(&chain) * prompt::BLOCK_WORDS;
        let imported = state.kv.imported(fingerprint);
        state.kv.begin(export.clone());
        stream::Plan {
            attempt: export.attempt,
            text: ask.prompt,
            chain,
            fingerprint,
            prompt: words + ask.first,
            cached: imported.max(hits as u64).min(words + ask.first),
            first: ask.first,
            end: ask.end,
        }
    }

    /// Stores a chain of blocks in the prefix cache.
    pub(super) fn store(&self, chain: &[u64]) {
        let gap_rate = self.switch.get().cache_gap_rate;
        self.lock().cache.store(chain, gap_rate);
    }

    /// Returns the load as it was before the lag.
    pub(super) fn load(&self) -> load::Load {
        let lag_ms = self.switch.get().load_lag_ms;
        let mut load = self
            .lock()
            .load
            .get(time::Duration::from_millis(lag_ms))
            .clone();
        load.incarnation = self.incarnation;
        load.at_ms = load::unix_ms().saturating_sub(lag_ms);
        load
    }

    /// Notes the present load for later reports.
    pub(super) fn note(&self, state: &mut State) {
        state.load.set(load::Load {
            queue: state.batch.queued(),
            running: state.batch.running(),
            slots: self.config.slots,
            version: state.orders.version().to_owned(),
            leaving: self.switch.get().leave,
            ..load::Load::default()
        });
    }

    /// Crashes: every connection closes at once.
    pub(super) fn crash(&self) {
        self.phase
            .send_if_modified(|phase| handle::end(phase, handle::Phase::Crashed));
    }

    /// Returns true in `rate` of a thousand cases.
    pub(super) fn chance(&self, rate: u16) -> bool {
        self.lock()
            .rng
            .random_ratio(u32::from(rate.min(1_000)), 1_000)
    }

    fn slowed(&self, base: time::Duration) -> time::Duration {
        base.saturating_mul(self.switch.get().slow_factor)
    }
}

impl State {
    fn new(config: &config::Config) -> Self {
        Self {
            batch: batch::Batch::new(config.slots, config.queue),
            cache: cache::Cache::new(config.cache_blocks, config.seed),
            kv: kv::Kv::default(),
            orders: orders::Orders::new(config.fencing, config.version.clone()),
            runs: runs::Runs::default(),
            streams: collections::HashMap::new(),
            serial: 0,
            load: lagged::Lagged::new(load::Load {
                slots: config.slots,
                version: config.version.clone(),
                ..load::Load::default()
            }),
            rng: rngs::SmallRng::seed_from_u64(config.seed),
        }
    }
}

//! The settings and state of a platform.

use std::sync;
use std::time;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs;
use tokio::sync::watch;

use super::calls;
use super::cloud;
use super::config;
use super::instances;
use super::objects;
use super::weights;
use crate::faults;
use crate::reply;
use crate::request;

/// The longest wait of a watch in milliseconds.
const MAX_WAIT_MS: u64 = 30_000;

/// The faults that apply to a platform.
const FAULTS: &[&str] = &[
    "fail",
    "delay_ms",
    "lose_next",
    "freeze",
    "reset_at",
    "error_rate",
    "slow_factor",
    "list_lag_ms",
    "refuse_rate",
];

/// A platform's settings and state.
#[derive(Debug)]
pub(super) struct Platform {
    /// Faults.
    pub switch: faults::Switch,
    config: config::Config,
    changes: watch::Sender<u64>,
    state: sync::Mutex<State>,
}

/// What changes while a platform runs.
#[derive(Debug)]
pub(super) struct State {
    /// Object API.
    pub objects: objects::Objects,
    /// Instance list.
    pub instances: instances::Instances,
    /// Cloud API.
    pub cloud: cloud::Cloud,
    /// Rate of the weight store.
    pub bucket: weights::Bucket,
    /// Calls by kind.
    pub calls: calls::Calls,
    rng: rngs::SmallRng,
}

impl Platform {
    /// Builds an empty platform.
    pub(super) fn new(config: config::Config) -> Self {
        let first = faults::Faults {
            list_lag_ms: config.list_lag_ms,
            refuse_rate: config.refuse_rate,
            ..faults::Faults::default()
        };
        let state = State {
            objects: objects::Objects::default(),
            instances: instances::Instances::default(),
            cloud: cloud::Cloud::default(),
            bucket: weights::Bucket::new(config.weight_rate),
            calls: calls::Calls::default(),
            rng: rngs::SmallRng::seed_from_u64(config.seed),
        };
        let switch = faults::Switch::new(first, FAULTS);
        Self {
            switch,
            config,
            changes: watch::Sender::new(0),
            state: sync::Mutex::new(state),
        }
    }

    /// Locks the state.
    pub(super) fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Takes the time of one call, and delays and freezes as told.
    pub(super) async fn hold(&self) {
        let slow = self.switch.get().slow_factor;
        let call = time::Duration::from_millis(self.config.call_ms).saturating_mul(slow);
        if !call.is_zero() {
            tokio::time::sleep(call).await;
        }
        self.switch.hold().await;
    }

    /// Returns true in `rate` of a thousand cases.
    pub(super) fn chance(&self, rate: u16) -> bool {
        self.lock()
            .rng
            .random_ratio(u32::from(rate.min(1_000)), 1_000)
    }

    /// Wakes the waiting calls.
    pub(super) fn wake(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Answers with a page once it is not empty, after the request's wait, or with an outage.
    ///
    /// `page` returns whether the page holds anything, and the page.
    pub(super) async fn wait<T: serde::Serialize>(
        &self,
        request: &request::Request,
        page: impl Fn() -> (bool, T),
    ) -> reply::Response {
        let wait_ms = match request::query_number(request, "wait_ms", 0) {
            Ok(wait_ms) => wait_ms.min(MAX_WAIT_MS),
            Err(response) => return *response,
        };
        let end = tokio::time::Instant::now() + time::Duration::from_millis(wait_ms);
        let mut changes = self.changes.subscribe();
        let mut faults = self.switch.subscribe();
        loop {
            changes.mark_unchanged();
            let (full, page) = page();
            if full || tokio::time::Instant::now() >= end {
                return reply::json(http::StatusCode::OK, &page);
            }
            tokio::select! {
                _ = changes.changed() => {}
                _ = faults.wait_for(|faults| faults.fail) => return reply::failed(),
                () = tokio::time::sleep_until(end) => {}
            }
        }
    }
}

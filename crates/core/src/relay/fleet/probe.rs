//! Selection of an idle engine for a request although it is expected to respond too late.
//!
//! What is known of an engine's speed comes from responses. Without requests no response corrects it,
//! so an engine that was slow once would never be used again.

use std::time::Duration;

use super::{Choice, Fleet, Limits};
use crate::name;
use crate::relay::engine_state;
use crate::relay::prefix_cache;
use crate::relay::request;
use crate::time;

/// Shortest time between two such requests of this instance to one engine.
const INTERVAL: Duration = Duration::from_millis(500);

impl Fleet {
    /// Selects an engine that runs no request, as far as is known, and to which this instance has not
    /// sent one lately; `None` if there is none.
    pub fn choose_probe(
        &self,
        now: time::Time,
        request: &request::Request,
        limits: Limits<'_>,
    ) -> Option<Choice> {
        let is_due = |state: &&engine_state::EngineState| {
            let is_free = state.pace.is_none() && self.hold_end(now, &state.engine).is_none();
            let is_idle = state.load().running == 0 && state.is_healthy(now);
            is_free && is_idle && state.is_unused_since(now.before(INTERVAL))
        };
        let permitted = self.permitted(now, &request.service, limits).ok()?;
        let prefixes = prefix_cache::prefixes(request);
        let candidates = permitted.into_iter().filter(is_due);
        let candidates = candidates.map(|t| self.candidate(now, request, t, &prefixes, 0.0));
        let best = candidates.min_by(|a, b| a.cost.total_cmp(&b.cost))?;
        Some(Choice {
            is_probe: true,
            ..best.choice
        })
    }

    /// Selects the healthy engine with the least work, for a request that may crash it; `None` if there
    /// is none.
    pub fn choose_least_loaded(
        &self,
        now: time::Time,
        request: &request::Request,
        limits: Limits<'_>,
    ) -> Option<Choice> {
        let is_usable = |state: &&engine_state::EngineState| {
            let is_free = state.admits(now) && self.hold_end(now, &state.engine).is_none();
            is_free && state.is_healthy(now)
        };
        let permitted = self.permitted(now, &request.service, limits).ok()?;
        let usable = permitted.into_iter().filter(is_usable);
        let least = usable.min_by_key(|t| (t.load().running, t.load().pending_prefill))?;
        let prefixes = prefix_cache::prefixes(request);
        Some(self.candidate(now, request, least, &prefixes, 0.0).choice)
    }

    /// Records the first event of a probe; returns `true` if it shows that the engine is faster than
    /// expected, which replaces what was known.
    pub(super) fn record_probe(
        &mut self,
        service: &name::Name,
        choice: &Choice,
        took: Duration,
    ) -> bool {
        if took >= choice.expected {
            return false;
        }
        if took < choice.unadjusted {
            let speed = self.speeds.entry(service.clone()).or_default();
            speed.restart(took, choice.pending_prefill);
        }
        if let Some(state) = self.get_mut(choice) {
            state.reset_delay_ratio();
        }
        true
    }
}

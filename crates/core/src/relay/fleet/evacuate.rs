//! Engines in evacuated failure domains.

use super::Fleet;
use crate::name;
use crate::relay::engine;
use crate::relay::evacuations;
use crate::time;

impl Fleet {
    /// Returns the evacuations that are known.
    pub const fn evacuations(&self) -> &evacuations::Evacuations {
        &self.evacuations
    }

    /// Returns the evacuations, which take effect with [`Fleet::update_usable`].
    pub fn evacuations_mut(&mut self) -> &mut evacuations::Evacuations {
        &mut self.evacuations
    }

    /// Returns the engines outside evacuated domains that are neither leaving nor gone, also those
    /// that are not used yet after a withdrawal.
    pub fn present(&self, now: time::Time) -> impl Iterator<Item = &engine::Engine> {
        let listed = self.engines.values().filter(move |t| t.is_listed(now));
        let engines = listed.map(|t| &t.engine);
        engines.filter(|engine| !self.evacuations.contains(&engine.domain))
    }

    /// Updates from when each engine may be used; `phase` returns the part of the spread after
    /// which this instance uses an engine again. The pace of one that comes back starts anew, since
    /// otherwise all senders would use the time that has passed at once.
    pub fn update_usable(&mut self, now: time::Time, phase: impl Fn(&name::Name) -> f64) {
        for state in self.engines.values_mut() {
            let domain = &state.engine.domain;
            let before = state.usable_at;
            let phase = phase(&state.engine.name);
            state.usable_at = self.evacuations.usable_at(domain, phase);
            let is_back = before == time::Time::MAX && state.usable_at < time::Time::MAX;
            if let Some(pace) = state.pace.as_mut().filter(|_| is_back) {
                pace.restart(now.max(state.usable_at));
            }
        }
    }
}

//! What responses show of the speed of engines, and the delays that follow from it.

use std::time::Duration;

use super::{Choice, Fleet};
use crate::name;
use crate::time;

/// Weight of a new sample in a moving average.
const SAMPLE_WEIGHT: f64 = 0.1;

impl Fleet {
    /// Returns the prefill work in microseconds that this instance has given to each service.
    pub fn prefill_work(&self) -> impl Iterator<Item = (&name::Name, u64)> {
        self.prefill_work
            .iter()
            .map(|(service, micros)| (service, *micros))
    }

    /// Returns the time to prefill this many tokens at an engine of a service.
    pub fn prefill_time(&self, service: &name::Name, tokens: u32) -> Duration {
        let speed = self.speeds.get(service).copied().unwrap_or_default();
        speed.prefill_time(tokens)
    }

    /// Returns the delay of the first event of a request with this many tokens to prefill, at an idle
    /// engine of a service.
    pub fn first_event_delay(&self, service: &name::Name, tokens: u32) -> Duration {
        let speed = self.speeds.get(service).copied().unwrap_or_default();
        speed.first_event_delay(tokens)
    }

    /// Records the first event of an attempt: its prompt has been processed.
    pub fn record_first_event(
        &mut self,
        now: time::Time,
        service: &name::Name,
        choice: &Choice,
        took: Duration,
    ) {
        let is_adopted = choice.is_probe && self.record_probe(service, choice, took);
        // The time in the queue of a busy engine does not show its speed.
        let state = self.engines.get(&choice.engine);
        let is_contended = state.is_some_and(|state| state.is_contended(now));
        let is_sample = choice.has_slot && !is_adopted && !is_contended;
        if !is_adopted {
            let contention = self.contention.entry(service.clone()).or_default();
            contention.record(now, took, choice.unadjusted);
        }
        if is_sample {
            let speed = self.speeds.entry(service.clone()).or_default();
            speed.record_first_event(took, choice.pending_prefill);
        }
        if let Some(state) = self.get_mut(choice) {
            state.own_load.pending_prefill = state
                .own_load
                .pending_prefill
                .saturating_sub(choice.uncached);
            if is_sample {
                state.update_delay_ratio(now, took, choice.unadjusted);
            }
        }
    }

    /// Updates the slot time of a service from that of a complete response, unless that has waited for
    /// its slot.
    pub fn record_slot_time(&mut self, service: &name::Name, choice: &Choice, slot_time: Duration) {
        if !choice.has_slot {
            return;
        }
        let sample = slot_time.as_secs_f64();
        let mean = self.slot_times.entry(service.clone()).or_insert(sample);
        match choice.is_probe && sample < *mean {
            true => *mean = sample,
            false => *mean += SAMPLE_WEIGHT * (sample - *mean),
        }
    }

    /// Returns how much longer first events of a service take at the moment than its speed alone says.
    pub(super) fn contention(&self, now: time::Time, service: &name::Name) -> f64 {
        let contention = self.contention.get(service);
        contention.map_or(1.0, |contention| contention.ratio(now))
    }

    /// Returns the wait for a slot behind this many requests; zero as long as no slot time is
    /// known.
    pub(super) fn slot_wait(&self, service: &name::Name, ahead: u32, slots: u32) -> Duration {
        let slot_time = self.slot_times.get(service).copied().unwrap_or(0.0);
        Duration::from_secs_f64(slot_time * f64::from(ahead) / f64::from(slots.max(1)))
    }
}

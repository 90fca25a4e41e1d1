//! Retry budgets: the share of a service's requests that all instances together may retry.

use std::collections;
use std::time::Duration;

use super::settings;
use crate::name;
use crate::time;

/// Slots of the sliding window.
const SLOTS: u64 = 10;
/// Share of the allowed retries that is used, since each instance counts only its own.
const MARGIN: f64 = 0.7;

/// This instance's part of the retry budget of each service.
///
/// Each instance keeps to the ratio on its own requests and to an even part of the slack, so that
/// the sum keeps the bound without any message.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    services: collections::HashMap<name::Name, Window>,
}

#[derive(Clone, Debug, Default)]
struct Window {
    slots: collections::VecDeque<Slot>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    number: u64,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// Counts a request that is not a retry.
    pub fn record(&mut self, now: time::Time, settings: &settings::Settings, service: &name::Name) {
        let window = self.services.entry(service.clone()).or_default();
        window.slot(now, settings.retry_window).requests += 1;
    }

    /// Spends one retry; returns `true` if the budget allows it.
    pub fn spend(
        &mut self,
        now: time::Time,
        settings: &settings::Settings,
        service: &name::Name,
        instances: usize,
    ) -> bool {
        let window = self.services.entry(service.clone()).or_default();
        window.slot(now, settings.retry_window);
        let requests: u32 = window.slots.iter().map(|slot| slot.requests).sum();
        let retries: u32 = window.slots.iter().map(|slot| slot.retries).sum();
        let slack = settings.retry_slack / instances.max(1) as f64;
        let allowed = MARGIN * (settings.retry_ratio * f64::from(requests) + slack);
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        window.slot(now, settings.retry_window).retries += 1;
        true
    }
}

impl Window {
    /// Drops the slots outside the window and returns the current one.
    fn slot(&mut self, now: time::Time, length: Duration) -> &mut Slot {
        let slot_micros = (length.as_micros() as u64 / SLOTS).max(1);
        let number = now.as_micros() / slot_micros;
        while self
            .slots
            .front()
            .is_some_and(|slot| slot.number + SLOTS < number)
        {
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|slot| slot.number < number) {
            self.slots.push_back(Slot {
                number,
                ..Slot::default()
            });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }
}

//! Retry budgets: the share of a service's requests that all instances together may retry.

use std::collections;
use std::time::Duration;

use super::settings;
use crate::name;
use crate::time;

/// Slots of the sliding span.
const SLOTS: u64 = 10;
/// Part of the allowed repeats that is used, since instances count apart.
const MARGIN: f64 = 0.7;

/// This instance's part of the budget of each service.
///
/// Each instance keeps to the ratio on its own requests and to an even part of the slack, so that
/// the sum keeps the bound without any message.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    services: collections::HashMap<name::Name, Span>,
}

#[derive(Clone, Debug, Default)]
struct Span {
    slots: collections::VecDeque<Slot>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    number: u64,
    requests: u32,
    repeats: u32,
}

impl RetryBudget {
    /// Counts the first send of a request.
    pub fn record(&mut self, now: time::Time, settings: &settings::Settings, service: &name::Name) {
        let span = self.services.entry(service.clone()).or_default();
        span.slot(now, settings.retry_window).requests += 1;
    }

    /// Takes one repeat; returns whether it may be made.
    pub fn spend(
        &mut self,
        now: time::Time,
        settings: &settings::Settings,
        service: &name::Name,
        instances: usize,
    ) -> bool {
        let span = self.services.entry(service.clone()).or_default();
        span.slot(now, settings.retry_window);
        let requests: u32 = span.slots.iter().map(|slot| slot.requests).sum();
        let repeats: u32 = span.slots.iter().map(|slot| slot.repeats).sum();
        let slack = settings.retry_slack / instances.max(1) as f64;
        let allowed = MARGIN * (settings.retry_ratio * f64::from(requests) + slack);
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        span.slot(now, settings.retry_window).repeats += 1;
        true
    }
}

impl Span {
    /// Returns the slot of the present, after dropping those out of the span.
    fn slot(&mut self, now: time::Time, window: Duration) -> &mut Slot {
        let length = (window.as_micros() as u64 / SLOTS).max(1);
        let number = now.as_micros() / length;
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

//! How an instance of a simulated fleet reads the store.

use std::time::Duration;

use guavausher_core::name;
use guavausher_core::relay::{event, position, store_check, watch_timing};
use guavausher_core::time;

use super::Instance;
use super::fleet::{Store, position as position_of};

/// Time after which a list without a reply has failed.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The reads of one instance.
pub struct StoreReader {
    pub is_cut: bool,
    /// Reads for want of a confirmation.
    pub reads: u64,
    check: store_check::StoreCheck,
    /// What it waits for, and since when.
    waiting: Option<(Waiting, time::Time)>,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Waiting {
    List,
    Watch,
}

impl StoreReader {
    pub fn new(own: &name::Name) -> Self {
        Self {
            is_cut: false,
            reads: 0,
            check: store_check::StoreCheck::new(own),
            waiting: None,
        }
    }

    /// Watches the store, or reads it for want of a confirmation.
    pub fn step(
        &mut self,
        now: time::Time,
        instance: &mut Instance,
        positions: &mut [position::Position],
        store: Store,
    ) {
        self.watch(now, instance, positions, store);
        let age = instance.state.confirmation_age(now, 0, positions[0]);
        let is_known = !positions[0].revision.is_none();
        if is_known && self.check.is_due(now, age, store.bound) {
            self.reads += 1;
            self.read(now, instance, positions, store);
        }
    }

    fn watch(
        &mut self,
        now: time::Time,
        instance: &mut Instance,
        positions: &mut [position::Position],
        store: Store,
    ) {
        if !positions[0].revision.is_none() && !instance.state.should_watch_store(now) {
            self.waiting = None;
            instance.apply(now, event::Event::Watching(false));
            return;
        }
        let timing = watch_timing::WatchTiming::for_bound(store.bound);
        let (waiting, since) = *self.waiting.get_or_insert((Waiting::List, now));
        let due = match waiting {
            Waiting::List => Duration::ZERO,
            Waiting::Watch => timing.wait,
        };
        let timeout = match waiting {
            Waiting::List => LIST_TIMEOUT,
            Waiting::Watch => timing.timeout(),
        };
        if self.read_after(now, since.after(due), instance, positions, store) {
            instance.apply(now, event::Event::Watching(true));
            self.waiting = Some((Waiting::Watch, now));
        } else if since.after(timeout) <= now {
            instance.apply(now, event::Event::Watching(false));
            self.waiting = None;
        }
    }

    fn read_after(
        &self,
        now: time::Time,
        due: time::Time,
        instance: &mut Instance,
        positions: &mut [position::Position],
        store: Store,
    ) -> bool {
        due <= now && self.read(now, instance, positions, store)
    }

    /// Reads all changes; returns `false` if the store is silent.
    fn read(
        &self,
        now: time::Time,
        instance: &mut Instance,
        positions: &mut [position::Position],
        store: Store,
    ) -> bool {
        if !self.is_cut {
            positions[0] = position_of(store.changed);
            instance.state.confirm(now, 0, now);
        }
        !self.is_cut
    }
}

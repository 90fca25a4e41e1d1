//! Events of a run in order of time.

use std::cmp;
use std::collections;

use guavausher_core::routing;

use crate::engine;
use crate::setup;

/// Events that are still to come; those of one time keep their order.
#[derive(Debug, Default)]
pub struct Schedule {
    events: collections::BinaryHeap<cmp::Reverse<Scheduled>>,
    order: u64,
}

#[derive(Debug)]
struct Scheduled {
    at: u64,
    order: u64,
    event: Event,
}

/// Something that happens in a run.
#[derive(Debug)]
pub enum Event {
    /// A request arrives.
    Arrive(usize),
    /// A dispatch reaches its engine.
    Reach {
        /// Engine.
        engine: usize,
        /// Its job.
        job: engine::Job,
    },
    /// An engine's step ends.
    Step(usize),
    /// A first token reaches its entry.
    First {
        /// Request.
        request: usize,
        /// Attempt id.
        attempt: u64,
    },
    /// The end of an answer reaches its entry.
    Finished {
        /// Request.
        request: usize,
        /// Attempt id.
        attempt: u64,
        /// Prompt tokens.
        prompt: u32,
        /// Prompt tokens found in the cache.
        cached: u32,
    },
    /// An entry learns that an attempt is lost.
    Lost {
        /// Request.
        request: usize,
        /// Attempt id.
        attempt: u64,
        /// Whether the engine refused it.
        refused: bool,
    },
    /// An engine publishes load and cache events.
    Publish(usize),
    /// A load report reaches an entry.
    Report {
        /// Entry.
        entry: usize,
        /// Engine.
        engine: usize,
        /// The report.
        load: routing::Load,
    },
    /// A cache event reaches an entry.
    Cache {
        /// Entry.
        entry: usize,
        /// Engine.
        engine: usize,
        /// The event.
        event: routing::CacheEvent,
    },
    /// An entry's admission wakes.
    Wake(usize),
    /// A request looks for room again.
    Again(usize),
    /// A cut stream tries to resume.
    Resume(usize),
    /// An attempt leaves a reclaimed engine.
    Move(u64),
    /// A fault happens.
    Fault(setup::Kind),
}

impl Schedule {
    /// Adds an event at a time in microseconds.
    pub fn push(&mut self, at: u64, event: Event) {
        self.order += 1;
        let order = self.order;
        self.events
            .push(cmp::Reverse(Scheduled { at, order, event }));
    }

    /// Takes the next event and its time in microseconds.
    pub fn pop(&mut self) -> Option<(u64, Event)> {
        let cmp::Reverse(scheduled) = self.events.pop()?;
        Some((scheduled.at, scheduled.event))
    }
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == cmp::Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

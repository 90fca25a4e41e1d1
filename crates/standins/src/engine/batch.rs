//! Slots and the queue before them.

use std::collections;

use tokio::sync::oneshot;

/// A request's class.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Priority {
    /// Short questions; they go first.
    Quick,
    /// Long answers.
    Long,
}

/// The refusal of a request because slots and queue are full.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Full;

/// Slots of a continuous batch with a queue by priority.
#[derive(Debug)]
pub struct Batch {
    slots: usize,
    limit: usize,
    running: usize,
    serial: u64,
    waiting: collections::BTreeMap<(Priority, u64), oneshot::Sender<()>>,
}

/// A place in the queue; its receiver ends with a slot, or with an error if it is refused.
#[derive(Debug)]
pub struct Place {
    /// The position, which [`Batch::abandon`] takes.
    pub position: (Priority, u64),
    /// Completes once a slot is given.
    pub slot: oneshot::Receiver<()>,
}

impl Batch {
    /// Builds an idle batch.
    pub fn new(slots: usize, limit: usize) -> Self {
        let waiting = collections::BTreeMap::new();
        Self {
            slots,
            limit,
            running: 0,
            serial: 0,
            waiting,
        }
    }

    /// Takes a slot or a place in the queue.
    pub fn enter(&mut self, priority: Priority) -> Result<Place, Full> {
        if self.running >= self.slots && self.waiting.len() >= self.limit {
            return Err(Full);
        }
        self.serial += 1;
        let position = (priority, self.serial);
        let (sender, slot) = oneshot::channel();
        self.waiting.insert(position, sender);
        self.fill();
        Ok(Place { position, slot })
    }

    /// Gives up a place in the queue, or the slot if it was already given.
    pub fn abandon(&mut self, mut place: Place) {
        self.waiting.remove(&place.position);
        if place.slot.try_recv().is_ok() {
            self.release();
        }
    }

    /// Gives a slot back.
    pub fn release(&mut self) {
        self.running = self.running.saturating_sub(1);
        self.fill();
    }

    /// Refuses every waiting request.
    pub fn clear(&mut self) {
        self.waiting.clear();
    }

    /// Returns how many requests wait.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Returns how many requests run.
    pub const fn running(&self) -> usize {
        self.running
    }

    fn fill(&mut self) {
        while self.running < self.slots {
            let Some((_, sender)) = self.waiting.pop_first() else {
                return;
            };
            if sender.send(()).is_ok() {
                self.running += 1;
            }
        }
    }
}

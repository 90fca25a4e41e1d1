//! Places in the queue and slots of the batch, given back when they are dropped.

use std::sync;
use std::time;

use tokio::sync::Notify;

use super::ask;
use super::batch;
use super::state;
use crate::load;

/// A slot of the batch, which is given back when it is dropped.
#[derive(Debug)]
pub(super) struct Slot {
    engine: sync::Arc<state::Engine>,
    attempt: String,
    cancel: sync::Arc<Notify>,
}

impl Slot {
    /// Waits for a slot, or returns why the request is refused without a run.
    pub(super) async fn wait(
        engine: &sync::Arc<state::Engine>,
        ask: &ask::Ask,
    ) -> Result<Self, &'static str> {
        let left = time::Duration::from_millis(ask.deadline.saturating_sub(load::unix_ms()));
        if left.is_zero() {
            return Err("x-deadline-ms has passed");
        }
        let mut waiting = Waiting::enter(engine, ask.priority)?;
        match tokio::time::timeout(left, waiting.granted()).await {
            Ok(true) => Ok(Self::begin(engine, ask)),
            Ok(false) => Err("leaving"),
            Err(_) => Err("x-deadline-ms has passed in the queue"),
        }
    }

    /// Returns the attempt that holds the slot.
    pub(super) fn attempt(&self) -> &str {
        &self.attempt
    }

    /// Returns the signal of a cancel.
    pub(super) fn cancel(&self) -> sync::Arc<Notify> {
        self.cancel.clone()
    }

    fn begin(engine: &sync::Arc<state::Engine>, ask: &ask::Ask) -> Self {
        let mut state = engine.lock();
        state.serial += 1;
        let made_up = format!("e{}", state.serial);
        let attempt = if ask.attempt.is_empty() {
            made_up
        } else {
            ask.attempt.clone()
        };
        state.runs.count(if ask.key.is_empty() {
            &attempt
        } else {
            &ask.key
        });
        let cancel = sync::Arc::new(Notify::new());
        state.streams.insert(attempt.clone(), cancel.clone());
        Self {
            engine: engine.clone(),
            attempt,
            cancel,
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.engine.lock();
        let held = state.streams.get(&self.attempt);
        if held.is_some_and(|held| sync::Arc::ptr_eq(held, &self.cancel)) {
            state.streams.remove(&self.attempt);
        }
        state.batch.release();
        self.engine.note(&mut state);
    }
}

/// A place in the queue that is given up when it is dropped.
struct Waiting {
    engine: sync::Arc<state::Engine>,
    place: Option<batch::Place>,
}

impl Waiting {
    fn enter(
        engine: &sync::Arc<state::Engine>,
        priority: batch::Priority,
    ) -> Result<Self, &'static str> {
        let mut state = engine.lock();
        if engine.switch.get().leave {
            return Err("leaving");
        }
        let place = state
            .batch
            .enter(priority)
            .map_err(|batch::Full| "the queue is full")?;
        engine.note(&mut state);
        Ok(Self {
            engine: engine.clone(),
            place: Some(place),
        })
    }

    /// Waits for a slot; returns false if the request is refused instead.
    async fn granted(&mut self) -> bool {
        let Some(place) = &mut self.place else {
            return false;
        };
        let granted = (&mut place.slot).await.is_ok();
        self.place = None;
        granted
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let Some(place) = self.place.take() else {
            return;
        };
        let mut state = self.engine.lock();
        state.batch.abandon(place);
        self.engine.note(&mut state);
    }
}

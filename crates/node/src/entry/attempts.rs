//! The attempts of one request: the one that runs, and a silent one that is kept meanwhile.

use std::future;
use std::pin;
use std::sync;
use std::task;

use tokio::sync::Notify;

/// The attempts of one request that have not ended.
#[derive(Debug)]
pub struct Attempts<F> {
    running: Option<Attempt<F>>,
    paused: Option<Attempt<F>>,
}

/// An attempt; its connection is closed when this is dropped.
#[derive(Debug)]
pub struct Attempt<F> {
    /// Its id.
    pub id: u64,
    /// Lets it go on after a silence.
    pub resume: sync::Arc<Notify>,
    /// Runs it.
    pub future: pin::Pin<Box<F>>,
}

/// The end of an attempt.
#[derive(Debug)]
pub struct End<T> {
    /// Its id.
    pub id: u64,
    /// What came of it.
    pub output: T,
}

impl<F: Future> Attempts<F> {
    /// Builds an empty list.
    pub const fn new() -> Self {
        Self {
            running: None,
            paused: None,
        }
    }

    /// Returns `true` if all attempts have ended.
    pub const fn is_empty(&self) -> bool {
        self.running.is_none() && self.paused.is_none()
    }

    /// Runs an attempt and pauses the one that ran.
    pub fn run(&mut self, attempt: Attempt<F>) {
        self.paused = self.running.replace(attempt).or(self.paused.take());
    }

    /// Lets an attempt go on and pauses the other one.
    pub fn resume(&mut self, id: u64) {
        if is(&self.paused, id) {
            std::mem::swap(&mut self.running, &mut self.paused);
        }
        if let Some(attempt) = self.running.as_ref().filter(|a| a.id == id) {
            attempt.resume.notify_one();
        }
    }

    /// Drops an attempt, which cancels it at its upstream.
    pub fn cancel(&mut self, id: u64) {
        for attempt in [&mut self.running, &mut self.paused] {
            attempt.take_if(|a| a.id == id);
        }
    }

    /// Runs an attempt to its end; waits for ever if none runs.
    pub async fn end(&mut self) -> End<F::Output> {
        let poll = |context: &mut task::Context<'_>| {
            let Some(attempt) = &mut self.running else {
                return task::Poll::Pending;
            };
            let output = task::ready!(attempt.future.as_mut().poll(context));
            let id = attempt.id;
            self.running = None;
            task::Poll::Ready(End { id, output })
        };
        future::poll_fn(poll).await
    }
}

fn is<F>(attempt: &Option<Attempt<F>>, id: u64) -> bool {
    attempt.as_ref().is_some_and(|a| a.id == id)
}

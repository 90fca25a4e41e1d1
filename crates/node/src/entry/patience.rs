//! Waits for an upstream, which the reducer may prolong.

use std::sync;
use std::time;

use guavausher_core::event;
use tokio::sync::Notify;

use crate::entry::worker;

/// Waits for the upstream of one attempt.
///
/// A wait that takes long is reported as a silence, and goes on once the reducer has said so: only
/// the reducer knows whether another upstream can take the request.
#[derive(Debug)]
pub struct Patience<'a> {
    worker: &'a worker::Worker,
    attempt: u64,
    resume: sync::Arc<Notify>,
    silent: bool,
}

impl<'a> Patience<'a> {
    /// Returns the waits of an attempt, which goes on after a silence when `resume` is notified.
    pub const fn new(worker: &'a worker::Worker, attempt: u64, resume: sync::Arc<Notify>) -> Self {
        Self {
            worker,
            attempt,
            resume,
            silent: false,
        }
    }

    /// Waits for `future` and reports a silence after each `limit`; `offset` is the next token that
    /// the caller lacks.
    pub async fn wait<F: Future>(
        &mut self,
        limit: time::Duration,
        offset: u32,
        future: F,
    ) -> F::Output {
        let mut future = std::pin::pin!(future);
        loop {
            if let Ok(output) = tokio::time::timeout(limit, &mut future).await {
                return output;
            }
            self.report(offset).await;
            self.resume.notified().await;
        }
    }

    /// Returns `true` if a silence was reported since the last call.
    pub fn end_silence(&mut self) -> bool {
        std::mem::take(&mut self.silent)
    }

    async fn report(&mut self, offset: u32) {
        self.silent = true;
        let signal = event::Signal::Silent { offset };
        let attempt = self.attempt;
        self.worker
            .report(event::Event::Attempt { attempt, signal })
            .await;
    }
}

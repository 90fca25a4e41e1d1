//! The parts of a request's task that do not change, and its reports to the reducer.

use std::time;

use guavausher_core::{effect, event, time as point};

use crate::entry::{command, exchange, front, intake, patience};

/// Wait before an event is offered again to a full queue.
const QUEUE_WAIT: time::Duration = time::Duration::from_millis(1);

/// Shortest wait for the head of an answer before it is reported as a silence.
const MIN_SILENCE: time::Duration = time::Duration::from_millis(100);

/// The parts of a request's task that do not change.
#[derive(Debug)]
pub struct Worker {
    /// The request and its body.
    pub intake: intake::Intake,
    /// When it came.
    pub arrived: point::Time,
    /// Shared parts of the entry.
    pub front: front::Front,
}

impl Worker {
    /// Sends the request, waits for the head of the answer and reports the load that it states.
    ///
    /// # Errors
    ///
    /// Returns [`exchange::Broken`] with a verdict that follows from the step at which it failed.
    pub async fn open(
        &self,
        patience: &mut patience::Patience<'_>,
        dispatch: &effect::Dispatch,
    ) -> Result<exchange::Open, exchange::Broken> {
        let (clock, writer) = (self.front.clock, self.front.writer);
        let sending = exchange::open(clock, writer, dispatch, &self.intake).await?;
        let limit = clock.now().until(dispatch.silent_at).max(MIN_SILENCE);
        let open = sending.answer(patience, limit, dispatch.offset).await?;
        self.report_load(dispatch, &open).await;
        Ok(open)
    }

    /// Reports the load that the head of an answer states.
    async fn report_load(&self, dispatch: &effect::Dispatch, open: &exchange::Open) {
        if let Some(load) = exchange::load(open.response.headers()) {
            let upstream = dispatch.upstream.clone();
            self.report(event::Event::Load { upstream, load }).await;
        }
    }

    /// Reports an event, waiting while the reducer's queue is full.
    pub async fn report(&self, event: event::Event) {
        let mut input = command::Input::Event(event);
        while let Err(error) = self.front.events.try_send(input) {
            if error.is_disconnected() {
                return;
            }
            input = error.into_inner();
            tokio::time::sleep(QUEUE_WAIT).await;
        }
    }
}

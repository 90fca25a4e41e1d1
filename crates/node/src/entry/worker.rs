//! The parts of a request's task that do not change, and its reports to the reducer.

use std::time;

use guavausher_core::{effect, event, time as point};

use crate::entry::{command, exchange, front, intake};

/// Wait before an event is offered again to a full queue.
const QUEUE_WAIT: time::Duration = time::Duration::from_millis(1);

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
    /// Reports the load that the head of an answer states.
    pub async fn report_load(&self, dispatch: &effect::Dispatch, open: &exchange::Open) {
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

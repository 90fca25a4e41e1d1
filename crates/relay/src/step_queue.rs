//! Queue of the steps that a request's task has to execute.

use std::cell;
use std::collections;

use guavausher_core::refusal;
use guavausher_core::relay::effect;
use tokio::sync;

/// Next step of a request's task.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Send the request to an engine.
    Send(effect::Dispatch),
    /// End the attempt with this number, since another one has responded.
    Cancel(usize),
    /// Pass on the buffered failure response of an engine.
    ForwardFailure,
    /// Write the final response of our own.
    Refuse(refusal::Refusal, effect::RefusalContext),
}

/// Steps that a task has not executed yet.
#[derive(Debug, Default)]
pub(crate) struct StepQueue {
    steps: cell::RefCell<collections::VecDeque<Step>>,
    ready: sync::Notify,
}

impl StepQueue {
    pub fn push(&self, step: Step) {
        self.steps.borrow_mut().push_back(step);
        self.ready.notify_one();
    }

    pub fn has_next(&self) -> bool {
        !self.steps.borrow().is_empty()
    }

    pub async fn pop(&self) -> Step {
        loop {
            if let Some(step) = self.steps.borrow_mut().pop_front() {
                return step;
            }
            self.ready.notified().await;
        }
    }
}

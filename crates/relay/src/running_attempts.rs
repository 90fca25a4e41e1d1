//! The attempts of one request that run at the same time.

use std::future;
use std::pin;
use std::task;

use guavausher_core::relay::effect;

use crate::attempt;
use crate::step_queue;

/// The attempts of one request that have not ended.
#[derive(Debug)]
pub(crate) struct RunningAttempts<F> {
    attempts: Vec<Running<F>>,
}

#[derive(Debug)]
struct Running<F> {
    dispatch: effect::Dispatch,
    future: pin::Pin<Box<F>>,
}

/// What happens next.
#[derive(Debug)]
pub(crate) enum Next {
    /// The reducer has decided.
    Step(step_queue::Step),
    /// An attempt has ended.
    Ended(effect::Dispatch, attempt::Ended),
}

impl<F: Future<Output = attempt::Ended>> RunningAttempts<F> {
    /// Creates an empty list.
    pub const fn new() -> Self {
        Self {
            attempts: Vec::new(),
        }
    }

    /// Adds an attempt.
    pub fn push(&mut self, dispatch: effect::Dispatch, future: F) {
        let future = Box::pin(future);
        self.attempts.push(Running { dispatch, future });
    }

    /// Drops the attempt with this number, which closes its connection.
    pub fn cancel(&mut self, number: usize) {
        self.attempts.retain(|a| a.dispatch.number != number);
    }

    /// Drops all attempts and returns their numbers.
    pub fn clear(&mut self) -> Vec<usize> {
        let attempts = std::mem::take(&mut self.attempts);
        attempts.iter().map(|a| a.dispatch.number).collect()
    }

    /// Runs the attempts until one ends or a step is due.
    ///
    /// Steps come before each attempt, so that one that is cancelled since another has responded
    /// does nothing more.
    pub async fn next(&mut self, queue: &step_queue::StepQueue) -> Next {
        let mut step = pin::pin!(queue.pop());
        let poll = |context: &mut task::Context<'_>| {
            for index in 0..self.attempts.len() {
                if let task::Poll::Ready(step) = step.as_mut().poll(context) {
                    return task::Poll::Ready(Next::Step(step));
                }
                let polled = self.attempts[index].future.as_mut().poll(context);
                if let task::Poll::Ready(end) = polled {
                    let ended = self.attempts.remove(index);
                    return task::Poll::Ready(Next::Ended(ended.dispatch, end));
                }
            }
            step.as_mut().poll(context).map(Next::Step)
        };
        future::poll_fn(poll).await
    }
}

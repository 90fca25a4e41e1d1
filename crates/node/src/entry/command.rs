//! Messages between the reducer's thread and the tasks of requests.

use guavausher_core::{effect, event, ledger, refusal, request};
use tokio::sync::mpsc;

/// Commands that may wait for one request's task.
pub const MAX_COMMANDS: usize = 32;

/// What the reducer's thread takes in.
#[derive(Debug)]
pub enum Input {
    /// A request with the way to its task.
    Arrived(Arrival),
    /// Anything else.
    Event(event::Event),
}

/// A request that has just come in.
#[derive(Debug)]
pub struct Arrival {
    /// The request.
    pub request: request::Request,
    /// The way to its task.
    pub commands: mpsc::Sender<Command>,
}

/// What a request's task is to do.
#[derive(Debug)]
pub enum Command {
    /// Send the request to an upstream; an attempt under way is kept, but not read.
    Dispatch(effect::Dispatch),
    /// Stop this attempt.
    Cancel(u64),
    /// Go on with this silent attempt.
    Resume(u64),
    /// Give this final answer.
    Refuse(refusal::Refusal),
    /// Give the kept answer of an earlier run.
    Replay(ledger::StoredResponse),
    /// Give the whole answer that the upstream sent.
    Relay,
}

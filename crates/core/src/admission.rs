//! Admission control: limits, weighted fair queues, priorities and refusals.

mod bucket;
mod controller;
mod decision;
mod limits;
mod queue;
mod refusal;
mod shares;
mod ticket;

pub use controller::{Controller, PollOutcome};
pub use decision::Decision;
pub use refusal::{Reason, Refusal};
pub use ticket::Ticket;

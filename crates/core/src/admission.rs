//! Admission of requests: fair shares, limits, priorities and refusals.

mod bucket;
mod decision;
mod gate;
mod limits;
mod queue;
mod refusal;
mod shares;
mod ticket;

pub use decision::Decision;
pub use gate::{Admission, Turn};
pub use refusal::{Reason, Refusal};
pub use ticket::Ticket;

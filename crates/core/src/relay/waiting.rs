//! Requests that wait at this instance because the engines have no room for their priority.
//!
//! What waits here can still be overtaken by a more urgent request and sent to whichever engine has
//! room first; what waits in an engine can do neither.

mod entry;
mod queue;

pub use entry::Waiting;
pub use queue::Queue;

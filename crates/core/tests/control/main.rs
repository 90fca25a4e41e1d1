//! Controllers against an in-memory store, with kills, pauses, outages and lost replies.

mod drains;
mod orders;
mod rollouts;
mod simulation;

//! Controllers against a small store, with kills, pauses, outages and lost answers.

mod drains;
mod orders;
mod rollouts;
mod simulation;

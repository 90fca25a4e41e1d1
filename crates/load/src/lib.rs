//! An open-loop load generator for services that answer whole or by token streams.
//!
//! Requests leave at times that a seed fixes beforehand, whether or not earlier ones have been
//! answered, and latencies count from these intended times. A stalled system therefore shows as
//! long latencies, not as a lower rate.

pub mod call;
pub mod cli;
pub mod event;
pub mod measure;
pub mod plan;
pub mod pool;
pub mod progress;
pub mod report;
pub mod run;
pub mod scenario;
pub mod tally;

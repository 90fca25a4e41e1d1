//! The shell around the decisions: sockets, timers, logs and metrics.

pub mod peers;

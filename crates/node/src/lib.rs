//! The shell around the decisions of the core: sockets, threads, clock, logs and metrics.

pub mod admin;
pub mod clock;
pub mod controller;
pub mod entry;
pub mod peers;
pub mod settings;
pub mod store;

pub use guavausher_logging as logging;

//! Small stand-ins for the model engine, the plain service and the platform.
//!
//! Each runs on a runtime thread of its own, so that synchronous tests can use it. The protocols
//! are described in this crate's `README.md`.
//!
//! ```
//! use guavausher_standins::service;
//! let handle = service::start(service::Config::default())?;
//! assert_ne!(handle.address().port(), 0);
//! handle.shutdown();
//! # Ok::<(), std::io::Error>(())
//! ```

pub mod body;
pub mod cli;
pub mod engine;
pub mod faults;
pub mod handle;
pub mod lagged;
pub mod load;
pub mod platform;
pub mod reply;
pub mod request;
pub mod runs;
mod server;
pub mod service;
pub mod site;

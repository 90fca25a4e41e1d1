//! Decision logic of the serving system, without I/O.
//!
//! Everything here is a function of its arguments: there is no clock, no thread and no
//! randomness except a seeded generator in the state.
//!
//! ```
//! use guavausher_core::exchange;
//! use guavausher_core::verdict;
//! let exchange = exchange::Unsent::open();
//! assert_eq!(exchange.fail(), verdict::Verdict::NotRun);
//! let sent = exchange::Unsent::open().send();
//! assert_eq!(sent.fail(), verdict::Verdict::MayHaveRun);
//! ```

pub mod active_request;
pub mod admission;
pub mod config;
pub mod control;
pub mod declaration;
pub mod effect;
pub mod event;
pub mod exchange;
pub mod fact;
pub mod lease;
pub mod ledger;
pub mod name;
pub mod peering;
pub mod placement;
pub mod poison;
pub mod prompt;
pub mod reduce;
pub mod refusal;
pub mod relay;
pub mod request;
pub mod retry;
pub mod rollout;
pub mod routing;
pub mod state;
pub mod store;
pub mod stream;
pub mod time;
pub mod verdict;

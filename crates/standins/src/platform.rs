//! The stand-in for the platform: object API, instance list, cloud API and weight store.

mod calls;
mod cloud;
mod config;
mod fleet;
mod instances;
mod objects;
mod server;
mod state;
mod store;
mod weights;

pub use config::Config;
pub use server::start;

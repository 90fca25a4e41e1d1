//! The stand-in for a model engine.

mod ask;
mod batch;
mod cache;
mod config;
mod kv;
mod orders;
mod prompt;
mod server;
mod slot;
mod state;
mod stream;

pub use config::Config;
pub use prompt::{BLOCK_WORDS, blocks, token};
pub use server::start;

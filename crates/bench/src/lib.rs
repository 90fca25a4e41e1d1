//! Seeded benchmarks of the decisions against simple baselines.

pub mod bound;
pub mod cache;
pub mod cli;
pub mod engine;
pub mod entry;
pub mod load;
pub mod measure;
pub mod overload;
pub mod reclaim;
pub mod request;
pub mod schedule;
pub mod setup;
pub mod sim;
pub mod speed;
pub mod summary;
pub mod table;
pub mod thrift;
pub mod trace;

//! Encoding and decoding of messages between processes. Performs no I/O.

pub mod json;
pub mod peer;

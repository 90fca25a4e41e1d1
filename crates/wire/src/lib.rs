//! Encodings between the processes of the system; no input and no output.

pub mod peer;

//! Settings of a program, read from flags and environment variables by one table.
//!
//! Each [`Setting`] has a flag, a variable derived from it (`--peer-listen` is
//! `GUAVAUSHER_PEER_LISTEN`; the flag wins), a kind that it is checked against at start, and a
//! line of help.

pub mod common;
mod error;
mod kind;
mod peer;
mod program;
mod values;

pub use error::Error;
pub use kind::Kind;
pub use peer::Peer;
pub use program::{Outcome, Program};
pub use values::Values;

/// Exit status of a program whose settings are bad.
pub const EXIT_STATUS: u8 = 2;

/// One setting of a program.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Long flag with its two dashes.
    pub flag: &'static str,
    /// What a value must look like.
    pub kind: Kind,
    /// Value taken if neither flag nor variable is given; `None` if one must be given.
    pub default: Option<&'static str>,
    /// One line of help.
    pub help: &'static str,
}

impl Setting {
    /// Returns the environment variable of the setting.
    pub fn variable(&self) -> String {
        let stem = self.flag.trim_start_matches('-').replace('-', "_");
        format!("GUAVAUSHER_{}", stem.to_ascii_uppercase())
    }
}

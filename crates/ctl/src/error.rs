//! Errors of the operator's tool.

use displaydoc::Display;

use guavausher_core::declaration;
use guavausher_core::name;

use crate::exit;

/// Why a command failed; the message names the mend.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Error {
    /// {0}; try `guavactl --help`
    Arguments(String),
    /// {setting} is not set; give {flag} or set {variable}
    Missing {
        /// What the setting is for.
        setting: &'static str,
        /// Its flag.
        flag: &'static str,
        /// Its environment variable.
        variable: &'static str,
    },
    /// {origin} is `{value}`; {mend}
    Invalid {
        /// The flag or variable that gave the value.
        origin: String,
        /// The value.
        value: String,
        /// How to mend it.
        mend: &'static str,
    },
    /// cannot read {path}: {message}; name a readable file of at most {limit} bytes
    File {
        /// Path as given.
        path: String,
        /// What went wrong.
        message: String,
        /// Largest accepted file.
        limit: usize,
    },
    /// the declaration has faults ({count}); mend them and run the command again
    Faults {
        /// Number of faults.
        count: usize,
        /// The faults.
        faults: Vec<declaration::Fault>,
    },
    /// the platform holds the declaration of `{stored}`, not of `{site}`; name that site's overlay or another platform
    Site {
        /// The stored site.
        stored: name::Name,
        /// The site of the files.
        site: name::Name,
    },
    /// generation {wanted} was expected, but {current} is stored; run `guavactl plan` and apply against it
    Stale {
        /// The expected generation.
        wanted: u64,
        /// The stored generation.
        current: u64,
    },
    /// no configuration is stored; run `guavactl apply` first
    Unapplied,
    /// generation {0} is not in the history; `guavactl history` lists those that are
    Generation(u64),
    /// the object `{key}` is not readable: {message}; upgrade guavactl or apply again
    Unreadable {
        /// Object key.
        key: String,
        /// What went wrong.
        message: String,
    },
    /// no upstream `{0}` is declared; `guavactl status` lists the services
    Upstream(String),
    /// service `{0}` has no rollout; declare one in [rollouts.{0}] or name another service
    Rollout(String),
    /// the platform did not answer in time ({0}); nothing was changed, try again later
    Unreachable(String),
    /// the platform did not answer in time and it is unknown whether operation {0} took effect; run the same command again
    Unknown(name::Name),
    /// output failed: {0}; free the space or fix the device that it goes to
    Output(String),
    /// the reader of the output went away
    Closed,
}

impl std::error::Error for Error {}

impl Error {
    /// Returns the exit status for the error.
    pub const fn exit(&self) -> exit::Exit {
        match self {
            Self::Closed => exit::Exit::Done,
            Self::Arguments(_) | Self::Missing { .. } | Self::Invalid { .. } => exit::Exit::Usage,
            Self::Stale { .. } => exit::Exit::Conflict,
            Self::Unreachable(_) | Self::Unknown(_) => exit::Exit::Unreachable,
            _ => exit::Exit::Refused,
        }
    }
}

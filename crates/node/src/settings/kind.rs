//! Kinds of setting values.

use std::fmt;
use std::net;
use std::time;

use guavausher_core::name;

use crate::settings::peer;

/// What the value of a setting must look like.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A socket address by IP number.
    Address,
    /// Socket addresses by IP number, separated by commas; may be empty.
    Addresses,
    /// A whole number within bounds.
    Count {
        /// Smallest accepted value.
        min: u64,
        /// Largest accepted value.
        max: u64,
    },
    /// A duration in whole milliseconds within bounds.
    Millis {
        /// Smallest accepted value.
        min: u64,
        /// Largest accepted value.
        max: u64,
    },
    /// A log level.
    Level,
    /// A name of letters, digits, dots, dashes and underscores.
    Name,
    /// Instances as `NAME=IP:PORT`, separated by commas; may be empty.
    Peers,
    /// A key of at least 16 bytes; never printed.
    Secret,
}

/// Shortest accepted secret in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

impl Kind {
    /// Tells whether the text is a value of this kind.
    pub fn accepts(self, text: &str) -> bool {
        match self {
            Self::Address => text.parse::<net::SocketAddr>().is_ok(),
            Self::Addresses => addresses(text).is_some(),
            Self::Count { min, max } | Self::Millis { min, max } => {
                text.parse().is_ok_and(|n: u64| (min..=max).contains(&n))
            }
            Self::Level => text.parse::<log::LevelFilter>().is_ok(),
            Self::Name => is_name(text),
            Self::Peers => peers(text).is_some(),
            Self::Secret => text.len() >= MIN_SECRET_BYTES,
        }
    }

    /// Returns the text as it may be printed.
    pub fn printable(self, text: &str) -> String {
        match self {
            Self::Secret => format!("({} bytes)", text.len()),
            _ => text.to_owned(),
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Address => f.write_str("an address such as 127.0.0.1:8080"),
            Self::Addresses => f.write_str("addresses such as 127.0.0.1:1,127.0.0.1:2, or nothing"),
            Self::Count { min, max } => write!(f, "a whole number from {min} to {max}"),
            Self::Millis { min, max } => write!(f, "milliseconds from {min} to {max}"),
            Self::Level => f.write_str("off, error, warn, info, debug or trace"),
            Self::Name => f.write_str("a name of letters, digits, '.', '-' and '_'"),
            Self::Peers => f.write_str("NAME=IP:PORT pairs separated by commas, or nothing"),
            Self::Secret => write!(f, "a key of at least {MIN_SECRET_BYTES} bytes"),
        }
    }
}

/// Parses addresses separated by commas.
pub(super) fn addresses(text: &str) -> Option<Vec<net::SocketAddr>> {
    text.split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
        .map(|part| part.parse().ok())
        .collect()
}

/// Parses instances separated by commas.
pub(super) fn peers(text: &str) -> Option<Vec<peer::Peer>> {
    text.split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
        .map(|part| {
            let (name, address) = part.split_once('=')?;
            let name = Some(name).filter(|name| is_name(name))?;
            Some(peer::Peer {
                name: name::Name::from(name),
                address: address.parse().ok()?,
            })
        })
        .collect()
}

/// Parses milliseconds.
pub(super) fn millis(text: &str) -> Option<time::Duration> {
    text.parse().ok().map(time::Duration::from_millis)
}

fn is_name(text: &str) -> bool {
    let known = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_');
    !text.is_empty() && text.len() <= name::MAX_BYTES && text.chars().all(known)
}

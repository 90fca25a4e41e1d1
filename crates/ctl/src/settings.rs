//! Settings from flags and environment variables.

use std::net;
use std::time;

/// One setting as the help shows it.
#[derive(Debug)]
pub struct Setting {
    /// Flag.
    pub flag: &'static str,
    /// Name of the value.
    pub value: &'static str,
    /// Environment variable.
    pub variable: &'static str,
    /// Default with bounds, empty if it must be given.
    pub default: &'static str,
    /// What it is.
    pub about: &'static str,
}

/// The platform's address.
pub const PLATFORM: Setting = Setting {
    flag: "--platform",
    value: "IP:PORT",
    variable: "GUAVAUSHER_PLATFORM",
    default: "",
    about: "address of the platform's object API",
};

/// The base file.
pub const BASE: Setting = Setting {
    flag: "--base",
    value: "FILE",
    variable: "GUAVAUSHER_BASE",
    default: "",
    about: "base file of the declaration",
};

/// The site's overlay.
pub const OVERLAY: Setting = Setting {
    flag: "--overlay",
    value: "FILE",
    variable: "GUAVAUSHER_OVERLAY",
    default: "none",
    about: "the site's overlay over the base",
};

/// The operator's name.
pub const AUTHOR: Setting = Setting {
    flag: "--author",
    value: "NAME",
    variable: "GUAVAUSHER_AUTHOR",
    default: "USER",
    about: "who makes the change, for history and audit",
};

/// How long to try or wait.
pub const TIMEOUT: Setting = Setting {
    flag: "--timeout",
    value: "SECONDS",
    variable: "GUAVAUSHER_TIMEOUT",
    default: "30, from 1 to 86400",
    about: "how long to try the platform, or to wait",
};

/// Every setting, in the order of the help.
pub const ALL: [&Setting; 5] = [&PLATFORM, &BASE, &OVERLAY, &AUTHOR, &TIMEOUT];

/// The values of the settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The platform's address.
    pub platform: Option<net::SocketAddr>,
    /// Path of the base file.
    pub base: Option<String>,
    /// Path of the site's overlay.
    pub overlay: Option<String>,
    /// The operator's name.
    pub author: Option<String>,
    /// How long to try the platform, or to wait.
    pub timeout: time::Duration,
    /// Whether to print JSON.
    pub json: bool,
}

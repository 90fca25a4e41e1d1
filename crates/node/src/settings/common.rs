//! Settings that the entry and the controller share.

use std::process;

use crate::peers;
use crate::settings::{EXIT_STATUS, Kind, Program, Setting, Values};

/// Failure domain of the instance.
pub const DOMAIN: Setting = Setting {
    flag: "--domain",
    kind: Kind::Name,
    default: None,
    help: "Failure domain of this instance",
};

/// Address of the platform.
pub const PLATFORM: Setting = Setting {
    flag: "--platform",
    kind: Kind::Address,
    default: None,
    help: "Address of the platform's service",
};

/// Key of the deployment.
pub const KEY: Setting = Setting {
    flag: "--key",
    kind: Kind::Secret,
    default: None,
    help: "Key that all processes of the deployment share; prefer the variable",
};

/// Limit of a store call.
pub const STORE_TIMEOUT: Setting = Setting {
    flag: "--store-timeout-ms",
    kind: Kind::Millis {
        min: 50,
        max: 60_000,
    },
    default: Some("2000"),
    help: "Longest call to the platform",
};

/// Log level.
pub const LOG_LEVEL: Setting = Setting {
    flag: "--log-level",
    kind: Kind::Level,
    default: Some("info"),
    help: "Lowest level that is logged",
};

/// Reads the key of the deployment, printing what is wrong with it.
///
/// # Errors
///
/// Returns the exit status to end with if the key cannot be used.
pub fn key(program: &Program, values: &Values) -> Result<peers::Key, process::ExitCode> {
    let secret = values.secret(KEY.flag);
    let secret = secret.map_err(|error| program.refuse(&error))?;
    peers::Key::new(&String::from_utf8_lossy(&secret)).map_err(|fault| {
        eprintln!("{}: {}: {fault}", program.name, KEY.flag);
        process::ExitCode::from(EXIT_STATUS)
    })
}

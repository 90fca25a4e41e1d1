//! Reads declaration files.

use std::fs;
use std::io;
use std::io::Read;

use guavausher_core::declaration;
use guavausher_core::name;

use crate::error;
use crate::settings;

/// Reads and checks the declaration that the settings name.
///
/// # Errors
///
/// Fails if a file cannot be read, and with every fault of the declaration.
pub fn load(settings: &settings::Settings) -> Result<declaration::Declaration, error::Error> {
    let Some(base) = &settings.base else {
        return Err(error::Error::Missing {
            setting: "the base file",
            flag: settings::BASE.flag,
            variable: settings::BASE.variable,
        });
    };
    let base = read(base)?;
    let overlay = settings.overlay.as_deref().map(read).transpose()?;
    declaration::parse(&base, overlay.as_ref()).map_err(|faults| error::Error::Faults {
        count: faults.len(),
        faults,
    })
}

fn read(path: &str) -> Result<declaration::Source, error::Error> {
    let text = read_text(path).map_err(|error| error::Error::File {
        path: path.to_owned(),
        message: error.to_string(),
        limit: declaration::MAX_FILE_BYTES,
    })?;
    Ok(declaration::Source {
        path: name::Name::from(path),
        text,
    })
}

/// Reads one byte more than the limit at most, so that the parser reports the excess.
fn read_text(path: &str) -> io::Result<String> {
    let limit = u64::try_from(declaration::MAX_FILE_BYTES).unwrap_or(u64::MAX);
    let mut bytes = Vec::new();
    fs::File::open(path)?
        .take(limit + 1)
        .read_to_end(&mut bytes)?;
    String::from_utf8(bytes).map_err(io::Error::other)
}

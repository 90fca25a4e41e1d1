//! The secret that all processes of one deployment hold.

use std::fmt;

use subtle::ConstantTimeEq;

use super::error;

/// The shortest accepted key in bytes.
const MIN_BYTES: usize = 16;
/// The longest accepted key in bytes.
const MAX_BYTES: usize = 256;

/// The secret that all processes of one deployment hold; never shown.
#[derive(Clone)]
pub struct Key(String);

impl Key {
    /// Takes a key of 16 to 256 visible ASCII characters.
    pub fn new(text: &str) -> Result<Self, error::Error> {
        let sized = (MIN_BYTES..=MAX_BYTES).contains(&text.len());
        if !sized || !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(error::Error::Key);
        }
        Ok(Self(text.to_owned()))
    }

    /// Compares in a time that does not depend on where the two differ.
    pub(super) fn matches(&self, other: &[u8]) -> bool {
        self.0.as_bytes().ct_eq(other).into()
    }

    /// Returns the header value that carries the key, marked so that no log shows it.
    pub(super) fn header(&self) -> Result<http::HeaderValue, error::Error> {
        let mut value = http::HeaderValue::from_str(&self.0).map_err(|_| error::Error::Key)?;
        value.set_sensitive(true);
        Ok(value)
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

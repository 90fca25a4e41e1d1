//! Shared immutable names.

use std::borrow;
use std::fmt;
use std::ops;
use std::sync;

use serde::de;

/// The longest accepted name in bytes.
pub const MAX_BYTES: usize = 128;

/// A shared immutable string that names a workspace, service, upstream or instance.
///
/// ```
/// use guavausher_core::name;
/// let service = name::Name::from("verse-scribe");
/// assert_eq!(service.clone().as_str(), "verse-scribe");
/// ```
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Name(sync::Arc<str>);

impl Name {
    /// Borrows the text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Default for Name {
    fn default() -> Self {
        Self::from("")
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Self {
        Self(sync::Arc::from(text))
    }
}

impl From<String> for Name {
    fn from(text: String) -> Self {
        Self(sync::Arc::from(text))
    }
}

impl borrow::Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl ops::Deref for Name {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl serde::Serialize for Name {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.0)
    }
}

impl<'de> serde::Deserialize<'de> for Name {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(NameVisitor)
    }
}

struct NameVisitor;

impl de::Visitor<'_> for NameVisitor {
    type Value = Name;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a name of at most {MAX_BYTES} bytes")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Name, E> {
        if text.len() > MAX_BYTES {
            return Err(E::invalid_length(text.len(), &self));
        }
        Ok(Name::from(text))
    }
}

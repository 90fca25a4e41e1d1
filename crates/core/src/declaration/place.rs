//! Locations in declaration files.

use std::fmt;

use crate::name;

/// A line of a declaration file.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Serialize)]
pub struct Place {
    /// Path of the file.
    pub path: name::Name,
    /// Line number, starting at 1.
    pub line: usize,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.path, self.line)
    }
}

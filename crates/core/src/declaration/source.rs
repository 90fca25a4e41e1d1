//! The text of one declaration file.

use crate::name;

/// The text of one declaration file with the path shown in faults.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Source {
    /// Path as given by the operator.
    pub path: name::Name,
    /// TOML text.
    pub text: String,
}

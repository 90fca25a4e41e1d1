//! Errors of the settings.

/// Why the settings of a program are refused.
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq)]
pub enum Error {
    /// setting {flag} is missing: give {flag} VALUE or set {variable} ({expected})
    Missing {
        /// Flag of the setting.
        flag: &'static str,
        /// Environment variable of the setting.
        variable: String,
        /// What a value must look like.
        expected: String,
    },
    /// setting {flag} (or {variable}) has the value {value:?}: give {expected}
    Invalid {
        /// Flag of the setting.
        flag: &'static str,
        /// Environment variable of the setting.
        variable: String,
        /// The refused value.
        value: String,
        /// What a value must look like.
        expected: String,
    },
    /// flag {flag} has no value: write {flag} VALUE
    NoValue {
        /// Flag of the setting.
        flag: &'static str,
    },
    /// argument {argument:?} is unknown or given twice: remove it, or see --help for what is known
    Unknown {
        /// The refused argument.
        argument: String,
    },
    /// setting {flag} is read but not declared: add it to the program's table
    Undeclared {
        /// Flag of the setting.
        flag: &'static str,
    },
}

impl std::error::Error for Error {}

//! Engines that crashed.

use crate::name;

/// An engine that crashed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashedEngine {
    /// Its name.
    pub name: name::Name,
    /// Its incarnation.
    pub incarnation: u64,
}

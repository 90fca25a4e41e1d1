//! Scheduling classes.

/// Scheduling class of a route.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Short interactive requests: questions and orders.
    Quick,
    /// Long requests: consultations and compilations.
    Long,
}

impl Priority {
    /// Every priority.
    pub const ALL: [Self; 2] = [Self::Quick, Self::Long];

    /// Returns the text used in files and tables.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Quick => "quick",
            Self::Long => "long",
        }
    }
}

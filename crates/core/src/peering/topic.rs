//! What a document is about.

/// What a document is about.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub enum Topic {
    /// The declaration in force.
    Config,
    /// The list of entries with their peer addresses.
    Members,
    /// The state of the rollouts.
    Rollouts,
}

impl Topic {
    /// All topics in the order of [`Topic::index`].
    pub const ALL: [Self; 3] = [Self::Config, Self::Members, Self::Rollouts];

    /// Returns the position in [`Topic::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }
}

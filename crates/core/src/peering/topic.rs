//! Topics of documents.

/// The topic of a document.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub enum Topic {
    /// The current configuration.
    Config,
    /// The member list: the entries with their peer addresses.
    Members,
    /// The state of the rollouts.
    Rollouts,
}

impl Topic {
    /// All topics, ordered by [`Topic::index`].
    pub const ALL: [Self; 3] = [Self::Config, Self::Members, Self::Rollouts];

    /// Returns the position in [`Topic::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }
}

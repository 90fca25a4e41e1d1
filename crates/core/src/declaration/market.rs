//! How instances are rented.

/// How an instance is rented.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Market {
    /// Cheap, but can be reclaimed by the provider with a notice of seconds.
    Reclaimable,
    /// Kept until it is released.
    OnDemand,
}

impl Market {
    /// Every market.
    pub const ALL: [Self; 2] = [Self::Reclaimable, Self::OnDemand];

    /// Returns the text used in files and tables.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Reclaimable => "reclaimable",
            Self::OnDemand => "on-demand",
        }
    }
}

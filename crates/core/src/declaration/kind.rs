//! Kinds of service.

/// What serves a service.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A model engine that streams tokens.
    Model,
    /// A plain service that answers whole.
    Plain,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Self; 2] = [Self::Model, Self::Plain];

    /// Returns the text used in files and tables.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Model => "model",
            Self::Plain => "plain",
        }
    }
}

//! Kinds of service.

/// Kind of service.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A model engine that streams tokens.
    Model,
    /// A plain service that returns a complete response.
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

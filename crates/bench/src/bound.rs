//! Bounds of the measures.

/// Bounds by name of measure.
const TEXT: &str = include_str!("../bounds.toml");

/// The bound of one measure.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// Name of the measure.
    pub measure: String,
    /// Smallest good value.
    pub least: Option<f64>,
    /// Largest good value.
    pub most: Option<f64>,
}

#[derive(serde::Deserialize)]
struct File {
    bound: Vec<Bound>,
}

impl Bound {
    /// Reads all bounds.
    ///
    /// # Errors
    /// Returns what is wrong with `bounds.toml`.
    pub fn all() -> Result<Vec<Self>, toml::de::Error> {
        toml::from_str::<File>(TEXT).map(|file| file.bound)
    }

    /// Returns whether a value is within the bound.
    pub fn holds(&self, value: f64) -> bool {
        let low = self.least.is_none_or(|least| value >= least);
        let high = self.most.is_none_or(|most| value <= most);
        low && high
    }

    /// Returns the bound as text.
    pub fn text(&self) -> String {
        match (self.least, self.most) {
            (Some(least), None) => format!(">= {least}"),
            (None, Some(most)) => format!("<= {most}"),
            (Some(least), Some(most)) => format!("{least} to {most}"),
            (None, None) => "none".to_owned(),
        }
    }
}

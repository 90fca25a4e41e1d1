//! Counts of open usage windows as the lease holder saves them in the store.

use super::usage_counts;

/// The saved counts, with what a later holder has to know of the store's eras.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "camelCase")]
pub struct SavedCounts {
    /// Era of the store in which they were saved.
    pub era: u64,
    /// Windows before this one whose reports the store may have lost.
    pub lost_windows: u64,
    /// Counts by process.
    pub processes: Vec<usage_counts::ProcessCounts>,
}

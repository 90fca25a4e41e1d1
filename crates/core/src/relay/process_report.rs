//! What delegates tell those that may be chosen for the duties, of each member of their group.

use super::digest;
use super::usage_counts;
use super::window_counts;

/// What the holder of the duties has to know of one process.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ProcessReport {
    /// The process.
    pub process: usage_counts::Process,
    /// What it has counted in the newest windows.
    pub counts: Vec<window_counts::Count>,
    /// Work that it has given to services.
    #[serde(rename = "work")]
    pub prefill_work: Vec<digest::PrefillWork>,
    /// Answers of the versions of services that are moved.
    #[serde(rename = "trials")]
    pub canary_samples: Vec<digest::CanarySamples>,
}

impl ProcessReport {
    /// Returns its counts.
    pub fn process_counts(&self) -> usage_counts::ProcessCounts {
        usage_counts::ProcessCounts {
            process: self.process.clone(),
            counts: self.counts.clone(),
        }
    }
}

//! Process reports, which delegates send to lease candidates for each member of their group.

use super::canary_samples;
use super::digest;
use super::usage_counts;
use super::window_counts;

/// What the lease holder needs to know of one process.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ProcessReport {
    /// The process.
    pub process: usage_counts::Process,
    /// Its usage counts of the newest windows.
    pub counts: Vec<window_counts::Count>,
    /// Prefill work that it has sent to services.
    #[serde(rename = "work")]
    pub prefill_work: Vec<digest::PrefillWork>,
    /// Outcomes on the versions of services in a rollout.
    #[serde(rename = "trials")]
    pub canary_samples: Vec<canary_samples::CanarySamples>,
}

impl ProcessReport {
    /// Returns its usage counts.
    pub fn process_counts(&self) -> usage_counts::ProcessCounts {
        usage_counts::ProcessCounts {
            process: self.process.clone(),
            counts: self.counts.clone(),
        }
    }
}

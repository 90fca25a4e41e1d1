//! What delegates tell those that may be chosen for the duties, of each member of their group.

use super::digest;
use super::tallies;
use super::window_counts;

/// What the holder of the duties has to know of one process.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ProcessReport {
    /// The process.
    pub process: tallies::Process,
    /// What it has counted in the newest windows.
    pub counts: Vec<window_counts::Count>,
    /// Work that it has given to services.
    pub work: Vec<digest::Work>,
    /// Answers of the versions of services that are moved.
    pub trials: Vec<digest::Trial>,
}

impl ProcessReport {
    /// Returns its counts.
    pub fn tally(&self) -> tallies::Tally {
        tallies::Tally {
            process: self.process.clone(),
            counts: self.counts.clone(),
        }
    }
}

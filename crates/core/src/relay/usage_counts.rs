//! Counts of started requests by process: those of this process and those reported by others.
//!
//! They are kept by process so that a count can be reported repeatedly, by several instances and
//! late, without being added twice.

use std::collections;

use super::window_counts;
use crate::name;

/// Processes whose counts are kept.
const MAX_PROCESSES: usize = 4_096;
/// Windows before the present one after which a process without newer counts is forgotten.
const MAX_IDLE_WINDOWS: u64 = 12;

/// One process of one instance.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize)]
pub struct Process {
    /// The instance.
    pub name: name::Name,
    /// Number of the process.
    pub incarnation: u64,
}

/// Counts of one process.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ProcessCounts {
    /// The process.
    pub process: Process,
    /// Requests that it started.
    pub counts: Vec<window_counts::Count>,
}

/// Counts of all processes.
#[derive(Clone, Debug)]
pub struct UsageCounts {
    process: Process,
    own: window_counts::WindowCounts,
    others: collections::BTreeMap<Process, window_counts::WindowCounts>,
}

impl UsageCounts {
    /// Builds the counts of a process that has just started.
    pub fn new(process: Process) -> Self {
        Self {
            process,
            own: window_counts::WindowCounts::default(),
            others: collections::BTreeMap::new(),
        }
    }

    /// Counts a request started here.
    pub fn record(&mut self, window: u64, workspace: &name::Name) {
        self.own.record(window, workspace);
    }

    /// Merges reported counts of another process.
    pub fn merge(&mut self, other: &ProcessCounts) {
        if other.process == self.process {
            return;
        }
        if self.others.len() >= MAX_PROCESSES && !self.others.contains_key(&other.process) {
            return;
        }
        let known = self.others.entry(other.process.clone()).or_default();
        known.merge(&other.counts);
    }

    /// Returns this process's own counts of the newest windows.
    pub fn own_newest(&self, windows: usize) -> Vec<window_counts::Count> {
        self.own.newest(windows)
    }

    /// Returns the counts of one process from a window on.
    pub fn process_since(&self, process: &Process, window: u64) -> Vec<window_counts::Count> {
        let counts = match *process == self.process {
            true => Some(&self.own),
            false => self.others.get(process),
        };
        counts.map_or_else(Vec::new, |counts| counts.since(window))
    }

    /// Returns the counts of all processes from a window on.
    pub fn all_since(&self, window: u64) -> Vec<ProcessCounts> {
        let all = self.others.iter().chain([(&self.process, &self.own)]);
        let all = all.map(|(process, counts)| ProcessCounts {
            process: process.clone(),
            counts: counts.since(window),
        });
        all.filter(|other| !other.counts.is_empty()).collect()
    }

    /// Returns the requests started in a window by all processes, by workspace.
    pub fn started(&self, window: u64) -> collections::BTreeMap<name::Name, u32> {
        let mut sum = collections::BTreeMap::new();
        let all = self.others.values().chain([&self.own]);
        for (workspace, started) in all.flat_map(|counts| counts.by_workspace(window)) {
            *sum.entry(workspace.clone()).or_default() += started;
        }
        sum
    }

    /// Forgets processes that have counted nothing for long.
    pub fn sweep(&mut self, present: u64) {
        let oldest = present.saturating_sub(MAX_IDLE_WINDOWS);
        let is_new =
            |counts: &window_counts::WindowCounts| counts.last().is_some_and(|last| last >= oldest);
        self.others.retain(|_, counts| is_new(counts));
    }
}

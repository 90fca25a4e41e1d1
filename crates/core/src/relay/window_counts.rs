//! Requests started by one process, by usage window and workspace.

use std::collections;

use crate::name;

/// Windows before the newest one that are kept.
const MAX_WINDOWS: u64 = 8;

/// Requests of one workspace in one window.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Count {
    /// Number of the window.
    pub window: u64,
    /// The workspace.
    pub workspace: name::Name,
    /// Requests that started in it.
    #[serde(rename = "begun")]
    pub started: u32,
}

/// Counts of one process.
#[derive(Clone, Debug, Default)]
pub struct WindowCounts {
    windows: collections::BTreeMap<u64, collections::BTreeMap<name::Name, u32>>,
}

impl WindowCounts {
    /// Counts a started request.
    pub fn record(&mut self, window: u64, workspace: &name::Name) {
        let counts = self.windows.entry(window).or_default();
        *counts.entry(workspace.clone()).or_default() += 1;
        self.drop_older(window);
    }

    /// Merges counts reported by another process. A count never decreases, so the higher one is
    /// newer.
    pub fn merge(&mut self, counts: &[Count]) {
        for count in counts {
            let window = self.windows.entry(count.window).or_default();
            let known = window.entry(count.workspace.clone()).or_default();
            *known = (*known).max(count.started);
        }
        if let Some(last) = self.last() {
            self.drop_older(last);
        }
    }

    /// Returns the counts of the newest windows.
    pub fn newest(&self, windows: usize) -> Vec<Count> {
        let newest = self.windows.iter().rev().take(windows);
        newest.flat_map(counts).collect()
    }

    /// Returns the counts from a window on.
    pub fn since(&self, window: u64) -> Vec<Count> {
        self.windows.range(window..).flat_map(counts).collect()
    }

    /// Returns the newest window.
    pub fn last(&self) -> Option<u64> {
        self.windows.keys().next_back().copied()
    }

    /// Returns the counts of one window by workspace.
    pub fn by_workspace(&self, window: u64) -> impl Iterator<Item = (&name::Name, u32)> {
        let counts = self.windows.get(&window).into_iter().flatten();
        counts.map(|(name, count)| (name, *count))
    }

    fn drop_older(&mut self, newest: u64) {
        let oldest = newest.saturating_sub(MAX_WINDOWS);
        self.windows = self.windows.split_off(&oldest);
    }
}

fn counts<'a>(
    (window, counts): (&'a u64, &'a collections::BTreeMap<name::Name, u32>),
) -> impl Iterator<Item = Count> + 'a {
    counts.iter().map(|(workspace, started)| Count {
        window: *window,
        workspace: workspace.clone(),
        started: *started,
    })
}

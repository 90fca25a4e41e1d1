//! Sampling of the log lines of refused requests by workspace.

use std::cell;
use std::collections;
use std::time::Duration;

use guavausher_core::name;
use guavausher_core::time;

/// Log lines for refusals of one workspace in one window.
const MAX_LINES: u32 = 10;
/// Length of a sampling window.
const WINDOW: Duration = Duration::from_secs(1);
/// Tracked workspaces above which expired windows are dropped.
const MAX_WORKSPACES: usize = 256;

/// Counts refusals by workspace and selects those that are logged.
#[derive(Debug, Default)]
pub struct LogSampler {
    windows: cell::RefCell<collections::HashMap<name::Name, Window>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    end: time::Time,
    lines: u32,
    suppressed: u32,
}

impl LogSampler {
    /// Counts a refusal; returns how many refusals its log line represents, or `None` if it is not
    /// logged.
    pub fn admit(&self, now: time::Time, workspace: &name::Name) -> Option<u32> {
        let mut windows = self.windows.borrow_mut();
        if windows.len() >= MAX_WORKSPACES && !windows.contains_key(workspace) {
            windows.retain(|_, window| window.end > now);
        }
        let window = windows.entry(workspace.clone()).or_default();
        if now >= window.end {
            *window = Window {
                end: now.after(WINDOW),
                lines: 0,
                suppressed: window.suppressed,
            };
        }
        if window.lines >= MAX_LINES {
            window.suppressed += 1;
            return None;
        }
        window.lines += 1;
        Some(1 + std::mem::take(&mut window.suppressed))
    }
}

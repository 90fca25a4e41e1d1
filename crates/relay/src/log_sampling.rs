//! Sampling of frequent log lines by the workspace or engine that they are about.

use std::cell;
use std::collections;
use std::time::Duration;

use guavausher_core::name;
use guavausher_core::time;

/// Log lines about one subject in one window.
const MAX_LINES: u32 = 10;
/// Length of a sampling window.
const WINDOW: Duration = Duration::from_secs(1);
/// Tracked subjects above which expired windows are dropped.
const MAX_SUBJECTS: usize = 256;

/// Counts decisions by subject and selects those that are logged.
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
    /// Counts a decision; returns how many decisions its log line represents, or `None` if it is
    /// not logged.
    pub fn admit(&self, now: time::Time, subject: &name::Name) -> Option<u32> {
        let mut windows = self.windows.borrow_mut();
        if windows.len() >= MAX_SUBJECTS && !windows.contains_key(subject) {
            windows.retain(|_, window| window.end > now);
        }
        let window = windows.entry(subject.clone()).or_default();
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

//! Sampling of the log lines of refused requests.

use std::cell;
use std::collections;
use std::time::Duration;

use guavausher_core::name;
use guavausher_core::time;

/// Refusals of one workspace that are logged one by one in a span.
const MAX_LINES: u32 = 10;
/// The span.
const SPAN: Duration = Duration::from_secs(1);
/// Workspaces that are told apart.
const MAX_WORKSPACES: usize = 256;

/// Refusals by workspace, of which only some are logged.
#[derive(Debug, Default)]
pub struct Flood {
    spans: cell::RefCell<collections::HashMap<name::Name, Span>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Span {
    end: time::Time,
    lines: u32,
    silent: u32,
}

impl Flood {
    /// Counts a refusal; returns how many refusals its line stands for, or `None` if it gets none.
    pub fn admit(&self, now: time::Time, workspace: &name::Name) -> Option<u32> {
        let mut spans = self.spans.borrow_mut();
        if spans.len() >= MAX_WORKSPACES && !spans.contains_key(workspace) {
            spans.retain(|_, span| span.end > now);
        }
        let span = spans.entry(workspace.clone()).or_default();
        if now >= span.end {
            *span = Span {
                end: now.after(SPAN),
                lines: 0,
                silent: span.silent,
            };
        }
        if span.lines >= MAX_LINES {
            span.silent += 1;
            return None;
        }
        span.lines += 1;
        Some(1 + std::mem::take(&mut span.silent))
    }
}

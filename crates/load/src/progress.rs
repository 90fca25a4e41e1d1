//! Which token offsets of a stream have come.

use std::time;

/// The arrivals of one stream.
#[derive(Debug, Default)]
pub struct Progress {
    /// Offsets that came again or out of order.
    pub duplicate: u64,
    /// Offsets that were left out.
    pub missing: u64,
    /// Time between neighbouring tokens.
    pub gaps: Vec<time::Duration>,
    next: u64,
    last: Option<time::Instant>,
}

impl Progress {
    /// Takes the token at an offset.
    pub fn token(&mut self, offset: u64, now: time::Instant) {
        if offset < self.next {
            self.duplicate += 1;
            return;
        }
        self.missing += offset - self.next;
        self.next = offset + 1;
        if let Some(last) = self.last.replace(now) {
            self.gaps.push(now.duration_since(last));
        }
    }

    /// Returns the offset of the last token that came.
    pub fn last(&self) -> Option<u64> {
        self.next.checked_sub(1)
    }

    /// Takes the end of a stream that should have had `count` tokens.
    pub fn finish(&mut self, count: u64) {
        self.missing += count.saturating_sub(self.next);
        self.next = self.next.max(count);
    }
}

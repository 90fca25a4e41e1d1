//! When the store last confirmed what an instance knows of each kind of object.
//!
//! An instance that relies on others for changes cannot tell from their heartbeats whether the store
//! still responds to them. So every message states when the store last confirmed the sender's objects.
//! Whoever has the same objects is confirmed as well, and passes the time on as it is: an age that
//! each counts anew would never grow old in a circle of instances that are all cut off.

use std::time::Duration;

use super::position;
use super::revision;

/// Index in a message's positions from which on they state confirmations. Builds that know none leave
/// them out.
const FIRST: usize = 8;
/// How far the estimates of the true time of two instances may be apart, in microseconds.
const MAX_SKEW_MICROS: u64 = 500_000;

/// When the store last confirmed the objects of each kind, in microseconds of true time since the Unix
/// epoch; 0 if that is not known.
#[derive(Clone, Debug, Default)]
pub struct Confirmations {
    times: Vec<u64>,
}

impl Confirmations {
    /// Records that the objects of a kind were those of the store at a time; both times are in
    /// microseconds of true time. One from a clock that is wrong is left out.
    pub fn record(&mut self, now: u64, kind: usize, at: u64) {
        if at > now.saturating_add(MAX_SKEW_MICROS) {
            return;
        }
        if self.times.len() <= kind {
            self.times.resize(kind + 1, 0);
        }
        self.times[kind] = match self.age(now, kind) {
            Some(_) => self.times[kind].max(at),
            None => at,
        };
    }

    /// Returns how long ago the objects of a kind were last those of the store; `None` if that is not
    /// known, or was recorded before the own clock was set back.
    pub fn age(&self, now: u64, kind: usize) -> Option<Duration> {
        let at = self.times.get(kind).copied().filter(|at| *at > 0)?;
        let is_sound = at <= now.saturating_add(MAX_SKEW_MICROS);
        is_sound.then(|| Duration::from_micros(now.saturating_sub(at)))
    }

    /// Returns the positions of a message, with the confirmations after them.
    pub fn append_to(&self, positions: &[position::Position]) -> Vec<position::Position> {
        let mut all: Vec<_> = positions.iter().copied().take(FIRST).collect();
        if !self.times.is_empty() {
            all.resize(FIRST, position::Position::default());
            all.extend(self.times.iter().map(|at| position::Position {
                revision: revision::Revision::from_packed(*at),
                content_hash: 0,
            }));
        }
        all
    }
}

/// Returns when the objects of a kind were confirmed to the sender of a message, in microseconds of
/// true time; `None` if it does not say.
pub fn decode(positions: &[position::Position], kind: usize) -> Option<u64> {
    let stated = positions.get(FIRST + kind)?.revision.packed();
    (stated > 0).then_some(stated)
}

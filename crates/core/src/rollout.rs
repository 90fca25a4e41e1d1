//! Moves of a service from one version to another, on evidence and by a deadline.
//!
//! Each entry enforces the share by itself ([`Split`]) and tests the new version against the old
//! one on its own requests ([`Monitor`]); a halt needs no agreement. The controller pools the
//! sums of all entries ([`Evidence`]) and advances the rollout ([`advance`]).
//!
//! Both sides use the same sequential test, [`Detector`].

mod advance;
mod baseline;
mod book;
mod canary;
mod detector;
mod evidence;
mod measure;
mod monitor;
mod phase;
mod sample;
mod series;
mod split;
mod status;

pub use crate::peering::Report;
pub use advance::{Advance, DECISION_MARGIN, advance, start};
pub use baseline::Baseline;
pub use book::{Book, Malformed};
pub use canary::rank;
pub use detector::{ALARM, Detector};
pub use evidence::{Count, Evidence, Fault};
pub use measure::Measure;
pub use monitor::Monitor;
pub use phase::Phase;
pub use sample::Sample;
pub use split::Split;
pub use status::{FORMAT, Status};

use std::time::Duration;

/// Key of the object that holds all rollouts.
pub const KEY: &str = "rollouts/current";

/// How long the fact of a halt is remembered; the stored status takes its place before.
pub const HALT_LIFE: Duration = Duration::from_secs(7 * 24 * 3_600);

/// A whole share, in thousandths.
pub const WHOLE: u32 = 1_000;

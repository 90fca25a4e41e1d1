//! Rollouts: replace one version of a service by another, with automated analysis and a deadline.
//!
//! Each entry enforces the traffic share by itself ([`Split`]) and compares the new version with
//! the old one on its own requests ([`Monitor`]); it can halt a rollout without agreement of the
//! others. The controller combines the reports of all entries ([`Evidence`]) and advances the
//! rollout ([`advance`]).
//!
//! Both use the same sequential test, [`Detector`].

mod advance;
mod baseline;
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
mod table;

pub use crate::peering::Report;
pub use advance::{Advance, DECISION_MARGIN, advance, start};
pub use baseline::Baseline;
pub use canary::rank;
pub use detector::{ALARM_SCORE, Detector};
pub use evidence::{Count, Evidence, Regression};
pub use measure::Measure;
pub use monitor::Monitor;
pub use phase::Phase;
pub use sample::Sample;
pub use split::Split;
pub use status::{FORMAT, Status};
pub use table::{Malformed, Table};

use std::time::Duration;

/// Key of the stored object that holds the status of all rollouts.
pub const KEY: &str = "rollouts/current";

/// How long the fact of a halt is retained; the stored status replaces it before it expires.
pub const HALT_RETENTION: Duration = Duration::from_secs(7 * 24 * 3_600);

/// The share that sends all requests to the new version, in thousandths.
pub const FULL_SHARE: u32 = 1_000;

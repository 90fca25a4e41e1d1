//! How one rollout ended.

use std::fmt;

use guavausher_core::rollout;

use crate::fault;

/// How one rollout ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The fault, if the version is bad.
    pub fault: Option<fault::Fault>,
    /// The phase at the deadline.
    pub phase: rollout::Phase,
    /// Why it is there.
    pub reason: String,
    /// Requests that met the fault, in all.
    pub harmed: u64,
    /// Time from the first request that met the fault to the halt, in microseconds.
    pub noticed: u64,
    /// Requests that one entry sent to the new version beyond the share.
    pub excess: u64,
    /// Time from the first halt to the last request on the new version, in microseconds.
    pub lingered: u64,
    /// Time left until the deadline at the end, in thousandths of the window.
    pub spare: u64,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fault = self.fault.map_or_else(
            || String::from("good"),
            |fault| format!("{:?} {:?}", fault.trigger, fault.effect),
        );
        write!(
            f,
            "{fault} | {} | {} | harmed {} noticed {:.1} spare {}",
            self.phase,
            self.reason,
            self.harmed,
            self.noticed as f64 / 1e6,
            self.spare
        )
    }
}

//! The progress of one service's rollout.

use guavausher_core::declaration;
use guavausher_core::rollout;

use crate::operation;

/// Phase of a declared rollout that no controller has started.
const PENDING: &str = "pending";

/// A rollout as far as it is known.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
#[serde(untagged)]
pub enum Progress {
    /// Its stored state.
    Started(rollout::Status),
    /// Its declaration, if there is no stored state.
    Pending(declaration::Rollout),
}

impl Progress {
    /// Joins declared and stored; the state of an earlier rollout gives way to a declared one.
    pub fn join(
        declared: Option<&declaration::Rollout>,
        stored: Option<&rollout::Status>,
    ) -> Option<Self> {
        match (declared, stored) {
            (Some(declared), Some(stored)) if stored.matches_declaration(declared) => {
                Some(Self::Started(stored.clone()))
            }
            (Some(declared), _) => Some(Self::Pending(declared.clone())),
            (None, stored) => stored.cloned().map(Self::Started),
        }
    }

    /// Returns the phase of a started rollout.
    pub fn phase(&self) -> Option<rollout::Phase> {
        match self {
            Self::Started(status) => Some(status.phase),
            Self::Pending(_) => None,
        }
    }

    /// Returns why a started rollout is where it is.
    pub fn reason(&self) -> &str {
        match self {
            Self::Started(status) => &status.reason,
            Self::Pending(_) => "",
        }
    }

    /// Returns the cells of a table: version, share, phase and deadline.
    pub fn cells(&self) -> [String; 4] {
        match self {
            Self::Started(status) => [
                status.to.to_string(),
                format!("{}.{}%", status.share / 10, status.share % 10),
                status.phase.to_string(),
                operation::format_time(status.deadline),
            ],
            Self::Pending(declared) => [
                declared.to.to_string(),
                "0.0%".to_owned(),
                PENDING.to_owned(),
                declared.deadline.to_string(),
            ],
        }
    }
}

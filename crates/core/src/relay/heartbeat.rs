//! Heartbeats: the part of a digest that instances send most often.

use super::group;
use super::position;
use super::workspace_usage;
use crate::name;

/// What others need soon: that an instance is alive, how far it has read, and what it admits.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Heartbeat {
    /// Its name.
    pub sender: name::Name,
    /// Its failure domain.
    pub domain: name::Name,
    /// The division of the fleet that it uses.
    pub division: group::Division,
    /// Number of its process; the counters of a higher one start anew.
    pub incarnation: u64,
    /// Instances that it can reach, itself included; they share what it knows of usage.
    #[serde(rename = "hears")]
    pub reachable: u32,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Whether it watches the store.
    #[serde(rename = "fed")]
    pub watching: bool,
    /// How far it has read each kind of object.
    pub positions: Vec<position::Position>,
    /// What it has admitted.
    #[serde(rename = "spent")]
    pub usage: Vec<workspace_usage::Usage>,
}

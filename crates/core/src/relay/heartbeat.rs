//! The part of a digest that instances tell each other most often.

use super::digest;
use super::group;
use crate::name;

/// What others must know soon: that an instance lives, how far it has read, and what it admits.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Heartbeat {
    /// Its name.
    pub sender: name::Name,
    /// The failure domain that it runs in.
    pub domain: name::Name,
    /// How it takes the fleet to be divided.
    pub division: group::Division,
    /// Number of its process; a higher one knows nothing of before.
    pub incarnation: u64,
    /// Instances that it hears, itself included; they share what it knows of usage.
    #[serde(rename = "hears")]
    pub reachable: u32,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Whether it hears of each change from the store.
    #[serde(rename = "fed")]
    pub watching: bool,
    /// How far it has read each kind of object.
    pub positions: Vec<digest::Position>,
    /// What it has admitted.
    #[serde(rename = "spent")]
    pub usage: Vec<digest::Usage>,
}

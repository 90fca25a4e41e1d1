//! What delegates tell other groups of theirs, and their own group of the others.

use std::net;

use super::digest;
use super::group;
use super::member;
use super::sum;
use crate::name;

/// Whom a summary is about.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize)]
pub enum Scope {
    /// All members of the sender's group.
    Group(group::Group),
    /// All instances outside the sender's group.
    Outside,
}

/// Where a group is reached, and how large it is.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Route {
    /// The group.
    pub group: group::Group,
    /// Its delegates.
    pub addresses: Vec<net::SocketAddr>,
    /// Its instances that may be using their part of the shared limits, heard or not.
    pub known: u32,
    /// How long it had been silent when this was sent, in milliseconds.
    #[serde(rename = "silent")]
    pub silent_ms: u64,
}

/// One delegate's view of several instances.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Summary {
    /// Its name.
    pub sender: name::Name,
    /// Number of its process.
    pub incarnation: u64,
    /// Where it listens for messages and serves snapshots.
    pub address: net::SocketAddr,
    /// How it takes the fleet to be divided.
    pub division: group::Division,
    /// Whom the rest is about.
    pub scope: Scope,
    /// How far the sender has read each kind of object.
    pub positions: Vec<digest::Position>,
    /// What they do.
    pub sum: sum::Sum,
    /// Those that hear of changes from the store, a few of them.
    #[serde(rename = "feeders")]
    pub store_watchers: Vec<name::Name>,
    /// Those that come first where one is to be chosen for the duties.
    #[serde(rename = "candidates")]
    pub lease_candidates: Vec<member::Member>,
    /// The groups that this is about.
    pub routes: Vec<Route>,
    /// Requests under which engines ended.
    pub suspects: Vec<digest::Suspect>,
    /// Engines that leave, of which the sender has heard lately.
    pub departures: Vec<digest::Departure>,
}

impl Summary {
    /// Tells whether the sender takes itself for a delegate of its group.
    pub fn is_from_delegate(&self) -> bool {
        let mut addresses = self.routes.iter().flat_map(|route| &route.addresses);
        addresses.any(|address| *address == self.address)
    }
}

impl Route {
    /// Tells whether the group has been silent for so long that its delegates may be others now.
    pub const fn is_silent(&self) -> bool {
        /// Silence after which others are asked, in milliseconds.
        const SILENT_AFTER_MS: u64 = 1_000;
        self.silent_ms > SILENT_AFTER_MS
    }
}

//! Summaries: delegates send one of their group to other groups, and one of all instances outside
//! to their own group.

use std::net;

use super::digest;
use super::group;
use super::member;
use super::position;
use super::sum;
use crate::name;

/// The instances that a summary covers.
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
    /// Its instances that may be using their share of the limits, reachable or not.
    pub known: u32,
    /// Time since the last message of the group when this was sent, in milliseconds.
    #[serde(rename = "silent")]
    pub silent_ms: u64,
}

/// One delegate's report on several instances.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Summary {
    /// Its name.
    pub sender: name::Name,
    /// Number of its process.
    pub incarnation: u64,
    /// Where it listens for messages and serves snapshots.
    pub address: net::SocketAddr,
    /// The division of the fleet that it uses.
    pub division: group::Division,
    /// The instances that the rest covers.
    pub scope: Scope,
    /// How far the sender has read each kind of object.
    pub positions: Vec<position::Position>,
    /// Their load.
    pub sum: sum::Sum,
    /// Some of those that watch the store.
    #[serde(rename = "feeders")]
    pub store_watchers: Vec<name::Name>,
    /// The first of them in the order of lease candidates.
    #[serde(rename = "candidates")]
    pub lease_candidates: Vec<member::Member>,
    /// The groups that this covers.
    pub routes: Vec<Route>,
    /// Requests under which engines crashed, from an earlier build.
    pub suspects: Vec<digest::Suspect>,
    /// Engines that the sender recently learned are shutting down.
    pub departures: Vec<digest::Departure>,
}

impl Summary {
    /// Returns `true` if the sender considers itself a delegate of its group.
    pub fn is_from_delegate(&self) -> bool {
        let mut addresses = self.routes.iter().flat_map(|route| &route.addresses);
        addresses.any(|address| *address == self.address)
    }
}

impl Route {
    /// Returns `true` if the group has been silent for so long that its delegates may have
    /// changed.
    pub const fn is_silent(&self) -> bool {
        /// Silence after which all listed addresses of the group are tried as well, in
        /// milliseconds.
        const SILENT_AFTER_MS: u64 = 1_000;
        self.silent_ms > SILENT_AFTER_MS
    }
}

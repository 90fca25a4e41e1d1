//! How far other instances have read the store.

use std::net;

use super::Peers;
use crate::name;
use crate::relay::confirmation;
use crate::relay::position;
use crate::relay::revision;
use crate::time;

/// An instance that can serve the changes it has read.
#[derive(Clone, Copy, Debug)]
pub struct Reader<'a> {
    /// Its name.
    pub name: &'a name::Name,
    /// Where it serves changes.
    pub address: net::SocketAddr,
    /// How far it has read.
    pub position: position::Position,
    /// When the store last confirmed its objects, in microseconds of true time, if it says so.
    pub confirmed: Option<u64>,
}

impl Peers {
    /// Returns the instances that have changes of a kind of object that this instance lacks.
    pub fn readers_ahead(
        &self,
        now: time::Time,
        kind: usize,
        own: position::Position,
    ) -> impl Iterator<Item = Reader<'_>> {
        let readers = self.readers(now, kind);
        readers.filter(move |reader| {
            let position = reader.position;
            position.revision > own.revision && position.content_hash != own.content_hash
        })
    }

    /// Returns the highest revision at which any instance has the same objects of a kind as this
    /// one.
    pub fn confirmed_revision(
        &self,
        now: time::Time,
        kind: usize,
        own: position::Position,
    ) -> revision::Revision {
        let same = self.readers(now, kind).map(|reader| reader.position);
        let same = same.filter(|position| position.content_hash == own.content_hash);
        same.fold(own.revision, |most, position| most.max(position.revision))
    }

    /// Returns when the store last confirmed to each instance with the same objects of a kind as this
    /// one that they are its objects, in microseconds of true time.
    pub fn confirmations(
        &self,
        now: time::Time,
        kind: usize,
        own: position::Position,
    ) -> impl Iterator<Item = u64> {
        let same = self
            .readers(now, kind)
            .filter(move |reader| reader.position.content_hash == own.content_hash);
        same.filter_map(|reader| reader.confirmed)
    }

    /// Returns the instances that send messages here directly, with how far they have read a kind
    /// of object.
    fn readers(&self, now: time::Time, kind: usize) -> impl Iterator<Item = Reader<'_>> {
        let members = self.peers.values().filter(move |p| !p.is_unreachable(now));
        let members = members.map(move |p| Reader {
            name: &p.digest.heartbeat.sender,
            address: p.digest.address,
            position: p.position(kind),
            confirmed: confirmation::decode(&p.digest.heartbeat.positions, kind),
        });
        let delegates = self
            .groups
            .reachable_delegates(now)
            .map(move |summary| Reader {
                name: &summary.sender,
                address: summary.address,
                position: summary.positions.get(kind).copied().unwrap_or_default(),
                confirmed: confirmation::decode(&summary.positions, kind),
            });
        members.chain(delegates)
    }
}

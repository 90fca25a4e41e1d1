//! Counts of what passed the links.

use std::sync::atomic;

use prometheus_client::metrics::{counter, gauge};
use prometheus_client::registry;

/// A number that may fall.
type Level = gauge::Gauge<u64, atomic::AtomicU64>;

/// Counts of what passed the links since the start; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Bytes received on the peers' connections, handshakes included.
    pub received_bytes: counter::Counter,
    /// Bytes sent on the peers' connections, handshakes included.
    pub sent_bytes: counter::Counter,
    /// Messages received.
    pub received_messages: counter::Counter,
    /// Messages sent.
    pub sent_messages: counter::Counter,
    /// Messages that found no link or no room.
    pub dropped_messages: counter::Counter,
    /// Messages of a kind that this version does not know.
    pub skipped_messages: counter::Counter,
    /// Connections refused for a wrong key, protocol or header.
    pub refused: counter::Counter,
    /// Links ended by a malformed or oversize frame.
    pub malformed: counter::Counter,
    /// Links ended since the peer read or sent too slowly.
    pub slow: counter::Counter,
    /// Links that are up.
    pub links: Level,
}

impl Counters {
    /// Registers the counts as `guavausher_peer_*`.
    pub fn register(&self, registry: &mut registry::Registry) {
        let own = registry.sub_registry_with_prefix("guavausher_peer");
        let counters = [
            (
                "received_bytes",
                "Bytes received from peers",
                &self.received_bytes,
            ),
            ("sent_bytes", "Bytes sent to peers", &self.sent_bytes),
            (
                "received_messages",
                "Messages received from peers",
                &self.received_messages,
            ),
            (
                "sent_messages",
                "Messages sent to peers",
                &self.sent_messages,
            ),
            (
                "dropped_messages",
                "Messages without link or room",
                &self.dropped_messages,
            ),
            (
                "skipped_messages",
                "Messages of an unknown kind",
                &self.skipped_messages,
            ),
            (
                "refused",
                "Connections refused at the peers' port",
                &self.refused,
            ),
            (
                "malformed",
                "Links ended by a malformed frame",
                &self.malformed,
            ),
            ("slow", "Links ended by a slow peer", &self.slow),
        ];
        for (name, help, counter) in counters {
            own.register(name, help, counter.clone());
        }
        own.register("links", "Links that are up", self.links.clone());
    }
}

//! Counts of what passed the links.

use std::sync::atomic;

/// Counts of what passed the links since the start.
#[derive(Debug, Default)]
pub struct Counters {
    /// Bytes received on the peers' connections, handshakes included.
    pub received_bytes: atomic::AtomicU64,
    /// Bytes sent on the peers' connections, handshakes included.
    pub sent_bytes: atomic::AtomicU64,
    /// Messages received.
    pub received_messages: atomic::AtomicU64,
    /// Messages sent.
    pub sent_messages: atomic::AtomicU64,
    /// Messages that found no link or no room.
    pub dropped_messages: atomic::AtomicU64,
    /// Messages of a kind that this version does not know.
    pub skipped_messages: atomic::AtomicU64,
    /// Connections refused for a wrong key, protocol or header.
    pub refused: atomic::AtomicU64,
    /// Links ended by a malformed or oversize frame.
    pub malformed: atomic::AtomicU64,
    /// Links ended since the peer read or sent too slowly.
    pub slow: atomic::AtomicU64,
    /// Links that are up.
    pub links: atomic::AtomicU64,
}

impl Counters {
    /// Adds to a count.
    pub(super) fn add(count: &atomic::AtomicU64, more: u64) {
        count.fetch_add(more, atomic::Ordering::Relaxed);
    }

    /// Reads a count.
    pub fn get(count: &atomic::AtomicU64) -> u64 {
        count.load(atomic::Ordering::Relaxed)
    }
}

//! Limits on what a process holds for callers, derived from its memory and its descriptors.

/// Memory of the smallest instance in bytes, assumed if the settings state none.
pub const DEFAULT_MEMORY: usize = 120_000_000;
/// Descriptors of the smallest instance, assumed if the settings state none.
pub const DEFAULT_DESCRIPTORS: usize = 3_075;
/// Share of the memory for the bytes held for callers, in percent. The rest is for the process
/// itself, its connections and the unused parts of allocations.
const HELD_PERCENT: usize = 40;
/// Share of these bytes that long bodies may use, in percent, so that short requests find room.
const LONG_PERCENT: usize = 75;
/// Share of the memory for callers' connections, in percent.
const CONNECTIONS_PERCENT: usize = 25;
/// Memory of one connection with its task and its first read, in bytes.
const CONNECTION_BYTES: usize = 16 << 10;
/// Descriptors that are reserved for files.
const FILE_DESCRIPTORS: usize = 200;
/// Descriptors for listeners, the store, peers and status connections.
const OWN_DESCRIPTORS: usize = 64;
/// Descriptors that a caller's connection may need: its own and that of an engine.
const DESCRIPTORS_PER_CALLER: usize = 2;
/// Callers' connections that are accepted in any case.
const MIN_CONNECTIONS: usize = 16;
/// Bytes that a socket may hold unread while its body waits for room.
pub const SOCKET_BYTES: usize = 64 << 10;

/// Limits on what a process holds for callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryLimits {
    /// Bytes held for callers.
    pub total: usize,
    /// Bytes of long bodies among them.
    pub long: usize,
    /// Bodies that may wait for room.
    pub waiting: usize,
    /// Callers' connections.
    pub connections: usize,
}

impl MemoryLimits {
    /// Derives the limits of an instance with so many bytes of memory and so many descriptors.
    pub fn new(memory: usize, descriptors: usize) -> Self {
        let percent = |share| memory / 100 * share;
        let total = percent(HELD_PERCENT);
        let by_memory = percent(CONNECTIONS_PERCENT) / CONNECTION_BYTES;
        let for_callers = descriptors.saturating_sub(FILE_DESCRIPTORS + OWN_DESCRIPTORS);
        let connections = by_memory.min(for_callers / DESCRIPTORS_PER_CALLER);
        Self {
            total,
            long: total / 100 * LONG_PERCENT,
            waiting: (total / 4 / SOCKET_BYTES).max(1),
            connections: connections.max(MIN_CONNECTIONS),
        }
    }
}

impl Default for MemoryLimits {
    fn default() -> Self {
        Self::new(DEFAULT_MEMORY, DEFAULT_DESCRIPTORS)
    }
}

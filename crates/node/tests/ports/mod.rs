//! Loopback ports for processes that bind them later.
//!
//! They lie below the range from which the kernel takes ports of outgoing connections, and each
//! test process has a block of its own.

use std::net;
use std::process;
use std::sync::atomic;

const FIRST: u32 = 10_000;
const BLOCKS: u32 = 200;
const BLOCK: u32 = 48;

static NEXT: atomic::AtomicU32 = atomic::AtomicU32::new(0);

/// Returns an address that nobody listens at.
pub fn free() -> net::SocketAddr {
    let block = FIRST + process::id() % BLOCKS * BLOCK;
    (0..BLOCK)
        .map(|_| block + NEXT.fetch_add(1, atomic::Ordering::Relaxed) % BLOCK)
        .map(|port| net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port as u16)))
        .find(|address| net::TcpListener::bind(address).is_ok())
        .expect("a free port")
}

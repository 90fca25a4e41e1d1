//! The owner's end of the links.

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;

use crossbeam::channel;
use guavausher_core::name;
use guavausher_core::peering;
use tokio::runtime;
use tokio::sync::mpsc;

use super::{accept, command, config, counters, event, hub, link};

/// Orders that wait for the thread of the links at most.
const MAX_ORDERS: usize = 4096;
/// Messages from peers that wait for the thread of the links at most.
const MAX_INNER: usize = 64;

/// The owner's end of the links; they end when it is dropped.
#[derive(Debug)]
pub struct Handle {
    orders: mpsc::Sender<command::Command>,
    counters: counters::Counters,
    address: Option<net::SocketAddr>,
    stopping: sync::Arc<atomic::AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

/// Opens the peers' port and starts the thread that drives all links.
pub fn start(config: config::Config, events: channel::Sender<event::Event>) -> io::Result<Handle> {
    let listener = config.listen.map(bind).transpose()?;
    let address = listener.as_ref().map(net::TcpListener::local_addr);
    let address = address.transpose()?;
    let runtime = runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()?;
    let (orders, ordered) = mpsc::channel(MAX_ORDERS);
    let (inner, received) = mpsc::channel(MAX_INNER);
    let counters = counters::Counters::default();
    let stopping = sync::Arc::new(atomic::AtomicBool::new(false));
    let shared = link::Shared {
        config: sync::Arc::new(config),
        counters: counters.clone(),
        commands: inner,
        stopping: stopping.clone(),
    };
    let hub = hub::Hub::new(shared.clone(), events);
    let thread = thread::Builder::new().name("peers".to_owned());
    let thread = thread.spawn(move || {
        runtime.block_on(async {
            if let Some(listener) = listener {
                listen(shared, listener);
            }
            hub.run(ordered, received).await;
        });
    })?;
    Ok(Handle {
        orders,
        counters,
        address,
        stopping,
        thread: Some(thread),
    })
}

impl Handle {
    /// Dials a peer once.
    pub fn link(&self, member: peering::Member) {
        self.order(command::Command::Link(member));
    }

    /// Closes the link to a peer, without an event.
    pub fn unlink(&self, peer: &name::Name) {
        self.order(command::Command::Unlink(peer.clone()));
    }

    /// Sends a message to a linked peer; one without a link is dropped and counted.
    pub fn send(&self, to: &name::Name, message: peering::Message) {
        let to = to.clone();
        self.order(command::Command::Send { to, message });
    }

    /// Returns the address that the peers' port listens at.
    pub fn address(&self) -> Option<net::SocketAddr> {
        self.address
    }

    /// Returns the counts.
    pub fn counters(&self) -> &counters::Counters {
        &self.counters
    }

    fn order(&self, command: command::Command) {
        if self.orders.try_send(command).is_err() {
            self.counters.dropped_messages.inc();
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.stopping.store(true, atomic::Ordering::Relaxed);
        // A closed queue ends the thread.
        let (closed, _) = mpsc::channel(1);
        self.orders = closed;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn bind(address: net::SocketAddr) -> io::Result<net::TcpListener> {
    let listener = net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

fn listen(shared: link::Shared, listener: net::TcpListener) {
    match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => drop(tokio::spawn(accept::run(shared, listener))),
        Err(error) => log::error!("the peers' port cannot be opened: {error}"),
    }
}

//! The controller: turns input and output into events and effects of [`guavausher_core::control`].
//!
//! It runs beside an entry and is linked to that entry only. It keeps nothing and no request
//! passes through it, so it may die and start again at any time.

mod documents;
mod driver;
mod metrics;
mod orders;

use std::io;
use std::net;
use std::thread;

use crossbeam::channel;
use guavausher_core::name;
use guavausher_core::peering;
use prometheus_client::registry;
use signal_hook::consts;
use signal_hook::iterator;

use crate::{admin, clock, peers, store};

pub use metrics::Metrics;

/// Events of links that may wait for the reducer.
const MAX_EVENTS: usize = 4_096;

/// What a controller is started with.
#[derive(Clone, Debug)]
pub struct Config {
    /// The entry beside it; its address is the entry's peer port.
    pub entry: peering::Member,
    /// Management address.
    pub admin: net::SocketAddr,
    /// Key that all processes of the deployment share.
    pub key: peers::Key,
    /// Unique number of this process.
    pub writer: u64,
    /// Client of the platform's store.
    pub store: store::Options,
}

/// Runs a controller until it is asked to stop and has given its leases back.
///
/// # Errors
///
/// Fails if an address cannot be bound or a thread cannot be started.
pub fn run(config: Config) -> io::Result<()> {
    let clock = clock::Clock::start();
    let readiness = admin::Readiness::default();
    let mut registry = registry::Registry::default();
    let metrics = Metrics::register(&mut registry);
    let store_metrics = store::Metrics::default();
    store_metrics.register(&mut registry);
    let (answers, replies) = channel::unbounded();
    let (peer_events, links) = channel::bounded(MAX_EVENTS);
    let store = store::Store::start(config.store, &answers, &store_metrics)?;
    let own = leaf(&config);
    let peers = peers::start(
        peers::Config {
            listen: None,
            key: config.key.clone(),
            own: own.clone(),
            limits: peers::Limits::default(),
        },
        peer_events,
    )?;
    let (orders, ended) = orders::start(clock)?;
    admin::serve(config.admin, readiness.clone(), registry)?;
    let stops = stops()?;
    log::info!(entry:% = config.entry.name; "controller started");
    let driver = driver::Driver {
        clock,
        store,
        peers,
        orders,
        readiness,
        metrics,
        replies,
        links,
        ended,
        stops,
    };
    driver.run(&config, own);
    Ok(())
}

/// Returns the controller as its entry sees it.
fn leaf(config: &Config) -> peering::Member {
    peering::Member {
        name: name::Name::from(format!("{}-controller", config.entry.name)),
        incarnation: config.writer,
        ..config.entry.clone()
    }
}

/// Returns a channel that gets a message at each signal to stop.
fn stops() -> io::Result<channel::Receiver<()>> {
    let (sender, receiver) = channel::bounded(1);
    let mut signals = iterator::Signals::new([consts::SIGINT, consts::SIGTERM])?;
    thread::Builder::new()
        .name(String::from("signals"))
        .spawn(move || {
            for _ in signals.forever() {
                // A full queue holds a stop already.
                let _ = sender.try_send(());
            }
        })?;
    Ok(receiver)
}

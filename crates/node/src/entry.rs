//! The entry: callers' HTTP in front, upstreams behind, the reducer between them.
//!
//! One thread runs the reducer and is fed over a bounded channel. Each request has a task that
//! does what the reducer says and reports back; tokens go from upstream to caller in that task
//! without passing through the reducer.

mod answer;
mod attempts;
mod caller;
mod caller_socket;
mod command;
mod conduct;
mod driver;
mod exchange;
mod front;
mod intake;
mod metrics;
mod patience;
mod reader;
mod signal;
mod sse;
mod tokens;
mod whole;
mod worker;

use std::io;
use std::net;
use std::sync;
use std::time;

use crossbeam::channel;
use guavausher_core::{event, peering, time as point};
use prometheus_client::registry;
use tokio::sync::watch;

use crate::{admin, clock, peers, store};

pub use metrics::Metrics;

/// Events that may wait for the reducer; callers are refused while the queue is full.
const MAX_EVENTS: usize = 65_536;

/// How long callers may take to receive the last bytes of their answers at a stop.
const WRITE_WAIT: time::Duration = time::Duration::from_secs(1);

/// What an entry is started with.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address for callers.
    pub listen: net::SocketAddr,
    /// Management address.
    pub admin: net::SocketAddr,
    /// This entry as its peers see it; its address is the peer port.
    pub own: peering::Member,
    /// Entries to ask before the platform's list is known, for a start during its outage.
    pub seeds: Vec<peering::Member>,
    /// Key that all processes of the deployment share.
    pub key: peers::Key,
    /// Threads that carry requests.
    pub threads: usize,
    /// Client of the platform's store.
    pub store: store::Options,
    /// How long a planned stop may take.
    pub grace: time::Duration,
}

/// Runs an entry until it is asked to stop and has ended its requests.
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
    let (events, inputs) = channel::bounded(MAX_EVENTS);
    let (answers, replies) = channel::unbounded();
    let (peer_events, links) = channel::bounded(MAX_EVENTS);
    let store = store::Store::start(config.store, &answers, &store_metrics)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(config.threads)
        .enable_all()
        .build()?;
    let peers = peers::start(peer_config(&config), peer_events)?;
    peers.counters().register(&mut registry);
    admin::serve(config.admin, readiness.clone(), registry)?;
    // Claims and attempts of two processes must never look alike, whatever their settings say.
    let writer = rand::random();
    let front = front::Front {
        clock,
        events: events.clone(),
        metrics: metrics.clone(),
        writer,
        next: sync::Arc::default(),
    };
    runtime.spawn(stop_on_signal(clock, events, config.grace));
    let listener = runtime.block_on(tokio::net::TcpListener::bind(config.listen))?;
    log::info!(address:% = listener.local_addr()?, instance:% = config.own.name; "entry listening");
    let (running, stopped) = watch::channel(());
    let served = runtime.spawn(front.serve(listener, stopped));
    let driver = driver::Driver {
        clock,
        store,
        peers,
        readiness,
        inputs,
        replies,
        links,
        metrics,
        writer,
    };
    driver.run(config.own, config.seeds);
    drop(running);
    // A caller who takes nothing is cut.
    let _ = runtime.block_on(async { tokio::time::timeout(WRITE_WAIT, served).await });
    runtime.shutdown_timeout(time::Duration::from_secs(1));
    Ok(())
}

fn peer_config(config: &Config) -> peers::Config {
    peers::Config {
        listen: Some(config.own.address),
        key: config.key.clone(),
        own: config.own.clone(),
        limits: peers::Limits::default(),
    }
}

/// The first signal begins a planned stop, the second ends it at once.
async fn stop_on_signal(
    clock: clock::Clock,
    events: channel::Sender<command::Input>,
    grace: time::Duration,
) {
    use tokio::signal::unix;
    let Ok(mut terminate) = unix::signal(unix::SignalKind::terminate()) else {
        return;
    };
    let Ok(mut interrupt) = unix::signal(unix::SignalKind::interrupt()) else {
        return;
    };
    for left in [grace, time::Duration::ZERO] {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        let deadline: point::Time = clock.now().after(left);
        log::info!(left_ms = left.as_millis() as u64; "stop requested");
        // A full queue is retried by the next signal.
        let _ = events.try_send(command::Input::Event(event::Event::Stop { deadline }));
    }
}

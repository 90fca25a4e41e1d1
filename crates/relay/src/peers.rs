//! Exchange of digests and snapshots between instances.

use std::cell;
use std::io;
use std::net;
use std::rc;
use std::sync;
use std::time::Duration;

use guavausher_core::relay::{event, gossip, message, revision, usage_counts};
use tokio::net::UdpSocket;

use crate::budget;
use crate::clock;
use crate::connection;
use crate::datagram;
use crate::listener;
use crate::runtime;
use crate::snapshot;

/// Largest snapshot in bytes.
const MAX_SNAPSHOT: usize = 16 << 20;
/// Kind in a query that asks for the usage counts instead of a snapshot.
const USAGE_COUNTS: u8 = u8::MAX;
/// Length of a query in bytes: the kind and the revision to start after.
const QUERY_BYTES: usize = 1 + size_of::<u64>();
/// Peers that are served a snapshot at the same time; each holds a copy until it is sent.
const MAX_SERVED: usize = 32;
/// Timeout for fetching or serving a snapshot.
const FETCH_TIMEOUT: Duration = Duration::from_millis(900);

/// Snapshots by kind, which other instances may fetch.
pub type Snapshots = rc::Rc<cell::RefCell<Vec<snapshot::Snapshot>>>;

/// Starts to send and receive digests and to serve snapshots.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub async fn start(runtime: &rc::Rc<runtime::Runtime>, snapshots: &Snapshots) -> io::Result<()> {
    let address = runtime.state.borrow().own.address;
    let socket = rc::Rc::new(UdpSocket::bind(address).await?);
    let listener = connection::listen(address)?;
    tokio::task::spawn_local(send_digests(runtime.clone(), socket.clone()));
    tokio::task::spawn_local(receive_digests(runtime.clone(), socket));
    let snapshots = snapshots.clone();
    let runtime = runtime.clone();
    let serving = sync::Arc::new(tokio::sync::Semaphore::new(MAX_SERVED));
    tokio::task::spawn_local(async move {
        loop {
            let (connection, _) = listener::accept(&listener).await;
            // A peer whose connection is closed asks another one.
            let Ok(permit) = serving.clone().try_acquire_owned() else {
                continue;
            };
            let (runtime, snapshots) = (runtime.clone(), snapshots.clone());
            tokio::task::spawn_local(async move {
                let _permit = permit;
                let serving =
                    tokio::time::timeout(FETCH_TIMEOUT, serve(connection, &runtime, &snapshots));
                if !matches!(serving.await, Ok(Some(()))) {
                    log::debug!("serving a snapshot to a peer failed");
                }
            });
        }
    });
    Ok(())
}

async fn send_digests(runtime: rc::Rc<runtime::Runtime>, socket: rc::Rc<UdpSocket>) {
    for number in 0.. {
        tokio::time::sleep(gossip::INTERVAL).await;
        let now = clock::now();
        let positions = runtime.positions.borrow().clone();
        let messages = message::outgoing(&runtime.state.borrow(), now, number, &positions);
        for outgoing in messages {
            send(&socket, &outgoing);
        }
    }
}

fn send(socket: &UdpSocket, outgoing: &message::Outgoing) {
    match datagram::encode(&outgoing.message) {
        Ok(bytes) => {
            for address in &outgoing.addresses {
                // The next digest replaces a lost datagram.
                let _ = socket.try_send_to(&bytes, *address);
            }
        }
        Err(fault) => log::error!(fault:% = fault; "datagram cannot be encoded"),
    }
}

async fn receive_digests(runtime: rc::Rc<runtime::Runtime>, socket: rc::Rc<UdpSocket>) {
    let mut buffer = vec![0; datagram::MAX_BYTES];
    loop {
        match socket.recv(&mut buffer).await {
            Ok(length) => match datagram::decode::<message::Message>(&buffer[..length]) {
                Ok(message) => runtime.apply(event::Event::from(message)),
                Err(fault) => log::warn!(fault:% = fault; "datagram cannot be decoded"),
            },
            Err(fault) => log::debug!(fault:% = fault; "receiving a datagram failed"),
        }
    }
}

async fn serve(
    mut connection: connection::Connection,
    runtime: &runtime::Runtime,
    snapshots: &Snapshots,
) -> Option<()> {
    let query = loop {
        if let Some(query) = connection.buffer.first_chunk::<QUERY_BYTES>() {
            break *query;
        }
        if connection.fill().await.ok()? == 0 {
            return None;
        }
    };
    let [kind, since @ ..] = query;
    let bytes = match kind {
        USAGE_COUNTS => datagram::encode(&runtime.state.borrow().usage_counts.all_since(0)),
        kind => {
            let snapshots = snapshots.borrow();
            let snapshot = snapshots.get(usize::from(kind))?;
            let since = revision::Revision::from_packed(u64::from_be_bytes(since));
            datagram::encode(&snapshot.since(since))
        }
    };
    let bytes = bytes.ok()?;
    let length = u32::try_from(bytes.len()).ok()?;
    let mut charge = budget::Charge::new(&runtime.budget);
    charge.grow_always(bytes.len());
    connection::write_all(&connection.stream, &length.to_be_bytes())
        .await
        .ok()?;
    connection::write_all(&connection.stream, &bytes).await.ok()
}

/// Fetches the changes of a kind since a revision from another instance; `None` if that fails.
pub async fn fetch(
    address: net::SocketAddr,
    kind: u8,
    since: revision::Revision,
) -> Option<snapshot::Delta> {
    query(address, kind, since.packed()).await
}

/// Fetches all usage counts that another instance holds; `None` if that fails.
pub async fn fetch_usage_counts(
    address: net::SocketAddr,
) -> Option<Vec<usage_counts::ProcessCounts>> {
    query(address, USAGE_COUNTS, 0).await
}

async fn query<T: serde::de::DeserializeOwned>(
    address: net::SocketAddr,
    kind: u8,
    since: u64,
) -> Option<T> {
    /// Length of the length prefix of a reply in bytes.
    const PREFIX_BYTES: usize = 4;
    let fetching = async {
        let mut connection = connection::Connection::connect(address, FETCH_TIMEOUT)
            .await
            .ok()?;
        let mut request = [kind; QUERY_BYTES];
        request[1..].copy_from_slice(&since.to_be_bytes());
        connection::write_all(&connection.stream, &request)
            .await
            .ok()?;
        loop {
            if let Some(prefix) = connection.buffer.first_chunk::<PREFIX_BYTES>() {
                let length = u32::from_be_bytes(*prefix) as usize;
                if length > MAX_SNAPSHOT {
                    return None;
                }
                if let Some(bytes) = connection.buffer.get(PREFIX_BYTES..PREFIX_BYTES + length) {
                    return datagram::decode(bytes).ok();
                }
            }
            if connection.fill().await.ok()? == 0 {
                return None;
            }
        }
    };
    tokio::time::timeout(FETCH_TIMEOUT, fetching)
        .await
        .ok()
        .flatten()
}

//! Digests and snapshots between instances.

use std::cell;
use std::io;
use std::net;
use std::rc;
use std::time::Duration;

use guavausher_core::relay::{event, gossip, message, usage_counts};
use tokio::net::UdpSocket;

use crate::channel;
use crate::clock;
use crate::datagram;
use crate::shell;
use crate::snapshot;

/// Largest snapshot in bytes.
const MAX_SNAPSHOT: usize = 16 << 20;
/// What is asked for to get counts instead of the snapshot of a kind.
const TALLIES: u8 = u8::MAX;
/// Bytes of a question: what is asked for, and since which revision.
const QUESTION: usize = 1 + size_of::<u64>();
/// Longest time to fetch a snapshot.
const FETCH: Duration = Duration::from_millis(900);

/// Snapshots by kind, which other instances may fetch.
pub type Snapshots = rc::Rc<cell::RefCell<Vec<snapshot::Snapshot>>>;

/// Starts telling digests, hearing them and serving snapshots.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub async fn start(shell: &rc::Rc<shell::Shell>, snapshots: &Snapshots) -> io::Result<()> {
    let address = shell.state.borrow().own.address;
    let socket = rc::Rc::new(UdpSocket::bind(address).await?);
    let listener = channel::listen(address)?;
    tokio::task::spawn_local(tell(shell.clone(), socket.clone()));
    tokio::task::spawn_local(hear(shell.clone(), socket));
    let snapshots = snapshots.clone();
    let shell = shell.clone();
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (shell, snapshots) = (shell.clone(), snapshots.clone());
            let channel = channel::Channel::new(stream);
            tokio::task::spawn_local(async move {
                let serving = tokio::time::timeout(FETCH, serve(channel, &shell, &snapshots));
                if !matches!(serving.await, Ok(Some(()))) {
                    log::debug!("nothing taken by a peer");
                }
            });
        }
    });
    Ok(())
}

async fn tell(shell: rc::Rc<shell::Shell>, socket: rc::Rc<UdpSocket>) {
    for number in 0.. {
        tokio::time::sleep(gossip::INTERVAL).await;
        let now = clock::now();
        let positions = shell.positions.borrow().clone();
        let parcels = message::outgoing(&shell.state.borrow(), now, number, &positions);
        for parcel in parcels {
            send(&socket, &parcel);
        }
    }
}

fn send(socket: &UdpSocket, parcel: &message::Outgoing) {
    match datagram::encode(&parcel.message) {
        Ok(bytes) => {
            for address in &parcel.addresses {
                // A datagram that is lost is made up for by the next one.
                let _ = socket.try_send_to(&bytes, *address);
            }
        }
        Err(fault) => log::error!(fault:% = fault; "datagram cannot be encoded"),
    }
}

async fn hear(shell: rc::Rc<shell::Shell>, socket: rc::Rc<UdpSocket>) {
    let mut buffer = vec![0; datagram::MAX_BYTES];
    loop {
        match socket.recv(&mut buffer).await {
            Ok(length) => match datagram::decode::<message::Message>(&buffer[..length]) {
                Ok(message) => shell.apply(event::Event::from(message)),
                Err(fault) => log::warn!(fault:% = fault; "datagram cannot be read"),
            },
            Err(fault) => log::debug!(fault:% = fault; "datagram refused"),
        }
    }
}

async fn serve(
    mut channel: channel::Channel,
    shell: &shell::Shell,
    snapshots: &Snapshots,
) -> Option<()> {
    let question = loop {
        if let Some(question) = channel.inbox.first_chunk::<QUESTION>() {
            break *question;
        }
        if channel.fill().await.ok()? == 0 {
            return None;
        }
    };
    let [kind, since @ ..] = question;
    let bytes = match kind {
        TALLIES => datagram::encode(&shell.state.borrow().usage_counts.all_since(0)),
        kind => {
            let snapshots = snapshots.borrow();
            let snapshot = snapshots.get(usize::from(kind))?;
            datagram::encode(&snapshot.since(u64::from_be_bytes(since)))
        }
    };
    let bytes = bytes.ok()?;
    let length = u32::try_from(bytes.len()).ok()?;
    channel::write_all(&channel.stream, &length.to_be_bytes())
        .await
        .ok()?;
    channel::write_all(&channel.stream, &bytes).await.ok()
}

/// Fetches what another instance knows of a kind beyond a revision; `None` if it cannot be had.
pub async fn fetch(address: net::SocketAddr, kind: u8, since: u64) -> Option<snapshot::Delta> {
    ask(address, kind, since).await
}

/// Fetches all counts that another instance knows; `None` if they cannot be had.
pub async fn fetch_tallies(address: net::SocketAddr) -> Option<Vec<usage_counts::ProcessCounts>> {
    ask(address, TALLIES, 0).await
}

async fn ask<T: serde::de::DeserializeOwned>(
    address: net::SocketAddr,
    what: u8,
    since: u64,
) -> Option<T> {
    /// Bytes of the length before a snapshot.
    const PREFIX: usize = 4;
    let fetching = async {
        let mut channel = channel::Channel::connect(address, FETCH).await.ok()?;
        let mut question = [what; QUESTION];
        question[1..].copy_from_slice(&since.to_be_bytes());
        channel::write_all(&channel.stream, &question).await.ok()?;
        loop {
            if let Some(prefix) = channel.inbox.first_chunk::<PREFIX>() {
                let length = u32::from_be_bytes(*prefix) as usize;
                if length > MAX_SNAPSHOT {
                    return None;
                }
                if let Some(bytes) = channel.inbox.get(PREFIX..PREFIX + length) {
                    return datagram::decode(bytes).ok();
                }
            }
            if channel.fill().await.ok()? == 0 {
                return None;
            }
        }
    };
    tokio::time::timeout(FETCH, fetching).await.ok().flatten()
}

//! Digests and snapshots between instances.

use std::cell;
use std::io;
use std::net;
use std::rc;
use std::time::Duration;

use guavausher_core::name;
use guavausher_core::relay::{digest, event, tallies};
use tokio::net::UdpSocket;

use crate::channel;
use crate::clock;
use crate::shell;

/// Time between two digests.
const INTERVAL: Duration = Duration::from_millis(150);
/// Largest digest in bytes.
const MAX_DIGEST: usize = 32 * 1024;
/// Instances that one round of digests reaches.
const FAN_OUT: usize = 16;
/// Largest snapshot in bytes.
const MAX_SNAPSHOT: usize = 16 << 20;
/// What is asked for to get counts instead of the snapshot of a kind.
const TALLIES: u8 = u8::MAX;
/// Longest time to fetch a snapshot.
const FETCH: Duration = Duration::from_millis(900);

/// One object of a kind.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Item {
    /// Name.
    pub name: name::Name,
    /// Revision of its last change.
    pub revision: u64,
    /// Content as it was read.
    pub body: Vec<u8>,
}

/// All objects of a kind.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Snapshot {
    /// Revision of the last change of the kind that is in it.
    pub changed: u64,
    /// Objects by name.
    pub items: Vec<Item>,
}

/// Snapshots by kind, which other instances may fetch.
pub type Snapshots = rc::Rc<cell::RefCell<Vec<Snapshot>>>;

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
    let mut round = 0_usize;
    loop {
        tokio::time::sleep(INTERVAL).await;
        round = round.wrapping_add(1);
        let now = clock::now();
        let positions = shell.positions.borrow().clone();
        let (digest, addresses) = {
            let state = shell.state.borrow();
            (state.digest(now, positions), state.peers.addresses())
        };
        let Ok(bytes) = encode(&digest) else {
            log::error!("digest cannot be encoded");
            continue;
        };
        let count = addresses.len();
        let first = round.wrapping_mul(FAN_OUT);
        let reached = (0..count.min(FAN_OUT)).map(|i| addresses[(first + i) % count]);
        for address in reached {
            // A datagram that is lost is made up for by the next one.
            let _ = socket.try_send_to(&bytes, address);
        }
    }
}

async fn hear(shell: rc::Rc<shell::Shell>, socket: rc::Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DIGEST];
    loop {
        match socket.recv(&mut buffer).await {
            Ok(length) => match decode::<digest::Digest>(&buffer[..length]) {
                Ok(digest) => shell.apply(event::Event::Heard(digest)),
                Err(fault) => log::warn!(fault:% = fault; "digest cannot be read"),
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
    if channel.inbox.is_empty() {
        channel.fill().await.ok()?;
    }
    let bytes = match *channel.inbox.first()? {
        TALLIES => encode(&shell.state.borrow().tallies.since(0)),
        kind => encode(snapshots.borrow().get(usize::from(kind))?),
    };
    let bytes = bytes.ok()?;
    let length = u32::try_from(bytes.len()).ok()?;
    channel::write_all(&channel.stream, &length.to_be_bytes())
        .await
        .ok()?;
    channel::write_all(&channel.stream, &bytes).await.ok()
}

/// Fetches the snapshot of a kind from another instance; `None` if it cannot be had.
pub async fn fetch(address: net::SocketAddr, kind: u8) -> Option<Snapshot> {
    ask(address, kind).await
}

/// Fetches all counts that another instance knows; `None` if they cannot be had.
pub async fn fetch_tallies(address: net::SocketAddr) -> Option<Vec<tallies::Tally>> {
    ask(address, TALLIES).await
}

async fn ask<T: serde::de::DeserializeOwned>(address: net::SocketAddr, what: u8) -> Option<T> {
    /// Bytes of the length before a snapshot.
    const PREFIX: usize = 4;
    let fetching = async {
        let mut channel = channel::Channel::connect(address, FETCH).await.ok()?;
        channel::write_all(&channel.stream, &[what]).await.ok()?;
        loop {
            if let Some(prefix) = channel.inbox.first_chunk::<PREFIX>() {
                let length = u32::from_be_bytes(*prefix) as usize;
                if length > MAX_SNAPSHOT {
                    return None;
                }
                if let Some(bytes) = channel.inbox.get(PREFIX..PREFIX + length) {
                    return decode(bytes).ok();
                }
            }
            if channel.fill().await.ok()? == 0 {
                return None;
            }
        }
    };
    tokio::time::timeout(FETCH, fetching).await.ok().flatten()
}

fn encode<T: serde::Serialize>(value: &T) -> Result<Vec<u8>, bincode::error::EncodeError> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
}

fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, bincode::error::DecodeError> {
    let config = bincode::config::standard().with_limit::<MAX_SNAPSHOT>();
    let (value, _) = bincode::serde::decode_from_slice(bytes, config)?;
    Ok(value)
}

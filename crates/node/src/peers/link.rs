//! One link that is up: frames out, frames in.

use std::future;
use std::sync;
use std::sync::atomic;

use guavausher_core::name;
use guavausher_wire::peer;
use tokio::sync::{mpsc, oneshot};
use tokio::time;

use super::{command, config, counters, error, headers};

/// Frames that wait for one peer at most; their bytes have a limit of their own.
const MAX_FRAMES: usize = 4096;

static NEXT_ID: atomic::AtomicU64 = atomic::AtomicU64::new(1);

/// What all links of a process share.
#[derive(Clone, Debug)]
pub struct Shared {
    /// Settings.
    pub config: sync::Arc<config::Config>,
    /// Counts.
    pub counters: counters::Counters,
    /// The thread's own queue.
    pub commands: mpsc::Sender<command::Command>,
    /// Whether the owner has dropped the links.
    pub stopping: sync::Arc<atomic::AtomicBool>,
}

/// The two directions of a connection.
#[derive(Debug)]
pub struct Streams {
    /// To the peer.
    pub output: h2::SendStream<bytes::Bytes>,
    /// From the peer.
    pub input: h2::RecvStream,
}

/// Runs a connection that has shown the key until either direction fails.
pub async fn run<C: Future<Output = error::Error>>(
    shared: &Shared,
    remote: headers::Remote,
    dialled: bool,
    streams: Streams,
    connection: C,
) -> error::Error {
    let peer = remote.name.clone();
    let id = NEXT_ID.fetch_add(1, atomic::Ordering::Relaxed);
    let (frames, received) = mpsc::channel(MAX_FRAMES);
    let (cancel, cancelled) = oneshot::channel();
    let waiting = sync::Arc::new(atomic::AtomicUsize::new(0));
    let queue = command::Queue {
        frames,
        waiting: waiting.clone(),
    };
    let up = command::Up {
        peer: peer.clone(),
        incarnation: remote.incarnation,
        id,
        dialled,
        queue,
        cancel,
    };
    if shared
        .commands
        .send(command::Command::Up(up))
        .await
        .is_err()
    {
        return error::Error::Closed;
    }
    let limit = shared.config.limits.frame;
    let error = tokio::select! {
        error = write(limit, streams.output, received, &waiting) => error,
        error = read(shared, &peer, id, streams.input) => error,
        error = connection => error,
        _ = cancelled => error::Error::Closed,
    };
    count(shared, &error);
    let down = command::Command::Down { peer, id };
    let _ = shared.commands.send(down).await;
    error
}

fn count(shared: &Shared, error: &error::Error) {
    match error {
        error::Error::Frame(_) => _ = shared.counters.malformed.inc(),
        error::Error::Timeout(_) => _ = shared.counters.slow.inc(),
        _ => {}
    }
}

async fn write(
    limit: time::Duration,
    mut output: h2::SendStream<bytes::Bytes>,
    mut frames: mpsc::Receiver<bytes::Bytes>,
    waiting: &atomic::AtomicUsize,
) -> error::Error {
    while let Some(frame) = frames.recv().await {
        let length = frame.len();
        let sent = time::timeout(limit, write_frame(&mut output, frame)).await;
        waiting.fetch_sub(length, atomic::Ordering::Relaxed);
        match sent {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return error,
            Err(_) => return error::Error::Timeout("read a frame"),
        }
    }
    error::Error::Closed
}

async fn write_frame(
    output: &mut h2::SendStream<bytes::Bytes>,
    mut frame: bytes::Bytes,
) -> Result<(), error::Error> {
    while !frame.is_empty() {
        output.reserve_capacity(frame.len());
        let capacity = future::poll_fn(|context| output.poll_capacity(context)).await;
        let capacity = capacity.ok_or(error::Error::Closed)??;
        let part = frame.split_to(capacity.min(frame.len()));
        output.send_data(part, false)?;
    }
    Ok(())
}

async fn read(
    shared: &Shared,
    peer: &name::Name,
    id: u64,
    mut input: h2::RecvStream,
) -> error::Error {
    let mut decoder = peer::Decoder::default();
    let mut deadline = None;
    loop {
        let chunk = match deadline {
            Some(deadline) => match time::timeout_at(deadline, input.data()).await {
                Ok(chunk) => chunk,
                Err(_) => return error::Error::Timeout("send a frame"),
            },
            None => input.data().await,
        };
        let chunk = match chunk {
            Some(Ok(chunk)) => chunk,
            Some(Err(error)) => return error.into(),
            None => return error::Error::Closed,
        };
        if let Err(error) = input.flow_control().release_capacity(chunk.len()) {
            return error.into();
        }
        decoder.push(&chunk);
        let skipped = decoder.skipped();
        match pass_on(shared, peer, id, &mut decoder).await {
            Ok(0) => {}
            // A whole frame came, so the time of the next one starts anew.
            Ok(_) => deadline = None,
            Err(error) => return error,
        }
        let skipped = decoder.skipped() - skipped;
        shared.counters.skipped_messages.inc_by(skipped);
        if !decoder.is_partial() {
            deadline = None;
        } else if deadline.is_none() {
            deadline = Some(time::Instant::now() + shared.config.limits.frame);
        }
    }
}

async fn pass_on(
    shared: &Shared,
    peer: &name::Name,
    id: u64,
    decoder: &mut peer::Decoder,
) -> Result<usize, error::Error> {
    let mut passed = 0;
    while let Some(message) = decoder.next_message()? {
        shared.counters.received_messages.inc();
        let peer = peer.clone();
        let received = command::Command::Received { peer, id, message };
        if shared.commands.send(received).await.is_err() {
            return Err(error::Error::Closed);
        }
        passed += 1;
    }
    Ok(passed)
}

//! The caller's side of one request.

use std::sync;
use std::sync::atomic;
use std::time;

use bytes::Bytes;
use guavausher_core::{refusal, time as point};
use tokio::sync::{mpsc, oneshot};

use crate::entry::answer;

/// Chunks that may wait for a slow caller.
pub const MAX_CHUNKS: usize = 64;

/// How long a caller may take no bytes before it counts as gone.
const STALL: time::Duration = time::Duration::from_secs(30);

/// The beginning of an answer.
#[derive(Debug)]
pub enum Head {
    /// A whole answer.
    Whole(answer::Whole),
    /// A token stream.
    Stream(Stream),
}

/// A token stream towards the caller.
#[derive(Debug)]
pub struct Stream {
    /// The version that answers.
    pub version: String,
    /// The body.
    pub chunks: mpsc::Receiver<Bytes>,
    /// Whether the body is whole once its last chunk has come.
    pub whole: sync::Arc<atomic::AtomicBool>,
}

/// Where the answer stands.
#[derive(Debug)]
enum Stage {
    Waiting(oneshot::Sender<Head>),
    Streaming(Sender),
    Ended,
}

/// The way of a stream to the caller; the stream is cut if this is dropped before the stream is whole.
#[derive(Debug)]
struct Sender {
    chunks: mpsc::Sender<Bytes>,
    whole: sync::Arc<atomic::AtomicBool>,
}

/// The caller of one request.
#[derive(Debug)]
pub struct Caller {
    stage: Stage,
}

/// The caller has gone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Gone;

impl Caller {
    /// Returns a caller that waits for the beginning of its answer.
    pub fn new(head: oneshot::Sender<Head>) -> Self {
        Self {
            stage: Stage::Waiting(head),
        }
    }

    /// Tells whether the final answer has been given.
    pub fn is_answered(&self) -> bool {
        matches!(self.stage, Stage::Ended)
    }

    /// Waits until the caller has gone; never ends once it is answered.
    pub async fn closed(&mut self) {
        match &mut self.stage {
            Stage::Waiting(head) => head.closed().await,
            Stage::Streaming(sender) => sender.chunks.closed().await,
            Stage::Ended => std::future::pending().await,
        }
    }

    /// Forwards events, beginning the stream if need be.
    ///
    /// # Errors
    ///
    /// Fails if the caller has gone or takes no bytes.
    pub async fn forward(&mut self, version: &str, events: Bytes) -> Result<(), Gone> {
        if let Stage::Waiting(_) = self.stage {
            self.begin(version)?;
        }
        let Stage::Streaming(sender) = &self.stage else {
            return Err(Gone);
        };
        let sent = tokio::time::timeout(STALL, sender.chunks.send(events)).await;
        sent.map_err(|_| Gone)?.map_err(|_| Gone)
    }

    /// Ends a whole stream.
    pub fn finish(&mut self) {
        let stage = std::mem::replace(&mut self.stage, Stage::Ended);
        if let Stage::Streaming(sender) = stage {
            sender.whole.store(true, atomic::Ordering::Release);
        }
    }

    /// Gives a whole answer.
    pub fn answer(&mut self, whole: answer::Whole) {
        if let Stage::Waiting(head) = std::mem::replace(&mut self.stage, Stage::Ended) {
            // A caller that has gone needs no answer.
            let _ = head.send(Head::Whole(whole));
        }
    }

    /// Gives a refusal; a stream under way gets it as its last event and is cut.
    pub fn refuse(&mut self, refusal: refusal::Refusal, now: point::Time) {
        match std::mem::replace(&mut self.stage, Stage::Ended) {
            Stage::Waiting(head) => {
                let _ = head.send(Head::Whole(answer::Whole::refusal(refusal, now)));
            }
            Stage::Streaming(sender) => {
                let mut event = b"event: error\ndata: ".to_vec();
                event.extend(answer::refusal_json(refusal, now));
                event.extend(b"\n\n");
                // A full channel means a stalled caller, who sees the cut.
                let _ = sender.chunks.try_send(Bytes::from(event));
            }
            Stage::Ended => {}
        }
    }

    fn begin(&mut self, version: &str) -> Result<(), Gone> {
        let (sender, chunks) = mpsc::channel(MAX_CHUNKS);
        let whole = sync::Arc::<atomic::AtomicBool>::default();
        let sender = Sender {
            chunks: sender,
            whole: whole.clone(),
        };
        let old = std::mem::replace(&mut self.stage, Stage::Streaming(sender));
        let Stage::Waiting(head) = old else {
            return Err(Gone);
        };
        let stream = Stream {
            version: version.to_owned(),
            chunks,
            whole,
        };
        head.send(Head::Stream(stream)).map_err(|_| Gone)
    }
}

//! One token stream.

use std::io;
use std::sync;
use std::time;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time as tokio_time;

use super::prompt;
use super::slot;
use super::state;
use crate::faults;
use crate::reply;

/// How long a cut waits so that what came before it reaches the caller.
const CUT_DELAY: time::Duration = time::Duration::from_millis(5);

/// What a stream has to send.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    /// The attempt that the caller named.
    pub attempt: String,
    /// The prompt.
    pub text: String,
    /// Hashes of the prompt's blocks.
    pub chain: Vec<u64>,
    /// Hash of the prompt.
    pub fingerprint: u64,
    /// Tokens before the first one to send: the prompt's and those sent by other engines.
    pub prompt: u64,
    /// How many of these are cached.
    pub cached: u64,
    /// Offset of the first token to send.
    pub first: u64,
    /// Offset after the last token to send.
    pub end: u64,
}

/// The data of one token.
#[derive(serde::Serialize)]
struct Data {
    token: String,
    attempt: String,
}

/// The data of the last event.
#[derive(serde::Serialize)]
struct Done {
    tokens: u64,
    prompt: u64,
    cached: u64,
    attempt: String,
}

/// A running stream, which holds a slot.
#[derive(Debug)]
pub(super) struct Stream {
    engine: sync::Arc<state::Engine>,
    plan: Plan,
    pieces: mpsc::Sender<io::Result<Bytes>>,
    slot: slot::Slot,
    due: tokio_time::Instant,
}

impl Stream {
    /// Prepares a stream that sends its pieces to a response body.
    pub(super) fn new(
        engine: sync::Arc<state::Engine>,
        plan: Plan,
        pieces: mpsc::Sender<io::Result<Bytes>>,
        slot: slot::Slot,
    ) -> Self {
        Self {
            engine,
            plan,
            pieces,
            slot,
            due: tokio_time::Instant::now(),
        }
    }

    /// Sends the stream until its end, a fault, the caller's close or a cancel.
    pub(super) async fn run(mut self) {
        let pieces = self.pieces.clone();
        let cancel = self.slot.cancel();
        tokio::select! {
            () = pieces.closed() => {}
            () = cancel.notified() => {}
            () = self.send() => {}
        }
    }

    async fn send(&mut self) {
        self.prefill().await;
        for offset in self.plan.first..self.plan.end {
            let sent = offset - self.plan.first;
            if self.cut(sent).await {
                return;
            }
            if offset > self.plan.first {
                self.wait(self.engine.gap()).await;
            }
            if !self.token(offset).await {
                return;
            }
        }
        if !self.cut(self.plan.end - self.plan.first).await {
            self.done().await;
        }
    }

    async fn prefill(&mut self) {
        let uncached = self.plan.prompt.saturating_sub(self.plan.cached);
        self.wait(self.engine.prefill(uncached)).await;
        self.engine.store(&self.plan.chain);
    }

    async fn wait(&mut self, gap: time::Duration) {
        self.due += gap;
        if !gap.is_zero() {
            tokio_time::sleep_until(self.due).await;
        }
        if self.engine.switch.get().freeze {
            self.engine.switch.thaw().await;
            self.due = tokio_time::Instant::now();
        }
    }

    async fn cut(&self, sent: u64) -> bool {
        let faults = self.engine.switch.get();
        let reset = match faults.reset_at {
            Some(faults::ResetAt::AfterHeaders) => true,
            Some(faults::ResetAt::Token(token)) => sent >= token,
            _ => false,
        };
        if reset {
            tokio_time::sleep(CUT_DELAY).await;
            self.pieces.send(Err(reply::cut())).await.ok();
        }
        reset || faults.truncate_at.is_some_and(|token| sent >= token)
    }

    async fn token(&self, offset: u64) -> bool {
        let faults = self.engine.switch.get();
        let token = self.word(offset);
        let attempt = self.attempt(&faults);
        let data = text(&Data { token, attempt });
        let piece = Bytes::from(format!("id: {offset}\ndata: {data}\n\n"));
        self.engine
            .lock()
            .kv
            .advance(&self.plan.attempt, offset + 1);
        if faults.duplicate_tokens && !self.piece(piece.clone()).await {
            return false;
        }
        self.piece(piece).await
    }

    async fn done(&self) {
        self.engine.store(&self.whole());
        let attempt = self.attempt(&self.engine.switch.get());
        let data = text(&Done {
            tokens: self.plan.end,
            prompt: self.plan.prompt,
            cached: self.plan.cached,
            attempt,
        });
        self.piece(Bytes::from(format!("event: done\ndata: {data}\n\n")))
            .await;
    }

    fn whole(&self) -> Vec<u64> {
        let answer = (0..self.plan.end)
            .map(|offset| self.word(offset))
            .collect::<Vec<_>>();
        let prompt = self.plan.text.split_whitespace();
        prompt::blocks(prompt.chain(answer.iter().map(String::as_str)))
    }

    fn word(&self, offset: u64) -> String {
        prompt::token_of(self.plan.fingerprint, offset)
    }

    async fn piece(&self, piece: Bytes) -> bool {
        self.pieces.send(Ok(piece)).await.is_ok()
    }

    fn attempt(&self, faults: &faults::Faults) -> String {
        let other = if faults.wrong_attempt { "other-" } else { "" };
        format!("{other}{}", self.plan.attempt)
    }
}

fn text(data: &impl serde::Serialize) -> String {
    serde_json::to_string(data).unwrap_or_default()
}

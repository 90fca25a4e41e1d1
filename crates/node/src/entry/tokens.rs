//! Attempts whose answer is a token stream.

use std::time;

use bytes::Bytes;
use guavausher_core::{effect, event, name};
use http_body_util::BodyExt;
use tokio::sync::mpsc;

use crate::entry::{exchange, patience, reader, signal, worker};

/// Pause between two tokens after which an attempt counts as silent.
const TOKEN_WAIT: time::Duration = time::Duration::from_secs(10);

/// Whole events of a stream, for the caller.
#[derive(Clone, Debug)]
pub struct Chunk {
    /// The version that sent them.
    pub version: name::Name,
    /// The events.
    pub events: Bytes,
}

/// Runs an attempt at a model engine and passes its tokens on.
pub async fn run(
    worker: &worker::Worker,
    mut patience: patience::Patience<'_>,
    chunks: mpsc::Sender<Chunk>,
    dispatch: effect::Dispatch,
) -> event::Signal {
    let front = &worker.front;
    let id = exchange::unique_id(front.writer, dispatch.attempt);
    let open = match worker.open(&mut patience, &dispatch).await {
        Ok(open) => open,
        Err(broken) => return signal::failed(broken.verdict, broken.died, dispatch.offset),
    };
    if exchange::is_refusal(&open.response, front.writer, dispatch.attempt) {
        return signal::refused(open);
    }
    let headers = open.response.headers();
    let own = exchange::is_own(headers, front.writer, dispatch.attempt);
    if !own || !open.response.status().is_success() {
        return signal::failed(open.sent.fail(), false, dispatch.offset);
    }
    let mut reader = reader::Reader::new(dispatch.attempt, id, dispatch.offset);
    read(worker, &mut patience, &chunks, &dispatch, open, &mut reader).await
}

/// Passes tokens on until the answer is whole or the attempt has failed.
async fn read(
    worker: &worker::Worker,
    patience: &mut patience::Patience<'_>,
    chunks: &mpsc::Sender<Chunk>,
    dispatch: &effect::Dispatch,
    open: exchange::Open,
    reader: &mut reader::Reader,
) -> event::Signal {
    let exchange::Open {
        sent,
        response,
        connection,
    } = open;
    let mut body = response.into_body();
    let first = dispatch.offset;
    let died = loop {
        let frame = patience.wait(TOKEN_WAIT, reader.cursor.next, body.frame());
        let bytes = match frame.await {
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(_)) => break true,
            None => break false,
        };
        let before = reader.cursor.next;
        let step = reader.take(&bytes);
        report_progress(worker, patience, dispatch, before, reader.cursor.next).await;
        if !step.events.is_empty() {
            let chunk = Chunk {
                version: dispatch.version.clone(),
                events: step.events,
            };
            pass_on(chunks, chunk).await;
        }
        if let Some(finish) = reader.finish(first) {
            end(worker, reader, connection);
            let _ = sent.finish();
            return event::Signal::Finished(finish);
        }
        if step.broken {
            break false;
        }
    };
    end(worker, reader, connection);
    signal::failed(sent.fail(), died, reader.cursor.next)
}

/// Passes a chunk on and waits until it has been taken, so that it precedes the attempt's end.
async fn pass_on(chunks: &mpsc::Sender<Chunk>, chunk: Chunk) {
    // The receiver is dropped only after the attempts.
    let _ = chunks.send(chunk).await;
    let _ = chunks.reserve().await;
}

/// Counts new tokens, and reports the first one and the first one after a silence.
async fn report_progress(
    worker: &worker::Worker,
    patience: &mut patience::Patience<'_>,
    dispatch: &effect::Dispatch,
    before: u32,
    next: u32,
) {
    if next == before {
        return;
    }
    worker.front.metrics.tokens.inc_by(u64::from(next - before));
    let is_first = before == dispatch.offset;
    if is_first {
        let passed = worker.arrived.until(worker.front.clock.now());
        worker.front.metrics.first_token(passed);
    }
    if patience.end_silence() || is_first {
        let attempt = dispatch.attempt;
        let signal = event::Signal::FirstToken;
        worker
            .report(event::Event::Attempt { attempt, signal })
            .await;
    }
}

/// Closes the connection and counts what was dropped.
fn end(worker: &worker::Worker, reader: &reader::Reader, connection: exchange::Connection) {
    drop(connection);
    let dropped = u64::from(reader.cursor.dropped);
    worker.front.metrics.dropped.inc_by(dropped);
}

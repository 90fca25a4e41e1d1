//! Attempts whose answer is a token stream.

use std::time;

use guavausher_core::{effect, event};
use http_body_util::BodyExt;

use crate::entry::{caller, exchange, reader, signal, worker};

/// How long an upstream may pause between two tokens.
const TOKEN_WAIT: time::Duration = time::Duration::from_secs(10);

/// Runs an attempt at a model engine, forwarding tokens; returns nothing if the caller has gone.
pub async fn run(
    worker: &worker::Worker,
    caller: &mut caller::Caller,
    dispatch: &effect::Dispatch,
) -> Option<event::Signal> {
    let front = &worker.front;
    let id = exchange::unique_id(front.writer, dispatch.attempt);
    let opened = tokio::select! {
        opened = exchange::open(front.clock, front.writer, dispatch, &worker.intake) => opened,
        () = caller.closed() => return None,
    };
    let open = match opened {
        Ok(open) => open,
        Err(broken) => return Some(signal::failed(broken.verdict, broken.died, dispatch.offset)),
    };
    worker.report_load(dispatch, &open).await;
    if exchange::is_refusal(&open.response, front.writer, dispatch.attempt) {
        return Some(signal::refused(open));
    }
    let headers = open.response.headers();
    let own = exchange::is_own(headers, front.writer, dispatch.attempt);
    if !own || !open.response.status().is_success() {
        return Some(signal::failed(open.sent.fail(), false, dispatch.offset));
    }
    let mut reader = reader::Reader::new(dispatch.attempt, id, dispatch.offset);
    read(worker, caller, dispatch, open, &mut reader).await
}

/// Forwards tokens until the answer is whole or the attempt has failed.
async fn read(
    worker: &worker::Worker,
    caller: &mut caller::Caller,
    dispatch: &effect::Dispatch,
    open: exchange::Open,
    reader: &mut reader::Reader,
) -> Option<event::Signal> {
    let exchange::Open {
        sent,
        response,
        connection,
    } = open;
    let mut body = response.into_body();
    let first = dispatch.offset;
    let died = loop {
        let frame = tokio::select! {
            frame = tokio::time::timeout(TOKEN_WAIT, body.frame()) => frame,
            () = caller.closed() => return None,
        };
        let Ok(frame) = frame else {
            break false;
        };
        let bytes = match frame {
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(_)) => break true,
            None => break false,
        };
        let before = reader.cursor.next;
        let step = reader.take(&bytes);
        if before == first && reader.cursor.next > first {
            first_token(worker, dispatch).await;
        }
        let passed = u64::from(reader.cursor.next - before);
        worker.front.metrics.tokens.inc_by(passed);
        if !step.events.is_empty() {
            caller.forward(&dispatch.version, step.events).await.ok()?;
        }
        if let Some(finish) = reader.finish(first) {
            end(worker, reader, connection);
            let _ = sent.finish();
            return Some(event::Signal::Finished(finish));
        }
        if step.broken {
            break false;
        }
    };
    end(worker, reader, connection);
    Some(signal::failed(sent.fail(), died, reader.cursor.next))
}

/// Closes the connection and counts what was dropped.
fn end(worker: &worker::Worker, reader: &reader::Reader, connection: exchange::Connection) {
    drop(connection);
    let dropped = u64::from(reader.cursor.dropped);
    worker.front.metrics.dropped.inc_by(dropped);
}

async fn first_token(worker: &worker::Worker, dispatch: &effect::Dispatch) {
    let passed = worker.arrived.until(worker.front.clock.now());
    worker.front.metrics.first_token(passed);
    let signal = event::Signal::FirstToken;
    worker
        .report(event::Event::Attempt {
            attempt: dispatch.attempt,
            signal,
        })
        .await;
}

//! Forwarding of one request, from its arrival to its final response.

use std::cell;
use std::io;
use std::rc;
use std::time::Duration;

use bytes::BytesMut;
use guavausher_core::refusal;
use guavausher_core::relay::{effect, event, manifest};

use crate::admission;
use crate::attempt;
use crate::budget;
use crate::caller_response;
use crate::clock;
use crate::connection;
use crate::half_close;
use crate::record;
use crate::refusal_response;
use crate::request_reader;
use crate::response_end;
use crate::running_attempts;
use crate::runtime;
use crate::step_queue;

/// Bytes of pipelined requests that are read ahead while one request is in progress.
const MAX_READ_AHEAD: usize = 64 * 1024;
/// Retry delay given to callers when no better estimate is known.
pub(crate) const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// State of the caller's connection after a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Disposition {
    /// It stays open for the next request.
    Keep,
    /// It is closed after the response.
    Close,
    /// It is reset, since the response on it is incomplete.
    Reset,
}

/// A failure of an engine that is passed on unless another attempt succeeds.
struct KeptFailure {
    dispatch: effect::Dispatch,
    body: caller_response::BufferedResponse,
    response: response_end::ResponseEnd,
}

/// Where the next requests of a caller are read ahead.
struct ReadAhead<'a> {
    buffer: &'a mut BytesMut,
    charge: &'a mut Option<budget::Charge>,
}

/// Forwards one request and writes the response to the caller.
pub async fn forward(
    runtime: &rc::Rc<runtime::Runtime>,
    caller: &mut connection::Connection,
    incoming: request_reader::Request,
) -> Disposition {
    // Requests that the caller has sent behind this one are answered before the connection closes.
    let stays_open = !runtime.is_stopping() || !caller.buffer.is_empty();
    let keeps = incoming.head.keeps_alive() && stays_open;
    runtime.wait_loaded().await;
    match admission::find(runtime, &incoming) {
        Ok(admission) => forward_admitted(runtime, caller, &incoming, admission, keeps).await,
        Err(refusal) => {
            log::info!(id = incoming.head.get(runtime.protocol.id).unwrap_or(""),
                reason = refusal.code.as_str(), verdict = refusal.verdict.as_str(),
                target = incoming.target; "refused on admission");
            refusal_response::write(runtime, &caller.stream, &incoming, refusal, keeps).await
        }
    }
}

async fn forward_admitted(
    runtime: &rc::Rc<runtime::Runtime>,
    caller: &mut connection::Connection,
    incoming: &request_reader::Request,
    admission: manifest::Admission,
    keeps: bool,
) -> Disposition {
    let (id, queue) = runtime.register();
    let request = admission::build_request(runtime, incoming, admission, id);
    runtime.metrics.in_progress.inc();
    log::debug!(id:% = request.trace, request = id, route:% = request.route.name,
        service:% = request.service, prompt = request.prompt,
        left_ms = request.arrived.until(request.deadline).as_millis() as u64;
        "request");
    runtime.apply(event::Event::Arrived(request.clone()));
    let output = cell::RefCell::new(caller_response::CallerResponse::new(keeps));
    let connection::Connection {
        stream,
        buffer,
        charge,
        ..
    } = caller;
    let mut ahead = ReadAhead { buffer, charge };
    let exchange = attempt::Exchange {
        runtime,
        request: &request,
        incoming,
        caller: stream,
        queue: &queue,
        output: &output,
    };
    let disposition = run_steps(exchange, &mut ahead).await;
    runtime.deregister(id);
    runtime.metrics.in_progress.dec();
    disposition
}

/// Executes the steps of a request until the final response.
async fn run_steps(exchange: attempt::Exchange<'_>, ahead: &mut ReadAhead<'_>) -> Disposition {
    let attempt::Exchange {
        runtime,
        request,
        output,
        ..
    } = exchange;
    let mut running = running_attempts::RunningAttempts::new();
    let mut kept: Option<KeptFailure> = None;
    let mut last = None;
    loop {
        let ended = match next(&exchange, &mut running, ahead).await {
            Next::Step(step_queue::Step::Send(dispatch)) => {
                record::sent(runtime, request, &dispatch);
                let attempt = attempt::Attempt::new(exchange, dispatch.clone());
                running.push(dispatch, attempt.run());
                continue;
            }
            Next::Step(step_queue::Step::Cancel(number)) => {
                running.cancel(number);
                record::superseded(runtime, request, number);
                continue;
            }
            Next::Step(step_queue::Step::Refuse(refusal, context)) => {
                record::refused(runtime, request, refusal, context);
                let output = *output.borrow();
                if output.is_begun {
                    record::truncated(runtime, request, refusal, context, last, &output);
                }
                return finish(&exchange, refusal, &output).await;
            }
            Next::Step(step_queue::Step::ForwardFailure) => {
                let Some(kept) = kept.take() else {
                    return Disposition::Reset;
                };
                let number = kept.dispatch.number;
                let attempt = attempt::Attempt::new(exchange, kept.dispatch);
                record::AttemptEnd {
                    number,
                    signal: attempt.forward_buffered(&kept.body).await,
                    response: kept.response,
                }
            }
            Next::Ended(dispatch, ended) => {
                let number = dispatch.number;
                let response = ended.response;
                let signal = match ended.outcome {
                    attempt::Outcome::Signal(signal) => signal,
                    attempt::Outcome::Failure(body) => {
                        let status = body.status();
                        kept = Some(KeptFailure {
                            dispatch,
                            body,
                            response,
                        });
                        event::Signal::Failing { status }
                    }
                };
                record::AttemptEnd {
                    number,
                    signal,
                    response,
                }
            }
            Next::End(signal) => {
                let mut numbers = running.clear();
                let number = numbers.pop().unwrap_or_default();
                let ended = record::AttemptEnd::without_response(number, signal);
                for number in numbers {
                    let ended = record::AttemptEnd { number, ..ended };
                    record::attempt_ended(runtime, request, ended, &output.borrow());
                }
                ended
            }
        };
        last = Some(ended);
        if let Some(disposition) = report(&exchange, ended) {
            for number in running.clear() {
                record::superseded(runtime, request, number);
            }
            return disposition;
        }
    }
}

/// Reports the progress or end of an attempt to the reducer; returns the state of the caller's
/// connection if that ends the request.
fn report(exchange: &attempt::Exchange<'_>, ended: record::AttemptEnd) -> Option<Disposition> {
    let attempt::Exchange {
        runtime, request, ..
    } = *exchange;
    let output = exchange.output.borrow();
    record::attempt_ended(runtime, request, ended, &output);
    runtime.apply(event::Event::Attempt {
        request: request.id,
        attempt: ended.number,
        signal: ended.signal,
    });
    let took = request.arrived.until(clock::now());
    match ended.signal {
        event::Signal::Whole { .. } | event::Signal::WholeAtClose { .. } => {
            runtime.metrics.count_request("answered", "", took);
            Some(match output.keeps_alive {
                true => Disposition::Keep,
                false => Disposition::Close,
            })
        }
        event::Signal::Abandoned => {
            runtime.metrics.count_request("abandoned", "", took);
            Some(Disposition::Reset)
        }
        _ => None,
    }
}

/// What happens next to a request.
enum Next {
    /// The reducer has decided.
    Step(step_queue::Step),
    /// An attempt has ended.
    Ended(effect::Dispatch, attempt::Ended),
    /// The request ends with all its attempts.
    End(event::Signal),
}

/// Runs the attempts until one ends, the reducer has decided, the caller disconnects or the deadline
/// of the request passes.
async fn next<F: Future<Output = attempt::Ended>>(
    exchange: &attempt::Exchange<'_>,
    running: &mut running_attempts::RunningAttempts<F>,
    ahead: &mut ReadAhead<'_>,
) -> Next {
    tokio::select! {
        biased;
        next = running.next(exchange.queue) => match next {
            running_attempts::Next::Step(step) => Next::Step(step),
            running_attempts::Next::Ended(dispatch, end) => Next::Ended(dispatch, end),
        },
        () = read_ahead(exchange, ahead) => {
            Next::End(event::Signal::Abandoned)
        }
        () = clock::sleep_until(exchange.request.deadline) => Next::End(event::Signal::Expired),
        () = stopped(exchange) => Next::End(event::Signal::Stopped),
    }
}

/// Waits until the end of a planned stop is so near that the request must end.
async fn stopped(exchange: &attempt::Exchange<'_>) {
    let runtime = exchange.runtime;
    let mut stopping = runtime.stopping.subscribe();
    // The sender lives as long as the runtime.
    let _ = stopping.wait_for(|is_stopping| *is_stopping).await;
    let Some(shutdown) = runtime.shutdown() else {
        return std::future::pending().await;
    };
    clock::sleep_until(shutdown.answers).await;
    if exchange.output.borrow().is_begun {
        clock::sleep_until(shutdown.cuts).await;
    }
}

/// Reads the caller's next requests ahead; returns once the caller has left.
async fn read_ahead(exchange: &attempt::Exchange<'_>, ahead: &mut ReadAhead<'_>) {
    /// Time before more is read if there was no room for it.
    const ROOM_PAUSE: Duration = Duration::from_millis(250);
    while ahead.buffer.len() < MAX_READ_AHEAD {
        match connection::fill_charged(exchange.caller, ahead.buffer, ahead.charge).await {
            Err(fault) if fault.kind() == io::ErrorKind::OutOfMemory => {
                tokio::time::sleep(ROOM_PAUSE).await;
            }
            Ok(0) => return half_close::wait_left(exchange).await,
            Err(_) => return,
            Ok(_) => keep_open(exchange),
        }
    }
    std::future::pending().await
}

/// Keeps the connection open for a request that has arrived before the head of this response.
fn keep_open(exchange: &attempt::Exchange<'_>) {
    let mut output = exchange.output.borrow_mut();
    if !output.is_begun {
        output.keeps_alive = exchange.incoming.head.keeps_alive();
    }
}

/// Writes our own final response, or cuts off the response that has begun.
async fn finish(
    exchange: &attempt::Exchange<'_>,
    refusal: refusal::Refusal,
    output: &caller_response::CallerResponse,
) -> Disposition {
    let attempt::Exchange {
        runtime,
        request,
        incoming,
        caller,
        ..
    } = *exchange;
    if output.is_begun {
        let took = request.arrived.until(clock::now());
        let reason = refusal.code.as_str();
        runtime.metrics.count_request("cut", reason, took);
        return Disposition::Reset;
    }
    refusal_response::write(runtime, caller, incoming, refusal, output.keeps_alive).await
}

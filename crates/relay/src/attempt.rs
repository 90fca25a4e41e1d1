//! One attempt: sends a request to one engine and passes the response on to the caller.

use std::cell;
use std::convert;
use std::future;
use std::io;
use std::time::Duration;

use guavausher_core::relay::{effect, event, request};
use tokio::net::TcpStream;

use crate::caller_response;
use crate::clock;
use crate::connection;
use crate::half_close;
use crate::receiver;
use crate::record;
use crate::request_reader;
use crate::response_end;
use crate::response_reader;
use crate::runtime;
use crate::step_queue;

/// Timeout for opening a connection to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// With the outcome in the signal.
    Signal(event::Signal),
    /// With a response that reports a failure; nothing of it was passed on.
    Failure(caller_response::BufferedResponse),
}

/// An attempt that has ended.
#[derive(Debug)]
pub(crate) struct Ended {
    pub outcome: Outcome,
    pub response: response_end::ResponseEnd,
}

/// What all attempts of a request work on.
#[derive(Clone, Copy)]
pub(crate) struct Exchange<'a> {
    pub runtime: &'a runtime::Runtime,
    pub request: &'a request::Request,
    pub incoming: &'a request_reader::Request,
    pub caller: &'a TcpStream,
    pub queue: &'a step_queue::StepQueue,
    /// The response to the caller. Once an attempt has reported its first event, the others are
    /// dropped, so that only one writes.
    pub output: &'a cell::RefCell<caller_response::CallerResponse>,
}

/// One attempt.
pub(crate) struct Attempt<'a> {
    pub runtime: &'a runtime::Runtime,
    pub request: &'a request::Request,
    pub incoming: &'a request_reader::Request,
    pub dispatch: effect::Dispatch,
    pub caller: &'a TcpStream,
    queue: &'a step_queue::StepQueue,
    pub output: &'a cell::RefCell<caller_response::CallerResponse>,
    /// Whether its first event, or the first after a silence, was reported.
    is_reported: cell::Cell<bool>,
    has_first_event: cell::Cell<bool>,
    /// What followed from its silence, as it was logged last.
    silence: cell::Cell<Option<record::Silence>>,
    /// Whether the engine's connection failed while the request was being sent.
    has_failed: cell::Cell<bool>,
    pub response: cell::Cell<response_end::ResponseEnd>,
}

impl<'a> Attempt<'a> {
    /// Creates an attempt that was not sent yet.
    pub fn new(exchange: Exchange<'a>, dispatch: effect::Dispatch) -> Self {
        Self {
            runtime: exchange.runtime,
            request: exchange.request,
            incoming: exchange.incoming,
            dispatch,
            caller: exchange.caller,
            queue: exchange.queue,
            output: exchange.output,
            is_reported: cell::Cell::new(false),
            has_first_event: cell::Cell::new(false),
            silence: cell::Cell::new(None),
            has_failed: cell::Cell::new(false),
            response: cell::Cell::default(),
        }
    }
}

impl Attempt<'_> {
    /// Sends the request and passes the response on.
    pub async fn run(self) -> Ended {
        let outcome = self.attempt().await;
        Ended {
            outcome: outcome.unwrap_or_else(Outcome::Signal),
            response: self.response.get(),
        }
    }

    async fn attempt(&self) -> Result<Outcome, event::Signal> {
        let Some(mut engine) = self.connect().await else {
            return Err(event::Signal::Unsent);
        };
        self.wait_wanted().await;
        let head = self.compose(self.output.borrow().last_event);
        let ending = self.exchange(&mut engine, &head).await;
        let kept = engine.keep_alive.take();
        if let Some(wait) = kept.filter(|_| self.runtime.is_listed(&self.dispatch.choice)) {
            engine.release_buffer();
            self.runtime.pool.put(&self.dispatch, engine, wait);
        }
        ending
    }

    /// Returns right before the first byte is sent, and never if nobody waits for the response any more:
    /// a process that was behind learns that only after it has chosen an engine.
    async fn wait_wanted(&self) {
        let Some(reason) = self.unwanted().await else {
            return;
        };
        log::info!(id:% = self.request.trace, engine:% = self.dispatch.choice.engine,
            attempt = self.dispatch.number, reason = reason; "request withheld");
        self.report(event::Signal::Withheld);
        // The request ends with the same cause.
        future::pending().await
    }

    /// Returns why nobody waits for the response any more, or `None` if somebody may.
    async fn unwanted(&self) -> Option<&'static str> {
        if clock::now() >= self.request.deadline {
            return Some("deadline");
        }
        let mut state = half_close::state(self.caller);
        if state == half_close::CallerState::HalfClosed {
            tokio::time::sleep(half_close::PROBE_TIME).await;
            state = half_close::state(self.caller);
        }
        (state == half_close::CallerState::Left).then_some("caller-left")
    }

    async fn connect(&self) -> Option<connection::Connection> {
        let is_idempotent = self.request.route.retry_policy.is_idempotent();
        let choice = &self.dispatch.choice;
        // Without an id a response is known to be the request's own only on a new connection.
        let is_identified = !self.request.trace.is_empty();
        let kept = is_identified.then(|| self.runtime.pool.take(choice, is_idempotent));
        if let Some(connection) = kept.flatten() {
            return Some(connection);
        }
        let left = clock::now().until(self.request.deadline);
        let opened = self
            .runtime
            .pool
            .open(choice, CONNECT_TIMEOUT.min(left))
            .await;
        opened
            .inspect_err(|fault| {
                log::info!(id:% = self.request.trace, engine:% = choice.engine, fault:% = fault;
                    "connection to the engine failed");
            })
            .ok()
    }

    /// Writes the request and passes on the response at the same time, since an engine may respond
    /// before it has read a long body, and read on before the end of its response.
    async fn exchange(
        &self,
        engine: &mut connection::Connection,
        head: &[u8],
    ) -> Result<Outcome, event::Signal> {
        let is_sent = cell::Cell::new(false);
        let stream = &engine.stream;
        let mut receiver = receiver::Receiver {
            stream,
            buffer: &mut engine.buffer,
            keep_alive: &mut engine.keep_alive,
            is_sent: &is_sent,
        };
        tokio::select! {
            biased;
            outcome = self.receive(&mut receiver) => outcome,
            never = self.send(stream, head, &is_sent) => match never {},
        }
    }

    /// Writes the request.
    async fn send(
        &self,
        stream: &TcpStream,
        head: &[u8],
        is_sent: &cell::Cell<bool>,
    ) -> convert::Infallible {
        let sent = async {
            connection::write_all(stream, head).await?;
            for part in self.incoming.body().parts() {
                connection::write_all(stream, part).await?;
            }
            Ok::<(), io::Error>(())
        };
        match sent.await {
            Ok(()) => is_sent.set(true),
            // If the engine closed early, its response may still be readable.
            Err(fault) => {
                // The kernel reports a failure once; the reads that follow find the end of the
                // connection. After a regular close of the engine it reports a broken pipe.
                self.has_failed
                    .set(fault.kind() != io::ErrorKind::BrokenPipe);
                log::debug!(id:% = self.request.trace, fault:% = fault;
                    "request was not sent completely");
            }
        }
        future::pending().await
    }

    /// Notes what has ended the response.
    pub fn set_cause(&self, cause: response_end::Cause) {
        self.response.set(response_end::ResponseEnd {
            cause: Some(cause),
            ..self.response.get()
        });
    }

    /// Notes what has broken the response and returns the signal for it.
    pub fn broken(&self, cause: response_end::Cause) -> event::Signal {
        self.set_cause(cause);
        response_reader::BROKEN_RESPONSE
    }

    /// Returns what has ended the response where a read has found the end of the connection.
    pub fn end_of_connection(&self) -> response_end::Cause {
        match self.has_failed.get() {
            true => response_end::Cause::Reset,
            false => response_end::Cause::Closed,
        }
    }

    /// Returns the signal for a complete response.
    pub fn whole(&self, status: u16) -> event::Signal {
        match self.response.get().cause {
            Some(response_end::Cause::Closed) => event::Signal::WholeAtClose { status },
            _ => event::Signal::Whole { status },
        }
    }

    /// Reports that nothing has arrived from the engine for too long, and logs what followed from it
    /// unless that is the same as before.
    pub fn report_silence(&self) {
        self.is_reported.set(false);
        self.report(event::Signal::Stalled);
        let is_replaced = self.queue.has_next();
        let silence = record::Silence {
            limit: match self.has_first_event.get() {
                true => "gap",
                false => "first-byte",
            },
            is_replaced,
            no_retry: match is_replaced {
                true => None,
                false => self.runtime.no_retry(self.request.id),
            },
        };
        if self.silence.replace(Some(silence)) != Some(silence) {
            record::silent(self.runtime, self.request, &self.dispatch, silence);
        }
    }

    /// Reports the first event, or the first one after a silence, which ends the other attempts.
    pub fn report_progress(&self) {
        if self.is_reported.replace(true) {
            return;
        }
        self.report(event::Signal::First);
        self.silence.set(None);
        if self.has_first_event.replace(true) {
            return;
        }
        let now = clock::now();
        let mut output = self.output.borrow_mut();
        output.first_event = output.first_event.or(Some(now));
        let took = self.request.arrived.until(now);
        self.runtime.metrics.first_event.observe(took.as_secs_f64());
    }

    fn report(&self, signal: event::Signal) {
        self.runtime.apply(event::Event::Attempt {
            request: self.request.id,
            attempt: self.dispatch.number,
            signal,
        });
    }
}

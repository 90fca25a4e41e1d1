//! One attempt: a request sent to one engine, and its answer passed on.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use guavausher_core::relay::{effect, event, request, route};
use guavausher_core::time;
use tokio::net::TcpStream;

use crate::channel;
use crate::clock;
use crate::events;
use crate::framing;
use crate::head;
use crate::intake;
use crate::output;
use crate::reading;
use crate::shell;
use crate::text;

/// Longest time to open a channel to an engine.
const CONNECT: Duration = Duration::from_millis(700);
/// Answers to earlier requests that are passed over on one channel.
const MAX_STALE: usize = 4;
/// Status of an answer that turns a request away.
const BUSY: u16 = 503;
/// Lowest status of an answer that states a failure of the engine.
const FAILURE: u16 = 500;

/// Longest answer that is read whole before it is passed on, in bytes.
const MAX_WHOLE: usize = 128 * 1024;
/// Longest body of an engine's failure in bytes.
const MAX_FAILURE: usize = 1 << 20;
/// Longest answer that is no stream, in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum Ending {
    /// As the signal says.
    Signal(event::Signal),
    /// With an answer that states a failure; nothing of it was passed on.
    Failing(output::Kept),
}

/// What an attempt works with.
pub(crate) struct Attempt<'a> {
    pub shell: &'a shell::Shell,
    pub ask: &'a request::Request,
    pub request: &'a intake::Request,
    pub caller: &'a TcpStream,
    pub dispatch: &'a effect::Dispatch,
}

impl Attempt<'_> {
    /// Sends the request and passes the answer on.
    pub async fn run(&self, output: &mut output::Output) -> Ending {
        let Some(mut engine) = self.connect().await else {
            return Ending::Signal(event::Signal::Unsent);
        };
        let head = self.compose(output.events.last());
        let mut is_sent = false;
        let ending = self
            .exchange(&mut engine, &head, &mut is_sent, output)
            .await;
        let kept = engine.kept.take();
        if let Some(wait) = kept.filter(|_| self.shell.is_listed(&self.dispatch.choice)) {
            self.shell.pool.put(self.dispatch, engine, wait);
        }
        ending.unwrap_or_else(Ending::Signal)
    }

    async fn connect(&self) -> Option<channel::Channel> {
        let is_idempotent = self.ask.route.retry_policy.is_idempotent();
        let choice = &self.dispatch.choice;
        if let Some(channel) = self.shell.pool.take(choice, is_idempotent) {
            return Some(channel);
        }
        let left = clock::now().until(self.ask.deadline);
        let opened = self.shell.pool.open(choice, CONNECT.min(left)).await;
        opened
            .inspect_err(|fault| {
                log::info!(id:% = self.ask.trace, engine:% = choice.engine, fault:% = fault;
                    "no channel to the engine");
            })
            .ok()
    }

    /// Writes the request while it waits for the answer, which may come early.
    async fn exchange(
        &self,
        engine: &mut channel::Channel,
        head: &[u8],
        is_sent: &mut bool,
        output: &mut output::Output,
    ) -> Result<Ending, event::Signal> {
        let channel::Channel { stream, inbox, .. } = engine;
        let answer = {
            let sending = async {
                channel::write_all(stream, head).await?;
                channel::write_all(stream, &self.request.body).await
            };
            let mut sending = std::pin::pin!(sending);
            let mut reading = std::pin::pin!(self.answer(stream, inbox));
            let patience =
                clock::sleep_until(self.dispatch.response_deadline.unwrap_or(time::Time::MAX));
            let mut patience = std::pin::pin!(patience);
            loop {
                tokio::select! {
                    biased;
                    answer = &mut reading => break answer?,
                    sent = &mut sending, if !*is_sent => {
                        // The answer may still be there to be read if the engine closed early.
                        *is_sent = true;
                        if let Err(fault) = sent {
                            log::debug!(id:% = self.ask.trace, fault:% = fault; "send cut short");
                        }
                    }
                    () = &mut patience => return Err(event::Signal::Stalled),
                }
            }
        };
        self.judge(engine, answer, *is_sent, output).await
    }

    /// Reads the head of the answer to this request, past answers to earlier ones.
    async fn answer(
        &self,
        stream: &TcpStream,
        inbox: &mut BytesMut,
    ) -> Result<Answer, event::Signal> {
        let mut stale = 0;
        loop {
            let head = reading::read_head(stream, inbox, |head| self.notice(head)).await?;
            let id = head.get(self.shell.dialect.id);
            let is_own = id.is_none_or(|id| id == self.ask.trace.as_str());
            if is_own {
                return Ok(Answer {
                    head,
                    is_clean: stale == 0,
                });
            }
            stale += 1;
            log::warn!(id:% = self.ask.trace, engine:% = self.dispatch.choice.engine,
                other = id.unwrap_or(""); "answer to another request passed over");
            let framing = head.answer_framing(&self.request.method);
            let framing = framing.map_err(|_| reading::BROKEN_LATER)?;
            if stale > MAX_STALE || framing == framing::Framing::Close {
                return Err(reading::BROKEN_LATER);
            }
            reading::skip_body(stream, inbox, framing).await?;
        }
    }

    /// Notes what an engine says of itself in a head, whatever the answer is.
    fn notice(&self, head: &head::Head) {
        if head.get(self.shell.dialect.leaving) == Some("1") {
            self.said(event::Notice::Leaving);
        }
        let wait = text::retry_after(head).filter(|wait| !wait.is_zero());
        if let Some(wait) = wait.filter(|_| head.status() == BUSY) {
            self.said(event::Notice::Hold(clock::now().after(wait)));
        }
    }

    fn said(&self, notice: event::Notice) {
        let choice = &self.dispatch.choice;
        self.shell.apply(event::Event::EngineNotice {
            engine: choice.engine.clone(),
            incarnation: choice.incarnation,
            notice,
        });
    }

    /// Decides what becomes of an answer by its head.
    async fn judge(
        &self,
        engine: &mut channel::Channel,
        answer: Answer,
        is_sent: bool,
        output: &mut output::Output,
    ) -> Result<Ending, event::Signal> {
        let names = &self.shell.dialect;
        let head = &answer.head;
        let status = head.status();
        let framing = head.answer_framing(&self.request.method);
        let framing = framing.map_err(|_| reading::BROKEN_LATER)?;
        let is_refusal = head.get(names.refusal).is_some() && status != 400 || status == 421;
        if is_refusal {
            let wait = text::retry_after(head);
            self.skip(engine, &answer, framing, is_sent).await;
            return Ok(Ending::Signal(event::Signal::NotRun { status, wait }));
        }
        let is_success = (200..300).contains(&status);
        let is_proper = !is_success
            || head.get(names.stamp).is_some()
                && head.get(names.id).is_some()
                && head.get("content-encoding").is_none();
        if !is_proper || (output.begun && status != 200) {
            log::warn!(id:% = self.ask.trace, engine:% = self.dispatch.choice.engine,
                status = status; "answer is not the engine's own whole answer");
            return Err(reading::BROKEN_LATER);
        }
        if status < FAILURE && self.holds(framing) {
            let body = self.body(engine, framing, MAX_WHOLE).await?;
            self.keep(engine, &answer, framing, is_sent);
            let kept = output::Kept {
                head: answer.head,
                body,
            };
            self.first(output);
            return Ok(Ending::Signal(self.relay(&kept, output).await));
        }
        if status >= FAILURE {
            let body = self.body(engine, framing, MAX_FAILURE).await?;
            self.keep(engine, &answer, framing, is_sent);
            let head = answer.head;
            return Ok(Ending::Failing(output::Kept { head, body }));
        }
        self.pass(engine, &answer, framing, output).await?;
        self.keep(engine, &answer, framing, is_sent);
        Ok(Ending::Signal(event::Signal::Whole { status }))
    }

    /// Tells whether an answer is read whole before it is passed on, so that another engine can
    /// answer if this one breaks off.
    fn holds(&self, framing: framing::Framing) -> bool {
        let is_short = matches!(framing, framing::Framing::Length(n) if n <= MAX_WHOLE as u64);
        is_short && self.ask.route.retry_policy == route::RetryPolicy::Idempotent
    }

    /// Reads a body of bounded length.
    async fn body(
        &self,
        engine: &mut channel::Channel,
        framing: framing::Framing,
        limit: usize,
    ) -> Result<Bytes, event::Signal> {
        let channel::Channel { stream, inbox, .. } = engine;
        let body = reading::read_body(stream, inbox, framing, limit).await;
        body.ok_or(reading::BROKEN_LATER)
    }

    /// Passes the head and the body on as it comes.
    async fn pass(
        &self,
        engine: &mut channel::Channel,
        answer: &Answer,
        framing: framing::Framing,
        output: &mut output::Output,
    ) -> Result<(), event::Signal> {
        let repeat = self.ask.route.retry_policy;
        let is_stream = repeat.is_stream() && answer.head.status() == 200;
        let by_event = is_stream && self.ask.route.retry_policy.is_idempotent();
        let mut decoder = framing::Decoder::new(framing);
        let mut waiting = BytesMut::new();
        if !output.begun {
            let length = match framing {
                framing::Framing::Length(length) if !by_event => Some(length),
                _ => None,
            };
            waiting = self.caller_head(&answer.head, length, output);
        }
        if !is_stream {
            self.first(output);
        }
        let mut began = !is_stream;
        output.events.restart();
        let mut bound = match is_stream {
            true => events::Bound::event(),
            false => events::Bound::total(MAX_ANSWER),
        };
        loop {
            while let Some(piece) = decoder
                .take(&mut engine.inbox)
                .map_err(|_| reading::BROKEN_LATER)?
            {
                bound.add(&piece).map_err(|_| reading::BROKEN_LATER)?;
                let piece = match by_event {
                    true => output
                        .events
                        .push(&piece)
                        .map_err(|_| reading::BROKEN_LATER)?,
                    false => piece,
                };
                if !std::mem::replace(&mut began, true) {
                    self.first(output);
                }
                text::append(&mut waiting, &piece, output.chunked);
            }
            if decoder.is_done() && output.chunked {
                waiting.extend_from_slice(b"0\r\n\r\n");
            }
            self.write(&mut waiting, output).await?;
            if decoder.is_done() {
                return Ok(());
            }
            if self.more(engine).await? == 0 {
                break;
            }
        }
        if !decoder.ends_with_channel() || output.events.has_part() {
            return Err(reading::BROKEN_LATER);
        }
        if output.chunked {
            waiting.extend_from_slice(b"0\r\n\r\n");
            self.write(&mut waiting, output).await?;
        }
        Ok(())
    }

    async fn more(&self, engine: &mut channel::Channel) -> Result<usize, event::Signal> {
        let Some(pause) = self.dispatch.max_gap else {
            return engine.fill().await.map_err(|_| reading::BROKEN_LATER);
        };
        match tokio::time::timeout(pause, engine.fill()).await {
            Ok(read) => read.map_err(|_| reading::BROKEN_LATER),
            Err(_) => Err(event::Signal::Stalled),
        }
    }

    async fn write(
        &self,
        waiting: &mut BytesMut,
        output: &mut output::Output,
    ) -> Result<(), event::Signal> {
        if waiting.is_empty() {
            return Ok(());
        }
        output.begun = true;
        let now = clock::now();
        if output.last > time::Time::default() {
            let gap = output.last.until(now);
            self.shell.metrics.gaps.observe(gap.as_secs_f64());
        }
        output.last = now;
        let written = channel::write_all(self.caller, waiting).await;
        waiting.clear();
        written.map_err(|_| event::Signal::Abandoned)
    }

    fn first(&self, output: &mut output::Output) {
        output.first = output.first.or(Some(clock::now()));
        let signal = event::Signal::First;
        let request = self.ask.id;
        self.shell.apply(event::Event::Attempt { request, signal });
        let took = self.ask.arrived.until(clock::now());
        self.shell.metrics.first.observe(took.as_secs_f64());
    }

    /// Reads past a small body so that the channel can be kept.
    async fn skip(
        &self,
        engine: &mut channel::Channel,
        answer: &Answer,
        framing: framing::Framing,
        is_sent: bool,
    ) {
        let channel::Channel { stream, inbox, .. } = engine;
        let skipping = reading::skip_body(stream, inbox, framing);
        /// Longest time for the body of a refusal.
        const SKIP: Duration = Duration::from_millis(50);
        if matches!(tokio::time::timeout(SKIP, skipping).await, Ok(Ok(()))) {
            self.keep(engine, answer, framing, is_sent);
        }
    }

    /// Keeps the channel for a later request if nothing speaks against it.
    fn keep(
        &self,
        engine: &mut channel::Channel,
        answer: &Answer,
        framing: framing::Framing,
        is_sent: bool,
    ) {
        let is_clean = answer.is_clean
            && is_sent
            && engine.inbox.is_empty()
            && framing != framing::Framing::Close
            && answer.head.keeps_channel();
        if !is_clean {
            return;
        }
        engine.kept = Some(text::keep_alive(&answer.head));
    }

    /// Passes on an answer that was held back.
    pub async fn relay(&self, kept: &output::Kept, output: &mut output::Output) -> event::Signal {
        let status = kept.head.status();
        let length = Some(kept.body.len() as u64);
        let mut waiting = self.caller_head(&kept.head, length, output);
        waiting.extend_from_slice(&kept.body);
        match self.write(&mut waiting, output).await {
            Ok(()) => event::Signal::Whole { status },
            Err(signal) => signal,
        }
    }
}

/// An answer's head.
#[derive(Debug)]
struct Answer {
    head: head::Head,
    /// Whether no other answer came before it.
    is_clean: bool,
}

//! One attempt: a request sent to one engine, and its answer passed on.

use std::fmt::Write;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use guavausher_core::relay::{ask, effect, event, route};
use guavausher_core::time;
use tokio::net::TcpStream;

use crate::channel;
use crate::client;
use crate::clock;
use crate::events;
use crate::framing;
use crate::head;
use crate::intake;
use crate::shell;

/// Longest time to open a channel to an engine.
const CONNECT: Duration = Duration::from_millis(700);
/// Longest head of an answer in bytes.
const MAX_HEAD: usize = 32 * 1024;
/// Answers to earlier requests that are passed over on one channel.
const MAX_STALE: usize = 4;
/// Urgency of the requests of rank 0, and what each further rank adds.
const URGENCY: u32 = 1;
const URGENCY_STEP: u32 = 3;
/// Lowest urgency.
const MAX_URGENCY: u32 = 9;
/// Lowest status of an answer that states a failure of the engine.
const FAILURE: u16 = 500;
/// Headers that concern only one channel.
const HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum Ending {
    /// As the signal says.
    Signal(event::Signal),
    /// With an answer that states a failure; nothing of it was passed on.
    Failing(Kept),
}

/// A whole answer that is held back.
#[derive(Debug)]
pub(crate) struct Kept {
    head: head::Head,
    body: Bytes,
}

impl Kept {
    /// Returns the status of the answer.
    pub const fn status(&self) -> u16 {
        self.head.status()
    }
}

/// How the caller's answer goes, over all attempts.
#[derive(Debug)]
pub(crate) struct Output {
    /// Whether the head was passed on.
    pub begun: bool,
    /// Whether the answer's body is sent in chunks.
    chunked: bool,
    /// Whether the caller's channel stays open after the answer.
    pub keeps: bool,
    /// Whether a part of the answer did not reach the caller.
    pub lost: bool,
    events: events::Events,
    /// When the first event of the answer came.
    pub first: Option<time::Time>,
    /// When the last bytes were passed on.
    last: time::Time,
}

impl Output {
    /// Returns the output of a request of which nothing was answered.
    pub fn new(keeps: bool) -> Self {
        Self {
            begun: false,
            chunked: false,
            keeps,
            lost: false,
            events: events::Events::default(),
            first: None,
            last: time::Time::default(),
        }
    }
}

/// What an attempt works with.
pub(crate) struct Attempt<'a> {
    pub shell: &'a shell::Shell,
    pub ask: &'a ask::Ask,
    pub request: &'a intake::Request,
    pub caller: &'a TcpStream,
    pub dispatch: &'a effect::Dispatch,
}

impl Attempt<'_> {
    /// Sends the request and passes the answer on.
    pub async fn run(&self, output: &mut Output) -> Ending {
        let Some(mut engine) = self.connect().await else {
            return Ending::Signal(event::Signal::Unsent);
        };
        let head = self.compose(output.events.last());
        let mut is_sent = false;
        let ending = self
            .exchange(&mut engine, &head, &mut is_sent, output)
            .await;
        if let Some(wait) = engine.kept.take() {
            self.shell.pool.put(&self.dispatch.choice, engine, wait);
        }
        ending.unwrap_or_else(Ending::Signal)
    }

    async fn connect(&self) -> Option<channel::Channel> {
        let is_idempotent = self.ask.route.repeat.is_idempotent();
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
        output: &mut Output,
    ) -> Result<Ending, event::Signal> {
        let channel::Channel { stream, inbox, .. } = engine;
        let answer = {
            let sending = async {
                channel::write_all(stream, head).await?;
                channel::write_all(stream, &self.request.body).await
            };
            let mut sending = std::pin::pin!(sending);
            let mut reading = std::pin::pin!(self.answer(stream, inbox));
            let patience = clock::sleep_until(self.dispatch.patience.unwrap_or(time::Time::MAX));
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
            let head = read_head(stream, inbox).await?;
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
            let framing = framing.map_err(|_| BROKEN_LATER)?;
            if stale > MAX_STALE || framing == framing::Framing::Close {
                return Err(BROKEN_LATER);
            }
            skip_body(stream, inbox, framing).await?;
        }
    }

    /// Decides what becomes of an answer by its head.
    async fn judge(
        &self,
        engine: &mut channel::Channel,
        answer: Answer,
        is_sent: bool,
        output: &mut Output,
    ) -> Result<Ending, event::Signal> {
        let names = &self.shell.dialect;
        let head = &answer.head;
        let status = head.status();
        let framing = head.answer_framing(&self.request.method);
        let framing = framing.map_err(|_| BROKEN_LATER)?;
        let is_refusal = head.get(names.refusal).is_some() && status != 400 || status == 421;
        if is_refusal {
            let wait = retry_after(head);
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
            return Err(BROKEN_LATER);
        }
        if status < FAILURE && self.holds(framing) {
            let body = client::read_body(engine, framing).await;
            let body = body.ok_or(BROKEN_LATER)?;
            self.keep(engine, &answer, framing, is_sent);
            let kept = Kept {
                head: answer.head,
                body,
            };
            self.first(output);
            return Ok(Ending::Signal(self.relay(&kept, output).await));
        }
        if status >= FAILURE {
            let body = client::read_body(engine, framing).await;
            let body = body.ok_or(BROKEN_LATER)?;
            self.keep(engine, &answer, framing, is_sent);
            let head = answer.head;
            return Ok(Ending::Failing(Kept { head, body }));
        }
        self.pass(engine, &answer, framing, output).await?;
        self.keep(engine, &answer, framing, is_sent);
        Ok(Ending::Signal(event::Signal::Whole { status }))
    }

    /// Tells whether an answer is read whole before it is passed on, so that another engine can
    /// answer if this one breaks off.
    fn holds(&self, framing: framing::Framing) -> bool {
        /// Longest such answer in bytes.
        const MAX_WHOLE: u64 = 128 * 1024;
        let is_short = matches!(framing, framing::Framing::Length(n) if n <= MAX_WHOLE);
        is_short && self.ask.route.repeat == route::Repeat::Idempotent
    }

    /// Passes the head and the body on as it comes.
    async fn pass(
        &self,
        engine: &mut channel::Channel,
        answer: &Answer,
        framing: framing::Framing,
        output: &mut Output,
    ) -> Result<(), event::Signal> {
        let repeat = self.ask.route.repeat;
        let is_stream = repeat.is_stream() && answer.head.status() == 200;
        let by_event = is_stream && self.ask.route.repeat.is_idempotent();
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
        loop {
            while let Some(piece) = decoder.take(&mut engine.inbox).map_err(|_| BROKEN_LATER)? {
                let piece = match by_event {
                    true => output.events.push(&piece).map_err(|_| BROKEN_LATER)?,
                    false => piece,
                };
                if !std::mem::replace(&mut began, true) {
                    self.first(output);
                }
                append(&mut waiting, &piece, output.chunked);
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
            return Err(BROKEN_LATER);
        }
        if output.chunked {
            waiting.extend_from_slice(b"0\r\n\r\n");
            self.write(&mut waiting, output).await?;
        }
        Ok(())
    }

    async fn more(&self, engine: &mut channel::Channel) -> Result<usize, event::Signal> {
        let Some(pause) = self.dispatch.pause else {
            return engine.fill().await.map_err(|_| BROKEN_LATER);
        };
        match tokio::time::timeout(pause, engine.fill()).await {
            Ok(read) => read.map_err(|_| BROKEN_LATER),
            Err(_) => Err(event::Signal::Stalled),
        }
    }

    async fn write(
        &self,
        waiting: &mut BytesMut,
        output: &mut Output,
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
        written.map_err(|_| {
            output.lost = true;
            event::Signal::Abandoned
        })
    }

    fn first(&self, output: &mut Output) {
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
        let skipping = skip_body(stream, inbox, framing);
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
        engine.kept = Some(keep_alive(&answer.head));
    }

    /// Composes the head of the request for the engine.
    fn compose(&self, last: Option<u64>) -> Vec<u8> {
        let names = &self.shell.dialect;
        let mut head = Vec::with_capacity(1024);
        let request = self.request;
        head.extend_from_slice(request.method.as_bytes());
        head.push(b' ');
        head.extend_from_slice(request.target.as_bytes());
        head.extend_from_slice(b" HTTP/1.1\r\n");
        let replaced = last.map(|_| names.resume);
        for (name, value) in request.head.headers() {
            if self.passes(name) && !replaced.is_some_and(|r| r.eq_ignore_ascii_case(name)) {
                put(&mut head, name, value);
            }
        }
        let mut own = String::with_capacity(256);
        let left = clock::now().until(self.ask.deadline).as_millis();
        let urgency = URGENCY + URGENCY_STEP * u32::from(self.ask.priority);
        let urgency = urgency.min(MAX_URGENCY);
        // Writing to a string cannot fail.
        let _ = write!(
            own,
            "{}: {left}\r\n{}: {}\r\n{}: {urgency}\r\n",
            names.deadline, names.instance, self.dispatch.choice.engine, names.urgency
        );
        if let Some(workspace) = &self.ask.workspace {
            let _ = write!(own, "{}: {workspace}\r\n", names.workspace);
        }
        if let Some(last) = last {
            let _ = write!(own, "{}: {last}\r\n", names.resume);
        }
        if request.has_body {
            let _ = write!(own, "Content-Length: {}\r\n", request.body.len());
        }
        own.push_str("\r\n");
        head.extend_from_slice(own.as_bytes());
        head
    }

    fn passes(&self, name: &str) -> bool {
        let names = &self.shell.dialect;
        let is = |other: &&str| other.eq_ignore_ascii_case(name);
        let is_own = [
            names.deadline,
            names.key,
            names.workspace,
            names.instance,
            names.urgency,
        ]
        .iter()
        .any(is);
        if is_own || names.reserved.iter().any(is) || HOP.iter().any(is) {
            return false;
        }
        names.kept.iter().any(is) || !self.request.head.has_token("connection", name)
    }

    /// Composes the head of the answer for the caller.
    fn caller_head(
        &self,
        answer: &head::Head,
        length: Option<u64>,
        output: &mut Output,
    ) -> BytesMut {
        let is_current = self.request.head.is_current;
        output.chunked = length.is_none() && is_current;
        output.keeps = output.keeps && (length.is_some() || output.chunked);
        let mut head = answer_line(answer.status());
        for (name, value) in answer.headers() {
            let is_hop = HOP.iter().any(|hop| hop.eq_ignore_ascii_case(name));
            if !is_hop && !answer.has_token("connection", name) {
                put(&mut head, name, value);
            }
        }
        let bodiless = matches!(answer.status(), 204 | 304);
        match length {
            Some(length) if self.request.method == "HEAD" => {
                let stated = answer.get("content-length").map(String::from);
                let length = stated.unwrap_or_else(|| length.to_string());
                put(&mut head, "Content-Length", length.as_bytes());
            }
            Some(length) if !bodiless => {
                put(&mut head, "Content-Length", length.to_string().as_bytes());
            }
            Some(_) => {}
            None if output.chunked => put(&mut head, "Transfer-Encoding", b"chunked"),
            None => {}
        }
        if !output.keeps {
            put(&mut head, "Connection", b"close");
        }
        head.extend_from_slice(b"\r\n");
        BytesMut::from(&head[..])
    }

    /// Passes on an answer that was held back.
    pub async fn relay(&self, kept: &Kept, output: &mut Output) -> event::Signal {
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

/// A break after some bytes of an answer.
const BROKEN_LATER: event::Signal = event::Signal::Broken { unanswered: false };

async fn read_head(stream: &TcpStream, inbox: &mut BytesMut) -> Result<head::Head, event::Signal> {
    loop {
        let parsed = head::answer(inbox).map_err(|_| BROKEN_LATER)?;
        if let Some(parsed) = parsed {
            let _ = inbox.split_to(parsed.length);
            if parsed.head.status() >= 200 {
                return Ok(parsed.head);
            }
            continue;
        }
        let unanswered = inbox.is_empty();
        if inbox.len() > MAX_HEAD {
            return Err(BROKEN_LATER);
        }
        match channel::fill(stream, inbox).await {
            Ok(count) if count > 0 => {}
            _ => return Err(event::Signal::Broken { unanswered }),
        }
    }
}

async fn skip_body(
    stream: &TcpStream,
    inbox: &mut BytesMut,
    framing: framing::Framing,
) -> Result<(), event::Signal> {
    let mut decoder = framing::Decoder::new(framing);
    loop {
        while decoder.take(inbox).map_err(|_| BROKEN_LATER)?.is_some() {}
        if decoder.is_done() {
            return Ok(());
        }
        match channel::fill(stream, inbox).await {
            Ok(count) if count > 0 => {}
            _ => return Err(BROKEN_LATER),
        }
    }
}

/// Returns the first line of an answer.
pub(crate) fn answer_line(status: u16) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    };
    format!("HTTP/1.1 {status} {reason}\r\n").into_bytes()
}

/// Appends one header line.
pub(crate) fn put(head: &mut Vec<u8>, name: &str, value: &[u8]) {
    head.extend_from_slice(name.as_bytes());
    head.extend_from_slice(b": ");
    head.extend_from_slice(value);
    head.extend_from_slice(b"\r\n");
}

fn append(waiting: &mut BytesMut, piece: &[u8], chunked: bool) {
    if piece.is_empty() {
        return;
    }
    if chunked {
        waiting.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
    }
    waiting.extend_from_slice(piece);
    if chunked {
        waiting.extend_from_slice(b"\r\n");
    }
}

fn retry_after(head: &head::Head) -> Option<Duration> {
    let seconds: f64 = head.get("retry-after")?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// Returns how long the engine says that the channel stays open.
fn keep_alive(head: &head::Head) -> Option<Duration> {
    let value = head.get("keep-alive")?;
    let mut parts = value.split(',').map(str::trim);
    let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

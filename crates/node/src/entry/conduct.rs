//! The task of one request: does what the reducer says and reports what came of it.

use std::time;

use bytes::{Bytes, BytesMut};
use guavausher_core::{declaration, effect, event, ledger, stream, time as point, verdict};
use http_body_util::{BodyExt, Limited};
use tokio::sync::mpsc;

use crate::entry::{answer, caller, command, exchange, front, intake, sse};

/// How long an upstream may pause between two tokens.
const TOKEN_WAIT: time::Duration = time::Duration::from_secs(10);

/// The largest whole answer in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// One request at this entry.
pub struct Task {
    /// The request and its body.
    pub intake: intake::Intake,
    /// When it came.
    pub arrived: point::Time,
    /// Its caller.
    pub caller: caller::Caller,
    /// Commands of the reducer.
    pub commands: mpsc::Receiver<command::Command>,
    /// Shared parts of the entry.
    pub front: front::Front,
}

/// The parts of a task that an attempt does not borrow, and the answer held for relay.
struct Seat {
    commands: mpsc::Receiver<command::Command>,
    held: Option<answer::Whole>,
    abandoned: bool,
}

/// What ended the wait of a task.
enum Turn {
    Command(command::Command),
    Signal(event::Signal),
    Over,
}

impl Task {
    /// Runs until the request has ended.
    pub async fn run(self) {
        let Self {
            intake,
            arrived,
            mut caller,
            commands,
            front,
        } = self;
        let worker = Worker {
            intake,
            arrived,
            front,
        };
        let mut seat = Seat {
            commands,
            held: None,
            abandoned: false,
        };
        let mut turn = worker.wait(&mut seat, &mut caller).await;
        loop {
            turn = match turn {
                Turn::Over => return,
                Turn::Signal(_) => worker.wait(&mut seat, &mut caller).await,
                Turn::Command(command::Command::Dispatch(dispatch)) => {
                    worker.attempt(&mut seat, &mut caller, dispatch).await
                }
                Turn::Command(command) => {
                    worker.answer(&mut seat, &mut caller, command);
                    worker.wait(&mut seat, &mut caller).await
                }
            };
        }
    }
}

/// The unchanging parts of a task.
struct Worker {
    intake: intake::Intake,
    arrived: point::Time,
    front: front::Front,
}

impl Worker {
    /// Waits for a command while no attempt is under way.
    async fn wait(&self, seat: &mut Seat, caller: &mut caller::Caller) -> Turn {
        loop {
            let watch = !seat.abandoned && !caller.is_answered();
            tokio::select! {
                command = seat.commands.recv() => return command.map_or(Turn::Over, Turn::Command),
                () = caller.closed(), if watch => self.abandon(seat),
            }
        }
    }

    /// Runs an attempt; a command that comes meanwhile is obeyed.
    async fn attempt(
        &self,
        seat: &mut Seat,
        caller: &mut caller::Caller,
        dispatch: effect::Dispatch,
    ) -> Turn {
        self.front.metrics.attempts.inc();
        let attempt = dispatch.attempt;
        let turn = match dispatch.kind {
            declaration::Kind::Model => self.stream(seat, caller, &dispatch).await,
            declaration::Kind::Plain => self.whole(seat, caller, &dispatch).await,
        };
        if let Turn::Signal(signal) = &turn {
            let signal = signal.clone();
            self.report(event::Event::Attempt { attempt, signal }).await;
        }
        turn
    }

    async fn stream(
        &self,
        seat: &mut Seat,
        caller: &mut caller::Caller,
        dispatch: &effect::Dispatch,
    ) -> Turn {
        let turn = tokio::select! {
            signal = self.run_stream(caller, dispatch) => signal.map(Turn::Signal),
            command = seat.commands.recv() => match command {
                None => Some(Turn::Over),
                Some(command::Command::Cancel) => None,
                Some(command) => Some(Turn::Command(command)),
            },
        };
        match turn {
            Some(turn) => turn,
            None => self.wait(seat, caller).await,
        }
    }

    /// Returns nothing if the caller has gone.
    async fn run_stream(
        &self,
        caller: &mut caller::Caller,
        dispatch: &effect::Dispatch,
    ) -> Option<event::Signal> {
        let front = &self.front;
        let id = exchange::unique_id(front.writer, dispatch.attempt);
        let opened = tokio::select! {
            opened = exchange::open(front.clock, front.writer, dispatch, &self.intake) => opened,
            () = caller.closed() => return None,
        };
        let open = match opened {
            Ok(open) => open,
            Err(broken) => return Some(failed(broken.verdict, broken.died, dispatch.offset)),
        };
        self.report_load(dispatch, &open).await;
        if exchange::is_refusal(&open.response) {
            return Some(refused(open));
        }
        let headers = open.response.headers();
        let own = exchange::is_own(headers, front.writer, dispatch.attempt);
        if !own || !open.response.status().is_success() {
            return Some(failed(open.sent.fail(), false, dispatch.offset));
        }
        let mut reader = Reader {
            cursor: stream::Cursor::new(dispatch.attempt, dispatch.offset),
            splitter: sse::Splitter::default(),
            done: None,
            id,
        };
        self.read(caller, dispatch, open, &mut reader).await
    }

    /// Forwards tokens until the answer is whole or the attempt has failed.
    async fn read(
        &self,
        caller: &mut caller::Caller,
        dispatch: &effect::Dispatch,
        open: exchange::Open,
        reader: &mut Reader,
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
                self.first(dispatch).await;
            }
            self.front
                .metrics
                .tokens
                .inc_by(u64::from(reader.cursor.next - before));
            if !step.events.is_empty() {
                caller.forward(&dispatch.version, step.events).await.ok()?;
            }
            if let Some(finish) = reader.finish(first) {
                drop(connection);
                self.front
                    .metrics
                    .dropped
                    .inc_by(u64::from(reader.cursor.dropped));
                let _ = sent.finish();
                return Some(event::Signal::Finished(finish));
            }
            if step.broken {
                break false;
            }
        };
        drop(connection);
        self.front
            .metrics
            .dropped
            .inc_by(u64::from(reader.cursor.dropped));
        Some(failed(sent.fail(), died, reader.cursor.next))
    }

    async fn first(&self, dispatch: &effect::Dispatch) {
        let passed = self.arrived.until(self.front.clock.now());
        self.front.metrics.first_token(passed);
        let signal = event::Signal::First;
        self.report(event::Event::Attempt {
            attempt: dispatch.attempt,
            signal,
        })
        .await;
    }

    /// Runs an attempt whose answer is relayed as a whole, also after the caller has gone.
    async fn whole(
        &self,
        seat: &mut Seat,
        caller: &mut caller::Caller,
        dispatch: &effect::Dispatch,
    ) -> Turn {
        let mut run = std::pin::pin!(self.run_whole(dispatch));
        loop {
            let watch = !seat.abandoned && !caller.is_answered();
            tokio::select! {
                end = &mut run => {
                    seat.held = end.answer;
                    return Turn::Signal(end.signal);
                }
                command = seat.commands.recv() => match command {
                    None => return Turn::Over,
                    Some(command::Command::Cancel) => break,
                    Some(command::Command::Dispatch(next)) => {
                        return Turn::Command(command::Command::Dispatch(next));
                    }
                    Some(command) => self.answer(seat, caller, command),
                },
                () = caller.closed(), if watch => self.abandon(seat),
            }
        }
        self.wait(seat, caller).await
    }

    async fn run_whole(&self, dispatch: &effect::Dispatch) -> WholeEnd {
        let front = &self.front;
        let opened = exchange::open(front.clock, front.writer, dispatch, &self.intake).await;
        let open = match opened {
            Ok(open) => open,
            Err(broken) => return WholeEnd::failed(broken.verdict, broken.died),
        };
        self.report_load(dispatch, &open).await;
        if exchange::is_refusal(&open.response) {
            return WholeEnd {
                signal: refused(open),
                answer: None,
            };
        }
        let exchange::Open {
            sent,
            response,
            connection,
        } = open;
        let (head, body) = response.into_parts();
        let own = exchange::is_own(&head.headers, front.writer, dispatch.attempt);
        if head.status.is_server_error() || !own {
            return WholeEnd::failed(sent.fail(), false);
        }
        let collected = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        drop(connection);
        let Ok(collected) = collected else {
            return WholeEnd::failed(sent.fail(), true);
        };
        let media = head.headers.get(hyper::header::CONTENT_TYPE);
        let whole = answer::Whole {
            status: head.status.as_u16(),
            media: media
                .and_then(|m| m.to_str().ok())
                .unwrap_or("application/json")
                .to_owned(),
            body: collected.to_bytes(),
            verdict: sent.finish(),
            retry_after: None,
        };
        WholeEnd::finished(whole)
    }

    fn answer(&self, seat: &mut Seat, caller: &mut caller::Caller, command: command::Command) {
        match command {
            command::Command::Refuse(refusal) => caller.refuse(refusal, self.front.clock.now()),
            command::Command::Replay(kept) => caller.answer(answer::Whole::replay(kept)),
            command::Command::Relay => match seat.held.take() {
                Some(whole) => caller.answer(whole),
                None => caller.finish(),
            },
            command::Command::Cancel | command::Command::Dispatch(_) => {}
        }
    }

    fn abandon(&self, seat: &mut Seat) {
        seat.abandoned = true;
        let request = self.intake.request.id;
        // A full queue is caught by the request's deadline.
        let abandoned = event::Event::Abandoned { request };
        let _ = self.front.events.try_send(command::Input::Event(abandoned));
    }

    async fn report_load(&self, dispatch: &effect::Dispatch, open: &exchange::Open) {
        if let Some(load) = exchange::load(open.response.headers()) {
            let upstream = dispatch.upstream.clone();
            self.report(event::Event::Load { upstream, load }).await;
        }
    }

    /// Reports an event, waiting while the reducer's queue is full.
    async fn report(&self, event: event::Event) {
        let mut input = command::Input::Event(event);
        while let Err(error) = self.front.events.try_send(input) {
            if error.is_disconnected() {
                return;
            }
            input = error.into_inner();
            tokio::time::sleep(time::Duration::from_millis(1)).await;
        }
    }
}

/// The end of an attempt with a whole answer.
struct WholeEnd {
    signal: event::Signal,
    answer: Option<answer::Whole>,
}

impl WholeEnd {
    fn failed(verdict: verdict::Verdict, died: bool) -> Self {
        Self {
            signal: failed(verdict, died, 0),
            answer: None,
        }
    }

    fn finished(whole: answer::Whole) -> Self {
        let kept = ledger::Kept {
            status: whole.status,
            media: whole.media.clone(),
            body: String::from_utf8(whole.body.to_vec()).ok(),
        };
        let finish = event::Finish {
            kept: Some(kept),
            ..event::Finish::default()
        };
        Self {
            signal: event::Signal::Finished(finish),
            answer: Some(whole),
        }
    }
}

/// Reads one attempt's events in order.
struct Reader {
    cursor: stream::Cursor,
    splitter: sse::Splitter,
    done: Option<event::Finish>,
    id: String,
}

/// What came of some bytes.
struct Taken {
    events: Bytes,
    broken: bool,
}

impl Reader {
    fn take(&mut self, bytes: &[u8]) -> Taken {
        self.splitter.push(bytes);
        let mut events = BytesMut::new();
        let broken = loop {
            match self.splitter.next_event() {
                Ok(None) => break false,
                Err(sse::TooLarge) => break true,
                Ok(Some(event)) => match self.judge(&event) {
                    stream::Step::Forward => events.extend_from_slice(&event),
                    stream::Step::Repeated | stream::Step::Foreign => {}
                    stream::Step::Gap => break true,
                },
            }
        };
        Taken {
            events: events.freeze(),
            broken,
        }
    }

    fn judge(&mut self, event: &[u8]) -> stream::Step {
        match sse::parse(event) {
            sse::Event::Token { offset, attempt } => {
                let attempt = self.attempt(attempt);
                self.cursor.accept(attempt, offset)
            }
            sse::Event::Done(done) => self.judge_done(done),
            sse::Event::Other => stream::Step::Foreign,
        }
    }

    fn judge_done(&mut self, done: sse::Done<'_>) -> stream::Step {
        if !self
            .cursor
            .complete(self.attempt(done.attempt), done.tokens)
        {
            return stream::Step::Gap;
        }
        self.done = Some(event::Finish {
            prompt: done.prompt,
            cached: done.cached,
            ..event::Finish::default()
        });
        stream::Step::Forward
    }

    /// Returns this attempt's number for its own id and zero for any other.
    fn attempt(&self, id: &str) -> u64 {
        if id == self.id {
            self.cursor.attempt
        } else {
            0
        }
    }

    fn finish(&mut self, first: u32) -> Option<event::Finish> {
        let tokens = self.cursor.next - first;
        self.done
            .take()
            .map(|finish| event::Finish { tokens, ..finish })
    }
}

fn failed(verdict: verdict::Verdict, died: bool, offset: u32) -> event::Signal {
    event::Signal::Failed(event::Failure {
        verdict,
        died,
        offset,
    })
}

fn refused(open: exchange::Open) -> event::Signal {
    let _ = open.sent.refuse();
    event::Signal::Refused
}

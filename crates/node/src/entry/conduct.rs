//! The task of one request: does what the reducer says and reports what came of it.

use std::sync;

use guavausher_core::{declaration, effect, event, time as point};
use tokio::sync::{Notify, mpsc};

use crate::entry::{
    answer, attempts, caller, command, front, intake, patience, tokens, whole, worker,
};

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
        let worker = worker::Worker {
            intake,
            arrived,
            front,
        };
        let mut seat = Seat {
            commands,
            held: None,
            abandoned: false,
        };
        let mut turn = wait(&worker, &mut seat, &mut caller).await;
        loop {
            turn = match turn {
                Turn::Over => return,
                Turn::Command(command::Command::Dispatch(dispatch)) => {
                    attempt(&worker, &mut seat, &mut caller, dispatch).await
                }
                Turn::Command(command) => {
                    give(&worker, &mut seat, &mut caller, command);
                    wait(&worker, &mut seat, &mut caller).await
                }
            };
        }
    }
}

/// Waits for a command while no attempt is under way.
async fn wait(worker: &worker::Worker, seat: &mut Seat, caller: &mut caller::Caller) -> Turn {
    loop {
        let watch = !seat.abandoned && !caller.is_answered();
        tokio::select! {
            command = seat.commands.recv() => return command.map_or(Turn::Over, Turn::Command),
            () = caller.closed(), if watch => abandon(worker, seat),
        }
    }
}

/// Runs attempts until a command is left to obey.
async fn attempt(
    worker: &worker::Worker,
    seat: &mut Seat,
    caller: &mut caller::Caller,
    dispatch: effect::Dispatch,
) -> Turn {
    let turn = match dispatch.kind {
        declaration::Kind::Model => stream(worker, seat, caller, dispatch).await,
        declaration::Kind::Plain => collect(worker, seat, caller, dispatch).await,
    };
    match turn {
        Some(turn) => turn,
        None => wait(worker, seat, caller).await,
    }
}

/// Runs attempts whose tokens are passed on as they come; returns nothing if all have ended or the
/// caller has gone.
async fn stream(
    worker: &worker::Worker,
    seat: &mut Seat,
    caller: &mut caller::Caller,
    dispatch: effect::Dispatch,
) -> Option<Turn> {
    let (sender, mut chunks) = mpsc::channel(1);
    let begin = |dispatch: effect::Dispatch| {
        begin(worker, dispatch, |patience, dispatch| {
            tokens::run(worker, patience, sender.clone(), dispatch)
        })
    };
    let mut attempts = attempts::Attempts::new();
    attempts.run(begin(dispatch));
    let mut waiting = None;
    while !attempts.is_empty() || waiting.is_some() {
        // What has come from an attempt goes to the caller before its end is reported.
        tokio::select! {
            biased;
            command = seat.commands.recv() => match obey(command, &mut attempts, begin) {
                None => {}
                turn => return turn,
            },
            passed = pass_on(caller, waiting.as_ref()) => match passed {
                Ok(()) => waiting = None,
                Err(caller::Gone) => return None,
            },
            Some(chunk) = chunks.recv(), if waiting.is_none() => waiting = Some(chunk),
            end = attempts.end(), if waiting.is_none() => report(worker, end.id, end.output).await,
        }
    }
    None
}

/// Passes a chunk on to the caller; without one, waits until the caller has gone.
async fn pass_on(
    caller: &mut caller::Caller,
    chunk: Option<&tokens::Chunk>,
) -> Result<(), caller::Gone> {
    let Some(chunk) = chunk else {
        caller.closed().await;
        return Err(caller::Gone);
    };
    caller.forward(&chunk.version, chunk.events.clone()).await
}

/// Runs attempts whose answer is relayed as a whole, also after the caller has gone; returns nothing
/// if all have ended.
async fn collect(
    worker: &worker::Worker,
    seat: &mut Seat,
    caller: &mut caller::Caller,
    dispatch: effect::Dispatch,
) -> Option<Turn> {
    let begin = |dispatch: effect::Dispatch| {
        begin(worker, dispatch, |patience, dispatch| {
            whole::run(worker, patience, dispatch)
        })
    };
    let mut attempts = attempts::Attempts::new();
    attempts.run(begin(dispatch));
    while !attempts.is_empty() {
        let watch = !seat.abandoned && !caller.is_answered();
        tokio::select! {
            end = attempts.end() => {
                seat.held = end.output.answer;
                report(worker, end.id, end.output.signal).await;
            }
            command = seat.commands.recv() => match obey(command, &mut attempts, begin) {
                None => {}
                Some(Turn::Over) => return Some(Turn::Over),
                Some(Turn::Command(command)) => give(worker, seat, caller, command),
            },
            () = caller.closed(), if watch => abandon(worker, seat),
        }
    }
    None
}

/// Begins an attempt that a silence does not end.
fn begin<'a, F>(
    worker: &'a worker::Worker,
    dispatch: effect::Dispatch,
    run: impl FnOnce(patience::Patience<'a>, effect::Dispatch) -> F,
) -> attempts::Attempt<F> {
    worker.front.metrics.attempts.inc();
    let id = dispatch.attempt;
    let resume = sync::Arc::new(Notify::new());
    let patience = patience::Patience::new(worker, id, resume.clone());
    attempts::Attempt {
        id,
        resume,
        future: Box::pin(run(patience, dispatch)),
    }
}

/// Obeys a command about attempts, and returns any other one.
fn obey<F: Future>(
    command: Option<command::Command>,
    attempts: &mut attempts::Attempts<F>,
    begin: impl Fn(effect::Dispatch) -> attempts::Attempt<F>,
) -> Option<Turn> {
    match command {
        None => return Some(Turn::Over),
        Some(command::Command::Dispatch(dispatch)) => attempts.run(begin(dispatch)),
        Some(command::Command::Cancel(id)) => attempts.cancel(id),
        Some(command::Command::Resume(id)) => attempts.resume(id),
        Some(command) => return Some(Turn::Command(command)),
    }
    None
}

async fn report(worker: &worker::Worker, attempt: u64, signal: event::Signal) {
    worker
        .report(event::Event::Attempt { attempt, signal })
        .await;
}

fn give(
    worker: &worker::Worker,
    seat: &mut Seat,
    caller: &mut caller::Caller,
    command: command::Command,
) {
    match command {
        command::Command::Refuse(refusal) => caller.refuse(refusal, worker.front.clock.now()),
        command::Command::Replay(kept) => caller.answer(answer::Whole::replay(kept)),
        command::Command::Relay => match seat.held.take() {
            Some(whole) => caller.answer(whole),
            None => caller.finish(),
        },
        command::Command::Cancel(_)
        | command::Command::Dispatch(_)
        | command::Command::Resume(_) => {}
    }
}

fn abandon(worker: &worker::Worker, seat: &mut Seat) {
    seat.abandoned = true;
    let request = worker.intake.request.id;
    // A full queue is caught by the request's deadline.
    let abandoned = event::Event::Abandoned { request };
    let _ = worker
        .front
        .events
        .try_send(command::Input::Event(abandoned));
}

//! The task of one request: does what the reducer says and reports what came of it.

use guavausher_core::{declaration, effect, event, time as point};
use tokio::sync::mpsc;

use crate::entry::{answer, caller, command, front, intake, tokens, whole, worker};

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
                Turn::Signal(_) => wait(&worker, &mut seat, &mut caller).await,
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

/// Runs an attempt; a command that comes meanwhile is obeyed.
async fn attempt(
    worker: &worker::Worker,
    seat: &mut Seat,
    caller: &mut caller::Caller,
    dispatch: effect::Dispatch,
) -> Turn {
    worker.front.metrics.attempts.inc();
    let attempt = dispatch.attempt;
    let turn = match dispatch.kind {
        declaration::Kind::Model => stream(worker, seat, caller, &dispatch).await,
        declaration::Kind::Plain => collect(worker, seat, caller, &dispatch).await,
    };
    if let Turn::Signal(signal) = &turn {
        let signal = signal.clone();
        worker
            .report(event::Event::Attempt { attempt, signal })
            .await;
    }
    turn
}

async fn stream(
    worker: &worker::Worker,
    seat: &mut Seat,
    caller: &mut caller::Caller,
    dispatch: &effect::Dispatch,
) -> Turn {
    let turn = tokio::select! {
        signal = tokens::run(worker, caller, dispatch) => signal.map(Turn::Signal),
        command = seat.commands.recv() => match command {
            None => Some(Turn::Over),
            Some(command::Command::Cancel) => None,
            Some(command) => Some(Turn::Command(command)),
        },
    };
    match turn {
        Some(turn) => turn,
        None => wait(worker, seat, caller).await,
    }
}

async fn collect(
    worker: &worker::Worker,
    seat: &mut Seat,
    caller: &mut caller::Caller,
    dispatch: &effect::Dispatch,
) -> Turn {
    match collect_uncancelled(worker, seat, caller, dispatch).await {
        Some(turn) => turn,
        None => wait(worker, seat, caller).await,
    }
}

/// Runs an attempt whose answer is relayed as a whole, also after the caller has gone; returns
/// nothing if it is cancelled.
async fn collect_uncancelled(
    worker: &worker::Worker,
    seat: &mut Seat,
    caller: &mut caller::Caller,
    dispatch: &effect::Dispatch,
) -> Option<Turn> {
    let mut run = std::pin::pin!(whole::run(worker, dispatch));
    loop {
        let watch = !seat.abandoned && !caller.is_answered();
        tokio::select! {
            end = &mut run => {
                seat.held = end.answer;
                return Some(Turn::Signal(end.signal));
            }
            command = seat.commands.recv() => match command {
                None => return Some(Turn::Over),
                Some(command::Command::Cancel) => return None,
                Some(command::Command::Dispatch(next)) => {
                    return Some(Turn::Command(command::Command::Dispatch(next)));
                }
                Some(command) => give(worker, seat, caller, command),
            },
            () = caller.closed(), if watch => abandon(worker, seat),
        }
    }
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
        command::Command::Cancel | command::Command::Dispatch(_) => {}
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

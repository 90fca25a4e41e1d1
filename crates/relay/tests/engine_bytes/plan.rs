//! Seeded plans: what an engine sends in response to one request.

use rand::prelude::*;

/// A route of the test.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Route {
    Pay,
    Look,
    Stream,
    Resume,
}

impl Route {
    pub const ALL: [Self; 4] = [Self::Pay, Self::Look, Self::Stream, Self::Resume];

    pub const fn path(self) -> &'static str {
        match self {
            Self::Pay => "/pay/",
            Self::Look => "/look/",
            Self::Stream => "/stream/",
            Self::Resume => "/resume/",
        }
    }

    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resume)
    }

    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Look | Self::Resume)
    }
}

/// What a response says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    Success,
    /// The engine did not run the request and says so, with the request's id.
    Refusal(u16),
    /// Any other status, with a stamp: the engine ran the request.
    Failure(u16),
}

/// How the body is delimited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    Length,
    Chunked,
    Close,
}

/// Where a response is interrupted; numbers are reduced to the length of the response.
#[derive(Clone, Copy, Debug)]
pub enum Cut {
    AfterHead,
    LineEnd(usize),
    Byte(usize),
}

/// What happens where a response is interrupted or has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The rest follows at once, and the connection is kept.
    Keep,
    /// The rest follows after a pause, and the connection is kept.
    Pause,
    Close,
    Reset,
    /// The engine sends nothing more and keeps the connection open.
    Silent,
}

/// A response that belongs to an earlier request on the connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Extra {
    RefusalWithId,
    RefusalWithoutId,
    Duplicate,
}

/// What an engine does with one attempt.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Written after the request was read, before its response.
    pub before: Option<Extra>,
    pub interims: usize,
    pub kind: Kind,
    pub framing: Framing,
    pub cut: Option<Cut>,
    pub ending: Ending,
    /// Written after the response.
    pub after: Option<Extra>,
    /// Whether `after` is written once the response has arrived.
    pub is_after_late: bool,
    /// Where the bytes are split into several writes.
    pub splits: Vec<usize>,
}

impl Plan {
    /// Draws a plan; a calm one is a proper and complete response.
    pub fn draw(dice: &mut StdRng, is_calm: bool) -> Self {
        let framings = [Framing::Length, Framing::Chunked, Framing::Close];
        let mut plan = Self {
            before: None,
            interims: if dice.random_bool(0.1) { 1 } else { 0 },
            kind: Kind::Success,
            framing: *framings.choose(dice).unwrap(),
            cut: None,
            ending: Ending::Keep,
            after: None,
            is_after_late: dice.random(),
            splits: (0..dice.random_range(0..3))
                .map(|_| dice.random_range(0..1_000))
                .collect(),
        };
        if !is_calm {
            plan.mutate(dice);
        }
        if plan.framing == Framing::Close && plan.ending == Ending::Keep {
            plan.ending = Ending::Close;
        }
        plan
    }

    fn mutate(&mut self, dice: &mut StdRng) {
        self.kind = match dice.random_range(0..10) {
            0 => Kind::Refusal(*[503, 503, 429, 421].choose(dice).unwrap()),
            1 => Kind::Failure(*[500, 500, 503, 429, 404, 408].choose(dice).unwrap()),
            _ => Kind::Success,
        };
        self.before = draw_extra(dice);
        self.after = draw_extra(dice);
        if dice.random_bool(0.5) {
            return;
        }
        self.cut = match dice.random_range(0..5) {
            0 => Some(Cut::AfterHead),
            1 | 2 => Some(Cut::LineEnd(dice.random_range(0..1_000))),
            3 => Some(Cut::Byte(dice.random_range(0..10_000))),
            _ => None,
        };
        let endings = [
            Ending::Pause,
            Ending::Close,
            Ending::Close,
            Ending::Reset,
            Ending::Silent,
        ];
        self.ending = *endings.choose(dice).unwrap();
    }
}

fn draw_extra(dice: &mut StdRng) -> Option<Extra> {
    let all = [
        Extra::RefusalWithId,
        Extra::RefusalWithoutId,
        Extra::Duplicate,
    ];
    dice.random_bool(0.15).then(|| *all.choose(dice).unwrap())
}

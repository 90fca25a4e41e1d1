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
    pub const IDEMPOTENT: [Self; 2] = [Self::Look, Self::Resume];

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
    /// After the first event or line of the body.
    AfterPart,
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
    /// The same, but the rest of the first attempt follows when the second one gets there.
    Together,
    /// The rest follows once the engine of the first attempt has seen its connection close, if this
    /// one has sent an event.
    Outlive,
    Close,
    Reset,
    /// The engine sends nothing more and keeps the connection open.
    Silent,
}

impl Ending {
    /// Returns `true` if the rest of the response follows.
    pub const fn continues(self) -> bool {
        matches!(
            self,
            Self::Keep | Self::Pause | Self::Together | Self::Outlive
        )
    }
}

/// When an engine that responds before it has read a long body reads on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Early {
    /// Where its response is interrupted, before the rest of it.
    BeforeRest,
    /// After its response.
    AfterResponse,
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
    /// Whether it responds before it has read a long body.
    pub early: Option<Early>,
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
    /// Draws a proper and complete response.
    pub fn draw_proper(dice: &mut StdRng) -> Self {
        let framings = [Framing::Length, Framing::Chunked, Framing::Close];
        let mut plan = Self {
            before: None,
            early: None,
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
        plan.close();
        plan
    }

    /// Draws any response, proper or faulty.
    pub fn draw_any(dice: &mut StdRng) -> Self {
        let mut plan = Self::draw_proper(dice);
        plan.mutate(dice);
        plan.close();
        plan
    }

    /// Draws what the engines do with the attempts of a request whose first engine falls silent.
    pub fn draw_silent(dice: &mut StdRng) -> Vec<Self> {
        let mut first = Self::draw_proper(dice);
        first.cut = Some(draw_cut(dice));
        first.ending = *[
            Ending::Silent,
            Ending::Pause,
            Ending::Together,
            Ending::Together,
        ]
        .choose(dice)
        .unwrap();
        let mut second = Self::draw_proper(dice);
        let is_first_silent = first.ending == Ending::Silent;
        second.replace(dice, is_first_silent);
        if second.ending == Ending::Outlive {
            first.cut = Some(Cut::AfterHead);
            first.ending = Ending::Silent;
            second.cut = Some(Cut::AfterPart);
            second.framing = Framing::Chunked;
        }
        second.close();
        vec![first, second]
    }

    /// Turns a proper response into that of an engine which replaces a silent one.
    fn replace(&mut self, dice: &mut StdRng, is_first_silent: bool) {
        match dice.random_range(0..10) {
            0 | 1 => self.kind = Kind::Refusal(*[503, 429, 421].choose(dice).unwrap()),
            2 => self.kind = Kind::Failure(*[500, 503].choose(dice).unwrap()),
            3 => self.interrupt(dice, Ending::Close),
            4 => self.interrupt(dice, Ending::Reset),
            5 => self.interrupt(dice, Ending::Silent),
            6 if !is_first_silent => self.interrupt(dice, Ending::Pause),
            6 | 7 => self.interrupt(dice, Ending::Together),
            8 => self.interrupt(dice, Ending::Outlive),
            _ => {}
        }
    }

    fn interrupt(&mut self, dice: &mut StdRng, ending: Ending) {
        self.cut = Some(draw_cut(dice));
        self.ending = ending;
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

    /// Makes the engine respond before it has read the body.
    pub fn answer_early(&mut self, early: Early) {
        self.early = Some(early);
        if early == Early::AfterResponse || self.cut.is_some() {
            return;
        }
        self.cut = Some(Cut::AfterHead);
        if self.ending == Ending::Close {
            self.ending = Ending::Keep;
        }
    }

    /// Ends a response without a length with its connection.
    fn close(&mut self) {
        if self.framing == Framing::Close && self.ending == Ending::Keep {
            self.ending = Ending::Close;
        }
    }
}

fn draw_cut(dice: &mut StdRng) -> Cut {
    match dice.random_range(0..5) {
        0 | 1 => Cut::AfterHead,
        2 | 3 => Cut::LineEnd(dice.random_range(0..1_000)),
        _ => Cut::Byte(dice.random_range(0..10_000)),
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

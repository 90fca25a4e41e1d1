//! Behaviour of a site's engines that a request states in its body.

use std::time::Duration;

/// Text in a request body that crashes the engine after its first event.
const CRASH: &str = "CRASH";

/// What an engine does with a request, as words in the request's body.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Script {
    /// `CRASH`: the engine crashes after its first event. A part of the prompt makes it crash as well.
    pub crash: Option<CrashPoint>,
    /// `head=MS`: the first run waits before the head of its response.
    pub head: Duration,
    /// `pause=ID:MS`: the first run waits before this event of its stream.
    pub pause: Option<Pause>,
    /// `break=ID`: the first run closes the connection before this event; 0 is before the head.
    pub breaks: Option<u32>,
    /// `first=refuse`: the first run refuses the request as not run.
    pub first_refuses: bool,
    /// `last=BYTES`: length of the last event's data in bytes.
    pub last: usize,
    /// `again=refuse` or `again=break`: what later runs do.
    pub repeat: Repeat,
}

/// When an engine crashes while it responds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CrashPoint {
    /// Before any byte of its response.
    BeforeHead,
    /// After the head of its response.
    AfterHead,
    /// Within the first event.
    WithinEvent,
    /// After the first event.
    AfterEvent,
    /// After the first event of a response that ends with its connection, which is closed regularly.
    CleanClose,
}

impl CrashPoint {
    /// Beginnings of the identifiers of parts that crash an engine.
    const PARTS: [(&str, Self); 5] = [
        ("bad0", Self::BeforeHead),
        ("bad1", Self::AfterHead),
        ("bad2", Self::WithinEvent),
        ("bad3", Self::AfterEvent),
        ("bad4", Self::CleanClose),
    ];

    /// Returns when an engine crashes that responds to this prompt, whose last part has no effect.
    pub fn of_prompt(prompt: &str) -> Option<Self> {
        let (shared, _) = prompt.rsplit_once(',')?;
        let points = shared.split(',').flat_map(|part| {
            let points = Self::PARTS.iter();
            points.filter(move |(beginning, _)| part.trim().starts_with(beginning))
        });
        points.map(|(_, point)| *point).next()
    }
}

/// A pause of a stream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pause {
    /// Id of the event that is late.
    pub before: u32,
    /// How late it is.
    pub length: Duration,
}

/// What an engine does with a request that another run began before.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum Repeat {
    /// It serves the request.
    #[default]
    Serve,
    /// It refuses the request as not run.
    Refuse,
    /// It closes the connection after the head of its response.
    Break,
}

impl Script {
    /// Reads the words in a request's body; others have no effect.
    pub fn read(body: &[u8]) -> Self {
        let mut script = Self::default();
        for word in String::from_utf8_lossy(body).split_whitespace() {
            script.add(word);
        }
        script
    }

    /// Returns the behaviour of a run after the first.
    pub fn of_repeat(self) -> Self {
        Self {
            head: Duration::ZERO,
            pause: None,
            breaks: None,
            ..self
        }
    }

    fn add(&mut self, word: &str) {
        match word.split_once('=') {
            None if word == CRASH => self.crash = Some(CrashPoint::AfterEvent),
            Some(("head", length)) => self.head = millis(length),
            Some(("pause", pause)) => self.pause = read_pause(pause),
            Some(("break", before)) => self.breaks = before.parse().ok(),
            Some(("first", "refuse")) => self.first_refuses = true,
            Some(("last", bytes)) => self.last = bytes.parse().unwrap_or(0),
            Some(("again", "refuse")) => self.repeat = Repeat::Refuse,
            Some(("again", "break")) => self.repeat = Repeat::Break,
            _ => {}
        }
    }
}

fn read_pause(text: &str) -> Option<Pause> {
    let (before, length) = text.split_once(':')?;
    Some(Pause {
        before: before.parse().ok()?,
        length: millis(length),
    })
}

fn millis(text: &str) -> Duration {
    Duration::from_millis(text.parse().unwrap_or(0))
}

//! Server-sent events.

/// The longest accepted event in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// What an event of a token stream says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The token at an offset.
    Token(u64),
    /// The stream is whole.
    Done,
    /// Anything else, for example a comment.
    Other,
}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct Parser {
    rest: Vec<u8>,
}

impl Parser {
    /// Takes more bytes and hands out the events that they complete.
    ///
    /// Returns false if an event is longer than [`MAX_EVENT_BYTES`].
    pub fn feed(&mut self, bytes: &[u8], mut take: impl FnMut(Event)) -> bool {
        let mut from = self.rest.len().saturating_sub(1);
        self.rest.extend_from_slice(bytes);
        let mut start = 0;
        while let Some(end) = boundary(&self.rest, from) {
            take(classify(&self.rest[start..end]));
            start = end + 2;
            from = start;
        }
        self.rest.drain(..start);
        self.rest.len() <= MAX_EVENT_BYTES
    }
}

fn boundary(bytes: &[u8], from: usize) -> Option<usize> {
    let found = bytes
        .get(from..)?
        .windows(2)
        .position(|pair| pair == b"\n\n");
    found.map(|position| from + position)
}

fn classify(event: &[u8]) -> Event {
    let mut lines = event.split(|byte| *byte == b'\n');
    if lines.clone().any(|line| line == b"event: done") {
        return Event::Done;
    }
    let id = lines.find_map(|line| line.strip_prefix(b"id: "));
    let offset = id
        .and_then(|id| std::str::from_utf8(id).ok())
        .and_then(|id| id.parse().ok());
    offset.map_or(Event::Other, Event::Token)
}

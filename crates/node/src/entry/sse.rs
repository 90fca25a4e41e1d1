//! Splitting of a `text/event-stream` body into events.

use std::fmt;

use bytes::{Buf, Bytes, BytesMut};
use serde::de;

/// The largest event in bytes.
pub const MAX_EVENT_BYTES: usize = 64 << 10;

const END: &[u8] = b"\n\n";

/// The fields of an event.
const FIELDS: [&str; 4] = ["data", "event", "id", "retry"];

/// Collects bytes and gives out whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
}

/// An event was larger than [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TooLarge;

/// What an event of a token stream says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event<'a> {
    /// One token.
    Token {
        /// Its offset in the answer.
        offset: u32,
        /// The attempt that it belongs to.
        attempt: &'a str,
    },
    /// The answer is whole.
    Done(Done<'a>),
    /// Something else, such as a comment.
    Other,
    /// It holds a line that is no field of an event, or a field twice: the upstream broke off
    /// within it and wrote something else.
    Broken,
}

/// The closing event of a token stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize)]
pub struct Done<'a> {
    /// The attempt that it belongs to.
    pub attempt: &'a str,
    /// Offset after the last token.
    pub tokens: u32,
    /// Prompt tokens.
    #[serde(default)]
    pub prompt: u32,
    /// Prompt tokens found in the cache.
    #[serde(default)]
    pub cached: u32,
}

impl Splitter {
    /// Takes in bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next whole event with its closing blank line.
    ///
    /// # Errors
    ///
    /// Fails if the event under way is too large.
    pub fn next_event(&mut self) -> Result<Option<Bytes>, TooLarge> {
        let end = self.buffer.windows(END.len()).position(|w| w == END);
        match end {
            Some(at) => Ok(Some(self.buffer.copy_to_bytes(at + END.len()))),
            None if self.buffer.len() > MAX_EVENT_BYTES => Err(TooLarge),
            None => Ok(None),
        }
    }
}

/// Reads an event; what cannot be read is [`Event::Other`].
pub fn parse(event: &[u8]) -> Event<'_> {
    let Ok(text) = std::str::from_utf8(event) else {
        return Event::Broken;
    };
    if !is_sound(text) {
        return Event::Broken;
    }
    parse_known(text).unwrap_or(Event::Other)
}

/// Returns `true` if each line is a comment or one of the [`FIELDS`], and none of these comes twice.
fn is_sound(text: &str) -> bool {
    let lines = text.lines().filter(|line| !line.is_empty());
    let names: Vec<_> = lines
        .map(|line| line.split_once(':').map_or(line, |(name, _)| name))
        .filter(|name| !name.is_empty())
        .collect();
    let is_single = |name: &str| names.iter().filter(|other| **other == name).count() == 1;
    names
        .iter()
        .all(|name| FIELDS.contains(name) && is_single(name))
}

fn parse_known(text: &str) -> Option<Event<'_>> {
    let data = field(text, "data")?;
    match field(text, "event") {
        Some("done") => return serde_json::from_str(data).ok().map(Event::Done),
        Some(_) => return None,
        None => {}
    }
    let offset = field(text, "id")?.parse().ok()?;
    let token: Token<'_> = serde_json::from_str(data).ok()?;
    Some(Event::Token {
        offset,
        attempt: token.attempt,
    })
}

fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    text.lines()
        .find_map(|line| Some(line.strip_prefix(name)?.strip_prefix(':')?.trim_start()))
}

/// The part of a token's data that the entry reads; the token itself is skipped.
struct Token<'a> {
    attempt: &'a str,
}

impl<'de: 'a, 'a> serde::Deserialize<'de> for Token<'a> {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(TokenVisitor)
    }
}

struct TokenVisitor;

impl<'de> de::Visitor<'de> for TokenVisitor {
    type Value = Token<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a token with its attempt")
    }

    fn visit_map<A: de::MapAccess<'de>>(self, mut map: A) -> Result<Token<'de>, A::Error> {
        let mut attempt = None;
        while let Some(key) = map.next_key::<&str>()? {
            if key == "attempt" {
                attempt = Some(map.next_value()?);
            } else {
                map.next_value::<de::IgnoredAny>()?;
            }
        }
        let attempt = attempt.ok_or_else(|| de::Error::missing_field("attempt"))?;
        Ok(Token { attempt })
    }
}

//! One line of a log.

/// Lines before the timestamp that a collector may add, in words.
const MAX_PREFIX: usize = 3;

/// One line: `time up=seconds level target message key=value`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Line {
    /// Time of day in microseconds since the Unix epoch.
    pub micros: i64,
    /// The last word that a collector put before the line, such as the instance's name.
    pub origin: String,
    /// The line without its time and level.
    pub rest: String,
    pairs: Vec<Pair>,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Pair {
    key: String,
    value: String,
}

impl Line {
    /// Parses a line; `None` if it is none of ours. A collector may have put a few words before it.
    pub fn parse(text: &str) -> Option<Self> {
        let mut rest = text;
        let mut origin = "";
        for _ in 0..=MAX_PREFIX {
            let (word, tail) = rest.trim_start().split_once(' ')?;
            if let Ok(at) = word.parse::<jiff::Timestamp>() {
                return Some(Self::build(at, origin, tail));
            }
            origin = word;
            rest = tail;
        }
        None
    }

    fn build(at: jiff::Timestamp, origin: &str, tail: &str) -> Self {
        let tail = match tail.split_once(' ') {
            Some((up, tail)) if up.starts_with("up=") => tail,
            _ => tail,
        };
        let rest = tail.split_once(' ').map_or(tail, |(_, rest)| rest);
        Self {
            micros: at.as_microsecond(),
            origin: origin.to_owned(),
            rest: rest.to_owned(),
            pairs: pairs(rest),
        }
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<&str> {
        let mut named = self.pairs.iter().filter(|pair| pair.key == key);
        named.next().map(|pair| pair.value.as_str())
    }
}

/// Returns the pairs of a line; a value with blanks stands in quotes.
fn pairs(text: &str) -> Vec<Pair> {
    let mut pairs = Vec::new();
    let mut rest = text;
    while let Some(equals) = rest.find('=') {
        let key = rest[..equals].rsplit(' ').next().unwrap_or("");
        let tail = &rest[equals + 1..];
        let quoted = tail.strip_prefix('"');
        let (value, after) = match quoted {
            Some(inner) => inner.split_once('"').unwrap_or((inner, "")),
            None => tail.split_once(' ').unwrap_or((tail, "")),
        };
        pairs.push(Pair {
            key: key.to_owned(),
            value: value.to_owned(),
        });
        rest = after;
    }
    pairs
}

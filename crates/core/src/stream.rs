//! Position of a token stream between an upstream and its caller.

/// Accepts each token of a response once and in order.
///
/// ```
/// use guavausher_core::stream;
/// let mut cursor = stream::Cursor::new(7, 0);
/// assert_eq!(cursor.accept(7, 0), stream::Outcome::Forward);
/// assert_eq!(cursor.accept(7, 0), stream::Outcome::Duplicate);
/// assert_eq!(cursor.accept(8, 1), stream::Outcome::Foreign);
/// assert_eq!(cursor.accept(7, 2), stream::Outcome::Gap);
/// ```
#[derive(Clone, Debug)]
pub struct Cursor {
    /// The attempt whose tokens are accepted.
    pub attempt: u64,
    /// Offset of the next token.
    pub next: u32,
    /// Number of dropped tokens.
    pub dropped: u32,
}

/// How a token relates to the position of the stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The next token; forward it.
    Forward,
    /// A token that was forwarded before; drop it.
    Duplicate,
    /// A token of another attempt; drop it.
    Foreign,
    /// Tokens before it are missing; the attempt has failed at [`Cursor::next`].
    Gap,
}

impl Cursor {
    /// Returns a cursor that expects the token at `next` from `attempt`.
    pub fn new(attempt: u64, next: u32) -> Self {
        Self {
            attempt,
            next,
            dropped: 0,
        }
    }

    /// Continues with another attempt at the same position.
    pub fn resume(&mut self, attempt: u64) {
        self.attempt = attempt;
    }

    /// Checks a token and advances past it if it is the next one.
    pub fn accept(&mut self, attempt: u64, offset: u32) -> Outcome {
        if attempt != self.attempt {
            self.dropped += 1;
            return Outcome::Foreign;
        }
        if offset < self.next {
            self.dropped += 1;
            return Outcome::Duplicate;
        }
        if offset > self.next {
            return Outcome::Gap;
        }
        self.next += 1;
        Outcome::Forward
    }

    /// Returns `true` if `attempt` is current and all of its `total` tokens were forwarded.
    pub fn is_complete(&self, attempt: u64, total: u32) -> bool {
        attempt == self.attempt && self.next == total
    }
}

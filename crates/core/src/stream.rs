//! The place of a token stream between an upstream and its caller.

/// Accepts each token of one answer once and in order.
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
    /// Tokens that were dropped.
    pub dropped: u32,
}

/// What to do with a token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It is the next token.
    Forward,
    /// It was forwarded before; drop it.
    Duplicate,
    /// It belongs to another attempt; drop it.
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

    /// Goes on with another attempt at the same place.
    pub fn resume(&mut self, attempt: u64) {
        self.attempt = attempt;
    }

    /// Judges one token.
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

    /// Tells whether an answer of `total` tokens by `attempt` is whole here.
    pub fn is_complete(&self, attempt: u64, total: u32) -> bool {
        attempt == self.attempt && self.next == total
    }
}

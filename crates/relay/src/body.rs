//! Bodies of requests.

use bytes::Bytes;

/// A complete body in parts, so that reading a long one neither copies it nor allocates it anew.
#[derive(Debug, Default)]
pub struct Body {
    parts: Vec<Bytes>,
    length: usize,
}

impl Body {
    /// Adds the next part.
    pub fn push(&mut self, part: Bytes) {
        self.length += part.len();
        self.parts.push(part);
    }

    /// Returns the parts in order.
    pub fn parts(&self) -> &[Bytes] {
        &self.parts
    }

    /// Returns the length in bytes.
    pub const fn len(&self) -> usize {
        self.length
    }

    /// Returns `true` if it has no bytes.
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }
}

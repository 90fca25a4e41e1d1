//! Events of a stream: where they end, and their ids.

use bytes::{Bytes, BytesMut};

/// Longest event that is held back until it is whole, in bytes.
const MAX_EVENT: usize = 256 * 1024;

/// Passes on whole events only, each once.
#[derive(Clone, Debug, Default)]
pub struct Events {
    partial: BytesMut,
    last: Option<u64>,
}

/// Bytes that come without an end.
#[derive(Clone, Copy, Debug, Eq, PartialEq, displaydoc::Display)]
pub enum Fault {
    /// an event or an answer is longer than the limit
    TooLong,
}

/// Counts the bytes of an answer, so that one without an end is noticed.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    left: usize,
    /// Whether each event starts anew.
    by_event: bool,
    /// Whether the line has had no byte so far.
    is_blank: bool,
}

impl Bound {
    /// Bounds each event of a stream.
    pub const fn event() -> Self {
        Self {
            left: MAX_EVENT,
            by_event: true,
            is_blank: true,
        }
    }

    /// Bounds a whole answer to this many bytes.
    pub const fn total(limit: usize) -> Self {
        Self {
            left: limit,
            by_event: false,
            is_blank: true,
        }
    }

    /// Counts bytes.
    ///
    /// # Errors
    ///
    /// Fails if they are too many.
    pub fn add(&mut self, bytes: &[u8]) -> Result<(), Fault> {
        let rest = match self.by_event {
            true => self.after_event(bytes),
            false => bytes.len(),
        };
        self.left = self.left.checked_sub(rest).ok_or(Fault::TooLong)?;
        Ok(())
    }

    /// Returns the number of bytes after the last end of an event, and counts anew from there.
    fn after_event(&mut self, bytes: &[u8]) -> usize {
        let mut rest = bytes.len();
        for (place, byte) in bytes.iter().enumerate() {
            if *byte == b'\n' && self.is_blank {
                self.left = MAX_EVENT;
                rest = bytes.len() - place - 1;
            }
            self.is_blank = match byte {
                b'\n' => true,
                b'\r' => self.is_blank,
                _ => false,
            };
        }
        rest
    }
}

impl Events {
    /// Returns the id of the last event that was passed on.
    pub const fn last(&self) -> Option<u64> {
        self.last
    }

    /// Forgets a part of an event whose engine has stopped.
    pub fn restart(&mut self) {
        self.partial.clear();
    }

    /// Tells whether a part of an event is held back.
    pub fn has_part(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Adds bytes and returns the events that are whole now and were not passed on before.
    ///
    /// # Errors
    ///
    /// Fails if an event is too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, Fault> {
        self.partial.extend_from_slice(bytes);
        let mut whole = BytesMut::new();
        while let Some(end) = end_of_event(&self.partial) {
            let event = self.partial.split_to(end);
            let id = id_of(&event);
            let is_old = matches!((id, self.last), (Some(id), Some(last)) if id <= last);
            if is_old {
                continue;
            }
            self.last = id.or(self.last);
            whole.extend_from_slice(&event);
        }
        if self.partial.len() > MAX_EVENT {
            return Err(Fault::TooLong);
        }
        Ok(whole.freeze())
    }
}

fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let mut start = 0;
    while let Some(offset) = bytes[start..].iter().position(|b| *b == b'\n') {
        let next = start + offset + 1;
        let rest = &bytes[next..];
        if rest.starts_with(b"\n") {
            return Some(next + 1);
        }
        if rest.starts_with(b"\r\n") {
            return Some(next + 2);
        }
        start = next;
    }
    None
}

fn id_of(event: &[u8]) -> Option<u64> {
    let lines = event.split(|b| *b == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = ids.next_back()?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}

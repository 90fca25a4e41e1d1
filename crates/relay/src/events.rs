//! Server-sent events of a stream: their boundaries and ids.

use bytes::{Bytes, BytesMut};

/// Longest event that is buffered until it is complete, in bytes.
const MAX_EVENT: usize = 256 * 1024;

/// Splits the stream of one attempt into complete events and drops those that were passed on before.
///
/// Comments are passed on with the event behind them: they show no progress of the response.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
}

/// Errors of streams and responses that exceed a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq, displaydoc::Display)]
pub enum Fault {
    /// the event or response is longer than the limit of this process
    TooLong,
}

/// Counts the bytes of a response, so that an endless one is detected.
#[derive(Clone, Copy, Debug)]
pub struct SizeLimit {
    left: usize,
    /// Whether the count restarts with each event.
    by_event: bool,
    /// Whether the current line is empty so far.
    is_blank: bool,
}

/// Follows the lines of a stream to know whether it may end where it is.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventTracker {
    line: Line,
    /// Whether the current event has a line that is no comment.
    has_field: bool,
    has_event: bool,
}

/// The current line of a stream so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
}

impl EventTracker {
    /// Adds bytes that were received.
    pub fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            match byte {
                b'\n' => self.end_line(),
                b'\r' => {}
                b':' if self.line == Line::Empty => self.line = Line::Comment,
                _ if self.line == Line::Empty => self.line = Line::Field,
                _ => {}
            }
        }
    }

    /// Returns `true` if the last event has ended, and only comments or blank lines have followed.
    pub fn is_between_events(&self) -> bool {
        self.line == Line::Empty && !self.has_field
    }

    /// Returns `true` if an event has ended.
    pub const fn has_event(&self) -> bool {
        self.has_event
    }

    fn end_line(&mut self) {
        match std::mem::take(&mut self.line) {
            Line::Empty => {
                self.has_event |= self.has_field;
                self.has_field = false;
            }
            Line::Comment => {}
            Line::Field => self.has_field = true,
        }
    }
}

impl SizeLimit {
    /// Limits each event of a stream to the maximum event length.
    pub const fn per_event() -> Self {
        Self {
            left: MAX_EVENT,
            by_event: true,
            is_blank: true,
        }
    }

    /// Limits a complete response to this many bytes.
    pub const fn total(limit: usize) -> Self {
        Self {
            left: limit,
            by_event: false,
            is_blank: true,
        }
    }

    /// Adds received bytes to the count.
    ///
    /// # Errors
    ///
    /// Fails if the limit is exceeded.
    pub fn add(&mut self, bytes: &[u8]) -> Result<(), Fault> {
        let rest = match self.by_event {
            true => self.after_event(bytes),
            false => bytes.len(),
        };
        self.left = self.left.checked_sub(rest).ok_or(Fault::TooLong)?;
        Ok(())
    }

    /// Returns the number of bytes after the last end of an event and resets the count there.
    fn after_event(&mut self, bytes: &[u8]) -> usize {
        let mut rest = bytes.len();
        for (index, byte) in bytes.iter().enumerate() {
            if *byte == b'\n' && self.is_blank {
                self.left = MAX_EVENT;
                rest = bytes.len() - index - 1;
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

impl EventSplitter {
    /// Returns the memory of the event that has arrived in part, in bytes.
    pub fn held(&self) -> usize {
        self.partial.capacity()
    }

    /// Removes and returns the comments and blank lines behind the last event.
    pub fn take_rest(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Adds bytes and returns the events that are now complete and were not passed on before; `last`
    /// is the id of the last event that was passed on.
    ///
    /// # Errors
    ///
    /// Fails if an event is too long.
    pub fn push(&mut self, bytes: &[u8], last: &mut Option<u64>) -> Result<Bytes, Fault> {
        self.partial.extend_from_slice(bytes);
        let mut complete = BytesMut::new();
        while let Some(end) = end_of_event(&self.partial) {
            let event = self.partial.split_to(end);
            let id = id_of(&event);
            let is_repeated = matches!((id, *last), (Some(id), Some(last)) if id <= last);
            if is_repeated {
                continue;
            }
            *last = id.or(*last);
            complete.extend_from_slice(&event);
        }
        if self.partial.len() > MAX_EVENT {
            return Err(Fault::TooLong);
        }
        Ok(complete.freeze())
    }
}

/// Returns where the first event ends, behind any comments before it.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let mut start = 0;
    let mut has_field = false;
    while let Some(offset) = bytes[start..].iter().position(|b| *b == b'\n') {
        let line = bytes[start..start + offset].trim_ascii_end();
        start += offset + 1;
        if line.is_empty() && has_field {
            return Some(start);
        }
        has_field |= !line.is_empty() && !line.starts_with(b":");
    }
    None
}

fn id_of(event: &[u8]) -> Option<u64> {
    let lines = event.split(|b| *b == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = ids.next_back()?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}

//! Message body framing: by length, chunked, or until the connection closes.

use bytes::{Buf, Bytes, BytesMut};

/// Longest chunk size line or trailer line in bytes.
const MAX_LINE: usize = 256;
/// Bytes that end a line.
const LINE_END: usize = 2;
/// Trailer lines that are accepted after the last chunk.
const MAX_TRAILERS: usize = 16;

/// How a body is delimited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// A fixed number of bytes.
    Length(u64),
    /// Chunked transfer coding.
    Chunked,
    /// Until the connection closes.
    Close,
}

/// Errors of a malformed chunked body.
#[derive(Clone, Copy, Debug, Eq, PartialEq, displaydoc::Display)]
pub enum Fault {
    /// the length of a chunk is not a hexadecimal number
    Size,
    /// a line between chunks is too long
    Line,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    Size,
    Data(u64),
    DataEnd,
    Trailer(usize),
    Done,
}

/// Incremental decoder of a body.
#[derive(Clone, Debug)]
pub struct Decoder {
    framing: Framing,
    stage: Stage,
}

impl Decoder {
    /// Creates a decoder at the first byte of a body.
    pub const fn new(framing: Framing) -> Self {
        let stage = match framing {
            Framing::Length(0) => Stage::Done,
            Framing::Length(length) => Stage::Data(length),
            Framing::Chunked => Stage::Size,
            Framing::Close => Stage::Data(u64::MAX),
        };
        Self { framing, stage }
    }

    /// Returns `true` if the body is complete.
    pub fn is_done(&self) -> bool {
        self.stage == Stage::Done
    }

    /// Returns `true` if the body is complete when the connection closes now.
    pub fn is_complete_at_close(&self) -> bool {
        self.framing == Framing::Close || self.is_done()
    }

    /// Removes and returns the next bytes of the body from `bytes`; `None` if more must be read
    /// first.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not valid chunks.
    pub fn take(&mut self, bytes: &mut BytesMut) -> Result<Option<Bytes>, Fault> {
        loop {
            match self.stage {
                Stage::Done => return Ok(None),
                Stage::Data(left) => {
                    let count = left.min(bytes.len() as u64);
                    if count == 0 {
                        return Ok(None);
                    }
                    self.advance(left - count);
                    return Ok(Some(bytes.split_to(count as usize).freeze()));
                }
                _ => {
                    let Some(line) = find_line(bytes)? else {
                        return Ok(None);
                    };
                    let length = line.len() + LINE_END;
                    self.end_line(line)?;
                    bytes.advance(length);
                }
            }
        }
    }

    /// Moves the bytes of the body from `bytes` to `body`, at most `room` of them, and returns the
    /// number of lines between chunks that were read.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not valid chunks.
    pub fn decode(
        &mut self,
        bytes: &mut BytesMut,
        body: &mut BytesMut,
        mut room: usize,
    ) -> Result<usize, Fault> {
        let (mut at, mut lines) = (0, 0);
        loop {
            let rest = &bytes[at..];
            match self.stage {
                Stage::Done => break,
                Stage::Data(left) => {
                    let count = left.min(rest.len().min(room) as u64) as usize;
                    if count == 0 {
                        break;
                    }
                    body.extend_from_slice(&rest[..count]);
                    self.advance(left - count as u64);
                    at += count;
                    room -= count;
                }
                _ => {
                    let Some(line) = find_line(rest)? else {
                        break;
                    };
                    at += line.len() + LINE_END;
                    lines += 1;
                    self.end_line(line)?;
                }
            }
        }
        bytes.advance(at);
        Ok(lines)
    }

    /// Returns how many bytes of the body follow without a line between them.
    pub const fn contiguous(&self) -> u64 {
        match self.stage {
            Stage::Data(left) => left,
            _ => 0,
        }
    }

    /// Notes that so many contiguous bytes of the body were read elsewhere.
    pub fn skip(&mut self, count: u64) {
        if let Stage::Data(left) = self.stage {
            self.advance(left.saturating_sub(count));
        }
    }

    /// Continues after a line between chunks.
    fn end_line(&mut self, line: &[u8]) -> Result<(), Fault> {
        self.stage = match self.stage {
            Stage::Size => match parse_size(line)? {
                0 => Stage::Trailer(0),
                length => Stage::Data(length),
            },
            Stage::DataEnd if line.is_empty() => Stage::Size,
            Stage::DataEnd => return Err(Fault::Size),
            Stage::Trailer(_) if line.is_empty() => Stage::Done,
            Stage::Trailer(count) if count >= MAX_TRAILERS => return Err(Fault::Line),
            Stage::Trailer(count) => Stage::Trailer(count + 1),
            stage => stage,
        };
        Ok(())
    }

    fn advance(&mut self, left: u64) {
        self.stage = match (self.framing, left) {
            (Framing::Close, _) => Stage::Data(u64::MAX),
            (Framing::Chunked, 0) => Stage::DataEnd,
            (Framing::Length(_), 0) => Stage::Done,
            (_, left) => Stage::Data(left),
        };
    }
}

/// Returns the line at the start of the bytes without its end, or `None` if that has not arrived.
fn find_line(bytes: &[u8]) -> Result<Option<&[u8]>, Fault> {
    let Some(end) = bytes.iter().take(MAX_LINE).position(|b| *b == b'\n') else {
        return match bytes.len() >= MAX_LINE {
            true => Err(Fault::Line),
            false => Ok(None),
        };
    };
    let line = bytes[..end].strip_suffix(b"\r");
    line.map(Some).ok_or(Fault::Line)
}

fn parse_size(line: &[u8]) -> Result<u64, Fault> {
    /// Hexadecimal digits of the longest chunk size that is accepted.
    const MAX_DIGITS: usize = 8;
    let digits = line.split(|b| *b == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits)
        .map_err(|_| Fault::Size)?
        .trim_end();
    let is_number =
        !text.is_empty() && text.len() <= MAX_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
    match is_number {
        true => u64::from_str_radix(text, 16).map_err(|_| Fault::Size),
        false => Err(Fault::Size),
    }
}

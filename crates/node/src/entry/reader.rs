//! The events of one attempt's token stream, in order.

use bytes::{Bytes, BytesMut};
use guavausher_core::{event, stream};

use crate::entry::sse;

/// Reads one attempt's events in order.
#[derive(Debug)]
pub struct Reader {
    /// The place in the answer.
    pub cursor: stream::Cursor,
    splitter: sse::Splitter,
    done: Option<event::Finish>,
    id: String,
}

/// What came of some bytes.
#[derive(Debug)]
pub struct Taken {
    /// Whole events for the caller.
    pub events: Bytes,
    /// Whether the attempt has failed.
    pub broken: bool,
}

impl Reader {
    /// Returns a reader of the attempt with this id, from an offset on.
    pub fn new(attempt: u64, id: String, offset: u32) -> Self {
        Self {
            cursor: stream::Cursor::new(attempt, offset),
            splitter: sse::Splitter::default(),
            done: None,
            id,
        }
    }

    /// Takes in bytes of the body.
    pub fn take(&mut self, bytes: &[u8]) -> Taken {
        self.splitter.push(bytes);
        let mut events = BytesMut::new();
        let broken = loop {
            match self.splitter.next_event() {
                Ok(None) => break false,
                Err(sse::TooLarge) => break true,
                Ok(Some(event)) => match self.judge(&event) {
                    stream::Outcome::Forward => events.extend_from_slice(&event),
                    stream::Outcome::Duplicate | stream::Outcome::Foreign => {}
                    stream::Outcome::Gap => break true,
                },
            }
        };
        Taken {
            events: events.freeze(),
            broken,
        }
    }

    fn judge(&mut self, event: &[u8]) -> stream::Outcome {
        match sse::parse(event) {
            sse::Event::Token { offset, attempt } => {
                let attempt = self.attempt(attempt);
                self.cursor.accept(attempt, offset)
            }
            sse::Event::Done(done) => self.judge_done(done),
            sse::Event::Other => stream::Outcome::Foreign,
            sse::Event::Broken => stream::Outcome::Gap,
        }
    }

    fn judge_done(&mut self, done: sse::Done<'_>) -> stream::Outcome {
        if !self
            .cursor
            .is_complete(self.attempt(done.attempt), done.tokens)
        {
            return stream::Outcome::Gap;
        }
        self.done = Some(event::Finish {
            prompt: done.prompt,
            cached: done.cached,
            ..event::Finish::default()
        });
        stream::Outcome::Forward
    }

    /// Returns this attempt's number for its own id and zero for any other.
    fn attempt(&self, id: &str) -> u64 {
        if id == self.id {
            self.cursor.attempt
        } else {
            0
        }
    }

    /// Returns the end of the answer once it is whole; `first` is where the attempt began.
    pub fn finish(&mut self, first: u32) -> Option<event::Finish> {
        let tokens = self.cursor.next - first;
        self.done
            .take()
            .map(|finish| event::Finish { tokens, ..finish })
    }
}

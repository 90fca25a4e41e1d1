//! A response body on its way from an engine to the caller.

use bytes::{Bytes, BytesMut};
use guavausher_core::relay::route;

use crate::events;
use crate::framing;

/// Longest response body that is not a stream, in bytes.
const MAX_RESPONSE: usize = 16 << 20;

/// Errors of a body that is no valid response.
#[derive(Clone, Copy, Debug, Eq, PartialEq, displaydoc::Display)]
pub(crate) enum Fault {
    /// {0}
    Framing(framing::Fault),
    /// {0}
    Events(events::Fault),
}

/// The body of one attempt's response, as far as it has been read.
#[derive(Debug)]
pub(crate) struct BodyStream {
    decoder: framing::Decoder,
    events: events::EventSplitter,
    tracker: events::EventTracker,
    limit: events::SizeLimit,
    /// Whether it is a stream of events.
    is_stream: bool,
    /// Whether it is passed on in complete events, since another engine may continue it.
    by_event: bool,
    is_empty: bool,
}

impl BodyStream {
    /// Creates the body of a response with this status on a route.
    pub fn new(policy: route::RetryPolicy, status: u16, framing: framing::Framing) -> Self {
        let is_stream = policy.is_stream() && status == 200;
        Self {
            decoder: framing::Decoder::new(framing),
            events: events::EventSplitter::default(),
            tracker: events::EventTracker::default(),
            limit: match is_stream {
                true => events::SizeLimit::per_event(),
                false => events::SizeLimit::total(MAX_RESPONSE),
            },
            is_stream,
            by_event: is_stream && policy.is_idempotent(),
            is_empty: true,
        }
    }

    /// Returns `true` if the body is passed on in complete events.
    pub const fn is_by_event(&self) -> bool {
        self.by_event
    }

    /// Removes and returns the next bytes for the caller from those read; `None` if more must be
    /// read first. `last` is the id of the last event that was passed on.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no valid body.
    pub fn take(
        &mut self,
        bytes: &mut BytesMut,
        last: &mut Option<u64>,
    ) -> Result<Option<Bytes>, Fault> {
        while let Some(piece) = self.decoder.take(bytes).map_err(Fault::Framing)? {
            self.limit.add(&piece).map_err(Fault::Events)?;
            self.tracker.add(&piece);
            let piece = match self.by_event {
                true => self.events.push(&piece, last).map_err(Fault::Events)?,
                false => piece,
            };
            if !piece.is_empty() {
                self.is_empty = false;
                return Ok(Some(piece));
            }
        }
        Ok(None)
    }

    /// Returns the memory of the event that has arrived in part, in bytes.
    pub fn held(&self) -> usize {
        self.events.held()
    }

    /// Returns `true` if the body is complete.
    pub fn is_done(&self) -> bool {
        self.decoder.is_done()
    }

    /// Returns `true` if the body is whole when it ends here, by its framing or because the connection
    /// has closed.
    ///
    /// A stream that ends within an event was broken off, whatever its framing. A close ends a body only
    /// where nothing suggests that the engine broke off.
    pub fn is_whole(&self) -> bool {
        if self.is_within_event() {
            return false;
        }
        let has_content = !self.is_empty && (!self.is_stream || self.tracker.has_event());
        self.is_done() || self.decoder.is_complete_at_close() && has_content
    }

    /// Returns `true` if it is a stream, and an event of it has begun and not ended.
    pub fn is_within_event(&self) -> bool {
        self.is_stream && !self.tracker.is_between_events()
    }

    /// Removes and returns what follows the last event of a complete body.
    pub fn take_rest(&mut self) -> Bytes {
        self.events.take_rest()
    }
}

//! Response bodies.

use std::io;
use std::pin;
use std::task;

use bytes::Bytes;
use hyper::body;
use tokio::sync::mpsc;

/// A response body that is either whole or sent piece by piece.
#[derive(Debug)]
pub enum Body {
    /// A whole body; `None` once it is sent.
    Whole(Option<Bytes>),
    /// Pieces from a task; an error closes the connection at that point.
    Pieces(mpsc::Receiver<io::Result<Bytes>>),
}

impl Body {
    /// Builds a whole body.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }
}

impl body::Body for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<io::Result<body::Frame<Bytes>>>> {
        let next = match &mut *self {
            Self::Whole(bytes) => return task::Poll::Ready(bytes.take().map(frame)),
            Self::Pieces(pieces) => pieces.poll_recv(cx),
        };
        next.map(|piece| piece.map(|result| result.map(body::Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Pieces(_) => false,
        }
    }

    fn size_hint(&self) -> body::SizeHint {
        match self {
            Self::Whole(bytes) => {
                body::SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Self::Pieces(_) => body::SizeHint::default(),
        }
    }
}

fn frame(bytes: Bytes) -> io::Result<body::Frame<Bytes>> {
    Ok(body::Frame::data(bytes))
}

//! Signals of attempts that failed or were refused.

use guavausher_core::{event, verdict};

use crate::entry::exchange;

/// The attempt failed; `offset` is the next token that the caller lacks.
pub fn failed(verdict: verdict::Verdict, died: bool, offset: u32) -> event::Signal {
    event::Signal::Failed(event::Failure {
        verdict,
        crashed: died,
        offset,
    })
}

/// The upstream stated that it did not run the request.
pub fn refused(open: exchange::Open) -> event::Signal {
    let _ = open.sent.refuse();
    event::Signal::Refused
}

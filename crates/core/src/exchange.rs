//! An exchange with an upstream as a type state, which determines the possible verdicts.
//!
//! Only [`Unsent`] and an explicit refusal by the upstream yield [`verdict::Verdict::NotRun`];
//! once [`Unsent::send`] has consumed the first state, a failure can no longer yield it.

use crate::verdict;

/// An exchange that has sent no byte to the upstream.
#[derive(Debug)]
#[must_use]
pub struct Unsent(());

/// An exchange that may have sent some bytes of the request.
#[derive(Debug)]
#[must_use]
pub struct Sent(());

impl Unsent {
    /// Opens an exchange before anything is sent.
    pub const fn open() -> Self {
        Self(())
    }

    /// Must be called just before the first byte of the request is written.
    pub fn send(self) -> Sent {
        Sent(())
    }

    /// Ends the exchange before anything was sent.
    pub fn fail(self) -> verdict::Verdict {
        verdict::Verdict::NotRun
    }
}

impl Sent {
    /// Ends the exchange after an error, reset or timeout.
    pub fn fail(self) -> verdict::Verdict {
        verdict::Verdict::MayHaveRun
    }

    /// Ends the exchange after the upstream stated that it did not run the request.
    pub fn refuse(self) -> verdict::Verdict {
        verdict::Verdict::NotRun
    }

    /// Ends the exchange after a complete response.
    pub fn finish(self) -> verdict::Verdict {
        verdict::Verdict::Ran
    }
}

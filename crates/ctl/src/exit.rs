//! Exit statuses.

/// How the program ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// The command succeeded.
    Done,
    /// The declaration was refused, or what was waited for failed or did not come in time.
    Refused,
    /// The command line or a setting is wrong.
    Usage,
    /// Another operator's change came first.
    Conflict,
    /// The platform could not be reached.
    Unreachable,
}

impl Exit {
    /// Returns the process exit status.
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::Usage => 2,
            Self::Conflict => 3,
            Self::Unreachable => 4,
        }
    }
}

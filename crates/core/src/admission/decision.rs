//! The answer to an offered ticket.

use super::refusal;

/// What happens to an offered request now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It may be dispatched at once.
    Admit,
    /// It waits; a later turn grants or refuses it.
    Queue,
    /// It is refused without having run.
    Refuse(refusal::Refusal),
}

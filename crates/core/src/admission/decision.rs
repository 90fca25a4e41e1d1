//! The decision about an offered ticket.

use super::refusal;

/// What happens to an offered request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It may be dispatched at once.
    Admit,
    /// It waits in the queue; a later [`super::Controller::poll`] grants or refuses it.
    Queue,
    /// It is refused without having run.
    Refuse(refusal::Refusal),
}

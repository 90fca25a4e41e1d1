//! What a command has to say.

use crate::exit;

/// The result of a command, readable and as JSON.
#[derive(Clone, Debug)]
pub struct Report {
    /// How the program ends.
    pub exit: exit::Exit,
    /// Lines for a reader.
    pub text: String,
    /// The same for a program.
    pub json: serde_json::Value,
    /// Remarks for the error stream.
    pub warnings: Vec<String>,
}

impl Report {
    /// Builds the report of a command that succeeded.
    pub const fn done(text: String, json: serde_json::Value) -> Self {
        Self {
            exit: exit::Exit::Done,
            text,
            json,
            warnings: Vec::new(),
        }
    }
}

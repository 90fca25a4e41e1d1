//! The commands.

use crate::drain;
use crate::settings;

/// What the operator asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Checks the files.
    Check,
    /// Shows what an apply would change.
    Plan,
    /// Stores the declaration.
    Apply {
        /// The generation that must be stored now.
        generation: Option<u64>,
        /// Whether to wait until it is in force.
        wait: bool,
    },
    /// Shows the state of the deployment.
    Status {
        /// Whether to go on showing it.
        watch: bool,
    },
    /// Waits for a generation or a rollout.
    Wait {
        /// The generation; the stored one if not given.
        generation: Option<u64>,
        /// The service whose rollout must end.
        rollout: Option<String>,
    },
    /// Lists what was applied, or what one generation changed.
    History {
        /// The generation to show.
        generation: Option<u64>,
        /// The most entries to list.
        limit: usize,
    },
    /// Lists who did what.
    Audit {
        /// The most entries to list.
        limit: usize,
    },
    /// Gives one upstream no new work, or work again.
    Drain {
        /// Name of the upstream.
        upstream: String,
        /// What to do with it.
        action: drain::Action,
    },
    /// Tells what happened to one request.
    Explain {
        /// The caller's id of the request.
        id: String,
        /// Logs; the standard input if there are none.
        files: Vec<String>,
    },
    /// Prints a text, such as the help.
    Print(String),
}

/// A command with its settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Invocation {
    /// What to do.
    pub command: Command,
    /// How to do it.
    pub settings: settings::Settings,
}

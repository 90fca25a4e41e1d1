//! The command `wait`.

use std::time;

use guavausher_core::rollout;
use serde_json::json;

use crate::client;
use crate::error;
use crate::exit;
use crate::progress;
use crate::report;
use crate::status;
use crate::view;
use crate::viewer;

/// What to wait for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Goal {
    /// The generation that every failure domain must report; the stored one if not given.
    pub generation: Option<u64>,
    /// The service whose rollout must end.
    pub rollout: Option<String>,
}

/// How far the goal is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Not there yet.
    Waiting,
    /// Reached.
    Reached,
    /// It will not be reached: the rollout was taken back.
    Failed,
}

impl Goal {
    /// Refuses a rollout that is neither declared nor stored.
    ///
    /// # Errors
    ///
    /// Fails if the service has no rollout.
    pub fn check(&self, view: &view::View) -> Result<(), error::Error> {
        match &self.rollout {
            Some(service) if view.rollout(service).is_none() => {
                Err(error::Error::Rollout(service.clone()))
            }
            _ => Ok(()),
        }
    }

    /// Returns how far the state is from the goal.
    pub fn state(&self, view: &view::View) -> State {
        let generation = self.generation.unwrap_or(view.generation);
        if !view.is_in_force(generation) {
            return State::Waiting;
        }
        let Some(service) = &self.rollout else {
            return State::Reached;
        };
        match view.rollout(service).and_then(progress::Progress::phase) {
            Some(rollout::Phase::Done) => State::Reached,
            Some(rollout::Phase::RolledBack) => State::Failed,
            _ => State::Waiting,
        }
    }

    /// Says in one line how far the state is.
    pub fn describe(&self, view: &view::View) -> String {
        let generation = self.generation.unwrap_or(view.generation);
        let domain = |domain: &view::Domain| {
            let seen = domain.generation.map(|seen| seen.to_string());
            let seen = seen.unwrap_or_else(|| "-".to_owned());
            let (reports, instances) = (domain.reports, domain.instances);
            format!("{} {seen} ({reports} of {instances})", domain.name)
        };
        let domains: Vec<_> = view.domains.iter().map(domain).collect();
        let mut text = format!("generation {generation}: {}", domains.join(", "));
        if let Some(service) = &self.rollout {
            let phase = match view.rollout(service) {
                Some(rollout) if rollout.reason().is_empty() => rollout.cells()[1..3].join(" "),
                Some(rollout) => {
                    format!("{}, {}", rollout.cells()[1..3].join(" "), rollout.reason())
                }
                None => "no rollout".to_owned(),
            };
            text.push_str(&format!("; {service}: {phase}"));
        }
        text
    }
}

/// Waits until the goal is reached or failed, or the client's deadline has passed.
///
/// Calls `show` with a line whenever the progress changes.
///
/// # Errors
///
/// Fails if the platform gives no answer or nothing is stored.
pub fn wait(
    client: &client::Client,
    goal: &Goal,
    mut show: impl FnMut(&str),
) -> Result<report::Report, error::Error> {
    let mut viewer = viewer::Viewer::default();
    let mut shown = String::new();
    loop {
        let revision = client.list(status::PREFIX)?.revision;
        let view = viewer.view(client)?;
        goal.check(&view)?;
        let line = goal.describe(&view);
        if line != shown {
            show(&line);
            shown = line;
        }
        match goal.state(&view) {
            State::Waiting if time::Instant::now() < client.deadline() => {
                client.watch(status::PREFIX, revision)?;
            }
            state => return Ok(ending(state, goal, &view)),
        }
    }
}

fn ending(state: State, goal: &Goal, view: &view::View) -> report::Report {
    let (exit, outcome) = match state {
        State::Reached => (exit::Exit::Done, "reached"),
        State::Failed => (exit::Exit::Refused, "taken-back"),
        State::Waiting => (exit::Exit::Refused, "timeout"),
    };
    report::Report {
        exit,
        text: format!("{outcome}: {}\n", goal.describe(view)),
        json: json!({ "outcome": outcome, "state": view }),
        warnings: Vec::new(),
    }
}

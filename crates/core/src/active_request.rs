//! A request in progress at an entry.

use std::sync;
use std::time::Duration;

use crate::declaration;
use crate::ledger;
use crate::name;
use crate::refusal;
use crate::request;
use crate::routing;
use crate::time;

/// How long after its deadline a claimed request may still finish and be recorded.
pub const CLAIM_GRACE: Duration = Duration::from_secs(30);

/// A request without a final response, or one whose end is not recorded yet.
#[derive(Clone, Debug)]
pub struct ActiveRequest {
    /// What the caller sent.
    pub request: request::Request,
    /// The declared route.
    pub route: sync::Arc<declaration::Route>,
    /// The service that the route leads to.
    pub service: sync::Arc<declaration::Service>,
    /// Current stage.
    pub stage: Stage,
    /// A silent attempt, kept while another one runs until that one has responded.
    pub paused: Option<Running>,
    /// Deadline for the first token or the complete response.
    pub deadline: time::Time,
    /// Time of its entry in [`crate::state::State::timers`].
    pub timer: time::Time,
    /// Attempts since the last progress.
    pub tries: u32,
    /// The version of the service chosen for it.
    pub version: Option<name::Name>,
    /// Upstreams that failed it.
    pub excluded: Vec<name::Name>,
    /// Offset of the next token that the caller needs.
    pub offset: u32,
    /// Whether the first token has arrived.
    pub started: bool,
    /// Whether an attempt that has ended may have run the request.
    pub may_have_run: bool,
    /// Whether the caller has its final response or has disconnected.
    pub detached: bool,
    /// The claim of its idempotency key.
    pub claim: Option<ledger::Operation>,
}

/// What an active request waits for.
#[derive(Clone, Debug)]
pub enum Stage {
    /// Admission.
    Queued,
    /// The ledger's reply to the claim.
    Claiming,
    /// The ledger's reply about an earlier run; without one, the request gets this refusal.
    LookingUp(refusal::Refusal),
    /// The quarantine's permission to run alone.
    Quarantined,
    /// An available upstream, until this time.
    Backoff(time::Time),
    /// The upstream's response.
    Running(Running),
    /// The record of its end.
    Recording,
}

/// The running attempt.
#[derive(Clone, Debug)]
pub struct Running {
    /// The attempt.
    pub attempt: u64,
    /// The selected upstream.
    pub choice: routing::Choice,
    /// When it was sent.
    pub sent_at: time::Time,
    /// When the first token arrived.
    pub first_token: Option<time::Time>,
    /// Since when it makes no progress.
    pub silent_since: Option<time::Time>,
}

/// Whether a claim only looks up an earlier run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Lookup {
    /// It claims the key.
    No,
    /// It claims nothing.
    Yes,
}

impl ActiveRequest {
    /// Returns the query by which the router selects an upstream.
    pub fn query(&self, version: Option<name::Name>) -> routing::Query {
        routing::Query {
            service: self.service.name.clone(),
            version,
            workspace: self.request.workspace.clone(),
            priority: self.route.priority,
            blocks: self.request.prompt.blocks.clone(),
            prompt: self.request.prompt.tokens,
            output: self.request.output.saturating_sub(self.offset),
            excluded: self.excluded.clone(),
            packed: false,
            sticky: None,
        }
    }

    /// Returns `true` if the key must be claimed before anything is sent.
    pub fn needs_claim(&self) -> bool {
        !self.route.idempotent && self.request.key.is_some() && self.claim.is_none()
    }

    /// Returns `true` if the request may be retried although an attempt may have run it.
    pub fn is_retryable(&self) -> bool {
        self.route.idempotent || (self.service.deduplicates && self.request.key.is_some())
    }

    /// Returns when the request needs attention if the running attempt does not end before.
    pub fn response_timer(&self) -> time::Time {
        match self.started {
            true => time::Time::MAX,
            false => self.deadline,
        }
    }

    /// Records the offset of the next token that the caller needs; returns `true` if it is higher
    /// than the one before.
    pub fn record_progress(&mut self, offset: u32) -> bool {
        let has_progressed = offset > self.offset;
        if has_progressed {
            self.offset = offset;
            self.tries = 0;
        }
        has_progressed
    }

    /// Excludes the upstreams of the attempts in progress from selection.
    pub fn exclude_running(&mut self) {
        let running = match &self.stage {
            Stage::Running(running) => Some(running),
            _ => None,
        };
        let attempts = running.into_iter().chain(&self.paused);
        let upstreams = attempts.map(|a| a.choice.upstream.clone());
        self.excluded.extend(upstreams);
        self.excluded.sort_unstable();
        self.excluded.dedup();
    }

    /// Returns `true` if this is the paused attempt.
    pub fn is_paused(&self, attempt: u64) -> bool {
        self.paused.as_ref().is_some_and(|p| p.attempt == attempt)
    }

    /// Exchanges the running attempt and the paused one, if there are both.
    pub fn swap_paused(&mut self) {
        if let (Stage::Running(running), Some(paused)) = (&mut self.stage, &mut self.paused) {
            std::mem::swap(running, paused);
        }
    }

    /// Joins workspace, service and idempotency key.
    pub fn ledger_key(&self) -> Option<name::Name> {
        let key = self.request.key.as_ref()?;
        let workspace = &self.request.workspace;
        let service = &self.service.name;
        Some(name::Name::from(format!("{workspace}/{service}/{key}")))
    }

    /// Returns the claim of a key.
    pub fn claim(&self, key: name::Name, lookup: Lookup) -> ledger::Claim {
        ledger::Claim {
            request: self.request.id,
            key,
            fingerprint: self.request.fingerprint,
            deadline: self.deadline.after(CLAIM_GRACE),
            lookup: lookup == Lookup::Yes,
            retryable: self.is_retryable(),
        }
    }
}

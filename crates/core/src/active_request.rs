//! One request on its way through an entry.

use std::sync;
use std::time::Duration;

use crate::declaration;
use crate::ledger;
use crate::name;
use crate::refusal;
use crate::request;
use crate::routing;
use crate::time;

/// How long after its deadline a claimed request may still end and be recorded.
pub const CLAIM_GRACE: Duration = Duration::from_secs(30);

/// A request that has no final answer yet, or whose end is not recorded yet.
#[derive(Clone, Debug)]
pub struct ActiveRequest {
    /// What the caller sent.
    pub request: request::Request,
    /// The declared route.
    pub route: sync::Arc<declaration::Route>,
    /// The service behind it.
    pub service: sync::Arc<declaration::Service>,
    /// What it waits for.
    pub stage: Stage,
    /// When the first token or whole answer is due.
    pub deadline: time::Time,
    /// When the reducer looks at it again.
    pub timer: time::Time,
    /// Attempts since the last progress.
    pub tries: u32,
    /// The version that it was given.
    pub version: Option<name::Name>,
    /// Upstreams that failed it.
    pub excluded: Vec<name::Name>,
    /// Next token that the caller lacks.
    pub offset: u32,
    /// Whether a token or the whole answer has come.
    pub started: bool,
    /// Whether an attempt that has ended may have run it.
    pub may_have_run: bool,
    /// Whether the caller has its final answer or has gone.
    pub detached: bool,
    /// The claim of its idempotency key.
    pub claim: Option<ledger::Operation>,
}

/// What a active waits for.
#[derive(Clone, Debug)]
pub enum Stage {
    /// Admission.
    Queued,
    /// The ledger's answer to the claim.
    Claiming,
    /// The ledger's word on an earlier run, before this refusal is given.
    LookingUp(refusal::Refusal),
    /// Its turn to run alone.
    Quarantined,
    /// An upstream to go on with, until this time.
    Backoff(time::Time),
    /// The upstream's answer.
    Running(Running),
    /// The record of its end.
    Recording,
}

/// The attempt under way.
#[derive(Clone, Debug)]
pub struct Running {
    /// The attempt.
    pub attempt: u64,
    /// Where it runs.
    pub choice: routing::Choice,
    /// When it was sent.
    pub sent_at: time::Time,
    /// When the first token came.
    pub first_token: Option<time::Time>,
}

/// Whether a claim only looks for an earlier run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Lookup {
    /// It claims the key.
    No,
    /// It claims nothing.
    Yes,
}

impl ActiveRequest {
    /// Returns what the router needs to know.
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

    /// Tells whether the key must be claimed before anything is sent.
    pub fn needs_claim(&self) -> bool {
        !self.route.idempotent && self.request.key.is_some() && self.claim.is_none()
    }

    /// Tells whether a run whose end is unclear may be repeated.
    pub fn is_retryable(&self) -> bool {
        self.route.idempotent || (self.service.deduplicates && self.request.key.is_some())
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
            repeatable: self.is_retryable(),
        }
    }
}

//! Actions of callers and upstreams.

use guavausher_core::{declaration, event, ledger, name, prompt, request, verdict};

use super::super::audit;
use super::super::harness;
use super::super::step;
use super::{Attempt, HARMLESS, LAST_ARRIVAL, Simulation};

impl Simulation {
    pub(super) fn arrive(&mut self, entry: usize, kind: step::Kind, body: u8) {
        if harness::START.until(self.now) > LAST_ARRIVAL || self.nodes[entry].stopped {
            return;
        }
        self.requests += 1;
        let (path, key) = match kind {
            step::Kind::Idempotent => (harness::VERSE, None),
            step::Kind::Keyed { key } => (harness::CANDLE, Some(format!("key-{key}"))),
            step::Kind::Unkeyed => (harness::CANDLE, None),
        };
        let request = request::Request {
            id: self.requests,
            path: path.to_owned(),
            workspace: name::Name::from("kiosks-east"),
            key: key.map(name::Name::from),
            fingerprint: body.into(),
            prompt: prompt::hash_blocks("a few words"),
            output: 10,
            deadline: None,
            offset: 0,
        };
        let record = audit::RequestRecord {
            kind,
            fingerprint: body.into(),
            responses: Vec::new(),
            abandoned: false,
            ended: false,
            runs: Vec::new(),
            version: None,
        };
        self.records
            .insert((self.nodes[entry].process, self.requests), record);
        self.event(entry, event::Event::Arrived(request));
    }

    /// Sends an idempotent request that completes at once if an upstream is free.
    pub(super) fn complete_one(&mut self, entry: usize) {
        let running = self.running.len();
        self.arrive(entry, step::Kind::Idempotent, HARMLESS);
        if self.running.len() > running {
            self.signal(
                self.running.len() - 1,
                step::Signal::Finished { kept: false },
            );
        }
    }

    pub(super) fn abandon(&mut self, pick: usize) {
        let entry = pick % 3;
        let process = self.nodes[entry].process;
        let own = self.records.range_mut((process, 0)..=(process, u64::MAX));
        let mut open: Vec<_> = own
            .filter(|(_, a)| a.responses.is_empty() && !a.abandoned)
            .collect();
        if open.is_empty() || self.nodes[entry].inbox.is_some() {
            return;
        }
        let at = pick % open.len();
        let (id, record) = &mut open[at];
        let request = id.1;
        record.abandoned = true;
        self.event(entry, event::Event::Abandoned { request });
    }

    pub(super) fn signal(&mut self, pick: usize, signal: step::Signal) {
        if self.running.is_empty() {
            return;
        }
        let at = pick % self.running.len();
        if matches!(signal, step::Signal::First) {
            if self.running[at].sent.kind == declaration::Kind::Model {
                self.running[at].started = true;
                let attempt = self.running[at].clone();
                self.send_signal(&attempt, event::Signal::FirstToken);
            }
            return;
        }
        if matches!(signal, step::Signal::Silent) {
            let attempt = self.running[at].clone();
            return self.send_signal(&attempt, silence(&attempt));
        }
        let attempt = self.running.remove(at);
        self.ended.push(attempt.clone());
        let (event, end) = ending(&attempt, signal);
        if let Some(record) = self
            .records
            .get_mut(&(attempt.process, attempt.sent.request))
        {
            let own = |run: &&mut audit::Run| run.attempt == attempt.sent.attempt;
            if let Some(run) = record.runs.iter_mut().find(own) {
                run.end = Some(end);
            }
        }
        self.send_signal(&attempt, event);
    }

    pub(super) fn signal_late(&mut self, pick: usize, signal: step::Signal) {
        if self.ended.is_empty() {
            return;
        }
        let attempt = self.ended[pick % self.ended.len()].clone();
        let event = match signal {
            step::Signal::First => event::Signal::FirstToken,
            step::Signal::Silent => silence(&attempt),
            other => ending(&attempt, other).0,
        };
        self.send_signal(&attempt, event);
    }

    pub(super) fn send_signal(&mut self, attempt: &Attempt, signal: event::Signal) {
        if self.nodes[attempt.entry].process == attempt.process {
            let attempt_id = attempt.sent.attempt;
            let event = event::Event::Attempt {
                attempt: attempt_id,
                signal,
            };
            self.event(attempt.entry, event);
        }
    }

    /// Ends an attempt that the entry has cancelled.
    pub(super) fn end_cancelled(&mut self, process: u64, attempt: u64) {
        let own = |a: &Attempt| a.process == process && a.sent.attempt == attempt;
        if let Some(at) = self.running.iter().position(own) {
            let attempt = self.running.remove(at);
            self.ended.push(attempt);
        }
    }
}

/// Returns the signal that the entry receives and whether the request ran.
fn ending(attempt: &Attempt, signal: step::Signal) -> (event::Signal, verdict::Verdict) {
    let fail = |verdict, crashed, tokens: u8| {
        let offset = attempt.sent.offset + u32::from(tokens) * u32::from(attempt.started);
        let failure = event::Failure {
            verdict,
            crashed,
            offset,
        };
        (event::Signal::Failed(failure), verdict)
    };
    let unclear = verdict::Verdict::MayHaveRun;
    match signal {
        step::Signal::Refused | step::Signal::NotRun if attempt.started => fail(unclear, false, 1),
        step::Signal::Refused => (event::Signal::Refused, verdict::Verdict::NotRun),
        step::Signal::NotRun => fail(verdict::Verdict::NotRun, false, 0),
        step::Signal::MayHaveRun { tokens } => fail(unclear, false, tokens),
        step::Signal::Crashed { tokens } => fail(unclear, true, tokens),
        step::Signal::ErrorStatus => finish(true, false),
        step::Signal::Finished { kept } => finish(false, kept),
        step::Signal::First => (event::Signal::FirstToken, unclear),
        step::Signal::Silent => (silence(attempt), unclear),
    }
}

fn silence(attempt: &Attempt) -> event::Signal {
    let offset = attempt.sent.offset + u32::from(attempt.started);
    event::Signal::Silent { offset }
}

fn finish(failed: bool, kept: bool) -> (event::Signal, verdict::Verdict) {
    let kept = kept.then(|| ledger::StoredResponse {
        status: 200,
        media: "application/json".into(),
        body: Some("{}".into()),
    });
    let finish = event::Finish {
        failed,
        kept,
        tokens: 1,
        ..event::Finish::default()
    };
    (event::Signal::Finished(finish), verdict::Verdict::Ran)
}

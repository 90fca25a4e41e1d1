//! Passes events to entries, records their effects and checks them.

use guavausher_core::{declaration, effect, event, fact, name, peering, reduce, rollout};

use super::super::audit;
use super::super::node;
use super::super::step;
use super::{Attempt, Call, NEW, Packet, Simulation};

impl Simulation {
    pub(super) fn event(&mut self, entry: usize, event: event::Event) {
        let node = &mut self.nodes[entry];
        if node.stopped {
            return;
        }
        if let Some(inbox) = &mut node.inbox {
            inbox.push(event);
            return;
        }
        let known = self.known(entry);
        let effects = reduce::reduce(&mut self.nodes[entry].state, self.now, event);
        let state = &self.nodes[entry].state;
        let checks = [
            audit::generation_increases(&known, state, &effects),
            audit::one_call_per_kind(state),
        ];
        checks.into_iter().for_each(|v| self.check(v));
        for effect in effects {
            self.effect(entry, &known, effect);
        }
        self.count_shares(entry);
        if !self.options.deduplicates {
            self.check(audit::at_most_one_run(&self.records));
        }
    }

    pub(super) fn effect(&mut self, entry: usize, known: &audit::Known, effect: effect::Effect) {
        let process = self.nodes[entry].process;
        match effect {
            effect::Effect::Dispatch(sent) => self.record_dispatch(entry, known, sent),
            effect::Effect::Cancel { attempt, .. } => self.end_cancelled(process, attempt),
            effect::Effect::Ended { request } => {
                if let Some(record) = self.records.get_mut(&(process, request)) {
                    record.ended = true;
                }
            }
            effect::Effect::Refuse { request, refusal } => {
                self.respond((process, request), audit::Response::Refused(refusal));
            }
            effect::Effect::Replay { request, .. } => {
                self.respond((process, request), audit::Response::Replayed);
            }
            effect::Effect::Relay { request } => {
                self.respond((process, request), audit::Response::Relayed);
            }
            effect::Effect::Call { id, call } => self.calls.push(Call {
                entry,
                process,
                id,
                call,
            }),
            effect::Effect::Send { to, message } => {
                if let Some(to) = node::number(&to) {
                    self.packets.push(Packet {
                        from: entry,
                        to,
                        message,
                    });
                }
            }
            effect::Effect::Link(member) => {
                if let Some(to) = node::number(&member.name) {
                    self.dials.push((entry, to));
                }
            }
            effect::Effect::Unlink(name) => {
                if let Some(to) = node::number(&name) {
                    self.unlink(entry, to);
                }
            }
            effect::Effect::Stopped => self.nodes[entry].stopped = true,
            effect::Effect::ConfigApplied { .. }
            | effect::Effect::DocumentRejected { .. }
            | effect::Effect::Resume { .. } => {}
        }
    }

    pub(super) fn record_dispatch(
        &mut self,
        entry: usize,
        known: &audit::Known,
        sent: effect::Dispatch,
    ) {
        let process = self.nodes[entry].process;
        let id = (process, sent.request);
        let run = audit::Run {
            attempt: sent.attempt,
            end: None,
        };
        let Some(record) = self.records.get_mut(&id) else {
            return self.check(Err(format!("{id:?} was sent without a request")));
        };
        record.runs.push(run);
        let state = &self.nodes[entry].state;
        let checks = [
            audit::sent_once(id, record),
            audit::not_blocked(known, record),
            audit::not_halted(known, &sent),
            audit::not_leaving(known, state, &sent),
        ];
        checks.into_iter().for_each(|v| self.check(v));
        self.running.push(Attempt {
            entry,
            process,
            sent,
            started: false,
        });
    }

    pub(super) fn respond(&mut self, id: audit::Id, response: audit::Response) {
        self.check(audit::at_most_one_response(id, self.records.get(&id)));
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        record.responses.push(response);
        let checks = [
            audit::verdict_is_true(id, record),
            audit::response_is_own(&self.records, id),
        ];
        checks.into_iter().for_each(|v| self.check(v));
    }

    pub(super) fn check(&mut self, result: audit::Check) {
        self.faults.extend(result.err());
    }

    pub(super) fn known(&self, entry: usize) -> audit::Known {
        let state = &self.nodes[entry].state;
        let blocked = |fingerprint: &u64| {
            let by = |upstream: &declaration::Upstream| fact::Fact::Blocked {
                fingerprint: *fingerprint,
                upstream: upstream.name.clone(),
            };
            let mut facts = self.declaration.upstreams.iter().map(by);
            facts.any(|fact| state.peering.has_fact(&fact))
        };
        let mut leaving = state.leaving.clone();
        for instance in &self.instances {
            let knows = |incarnation: &u64| {
                let upstream = instance.name.clone();
                let incarnation = *incarnation;
                state.peering.has_fact(&fact::Fact::Leaving {
                    upstream,
                    incarnation,
                })
            };
            if let Some(highest) = (0..=instance.incarnation).rev().find(knows) {
                let latest = leaving.entry(instance.name.clone()).or_default();
                *latest = (*latest).max(highest);
            }
        }
        let status = self.status(entry);
        let halts = |status: &&rollout::Status| {
            let mut later = self
                .rollouts
                .values()
                .filter(|s| s.generation >= status.generation);
            later.any(|s| state.peering.has_fact(&s.halt_fact()))
        };
        audit::Known {
            leaving,
            blocked: (0..3).filter(blocked).collect(),
            halted: status.filter(halts).map(|s| s.to.clone()),
            generation: state.config.as_ref().map_or(0, |c| c.generation),
        }
    }

    /// Returns the status of the rollout that an entry has applied.
    pub(super) fn status(&self, entry: usize) -> Option<&rollout::Status> {
        let generation = self.nodes[entry]
            .state
            .peering
            .generation(peering::Topic::Rollouts);
        self.rollouts.get(&generation)
    }

    /// Counts each request for the share once it has a version.
    pub(super) fn count_shares(&mut self, entry: usize) {
        let process = self.nodes[entry].process;
        let Some(status) = self.status(entry) else {
            return;
        };
        let (rollout, allowed) = (status.generation, audit::allowed(status));
        let active_requests = &self.nodes[entry].state.active_requests;
        let share = self.shares.entry((process, rollout)).or_default();
        let own = self.records.range_mut((process, 0)..=(process, u64::MAX));
        for ((_, request), record) in own.filter(|(_, a)| a.version.is_none()) {
            if record.kind != step::Kind::Idempotent {
                continue;
            }
            let given = active_requests.get(request).and_then(|a| a.version.clone());
            let refused = record.ended.then(name::Name::default);
            record.version = given.or(refused);
            if let Some(version) = &record.version {
                share.allowed += allowed;
                share.given += u64::from(version.as_str() == NEW) * 1_000;
            }
        }
        let check = audit::within_share(share);
        self.check(check);
    }
}

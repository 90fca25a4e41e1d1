//! A store that keeps what instances know of crashes.

use std::collections;

use guavausher_core::relay::{event, saved_suspect, state, subject};
use guavausher_core::time;

use super::plan;

/// Steps between two attempts of a call.
const RETRY_STEPS: u64 = 20;

/// What one instance has read and written.
#[derive(Clone, Copy, Debug, Default)]
struct Client {
    is_read: bool,
    /// Number of its own crashes and blocks that it has written.
    written: u64,
    /// Step at which its call has its effect.
    due: Option<u64>,
}

/// The object in the store, and the instances that use it.
pub struct CrashStore {
    plan: plan::CrashStore,
    object: collections::BTreeMap<subject::Subject, saved_suspect::SavedSuspect>,
    clients: Vec<Client>,
    /// Calls that had an effect.
    pub calls: u64,
}

impl CrashStore {
    pub fn new(plan: plan::CrashStore, instances: usize) -> Self {
        Self {
            plan,
            object: collections::BTreeMap::new(),
            clients: vec![Client::default(); instances],
            calls: 0,
        }
    }

    /// Forgets the calls of an instance that was killed.
    pub fn restart(&mut self, index: usize) {
        self.clients[index] = Client::default();
    }

    /// Makes the calls of one instance that are due; returns what it has read.
    pub fn step(
        &mut self,
        step: u64,
        now: time::Time,
        index: usize,
        state: &state::State,
    ) -> Option<event::Event> {
        let client = &mut self.clients[index];
        let own = state.suspects.own_evidence;
        if client.due.is_none() && (!client.is_read || own > client.written) {
            client.due = Some(step + self.plan.latency);
        }
        if client.due.is_none_or(|due| due > step) {
            return None;
        }
        client.due = None;
        let (from, to) = self.plan.outage;
        if (from..=to).contains(&step) {
            client.due = Some(step + RETRY_STEPS);
            return None;
        }
        self.calls += 1;
        if client.is_read {
            client.written = own;
            let saved = state.suspects.save(now, |at| state.clock.unix_micros(at));
            saved.into_iter().for_each(|suspect| self.merge(suspect));
            return None;
        }
        client.is_read = true;
        let object = self.object.values().cloned().collect();
        Some(event::Event::SavedSuspects(object))
    }

    fn merge(&mut self, new: saved_suspect::SavedSuspect) {
        let Some(known) = self.object.get_mut(&new.subject) else {
            self.object.insert(new.subject, new);
            return;
        };
        for crash in new.crashes {
            if known.crashes.iter().all(|other| other.id != crash.id) {
                known.crashes.push(crash);
            }
        }
        known.is_blocked |= new.is_blocked;
        known.round = known.round.max(new.round);
        known.probes = known.probes.max(new.probes);
    }
}

//! A store that keeps what instances know of crashes.

use guavausher_core::relay::{event, saved_suspect, state};
use guavausher_core::time;

use super::plan;

/// Steps between two attempts of a call, and between two writes of the lease holder.
const RETRY_STEPS: u64 = 20;
/// Index of the instance that holds the lease.
const HOLDER: usize = 0;

/// What one instance has read and written.
#[derive(Clone, Debug, Default)]
struct Client {
    is_read: bool,
    /// Revision of the object that it knows, and its content.
    revision: u64,
    known: Vec<saved_suspect::SavedSuspect>,
    /// Number of its own crashes and blocks that it has written.
    written: u64,
    /// Step at which its call has its effect.
    due: Option<u64>,
    /// Step of its last call.
    called: u64,
}

/// The object in the store, and the instances that use it.
pub struct CrashStore {
    plan: plan::CrashStore,
    object: Vec<saved_suspect::SavedSuspect>,
    revision: u64,
    clients: Vec<Client>,
    /// Calls that had an effect.
    pub calls: u64,
}

impl CrashStore {
    pub fn new(plan: plan::CrashStore, instances: usize) -> Self {
        Self {
            plan,
            object: Vec::new(),
            revision: 0,
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
        let own = state.suspects.own_evidence;
        let saved = state.suspects.save(now, |at| state.clock.unix_micros(at));
        let client = &mut self.clients[index];
        if state.suspects.is_storm(now) {
            client.written = own;
        }
        let is_next = step >= client.called + RETRY_STEPS;
        let is_behind = saved_suspect::adds(&saved, &client.known);
        if client.is_read && client.due.is_none() && index == HOLDER && is_next && is_behind {
            client.due = Some(step + self.plan.latency);
        }
        if client.is_read && own > client.written && !saved_suspect::adds(&saved, &client.known) {
            client.written = own;
            client.due = None;
        }
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
        client.called = step;
        if client.is_read && client.revision == self.revision {
            self.object = saved;
            self.revision += 1;
            client.adopt(self.revision, &self.object);
            return None;
        }
        // A conflict is answered with the object, and the write is repeated at once.
        client.due = client.is_read.then_some(step);
        client.is_read = true;
        client.adopt(self.revision, &self.object);
        Some(event::Event::SavedSuspects(self.object.clone()))
    }
}

impl Client {
    fn adopt(&mut self, revision: u64, object: &[saved_suspect::SavedSuspect]) {
        self.revision = revision;
        self.known = object.to_vec();
    }
}

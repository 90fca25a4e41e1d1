//! A lease holder whose store and platform are simulated.

use std::collections;
use std::time::Duration;

use guavausher_core::lease;
use guavausher_core::relay::duties::{self, Action, usage};
use guavausher_core::relay::{orders, rollouts, saved_counts};
use guavausher_core::store;
use guavausher_core::time;
use guavausher_core::verdict;

use super::{Instance, name};

fn terms() -> lease::Timing {
    lease::Timing {
        term: Duration::from_secs(3),
        renewal: Duration::from_millis(1_350),
        retry: Duration::from_millis(400),
        order_timeout: Duration::ZERO,
        grace: Duration::ZERO,
        rank_delay: Duration::from_millis(300),
    }
}

/// A lease holder whose actions succeed, except for store calls while the store is down.
pub struct Holder {
    pub duties: duties::Duties,
    pub reports: Vec<usage::Counts>,
    pub orders: Vec<orders::Order>,
    pub committed: collections::BTreeMap<u64, usage::Counts>,
    pub saved: Option<saved_counts::SavedCounts>,
    pub version: u64,
    pub sweeps: u32,
    pub updates: Vec<rollouts::StatusUpdate>,
    /// The lease object in the store.
    pub lease: Option<store::Object>,
    pub is_store_up: bool,
    /// Whether the store responds to the reads of the saved counts.
    pub is_restoring: bool,
    /// Reads of the saved counts.
    pub reads: u32,
}

impl Holder {
    pub fn new(owner: &str) -> Self {
        Self {
            duties: duties::Duties::new(terms(), name(owner), 1),
            reports: Vec::new(),
            orders: Vec::new(),
            committed: collections::BTreeMap::new(),
            saved: None,
            version: 10,
            sweeps: 0,
            updates: Vec::new(),
            lease: None,
            is_store_up: true,
            is_restoring: true,
            reads: 0,
        }
    }

    pub fn tick(&mut self, now: time::Time, instance: &mut Instance) {
        let mut actions = self.duties.tick(now, &instance.state);
        while let Some(next) = actions.pop() {
            match next {
                Action::Lease(call) => {
                    let reply = self.reply(&call);
                    actions.extend(self.duties.handle_reply(now, &reply));
                }
                Action::RestoreCounts if !self.is_restoring => self.reads += 1,
                Action::RestoreCounts => {
                    for process in self.saved.iter().flat_map(|saved| &saved.processes) {
                        instance.state.usage_counts.merge(process);
                    }
                    let saved = self.saved.as_ref();
                    self.duties.handle_restored(now, &instance.state, saved);
                }
                Action::SaveCounts(counts) => self.saved = Some(counts),
                Action::CommitCounts(counts) => {
                    let window = counts.window;
                    let committed = self.committed.entry(window).or_insert(counts).clone();
                    self.duties
                        .usage
                        .handle_commit(now, window, Some(committed));
                }
                Action::ReportCounts(counts) => {
                    self.duties.usage.handle_report(now, counts.window, true);
                    self.reports.push(counts);
                }
                Action::Order(order) => {
                    self.duties
                        .orders
                        .record_outcome(now, &order, orders::Outcome::Accepted);
                    self.orders.push(order);
                }
                Action::SweepMembers => self.sweeps += 1,
                Action::UpdateRollout(update) => self.updates.push(update),
                Action::DeleteCounts { .. } | Action::Acquired { .. } | Action::Lost => {}
            }
        }
    }

    fn reply(&mut self, call: &store::Call) -> store::Reply {
        if !self.is_store_up {
            return store::Reply::Failed(verdict::Verdict::MayHaveRun);
        }
        match call {
            store::Call::Write { expected, .. }
                if *expected != self.lease.as_ref().map(|lease| lease.version) =>
            {
                store::Reply::Conflict
            }
            store::Call::Write { body, .. } => {
                self.version += 1;
                self.lease = Some(store::Object {
                    version: self.version,
                    body: body.clone(),
                });
                store::Reply::Written(self.version)
            }
            _ => match &self.lease {
                Some(lease) => store::Reply::Found(lease.clone()),
                None => store::Reply::Missing,
            },
        }
    }

    /// Returns the count of the last order for a pool.
    pub fn last_count(&self, domain: &str, spot: bool) -> Option<u32> {
        let mut newest = self.orders.iter().rev();
        let is_pool = |o: &&orders::Order| o.pool.domain == name(domain) && o.pool.spot == spot;
        newest.find(is_pool).map(|o| o.count)
    }
}

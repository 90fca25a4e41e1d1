//! The messages that an instance sends to others, and their recipients.

use std::collections;

use super::MAX_CANDIDATES;
use super::State;
use crate::relay::digest;
use crate::relay::gossip;
use crate::relay::heartbeat;
use crate::relay::position;
use crate::relay::process_report;
use crate::relay::sum;
use crate::relay::summary;
use crate::relay::workspace_usage;
use crate::time;

/// Usage windows in a digest.
const DIGEST_WINDOWS: usize = 3;
/// Usage windows before the present one in a process report.
const REPORT_WINDOWS: u64 = 2;

impl State {
    /// Returns the heartbeat of this instance; `positions` is how outside the driver has read.
    pub fn heartbeat(
        &self,
        now: time::Time,
        positions: Vec<position::Position>,
    ) -> heartbeat::Heartbeat {
        let usage = self
            .caps
            .spent()
            .map(|(workspace, units)| workspace_usage::Usage {
                workspace: workspace.clone(),
                units,
                demand: self.caps.demand(now, workspace),
                level: self.caps.level(now, workspace),
            });
        heartbeat::Heartbeat {
            sender: self.own.name.clone(),
            domain: self.own.domain.clone(),
            division: self.peers.division(),
            incarnation: self.own.incarnation,
            reachable: self.peers.reachable(now) as u32 + 1,
            leaving: self.leaving,
            watching: self.watching,
            positions,
            usage: usage.collect(),
        }
    }

    /// Returns the digest of this instance.
    pub fn digest(&self, now: time::Time, positions: Vec<position::Position>) -> digest::Digest {
        let work = self
            .fleet
            .prefill_work()
            .map(|(service, micros)| digest::PrefillWork {
                service: service.clone(),
                micros,
            });
        digest::Digest {
            heartbeat: self.heartbeat(now, positions),
            address: self.own.address,
            unix_micros: self.clock.unix_micros(now),
            loads: self.fleet.loads(),
            prefill_work: work.collect(),
            counts: self.usage_counts.own_newest(DIGEST_WINDOWS),
            canary_samples: self.rollouts.local_stats(),
            suspects: Vec::new(),
            departures: self.fleet.departures(now),
            members: self.peers.advertised(now),
        }
    }

    /// Returns the recipients of this instance's own messages in a round. Delegates of its group
    /// are sent to more often than other members, since all other groups depend on their
    /// summaries.
    pub fn recipients(&self, now: time::Time, number: usize) -> gossip::Recipients {
        /// Rounds after which a delegate is sent a message again.
        const DELEGATE_ROUNDS: usize = 2;
        let mut recipients = gossip::recipients(&self.peers.recipients(), number);
        let is_due = number.is_multiple_of(DELEGATE_ROUNDS);
        if is_due && self.peers.division().is_divided() {
            let delegates = self.peers.delegates(now, self.leaving).into_iter();
            let others = delegates.filter(|d| d.name != self.own.name);
            recipients.add(others.map(|d| d.address));
        }
        recipients
    }

    /// Returns the recipients of summaries and process reports in a round. An instance that is no
    /// delegate replies to those that consider it one, so that they learn the delegates of its
    /// group.
    pub fn delegate_recipients(
        &self,
        now: time::Time,
        number: usize,
    ) -> gossip::DelegateRecipients {
        if !self.peers.is_delegate(now) {
            let reachable = self.peers.groups().reachable_delegates(now);
            let delegates = reachable.filter(|summary| summary.is_from_delegate());
            return gossip::DelegateRecipients {
                summaries: delegates.map(|summary| summary.address).collect(),
                ..gossip::DelegateRecipients::default()
            };
        }
        let members: Vec<_> = self.peers.group_peers().map(|p| p.digest.address).collect();
        let routes = self.peers.routes(now);
        let delegates = self.peers.delegates(now, self.leaving);
        let place = delegates.iter().position(|d| d.name == self.own.name);
        let own = self.peers.group();
        let candidates = self.lease_candidates(now).into_iter();
        let outside = candidates.filter(|c| self.peers.group_of(c) != own);
        let outside: Vec<_> = outside.map(|c| c.address).collect();
        gossip::delegate_recipients(
            &members,
            routes.values(),
            &outside,
            place.unwrap_or(0),
            number,
        )
    }

    /// Returns the summary of the own group for other groups.
    pub fn summary(&self, now: time::Time, positions: Vec<position::Position>) -> summary::Summary {
        let demands = self.peers.group_demands(now);
        let usage = self
            .caps
            .group_spent()
            .map(|(workspace, units)| workspace_usage::Usage {
                workspace: workspace.clone(),
                units,
                demand: self.caps.demand(now, workspace)
                    + demands.get(workspace).copied().unwrap_or(0),
                level: self.caps.level(now, workspace),
            });
        let members = self.peers.sum(now);
        let mut loads = sum::Loads::default();
        loads.add(&members.loads);
        loads.add(&self.fleet.loads());
        let sum = sum::Sum {
            reachable: members.reachable + u32::from(!self.leaving),
            usage: usage.filter(|s| s.units > 0 || s.demand > 0).collect(),
            loads: loads.into_vec(),
        };
        let own_watcher = (self.watching && !self.leaving).then(|| self.own.name.clone());
        let delegates = self.peers.delegates(now, self.leaving);
        let route = summary::Route {
            group: self.peers.group(),
            addresses: delegates.into_iter().map(|d| d.address).collect(),
            known: self.peers.limit_sharers() as u32 + u32::from(!self.leaving),
            silent_ms: 0,
        };
        summary::Summary {
            scope: summary::Scope::Group(self.peers.group()),
            positions,
            sum,
            store_watchers: own_watcher
                .into_iter()
                .chain(self.peers.group_store_watchers(now))
                .collect(),
            lease_candidates: self.peers.group_lease_candidates(now, self.leaving),
            routes: vec![route],
            ..self.empty_summary(now)
        }
    }

    /// Returns the summary of all instances outside for the own group.
    pub fn outside_summary(&self, now: time::Time) -> summary::Summary {
        let groups = self.peers.groups();
        let mut sum = groups.sum(now);
        for usage in &mut sum.usage {
            usage.level = self.caps.level(now, &usage.workspace);
        }
        let store_watchers: collections::BTreeSet<_> =
            groups.store_watchers(now).cloned().collect();
        let candidates: collections::BTreeSet<_> = groups.lease_candidates(now).cloned().collect();
        summary::Summary {
            scope: summary::Scope::Outside,
            positions: Vec::new(),
            sum,
            store_watchers: store_watchers.into_iter().collect(),
            lease_candidates: candidates.into_iter().take(MAX_CANDIDATES).collect(),
            routes: groups.routes(now).collect(),
            ..self.empty_summary(now)
        }
    }

    fn empty_summary(&self, now: time::Time) -> summary::Summary {
        summary::Summary {
            sender: self.own.name.clone(),
            incarnation: self.own.incarnation,
            address: self.own.address,
            division: self.peers.division(),
            scope: summary::Scope::Outside,
            positions: Vec::new(),
            sum: sum::Sum::default(),
            store_watchers: Vec::new(),
            lease_candidates: Vec::new(),
            routes: Vec::new(),
            suspects: Vec::new(),
            departures: self.fleet.departures(now),
        }
    }

    /// Returns what the lease holder needs to know of each process of the own group.
    pub fn process_reports(&self, now: time::Time) -> Vec<process_report::ProcessReport> {
        let first = self.window(now).saturating_sub(REPORT_WINDOWS);
        let own = self.digest(now, Vec::new());
        let members = self.peers.group_peers().map(|peer| &peer.digest);
        let all = members.chain([&own]);
        let reports = all.map(|digest| process_report::ProcessReport {
            process: digest.process_counts().process,
            counts: self
                .usage_counts
                .process_since(&digest.process_counts().process, first),
            prefill_work: digest.prefill_work.clone(),
            canary_samples: digest.canary_samples.clone(),
        });
        reports.collect()
    }
}

//! The way of reports to the controller that decides about their service.

use super::{event, facts, ledger, mesh, message, report};
use crate::name;
use crate::time;

/// The way of reports to the controller that decides about their service.
#[derive(Debug, Default)]
pub struct Collector {
    ledger: ledger::Ledger,
}

impl Collector {
    /// Adds this node's own counts.
    pub fn add(
        &mut self,
        now: time::Time,
        reports: &[report::Report],
        mesh: &mut mesh::Mesh,
        facts: &facts::Facts,
    ) {
        let holders = reports
            .iter()
            .filter_map(|report| facts.holder(&report.service));
        let behind = holders.map(|holder| mesh.height(holder)).max();
        self.ledger.add(now, reports, behind.unwrap_or(0));
    }

    /// Adds a peer's sums, or hands them to the controller that this node is.
    pub fn receive(
        &mut self,
        now: time::Time,
        from: &name::Name,
        message: message::Reports,
        mesh: &mut mesh::Mesh,
        facts: &facts::Facts,
    ) -> Option<event::Output> {
        let link = mesh.links.record_activity(now, from)?;
        if message.sequence <= link.report_sequence {
            return None;
        }
        link.report_sequence = message.sequence;
        if mesh.is_leaf() {
            return Some(event::Output::Reports(message.reports));
        }
        self.add(now, &message.reports, mesh, facts);
        None
    }

    /// Sends on what is due.
    pub fn send(
        &mut self,
        now: time::Time,
        mesh: &mut mesh::Mesh,
        facts: &facts::Facts,
    ) -> Vec<event::Output> {
        let batches = self.ledger.take(now, |service| match mesh.is_leaf() {
            true => mesh.parent_hop(),
            false => mesh.report_hop(facts.holder(service)?),
        });
        let mut outputs = Vec::new();
        for ledger::Batch { hop, reports } in batches {
            if hop != *mesh.own() {
                outputs.push(self.message(&hop, reports));
                continue;
            }
            for leaf in mesh.links.leaves() {
                outputs.push(self.message(leaf, reports.clone()));
            }
            outputs.push(event::Output::Reports(reports));
        }
        outputs
    }

    /// Returns how many reports found no room.
    pub fn dropped(&self) -> u64 {
        self.ledger.dropped()
    }

    /// Returns when sums are due.
    pub fn wake(&self) -> time::Time {
        self.ledger.wake()
    }

    fn message(&mut self, to: &name::Name, reports: Vec<report::Report>) -> event::Output {
        let to = to.clone();
        let message = self.ledger.message(reports);
        event::Output::Send { to, message }
    }
}

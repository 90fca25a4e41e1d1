//! Aggregates reports and forwards them hop by hop to the controller of their service.

use super::{aggregator, event, facts, mesh, message, report};
use crate::name;
use crate::time;

/// Aggregates reports and forwards them to the controller of their service.
#[derive(Debug, Default)]
pub struct Collector {
    aggregator: aggregator::Aggregator,
}

impl Collector {
    /// Adds reports to be sent in the next slot.
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
        let height = holders.map(|holder| mesh.height(holder)).max();
        self.aggregator.add(now, reports, height.unwrap_or(0));
    }

    /// Adds a peer's reports, or returns them as output if this node is a controller.
    ///
    /// Duplicate messages and messages from peers without a link are ignored.
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

    /// Sends the reports that are due to their next hops, or to this node's controllers.
    pub fn send(
        &mut self,
        now: time::Time,
        mesh: &mut mesh::Mesh,
        facts: &facts::Facts,
    ) -> Vec<event::Output> {
        let batches = self
            .aggregator
            .take_batches(now, |service| match mesh.is_leaf() {
                true => mesh.parent_hop(),
                false => mesh.report_hop(facts.holder(service)?),
            });
        let mut outputs = Vec::new();
        for aggregator::Batch { hop, reports } in batches {
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

    /// Returns how many reports were dropped because too many were pending.
    pub fn dropped(&self) -> u64 {
        self.aggregator.dropped()
    }

    /// Returns when the next send is due.
    pub fn wake(&self) -> time::Time {
        self.aggregator.wake()
    }

    fn message(&mut self, to: &name::Name, reports: Vec<report::Report>) -> event::Output {
        let to = to.clone();
        let message = self.aggregator.message(reports);
        event::Output::Send { to, message }
    }
}

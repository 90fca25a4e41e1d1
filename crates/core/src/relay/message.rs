//! Messages between instances, and those that an instance sends in each round.

use std::collections;
use std::net;

use super::crash_report;
use super::digest;
use super::event;
use super::gossip;
use super::heartbeat;
use super::position;
use super::probes;
use super::process_report;
use super::rate_limit;
use super::state;
use super::summary;
use crate::time;

/// Process reports in one message.
const MAX_REPORTS: usize = 8;

/// Content of one datagram.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Message {
    /// Full report of an instance.
    Digest(digest::Digest),
    /// The part of it that is sent most often.
    #[serde(rename = "Pulse")]
    Heartbeat(heartbeat::Heartbeat),
    /// A delegate's report on many instances.
    Summary(summary::Summary),
    /// A delegate's report on each member of its group.
    #[serde(rename = "Accounts")]
    ProcessReports(Vec<process_report::ProcessReport>),
    /// Rate limits that engines have stated.
    RateLimits(Vec<rate_limit::Report>),
    /// Crashes of engines and what may be their cause.
    CrashReport(crash_report::CrashReport),
    /// Bids for probes of blocked requests and parts.
    Bids(Vec<probes::Bid>),
}

/// A message and its recipients.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outgoing {
    /// The message.
    pub message: Message,
    /// The recipients.
    pub addresses: Vec<net::SocketAddr>,
}

impl From<Message> for event::Event {
    fn from(message: Message) -> Self {
        match message {
            Message::Digest(digest) => Self::Digest(digest),
            Message::Heartbeat(heartbeat) => Self::Heartbeat(heartbeat),
            Message::Summary(summary) => Self::Summary(summary),
            Message::ProcessReports(reports) => Self::ProcessReports(reports),
            Message::RateLimits(limits) => Self::RateLimits(limits),
            Message::CrashReport(report) => Self::CrashReport(report),
            Message::Bids(bids) => Self::Bids(bids),
        }
    }
}

/// Returns what an instance sends in a round; rounds are numbered consecutively.
pub fn outgoing(
    state: &state::State,
    now: time::Time,
    number: usize,
    positions: &[position::Position],
) -> Vec<Outgoing> {
    let recipients = state.recipients(now, number);
    let as_delegate = state.delegate_recipients(now, number);
    let positions = || state.confirmations.append_to(positions);
    let addresses = report_recipients(&recipients, &as_delegate);
    let limits = rate_limits(state, now, &addresses);
    let crashes = crash_report(state, now, &addresses);
    let bids = bids(state, now, &addresses);
    let digest = outgoing_to(recipients.digests, || {
        Message::Digest(state.digest(now, positions()))
    });
    let heartbeat = outgoing_to(recipients.heartbeats, || {
        Message::Heartbeat(state.heartbeat(now, positions()))
    });
    let summary = outgoing_to(as_delegate.summaries, || {
        Message::Summary(state.summary(now, positions()))
    });
    let outside = outgoing_to(as_delegate.outside, || {
        Message::Summary(state.outside_summary(now))
    });
    let messages = [digest, heartbeat, summary, outside].into_iter().flatten();
    let reports = reports(state, now, &as_delegate.process_reports);
    let rest = limits.into_iter().chain(crashes).chain(bids).chain(reports);
    messages.chain(rest).collect()
}

/// Returns who receives reports that all instances need: those that receive a digest or a summary.
fn report_recipients(
    recipients: &gossip::Recipients,
    as_delegate: &gossip::DelegateRecipients,
) -> Vec<net::SocketAddr> {
    let as_delegate = as_delegate.summaries.iter().chain(&as_delegate.outside);
    let addresses = recipients.digests.iter().chain(as_delegate);
    let addresses: collections::BTreeSet<_> = addresses.copied().collect();
    addresses.into_iter().collect()
}

fn rate_limits(
    state: &state::State,
    now: time::Time,
    addresses: &[net::SocketAddr],
) -> Option<Outgoing> {
    let limits = state.fleet.limits(now);
    if limits.is_empty() {
        return None;
    }
    outgoing_to(addresses.to_vec(), || Message::RateLimits(limits.clone()))
}

fn crash_report(
    state: &state::State,
    now: time::Time,
    addresses: &[net::SocketAddr],
) -> Option<Outgoing> {
    let suspects = state.suspects.report(now);
    if suspects.is_empty() {
        return None;
    }
    let report = crash_report::CrashReport {
        sender: state.own.name.clone(),
        suspects,
    };
    outgoing_to(addresses.to_vec(), || Message::CrashReport(report.clone()))
}

fn bids(state: &state::State, now: time::Time, addresses: &[net::SocketAddr]) -> Option<Outgoing> {
    let bids = state.suspects.probes.report(now);
    if bids.is_empty() {
        return None;
    }
    outgoing_to(addresses.to_vec(), || Message::Bids(bids.clone()))
}

fn outgoing_to(addresses: Vec<net::SocketAddr>, message: impl Fn() -> Message) -> Option<Outgoing> {
    let is_any = !addresses.is_empty();
    is_any.then(|| Outgoing {
        message: message(),
        addresses,
    })
}

fn reports(state: &state::State, now: time::Time, addresses: &[net::SocketAddr]) -> Vec<Outgoing> {
    if addresses.is_empty() {
        return Vec::new();
    }
    let reports = state.process_reports(now);
    let messages = reports.chunks(MAX_REPORTS).map(|reports| Outgoing {
        message: Message::ProcessReports(reports.to_vec()),
        addresses: addresses.to_vec(),
    });
    messages.collect()
}

//! Recipients of the messages in each round.

use std::net;
use std::time::Duration;

/// Time between two rounds of messages.
pub const INTERVAL: Duration = Duration::from_millis(150);
/// Digests that an instance sends in one round.
const DIGESTS_PER_ROUND: usize = 16;
/// Heartbeats that an instance sends in one round, in a fleet of moderate size.
const MIN_HEARTBEATS: usize = 32;
/// Rounds in which each member has received a message, in a large group.
const HEARTBEAT_ROUNDS: usize = 3;
/// Rounds after which a delegate sends its summary to each other group again.
const SUMMARY_ROUNDS: usize = 2;
/// Rounds in which a delegate has sent each member of its group a summary of the instances
/// outside.
const OUTSIDE_ROUNDS: usize = 6;
/// Rounds after which a delegate sends process reports again.
const REPORT_ROUNDS: usize = 3;
/// Delegates that send process reports; more than one, so that one may be lost.
const REPORTING_DELEGATES: usize = 2;

/// Recipients of an instance's own messages in one round.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Recipients {
    /// Who receives a full digest.
    pub digests: Vec<net::SocketAddr>,
    /// Who receives a heartbeat.
    pub heartbeats: Vec<net::SocketAddr>,
}

impl Recipients {
    /// Adds instances that receive a heartbeat if they don't already receive a message.
    pub fn add(&mut self, addresses: impl Iterator<Item = net::SocketAddr>) {
        for address in addresses {
            if !self.digests.contains(&address) && !self.heartbeats.contains(&address) {
                self.heartbeats.push(address);
            }
        }
    }
}

/// Recipients of the further messages that a delegate sends in one round.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DelegateRecipients {
    /// Delegates of other groups, which receive the summary of the own group.
    pub summaries: Vec<net::SocketAddr>,
    /// Members of the own group, which receive the summary of the instances outside.
    pub outside: Vec<net::SocketAddr>,
    /// Lease candidates outside the own group, which receive its process reports.
    pub process_reports: Vec<net::SocketAddr>,
}

/// Returns the recipients of a delegate in a round: members of its group, one delegate of each
/// other group in rotation, and lease candidates outside. `place` is its position among the
/// delegates of its group.
pub fn delegate_recipients<'a>(
    members: &[net::SocketAddr],
    routes: impl Iterator<Item = &'a Vec<net::SocketAddr>>,
    candidates: &[net::SocketAddr],
    place: usize,
    number: usize,
) -> DelegateRecipients {
    let mut recipients = DelegateRecipients {
        outside: rotate(members, number, members.len().div_ceil(OUTSIDE_ROUNDS)),
        ..DelegateRecipients::default()
    };
    let (cycle, phase) = (number / SUMMARY_ROUNDS, number % SUMMARY_ROUNDS);
    if phase == place % SUMMARY_ROUNDS {
        let routes = routes.filter(|addresses| !addresses.is_empty());
        let next = routes.map(|addresses| addresses[cycle.wrapping_add(place) % addresses.len()]);
        recipients.summaries = next.collect();
    }
    if number % REPORT_ROUNDS == place && place < REPORTING_DELEGATES {
        recipients.process_reports = candidates.to_vec();
    }
    recipients
}

/// Returns the recipients of a round among these addresses; rounds are numbered consecutively.
///
/// Digests grow with the number of engines and are sent in rotation. Heartbeats are small: each
/// member receives them often enough that the loss of one message does not make this instance
/// unreachable.
pub fn recipients(addresses: &[net::SocketAddr], number: usize) -> Recipients {
    let digests = rotate(addresses, number, DIGESTS_PER_ROUND);
    let heartbeats = rotate(addresses, number, heartbeat_count(addresses.len()));
    let has_digest = |address: &net::SocketAddr| digests.contains(address);
    Recipients {
        heartbeats: heartbeats.into_iter().filter(|a| !has_digest(a)).collect(),
        digests,
    }
}

/// Returns the time in which an instance has sent a message to this many others.
pub fn cycle_time(others: usize) -> Duration {
    let rounds = others.div_ceil(heartbeat_count(others)).max(1);
    INTERVAL * u32::try_from(rounds).unwrap_or(u32::MAX)
}

/// Returns how many of the others are sent a heartbeat in one round.
fn heartbeat_count(others: usize) -> usize {
    MIN_HEARTBEATS.max(others.div_ceil(HEARTBEAT_ROUNDS))
}

/// Returns the addresses of a round, `size` at a time in rotation.
fn rotate(addresses: &[net::SocketAddr], number: usize, size: usize) -> Vec<net::SocketAddr> {
    let count = addresses.len();
    let first = number.wrapping_mul(size);
    (0..count.min(size))
        .map(|place| addresses[first.wrapping_add(place) % count])
        .collect()
}

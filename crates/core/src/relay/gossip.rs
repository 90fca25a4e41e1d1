//! Who is told what in each round of messages between instances.

use std::net;
use std::time::Duration;

/// Time between two rounds of messages.
pub const INTERVAL: Duration = Duration::from_millis(150);
/// Digests that one round sends.
const DIGESTS_PER_ROUND: usize = 16;
/// Heartbeats that one round sends in a fleet of moderate size.
const MIN_HEARTBEATS: usize = 32;
/// Rounds after which each instance has had a message, in a large fleet.
const HEARTBEAT_ROUNDS: usize = 3;
/// Rounds after which a delegate tells each other group of its own.
const SUMMARY_ROUNDS: usize = 2;
/// Rounds after which a delegate has told each member of its group of the others.
const OUTSIDE_ROUNDS: usize = 6;
/// Rounds after which a delegate tells what is counted in its group.
const REPORT_ROUNDS: usize = 3;
/// Delegates that tell what is counted, so that one may be lost.
const REPORTING_DELEGATES: usize = 2;

/// The messages of one round.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Recipients {
    /// Who gets a whole digest.
    pub digests: Vec<net::SocketAddr>,
    /// Who gets a heartbeat.
    pub heartbeats: Vec<net::SocketAddr>,
}

impl Recipients {
    /// Adds instances that get a heartbeat at least.
    pub fn add(&mut self, addresses: impl Iterator<Item = net::SocketAddr>) {
        for address in addresses {
            if !self.digests.contains(&address) && !self.heartbeats.contains(&address) {
                self.heartbeats.push(address);
            }
        }
    }
}

/// What a delegate sends in one round besides.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DelegateRecipients {
    /// Delegates of other groups, which are told of the own group.
    pub summaries: Vec<net::SocketAddr>,
    /// Members of the own group, which are told of the others.
    pub outside: Vec<net::SocketAddr>,
    /// Who is told what is counted in the own group.
    pub process_reports: Vec<net::SocketAddr>,
}

/// Returns what a delegate sends in a round: to its members, to one delegate of each other group by
/// turns, and to those outside that may be chosen for the duties; `place` is its place among the
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

/// Returns the messages of a round to these addresses; rounds are numbered without a gap.
///
/// Digests grow with the engines and take turns. Heartbeats are small: they go to the others often
/// enough that an instance is not taken as silent when a message is lost.
pub fn recipients(addresses: &[net::SocketAddr], number: usize) -> Recipients {
    let digests = rotate(addresses, number, DIGESTS_PER_ROUND);
    let heartbeats = rotate(addresses, number, heartbeat_count(addresses.len()));
    let has_digest = |address: &net::SocketAddr| digests.contains(address);
    Recipients {
        heartbeats: heartbeats.into_iter().filter(|a| !has_digest(a)).collect(),
        digests,
    }
}

/// Returns the time in which an instance has told this many others.
pub fn cycle_time(others: usize) -> Duration {
    let rounds = others.div_ceil(heartbeat_count(others)).max(1);
    INTERVAL * u32::try_from(rounds).unwrap_or(u32::MAX)
}

/// Returns how many of the others get a heartbeat in one round.
fn heartbeat_count(others: usize) -> usize {
    MIN_HEARTBEATS.max(others.div_ceil(HEARTBEAT_ROUNDS))
}

/// Returns the addresses whose turn it is, `size` at a time.
fn rotate(addresses: &[net::SocketAddr], number: usize, size: usize) -> Vec<net::SocketAddr> {
    let count = addresses.len();
    let first = number.wrapping_mul(size);
    (0..count.min(size))
        .map(|place| addresses[first.wrapping_add(place) % count])
        .collect()
}

//! Who is told what in each round of messages between instances.

use std::net;
use std::time::Duration;

/// Time between two rounds of messages.
pub const INTERVAL: Duration = Duration::from_millis(150);
/// Digests that one round sends.
const DIGESTS: usize = 16;
/// Heartbeats that one round sends in a fleet of moderate size.
const HEARTBEATS: usize = 32;
/// Rounds after which each instance has had a message, in a large fleet.
const ROUNDS: usize = 3;
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
pub struct Round {
    /// Who gets a whole digest.
    pub digests: Vec<net::SocketAddr>,
    /// Who gets a heartbeat.
    pub heartbeats: Vec<net::SocketAddr>,
}

impl Round {
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
pub struct Relayed {
    /// Delegates of other groups, which are told of the own group.
    pub summaries: Vec<net::SocketAddr>,
    /// Members of the own group, which are told of the others.
    pub outside: Vec<net::SocketAddr>,
    /// Who is told what is counted in the own group.
    pub process_reports: Vec<net::SocketAddr>,
}

/// Returns what a delegate sends in a round: to its mates, to one delegate of each other group by
/// turns, and to those outside that may be chosen for the duties; `place` is its place among the
/// delegates of its group.
pub fn relayed<'a>(
    mates: &[net::SocketAddr],
    routes: impl Iterator<Item = &'a Vec<net::SocketAddr>>,
    candidates: &[net::SocketAddr],
    place: usize,
    number: usize,
) -> Relayed {
    let mut relayed = Relayed {
        outside: turn(mates, number, mates.len().div_ceil(OUTSIDE_ROUNDS)),
        ..Relayed::default()
    };
    let (turns, rest) = (number / SUMMARY_ROUNDS, number % SUMMARY_ROUNDS);
    if rest == place % SUMMARY_ROUNDS {
        let routes = routes.filter(|addresses| !addresses.is_empty());
        let next = routes.map(|addresses| addresses[turns.wrapping_add(place) % addresses.len()]);
        relayed.summaries = next.collect();
    }
    if number % REPORT_ROUNDS == place && place < REPORTING_DELEGATES {
        relayed.process_reports = candidates.to_vec();
    }
    relayed
}

/// Returns the messages of a round to these addresses; rounds are numbered without a gap.
///
/// Digests grow with the engines and take turns. Heartbeats are small: they go to the others often
/// enough that an instance is not taken as silent when a message is lost.
pub fn round(addresses: &[net::SocketAddr], number: usize) -> Round {
    let digests = turn(addresses, number, DIGESTS);
    let heartbeats = turn(addresses, number, heartbeats(addresses.len()));
    let is_told = |address: &net::SocketAddr| digests.contains(address);
    Round {
        heartbeats: heartbeats.into_iter().filter(|a| !is_told(a)).collect(),
        digests,
    }
}

/// Returns the time in which an instance has told this many others.
pub fn period(others: usize) -> Duration {
    let rounds = others.div_ceil(heartbeats(others)).max(1);
    INTERVAL * u32::try_from(rounds).unwrap_or(u32::MAX)
}

/// Returns how many of the others get a heartbeat in one round.
fn heartbeats(others: usize) -> usize {
    HEARTBEATS.max(others.div_ceil(ROUNDS))
}

/// Returns the addresses whose turn it is, `size` at a time.
fn turn(addresses: &[net::SocketAddr], number: usize, size: usize) -> Vec<net::SocketAddr> {
    let count = addresses.len();
    let first = number.wrapping_mul(size);
    (0..count.min(size))
        .map(|place| addresses[first.wrapping_add(place) % count])
        .collect()
}

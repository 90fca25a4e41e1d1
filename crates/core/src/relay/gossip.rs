//! Who is told what in each round of messages between instances.

use std::net;

/// Digests that one round sends.
const DIGESTS: usize = 16;
/// Pulses that one round sends in a fleet of moderate size.
const PULSES: usize = 32;
/// Rounds after which each instance has had a message, in a large fleet.
const ROUNDS: usize = 3;

/// The messages of one round.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Round {
    /// Who gets a whole digest.
    pub digests: Vec<net::SocketAddr>,
    /// Who gets a pulse.
    pub pulses: Vec<net::SocketAddr>,
}

/// Returns the messages of a round to these addresses; rounds are numbered without a gap.
///
/// Digests grow with the engines and take turns. Pulses are small: they go to the others often
/// enough that an instance is not taken as silent when a message is lost.
pub fn round(addresses: &[net::SocketAddr], number: usize) -> Round {
    let digests = turn(addresses, number, DIGESTS);
    let pulses = turn(
        addresses,
        number,
        PULSES.max(addresses.len().div_ceil(ROUNDS)),
    );
    let is_told = |address: &net::SocketAddr| digests.contains(address);
    Round {
        pulses: pulses.into_iter().filter(|a| !is_told(a)).collect(),
        digests,
    }
}

/// Returns the addresses whose turn it is, `size` at a time.
fn turn(addresses: &[net::SocketAddr], number: usize, size: usize) -> Vec<net::SocketAddr> {
    let count = addresses.len();
    let first = number.wrapping_mul(size);
    (0..count.min(size))
        .map(|place| addresses[first.wrapping_add(place) % count])
        .collect()
}

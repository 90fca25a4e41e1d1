//! Scaling orders: compares the wanted engines with the last order for each pool.

use std::collections;
use std::time::Duration;

use crate::name;
use crate::time;

/// Time after which an accepted order is sent again, since a delayed older order may have
/// overwritten it.
const RESEND_INTERVAL: Duration = Duration::from_secs(6);
/// Time before an order that was refused or got no reply is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(1_500);

/// The engines of one market of a service in one failure domain.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Pool {
    /// The service.
    pub service: name::Name,
    /// The failure domain.
    pub domain: name::Name,
    /// Whether these are spot engines, which the cloud may reclaim.
    pub spot: bool,
}

/// A scaling order.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// The pool to scale.
    pub pool: Pool,
    /// Number of engines that the pool should have.
    pub count: u32,
    /// Number of engines that the current demand keeps busy, for the log.
    pub busy: f64,
}

/// Outcome of a scaling order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The order was accepted.
    Accepted,
    /// No such engines are available.
    Refused,
    /// It is unknown whether the order was accepted.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct LastOrder {
    count: u32,
    next_at: time::Time,
    in_flight: bool,
}

/// Scaling orders that one lease holder has sent.
#[derive(Debug, Default)]
pub struct Orders {
    last: collections::BTreeMap<Pool, LastOrder>,
}

impl Orders {
    /// Returns the orders that are due.
    pub(super) fn tick(&mut self, now: time::Time, wanted: Vec<Order>) -> Vec<Order> {
        let mut due = Vec::new();
        for order in wanted {
            let last = self.last.get(&order.pool);
            let is_due = match last {
                None => true,
                Some(l) if l.in_flight => false,
                Some(l) => l.count != order.count || now >= l.next_at,
            };
            if !is_due {
                continue;
            }
            let last = LastOrder {
                count: order.count,
                next_at: now,
                in_flight: true,
            };
            self.last.insert(order.pool.clone(), last);
            due.push(order);
        }
        due
    }

    /// Records the outcome of an order.
    pub fn record_outcome(&mut self, now: time::Time, order: &Order, outcome: Outcome) {
        let Some(last) = self.last.get_mut(&order.pool) else {
            return;
        };
        last.in_flight = false;
        last.next_at = now.after(match outcome {
            Outcome::Accepted => RESEND_INTERVAL,
            Outcome::Refused | Outcome::Unknown => RETRY_INTERVAL,
        });
    }
}

//! Orders of engines, from what is wanted and what was ordered.

use std::collections;
use std::time::Duration;

use crate::name;
use crate::time;

/// Time after which an order is given again, since a late one may have undone it.
const REPEAT: Duration = Duration::from_secs(6);
/// Time before an order that could not be met, or was not answered, is given again.
const RETRY: Duration = Duration::from_millis(1_500);

/// What is ordered: engines of one market for a service in a failure domain.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Pool {
    /// The service.
    pub service: name::Name,
    /// The failure domain.
    pub domain: name::Name,
    /// Whether the engines may be reclaimed.
    pub spot: bool,
}

/// An order.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// What is ordered.
    pub pool: Pool,
    /// How many there are to be.
    pub count: u32,
    /// Engines that the demand keeps busy, for the log.
    pub busy: f64,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It was taken.
    Accepted,
    /// There are none to be had.
    Refused,
    /// Nobody knows.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct Standing {
    count: u32,
    next: time::Time,
    under_way: bool,
}

/// Orders of one holder of the lease.
#[derive(Debug, Default)]
pub struct Orders {
    standing: collections::BTreeMap<Pool, Standing>,
}

impl Orders {
    /// Returns the orders that are due.
    pub(super) fn tick(&mut self, now: time::Time, wanted: Vec<Order>) -> Vec<Order> {
        let mut due = Vec::new();
        for order in wanted {
            let standing = self.standing.get(&order.pool);
            let is_due = match standing {
                None => true,
                Some(s) if s.under_way => false,
                Some(s) => s.count != order.count || now >= s.next,
            };
            if !is_due {
                continue;
            }
            let standing = Standing {
                count: order.count,
                next: now,
                under_way: true,
            };
            self.standing.insert(order.pool.clone(), standing);
            due.push(order);
        }
        due
    }

    /// Takes what became of an order.
    pub fn record_outcome(&mut self, now: time::Time, order: &Order, outcome: Outcome) {
        let Some(standing) = self.standing.get_mut(&order.pool) else {
            return;
        };
        standing.under_way = false;
        standing.next = now.after(match outcome {
            Outcome::Accepted => REPEAT,
            Outcome::Refused | Outcome::Unknown => RETRY,
        });
    }
}

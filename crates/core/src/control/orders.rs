//! Orders that tell the engines which version to serve.

use std::collections;
use std::time::Duration;

use crate::control::{effect, event};
use crate::declaration;
use crate::lease;
use crate::name;
use crate::time;

/// Largest number of orders in flight.
const MAX_IN_FLIGHT: usize = 16;
/// First delay after a failed order; it doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_secs(2);
/// Longest delay after a failed order.
const MAX_BACKOFF: Duration = Duration::from_secs(60);
/// The delay no longer doubles after this many failures.
const MAX_DOUBLINGS: u32 = 5;

/// Orders to the engines: each engine is sent the version that it is declared to serve.
///
/// Orders state the target version, so the result is the same whichever controller sends them and
/// however often.
#[derive(Clone, Debug, Default)]
pub struct Orders {
    upstreams: collections::BTreeMap<name::Name, Progress>,
}

#[derive(Clone, Debug, Default)]
struct Progress {
    in_flight: Option<Target>,
    accepted: Option<Target>,
    failures: u32,
    retry_at: time::Time,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Target {
    fencing_token: u64,
    version: name::Name,
}

impl Orders {
    /// Returns the orders that are due; `fencing_token` returns the token for a service, or `None`
    /// if no order may be sent to its upstreams.
    pub fn tick(
        &mut self,
        now: time::Time,
        declaration: &declaration::Declaration,
        fencing_token: impl Fn(&declaration::Service) -> Option<u64>,
    ) -> Vec<effect::Order> {
        self.remove_undeclared(declaration);
        let engines = declaration.services.iter();
        let engines = engines.filter(|service| service.kind == declaration::Kind::Model);
        let tokens: collections::BTreeMap<_, _> = engines
            .filter_map(|service| Some((&service.name, fencing_token(service)?)))
            .collect();
        let capacity = MAX_IN_FLIGHT.saturating_sub(self.in_flight());
        declaration
            .upstreams
            .iter()
            .filter_map(|upstream| {
                let fencing_token = tokens.get(&upstream.service)?;
                self.order(now, upstream, *fencing_token)
            })
            .take(capacity)
            .collect()
    }

    /// Handles the outcome of an order.
    pub fn handle_outcome(
        &mut self,
        now: time::Time,
        upstream: &name::Name,
        outcome: event::Outcome,
    ) {
        let Some(progress) = self.upstreams.get_mut(upstream) else {
            return;
        };
        let target = progress.in_flight.take();
        if outcome == event::Outcome::Accepted {
            progress.accepted = target;
            progress.failures = 0;
            return;
        }
        let doublings = progress.failures.min(MAX_DOUBLINGS);
        progress.failures += 1;
        progress.retry_at = now.after((MIN_BACKOFF * 2_u32.pow(doublings)).min(MAX_BACKOFF));
    }

    /// Removes upstreams that are no longer declared.
    fn remove_undeclared(&mut self, declaration: &declaration::Declaration) {
        if self.upstreams.len() <= declaration.upstreams.len() {
            return;
        }
        let declared: collections::BTreeSet<_> =
            declaration.upstreams.iter().map(|u| &u.name).collect();
        self.upstreams.retain(|name, _| declared.contains(name));
    }

    fn in_flight(&self) -> usize {
        let is_in_flight = |progress: &&Progress| progress.in_flight.is_some();
        self.upstreams.values().filter(is_in_flight).count()
    }

    fn order(
        &mut self,
        now: time::Time,
        upstream: &declaration::Upstream,
        fencing_token: u64,
    ) -> Option<effect::Order> {
        let progress = self.upstreams.entry(upstream.name.clone()).or_default();
        let wanted = Target {
            fencing_token,
            version: upstream.version.clone(),
        };
        let is_done = progress.accepted.as_ref() == Some(&wanted);
        if is_done || progress.in_flight.is_some() || now < progress.retry_at {
            return None;
        }
        progress.in_flight = Some(wanted);
        Some(effect::Order {
            upstream: upstream.name.clone(),
            address: upstream.address,
            fencing_token,
            version: upstream.version.clone(),
            deadline: now.after(lease::ORDER_TIMEOUT),
        })
    }
}

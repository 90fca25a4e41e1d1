//! Orders to the engines.

use std::collections;
use std::time::Duration;

use crate::control::{effect, event};
use crate::declaration;
use crate::lease;
use crate::name;
use crate::time;

/// Orders on their way at once.
const MAX_RUNNING: usize = 16;
/// First wait after an order that failed; it doubles with each further one.
const FIRST_WAIT: Duration = Duration::from_secs(2);
/// Longest wait after an order that failed.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// The waits stop to double after this many failures.
const MAX_DOUBLINGS: u32 = 5;

/// Orders to the engines: each is told the version that it is declared to serve.
///
/// Orders are convergent: they state what is wanted, whoever gives them and however often.
#[derive(Clone, Debug, Default)]
pub struct Orders {
    upstreams: collections::BTreeMap<name::Name, Progress>,
}

#[derive(Clone, Debug, Default)]
struct Progress {
    running: Option<Given>,
    taken: Option<Given>,
    failures: u32,
    next: time::Time,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Given {
    fencing_token: u64,
    version: name::Name,
}

impl Orders {
    /// Returns the orders that are due; `fence` gives the fencing number for a service.
    pub fn tick(
        &mut self,
        now: time::Time,
        declaration: &declaration::Declaration,
        fencing_token: impl Fn(&declaration::Service) -> Option<u64>,
    ) -> Vec<effect::Order> {
        self.forget(declaration);
        let engines = declaration.services.iter();
        let engines = engines.filter(|service| service.kind == declaration::Kind::Model);
        let tokens: collections::BTreeMap<_, _> = engines
            .filter_map(|service| Some((&service.name, fencing_token(service)?)))
            .collect();
        let room = MAX_RUNNING.saturating_sub(self.running());
        declaration
            .upstreams
            .iter()
            .filter_map(|upstream| {
                let fencing_token = tokens.get(&upstream.service)?;
                self.order(now, upstream, *fencing_token)
            })
            .take(room)
            .collect()
    }

    /// Takes the end of an order.
    pub fn handle_outcome(
        &mut self,
        now: time::Time,
        upstream: &name::Name,
        outcome: event::Outcome,
    ) {
        let Some(progress) = self.upstreams.get_mut(upstream) else {
            return;
        };
        let given = progress.running.take();
        if outcome == event::Outcome::Accepted {
            progress.taken = given;
            progress.failures = 0;
            return;
        }
        let doublings = progress.failures.min(MAX_DOUBLINGS);
        progress.failures += 1;
        progress.next = now.after((FIRST_WAIT * 2_u32.pow(doublings)).min(MAX_WAIT));
    }

    /// Forgets upstreams that are declared no more.
    fn forget(&mut self, declaration: &declaration::Declaration) {
        if self.upstreams.len() <= declaration.upstreams.len() {
            return;
        }
        let declared: collections::BTreeSet<_> =
            declaration.upstreams.iter().map(|u| &u.name).collect();
        self.upstreams.retain(|name, _| declared.contains(name));
    }

    fn running(&self) -> usize {
        let running = |progress: &&Progress| progress.running.is_some();
        self.upstreams.values().filter(running).count()
    }

    fn order(
        &mut self,
        now: time::Time,
        upstream: &declaration::Upstream,
        fencing_token: u64,
    ) -> Option<effect::Order> {
        let progress = self.upstreams.entry(upstream.name.clone()).or_default();
        let wanted = Given {
            fencing_token,
            version: upstream.version.clone(),
        };
        let is_done = progress.taken.as_ref() == Some(&wanted);
        if is_done || progress.running.is_some() || now < progress.next {
            return None;
        }
        progress.running = Some(wanted);
        Some(effect::Order {
            upstream: upstream.name.clone(),
            address: upstream.address,
            fencing_token,
            version: upstream.version.clone(),
            deadline: now.after(lease::ORDER_TIMEOUT),
        })
    }
}

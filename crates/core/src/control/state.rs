//! State of a controller and its reducer.

use std::sync;

use crate::control::{audit, drains, effect, event, orders, pending_calls, rollouts};
use crate::declaration;
use crate::fact;
use crate::lease;
use crate::name;
use crate::peering;
use crate::rollout;
use crate::store;
use crate::time;

/// State of one controller.
#[derive(Clone, Debug)]
pub struct State {
    owner: name::Name,
    leases: Vec<lease::Lease>,
    /// Position among the candidates for each lease, if it is one of them.
    ranks: Vec<Option<usize>>,
    config: Option<Config>,
    calls: pending_calls::PendingCalls,
    rollouts: rollouts::Rollouts,
    drains: drains::Drains,
    orders: orders::Orders,
    trail: audit::Trail,
    publish_at: time::Time,
}

#[derive(Clone, Debug)]
struct Config {
    generation: u64,
    declaration: sync::Arc<declaration::Declaration>,
}

/// Handles one event and returns the effects to perform.
pub fn reduce(state: &mut State, now: time::Time, event: event::Event) -> Vec<effect::Effect> {
    let mut effects = Vec::new();
    match event {
        event::Event::Tick => {}
        event::Event::Reply { id, reply } => state.handle_reply(now, id, &reply, &mut effects),
        event::Event::Config {
            generation,
            declaration,
        } => state.apply_config(generation, declaration),
        event::Event::Members(members) => state.update_ranks(&members),
        event::Event::Rollouts { version, book } => {
            let version = Some(version).filter(|version| *version > 0);
            let steps = state.rollouts.adopt(version, book);
            state.record_steps(now, steps, &mut effects);
        }
        event::Event::Fact(fact) => state.rollouts.apply_fact(&fact),
        event::Event::Reports(reports) => state.rollouts.add_reports(reports),
        event::Event::OrderEnded { upstream, outcome } => {
            state.orders.handle_outcome(now, &upstream, outcome);
        }
        event::Event::Stop => state.leases.iter_mut().for_each(lease::Lease::leave),
    }
    state.advance(now, &mut effects);
    effects
}

impl State {
    /// Creates the state of the controller beside the entry `owner`; `writer` is unique for each
    /// process.
    pub fn new(owner: name::Name, writer: u64) -> Self {
        let lease = |shard| lease::Lease::new(shard, owner.clone(), writer);
        Self {
            leases: (0..lease::SHARDS).map(lease).collect(),
            ranks: Vec::new(),
            config: None,
            calls: pending_calls::PendingCalls::default(),
            rollouts: rollouts::Rollouts::new(writer),
            drains: drains::Drains::default(),
            orders: orders::Orders::default(),
            trail: audit::Trail::default(),
            publish_at: time::Time::default(),
            owner,
        }
    }

    /// Returns the shards whose lease this controller holds.
    pub fn shards(&self, now: time::Time) -> Vec<u64> {
        let is_held = |shard: &u64| self.lease(*shard).is_some_and(|lease| lease.is_active(now));
        (0..lease::SHARDS).filter(is_held).collect()
    }

    fn apply_config(&mut self, generation: u64, declaration: sync::Arc<declaration::Declaration>) {
        let current = self.config.as_ref().map_or(0, |config| config.generation);
        if generation > current {
            self.config = Some(Config {
                generation,
                declaration,
            });
        }
    }

    fn update_ranks(&mut self, members: &[peering::Member]) {
        let rank = |shard| {
            let candidates = lease::candidates(members, shard);
            candidates.iter().position(|name| *name == self.owner)
        };
        self.ranks = (0..lease::SHARDS).map(rank).collect();
    }

    fn handle_reply(
        &mut self,
        now: time::Time,
        id: u64,
        reply: &store::Reply,
        effects: &mut Vec<effect::Effect>,
    ) {
        match self.calls.finish(id) {
            None => {}
            Some(pending_calls::Purpose::Lease(shard)) => {
                let lease = usize::try_from(shard).ok();
                let lease = lease.and_then(|index| self.leases.get_mut(index));
                let outputs = lease.map(|lease| lease.handle_reply(now, reply));
                self.handle_lease_outputs(shard, outputs.unwrap_or_default(), effects);
            }
            Some(pending_calls::Purpose::Rollouts) => {
                let steps = self.rollouts.handle_reply(now, reply);
                self.record_steps(now, steps, effects);
            }
            Some(pending_calls::Purpose::Audit) => self.trail.handle_reply(now, reply),
            Some(pending_calls::Purpose::Drains) => self.drains.handle_watch(now, reply),
            Some(pending_calls::Purpose::Instances) => self.drains.handle_list(now, reply),
        }
    }

    fn advance(&mut self, now: time::Time, effects: &mut Vec<effect::Effect>) {
        self.tick_leases(now, effects);
        if let Some(call) = self.trail.tick(now) {
            effects.push(self.calls.start(pending_calls::Purpose::Audit, call));
        }
        let Some(config) = self.config.clone() else {
            return;
        };
        if self.shards(now).is_empty() {
            return;
        }
        self.decide_rollouts(now, &config, effects);
        self.publish_drains(now, &config, effects);
        self.send_orders(now, &config, effects);
        self.publish_holders(now, &config, effects);
    }

    fn tick_leases(&mut self, now: time::Time, effects: &mut Vec<effect::Effect>) {
        for (index, shard) in (0..lease::SHARDS).enumerate() {
            let rank = self.ranks.get(index).copied().flatten();
            let lease = self.leases.get_mut(index);
            let outputs = lease.map(|lease| lease.tick(now, rank));
            self.handle_lease_outputs(shard, outputs.unwrap_or_default(), effects);
        }
    }

    fn handle_lease_outputs(
        &mut self,
        shard: u64,
        outputs: Vec<lease::Output>,
        effects: &mut Vec<effect::Effect>,
    ) {
        for output in outputs {
            effects.push(match output {
                lease::Output::Call(call) => {
                    self.calls.start(pending_calls::Purpose::Lease(shard), call)
                }
                lease::Output::Acquired { fencing_token } => {
                    self.publish_at = time::Time::default();
                    effect::Effect::Acquired {
                        shard,
                        fencing_token,
                    }
                }
                lease::Output::Lost => effect::Effect::Lost { shard },
            });
        }
    }

    fn decide_rollouts(
        &mut self,
        now: time::Time,
        config: &Config,
        effects: &mut Vec<effect::Effect>,
    ) {
        let leases = &self.leases;
        let decision =
            self.rollouts
                .decide(now, config.generation, &config.declaration, |service| {
                    is_leased(leases, now, service)
                });
        let expiry = now.after(rollout::HALT_RETENTION);
        let halts = decision.halts.into_iter();
        effects.extend(halts.map(|fact| effect::Effect::Publish { fact, expiry }));
        if let Some(call) = decision.call {
            effects.push(self.calls.start(pending_calls::Purpose::Rollouts, call));
        }
    }

    fn publish_drains(
        &mut self,
        now: time::Time,
        config: &Config,
        effects: &mut Vec<effect::Effect>,
    ) {
        if let Some(call) = self.drains.watch_call(now) {
            effects.push(self.calls.start(pending_calls::Purpose::Drains, call));
        }
        if let Some(call) = self.drains.list_call(now) {
            effects.push(self.calls.start(pending_calls::Purpose::Instances, call));
        }
        let expiry = now.after(super::FACT_TTL);
        let leases = &self.leases;
        let upstreams = &config.declaration.upstreams;
        let is_own = |fact: &fact::Fact| {
            let fact::Fact::Leaving { upstream, .. } = fact else {
                return false;
            };
            let declared = upstreams.iter().find(|declared| declared.name == *upstream);
            declared.is_some_and(|declared| is_leased(leases, now, &declared.service))
        };
        let facts = self.drains.due_facts(now).into_iter().filter(is_own);
        effects.extend(facts.map(|fact| effect::Effect::Publish { fact, expiry }));
    }

    fn send_orders(&mut self, now: time::Time, config: &Config, effects: &mut Vec<effect::Effect>) {
        let leases = &self.leases;
        let orders = self.orders.tick(now, &config.declaration, |service| {
            lease_of(leases, &service.name)?.fencing_token(now, service.fencing)
        });
        effects.extend(orders.into_iter().map(effect::Effect::Order));
    }

    /// Publishes that this controller receives the reports of each leased service.
    fn publish_holders(
        &mut self,
        now: time::Time,
        config: &Config,
        effects: &mut Vec<effect::Effect>,
    ) {
        if now < self.publish_at {
            return;
        }
        self.publish_at = now.after(super::FACT_REFRESH);
        let expiry = now.after(super::FACT_TTL);
        for service in &config.declaration.services {
            let token =
                lease_of(&self.leases, &service.name).and_then(|l| l.fencing_token(now, true));
            let Some(fencing) = token else {
                continue;
            };
            let fact = fact::Fact::Holder {
                service: service.name.clone(),
                holder: self.owner.clone(),
                fencing,
            };
            effects.push(effect::Effect::Publish { fact, expiry });
        }
    }

    fn record_steps(
        &mut self,
        now: time::Time,
        steps: Vec<rollout::Status>,
        effects: &mut Vec<effect::Effect>,
    ) {
        for status in steps {
            let record = audit::AuditRecord::of_rollout(now, &self.owner, &status);
            self.trail.add(record.clone());
            effects.push(effect::Effect::Decided(record));
        }
    }

    fn lease(&self, shard: u64) -> Option<&lease::Lease> {
        self.leases.get(usize::try_from(shard).ok()?)
    }
}

fn lease_of<'a>(leases: &'a [lease::Lease], service: &name::Name) -> Option<&'a lease::Lease> {
    leases.get(usize::try_from(lease::shard(service)).ok()?)
}

fn is_leased(leases: &[lease::Lease], now: time::Time, service: &name::Name) -> bool {
    lease_of(leases, service).is_some_and(|lease| lease.is_active(now))
}

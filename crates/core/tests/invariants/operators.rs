//! Actions of operators, the platform's instance list and the controller.

use std::sync;
use std::time::Duration;

use guavausher_core::{declaration, name, peering, rollout, store};

use super::super::node;
use super::{FACT_LIFETIME, NEW, OLD, SERVICE, Simulation, UPSTREAMS};

impl Simulation {
    pub(super) fn configure(&mut self) {
        let number = self.configs.len();
        let mut declaration = self.declaration.clone();
        for workspace in &mut declaration.workspaces {
            workspace.weight += number as u32 % 3;
        }
        let envelope = declaration::Envelope {
            operation: name::Name::from(format!("op-{number}")),
            at: self.now,
            author: name::Name::from("tester"),
            declaration,
        };
        let body: sync::Arc<[u8]> = sync::Arc::from(envelope.to_json().unwrap().into_bytes());
        self.configs.push(sync::Arc::clone(&body));
        self.platform.put("config/current", body);
    }

    pub(super) fn publish_old_config(&mut self, entry: usize, pick: usize) {
        let at = pick % self.configs.len();
        let document = peering::Document {
            topic: peering::Topic::Config,
            generation: at as u64 + 1,
            body: sync::Arc::clone(&self.configs[at]),
        };
        self.peer(entry, peering::Input::Publish(document));
    }

    pub(super) fn change_list(&mut self, upstream: usize, leaving: bool, next: bool) {
        let own = |i: &&mut store::Instance| i.name.as_str() == UPSTREAMS[upstream];
        if let Some(instance) = self.instances.iter_mut().find(own) {
            instance.leaving = leaving;
            instance.incarnation += u64::from(next);
        }
        self.platform.lists.push(self.instances.clone());
    }

    pub(super) fn incarnation(&self, upstream: &name::Name) -> u64 {
        let mut own = self.instances.iter().filter(|i| i.name == *upstream);
        own.next().map_or(1, |i| i.incarnation)
    }

    pub(super) fn notice(&mut self, upstream: usize) {
        let notice = store::Notice {
            seq: self.platform.notices.len() as u64,
            instance: name::Name::from(UPSTREAMS[upstream]),
            deadline: self.now.after(Duration::from_secs(30)),
        };
        self.platform.notices.push(notice);
    }

    pub(super) fn rollout(&mut self, phase: u8, share: u32) {
        let last = self.rollouts.values().next_back().cloned();
        let generation =
            last.as_ref().map_or(0, |s| s.generation) + u64::from(phase < 3 || last.is_none());
        let share = last
            .filter(|_| phase >= 3)
            .map_or(share, |s| s.share.max(share));
        let status = rollout::Status {
            format: rollout::FORMAT,
            operation: name::Name::default(),
            service: name::Name::from(SERVICE),
            from: name::Name::from(OLD),
            to: name::Name::from(NEW),
            share,
            limit: 100,
            phase: match phase {
                0..3 => rollout::Phase::Canary,
                3..6 => rollout::Phase::Ramp,
                6 => rollout::Phase::Done,
                _ => rollout::Phase::RolledBack,
            },
            next: self.now,
            settle: self.now,
            deadline: self.now.after(FACT_LIFETIME),
            generation,
            reason: String::new(),
        };
        let statuses = [(status.service.clone(), status.clone())]
            .into_iter()
            .collect();
        let body = rollout::Table { statuses }.encode();
        let version = self.platform.put("rollouts/current", sync::Arc::from(body));
        self.rollouts.insert(version, status);
    }

    pub(super) fn all_instances(&self) -> Vec<store::Instance> {
        let upstream = |upstream: &declaration::Upstream| store::Instance {
            name: upstream.name.clone(),
            address: upstream.address,
            domain: upstream.domain.clone(),
            kind: name::Name::from("upstream"),
            leaving: false,
            incarnation: 1,
        };
        let entry = |(entry, node): (usize, &node::Node)| {
            let member = node::member(&self.options.domains, entry, node.process);
            store::Instance {
                name: member.name,
                address: member.address,
                domain: member.domain,
                kind: name::Name::from("entry"),
                leaving: false,
                incarnation: member.incarnation,
            }
        };
        let upstreams = self.declaration.upstreams.iter().map(upstream);
        upstreams
            .chain(self.nodes.iter().enumerate().map(entry))
            .collect()
    }

    /// Returns the instance list with the current incarnations of the entries.
    pub(super) fn current_instances(&self) -> Vec<store::Instance> {
        let mut fresh = self.all_instances();
        for instance in &mut fresh {
            let old = self.instances.iter().find(|i| i.name == instance.name);
            if let Some(old) = old.filter(|i| i.kind.as_str() == "upstream") {
                *instance = old.clone();
            }
        }
        fresh
    }
}

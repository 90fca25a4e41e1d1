//! The declared upstreams.

use std::collections;

use super::pool;
use super::query;
use super::regions;
use super::upstream;
use crate::declaration;
use crate::name;
use crate::time;

/// Leaving marks of undeclared upstreams that are kept at most.
const MAX_UNDECLARED: usize = 4_096;

/// All declared upstreams by index, name and service.
#[derive(Clone, Debug, Default)]
pub(super) struct Roster {
    /// Upstreams; their indices are valid until the next declaration.
    pub upstreams: Vec<upstream::Upstream>,
    index: collections::HashMap<name::Name, usize>,
    pools: collections::BTreeMap<name::Name, pool::Pool>,
    undeclared_leaving: collections::HashMap<name::Name, u64>,
}

impl Roster {
    /// Applies a declaration; returns, by former index, the new index of each unchanged upstream.
    pub fn declare(
        &mut self,
        warm_at: time::Time,
        declaration: &declaration::Declaration,
        regions: &regions::Regions,
    ) -> Vec<Option<usize>> {
        let known = std::mem::take(&mut self.index);
        let old = std::mem::take(&mut self.upstreams);
        let mut new_indices = vec![None; old.len()];
        let mut old: Vec<_> = old.into_iter().map(Some).collect();
        for declared in &declaration.upstreams {
            let from = known.get(&declared.name).copied();
            let former = from.and_then(|index| old[index].take());
            let unchanged = former.as_ref().is_some_and(|f| f.declared == *declared);
            if let Some(index) = from.filter(|_| unchanged) {
                new_indices[index] = Some(self.upstreams.len());
            }
            let leaving = self.undeclared_leaving.remove(&declared.name);
            let mut upstream = match former {
                Some(former) if unchanged => former,
                former => upstream::Upstream::new(declared.clone(), warm_at, former.as_ref()),
            };
            upstream.leaving = upstream.leaving.max(leaving);
            upstream.network_delay = regions.network_delay(&declared.domain);
            upstream.price = price(declaration, declared);
            self.index
                .insert(declared.name.clone(), self.upstreams.len());
            self.upstreams.push(upstream);
        }
        for removed in old.into_iter().flatten() {
            if let Some(leaving) = removed.leaving {
                self.remember_leaving(&removed.declared.name, leaving);
            }
        }
        self.rebuild_pools(declaration);
        new_indices
    }

    /// Returns the index of an upstream.
    pub fn find(&self, upstream: &name::Name) -> Option<usize> {
        self.index.get(upstream).copied()
    }

    /// Returns an upstream by name.
    pub fn get(&self, upstream: &name::Name) -> Option<&upstream::Upstream> {
        Some(&self.upstreams[self.find(upstream)?])
    }

    /// Returns a mutable upstream by name.
    pub fn get_mut(&mut self, upstream: &name::Name) -> Option<&mut upstream::Upstream> {
        let index = self.find(upstream)?;
        Some(&mut self.upstreams[index])
    }

    /// Returns the version that a query requests, or else the declared one.
    pub fn version<'a>(&'a self, query: &'a query::Query) -> Option<&'a name::Name> {
        let pool = self.pools.get(&query.service);
        let declared = pool.and_then(|pool| pool.version.as_ref());
        query.version.as_ref().or(declared)
    }

    /// Returns the indices of the upstreams of a service, of one version if it is given.
    pub fn pool(&self, service: &name::Name, version: Option<&name::Name>) -> &[usize] {
        self.pools
            .get(service)
            .map(|pool| pool.of(version))
            .unwrap_or_default()
    }

    /// Returns the upstreams of a service of all versions.
    pub fn all(&self, service: &name::Name) -> impl Iterator<Item = &upstream::Upstream> {
        let indices = self.pools.get(service).map(|pool| pool.all.as_slice());
        indices
            .unwrap_or_default()
            .iter()
            .map(|&index| &self.upstreams[index])
    }

    /// Returns the declared services.
    pub fn services(&self) -> impl Iterator<Item = &name::Name> {
        self.pools.keys()
    }

    /// Keeps the leaving mark of an upstream that is not declared.
    pub fn remember_leaving(&mut self, upstream: &name::Name, incarnation: u64) {
        if self.undeclared_leaving.len() >= MAX_UNDECLARED
            && !self.undeclared_leaving.contains_key(upstream)
        {
            return;
        }
        let known = self.undeclared_leaving.entry(upstream.clone()).or_default();
        *known = incarnation.max(*known);
    }

    fn rebuild_pools(&mut self, declaration: &declaration::Declaration) {
        self.pools.clear();
        for service in &declaration.services {
            let pool = self.pools.entry(service.name.clone()).or_default();
            pool.version = Some(service.version.clone());
        }
        for (index, upstream) in self.upstreams.iter().enumerate() {
            let declared = &upstream.declared;
            let pool = self.pools.entry(declared.service.clone()).or_default();
            pool.push(&declared.version, index);
        }
        for pool in self.pools.values() {
            let prices = pool.all.iter().map(|&index| self.upstreams[index].price);
            let cheapest = prices.filter(|&price| price > 0).min().unwrap_or(0);
            for &index in &pool.all {
                self.upstreams[index].compare_price(cheapest);
            }
        }
    }
}

fn price(declaration: &declaration::Declaration, upstream: &declaration::Upstream) -> u64 {
    let mut classes = declaration.classes.iter();
    let class = classes.find(|class| {
        class.name == upstream.class
            && class.domain == upstream.domain
            && class.market == upstream.market
    });
    class.map_or(0, |class| class.price)
}

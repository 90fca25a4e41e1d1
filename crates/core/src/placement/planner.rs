//! Planner of the instances of one service.

use std::collections;

use super::demand;
use super::history;
use super::offer;
use super::priced_offer;
use super::zone;
use crate::declaration;
use crate::name;
use crate::time;

/// Share of the slots that may be in use while the latency target is met.
const TARGET_UTILIZATION: f64 = 0.9;

/// Planned number of instances of one offer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Allocation {
    /// The kind of instance.
    pub offer: offer::Offer,
    /// Number of instances.
    pub count: u32,
}

/// Plans the instances of one service with hysteresis.
///
/// The slots are spread over the failure domains so that the target is still met after the loss of
/// any one of them. In each domain the cheapest usable offer is selected, with its price increased
/// by the recent reclaim rate; a refused start falls back to the next offer, or to the other
/// domains.
#[derive(Clone, Debug)]
pub struct Planner {
    service: name::Name,
    history: collections::BTreeMap<offer::Offer, history::History>,
    zones: collections::BTreeMap<name::Name, zone::Zone>,
}

impl Planner {
    /// Builds a planner without history.
    pub fn new(service: name::Name) -> Self {
        Self {
            service,
            history: collections::BTreeMap::new(),
            zones: collections::BTreeMap::new(),
        }
    }

    /// Records that `count` of `running` instances of an offer were reclaimed.
    pub fn record_reclaim(
        &mut self,
        now: time::Time,
        offer: &offer::Offer,
        count: u32,
        running: u32,
    ) {
        let share = f64::from(count) / f64::from(running.max(1));
        self.history
            .entry(offer.clone())
            .or_default()
            .record_reclaim(now, share);
        self.remove_instances(offer, count);
    }

    /// Records a refused start.
    pub fn record_refusal(&mut self, now: time::Time, offer: &offer::Offer) {
        self.history
            .entry(offer.clone())
            .or_default()
            .record_refusal(now);
        self.remove_instances(offer, 1);
    }

    /// Records a successful start.
    pub fn record_start(&mut self, offer: &offer::Offer) {
        self.history
            .entry(offer.clone())
            .or_default()
            .record_start();
    }

    /// Plans the instances for a demand.
    pub fn plan(
        &mut self,
        now: time::Time,
        declaration: &declaration::Declaration,
        demand: &demand::Demand,
    ) -> Vec<Allocation> {
        let offers = self.offers(now, declaration);
        let usable = offers
            .values()
            .filter(|offers| offers.iter().any(|p| p.usable));
        let spare = usable.count().saturating_sub(1).max(1);
        let needed = f64::from(demand.slots) / TARGET_UTILIZATION / spare as f64;
        let mut starts = demand.starts;
        self.zones.retain(|domain, _| offers.contains_key(domain));
        for (domain, list) in &offers {
            let zone = self.zones.entry(domain.clone()).or_default();
            zone.resize(now, needed, list, &mut starts);
        }
        let counts = self.zones.values().flat_map(zone::Zone::counts);
        let allocations = counts.map(|(offer, count)| Allocation {
            offer: offer.clone(),
            count,
        });
        allocations.collect()
    }

    fn remove_instances(&mut self, offer: &offer::Offer, count: u32) {
        if let Some(zone) = self.zones.get_mut(&offer.domain) {
            zone.remove(offer, count);
        }
    }

    /// Returns the offers of each failure domain, the cheapest first.
    fn offers(
        &self,
        now: time::Time,
        declaration: &declaration::Declaration,
    ) -> collections::BTreeMap<name::Name, Vec<priced_offer::PricedOffer>> {
        let mut offers = collections::BTreeMap::<_, Vec<priced_offer::PricedOffer>>::new();
        for class in &declaration.classes {
            let offer = offer::Offer::of(class);
            let history = self.history.get(&offer).copied().unwrap_or_default();
            let Some(slots) = slots(declaration, &self.service, class) else {
                continue;
            };
            let price = class.price as f64 * history.price_factor(now) / f64::from(slots);
            let list = offers.entry(class.domain.clone()).or_default();
            list.push(priced_offer::PricedOffer {
                offer,
                price,
                slots,
                usable: history.is_usable(now),
            });
        }
        for list in offers.values_mut() {
            list.sort_by(|a, b| a.price.total_cmp(&b.price));
        }
        offers
    }
}

/// Returns the slots of an instance of a class, taken from the declared upstreams.
fn slots(
    declaration: &declaration::Declaration,
    service: &name::Name,
    class: &declaration::Class,
) -> Option<u32> {
    let upstreams = declaration.upstreams.iter();
    let of_class = upstreams.filter(|u| u.service == *service && u.class == class.name);
    of_class
        .map(|upstream| upstream.slots)
        .max()
        .filter(|&slots| slots > 0)
}

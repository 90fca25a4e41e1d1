//! The instances planned in one failure domain.

use std::collections;
use std::time::Duration;

use super::offer;
use super::priced_offer;
use crate::time;

/// A new offer must cost less than this share of the price of a present one to replace it.
const SWITCH_PRICE_SHARE: f64 = 0.85;
/// How long a new offer must stay cheaper before it replaces a present one.
const SWITCH_DELAY: Duration = Duration::from_secs(600);
/// How long instances must be superfluous before some are stopped.
const SHRINK_DELAY: Duration = Duration::from_secs(300);

/// Counts of instances by offer, changed with hysteresis.
#[derive(Clone, Debug, Default)]
pub(super) struct Zone {
    counts: collections::BTreeMap<offer::Offer, u32>,
    replacement: Option<Replacement>,
    shrink_at: Option<time::Time>,
}

/// A cheaper offer that replaces present ones if it stays cheaper.
#[derive(Clone, Debug)]
struct Replacement {
    offer: offer::Offer,
    switch_at: time::Time,
}

impl Zone {
    /// Returns the planned counts.
    pub fn counts(&self) -> impl Iterator<Item = (&offer::Offer, u32)> {
        self.counts.iter().map(|(offer, &count)| (offer, count))
    }

    /// Removes instances that were reclaimed, stopped or never started.
    pub fn remove(&mut self, offer: &offer::Offer, count: u32) {
        if let Some(held) = self.counts.get_mut(offer) {
            *held = held.saturating_sub(count);
        }
    }

    /// Adjusts the counts towards `needed` slots; `offers` are sorted, the cheapest first.
    ///
    /// It grows at once with the cheapest usable offer as far as `starts` allow, and stops the
    /// most expensive instances only when they have been superfluous for a while. A much cheaper
    /// offer that lasts is started in addition to the more expensive ones first.
    pub fn resize(
        &mut self,
        now: time::Time,
        needed: f64,
        offers: &[priced_offer::PricedOffer],
        starts: &mut u32,
    ) {
        let missing = needed - self.slots(offers);
        let cheapest = offers.iter().find(|priced| priced.usable);
        if let Some(priced) = cheapest.filter(|_| missing > 0.0) {
            self.grow(priced, missing, starts);
        }
        if let Some(priced) = cheapest.filter(|priced| self.is_switch_due(now, priced, offers)) {
            let replaced = self.slots_above(priced, offers);
            self.grow(priced, replaced, starts);
        }
        self.shrink(now, needed, offers);
        self.counts.retain(|_, count| *count > 0);
    }

    fn slots(&self, offers: &[priced_offer::PricedOffer]) -> f64 {
        let counts = offers.iter().map(|p| (p, self.count(&p.offer)));
        counts
            .map(|(priced, count)| f64::from(count * priced.slots))
            .sum()
    }

    fn count(&self, offer: &offer::Offer) -> u32 {
        self.counts.get(offer).copied().unwrap_or(0)
    }

    fn grow(&mut self, priced: &priced_offer::PricedOffer, slots: f64, starts: &mut u32) {
        let wanted = (slots / f64::from(priced.slots)).ceil() as u32;
        let added = wanted.min(*starts);
        *starts -= added;
        *self.counts.entry(priced.offer.clone()).or_default() += added;
    }

    /// Returns the slots of instances that cost much more than an offer.
    fn slots_above(
        &self,
        cheap: &priced_offer::PricedOffer,
        offers: &[priced_offer::PricedOffer],
    ) -> f64 {
        let above = offers
            .iter()
            .filter(|p| cheap.price < p.price * SWITCH_PRICE_SHARE);
        above
            .map(|p| f64::from(self.count(&p.offer) * p.slots))
            .sum()
    }

    /// Returns `true` if an offer has been much cheaper than some instances for long enough.
    fn is_switch_due(
        &mut self,
        now: time::Time,
        cheap: &priced_offer::PricedOffer,
        offers: &[priced_offer::PricedOffer],
    ) -> bool {
        if self.slots_above(cheap, offers) <= 0.0 {
            self.replacement = None;
            return false;
        }
        let known = self
            .replacement
            .take()
            .filter(|replacement| replacement.offer == cheap.offer);
        let replacement = known.unwrap_or_else(|| Replacement {
            offer: cheap.offer.clone(),
            switch_at: now.after(SWITCH_DELAY),
        });
        let is_due = replacement.switch_at <= now;
        if !is_due {
            self.replacement = Some(replacement);
        }
        is_due
    }

    fn shrink(&mut self, now: time::Time, needed: f64, offers: &[priced_offer::PricedOffer]) {
        let mut surplus = self.slots(offers) - needed;
        let removable = |zone: &Self, surplus: f64| {
            let mut most_expensive = offers.iter().rev().filter(|p| zone.count(&p.offer) > 0);
            most_expensive
                .find(|p| f64::from(p.slots) <= surplus)
                .cloned()
        };
        if removable(self, surplus).is_none() {
            self.shrink_at = None;
            return;
        }
        if *self.shrink_at.get_or_insert(now.after(SHRINK_DELAY)) > now {
            return;
        }
        while let Some(priced) = removable(self, surplus) {
            self.remove(&priced.offer, 1);
            surplus -= f64::from(priced.slots);
        }
        self.shrink_at = None;
    }
}

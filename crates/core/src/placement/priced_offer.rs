//! An offer with its current price.

use super::offer;

/// An offer with its price per slot.
#[derive(Clone, Debug)]
pub(super) struct PricedOffer {
    /// The offer.
    pub offer: offer::Offer,
    /// Price of one slot, increased by the recent reclaim rate.
    pub price: f64,
    /// Slots of one instance.
    pub slots: u32,
    /// Whether starts are attempted, which is not the case for a while after a refusal.
    pub usable: bool,
}

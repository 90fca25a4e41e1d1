//! An offer with its present worth.

use super::offer;

/// An offer with its price for each slot.
#[derive(Clone, Debug)]
pub(super) struct PricedOffer {
    /// The offer.
    pub offer: offer::Offer,
    /// Price of one slot, raised by the reclaims seen.
    pub price: f64,
    /// Slots of one instance.
    pub slots: u32,
    /// Whether a start is worth a try.
    pub usable: bool,
}

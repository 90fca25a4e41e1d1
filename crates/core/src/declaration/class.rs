//! Machine classes and their prices.

use crate::declaration::market;
use crate::name;

/// A machine class with its price in one failure domain and market.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Class {
    /// Class name, for example `gpu-small`.
    pub name: name::Name,
    /// The failure domain that the price holds in.
    pub domain: name::Name,
    /// Reclaimable or on demand.
    pub market: market::Market,
    /// Price in millionths of a currency unit an hour.
    pub price: u64,
}

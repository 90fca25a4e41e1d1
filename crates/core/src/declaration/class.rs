//! Machine classes and their prices.

use crate::declaration::market;
use crate::name;

/// A machine class with its price in one failure domain and market.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Class {
    /// Class name, for example `gpu-small`.
    pub name: name::Name,
    /// Failure domain that the price applies to.
    pub domain: name::Name,
    /// Market that the price applies to.
    pub market: market::Market,
    /// Price in millionths of a currency unit per hour.
    pub price: u64,
}

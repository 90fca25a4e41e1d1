//! Instances that the cloud offers.

use crate::declaration;
use crate::name;

/// One kind of instance in one failure domain.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Offer {
    /// Failure domain.
    pub domain: name::Name,
    /// Machine class.
    pub class: name::Name,
    /// Reclaimable or on demand.
    pub market: declaration::Market,
}

impl Offer {
    /// Returns the offer that a declared class stands for.
    pub fn of(class: &declaration::Class) -> Self {
        Self {
            domain: class.domain.clone(),
            class: class.name.clone(),
            market: class.market,
        }
    }
}

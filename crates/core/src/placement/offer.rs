//! Instances offered by the cloud.

use crate::declaration;
use crate::name;

/// One kind of instance in one failure domain.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Offer {
    /// Failure domain.
    pub domain: name::Name,
    /// Machine class.
    pub class: name::Name,
    /// Market on which the instance is rented.
    pub market: declaration::Market,
}

impl Offer {
    /// Returns the offer of a declared class.
    pub fn of(class: &declaration::Class) -> Self {
        Self {
            domain: class.domain.clone(),
            class: class.name.clone(),
            market: class.market,
        }
    }
}

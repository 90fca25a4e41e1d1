//! Planning of the instances of a service by class, failure domain and market.

mod demand;
mod history;
mod offer;
mod planner;
mod priced_offer;
mod zone;

pub use demand::Demand;
pub use offer::Offer;
pub use planner::{Allocation, Planner};

//! How many instances of which class, failure domain and market serve a service.

mod demand;
mod history;
mod offer;
mod planner;
mod priced_offer;
mod zone;

pub use demand::Demand;
pub use offer::Offer;
pub use planner::{Allocation, Planner};

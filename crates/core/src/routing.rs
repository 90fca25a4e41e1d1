//! Choice of the upstream for one attempt by its expected time to first token.

mod attempt;
mod cache_event;
mod cache_index;
mod cache_locations;
mod choice;
mod chooser;
pub(crate) mod estimate;
mod exhausted;
mod fleet;
mod health;
mod load;
mod outcome;
mod pool;
mod query;
pub mod reclaim;
mod regions;
mod request_count;
mod roster;
mod upstream;
mod weights;
mod window;

pub use cache_event::CacheEvent;
pub use choice::Choice;
pub use exhausted::Exhausted;
pub use fleet::Fleet;
pub use load::Load;
pub use outcome::Outcome;
pub use query::Query;
pub use weights::Weights;

/// Prompt tokens covered by one hash of a block chain.
pub const BLOCK_TOKENS: u32 = 16;

//! Retry budgets and backoff.

mod backoff;
mod budget;

pub use backoff::backoff;
pub use budget::Budget;

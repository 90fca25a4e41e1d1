//! Peering of nodes: dissemination of facts and documents over links of bounded degree.
//!
//! A *fact* ([`crate::fact::Fact`]) merges by set union and is pushed to each linked peer on first
//! receipt. A *document* is versioned by the platform's store; a few store watchers in each
//! failure domain read it, and peers fetch it when a heartbeat announces a newer generation.
//! Heartbeats contain a digest of the facts and the generations of the documents, so that lost
//! messages are detected and the missing data is sent again.

mod aggregator;
mod body;
mod collector;
mod document;
mod document_sync;
mod documents;
mod event;
mod facts;
mod heartbeat;
mod links;
mod member;
mod mesh;
mod message;
mod patch;
mod readiness;
mod report;
mod routes;
mod state;
mod topic;
mod topology;
mod watch;

pub use aggregator::MAX_REPORTS;
pub use document::{Document, MAX_BODY_BYTES};
pub use event::{Input, Output};
pub use facts::{BUCKETS, MAX_FACTS};
pub use heartbeat::Heartbeat;
pub use member::Member;
pub use message::{ExpiringFact, Fetch, Forward, Hello, MAX_FACTS_IN_MESSAGE, Message, Reports};
pub use patch::{Patch, Step};
pub use report::Report;
pub use state::Peering;
pub use topic::Topic;
pub use topology::{Topology, WATCHERS_PER_DOMAIN};

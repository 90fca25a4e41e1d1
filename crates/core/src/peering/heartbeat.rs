//! Heartbeats, which are sent on each link at regular intervals.

use std::fmt;

use serde::de;
use serde::ser::SerializeTuple;

use super::topic;

/// Number of encoded fields: the digest, one generation for each topic, and the flag.
const FIELD_COUNT: usize = topic::Topic::ALL.len() + 2;

/// Compact description of a node's facts and documents.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Heartbeat {
    /// Digest of the node's facts.
    pub digest: u64,
    /// Current generation of each topic, by [`topic::Topic::index`].
    pub generations: [u64; topic::Topic::ALL.len()],
    /// Whether the node is ready: it has caught up with the newest documents since its start.
    pub synced: bool,
}

impl serde::Serialize for Heartbeat {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(FIELD_COUNT)?;
        tuple.serialize_element(&self.digest)?;
        for generation in &self.generations {
            tuple.serialize_element(generation)?;
        }
        tuple.serialize_element(&self.synced)?;
        tuple.end()
    }
}

impl<'de> serde::Deserialize<'de> for Heartbeat {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(FIELD_COUNT, HeartbeatVisitor)
    }
}

struct HeartbeatVisitor;

impl<'de> de::Visitor<'de> for HeartbeatVisitor {
    type Value = Heartbeat;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a heartbeat of {FIELD_COUNT} fields")
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut seq: A) -> Result<Heartbeat, A::Error> {
        let missing = |index| de::Error::invalid_length(index, &self);
        let digest = seq.next_element()?.ok_or_else(|| missing(0))?;
        let mut generations = [0; topic::Topic::ALL.len()];
        for (index, slot) in generations.iter_mut().enumerate() {
            *slot = seq.next_element()?.ok_or_else(|| missing(index + 1))?;
        }
        let synced = seq
            .next_element()?
            .ok_or_else(|| missing(FIELD_COUNT - 1))?;
        Ok(Heartbeat {
            digest,
            generations,
            synced,
        })
    }
}

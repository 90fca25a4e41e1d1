//! The message that every link carries all the time.

use std::fmt;

use serde::de;
use serde::ser::SerializeTuple;

use super::topic;

/// Fields of the encoding: the digest, the generations and the flag.
const FIELDS: usize = topic::Topic::ALL.len() + 2;

/// What a node holds, in a few bytes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Heartbeat {
    /// Digest of the facts held.
    pub digest: u64,
    /// Generation held of each topic, by [`topic::Topic::index`].
    pub generations: [u64; topic::Topic::ALL.len()],
    /// Whether the node itself is ready.
    pub synced: bool,
}

impl serde::Serialize for Heartbeat {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(FIELDS)?;
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
        deserializer.deserialize_tuple(FIELDS, HeartbeatVisitor)
    }
}

struct HeartbeatVisitor;

impl<'de> de::Visitor<'de> for HeartbeatVisitor {
    type Value = Heartbeat;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a heartbeat of {FIELDS} fields")
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut seq: A) -> Result<Heartbeat, A::Error> {
        let missing = |index| de::Error::invalid_length(index, &self);
        let digest = seq.next_element()?.ok_or_else(|| missing(0))?;
        let mut generations = [0; topic::Topic::ALL.len()];
        for (index, slot) in generations.iter_mut().enumerate() {
            *slot = seq.next_element()?.ok_or_else(|| missing(index + 1))?;
        }
        let synced = seq.next_element()?.ok_or_else(|| missing(FIELDS - 1))?;
        Ok(Heartbeat {
            digest,
            generations,
            synced,
        })
    }
}

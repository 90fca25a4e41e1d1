//! Calls to the platform's service and their replies, as data.

use std::net;
use std::sync;

use crate::name;
use crate::time;
use crate::verdict;

/// The largest object in bytes that the platform holds.
pub const MAX_BODY_BYTES: usize = 1 << 20;

/// A version of one object; it grows with every write of that object.
pub type Version = u64;

/// The version that a watch gives a deleted object.
pub const DELETED: Version = 0;

/// One call to the platform's service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// Reads an object.
    Read {
        /// Object key.
        key: name::Name,
    },
    /// Writes an object if its version is still the expected one.
    Write {
        /// Object key.
        key: name::Name,
        /// The version that must be current; `None` if the object must not exist.
        expected: Option<Version>,
        /// New content, at most [`MAX_BODY_BYTES`].
        body: sync::Arc<[u8]>,
    },
    /// Deletes an object if its version is still the expected one.
    Delete {
        /// Object key.
        key: name::Name,
        /// The version that must be current.
        expected: Version,
    },
    /// Lists objects by key prefix.
    List {
        /// Key prefix.
        prefix: name::Name,
    },
    /// Waits for a change after a revision of the whole store.
    Watch {
        /// Key prefix.
        prefix: name::Name,
        /// The revision that the caller has seen.
        since: u64,
    },
    /// Lists the instances that the platform knows, with a lag.
    Instances,
    /// Waits for notices of the cloud API.
    Notices {
        /// The sequence number to start at.
        since: u64,
    },
}

impl Call {
    /// Tells whether the call may wait at the platform for a change.
    pub const fn is_long_poll(&self) -> bool {
        matches!(self, Self::Notices { .. } | Self::Watch { .. })
    }
}

/// The reply to a [`Call`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The object that was read.
    Found(Object),
    /// The object does not exist.
    Missing,
    /// The write took effect.
    Written(Version),
    /// The expected version was not current; nothing was written.
    Conflict,
    /// Keys and versions under a prefix at a revision, without bodies.
    Listed {
        /// Revision of the whole store.
        revision: u64,
        /// Objects without bodies.
        objects: Vec<Entry>,
    },
    /// Instances at a revision of the list.
    Instances {
        /// Revision of the instance list.
        revision: u64,
        /// Known instances.
        instances: Vec<Instance>,
    },
    /// Notices from the cloud API.
    Notices {
        /// The sequence number to go on at.
        next: u64,
        /// New notices.
        notices: Vec<Notice>,
    },
    /// The call failed; a write with [`verdict::Verdict::MayHaveRun`] must be read back.
    Failed(verdict::Verdict),
}

/// A stored object with its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// Current version.
    pub version: Version,
    /// Content.
    pub body: sync::Arc<[u8]>,
}

/// The key and version of a stored object.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Entry {
    /// Object key.
    pub key: name::Name,
    /// Current version.
    pub version: Version,
}

/// An instance in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Instance {
    /// Unique name.
    pub name: name::Name,
    /// Address by IP number; the peer port of an entry.
    pub address: net::SocketAddr,
    /// The failure domain that holds it.
    pub domain: name::Name,
    /// What it is, for example `entry`.
    pub kind: name::Name,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// Grows with each start under the same name.
    #[serde(default)]
    pub incarnation: u64,
}

/// A notice that an instance is reclaimed.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Notice {
    /// Sequence number.
    pub seq: u64,
    /// The instance that is reclaimed.
    pub instance: name::Name,
    /// When it is stopped.
    #[serde(rename = "deadline_ms", with = "millis")]
    pub deadline: time::Time,
}

mod millis {
    //! A time as milliseconds since the Unix epoch.

    use serde::{Deserialize, Serialize};

    use crate::time;

    const MICROS_IN_MILLI: u64 = 1_000;

    pub fn serialize<S: serde::Serializer>(
        at: &time::Time,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        (at.as_micros() / MICROS_IN_MILLI).serialize(serializer)
    }

    pub fn deserialize<'de, D: serde::Deserializer<'de>>(
        deserializer: D,
    ) -> Result<time::Time, D::Error> {
        u64::deserialize(deserializer).map(time::Time::from_millis)
    }
}

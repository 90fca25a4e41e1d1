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

/// The version that a watch reports for a deleted object.
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
    /// Waits for a change under a prefix after a revision of the store.
    Watch {
        /// Key prefix.
        prefix: name::Name,
        /// Last store revision that the caller has seen.
        since: u64,
    },
    /// Lists the instances known to the platform; the list lags behind.
    Instances,
    /// Waits for notices of the cloud API.
    Notices {
        /// Sequence number of the first notice to return.
        since: u64,
    },
}

impl Call {
    /// Returns `true` if the platform may hold the call until a change occurs.
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
    /// Keys and versions of the objects under a prefix at a revision.
    Listed {
        /// Revision of the store.
        revision: u64,
        /// Objects without bodies.
        objects: Vec<Entry>,
    },
    /// The instance list at a revision.
    Instances {
        /// Revision of the instance list.
        revision: u64,
        /// Known instances.
        instances: Vec<Instance>,
    },
    /// Notices from the cloud API.
    Notices {
        /// Sequence number at which to continue.
        next: u64,
        /// New notices.
        notices: Vec<Notice>,
    },
    /// The call failed; after [`verdict::Verdict::MayHaveRun`] the result of a write must be read.
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

/// An instance in the platform's instance list.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Instance {
    /// Unique name.
    pub name: name::Name,
    /// Address by IP number; the peer port of an entry.
    pub address: net::SocketAddr,
    /// The failure domain that it runs in.
    pub domain: name::Name,
    /// Kind of the instance, for example `entry`.
    pub kind: name::Name,
    /// Whether the instance is being shut down.
    #[serde(default)]
    pub leaving: bool,
    /// Increases with each start under the same name.
    #[serde(default)]
    pub incarnation: u64,
}

/// A notice that the cloud reclaims an instance.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Notice {
    /// Sequence number.
    pub seq: u64,
    /// The instance that is reclaimed.
    pub instance: name::Name,
    /// Time at which it is stopped.
    #[serde(rename = "deadline_ms", with = "millis")]
    pub deadline: time::Time,
}

mod millis {
    //! Serializes a time as milliseconds since the Unix epoch.

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

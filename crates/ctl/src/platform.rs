//! The platform's object API and instance list, one call at a time.

use std::net;
use std::sync;
use std::time;

use guavausher_core::name;
use guavausher_core::store;
use guavausher_node::store as client;

/// How long one call may take beyond a watch's own wait.
pub const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// How long a watch waits for a change.
pub const WATCH_WAIT: time::Duration = time::Duration::from_secs(2);

/// The platform at one address.
#[derive(Clone, Debug)]
pub struct Platform {
    address: net::SocketAddr,
}

impl Platform {
    /// Names the platform; no connection is opened.
    pub const fn new(address: net::SocketAddr) -> Self {
        Self { address }
    }

    /// Reads an object, without a retry.
    pub fn read(&self, key: &str) -> store::Reply {
        self.call(&store::Call::Read {
            key: name::Name::from(key),
        })
    }

    /// Writes an object if `expected` is still its version, without a retry.
    pub fn write(&self, key: &str, expected: Option<store::Version>, body: &[u8]) -> store::Reply {
        self.call(&store::Call::Write {
            key: name::Name::from(key),
            expected,
            body: sync::Arc::from(body),
        })
    }

    /// Removes an object if `expected` is still its version, without a retry.
    pub fn remove(&self, key: &str, expected: store::Version) -> store::Reply {
        self.call(&store::Call::Delete {
            key: name::Name::from(key),
            expected,
        })
    }

    /// Lists the objects under a key prefix, without a retry.
    pub fn list(&self, prefix: &str) -> store::Reply {
        self.call(&store::Call::List {
            prefix: name::Name::from(prefix),
        })
    }

    /// Waits [`WATCH_WAIT`] at most for a change after a revision, without a retry.
    pub fn watch(&self, prefix: &str, since: u64) -> store::Reply {
        self.call(&store::Call::Watch {
            prefix: name::Name::from(prefix),
            since,
        })
    }

    /// Lists the instances that the platform knows, without a retry.
    pub fn instances(&self) -> store::Reply {
        self.call(&store::Call::Instances)
    }

    fn call(&self, call: &store::Call) -> store::Reply {
        let wait = if call.is_long_poll() {
            WATCH_WAIT
        } else {
            time::Duration::ZERO
        };
        let options = client::Options {
            address: self.address,
            workers: 0,
            watchers: 0,
            queue: 0,
            timeout: CALL_TIMEOUT + wait,
            wait: WATCH_WAIT,
        };
        client::call(&options, call)
    }
}

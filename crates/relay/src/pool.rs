//! Pool of idle connections to engines.

use std::cell;
use std::collections;
use std::io;
use std::time::Duration;

use guavausher_core::name;
use guavausher_core::relay::{effect, fleet};
use guavausher_core::time;

use crate::clock;
use crate::connection;

/// How long an idle connection is kept if the engine states no timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// How long before the engine's stated timeout an idle connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Longest idle time of a connection for a request that must not be retried, since the engine may
/// close it at the moment of the send.
const MAX_UNSAFE_IDLE: Duration = Duration::from_millis(1_500);
/// Idle connections to one engine at most.
const MAX_IDLE: usize = 24;

/// Idle connections to engines.
#[derive(Debug, Default)]
pub struct Pool {
    idle: cell::RefCell<collections::HashMap<Key, Vec<Idle>>>,
    opened: cell::Cell<u64>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Key {
    engine: name::Name,
    incarnation: u64,
}

#[derive(Debug)]
struct Idle {
    connection: connection::Connection,
    since: time::Time,
    until: time::Time,
}

impl Pool {
    /// Removes and returns an idle connection to an engine.
    pub fn take(
        &self,
        choice: &fleet::Choice,
        is_idempotent: bool,
    ) -> Option<connection::Connection> {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&key(choice))?;
        while let Some(last) = kept.pop() {
            let is_fresh = is_idempotent || last.since.after(MAX_UNSAFE_IDLE) > now;
            if last.until > now && is_fresh && last.connection.is_idle() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Opens a connection to an engine.
    ///
    /// # Errors
    ///
    /// Fails if the engine refuses the connection or does not accept it in time.
    pub async fn open(
        &self,
        choice: &fleet::Choice,
        limit: Duration,
    ) -> io::Result<connection::Connection> {
        self.opened.set(self.opened.get() + 1);
        connection::Connection::connect(choice.address, limit).await
    }

    /// Returns the number of connections opened since the start.
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Keeps the connection of an attempt; `wait` is how long the engine states it stays open.
    pub fn put(
        &self,
        dispatch: &effect::Dispatch,
        connection: connection::Connection,
        wait: Option<Duration>,
    ) {
        let now = clock::now();
        let wait = wait.map_or(DEFAULT_IDLE_TIMEOUT, |wait| {
            wait.saturating_sub(IDLE_MARGIN)
        });
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(key(&dispatch.choice)).or_default();
        if kept.len() < dispatch.max_idle.min(MAX_IDLE) && !wait.is_zero() {
            kept.push(Idle {
                connection,
                since: now,
                until: now.after(wait),
            });
        }
    }

    /// Drops connections that have expired or were closed by the engine.
    pub fn sweep(&self) {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        for kept in idle.values_mut() {
            kept.retain(|k| k.until > now && k.connection.is_idle());
        }
        idle.retain(|_, kept| !kept.is_empty());
    }

    /// Closes the idle connections to an engine that gets no new requests.
    pub fn close(&self, engine: &name::Name) {
        self.idle
            .borrow_mut()
            .retain(|key, _| key.engine != *engine);
    }
}

fn key(choice: &fleet::Choice) -> Key {
    Key {
        engine: choice.engine.clone(),
        incarnation: choice.incarnation,
    }
}

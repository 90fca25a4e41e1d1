//! Limits on callers' requests, which a manifest may change while a connection is open.

use std::time::Duration;

use guavausher_core::relay::manifest;
use tokio::sync::watch;
use tokio::time;

/// The limits in force at any moment.
#[derive(Clone, Debug)]
pub struct LimitsInForce {
    receiver: watch::Receiver<manifest::Limits>,
}

impl LimitsInForce {
    /// Creates limits that follow those of a sender.
    pub const fn new(receiver: watch::Receiver<manifest::Limits>) -> Self {
        Self { receiver }
    }

    /// Creates limits that never change.
    pub fn fixed(limits: manifest::Limits) -> Self {
        Self::new(watch::Sender::new(limits).subscribe())
    }

    /// Returns the limits of this moment.
    pub fn get(&self) -> manifest::Limits {
        *self.receiver.borrow()
    }

    /// Runs a future for at most as long as a limit allows, also if that changes meanwhile; `None`
    /// if the limit passes first.
    pub async fn within<T>(
        &self,
        limit: impl Fn(&manifest::Limits) -> Duration,
        future: impl Future<Output = T>,
    ) -> Option<T> {
        let since = time::Instant::now();
        let mut receiver = self.receiver.clone();
        let expired = async {
            loop {
                let end = since + limit(&receiver.borrow_and_update());
                tokio::select! {
                    () = time::sleep_until(end) => return,
                    changed = receiver.changed() => if changed.is_err() {
                        return time::sleep_until(end).await;
                    },
                }
            }
        };
        tokio::select! {
            biased;
            output = future => Some(output),
            () = expired => None,
        }
    }
}
